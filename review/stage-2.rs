//! Stand-ins for the cases of the second review: the platform's store, servers, clients, and a link
//! that holds connections back. Each case starts daemons as processes, disturbs them, and checks one
//! rule by what clients and servers saw. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod case_config;
mod case_evac;
mod case_rank;

/// Time at which the store answers a call, as the site files state it.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after the start of a case by which daemons have settled, in milliseconds.
pub const DAEMON_START: u64 = 10_000;
/// A case that has not ended by then is broken off; its run may take 120 s.
const LONGEST_CASE: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: stage-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let disturbed = !std::env::var("TROUBLE").is_ok_and(|v| v == "0");
    thread::spawn(|| {
        thread::sleep(LONGEST_CASE);
        eprintln!("the case took too long");
        kill_all();
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "config" => case_config::run(Path::new(folder), disturbed),
        "evac" => case_evac::run(Path::new(folder), disturbed),
        "rank" => case_rank::run(Path::new(folder), disturbed),
        _ => Err(format!("unknown case {case}")),
    };
    kill_all();
    match result {
        Ok(verdict) => {
            println!("{verdict}");
            ExitCode::from(u8::from(verdict.starts_with("BROKEN")))
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

// ---------------------------------------------------------------------------------------- record

/// What was sent, answered and run, in the order of the events.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn note(&self, text: impl Into<String>) -> u64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{at:>7} ms  {text}\n"))
            .collect();
        fs::write(folder.join("record.txt"), text).map_err(|e| format!("record.txt: {e}"))
    }

    pub fn sleep_until(&self, ms: u64) {
        let left = ms.saturating_sub(self.now());
        thread::sleep(Duration::from_millis(left));
    }
}

// ------------------------------------------------------------------------------------------ HTTP

#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a request or an answer; `None` at the end of the input.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves each connection of a listener on a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ----------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The value, or `None` if the object was removed.
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    now: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<Change>,
}

/// The platform's store: lists, watches and conditional writes of objects, as PROTOCOL tells them.
#[derive(Clone)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    record: Record,
    pub addr: SocketAddr,
}

impl Store {
    pub fn spawn(record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("store: {e}"))?;
        let addr = listener.local_addr().map_err(|e| e.to_string())?;
        let store = Self {
            objects: Arc::default(),
            record: record.clone(),
            addr,
        };
        let shared = store.clone();
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream);
        });
        Ok(store)
    }

    /// Writes an object; returns when that was confirmed.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.change(kind, name, Some(spec.to_owned()));
        self.record.now()
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => objects.now.insert(key, (revision, spec.clone())),
            None => objects.now.remove(&key),
        };
        objects.changes.push(Change {
            revision,
            kind: kind.into(),
            name: name.into(),
            spec,
        });
        changed.notify_all();
        revision
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            thread::sleep(STORE_DELAY);
            let (status, body) = self.call(&request);
            answer(
                &mut stream,
                status,
                "Content-Type: application/json\r\nStore-Era: 1\r\n",
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, name) {
            ("GET", "") if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", "") => self.list(kind),
            ("GET", _) => self.read(kind, name),
            ("POST", "") => {
                let Some(name) = text_field(&body, "name") else {
                    return ("400 Bad Request", "{}".into());
                };
                if let ("200 OK", object) = self.read(kind, &name) {
                    return ("409 Conflict", object);
                }
                self.write(kind, &name, &body)
            }
            ("PUT", _) => {
                let (found, object) = self.read(kind, name);
                if found != "200 OK" {
                    return (found, object);
                }
                let stated = number_field(&body, "revision");
                if stated.is_some() && stated != number_field(&object, "revision") {
                    return ("409 Conflict", object);
                }
                self.write(kind, name, &body)
            }
            ("DELETE", _) => match self.read(kind, name) {
                ("200 OK", object) => {
                    self.change(kind, name, None);
                    ("200 OK", object)
                }
                absent => absent,
            },
            _ => ("405 Method Not Allowed", "{}".into()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str) -> (&'static str, String) {
        let Some(at) = body.find("\"spec\":") else {
            return ("400 Bad Request", "{}".into());
        };
        // `spec` is an object; its end is where its brackets balance.
        let spec = balanced(&body[at + 7..]);
        self.change(kind, name, Some(spec.to_owned()));
        self.read(kind, name)
    }

    fn read(&self, kind: &str, name: &str) -> (&'static str, String) {
        let objects = self.objects.0.lock().unwrap();
        let found = objects.now.get(&(kind.to_owned(), name.to_owned()));
        found.map_or(("404 Not Found", "{}".into()), |(revision, spec)| {
            ("200 OK", object(name, *revision, spec))
        })
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let objects = self.objects.0.lock().unwrap();
        let items = objects.now.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = items
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            objects.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> (&'static str, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (after, wait) = (number("watch"), Duration::from_millis(number("waitMs")));
        let (lock, changed) = &*self.objects;
        let has_change = |objects: &Objects| {
            objects
                .changes
                .iter()
                .rev()
                .take_while(|c| c.revision > after)
                .any(|c| c.kind == kind)
        };
        let objects = lock.lock().unwrap();
        let waited = changed
            .wait_timeout_while(objects, wait, |o| !has_change(o))
            .unwrap();
        let objects = waited.0;
        let events = objects
            .changes
            .iter()
            .filter(|c| c.revision > after && c.kind == kind);
        let events: Vec<String> = events
            .map(|c| {
                let spec = c.spec.as_deref().unwrap_or("{}");
                let object = object(&c.name, c.revision, spec);
                format!("{{\"object\":{object},\"deleted\":{}}}", c.spec.is_none())
            })
            .collect();
        let body = format!(
            "{{\"events\":[{}],\"storeRevision\":{}}}",
            events.join(","),
            objects.revision
        );
        ("200 OK", body)
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Value of the first text field of this name.
fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_field(body: &str, name: &str) -> Option<u64> {
    let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// The JSON object at the start of a text that has no brackets within its strings.
fn balanced(text: &str) -> &str {
    let mut depth = 0;
    for (at, c) in text.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                if depth == 0 {
                    return &text[..=at];
                }
            }
            _ => {}
        }
    }
    text
}

// --------------------------------------------------------------------------------------- servers

/// A request that reached a server and was not refused with 421.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    pub zone: String,
    pub request: String,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A server of one service. It writes its entry at each heartbeat.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub zone: String,
    service: String,
    addr: SocketAddr,
    born: u64,
    store: Store,
}

impl Server {
    pub fn spawn(
        (id, service, zone): (&str, &str, &str),
        work: Duration,
        (store, record, arrivals): (&Store, &Record, &Arrivals),
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("server: {e}"))?;
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let server = Self {
            id: id.into(),
            zone: zone.into(),
            service: service.into(),
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            born: since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0)),
            store: store.clone(),
        };
        let (shared, record, arrivals) = (server.clone(), record.clone(), arrivals.clone());
        serve(listener, move |stream| {
            let _ = shared.serve_connection(stream, work, &record, &arrivals);
        });
        let beating = server.clone();
        thread::spawn(move || {
            for seq in 1.. {
                beating
                    .store
                    .put("servers", &beating.id, &beating.entry(seq));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"maxConcurrency\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        )
    }

    fn serve_connection(
        &self,
        mut stream: TcpStream,
        work: Duration,
        record: &Record,
        arrivals: &Arrivals,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let target = request.header("x-target-instance");
            if !target.is_empty() && target != self.id {
                answer(
                    &mut stream,
                    "421 Misdirected Request",
                    &format!("X-Instance-Id: {}\r\n", self.id),
                    b"",
                )?;
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            let at = record.note(format!("{id} runs at {} in {}", self.id, self.zone));
            arrivals.lock().unwrap().push(Arrival {
                at,
                server: self.id.clone(),
                zone: self.zone.clone(),
                request: id.clone(),
            });
            thread::sleep(work);
            let headers = format!(
                "X-Request-Id: {id}\r\nX-Server-Seal: {}.00.1\r\nKeep-Alive: timeout=30\r\n",
                self.id
            );
            answer(&mut stream, "200 OK", &headers, b"0123456789abcdef")?;
        }
        Ok(())
    }
}

// ------------------------------------------------------------------------------------------ link

/// A link between one daemon and the store. It may lose the opening packet of one of the connections
/// that the daemon opens: the connection is then made a second later, when the packet is sent again.
#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    opened: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
}

/// Time after which an opening packet is sent again.
const OPENING_RETRY: Duration = Duration::from_secs(1);
/// No connection is held back.
pub const NONE: usize = usize::MAX;

impl Link {
    pub fn spawn(store: SocketAddr, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("link: {e}"))?;
        let link = Self {
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            opened: Arc::default(),
            lost: Arc::new(AtomicUsize::new(NONE)),
        };
        let (shared, record) = (link.clone(), record.clone());
        serve(listener, move |stream| {
            let number = shared.opened.fetch_add(1, Ordering::SeqCst);
            if number == shared.lost.load(Ordering::SeqCst) {
                record.note(format!(
                    "connection {number} to the store: opening packet lost"
                ));
                thread::sleep(OPENING_RETRY);
            }
            let _ = forward(stream, store);
        });
        Ok(link)
    }

    /// Counts connections from 0 again, and loses the opening packet of this one.
    pub fn lose(&self, number: usize) {
        self.lost.store(number, Ordering::SeqCst);
        self.opened.store(0, Ordering::SeqCst);
    }
}

fn forward(near: TcpStream, to: SocketAddr) -> io::Result<()> {
    near.set_nodelay(true)?;
    let far = TcpStream::connect(to)?;
    far.set_nodelay(true)?;
    let (mut from, mut into) = (near.try_clone()?, far.try_clone()?);
    let back = thread::spawn(move || {
        let _ = copy(&mut from, &mut into);
    });
    let _ = copy(&mut { far }, &mut { near });
    let _ = back.join();
    Ok(())
}

fn copy(from: &mut TcpStream, to: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer)?;
        if read == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        to.write_all(&buffer[..read])?;
    }
}

// --------------------------------------------------------------------------------------- daemons

static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this one started.
fn kill_all() {
    for pid in PIDS.lock().unwrap().drain(..) {
        signal(pid, "KILL");
    }
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .stderr(Stdio::null())
        .status();
}

/// A deployment of daemons on loopback addresses, all with the same ports.
pub struct Deployment {
    folder: PathBuf,
    template: String,
    net: [u8; 2],
    ports: [u16; 5],
    seeds: String,
    record: Record,
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    settings: PathBuf,
    child: Child,
    record: Record,
}

impl Deployment {
    /// Prepares the settings of `count` daemons.
    pub fn new(count: u8, record: &Record) -> Result<Self, String> {
        let template = fs::read_to_string("deploy/daemon.ini")
            .map_err(|e| format!("deploy/daemon.ini: {e}"))?;
        let mut random = [0; 2];
        let mut file = fs::File::open("/dev/urandom").map_err(|e| e.to_string())?;
        file.read_exact(&mut random).map_err(|e| e.to_string())?;
        let net = [random[0] % 200 + 20, random[1]];
        let folder =
            std::env::temp_dir().join(format!("rattanturn-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut ports = [0; 5];
        for port in &mut ports {
            let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
            *port = free.map_err(|e| e.to_string())?.port();
        }
        let seed = |i| format!("127.{}.{}.{i}:{}", net[0], net[1], ports[4]);
        let seeds: Vec<String> = (1..=count.min(3)).map(seed).collect();
        Ok(Self {
            folder,
            template,
            net,
            ports,
            seeds: seeds.join(","),
            record: record.clone(),
        })
    }

    /// Address of a daemon's readiness checks.
    pub fn readiness(&self, daemon: &Daemon) -> SocketAddr {
        SocketAddr::new(daemon.front.ip(), self.ports[1])
    }

    /// Starts the daemon with this number, from 1, with its path to the store.
    pub fn start(&self, number: u8, zone: &str, store: SocketAddr) -> Result<Daemon, String> {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], number);
        let [front, readiness, directory, own, _] = self.ports;
        let name = format!("edge-{zone}-{number}");
        let fields: HashMap<&str, String> = HashMap::from([
            ("nodeName", name.clone()),
            ("zone", zone.into()),
            ("ip", ip.to_string()),
            ("portRange.0", own.to_string()),
            ("portRange.1", self.ports[4].to_string()),
            ("seeds", self.seeds.clone()),
            ("listen.front", format!("{ip}:{front}")),
            ("listen.readiness", format!("{ip}:{readiness}")),
            ("listen.directory", format!("{ip}:{directory}")),
            ("limits.cpuQuota", "0.25".into()),
            ("limits.memoryMb", "260".into()),
            ("heartbeatMs", "1200".into()),
            ("bounds.graceS", "6".into()),
            ("bounds.retryBudgetRatio", "0.2".into()),
            ("bounds.budgetSlack", "56".into()),
            ("bounds.configApplyMs", "3000".into()),
            ("bounds.evacuateMs", "5000".into()),
            ("platform.address", store.to_string()),
        ]);
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, fill(&self.template, &fields)).map_err(|e| e.to_string())?;
        let child = launch(&settings)?;
        self.record.note(format!("{name} started"));
        Ok(Daemon {
            name,
            front: SocketAddr::new(ip.into(), front),
            settings,
            child,
            record: self.record.clone(),
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a daemon by the command of `deploy/system.toml`, with another path of the settings.
fn launch(settings: &Path) -> Result<Child, String> {
    let out = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .map_err(|e| e.to_string())?;
    let child = Command::new("target/release/rattanturnd")
        .arg(settings)
        .env("RATTANTURN_BOOT", settings)
        .stdout(out)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("target/release/rattanturnd: {e}"))?;
    PIDS.lock().unwrap().push(child.id());
    note_pid(child.id()).map_err(|e| format!("pids: {e}"))?;
    Ok(child)
}

/// Writes a process's id where `run-case-2.sh` finds it if the case is interrupted.
fn note_pid(pid: u32) -> io::Result<()> {
    let path = std::env::temp_dir().join("pids");
    let mut file = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)?;
    writeln!(file, "{pid}")
}

impl Daemon {
    fn ended(&mut self) {
        let pid = self.child.id();
        let _ = self.child.wait();
        PIDS.lock().unwrap().retain(|p| *p != pid);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        self.record.note(format!("{} gets SIGKILL", self.name));
        signal(self.child.id(), "KILL");
        self.ended();
    }

    pub fn restart(&mut self) -> Result<(), String> {
        self.child = launch(&self.settings)?;
        self.record.note(format!("{} started again", self.name));
        Ok(())
    }
}

/// Fills in a template as `DEPLOY.md` tells it: values, and sections of values that are present.
fn fill(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    let mut section: Option<(&str, bool)> = None;
    while let Some(at) = rest.find("{{") {
        let (before, tail) = rest.split_at(at);
        let shown = section.is_none_or(|(_, present)| present);
        if shown {
            out.push_str(before);
        }
        let Some(end) = tail.find("}}") else { break };
        let name = &tail[2..end];
        rest = &tail[end + 2..];
        if let Some(name) = name.strip_prefix('#') {
            section = Some((name, fields.contains_key(name)));
        } else if name.starts_with('/') {
            section = None;
        } else if shown {
            let name = if name == "." {
                section.map_or(".", |s| s.0)
            } else {
                name
            };
            out.push_str(fields.get(name).map_or("", String::as_str));
        }
    }
    out.push_str(rest);
    out
}

// --------------------------------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends one request on a new connection. Returns its id and the status, 0 without an answer.
pub fn request(
    front: SocketAddr,
    path: &str,
    limit: Duration,
    record: &Record,
    to: &str,
) -> (String, u16) {
    let id = format!(
        "{:016x}",
        NEXT_ID.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9
    );
    record.note(format!("{id} sent to {to}"));
    let sent = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit + Duration::from_secs(1)))?;
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
            limit.as_millis()
        );
        stream.write_all(head.as_bytes())?;
        let message = read_message(&mut BufReader::new(stream))?;
        Ok(message.map_or(0, |m| m.status()))
    };
    let status = sent().unwrap_or(0);
    record.note(format!("{id} answered {status}"));
    (id, status)
}

/// Waits until a daemon serves a request.
pub fn wait_until_serving(daemon: &Daemon, path: &str, record: &Record) -> Result<(), String> {
    for _ in 0..100 {
        if request(
            daemon.front,
            path,
            Duration::from_secs(1),
            record,
            &daemon.name,
        )
        .1 == 200
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{} does not serve", daemon.name))
}

/// A configuration with a route for each service, with the service's name as its path.
pub fn configuration(services: &[String]) -> String {
    let route = |s: &String| {
        format!(
            "{{\"name\":\"r-{s}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{s}/\",\"type\":\"idempotent\",\
             \"timeoutMs\":2000,\"latencyGoalMs\":200,\"priority\":1,\"service\":\"{s}\",\"maxAttempts\":2}}"
        )
    };
    let service = |s: &String| {
        format!(
            "{{\"name\":\"{s}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\
             \"warmupS\":3.0,\"coldPerS\":0.0}}"
        )
    };
    let routes: Vec<String> = services.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"headerBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
