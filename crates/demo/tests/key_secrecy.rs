//! No key of a caller is in anything that a daemon writes: its log at the finest level, state dump,
//! metrics, explanations, stored objects, datagrams and answers.
//!
//! A test program of its own, because the daemons of a process share one log.

use {
    actix_rt::{System, time::sleep},
    rattanturn_cli::explain::{explain, most_severe},
    rattanturn_demo::tier_cluster::{Options, TierCluster, get},
    rattanturn_standins::{
        operator::HOST,
        shard::{Crash, Fault},
    },
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    tracing_subscriber::{
        filter::{LevelFilter, Targets},
        fmt::MakeWriter,
        layer::SubscriberExt,
        util::SubscriberInitExt,
    },
};

/// Part of each key of this test, also of those that are malformed.
const MARK: &str = "zqsecretqz";
/// Time after which all daemons must have applied a new configuration.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Collects the log of all daemons in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    fn text(&self) -> String {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&all).into_owned()
    }
}

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Asserts that no key is in a text; `what` says where it comes from.
fn assert_no_key(what: &str, text: &str) {
    let found = text.lines().find(|l| l.contains(MARK));
    assert!(found.is_none(), "{what} has a key: {found:?}");
}

fn key(name: &str) -> String {
    format!("{name}{MARK}{name}")
}

fn accounts() -> Value {
    json!([
        {"name": "hot", "apiKeys": [key("hot"), key("more")], "ratePerS": 5, "burst": 2},
        {"name": "free", "apiKeys": [key("free")]},
    ])
}

/// Sends bytes on a new connection; returns the start of the answer.
async fn send_bytes(at: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(at).await.unwrap();
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = timeout(Duration::from_secs(2), async {
        while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
            if !matches!(stream.read_buf(&mut answer).await, Ok(n) if n > 0) {
                break;
            }
        }
    })
    .await;
    answer
}

/// Sends a request with these header lines; returns the status.
async fn send(at: SocketAddr, path: &str, id: &str, lines: &[Vec<u8>]) -> u16 {
    let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n");
    let lines: Vec<u8> = lines
        .iter()
        .flat_map(|l| [&l[..], &b"\r\n"[..]].concat())
        .collect();
    let bytes = [head.as_bytes(), &lines, b"\r\n"].concat();
    let answer = send_bytes(at, &bytes).await;
    assert_no_key("an answer", &String::from_utf8_lossy(&answer));
    let status = answer.get(9..12).map(String::from_utf8_lossy);
    status.and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn bearer(key: &str) -> Vec<u8> {
    format!("authorization: Bearer {key}").into_bytes()
}

/// Name of a request, its header lines and the statuses that it may be answered with.
type Case = (&'static str, Vec<Vec<u8>>, &'static [u16]);

/// Requests with keys of all sorts, each with what the daemon does with it.
async fn use_keys(at: SocketAddr, round: &str) {
    let hot = bearer(&key("hot"));
    let mut malformed = b"authorization: Bearer \xff\xfe".to_vec();
    malformed.extend_from_slice(MARK.as_bytes());
    let cases: Vec<Case> = vec![
        ("valid", vec![bearer(&key("free"))], &[200]),
        ("unknown", vec![bearer(&key("nobody"))], &[401]),
        ("bytes", vec![malformed], &[401]),
        (
            "basic",
            vec![format!("authorization: Basic {MARK}").into_bytes()],
            &[401],
        ),
        (
            "bare",
            vec![format!("authorization: {MARK}").into_bytes()],
            &[401],
        ),
        ("two", vec![hot.clone(), bearer(&key("free"))], &[401]),
        (
            "long",
            vec![bearer(&format!("{MARK}{}", "x".repeat(9_000)))],
            &[401],
        ),
        ("endless", vec![bearer(&MARK.repeat(4_000))], &[431, 400]),
        (
            "control",
            vec![bearer(&format!("{MARK}\u{1}{MARK}"))],
            &[400, 401],
        ),
        (
            "folded",
            vec![bearer(MARK), format!(" {MARK}").into_bytes()],
            &[400, 401],
        ),
        (
            "no colon",
            vec![format!("authorization {MARK}").into_bytes()],
            &[400, 401],
        ),
        (
            "bad length",
            vec![hot.clone(), b"content-length: x".to_vec()],
            &[400, 401],
        ),
    ];
    for (name, lines, expected) in cases {
        for path in ["/one/x", "/all/x"] {
            let id = format!("{round}-{}", name.replace(' ', "-"));
            let status = send(at, path, &id, &lines).await;
            assert!(expected.contains(&status), "{name} {path}: {status}");
        }
    }
    let mut refused = 0;
    for n in 0..30 {
        let id = format!("{round}-hot{n}");
        refused += u32::from(send(at, "/one/x", &id, std::slice::from_ref(&hot)).await == 429);
    }
    assert!(refused > 0, "the limit of the account was not reached");
}

async fn page(at: SocketAddr, path: &str) -> String {
    let answer = get(&format!("http://{at}{path}")).await.unwrap();
    String::from_utf8_lossy(&answer.body).into_owned()
}

#[test]
fn nothing_that_a_daemon_writes_contains_a_key() {
    let buffer = LogBuffer::default();
    // The HTTP client of the test itself is left out.
    let filter = Targets::new()
        .with_default(LevelFilter::TRACE)
        .with_target("awc", LevelFilter::OFF);
    let json = tracing_subscriber::fmt::layer()
        .json()
        .with_writer(buffer.clone());
    tracing_subscriber::registry()
        .with(json)
        .with(filter)
        .init();
    System::new().block_on(async {
        let options = Options {
            shards: 4,
            daemons: 0,
        };
        let mut cluster = TierCluster::spawn(options).await.unwrap();
        // Through the gateway, a target that ended looks like a lost answer.
        cluster.start_isolatable(1, false).await.unwrap();
        cluster.start_isolatable(2, true).await.unwrap();
        cluster.wait_ready().await.unwrap();
        cluster.links.record();
        cluster.config = cluster.config.clone().accounts(Some(accounts()));
        cluster.config.write(&cluster.store);
        sleep(APPLY_TIME).await;
        let fronts: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.addresses().front).collect();
        for at in &fronts {
            use_keys(*at, "usual").await;
        }
        // Configurations that are not applied.
        let faulty = [
            json!([{"name": "a", "apiKeys": [key("same")]}, {"name": "b", "apiKeys": [key("same")]}]),
            json!([{"name": "a", "apiKeys": key("text")}]),
            json!([{"name": "a", "apiKeys": [{"key": key("object")}]}]),
            json!([{"name": "a", "apiKeys": [[key("list")]]}]),
            json!([{"name": "", "apiKeys": [key("empty")]}]),
            json!([{"name": "a", "apiKeys": [key("rate")], "ratePerS": -1}]),
            json!([{"name": "a", "apiKeys": [key("number")], "ratePerS": key("number")}]),
            json!([{"name": "a", "apiKeys": [key("priority")], "priority": key("priority")}]),
            json!([key("item")]),
            json!(key("whole")),
            json!({key("field"): key("field")}),
        ];
        for list in faulty {
            cluster.config = cluster.config.clone().accounts(Some(list));
            cluster.config.write(&cluster.store);
            sleep(Duration::from_millis(700)).await;
        }
        cluster.config = cluster.config.clone().accounts(Some(accounts()));
        cluster.config.write(&cluster.store);
        sleep(APPLY_TIME).await;
        // Targets that fail, end, and cannot be reached, so that requests are retried, held back and
        // passed on.
        for (fault, name) in [
            (Fault::Failed, "failed"),
            (Fault::Lost, "lost"),
            (Fault::Refused, "refused"),
            (Fault::Truncated, "truncated"),
        ] {
            cluster.servers.iter().for_each(|s| s.set_fault(fault));
            for at in &fronts {
                send(*at, "/one/x", name, &[bearer(&key("free"))]).await;
                send(*at, "/all/x", name, &[bearer(&key("free"))]).await;
            }
        }
        for server in &cluster.servers {
            server.set_fault(Fault::None);
            server.set_crash(Some(Crash {
                path: "/one/crash".into(),
                down: Duration::from_millis(200),
                store: cluster.store.clone(),
            }));
        }
        for n in 0..9 {
            let id = format!("crash{n}");
            send(fronts[n % 3], "/one/crash", &id, &[bearer(&key("free"))]).await;
            sleep(Duration::from_millis(400)).await;
        }
        for proxy in &cluster.gateway {
            proxy.set_accepting(false);
            proxy.set_mode(rattanturn_standins::proxy::LinkMode::Reset);
        }
        for n in 0..20 {
            let id = format!("unreachable{n}");
            send(fronts[n % 3], "/one/x", &id, &[bearer(&key("free"))]).await;
            sleep(Duration::from_millis(100)).await;
        }
        check(&cluster, &buffer).await;
    });
}

async fn check(cluster: &TierCluster, buffer: &LogBuffer) {
    for daemon in &cluster.daemons {
        let admin = daemon.addresses().admin;
        assert_no_key("a state dump", &daemon.state().await.unwrap().to_string());
        assert_no_key("the metrics", &page(admin, "/metrics").await);
    }
    let text = buffer.text();
    for proof in [
        "request refused",
        "finding in the accounts",
        "a target ended while it had a call",
        "over the account's limit",
        "crash1",
        "TRACE",
        "DEBUG",
    ] {
        assert!(text.contains(proof), "the log has no {proof}");
    }
    assert_no_key("the log", &text);
    let logs = [("d0".to_owned(), text)];
    for id in ["usual-unknown", "failed", "lost", "unreachable3", "crash8"] {
        assert_no_key("an explanation", &explain(id, &logs).unwrap_or_default());
    }
    for line in most_severe(50, &logs) {
        assert_no_key("an explanation", &line);
    }
    // The operator writes the keys into the configuration; nothing else may have them.
    for object in cluster.store.contents(&["config"]) {
        assert_no_key("a stored object", &object);
    }
    let datagrams = cluster.links.take_recorded();
    let datagrams = String::from_utf8_lossy(&datagrams);
    for kind in ["\"borrow\"", "\"lent\"", "\"evidence\""] {
        assert!(datagrams.contains(kind), "no datagram has {kind}");
    }
    assert_no_key("a datagram", &datagrams);
}
