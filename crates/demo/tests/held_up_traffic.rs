//! Requests in the same turn of a daemon's traffic thread as the close of a kept connection to their target.
//!
//! The writer of the test's log subscriber holds the thread up, so that the daemon needs no hook.

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, request},
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::Mutex,
        thread,
        time::Duration,
    },
};

/// Id of a request whose log line has the two others of a trial sent, which the thread reads in its next
/// turn.
const SENDING: &str = "request=\"sending\"";
/// Id of the first of these, whose log line has the target close its connections.
const CLOSING: &str = "request=\"closing\"";
/// Time for which each of these lines holds up the thread.
const HOLD_TIME: Duration = Duration::from_millis(50);
/// Time after which the configuration is in use, and that after which a connection has been accepted.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(3);
const ACCEPT_TIME: Duration = Duration::from_millis(200);
const TRIALS: u32 = 5;

/// Connections on which the target answers.
static KEPT: Mutex<Vec<TcpStream>> = Mutex::new(Vec::new());
/// What is sent in the order of the list, and where.
static TO_SEND: Mutex<Vec<(TcpStream, String)>> = Mutex::new(Vec::new());

/// Writer of log lines that is slow at some lines.
struct SlowWriter;

impl Write for SlowWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        print!("{text}");
        if text.contains(SENDING) {
            for (mut stream, request) in TO_SEND.lock().unwrap().drain(..) {
                stream.write_all(request.as_bytes())?;
            }
            thread::sleep(HOLD_TIME);
        } else if text.contains(CLOSING) {
            for stream in KEPT.lock().unwrap().drain(..) {
                // An error means that the daemon has closed the connection.
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(HOLD_TIME);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a target that answers all requests and keeps its connections open.
fn spawn_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            KEPT.lock().unwrap().push(stream.try_clone().unwrap());
            thread::spawn(move || answer_all(&stream));
        }
    });
    addr
}

/// Answers requests without a body until the connection ends.
fn answer_all(mut stream: &TcpStream) -> io::Result<()> {
    let mut lines = BufReader::new(stream).lines();
    let mut id = String::new();
    while let Some(line) = lines.next().transpose()? {
        if let Some(value) = line.strip_prefix("x-request-id: ") {
            value.clone_into(&mut id);
        } else if line.is_empty() {
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=20\r\n\
                 x-request-id: {id}\r\nx-server-seal: s.1\r\n\r\nok"
            );
            stream.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}

/// Makes `addr` the only target of the unsharded service, on a route whose calls are made once.
fn register(cluster: &TierCluster, addr: SocketAddr) {
    let plain = cluster.servers.iter();
    let plain: Vec<_> = plain.filter(|s| s.config().service == PLAIN).collect();
    for server in &plain {
        cluster.store.remove("servers", &server.id());
    }
    let mut entry = plain[0].entry("ready", 9);
    entry["address"] = json!(addr);
    cluster.store.write("servers", "keeping", entry);
    let spec = json!({
        "version": 1_000, "services": [{"name": PLAIN, "maxConns": 16}],
        "routes": [{
            "name": "one", "host": HOST, "pathPrefix": "/one/", "type": "idempotent",
            "service": PLAIN, "timeoutMs": 2_000, "maxAttempts": 1, "priority": 2,
        }],
        "limits": {
            "headerBytes": 16_384, "maxBodyBytes": 16_384, "headerTimeoutMs": 20_000,
            "idleTimeoutMs": 20_000,
        },
    });
    cluster.store.write("config", "main", spec);
}

/// Reads the status of an answer.
fn read_status(mut stream: &TcpStream) -> String {
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).unwrap();
    let mut line = [0; 12];
    stream.read_exact(&mut line).unwrap();
    String::from_utf8_lossy(&line[9..]).into_owned()
}

/// Has a request read in the turn in which its target closes the connection that was kept, and returns the
/// status of its answer.
async fn meet_close(front: SocketAddr, id: &str) -> String {
    let before = request(front, "/one/x", &format!("before-{id}"), "").await;
    assert_eq!(before.unwrap().status, 200);
    let streams = [(); 2].map(|()| TcpStream::connect(front).unwrap());
    sleep(ACCEPT_TIME).await;
    let requests = [("closing", "/none/x"), (id, "/one/x")].map(|(id, path)| {
        format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\r\n")
    });
    let copies = streams.iter().map(|s| s.try_clone().unwrap());
    TO_SEND.lock().unwrap().extend(copies.zip(requests));
    let refused = request(front, "/none/x", "sending", "").await;
    assert_eq!(refused.unwrap().status, 404);
    read_status(&streams[1])
}

/// Guards against a request that is lost on a kept connection that its target had closed before.
#[test]
fn requests_that_are_read_after_their_target_closed_a_kept_connection_are_answered() {
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| SlowWriter)
        .init();
    System::new().block_on(async {
        let options = Options {
            shards: 1,
            daemons: 1,
        };
        let cluster = TierCluster::spawn(options).await.unwrap();
        register(&cluster, spawn_target());
        sleep(CONFIG_APPLY_TIME).await;
        let front = cluster.daemons[0].addresses().front;
        let mut statuses = Vec::new();
        for trial in 0..TRIALS {
            statuses.push(meet_close(front, &format!("trial-{trial}")).await);
        }
        assert_eq!(statuses, vec!["200"; TRIALS as usize]);
    });
}
