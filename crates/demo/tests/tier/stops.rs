//! Requests that reach a daemon while it stops, on connections that their callers keep open.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::{task::JoinHandle, time::sleep},
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// The daemons' `drain-limit`, as on the users' platform. Two thirds of it pass until a stopping daemon
/// closes its listeners.
const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// A server's work on a request at the factor 1 of `State::set_slow`, in milliseconds.
const WORK_MS: u64 = 10;
/// Time limit of the routes `/letter/` and `/query/`, longer than any stop.
const ROUTE_LIMIT_MS: u64 = 30_000;
/// What a caller gets for a request.
#[derive(Clone, Debug, PartialEq)]
struct Answer {
    status: u16,
    retry_after: Option<String>,
    took: Duration,
}

/// A caller's connection, which it keeps open between requests.
struct Kept(TcpStream);

impl Kept {
    async fn open(at: SocketAddr) -> Self {
        Self(TcpStream::connect(at).await.unwrap())
    }

    /// Sends a request; `None` if the connection ends before its answer is complete.
    async fn send(&mut self, path: &str, id: &str) -> Option<Answer> {
        let sent = Instant::now();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {ROUTE_LIMIT_MS}\r\ncontent-length: 4\r\n\r\nbody"
        );
        self.0.write_all(head.as_bytes()).await.ok()?;
        let mut read = Vec::new();
        loop {
            if self.0.read_buf(&mut read).await.ok()? == 0 {
                return None;
            }
            let text = String::from_utf8_lossy(&read).to_lowercase();
            let Some((head, _)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|l| l.split_once(": "));
                lines.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
            };
            let length: usize = header("content-length")?.parse().ok()?;
            let head_end = read.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
            if read.len() >= head_end + length {
                return Some(Answer {
                    status: head.split(' ').nth(1)?.parse().ok()?,
                    retry_after: header("retry-after"),
                    took: sent.elapsed(),
                });
            }
        }
    }
}

/// Writes a configuration whose routes lead to the two plain servers: `/letter/` must not be repeated,
/// `/query/` may be. Each server takes `connections` from all daemons together.
fn write_config(cluster: &TierCluster, version: u64, connections: u32) {
    let routes = [("/letter/", "non_idempotent"), ("/query/", "idempotent")];
    let routes: Vec<_> = routes
        .iter()
        .map(|(prefix, kind)| {
            json!({
                "name": prefix, "host": HOST, "pathPrefix": prefix, "type": kind,
                "service": PLAIN, "timeoutMs": ROUTE_LIMIT_MS, "latencyGoalMs": 800,
                "maxAttempts": 1, "priority": 1, "public": true,
            })
        })
        .collect();
    let service = json!({
        "name": PLAIN, "healthPath": "/healthz", "maxConns": connections, "warmupS": 3.0,
        "coldPerS": 0.0,
    });
    let spec = json!({
        "version": version, "routes": routes, "services": [service],
        "limits": {
            "headerBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    });
    cluster.store.write("config", "main", spec);
}

/// Runs a test against two daemons with [`DRAIN_LIMIT`], whose servers work for `work_ms` on a request.
fn with_slow_servers<F>(work_ms: u32, connections: u32, test: F)
where
    F: AsyncFnOnce(&mut TierCluster),
{
    with_cluster(0, async |cluster| {
        cluster.drain_limit = DRAIN_LIMIT;
        write_config(cluster, 100, connections);
        cluster.start_daemons(2).unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(CONFIG_APPLY_TIME).await;
        for server in plain_servers(cluster) {
            server.set_slow(f64::from(work_ms) / f64::from(u32::try_from(WORK_MS).unwrap()));
        }
        test(cluster).await;
    });
}

/// Sends a request on each of `connections` at the same time.
fn send_batch(
    connections: Vec<Kept>,
    path: &'static str,
    name: &str,
) -> Vec<JoinHandle<(String, Kept, Option<Answer>)>> {
    let each = connections.into_iter().enumerate();
    each.map(|(i, mut connection)| {
        let id = format!("{name}-{i}");
        actix_rt::spawn(async move {
            let answer = connection.send(path, &id).await;
            (id, connection, answer)
        })
    })
    .collect()
}

async fn open_connections(at: SocketAddr, count: usize) -> Vec<Kept> {
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(Kept::open(at).await);
    }
    all
}

/// Eighteen requests fit the daemon's share of connections to both servers. Guards against a share
/// that shrinks while callers keep coming, so that the requests run one after the other.
#[test]
fn the_pool_keeps_its_size_while_the_daemon_stops() {
    with_slow_servers(300, 30, async |cluster| {
        let at = front_addr(cluster, 0);
        let kept = open_connections(at, 18).await;
        let servers = plain_servers(cluster);
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        sleep(Duration::from_secs(1)).await;
        for server in &servers {
            let _ = server.take_most_open();
        }
        for request in send_batch(kept, "/letter/x", "p") {
            let (id, _, answer) = request.await.unwrap();
            let answer = answer.unwrap_or_else(|| panic!("{id} was cut"));
            assert_eq!(answer.status, 200, "{id}");
        }
        let at_once: u32 = servers.iter().map(|s| s.take_most_open()).sum();
        assert_eq!(at_once, 18, "requests ran at once");
        stop.await.unwrap();
    });
}

/// Each daemon has one connection to each server at first, then nine. Guards against calls that wait
/// on although there is room for them: each answer would start only one more.
#[test]
fn calls_that_wait_for_a_connection_start_when_the_pool_grows() {
    with_slow_servers(1_000, 2, async |cluster| {
        let at = front_addr(cluster, 0);
        let sent = Instant::now();
        let batch = send_batch(open_connections(at, 18).await, "/letter/x", "g");
        sleep(Duration::from_millis(100)).await;
        write_config(cluster, 200, 30);
        for request in batch {
            let (id, _, answer) = request.await.unwrap();
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
        }
        // The change, then one round for those that run and one for those that wait.
        let bound = CONFIG_APPLY_TIME + Duration::from_secs(2);
        assert!(sent.elapsed() < bound, "{:?}", sent.elapsed());
    });
}
