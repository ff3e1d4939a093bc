//! Servers whose answers have a status that the protocol does not know.

use {
    super::{DRAIN_TIME, front_addr, with_cluster},
    actix_rt::time::{sleep, timeout},
    rattanturn_demo::tier_cluster::TierCluster,
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const SERVICE: &str = "odd";
/// Servers at the same address, so that some are called although others have failed.
const SERVERS: usize = 40;
/// Longest wait for an answer; the time limits of the routes are below it.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// Starts of answers whose status is none. RFC 9110, section 15: values outside of 100 to 599 are invalid.
const ODD: [&str; 14] = [
    "HTTP/1.1 000 Odd",
    "HTTP/1.1 000",
    "HTTP/1.0 000 Odd",
    "HTTP/1.1 001 Odd",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 20 Odd",
    "HTTP/1.1 2000 Odd",
    "HTTP/1.1 +20 Odd",
    "HTTP/1.1  200 Odd",
    "HTTP/2.0 200 Odd",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd",
];

/// Reads the head of a request; empty if the connection ends before.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return String::new();
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// How the servers answer, and whom.
#[derive(Default)]
struct Servers {
    /// Status line and headers of each answer.
    start: String,
    /// Ids of the requests that arrived.
    arrived: HashSet<String>,
}

impl Servers {
    /// The answer to a request: its start, the right id and a body of two bytes; `None` without an id.
    fn answer(&mut self, head: &str) -> Option<String> {
        let is_id = |line: &&str| line.to_ascii_lowercase().starts_with("x-request-id:");
        let id = head.lines().find(is_id)?;
        self.arrived
            .insert(id["x-request-id:".len()..].trim().into());
        let start = &self.start;
        Some(format!("{start}\r\n{id}\r\ncontent-length: 2\r\n\r\nok"))
    }
}

/// Accepts calls for all servers.
async fn serve(servers: Rc<RefCell<Servers>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let servers = servers.clone();
            actix_rt::spawn(async move {
                loop {
                    let head = read_head(&mut stream).await;
                    let answer = servers.borrow_mut().answer(&head);
                    let Some(answer) = answer else { return };
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    addr
}

/// Sends a request and returns the answer's bytes.
async fn ask(at: SocketAddr, path: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // An answer that ends with a reset is judged by what came before.
    let _ = timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Registers the servers of the service at `addr`, with routes to them.
async fn register(cluster: &mut TierCluster, addr: SocketAddr) {
    let shards = [&cluster.services[..], &[SERVICE.into()]].concat();
    cluster.config = cluster
        .config
        .clone()
        .single_route("/again/", SERVICE, true)
        .single_route("/never-again/", SERVICE, false)
        .gather_route("/part/", &[SERVICE.into()], 300)
        .gather_route("/parts/", &shards, 300);
    cluster.config.write(&cluster.store);
    for number in 0..SERVERS {
        let entry = json!({
            "service": SERVICE, "address": addr, "zone": "a", "version": "v1", "maxConcurrency": 8,
            "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
        });
        cluster
            .store
            .write("servers", &format!("odd-{number}"), entry);
    }
    sleep(DRAIN_TIME).await;
}

/// Guards against a client that gets an invalid status of a server, such as 000, as an answer.
#[test]
fn answers_with_an_invalid_status_never_reach_callers() {
    with_cluster(1, async |cluster| {
        let servers = Rc::<RefCell<Servers>>::default();
        register(cluster, serve(servers.clone()).await).await;
        let at = front_addr(cluster, 0);
        let seals = ["", "\r\nx-server-seal: s.1"];
        for (number, (odd, seal)) in ODD.iter().flat_map(|o| seals.map(|s| (o, s))).enumerate() {
            servers.borrow_mut().start = format!("{odd}{seal}");
            for path in ["/again/x", "/never-again/x", "/part/x"] {
                let id = format!("{number}{}", path.replace('/', "-"));
                let answer = ask(at, path, &id).await;
                let what = format!("{odd:?}{seal:?} on {path}: {answer:?}");
                let status = answer.get(..13).unwrap_or_default();
                let own = ["HTTP/1.1 502 ", "HTTP/1.1 503 ", "HTTP/1.1 504 "];
                assert!(own.contains(&status), "{what}");
                assert!(!answer.contains("x-server-seal"), "{what}");
                // 503 promises that the request has not run.
                let arrived = servers.borrow().arrived.contains(&id);
                assert!(
                    !arrived || path != "/never-again/x" || status != own[1],
                    "{what}"
                );
            }
        }
        assert!(
            servers.borrow().arrived.len() > ODD.len(),
            "too few calls were sent"
        );
    });
}

/// Guards against a part with an invalid status that is merged, or that takes the other parts along.
#[test]
fn a_part_with_an_invalid_status_is_missing() {
    with_cluster(1, async |cluster| {
        let servers = Rc::<RefCell<Servers>>::default();
        register(cluster, serve(servers.clone()).await).await;
        for (number, odd) in ODD.iter().enumerate() {
            servers.borrow_mut().start = format!("{odd}\r\nx-server-seal: s.1");
            let answer = ask(front_addr(cluster, 0), "/parts/x", &format!("p{number}")).await;
            let answer = answer.to_ascii_lowercase();
            assert!(answer.starts_with("http/1.1 200 "), "{odd:?}: {answer:?}");
            assert!(
                answer.contains("x-missing-shards: 1\r\n"),
                "{odd:?}: {answer:?}"
            );
            assert!(!answer.contains("s.1"), "{odd:?}: {answer:?}");
        }
    });
}
