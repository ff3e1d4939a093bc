//! Memory of a daemon's process beside callers and servers that keep it waiting, or send without end.
//!
//! The stand-ins and the callers run in the test's process, so that the daemon's peak is its own.

use {
    actix_rt::{System, time::sleep},
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::{AsyncReadExt as _, future::join_all},
    rattanturn_standins::{
        operator::{ConfigBuilder, HOST, register_target},
        platform::Platform,
        shard::{self, Endless, Fault, State, TargetConfig},
    },
    rattanturn_wire::peer_capnp::peer,
    rustix::process::{Resource, Rlimit, getrlimit, setrlimit},
    std::{
        cell::Cell,
        fs,
        io::{BufRead, BufReader},
        net::{SocketAddr, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        rc::Rc,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
    tokio_util::compat::TokioAsyncReadCompatExt,
};

/// Memory of the daemon's VM, in MB: that of the smallest of the deployments.
const MEMORY_MB: u64 = 128;
/// Copies of the records that make an answer of 7 MB.
const LARGE: usize = 36_500;
/// Time limit of requests for large answers.
const LARGE_LIMIT_MS: u64 = 5_000;
/// Records of a server take this many bytes.
const RECORDS_BYTES: usize = 192;
/// Descriptors that the callers and the daemon need.
const DESCRIPTORS: u64 = 8_192;
/// Longest wait for the daemon's first log lines, and for any answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Services: one whose servers are faulty or send large answers, and one that is sound.
const SERVICES: [&str; 2] = ["large", "sound"];

/// Held by tests that open thousands of connections: all tests of this process share its descriptors.
static MANY_CONNECTIONS: Mutex<()> = Mutex::new(());

fn many_connections() -> MutexGuard<'static, ()> {
    let lock = MANY_CONNECTIONS.lock();
    lock.unwrap_or_else(PoisonError::into_inner)
}

/// A daemon's process.
struct Daemon {
    child: Child,
    front: SocketAddr,
    /// Where other daemons connect.
    peers: SocketAddr,
    /// Where callers look addresses up.
    directory: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    ready: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    async fn spawn(name: &str, settings_text: String) -> Self {
        let settings = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        fs::write(&settings, settings_text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rattanturnd"))
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        // The log is read in a thread of its own, as the store runs on this one.
        let addresses = actix_rt::task::spawn_blocking(move || {
            let addresses = addresses(&mut output);
            std::thread::spawn(move || output.lines().count());
            addresses
        });
        let [front, peers, directory, ready] = addresses.await.unwrap();
        Self {
            child,
            front,
            peers,
            directory,
            ready,
            settings,
        }
    }

    /// Most memory that the daemon has used so far, in MB.
    fn peak_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("the daemon ended");
        let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kib * 1_024 / 1_000_000
    }

    fn assert_within_memory(&self) {
        let peak = self.peak_mb();
        println!("peak {peak} MB");
        assert!(peak < MEMORY_MB, "{peak} MB used of {MEMORY_MB}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// A daemon, the servers and the store.
struct Tier {
    daemon: Daemon,
    /// Two servers of each service.
    servers: Vec<Arc<State>>,
    store: Platform,
}

impl Tier {
    async fn spawn(name: &str) -> Self {
        Self::spawn_with(name, MEMORY_MB).await
    }

    async fn spawn_with(name: &str, memory_mb: u64) -> Self {
        let memory = format!("memory-mb = {memory_mb}");
        let tier = Self::start(name, "name = d0\ngossip-port = 0", &memory).await;
        tier.wait_ready().await;
        tier
    }

    /// Starts a daemon whose settings have these lines.
    async fn start(name: &str, gossip: &str, tier: &str) -> Self {
        raise_descriptors();
        let store = Platform::spawn().unwrap();
        let mut servers = Vec::new();
        for service in SERVICES {
            for n in 0..2 {
                let config = TargetConfig {
                    id: format!("{service}-{n}"),
                    service: service.into(),
                    centre: "a".into(),
                    service_time: Duration::from_millis(10),
                    version: "v1".into(),
                };
                let server = shard::spawn(config).await.unwrap();
                register_target(&store.state(), &server, "ready", 1);
                servers.push(server);
            }
        }
        let services = SERVICES.map(str::to_owned);
        ConfigBuilder::default()
            .gather_route("/all/", &services, LARGE_LIMIT_MS / 2)
            .limits(LARGE_LIMIT_MS, LARGE_LIMIT_MS / 2)
            .single_route("/large/", "large", true)
            .limits(LARGE_LIMIT_MS, LARGE_LIMIT_MS / 2)
            .single_route("/once/", "large", false)
            .limits(LARGE_LIMIT_MS, LARGE_LIMIT_MS / 2)
            .single_route("/sound/", "sound", true)
            .write(&store.state());
        let text = settings_text(gossip, tier, store.addr());
        Self {
            daemon: Daemon::spawn(name, text).await,
            servers,
            store,
        }
    }

    async fn wait_ready(&self) {
        let began = Instant::now();
        while self.ask("/sound/x").await != Some((200, RECORDS_BYTES)) {
            assert!(began.elapsed() < ANSWER_TIMEOUT, "not ready");
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.front).await.unwrap()
    }

    /// Sends a request; the answer is left unread.
    async fn send(&self, path: &str, id: &str) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(&head(path, id, "")).await.unwrap();
        stream
    }

    /// Status and length of the answer to a request.
    async fn ask(&self, path: &str) -> Option<(u16, usize)> {
        let mut stream = self.send(path, "asked").await;
        read_answer(&mut stream).await
    }

    /// Asks until the request is not refused. A hedge of an earlier one may hold memory until its deadline.
    async fn ask_until_room(&self, path: &str) -> (u16, usize) {
        let until = Instant::now() + Duration::from_millis(LARGE_LIMIT_MS);
        loop {
            let answer = self.ask(path).await.expect("an answer");
            if answer.0 != 503 || Instant::now() > until {
                return answer;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asks the sound service again and again for a time, and fails if it does not answer.
    async fn check_sound(&self, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            let answer = self.ask("/sound/x").await;
            assert_eq!(answer, Some((200, RECORDS_BYTES)), "of the sound service");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Lets this process, and with it the daemon, open as many files as callers need.
fn raise_descriptors() {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.maximum.map_or(DESCRIPTORS, |m| m.min(DESCRIPTORS));
    let raised = Rlimit {
        current: Some(current),
        ..limit
    };
    setrlimit(Resource::Nofile, raised).unwrap();
}

/// Settings of a daemon with a store; `gossip` and `tier` are lines of these sections.
fn settings_text(gossip: &str, tier: &str, store: SocketAddr) -> String {
    format!(
        "[daemon]\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\nrpc-port = 0\n\
         drain-limit = 3s\n{gossip}\n\
         [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n{tier}\n\
         [platform]\naddress = {store}\n[log]\nformat = json\n"
    )
}

/// Addresses for callers, peers, lookups and readiness checks, which the daemon logs when it serves.
fn addresses(output: &mut impl BufRead) -> [SocketAddr; 4] {
    loop {
        let mut line = String::new();
        assert!(output.read_line(&mut line).unwrap() > 0, "the daemon ended");
        let field = |name: &str| {
            let (_, rest) = line.split_once(&format!("\"{name}\":\""))?;
            rest.split('"').next()?.parse().ok()
        };
        let names = ["callers", "peers", "directory", "ready"];
        if let [Some(front), Some(peers), Some(directory), Some(ready)] = names.map(field) {
            return [front, peers, directory, ready];
        }
    }
}

fn head(path: &str, id: &str, extra: &str) -> Vec<u8> {
    let method = if extra.is_empty() { "GET" } else { "POST" };
    format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n{extra}\r\n").into()
}

/// Status and length of the next answer on a connection; `None` if it is not whole.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, usize)> {
    let mut read = Vec::new();
    let whole = async {
        loop {
            if stream.read_buf(&mut read).await.ok()? == 0 {
                return None;
            }
            let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") else {
                continue;
            };
            let text = String::from_utf8_lossy(&read[..end]).to_lowercase();
            let status = text.get(9..12)?.parse().ok()?;
            let (_, length) = text.split_once("content-length: ")?;
            let length: usize = length.lines().next()?.trim().parse().ok()?;
            while read.len() < end + 4 + length {
                if stream.read_buf(&mut read).await.ok()? == 0 {
                    return None;
                }
            }
            return Some((status, length));
        }
    };
    timeout(ANSWER_TIMEOUT, whole).await.ok()?
}

/// Lets callers ask for large answers, reads none of them for a time, and returns what comes then.
async fn read_late(tier: &Tier, callers: usize, silent: Duration) -> Vec<Option<(u16, usize)>> {
    let path = format!("/large/copies-{LARGE}");
    let mut streams = Vec::new();
    for n in 0..callers {
        streams.push(tier.send(&path, &format!("late-{n}")).await);
    }
    tier.check_sound(silent).await;
    join_all(streams.iter_mut().map(read_answer)).await
}

/// Guards against memory that grows with each whole answer whose caller does not read it.
#[test]
fn large_answers_of_callers_that_do_not_read_stay_within_the_memory() {
    System::new().block_on(async {
        let tier = Tier::spawn("unread-answers").await;
        let answers = read_late(&tier, 300, Duration::from_secs(7)).await;
        tier.daemon.assert_within_memory();
        let whole = Some((200, LARGE * RECORDS_BYTES));
        let served = answers.iter().filter(|a| **a == whole).count();
        let refused = |a: &&Option<(u16, usize)>| matches!(a, Some((502..=504, _)));
        let refused = answers.iter().filter(refused).count();
        println!("{served} served, {refused} refused of {}", answers.len());
        assert!(served > 0);
        assert_eq!(served + refused, answers.len(), "the others have no answer");
        // All memory is free again.
        assert_eq!(tier.ask(&format!("/large/copies-{LARGE}")).await, whole);
    });
}

/// Guards against requests that run although there is no memory for their answers.
#[test]
fn requests_without_memory_for_their_answers_are_refused_before_they_run() {
    System::new().block_on(async {
        let tier = Tier::spawn("refused-calls").await;
        let (path, whole) = (format!("/once/copies-{LARGE}"), LARGE * RECORDS_BYTES);
        // The sizes of the servers' answers are known from now on.
        for _ in 0..4 {
            assert_eq!(tier.ask(&path).await, Some((200, whole)), "alone");
        }
        let mut unread = Vec::new();
        for n in 0..40 {
            let path = format!("/large/copies-{LARGE}");
            unread.push(tier.send(&path, &format!("unread-{n}")).await);
        }
        sleep(Duration::from_secs(2)).await;
        let mut refused = 0;
        for n in 0..20 {
            let id = format!("once-{n}");
            let answer = read_answer(&mut tier.send(&path, &id).await).await;
            let runs: u32 = tier.servers.iter().map(|s| s.runs(&id)).sum();
            match answer.expect("an answer").0 {
                200 => assert_eq!(runs, 1),
                503 => {
                    assert_eq!(runs, 0, "{id}");
                    refused += 1;
                }
                status => panic!("{id}: {status}"),
            }
        }
        println!("{refused} refused");
        assert!(refused > 0, "there was memory for all");
        tier.daemon.assert_within_memory();
    });
}

/// Guards against a route that is refused for good after answers that are too large for the memory.
#[test]
fn a_route_is_served_again_after_answers_beyond_the_memory() {
    System::new().block_on(async {
        // Two fifths of a third of it are 5.3 MB.
        let tier = Tier::spawn_with("too-large", 40).await;
        for route in ["/once", "/large"] {
            for copies in [25_000, LARGE, LARGE] {
                let path = format!("{route}/copies-{copies}");
                let (status, _) = tier.ask_until_room(&path).await;
                let expected = if copies == LARGE { 502 } else { 200 };
                assert_eq!(status, expected, "{route}, {copies} copies");
            }
            let answer = tier.ask_until_room(&format!("{route}/x")).await;
            assert_eq!(answer, (200, RECORDS_BYTES), "{route}");
        }
    });
}

/// Guards against memory that grows with each part that waits for the other parts of its query.
#[test]
fn parts_that_wait_for_others_stay_within_the_memory() {
    System::new().block_on(async {
        let tier = Tier::spawn("waiting-parts").await;
        for server in &tier.servers[2..] {
            server.pause(Duration::from_secs(3));
        }
        // Each part has 2 MB.
        let path = format!("/all/copies-{}", 2_000_000 / RECORDS_BYTES);
        let mut streams = Vec::new();
        for n in 0..200 {
            streams.push(tier.send(&path, &format!("part-{n}")).await);
        }
        let answers = join_all(streams.iter_mut().map(read_answer)).await;
        let served = answers.iter().filter(|a| matches!(a, Some((200, _))));
        println!("{} served of {}", served.count(), answers.len());
        assert!(answers.iter().all(Option::is_some), "without an answer");
        tier.daemon.assert_within_memory();
    });
}

/// Guards against small answers that are refused because others of their route were large.
#[test]
fn small_answers_are_served_beside_large_ones_of_their_route() {
    System::new().block_on(async {
        let tier = Tier::spawn("mixed-sizes").await;
        let large = format!("/large/copies-{LARGE}");
        for round in 0..4 {
            let whole = Some((200, LARGE * RECORDS_BYTES));
            assert_eq!(tier.ask(&large).await, whole, "round {round}");
            let mut streams = Vec::new();
            for n in 0..60 {
                streams.push(tier.send("/large/x", &format!("small-{round}-{n}")).await);
            }
            for answer in join_all(streams.iter_mut().map(read_answer)).await {
                assert_eq!(answer, Some((200, RECORDS_BYTES)), "round {round}");
            }
        }
    });
}

/// Guards against memory that grows with each caller that stops in the middle of a large request.
#[test]
fn large_requests_that_stall_stay_within_the_memory() {
    let _alone = many_connections();
    System::new().block_on(async {
        let tier = Tier::spawn("stalled-requests").await;
        let (part, length) = (vec![b'x'; 250_000], 260_000);
        let mut streams = Vec::new();
        for n in 0..1_500 {
            let mut stream = tier.connect().await;
            let head = head("/large/x", &format!("stalled-{n}"), &length_of(length));
            // The daemon may refuse it before it was sent as a whole.
            let sent = async {
                stream.write_all(&head).await?;
                stream.write_all(&part).await
            };
            let _ = timeout(Duration::from_secs(1), sent).await;
            streams.push(stream);
        }
        tier.check_sound(Duration::from_secs(3)).await;
        tier.daemon.assert_within_memory();
        // A caller that sends all of its request finds room among those that have stalled.
        let mut stream = tier.connect().await;
        let head = head("/sound/x", "sent", &length_of(length));
        stream.write_all(&head).await.unwrap();
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        assert_eq!(
            read_answer(&mut stream).await,
            Some((200, RECORDS_BYTES)),
            "a request that is sent as a whole"
        );
    });
}

fn length_of(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n")
}

/// Guards against an answer that is kept without end for a caller that never reads it.
#[test]
fn connection_of_a_caller_that_never_reads_is_closed() {
    System::new().block_on(async {
        let tier = Tier::spawn("never-read").await;
        let mut stream = tier.send(&format!("/large/copies-{LARGE}"), "never").await;
        // The stand-in's configuration closes connections that are idle for 15 s.
        tier.check_sound(Duration::from_secs(17)).await;
        assert_eq!(read_answer(&mut stream).await, None, "a whole answer");
    });
}

/// Guards against memory that grows with the number of endless answers that are read at once.
#[test]
fn endless_answers_to_many_callers_stay_within_the_memory() {
    System::new().block_on(async {
        let tier = Tier::spawn("endless-answers").await;
        let kinds = [
            Endless::Head,
            Endless::Informational,
            Endless::OtherAnswers,
            Endless::Body,
            Endless::Chunks,
            Endless::ChunkExtension,
        ];
        for kind in kinds {
            for server in &tier.servers[..2] {
                server.set_fault(Fault::Endless(kind));
            }
            let mut streams = Vec::new();
            for n in 0..100 {
                streams.push(tier.send("/large/x", &format!("{kind:?}-{n}")).await);
            }
            tier.check_sound(Duration::from_secs(1)).await;
            for stream in &mut streams {
                let answer = read_answer(stream).await.expect("an answer");
                assert!(matches!(answer.0, 502..=504), "{kind:?}: {answer:?}");
            }
            println!("{kind:?}: peak {} MB", tier.daemon.peak_mb());
        }
        tier.daemon.assert_within_memory();
    });
}

/// Guards against memory that grows with each message of a peer that is long or has no end.
#[test]
fn long_messages_of_peers_stay_within_the_memory() {
    /// Words of a message of 60 MB, which the library reads by default.
    const WORDS: u32 = 7_500_000;
    System::new().block_on(async {
        let tier = Tier::spawn("long-messages").await;
        let mut streams = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(tier.daemon.peers).await.unwrap();
            // The head of a message: it has one segment of this length.
            let head = [0_u32.to_le_bytes(), WORDS.to_le_bytes()].concat();
            let part = vec![0; 59_000_000];
            let sent = async {
                stream.write_all(&head).await?;
                stream.write_all(&part).await
            };
            // Fails once the daemon has closed the connection.
            let _ = timeout(Duration::from_secs(2), sent).await;
            streams.push(stream);
        }
        tier.check_sound(Duration::from_millis(500)).await;
        tier.daemon.assert_within_memory();
    });
}

/// Guards against memory that grows with each head of a lookup that is long or has no end.
#[test]
fn long_heads_of_lookups_stay_within_the_memory() {
    let _alone = many_connections();
    System::new().block_on(async {
        let tier = Tier::spawn("long-heads").await;
        let mut endless = b"GET / HTTP/1.1\r\nx-long: ".to_vec();
        endless.resize(120_000, b'x');
        let mut streams = Vec::new();
        for addr in [tier.daemon.directory, tier.daemon.ready] {
            for _ in 0..2_000 {
                let mut stream = TcpStream::connect(addr).await.unwrap();
                // Fails once the daemon has closed the connection.
                let _ = timeout(Duration::from_millis(200), stream.write_all(&endless)).await;
                streams.push(stream);
            }
        }
        let mut lookup = TcpStream::connect(tier.daemon.directory).await.unwrap();
        lookup.write_all(&head("/", "lookup", "")).await.unwrap();
        let answer = read_answer(&mut lookup).await;
        assert!(matches!(answer, Some((404, _))), "{answer:?}");
        tier.daemon.assert_within_memory();
    });
}

/// Guards against memory that grows with the number of peers that stop in the middle of a request.
#[test]
fn requests_of_many_peers_stay_within_the_memory() {
    let _alone = many_connections();
    System::new().block_on(async {
        let tier = Tier::spawn("many-peers").await;
        let mut streams = Vec::new();
        for bytes in [64_000, 8_000] {
            // A message with one segment, of which the last word is missing.
            let words = u32::try_from(bytes / 8).unwrap();
            let head = [0_u32.to_le_bytes(), words.to_le_bytes()].concat();
            let part = [head, vec![0; bytes - 8]].concat();
            for _ in 0..2_000 {
                let mut stream = TcpStream::connect(tier.daemon.peers).await.unwrap();
                // Fails once the daemon has closed the connection.
                let _ = timeout(Duration::from_millis(200), stream.write_all(&part)).await;
                streams.push(stream);
            }
        }
        tier.check_sound(Duration::from_millis(500)).await;
        tier.daemon.assert_within_memory();
    });
}

/// Guards against memory that grows with each answer that a peer does not read.
#[test]
fn answers_that_peers_do_not_read_stay_within_the_memory() {
    /// Number of peers.
    const PEERS: usize = 40;
    /// Requests of each.
    const REQUESTS: usize = 1_000;
    System::new().block_on(async {
        let tier = Tier::spawn("unread-by-peers").await;
        // All of them take some 600 KB in an answer.
        for n in 0..3_000 {
            let name = format!("further-{n}");
            let mut entry = tier.servers[0].entry("ready", 1);
            entry["service"] = "further".into();
            tier.store.state().write("servers", &name, entry);
        }
        sleep(Duration::from_secs(3)).await;
        let mut peers = Vec::new();
        for _ in 0..PEERS {
            let stream = TcpStream::connect(tier.daemon.peers).await.unwrap();
            let (reader, writer) = stream.compat().split();
            let network = VatNetwork::new(reader, writer, Side::Client, ReaderOptions::new());
            let mut system = RpcSystem::new(Box::new(network), None);
            let client: peer::Client = system.bootstrap(Side::Server);
            let answers: Vec<_> = (0..REQUESTS)
                .map(|_| client.targets_request().send().promise)
                .collect();
            // The requests are sent in this time; nothing is read afterwards.
            let _ = timeout(Duration::from_millis(20), &mut system).await;
            peers.push((system, answers));
        }
        tier.check_sound(Duration::from_secs(3)).await;
        tier.daemon.assert_within_memory();
    });
}

/// Guards against answers that count only at one of the two daemons that pass them on.
#[test]
fn unread_answers_that_a_peer_passes_on_stay_within_the_memory_of_both() {
    System::new().block_on(async {
        let [own, peer] = free_udp_ports();
        let gossip = |name: &str, port, peer| {
            format!("name = {name}\ngossip-port = {port}\npeers = 127.0.0.1:{peer}")
        };
        let memory = format!("memory-mb = {MEMORY_MB}");
        // Nothing listens at this gateway, so the daemon reaches no server itself.
        let cut_off = format!("{memory}\ntarget-gateway = 127.0.0.2");
        let tier = Tier::start("relays", &gossip("d0", own, peer), &cut_off).await;
        let other = settings_text(&gossip("d1", peer, own), &memory, tier.store.addr());
        let other = Daemon::spawn("runs-for-peer", other).await;
        tier.wait_ready().await;
        let answers = read_late(&tier, 300, Duration::from_secs(7)).await;
        tier.daemon.assert_within_memory();
        other.assert_within_memory();
        assert!(answers.iter().all(Option::is_some), "without an answer");
        // All memory is free again.
        let answer = tier.ask_until_room(&format!("/large/copies-{LARGE}")).await;
        assert_eq!(answer, (200, LARGE * RECORDS_BYTES));
    });
}

/// Ports that no one uses at the time.
fn free_udp_ports() -> [u16; 2] {
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    sockets.map(|s| s.local_addr().unwrap().port())
}

/// Guards against memory that grows with what a faulty store sends without end.
#[test]
fn endless_answers_of_the_store_stay_within_the_memory() {
    System::new().block_on(async {
        let page = r#"{"items":[{"meta":{"name":"x","revision":1},"spec":{}}],"more":true,"#;
        let kinds = [
            ("head", "HTTP/1.1 200 OK\r\nx-long: ".to_owned()),
            ("lines", "HTTP/1.1 200 OK\r\n".to_owned()),
            ("body", format!("HTTP/1.1 200 OK\r\n\r\n{page}")),
            (
                "chunks",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
            ),
        ];
        for (kind, begin) in kinds {
            let part = match kind {
                "lines" => "x-line: of a head\r\n".repeat(4_000),
                "chunks" => format!("8000\r\n{}\r\n", "x".repeat(0x8000)),
                _ => "x".repeat(64_000),
            };
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let store = listener.local_addr().unwrap();
            let sent = Rc::new(Cell::new(0));
            let server = actix_rt::spawn(send_without_end(listener, begin, part, sent.clone()));
            let memory = format!("memory-mb = {MEMORY_MB}");
            let text = settings_text("name = d0\ngossip-port = 0", &memory, store);
            let daemon = Daemon::spawn("endless-store", text).await;
            sleep(Duration::from_secs(2)).await;
            println!("{kind}: {} MB sent", sent.get() / 1_000_000);
            assert!(sent.get() > 0, "{kind}: the store is not read");
            daemon.assert_within_memory();
            server.abort();
        }
    });
}

/// Answers each connection with `begin` and then `part` again and again, until it is closed; counts
/// the bytes.
async fn send_without_end(
    listener: TcpListener,
    begin: String,
    part: String,
    sent: Rc<Cell<usize>>,
) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (begin, part, sent) = (begin.clone(), part.clone(), sent.clone());
        actix_rt::spawn(async move {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let mut next = stream.write_all(begin.as_bytes()).await;
            while next.is_ok() {
                sent.set(sent.get() + part.len());
                next = stream.write_all(part.as_bytes()).await;
            }
        });
    }
}

/// Guards against answers to lookups that are kept for clients that ask again and again and read nothing.
#[test]
fn unread_answers_to_lookups_stay_within_the_memory() {
    System::new().block_on(async {
        let tier = Tier::spawn("unread-lookups").await;
        let lookups = head("/v1/resolve?zone=a", "lookup", "").repeat(200_000);
        let clients = (0..100).map(|_| async {
            let mut stream = TcpStream::connect(tier.daemon.directory).await.unwrap();
            let _ = timeout(Duration::from_secs(3), stream.write_all(&lookups)).await;
            stream
        });
        let streams = join_all(clients).await;
        tier.check_sound(Duration::from_millis(500)).await;
        drop(streams);
        tier.daemon.assert_within_memory();
    });
}
