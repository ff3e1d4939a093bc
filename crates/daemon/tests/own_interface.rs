//! Requests of the own interface end with an answer when the daemon's process stops.

use {
    actix_rt::{Arbiter, System},
    rattanturn_platform::objects::TABLES_KEY,
    rattanturn_standins::{
        platform::{self, Platform},
        target::{State, Target, TargetConfig},
    },
    rattanturn_tables::TablesObject,
    std::{
        fs,
        io::{self, BufRead, BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, mpsc},
        thread::{self, JoinHandle},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// `drain-limit` of the daemon: its supervisor kills it this long after SIGTERM.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time limit of all requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// Longest wait for an answer or for a line of the log.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Requests run only if they are issued later than the start of the lease term by more than the
/// tolerated clock skew.
const CLOCK_SKEW: Duration = Duration::from_secs(2);
/// Median time of a call at the start.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Stands for the status of a request that was not sent, as its connection was closed before.
const CLOSED: u16 = 1;
/// Factor that makes calls take about half of the drain limit.
const SLOW: f64 = 75.0;
/// Factor that makes calls outlast every test.
const ENDLESS: f64 = 1e5;

/// Targets that do not run yet, far more than the calls of a query, and the time in which a daemon has
/// read the tables with them and acquired their leases.
const ABSENT: u8 = 30;
const TABLES_TIME: Duration = Duration::from_secs(6);

/// Settings of a daemon with one traffic thread.
const ONE_THREAD: &str = "rpc-port = 0\n";
/// Traffic threads of a daemon with several.
const THREADS: u16 = 2;

/// Routes with the same pool; what is usual is learned for each.
const ROUTES: &str = "\
[route search]
kind = single-record
pool = events
deadline = 5s
[route slow-search]
kind = single-record
pool = events
deadline = 5s
[route renew]
kind = single-record
pool = events
idempotent = no
hedging = no
deadline = 5s
[route slow-renew]
kind = single-record
pool = events
idempotent = no
hedging = no
deadline = 5s
";

/// A daemon's process, which is killed when the test ends.
struct Daemon {
    child: Child,
    /// Address for callers.
    addr: SocketAddr,
    gossip: String,
    lines: mpsc::Receiver<String>,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon with `settings` as further lines in its section `[daemon]`.
    fn spawn(name: &str, platform: SocketAddr, settings: &str) -> Self {
        let text = format!(
            "[daemon]\nname = {name}\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
             gossip-port = 0\nhttp-port = 0\ndrain-limit = {}s\n{settings}\
             [platform]\naddress = {platform}\n[log]\nformat = json\nlevel = info\n",
            DRAIN_LIMIT.as_secs(),
        );
        let file = format!("own-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rattanturnd"))
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let (send, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                // The test may have ended.
                let _ = send.send(line);
            }
        });
        let mut daemon = Self {
            child,
            addr: ([127, 0, 0, 1], 0).into(),
            gossip: String::new(),
            lines,
            settings,
        };
        let line = daemon.wait_for_line("\"serving\"");
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let at = |name: &str| line["fields"][name].as_str().unwrap();
        daemon.addr = at("callers").parse().unwrap();
        daemon.gossip = at("gossip").into();
        daemon
    }

    fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(WAIT_LIMIT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for the end of the process, and kills it at the drain limit as a supervisor does.
    fn supervise(&mut self, began: Instant) -> Option<i32> {
        while began.elapsed() < DRAIN_LIMIT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.child.kill().unwrap();
        self.child.wait().unwrap().code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// One or two daemons, of which the first is stopped, with one target and a platform.
struct Site {
    stopped: Daemon,
    other: Option<Daemon>,
    platform: SocketAddr,
    store: Arc<platform::State>,
    target: Arc<State>,
    target_addr: SocketAddr,
    standins: Arbiter,
}

impl Site {
    fn spawn(name: &str) -> Self {
        let mut site = Self::spawn_lone(name, ONE_THREAD);
        let settings = format!("{ONE_THREAD}peers = {}\n", site.stopped.gossip);
        site.other = Some(Daemon::spawn(
            &format!("{name}-2"),
            site.platform,
            &settings,
        ));
        site.wait_ready();
        site
    }

    /// Starts a single daemon, which need not be ready yet.
    fn spawn_lone(name: &str, settings: &str) -> Self {
        let standins = Arbiter::new();
        let (platform, target, state) = spawn_standins(&standins);
        write_tables(&platform.1, &[target]);
        let stopped = Daemon::spawn(&format!("{name}-1"), platform.0, settings);
        Self {
            stopped,
            other: None,
            platform: platform.0,
            store: platform.1,
            target: state,
            target_addr: target,
            standins,
        }
    }

    /// Waits until requests of both kinds run.
    fn wait_ready(&self) {
        let start = Instant::now();
        thread::sleep(CLOCK_SKEW);
        let mut n = 0;
        let mut good = 0;
        // The daemons may still divide the targets and the request ids among themselves.
        while good < 20 {
            assert!(start.elapsed() < WAIT_LIMIT, "the daemons do not serve");
            n += 1;
            let seen = [search(), renew(&format!("ready-{n}"))].map(|t| ask(self.addr(), &t));
            good = if seen == [200, 200] { good + 1 } else { 0 };
            thread::sleep(CALL_TIME);
        }
    }

    fn addr(&self) -> SocketAddr {
        self.stopped.addr
    }

    /// Waits until this many calls run at the target.
    fn wait_for_calls(&self, calls: u32) {
        let start = Instant::now();
        while self.target.running() < calls {
            assert!(start.elapsed() < WAIT_LIMIT, "the calls did not arrive");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.standins.stop();
    }
}

type PlatformHandle = (SocketAddr, Arc<platform::State>);

/// Writes tables with these targets to the store.
fn write_tables(store: &platform::State, targets: &[SocketAddr]) {
    let targets: Vec<String> = targets.iter().map(|t| format!("a@{t}")).collect();
    let pools = format!(
        "[data-centre a]\nregion = r\nstate = in\n\
         [pool events]\nslots = 16\nconnections = 40\n\
         [service events/e]\ntargets = {}\n",
        targets.join(", ")
    );
    let tables = TablesObject::new(ROUTES, &pools, None).unwrap();
    let body = serde_json::to_vec(&tables).unwrap();
    store.put(TABLES_KEY, &body);
}

fn spawn_standins(arbiter: &Arbiter) -> (PlatformHandle, SocketAddr, Arc<State>) {
    let (send, receive) = mpsc::channel();
    arbiter.spawn_fn(move || {
        let platform = Platform::spawn().unwrap();
        let target = Target::spawn(TargetConfig {
            service: "events/e".into(),
            centre: "a".into(),
            slots: 16,
            cold_calls: 16,
            max_connections: 40,
            connect_time: Duration::ZERO,
            service_time: CALL_TIME,
            remote_delay: Duration::ZERO,
            seed: 1,
        })
        .unwrap();
        let shared = (
            (platform.addr(), platform.state()),
            target.addr(),
            target.state(),
        );
        send.send(shared).unwrap();
        // Dropping a stand-in would close its listener.
        std::mem::forget((platform, target));
    });
    receive.recv().unwrap()
}

fn search() -> String {
    search_on("search")
}

fn renew(id: &str) -> String {
    renew_on("renew", id)
}

fn search_on(route: &str) -> String {
    format!("POST /query/{route} HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx")
}

fn renew_on(route: &str, id: &str) -> String {
    renew_issued_at(route, id, unix_ms())
}

fn renew_issued_at(route: &str, id: &str, issued: u128) -> String {
    format!(
        "POST /query/{route} HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nx-issued: {issued}\r\n\
         content-length: 1\r\n\r\nx"
    )
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap().as_millis()
}

/// The first of as many consecutive ports as a daemon with several threads needs.
fn free_ports() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = first.local_addr().unwrap().port();
        let next = (1..THREADS).map(|n| TcpListener::bind(("127.0.0.1", port.wrapping_add(n))));
        if next.collect::<io::Result<Vec<_>>>().is_ok() {
            return port;
        }
    }
}

/// Sends bytes on a new connection and returns the status of the answer; 0 without one.
fn ask(addr: SocketAddr, text: &str) -> u16 {
    let answer = TcpStream::connect(addr).and_then(|stream| exchange(stream, text));
    answer.unwrap_or(0)
}

fn exchange(mut stream: TcpStream, text: &str) -> io::Result<u16> {
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    stream.write_all(text.as_bytes())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    let status = std::str::from_utf8(&status[9..]).ok();
    Ok(status.and_then(|s| s.parse().ok()).unwrap_or(0))
}

fn spawn_asks(addr: SocketAddr, texts: Vec<String>) -> Vec<JoinHandle<u16>> {
    let spawn = |text: String| thread::spawn(move || ask(addr, &text));
    texts.into_iter().map(spawn).collect()
}

/// Whether the daemon has closed a connection on which nothing was sent.
fn is_closed(mut stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let closed = matches!(stream.read(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    closed
}

fn statuses(asks: Vec<JoinHandle<u16>>) -> Vec<u16> {
    asks.into_iter().map(|a| a.join().unwrap()).collect()
}

/// Guards against requests that are cut at the end of a stop, and a stop that outlasts its limit.
#[test]
fn requests_open_at_the_end_of_a_stop_are_answered() {
    System::new().block_on(async {
        let mut site = Site::spawn("open");
        site.target.set_slow(ENDLESS);
        let mut texts = vec![search(); 4];
        texts.extend((0..4).map(|n| renew(&format!("open-{n}"))));
        let running = spawn_asks(site.addr(), texts);
        site.wait_for_calls(8);
        let part = "POST /query/search HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nx";
        let partial = spawn_asks(site.addr(), vec![part.into()]);
        thread::sleep(CALL_TIME);
        let began = Instant::now();
        site.stopped.terminate();
        let code = site.stopped.supervise(began);
        // Whether the first ones ran is not known.
        assert_eq!(
            (statuses(running), statuses(partial)),
            (vec![504; 8], vec![503])
        );
        assert_eq!(code, Some(0));
    });
}

/// Guards against requests that are begun although they cannot end before the stop does.
#[test]
fn requests_that_cannot_end_before_the_stop_are_refused_at_once() {
    System::new().block_on(async {
        let mut site = Site::spawn("late");
        // The usual time of both routes becomes longer than what the stop leaves.
        site.target.set_slow(SLOW);
        let mut slow = vec![search_on("slow-search"); 6];
        slow.extend((0..6).map(|n| renew_on("slow-renew", &format!("slow-{n}"))));
        statuses(spawn_asks(site.addr(), slow));
        let ran = site.target.counters().ran;
        let began = Instant::now();
        site.stopped.terminate();
        thread::sleep(DRAIN_LIMIT * 6 / 10);
        let late = spawn_asks(
            site.addr(),
            vec![search_on("slow-search"), renew_on("slow-renew", "late")],
        );
        assert_eq!(statuses(late), [503, 503]);
        assert_eq!(site.stopped.supervise(began), Some(0));
        assert_eq!(site.target.counters().ran, ran);
    });
}

/// Guards against requests on open connections that are cut when the listener closes.
#[test]
fn open_connections_are_served_or_closed_cleanly_during_a_stop() {
    System::new().block_on(async {
        let mut site = Site::spawn("idle");
        // None sends its request while the connections close.
        let times = (0..20).filter(|n| !(12..16).contains(n));
        let streams: Vec<_> = times
            .map(|n| (n, TcpStream::connect(site.addr()).unwrap()))
            .collect();
        let began = Instant::now();
        site.stopped.terminate();
        let callers: Vec<_> = streams
            .into_iter()
            .map(|(n, stream)| {
                thread::spawn(move || {
                    thread::sleep(DRAIN_LIMIT * n / 20);
                    if is_closed(&stream) {
                        return CLOSED;
                    }
                    exchange(stream, &search()).unwrap_or(0)
                })
            })
            .collect();
        let code = site.stopped.supervise(began);
        let seen = statuses(callers);
        assert!(seen.iter().all(|s| [200, CLOSED].contains(s)), "{seen:?}");
        assert!(seen.contains(&200) && seen.contains(&CLOSED), "{seen:?}");
        assert_eq!(code, Some(0));
    });
}

/// Guards against targets that stay at work for callers that have left.
#[test]
fn targets_are_freed_when_callers_leave() {
    System::new().block_on(async {
        let site = Site::spawn("left");
        site.target.set_slow(ENDLESS);
        let send = || {
            let mut stream = TcpStream::connect(site.addr()).unwrap();
            stream.write_all(search().as_bytes()).unwrap();
            stream
        };
        let (closed, reset) = (send(), send());
        site.wait_for_calls(2);
        reset.set_nonblocking(true).unwrap();
        let reset = tokio::net::TcpStream::from_std(reset).unwrap();
        reset.set_zero_linger().unwrap();
        drop((closed, reset));
        let left = Instant::now();
        while site.target.running() > 0 {
            let calls = site.target.running();
            assert!(left.elapsed() < DEADLINE / 2, "{calls} calls still run");
            thread::sleep(Duration::from_millis(10));
        }
    });
}

/// Guards against requests that are dropped, or run for too long, when only the input has ended.
#[test]
fn half_closed_callers_get_an_answer() {
    System::new().block_on(async {
        let site = Site::spawn("half");
        let half_closed = |text: &str| {
            let mut stream = TcpStream::connect(site.addr()).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            exchange(stream, "").unwrap_or(0)
        };
        let short = [search(), renew("half")].map(|t| half_closed(&t));
        assert_eq!(short, [200, 200]);
        site.target.set_slow(ENDLESS);
        let began = Instant::now();
        assert_eq!(half_closed(&search()), 504);
        assert!(began.elapsed() < DEADLINE / 2, "{:?}", began.elapsed());
    });
}

/// Sends requests of both kinds to the daemons until their listeners close, and returns those that were
/// neither served nor refused at once.
fn unserved_in_stop(addrs: &[SocketAddr], began: Instant) -> Vec<(u16, Duration, Duration)> {
    let mut unserved = Vec::new();
    let mut n = 0;
    while began.elapsed() < DRAIN_LIMIT / 2 {
        n += 1;
        for addr in addrs {
            for text in [search(), renew(&format!("stop-{n}-{addr}"))] {
                let sent = Instant::now();
                let status = ask(*addr, &text);
                if ![200, 503].contains(&status) || sent.elapsed() > DEADLINE / 5 {
                    unserved.push((status, sent - began, sent.elapsed()));
                }
            }
        }
        thread::sleep(CALL_TIME);
    }
    unserved
}

/// Guards against leases that a daemon gives up although no other one can take them.
#[test]
fn a_lone_daemon_serves_in_the_first_part_of_its_stop() {
    System::new().block_on(async {
        let mut site = Site::spawn_lone("lone", ONE_THREAD);
        site.wait_ready();
        let began = Instant::now();
        site.stopped.terminate();
        let ran = site.target.counters().ran;
        assert_eq!(unserved_in_stop(&[site.addr()], began), []);
        assert!(site.target.counters().ran > ran, "all were refused");
        // It ends before the limit, as it holds nothing that it has to wait for.
        assert_eq!(site.stopped.supervise(began), Some(0));
        let took = began.elapsed();
        assert!(took < DRAIN_LIMIT * 7 / 8, "{took:?}");
    });
}

/// Guards against the same if all daemons stop at once: the units of one are taken over by none.
#[test]
fn daemons_that_stop_at_once_serve_in_the_first_part_of_their_stop() {
    System::new().block_on(async {
        let mut site = Site::spawn("all");
        let mut other = site.other.take().unwrap();
        let began = Instant::now();
        site.stopped.terminate();
        other.terminate();
        let ran = site.target.counters().ran;
        assert_eq!(unserved_in_stop(&[site.addr(), other.addr], began), []);
        assert!(site.target.counters().ran > ran, "all were refused");
        let codes = [site.stopped.supervise(began), other.supervise(began)];
        assert_eq!(codes, [Some(0); 2]);
    });
}

/// Guards against tables that a thread which does not have them hands over, so that retries get
/// "unknown".
#[test]
fn retries_get_the_first_outcome_after_a_daemon_with_several_threads_was_stopped() {
    System::new().block_on(async {
        let threads = || format!("threads = {THREADS}\nrpc-port = {}\n", free_ports());
        let mut site = Site::spawn_lone("threads", &threads());
        let settings = format!("{}peers = {}\n", threads(), site.stopped.gossip);
        let other = Daemon::spawn("threads-2", site.platform, &settings);
        site.wait_ready();
        let issued = unix_ms();
        let renew_all = || -> Vec<u16> {
            let text = |n| renew_issued_at("renew", &format!("table-{n}"), issued);
            (0..60).map(|n| ask(other.addr, &text(n))).collect()
        };
        assert_eq!(renew_all(), [200; 60]);
        let ran = site.target.counters().ran;
        let began = Instant::now();
        site.stopped.terminate();
        assert_eq!(site.stopped.supervise(began), Some(0));
        assert_eq!(renew_all(), [200; 60]);
        assert_eq!(site.target.counters().ran, ran);
    });
}

/// Guards against refusals because of calls that were not sent, while another target serves.
#[test]
fn queries_are_served_while_most_targets_of_their_pool_are_absent() {
    System::new().block_on(async {
        let site = Site::spawn_lone("absent", ONE_THREAD);
        site.wait_ready();
        // Nothing listens on the discard port.
        let absent = (1..=ABSENT).map(|n| SocketAddr::from(([127, 0, 9, n], 9)));
        let targets: Vec<SocketAddr> = absent.chain([site.target_addr]).collect();
        write_tables(&site.store, &targets);
        let start = Instant::now();
        let mut refused = Vec::new();
        while start.elapsed() < TABLES_TIME {
            let asked = start.elapsed();
            match ask(site.addr(), &search()) {
                200 => {}
                status => refused.push((status, asked)),
            }
        }
        assert_eq!(refused, []);
    });
}
