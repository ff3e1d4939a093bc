//! Idle connections to a server while calls get new ones because they must not run twice.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    futures::future::join_all,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster, request},
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Requests that are sent at the same time, each of which needs a connection.
const BURST: usize = 6;
/// Requests that must not run twice.
const ONCE_COUNT: usize = 8;
/// Time after which the server answers a request, which is longer than the sending of a burst takes.
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Time in which the server learns that a connection was closed.
const CLOSE_TIME: Duration = Duration::from_millis(200);

/// Connections that a server has accepted, and those of them that are open.
#[derive(Default)]
struct Connections {
    accepted: Cell<usize>,
    open: Cell<usize>,
}

/// Starts a server that keeps its connections open for 20 s.
async fn spawn_server() -> (SocketAddr, Rc<Connections>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Rc::new(Connections::default());
    let accepting = connections.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepting.accepted.set(accepting.accepted.get() + 1);
            accepting.open.set(accepting.open.get() + 1);
            let counted = accepting.clone();
            actix_rt::spawn(async move {
                serve(stream).await;
                counted.open.set(counted.open.get() - 1);
            });
        }
    });
    (addr, connections)
}

/// Answers requests until the connection ends.
async fn serve(mut stream: TcpStream) {
    let mut input = Vec::new();
    loop {
        while !input.windows(4).any(|w| w == b"\r\n\r\n") {
            if stream.read_buf(&mut input).await.unwrap_or(0) == 0 {
                return;
            }
        }
        sleep(SERVICE_TIME).await;
        let text = String::from_utf8_lossy(&input).into_owned();
        let id = text.lines().find_map(|l| l.strip_prefix("x-request-id: "));
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=20\r\n\
             x-request-id: {}\r\nx-server-seal: s.1\r\n\r\nok",
            id.unwrap_or("")
        );
        input.clear();
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Writes a configuration by which the server accepts `max` connections.
async fn configure(cluster: &TierCluster, version: u32, max: u32) {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "type": kind,
            "service": PLAIN, "timeoutMs": 2_000, "maxAttempts": 1, "priority": 2,
        })
    };
    let spec = json!({
        "version": version, "services": [{"name": PLAIN, "maxConns": max}],
        "routes": [route("one", "idempotent"), route("once", "non_idempotent")],
        "limits": {
            "headerBytes": 16_384, "maxBodyBytes": 16_384, "headerTimeoutMs": 20_000,
            "idleTimeoutMs": 20_000,
        },
    });
    cluster.store.write("config", "main", spec);
    sleep(CONFIG_APPLY_TIME).await;
}

/// Makes `server` the only one of the unsharded service.
async fn register(cluster: &TierCluster, server: SocketAddr) {
    for other in plain_servers(cluster) {
        cluster.store.remove("servers", &other.id());
    }
    let mut entry = plain_servers(cluster)[0].entry("ready", 9);
    entry["address"] = json!(server);
    cluster.store.write("servers", "keeping", entry);
    configure(cluster, 1_000, 64).await;
}

async fn send(at: SocketAddr, path: &str, id: String) {
    assert_eq!(request(at, path, &id, "").await.unwrap().status, 200);
}

async fn send_burst(at: SocketAddr, name: &str) {
    join_all((0..BURST).map(|n| send(at, "/one/x", format!("{name}-{n}")))).await;
}

/// Guards against idle connections that are all closed by each request that must not run twice.
#[test]
fn idle_connections_stay_while_requests_that_must_not_run_twice_get_new_ones() {
    with_cluster(1, async |cluster| {
        let (server, connections) = spawn_server().await;
        register(cluster, server).await;
        let front = front_addr(cluster, 0);
        send_burst(front, "first").await;
        let opened = connections.accepted.get();
        assert!(opened >= BURST, "{opened} connections");
        for n in 0..ONCE_COUNT {
            send(front, "/once/x", format!("once-{n}")).await;
        }
        assert_eq!(connections.accepted.get(), opened + ONCE_COUNT);
        send_burst(front, "second").await;
        assert_eq!(connections.accepted.get(), opened + ONCE_COUNT);
        sleep(CLOSE_TIME).await;
        assert_eq!(connections.open.get(), opened);
    });
}

/// Guards against idle connections beyond a lowered limit that stay beside those of new calls.
#[test]
fn idle_connections_beyond_a_lowered_limit_are_closed_by_a_request_that_must_not_run_twice() {
    with_cluster(1, async |cluster| {
        let (server, connections) = spawn_server().await;
        register(cluster, server).await;
        let front = front_addr(cluster, 0);
        send_burst(front, "first").await;
        let opened = connections.open.get();
        assert!(opened >= BURST, "{opened} connections");
        configure(cluster, 1_001, 2).await;
        send(front, "/once/x", "once".into()).await;
        sleep(CLOSE_TIME).await;
        let open = connections.open.get();
        assert!((1..=2).contains(&open), "{open} connections");
    });
}
