//! Requests that reach a daemon while it stops, on connections that their callers keep open.

use {
    super::{CONFIG_APPLY_TIME, DRAIN_TIME, front_addr, plain_servers, run_count, with_cluster},
    actix_rt::{task::JoinHandle, time::sleep},
    rattanturn_daemon::Tier,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::operator::{HOST, register_target},
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
/// Time after which a request that has not run counts as held back.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

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

/// A batch that takes half a second at the servers reaches a daemon 0.8 s before it closes its
/// listeners. Guards against requests that are cut when the daemon ends, some of them while they run.
#[test]
fn a_batch_late_in_a_stop_is_answered_or_refused_and_never_cut() {
    with_slow_servers(220, 110, async |cluster| {
        let servers = plain_servers(cluster);
        for server in &servers {
            server.set_slots(Some(6));
        }
        let at = front_addr(cluster, 0);
        let mut kept = Vec::new();
        for first in send_batch(open_connections(at, 36).await, "/letter/x", "first") {
            let (id, connection, answer) = first.await.unwrap();
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
            kept.push(connection);
        }
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        sleep(Duration::from_millis(3_200)).await;
        let (mut cut, mut refused) = (0, 0);
        for late in send_batch(kept, "/letter/x", "late") {
            let (id, _, answer) = late.await.unwrap();
            let runs = run_count(&servers, &id);
            match answer.map(|a| a.status) {
                Some(200) => assert_eq!(runs, 1, "{id}"),
                Some(503) => {
                    refused += 1;
                    assert_eq!(runs, 0, "{id} was refused and ran");
                }
                Some(status) => panic!("{id}: {status}"),
                None => cut += 1,
            }
        }
        assert_eq!(cut, 0, "of 36 requests");
        assert_eq!(refused, 0, "the servers have time for all of them");
        assert_eq!(stop.await.unwrap(), "0 requests left open");
    });
}

/// The servers work for 3 s, which their daemon knows. Guards against requests that are begun when
/// 2.25 s are left for them.
#[test]
fn requests_longer_than_what_is_left_of_a_stop_are_refused_at_once_and_run_nowhere() {
    with_slow_servers(3_000, 110, async |cluster| {
        let servers = plain_servers(cluster);
        let at = front_addr(cluster, 0);
        let mut kept = open_connections(at, 4).await;
        let queries = kept.split_off(2);
        let known = send_batch(kept, "/letter/x", "k");
        let known = known
            .into_iter()
            .chain(send_batch(queries, "/query/x", "q"));
        let mut kept = Vec::new();
        for request in known.collect::<Vec<_>>() {
            let (id, connection, answer) = request.await.unwrap();
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
            kept.push(connection);
        }
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        sleep(Duration::from_secs(3)).await;
        let queries = kept.split_off(2);
        let late = send_batch(kept, "/letter/x", "l").into_iter();
        for request in late.chain(send_batch(queries, "/query/x", "lq")) {
            let (id, _, answer) = request.await.unwrap();
            let answer = answer.unwrap_or_else(|| panic!("{id} was cut"));
            assert_eq!(answer.status, 503, "{id}");
            let retry_after: f64 = answer.retry_after.unwrap().parse().unwrap();
            assert!(retry_after <= 0.0, "{id}: {retry_after}");
            assert!(answer.took < REFUSAL_TIME, "{id}: {:?}", answer.took);
            assert_eq!(run_count(&servers, &id), 0, "{id} was refused and ran");
        }
        stop.await.unwrap();
    });
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

/// Guards against a stop that waits on although its listener is closed and nothing is open.
#[test]
fn a_stop_with_nothing_open_ends_when_the_listener_closes() {
    with_slow_servers(10, 30, async |cluster| {
        let began = Instant::now();
        let left = cluster.daemons.remove(0).stop().await;
        assert_eq!(left, "0 requests left open");
        let answer_by = DRAIN_LIMIT * 7 / 8;
        assert!(began.elapsed() < answer_by, "{:?}", began.elapsed());
        assert!(
            began.elapsed() >= DRAIN_LIMIT * 2 / 3,
            "{:?}",
            began.elapsed()
        );
    });
}

/// Twelve requests arrive before the stop, and two run at a time, for 1.5 s each. Guards against a
/// request that leaves the queue for a connection so late that it is given up while it runs.
#[test]
fn a_request_that_waits_too_long_for_a_connection_is_refused_and_never_cut() {
    with_slow_servers(1_500, 4, async |cluster| {
        let servers = plain_servers(cluster);
        let at = front_addr(cluster, 0);
        let batch = send_batch(open_connections(at, 12).await, "/letter/x", "w");
        sleep(Duration::from_millis(100)).await;
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        let (mut cut, mut served) = (0, 0);
        for request in batch {
            let (id, _, answer) = request.await.unwrap();
            match answer.map(|a| a.status) {
                Some(200) => served += 1,
                Some(503) => assert_eq!(run_count(&servers, &id), 0, "{id} was refused and ran"),
                Some(status) => panic!("{id}: {status}"),
                None => cut += 1,
            }
        }
        assert_eq!((cut, served), (0, 4));
        stop.await.unwrap();
    });
}

/// The control thread gets no processor time while the listeners are to close, and requests arrive
/// shortly before and after it runs again. Guards against a stop that ends on a number of open
/// requests that is older than the last request.
#[test]
fn a_starved_control_thread_does_not_end_the_stop_before_the_answers_are_out() {
    with_slow_servers(220, 110, async |cluster| {
        let servers = plain_servers(cluster);
        let at = front_addr(cluster, 0);
        let first = send_batch(open_connections(at, 4).await, "/letter/x", "first");
        for request in first {
            request.await.unwrap().2.unwrap();
        }
        let daemon = cluster.daemons.remove(0);
        let handle = daemon.stop_handle();
        let stop = actix_rt::spawn(daemon.stop());
        sleep((DRAIN_LIMIT * 2 / 3).saturating_sub(Duration::from_millis(200))).await;
        handle.freeze(Duration::from_secs(1));
        sleep(Duration::from_millis(980)).await;
        let mut batch = Vec::new();
        for number in 0..20 {
            let id = format!("s{number}");
            batch.push(actix_rt::spawn(async move {
                // The listener may be closed already.
                let mut connection = Kept(TcpStream::connect(at).await.ok()?);
                let answer = connection.send("/letter/x", &id).await;
                Some((id, answer.map(|a| a.status)))
            }));
            sleep(Duration::from_millis(5)).await;
        }
        for request in batch {
            let Some((id, status)) = request.await.unwrap() else {
                continue;
            };
            let runs = run_count(&servers, &id);
            let ended_well = matches!((status, runs), (Some(200), 1) | (Some(503) | None, 0));
            assert!(ended_well, "{id} ran {runs} times and got {status:?}");
        }
        stop.await.unwrap();
    });
}

/// Each daemon has one connection to each server, and the call that uses the one to the first server
/// lasts. Guards against calls that wait behind it for a server that the store takes out of use.
#[test]
fn calls_that_wait_for_a_server_out_of_use_do_not_wait_on() {
    with_slow_servers(300, 2, async |cluster| {
        let servers = plain_servers(cluster);
        let work_ms = f64::from(u32::try_from(WORK_MS).unwrap());
        servers[0].set_slow(9_000.0 / work_ms);
        let at = front_addr(cluster, 0);
        let batch = send_batch(open_connections(at, 8).await, "/letter/x", "d");
        sleep(Duration::from_millis(100)).await;
        register_target(&cluster.store, &servers[0], "draining", 2);
        let bound = DRAIN_TIME + Duration::from_secs(2);
        let mut late = Vec::new();
        for request in batch {
            let (id, _, answer) = request.await.unwrap();
            let answer = answer.unwrap_or_else(|| panic!("{id} was cut"));
            if answer.took > bound && run_count(&servers[..1], &id) == 0 {
                late.push((id, answer));
            }
        }
        assert!(late.is_empty(), "held and not run: {late:?}");
    });
}

/// All daemons stop at the same moment, as in an update of a whole deployment. Guards against callers
/// that get no address although the daemons serve for another 4 s.
#[test]
fn callers_get_the_address_of_a_daemon_that_still_serves_while_all_stop() {
    with_slow_servers(10, 30, async |cluster| {
        let directories: Vec<_> = cluster.daemons.iter().map(Tier::addresses).collect();
        let stops = std::mem::take(&mut cluster.daemons);
        let stops: Vec<_> = stops
            .into_iter()
            .map(|daemon| actix_rt::spawn(daemon.stop()))
            .collect();
        for i in 0..6 {
            sleep(Duration::from_millis(500)).await;
            for at in &directories {
                let addrs = cluster.resolve(*at, "a").await.unwrap();
                assert!(!addrs.is_empty(), "look-up {i}");
                for addr in addrs {
                    let id = format!("{i}-{}-{}", at.directory, addr);
                    let answer = Kept::open(addr).await.send("/query/x", &id).await;
                    assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
                }
            }
        }
        for stop in stops {
            assert_eq!(stop.await.unwrap(), "0 requests left open");
        }
    });
}

/// Each daemon has one connection to each server, and calls wait behind one another before the stop.
/// Guards against requests that are refused because that wait counts as part of their own duration.
#[test]
fn waits_of_earlier_calls_do_not_count_against_late_requests() {
    with_slow_servers(300, 2, async |cluster| {
        let at = front_addr(cluster, 0);
        let mut kept = Vec::new();
        for request in send_batch(open_connections(at, 32).await, "/letter/x", "b") {
            let (id, connection, answer) = request.await.unwrap();
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
            kept.push(connection);
        }
        kept.truncate(2);
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        sleep(Duration::from_millis(3_500)).await;
        for request in send_batch(kept, "/letter/x", "late") {
            let (id, _, answer) = request.await.unwrap();
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
        }
        assert_eq!(stop.await.unwrap(), "0 requests left open");
    });
}

/// Guards against a 503 for what no daemon serves, so that its caller tries again elsewhere.
#[test]
fn a_request_of_no_route_gets_404_while_the_daemon_closes() {
    with_slow_servers(10, 30, async |cluster| {
        let at = front_addr(cluster, 0);
        let stop = actix_rt::spawn(cluster.daemons.remove(0).stop());
        sleep(DRAIN_LIMIT / 2).await;
        let mut open = Vec::new();
        for (path, status) in [("/nowhere/x", "404"), ("/query/x", "503")] {
            let mut stream = TcpStream::connect(at).await.unwrap();
            let head = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            open.push((stream, status));
        }
        sleep(DRAIN_LIMIT / 4).await;
        for (mut stream, status) in open {
            stream.write_all(b"x-request-id: n\r\n\r\n").await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert_eq!(answer.get(9..12), Some(status), "{answer}");
        }
        assert_eq!(stop.await.unwrap(), "0 requests left open");
    });
}
