//! Stand-ins for clients, servers and the platform, and the runner of the review's scripts.
//!
//! Usage: `stage CASE RECORD` from the root of the repository. With the variable `TROUBLE=0` a case
//! leaves its disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
//!
//! Daemons are real processes on loopback addresses of their own. All times in the record are
//! milliseconds since the start of the case. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs,
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A case ends by itself after this time; a script may run for 120 s.
const CASE_LIMIT: Duration = Duration::from_secs(110);
/// Interval at which a server writes its entry (`heartbeatMs` of a small deployment).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const FRONT: u16 = 8104;
const READY: u16 = 8108;
const CONTROL: u16 = 8106;
const DIRECTORY: u16 = 8100;
const PORT_RANGE: [u16; 2] = [7380, 7395];
const METRICS: u16 = 9464;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

// ---- record ----

#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn open(path: &str) -> Self {
        let file = fs::File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>7} {text}", self.now());
    }

    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

fn cannot_run(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    exit(2)
}

// ---- HTTP ----

/// Start line, headers in lower case, and body of a message.
#[derive(Clone, Debug, Default)]
struct Message {
    start: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message whose body has a length; `None` if the connection ends before its first byte.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let early = || io::Error::new(io::ErrorKind::UnexpectedEof, "ended inside a message");
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(early()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { start: lines.next().unwrap_or("").into(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().into());
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk)? {
            0 => return Err(early()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn reply(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} S\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

// ---- the platform's store ----

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

/// The store. While it is down it answers every call with 503, which says that nothing was done.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    down: AtomicBool,
    addr: SocketAddr,
}

impl Store {
    fn spawn(ip: Ipv4Addr) -> Arc<Self> {
        let listener = bind(SocketAddr::from((ip, 0)));
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            down: AtomicBool::new(false),
            addr: listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string())),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Writes an object; false while the store is down.
    fn put(&self, kind: &str, name: &str, spec: &str) -> bool {
        if self.is_down() {
            return false;
        }
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |o| o.created);
        let object = Object { revision, created, spec: spec.into() };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object.json(name));
        state.history.push((revision, kind.into(), event));
        state.objects.insert(key, object);
        self.changed.notify_all();
        true
    }

    fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = lock(&self.state);
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = format!("{{\"deleted\":true,\"object\":{}}}", object.json(name));
        state.history.push((revision, kind.into(), event));
        self.changed.notify_all();
        true
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let headers = "content-type: application/json\r\nstore-era: 1\r\n";
            if stream.write_all(&reply(status, headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.is_down() {
            return (503, "{}".into());
        }
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".into());
        };
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == name)?.1.parse().ok()
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.word(0), name) {
            ("GET", "") => match number("watch") {
                Some(after) => self.watch(kind, after, number("waitMs").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", name) => {
                let state = lock(&self.state);
                let object = state.objects.get(&(kind.into(), name.into()));
                object.map_or((404, "{}".into()), |o| (200, o.json(name)))
            }
            ("POST", "") => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = member(&text, "name").trim_matches('"').to_owned();
                let exists = lock(&self.state).objects.get(&(kind.into(), name.clone())).cloned();
                match exists {
                    Some(object) => (409, object.json(&name)),
                    None => self.write(kind, &name, &text),
                }
            }
            ("PUT", name) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let expected: Option<u64> = member(&text, "revision").parse().ok();
                let present = lock(&self.state).objects.get(&(kind.into(), name.into())).cloned();
                match present {
                    None => (404, "{}".into()),
                    Some(o) if expected.is_some_and(|e| e != o.revision) => (409, o.json(name)),
                    Some(_) => self.write(kind, name, &text),
                }
            }
            ("DELETE", name) if self.remove(kind, name) => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn write(&self, kind: &str, name: &str, text: &str) -> (u16, String) {
        if !self.put(kind, name, &member(text, "spec")) {
            return (503, "{}".into());
        }
        let state = lock(&self.state);
        let object = state.objects.get(&(kind.into(), name.into()));
        object.map_or((503, "{}".into()), |o| (200, o.json(name)))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = of_kind.map(|((_, name), o)| o.json(name)).collect();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, after: u64, wait: u64) -> (u16, String) {
        let end = Instant::now() + ms(wait);
        let mut state = lock(&self.state);
        loop {
            if self.is_down() {
                return (503, "{}".into());
            }
            let newer = state.history.iter().filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<&str> = newer.map(|(.., event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let text = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            let waited = self.changed.wait_timeout(state, end - now);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

/// The text of a JSON object's member: the first one of this name.
fn member(text: &str, name: &str) -> String {
    let Some(at) = text.find(&format!("\"{name}\":")) else {
        return "null".into();
    };
    let rest = &text[at + name.len() + 3..];
    let (mut depth, mut quoted) = (0, false);
    for (i, c) in rest.char_indices() {
        match c {
            '"' => quoted = !quoted,
            '{' | '[' if !quoted => depth += 1,
            '}' | ']' if !quoted && depth == 0 => return rest[..i].into(),
            '}' | ']' if !quoted => depth -= 1,
            ',' if !quoted && depth == 0 => return rest[..i].into(),
            _ => {}
        }
    }
    rest.into()
}

// ---- servers ----

/// What a server saw of one request.
#[derive(Clone, Debug)]
struct Arrival {
    at: u64,
    id: String,
    /// Time from which on it ran; `None` if it was turned away.
    ran: Option<u64>,
    /// When the whole answer was written; `None` if it was not.
    answered: Option<u64>,
}

struct ServerConfig {
    id: String,
    service: String,
    zone: String,
    slots: u32,
    work: Duration,
    /// A cold server ends by itself when it gets more requests than this in a second.
    cold_limit: Option<usize>,
}

struct Server {
    config: ServerConfig,
    record: Record,
    store: Arc<Store>,
    addr: SocketAddr,
    /// Number of the present run of the process; even numbers mean that it is down.
    run: AtomicU64,
    born: AtomicU64,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    /// Whether its answers say that it leaves.
    leaving: AtomicBool,
    /// Whether it writes no entry any more.
    silent: AtomicBool,
    cold_until: Mutex<Option<Instant>>,
    busy: Mutex<(u32, u32)>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    seal: AtomicU32,
    crashes: AtomicU32,
}

impl Server {
    fn spawn(ip: Ipv4Addr, config: ServerConfig, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let listener = bind(SocketAddr::from((ip, 0)));
        let server = Arc::new(Self {
            config,
            record: record.clone(),
            store: store.clone(),
            addr: listener.local_addr().unwrap_or_else(|e| cannot_run(&e.to_string())),
            run: AtomicU64::new(1),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            leaving: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            cold_until: Mutex::new(None),
            busy: Mutex::new((0, 0)),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            seal: AtomicU32::new(0),
            crashes: AtomicU32::new(0),
        });
        server.accept(listener);
        server.announce();
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_up() && !beating.silent.load(Ordering::SeqCst) {
                    beating.announce();
                }
            }
        });
        server
    }

    fn is_up(&self) -> bool {
        self.run.load(Ordering::SeqCst) % 2 == 1
    }

    fn cold_left(&self) -> Duration {
        let until = *lock(&self.cold_until);
        until.map_or(Duration::ZERO, |t| t.saturating_duration_since(Instant::now()))
    }

    /// Writes the server's entry, as at a heartbeat.
    fn announce(&self) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"maxConcurrency\":{},\"state\":\"{}\",\"warmupLeftMs\":{},\"seq\":{},\"born\":{}}}",
            self.config.service,
            self.addr,
            self.config.zone,
            self.config.slots,
            *lock(&self.state),
            self.cold_left().as_millis(),
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born.load(Ordering::SeqCst),
        );
        self.store.put("servers", &self.config.id, &entry);
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let run = self.run.load(Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        let server = self.clone();
        thread::spawn(move || {
            while server.run.load(Ordering::SeqCst) == run {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let server = server.clone();
                        thread::spawn(move || server.serve(stream, run));
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
        });
    }

    /// Ends the process: its connections are closed and new ones are refused.
    fn stop(&self) {
        if self.is_up() {
            self.run.fetch_add(1, Ordering::SeqCst);
            self.freed.notify_all();
            self.record.line(&format!("server {} ends", self.config.id));
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, run: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(50)));
        let mut buffer = Vec::new();
        loop {
            // Waits for a request in short steps, to notice the end of the process.
            let mut first = [0; 1];
            match stream.peek(&mut first) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) if is_timeout(&e) && self.run.load(Ordering::SeqCst) == run => continue,
                Err(_) => return,
            }
            let Ok(Some(request)) = read_message(&mut stream, &mut buffer) else {
                return;
            };
            if self.run.load(Ordering::SeqCst) != run || !self.handle(&mut stream, &request, run) {
                return;
            }
        }
    }

    /// Handles a request; false if the connection is to be closed.
    fn handle(self: &Arc<Self>, stream: &mut TcpStream, request: &Message, run: u64) -> bool {
        let id = request.header("x-request-id").to_owned();
        let target = request.header("x-target-instance");
        if !target.is_empty() && target != self.config.id {
            let text = format!("x-request-id: {id}\r\nx-instance-id: {}\r\n", self.config.id);
            return stream.write_all(&reply(421, &text, b"")).is_ok();
        }
        let index = {
            let mut all = lock(&self.arrivals);
            let at = self.record.now();
            all.push(Arrival { at, id: id.clone(), ran: None, answered: None });
            all.len() - 1
        };
        self.record.line(&format!("server {} gets {id}", self.config.id));
        if self.is_flooded() {
            self.record.line(&format!("server {} crashes: too many requests while cold", self.config.id));
            self.crashes.fetch_add(1, Ordering::SeqCst);
            self.stop();
            return false;
        }
        if !self.take_slot(run) {
            return false;
        }
        lock(&self.arrivals)[index].ran = Some(self.record.now());
        self.record.line(&format!("server {} runs {id}", self.config.id));
        let dropped = self.work(stream, run);
        self.free_slot(run);
        if dropped {
            self.record.line(&format!("server {} drops {id}: its connection closed", self.config.id));
            return false;
        }
        if self.run.load(Ordering::SeqCst) != run {
            return false;
        }
        let mut headers = format!(
            "x-request-id: {id}\r\nx-server-seal: {}.{}\r\nx-server-load: {}\r\n",
            self.config.id,
            self.seal.fetch_add(1, Ordering::SeqCst),
            self.load(),
        );
        if self.leaving.load(Ordering::SeqCst) {
            headers.push_str("server-leaving: 1\r\n");
        }
        let sent = stream.write_all(&reply(200, &headers, b"0123456789abcdef")).is_ok();
        if sent {
            lock(&self.arrivals)[index].answered = Some(self.record.now());
            self.record.line(&format!("server {} answered {id}", self.config.id));
        }
        sent
    }

    /// Whether a cold server just got more requests in a second than it stands.
    fn is_flooded(&self) -> bool {
        let Some(limit) = self.config.cold_limit.filter(|_| !self.cold_left().is_zero()) else {
            return false;
        };
        let all = lock(&self.arrivals);
        let last = all.last().map_or(0, |a| a.at);
        all.iter().rev().take_while(|a| a.at + 1_000 > last).count() > limit
    }

    fn load(&self) -> String {
        let (running, waiting) = *lock(&self.busy);
        format!("{running},{waiting},{}", self.config.slots)
    }

    /// Waits for a slot; false if the process ended meanwhile.
    fn take_slot(&self, run: u64) -> bool {
        let mut busy = lock(&self.busy);
        busy.1 += 1;
        while busy.0 >= self.config.slots && self.run.load(Ordering::SeqCst) == run {
            let waited = self.freed.wait_timeout(busy, ms(20));
            busy = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        let runs = self.run.load(Ordering::SeqCst) == run;
        if runs {
            busy.1 -= 1;
            busy.0 += 1;
        }
        runs
    }

    fn free_slot(&self, run: u64) {
        let mut busy = lock(&self.busy);
        if self.run.load(Ordering::SeqCst) == run {
            busy.0 -= 1;
        }
        self.freed.notify_one();
    }

    /// Works on a request; true if the caller's connection closed meanwhile.
    fn work(&self, stream: &TcpStream, run: u64) -> bool {
        let end = Instant::now() + self.config.work;
        let _ = stream.set_nonblocking(true);
        let mut dropped = false;
        while Instant::now() < end && self.run.load(Ordering::SeqCst) == run {
            if matches!(stream.peek(&mut [0; 1]), Ok(0)) {
                dropped = true;
                break;
            }
            let left = end.saturating_duration_since(Instant::now());
            thread::sleep(left.min(ms(5)));
        }
        let _ = stream.set_nonblocking(false);
        dropped
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

// ---- clients ----

/// How a client's attempt ended.
#[derive(Clone, Debug)]
enum End {
    Answer(Message),
    /// The connection ended without a complete answer.
    Cut(String),
    NoConnection,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    /// Address that it was sent to.
    to: SocketAddr,
    sent: u64,
    ended: u64,
    end: End,
}

impl Attempt {
    fn status(&self) -> u16 {
        match &self.end {
            End::Answer(answer) => answer.status(),
            End::Cut(_) | End::NoConnection => 0,
        }
    }

    fn text(&self) -> String {
        match &self.end {
            End::Answer(answer) => answer.status().to_string(),
            End::Cut(why) => format!("no answer: {why}"),
            End::NoConnection => "no connection".into(),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

struct Client {
    record: Record,
    name: String,
    addr: SocketAddr,
    /// Key of the client's tenant.
    key: Option<&'static str>,
    stream: Option<TcpStream>,
}

impl Client {
    fn new(record: &Record, name: &str, addr: SocketAddr) -> Self {
        Self { record: record.clone(), name: name.into(), addr, key: None, stream: None }
    }

    /// Sends one request and waits for its end, on the open connection if there is one.
    fn send(&mut self, method: &str, path: &str, body: &str, limit: Duration) -> Attempt {
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        if self.stream.is_none() {
            self.stream = TcpStream::connect_timeout(&self.addr, ms(1_000)).ok();
        }
        let sent = self.record.now();
        // The many requests of a tenant get one line each.
        let is_brief = self.key.is_some();
        if !is_brief {
            self.record.line(&format!("client {} sends {id} {method} {path} to {}", self.name, self.addr));
        }
        let end = match self.stream.take() {
            Some(stream) => self.exchange(stream, &id, method, path, body, limit),
            None => End::NoConnection,
        };
        let attempt = Attempt { id, to: self.addr, sent, ended: self.record.now(), end };
        let text = attempt.text();
        if is_brief {
            self.record.line(&format!("{} {sent} {} {text}", attempt.id, self.addr));
        } else {
            self.record.line(&format!("client {} gets {} for {}", self.name, text, attempt.id));
        }
        attempt
    }

    fn exchange(
        &mut self,
        mut stream: TcpStream,
        id: &str,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> End {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n{body}",
            limit.as_millis(),
            self.key.map_or(String::new(), |k| format!("Authorization: Bearer {k}\r\n")),
            body.len()
        );
        if let Err(error) = stream.write_all(request.as_bytes()) {
            return End::Cut(error.to_string());
        }
        match read_message(&mut stream, &mut Vec::new()) {
            Ok(Some(answer)) => {
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    self.stream = Some(stream);
                }
                End::Answer(answer)
            }
            Ok(None) => End::Cut("the connection was closed".into()),
            Err(error) => End::Cut(error.to_string()),
        }
    }
}

// ---- daemons ----

struct Daemon {
    name: String,
    ip: Ipv4Addr,
    child: Child,
}

impl Daemon {
    fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    fn signal(&self, signal: i32) {
        // The process was started here and is not reaped before the end of the case.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    fn is_ready(&self) -> bool {
        let addr = SocketAddr::from((self.ip, READY));
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        let sent = stream.write_all(request.as_bytes()).is_ok();
        let answer = read_message(&mut stream, &mut Vec::new());
        sent && matches!(answer, Ok(Some(a)) if a.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn bind(addr: SocketAddr) -> TcpListener {
    let end = Instant::now() + ms(2_000);
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(_) if Instant::now() < end => thread::sleep(ms(5)),
            Err(error) => cannot_run(&format!("cannot bind {addr}: {error}")),
        }
    }
}

/// Fills in the settings template of the deploy file: `{{name}}` and `{{#name}}..{{/name}}`.
fn render(template: &str, values: &HashMap<&str, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let Some(end) = rest[at..].find("}}") else { break };
        let key = rest[at + 2..at + end].trim();
        rest = &rest[at + end + 2..];
        if let Some(name) = key.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let Some(stop) = rest.find(&close) else { break };
            if let Some(value) = values.get(name) {
                out.push_str(&rest[..stop].replace("{{.}}", value));
            }
            rest = &rest[stop + close.len()..];
        } else {
            out.push_str(values.get(key).map_or("", String::as_str));
        }
    }
    out.push_str(rest);
    out
}

/// A folder of this run, which is removed at its end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The deployment of a case.
struct Stage {
    record: Record,
    trouble: bool,
    net: [u8; 3],
    folder: Folder,
    store: Arc<Store>,
    daemons: Vec<Daemon>,
    /// The tenants of the configuration, as JSON; empty without any.
    tenants: &'static str,
}

impl Stage {
    fn open(record: Record, trouble: bool) -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let net = [127, 64 + (seed % 150) as u8, 1 + (seed / 150 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("rattanturn-review-{seed}"));
        if let Err(error) = fs::create_dir_all(&folder) {
            cannot_run(&error.to_string());
        }
        let store = Store::spawn(Ipv4Addr::new(net[0], net[1], net[2], 250));
        Self { record, trouble, net, folder: Folder(folder), store, daemons: Vec::new(), tenants: "" }
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host)
    }

    fn server(&self, host: u8, config: ServerConfig) -> Arc<Server> {
        Server::spawn(self.ip(host), config, &self.store, &self.record)
    }

    /// Starts daemons in zones `a`, `b` and so on, and waits until all of them are ready.
    fn start_daemons(&mut self, count: u8) {
        let zones = ["a", "b", "c"];
        let template = fs::read_to_string("deploy/daemon.ini")
            .unwrap_or_else(|e| cannot_run(&format!("deploy/daemon.ini: {e}")));
        let seeds: Vec<String> = (1..=count.min(3)).map(|i| format!("{}:{CONTROL}", self.ip(i))).collect();
        for i in 1..=count {
            let (ip, name) = (self.ip(i), format!("edge-{i}"));
            for port in [FRONT, READY, CONTROL, DIRECTORY, METRICS, PORT_RANGE[0], PORT_RANGE[1]] {
                drop(bind(SocketAddr::from((ip, port))));
            }
            if UdpSocket::bind((IpAddr::V4(ip), PORT_RANGE[0])).is_err() {
                cannot_run("the port for datagrams is taken");
            }
            let at = |port: u16| format!("{ip}:{port}");
            let mut values = HashMap::from([
                ("nodeName", name.clone()),
                ("zone", zones[usize::from(i - 1) % zones.len()].into()),
                ("ip", ip.to_string()),
                ("portRange.0", PORT_RANGE[0].to_string()),
                ("portRange.1", PORT_RANGE[1].to_string()),
                ("seeds", seeds.join(",")),
                ("bounds.graceS", "6".into()),
                ("listen.front", at(FRONT)),
                ("listen.readiness", at(READY)),
                ("listen.directory", at(DIRECTORY)),
                ("limits.cpuQuota", "0.25".into()),
                ("bounds.retryBudgetRatio", "0.2".into()),
                ("bounds.budgetSlack", "56".into()),
                ("bounds.configApplyMs", "3000".into()),
                ("bounds.evacuateMs", "5000".into()),
                ("platform.address", self.store.addr.to_string()),
            ]);
            if !self.tenants.is_empty() {
                values.insert("bounds.quotaWindowS", "5".into());
                values.insert("bounds.quotaOvershoot", "0.1".into());
                values.insert("bounds.quotaSlack", "20".into());
            }
            let settings = self.folder.0.join(format!("{name}.ini"));
            if let Err(error) = fs::write(&settings, render(&template, &values)) {
                cannot_run(&error.to_string());
            }
            let child = self.launch(&name);
            self.record.line(&format!("daemon {name} starts at {ip}"));
            self.daemons.push(Daemon { name, ip, child });
        }
        let end = Instant::now() + ms(10_000);
        while !self.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > end {
                cannot_run("the daemons are not ready after 10 s");
            }
            thread::sleep(ms(50));
        }
        // The machines are in touch once the store has been stable for `stableWindowMs` (4 s).
        thread::sleep(ms(4_500));
    }

    /// Starts the process of a daemon whose settings are written.
    fn launch(&self, name: &str) -> Child {
            let settings = self.folder.0.join(format!("{name}.ini"));
            let log = fs::File::options().create(true).append(true).open(self.folder.0.join(format!("{name}.log")));
            let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
            let mut command = Command::new("target/release/rattanturnd");
            command.arg(&settings).env("RATTANTURN_BOOT", &settings).stdin(Stdio::null());
            command.stderr(Stdio::null()).stdout(log);
            // The daemon ends with this process, however that ends (PR_SET_PDEATHSIG).
            unsafe {
                command.pre_exec(|| {
                    prctl(1, SIGKILL as u64);
                    Ok(())
                });
            }
            let child = command.spawn();
            child.unwrap_or_else(|e| cannot_run(&format!("rattanturnd: {e}")))
    }

    /// Kills all daemons at the same moment, and starts them again after `down`.
    fn kill_all(&mut self, down: Duration) {
        self.record.say("all daemons are killed");
        for daemon in &mut self.daemons {
            let _ = daemon.child.kill();
        }
        for daemon in &mut self.daemons {
            let _ = daemon.child.wait();
        }
        thread::sleep(down);
        for i in 0..self.daemons.len() {
            self.daemons[i].child = self.launch(&self.daemons[i].name);
        }
        self.record.say("all daemons are started again");
    }

    fn config(&self, version: u64, routes: &str, services: &str) {
        let text = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":\
             {{\"headerBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}}{}}}",
            self.tenants
        );
        self.store.put("config", "main", &text);
    }
}

/// What a directory answers.
fn resolve(directory: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&directory, ms(1_000)) else {
        return String::new();
    };
    let _ = stream.set_read_timeout(Some(ms(1_000)));
    let path = "/v1/resolve?name=desk.example&region=r&zone=a";
    let request = format!("GET {path} HTTP/1.1\r\nHost: {directory}\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let answer = read_message(&mut stream, &mut Vec::new());
    answer.ok().flatten().map_or(String::new(), |a| String::from_utf8_lossy(&a.body).into_owned())
}

/// A route to one service.
fn route(name: &str, service: &str, kind: &str, timeout: u64, goal: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\
         \"type\":\"{kind}\",\"timeoutMs\":{timeout},\"latencyGoalMs\":{goal},\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":2}}"
    )
}

fn service(name: &str, conns: u32, cold_per_s: f64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":{conns},\"protocol\":\"h1\",\
         \"tls\":false,\"warmupS\":3.0,\"coldPerS\":{cold_per_s}}}"
    )
}

fn find<'a>(servers: &[Arc<Server>], id: &str, out: &'a mut Vec<Arrival>) -> &'a [Arrival] {
    for server in servers {
        out.extend(lock(&server.arrivals).iter().filter(|a| a.id == id).cloned());
    }
    out
}

include!("cases.rs");

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else { cannot_run("usage: stage CASE RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::open(path);
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        cannot_run("it took too long");
    });
    record.say(&format!("case {case}, trouble {trouble}"));
    let stage = Stage::open(record.clone(), trouble);
    let broken = run_case(case, stage);
    let mut text = String::new();
    let _ = write!(text, "{}", if broken { "the rule was broken" } else { "the rule held" });
    record.say(&text);
    exit(i32::from(broken));
}
