//! Servers that answer a request before they have read its body, and answers that have none.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Length of a body that does not fit into the buffers between a daemon and a server.
const BODY_BYTES: usize = 7 << 20;
/// Time after which a server that has answered reads the rest of the body.
const READ_ON_TIME: Duration = Duration::from_secs(4);
/// Longest time for an answer that its server gives at once.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// What a server does once it has read the head of a request.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Status line and headers of its answer, without the request's id.
    head: &'static str,
    body: &'static str,
    /// Whether it closes the connection at once, which resets it, or reads on later.
    closes: bool,
}

/// Starts a server that is not one of the stand-ins.
fn spawn_server(behaviour: Behaviour) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, behaviour));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour) {
    let mut request = Vec::new();
    while !request.windows(4).any(|w| w == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let id = text.lines().find_map(|l| l.strip_prefix("x-request-id: "));
    let answer = format!(
        "{}x-request-id: {}\r\nx-server-seal: s.1\r\n\r\n{}",
        behaviour.head,
        id.unwrap_or(""),
        behaviour.body
    );
    let _ = stream.write_all(answer.as_bytes()).await;
    if behaviour.closes {
        return;
    }
    sleep(READ_ON_TIME).await;
    let mut rest = vec![0; 64 << 10];
    while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {}
}

/// Replaces the servers of the unsharded service by those at `servers`, whose ids are their numbers.
async fn register(cluster: &TierCluster, servers: &[SocketAddr]) {
    for server in plain_servers(cluster) {
        cluster.store.remove("servers", &server.id());
    }
    for (number, addr) in servers.iter().enumerate() {
        let mut entry = plain_servers(cluster)[0].entry("ready", 9);
        entry["address"] = json!(addr);
        cluster
            .store
            .write("servers", &format!("early-{number}"), entry);
    }
    let spec = json!({
        "version": 1_000, "services": [{"name": PLAIN, "maxConns": 16}],
        "routes": [{
            "name": "once", "host": HOST, "pathPrefix": "/once/", "type": "non_idempotent",
            "service": PLAIN, "timeoutMs": 10_000, "maxAttempts": 2, "priority": 2,
        }],
        "limits": {
            "headerBytes": 16_384, "maxBodyBytes": BODY_BYTES, "headerTimeoutMs": 20_000,
            "idleTimeoutMs": 20_000,
        },
    });
    cluster.store.write("config", "main", spec);
    sleep(CONFIG_APPLY_TIME).await;
}

/// Sends a request and returns the status of its answer and the time that it took after the whole
/// request was sent.
async fn ask(at: SocketAddr, method: &str, body: &[u8]) -> (u16, Duration) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "{method} /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: e1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let sent = Instant::now();
    let mut answer = Vec::new();
    while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
        let read = timeout(Duration::from_secs(15), stream.read_buf(&mut answer)).await;
        if !matches!(read, Ok(Ok(n)) if n > 0) {
            return (0, sent.elapsed());
        }
    }
    let status = String::from_utf8_lossy(&answer[9..12]).parse().unwrap();
    (status, sent.elapsed())
}

/// Guards against an answer that is kept from its caller until its server has read the body.
#[test]
fn an_answer_before_the_body_was_read_is_passed_on_at_once() {
    with_cluster(1, async |cluster| {
        let server = spawn_server(Behaviour {
            head: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n",
            body: "ok",
            closes: false,
        });
        register(cluster, &[server]).await;
        let body = vec![b'x'; BODY_BYTES];
        let (status, took) = ask(front_addr(cluster, 0), "POST", &body).await;
        assert_eq!(status, 200, "after {took:?}");
        assert!(took < ANSWER_TIME, "{took:?}");
    });
}

/// Guards against a 502 to a request that its server says it has not run.
#[test]
fn a_refusal_before_the_body_was_read_is_understood_although_the_connection_is_reset() {
    with_cluster(1, async |cluster| {
        let server = spawn_server(Behaviour {
            head: "HTTP/1.1 503 Full\r\ncontent-length: 2\r\nx-not-executed: 1\r\nconnection: close\r\n",
            body: "no",
            closes: true,
        });
        register(cluster, &[server]).await;
        let body = vec![b'x'; BODY_BYTES];
        let (status, took) = ask(front_addr(cluster, 0), "POST", &body).await;
        assert_eq!(status, 503, "after {took:?}");
    });
}

/// Guards against waiting for the body of an answer to HEAD, which has none.
#[test]
fn an_answer_to_head_ends_with_its_head() {
    with_cluster(1, async |cluster| {
        for head in [
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 32\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        ] {
            let server = spawn_server(Behaviour {
                head,
                body: "",
                closes: false,
            });
            register(cluster, &[server]).await;
            let (status, took) = ask(front_addr(cluster, 0), "HEAD", b"").await;
            assert_eq!(status, 200, "{head:?} after {took:?}");
            assert!(took < ANSWER_TIME, "{head:?}: {took:?}");
        }
    });
}

/// Guards against waiting for the body of an answer whose status has none.
#[test]
fn an_answer_with_a_status_without_a_body_ends_with_its_head() {
    with_cluster(1, async |cluster| {
        for (head, expected) in [
            ("HTTP/1.1 204 No Content\r\n", 204),
            ("HTTP/1.1 304 Not Modified\r\ncontent-length: 32\r\n", 304),
        ] {
            let server = spawn_server(Behaviour {
                head,
                body: "",
                closes: false,
            });
            register(cluster, &[server]).await;
            let (status, took) = ask(front_addr(cluster, 0), "POST", b"x").await;
            assert_eq!(status, expected, "{head:?} after {took:?}");
            assert!(took < ANSWER_TIME, "{head:?}: {took:?}");
        }
    });
}
