//! Calls that wait for a connection to their target.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, run_count, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{TierCluster, request, request_within},
    rattanturn_standins::{operator::deregister_target, shard::State},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two requests; the target takes about twice as long for one.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
const REQUESTS: u64 = 70;
/// Time limit of these requests and of their route, in which a slow machine serves all of them.
const ORDER_LIMIT_MS: u64 = 30_000;
const ORDER_LIMIT: Duration = Duration::from_millis(ORDER_LIMIT_MS);
/// Number of later requests that may be served first: they can overtake on the way to the daemon.
const OVERTAKES: usize = 5;
/// Connections that a target accepts, of which the only daemon uses 0.6, and the factor by which it is
/// slower than usual: with 200 ms a request, it runs 30 a second.
const CONNECTIONS: u32 = 10;
const SLOWDOWN: f64 = 20.0;
/// Time limit and latency goal of the route.
const LIMIT_MS: u64 = 1_000;
/// Requests that fill the connections to both servers, those of a burst, which are more than one server
/// takes at a time, and the time between bursts, in which it runs them.
const FILLING: usize = 12;
const BURST: usize = 8;
const BURST_INTERVAL: Duration = Duration::from_millis(150);
const BURSTS: usize = 6;
/// Requests of which half wait when a server stops answering.
const FLOOD: usize = 24;
/// Factor by which servers that get bursts are slower than usual: 60 ms a request.
const BURST_SLOWDOWN: f64 = 6.0;
/// Requests sent before the daemon knows how long the target takes, or before a queue is full.
const ONSET: usize = 40;
/// Time in which a request that cannot be served must be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// What a caller gets for a request.
#[derive(Debug)]
struct Seen {
    id: String,
    status: u16,
    took: Duration,
}

/// Leaves the daemon one server, which accepts [`CONNECTIONS`].
async fn keep_one_server(cluster: &mut TierCluster) -> Arc<State> {
    let servers = plain_servers(cluster);
    deregister_target(&cluster.store, &servers[1]);
    cluster.config = std::mem::take(&mut cluster.config)
        .limits(LIMIT_MS, LIMIT_MS)
        .max_connections(CONNECTIONS);
    cluster.config.write(&cluster.store);
    sleep(CONFIG_APPLY_TIME).await;
    servers[0].set_slow(SLOWDOWN);
    servers[0].clone()
}

/// Sends `count` requests that must not be repeated, one each `interval`.
async fn send_load(at: SocketAddr, name: &str, count: usize, interval: Duration) -> Vec<Seen> {
    let mut open = Vec::new();
    for n in 0..count {
        let id = format!("{name}{n}");
        open.push(actix_rt::spawn(async move {
            let sent = Instant::now();
            let answer = request(at, "/once/x", &id, "body").await;
            Seen {
                id,
                status: answer.map_or(0, |a| a.status),
                took: sent.elapsed(),
            }
        }));
        sleep(interval).await;
    }
    let mut all = Vec::new();
    for request in open {
        all.push(request.await.unwrap());
    }
    all
}

/// Guards against calls that wait again behind all others when a new one takes the connection that
/// they were woken for.
#[test]
fn calls_get_a_connection_in_their_order() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        deregister_target(&cluster.store, &servers[1]);
        cluster.config = std::mem::take(&mut cluster.config)
            .limits(ORDER_LIMIT_MS, ORDER_LIMIT_MS)
            .max_connections(1);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        servers[0].set_slow(2.0);
        let at = front_addr(cluster, 0);
        let mut open = Vec::new();
        for n in 0..REQUESTS {
            open.push(actix_rt::spawn(async move {
                let id = format!("w{n}");
                let answer = request_within(ORDER_LIMIT, at, "/once/x", &id, "body").await;
                (Instant::now(), answer.map(|a| a.status))
            }));
            sleep(SEND_INTERVAL).await;
        }
        let mut ends = Vec::new();
        for request in open {
            let (end, status) = request.await.unwrap();
            assert_eq!(status, Some(200));
            ends.push(end);
        }
        let overtakes = |n: usize| ends[n + 1..].iter().filter(|end| **end < ends[n]).count();
        let most = (0..ends.len()).map(overtakes).max();
        assert!(most <= Some(OVERTAKES), "overtaken by {most:?} later ones");
    });
}

/// Twice as many requests arrive as the target can run. Guards against calls that are sent so late that
/// all of the target's work is lost.
#[test]
fn a_target_that_cannot_keep_up_works_on_requests_that_can_be_answered() {
    with_cluster(1, async |cluster| {
        let servers = [keep_one_server(cluster).await];
        let interval = Duration::from_millis(16);
        let seen = send_load(front_addr(cluster, 0), "o", 250, interval).await;
        let later = &seen[ONSET..];
        let ran = |s: &&Seen| run_count(&servers, &s.id) > 0;
        let runs = later.iter().filter(ran).count();
        let served = later.iter().filter(|s| s.status == 200).count();
        assert!(served > 0, "none was served of {runs} that ran");
        assert!(
            served * 10 >= runs * 8,
            "{served} served of {runs} that ran"
        );
    });
}

/// Guards against requests that wait for a connection until their time is up, although it is known from
/// the start that they get none in time.
#[test]
fn a_request_that_would_wait_too_long_for_a_connection_is_refused_at_once() {
    with_cluster(1, async |cluster| {
        let servers = [keep_one_server(cluster).await];
        let interval = Duration::from_millis(8);
        let seen = send_load(front_addr(cluster, 0), "r", 250, interval).await;
        let later = seen[ONSET..].iter();
        let not_run: Vec<&Seen> = later.filter(|s| run_count(&servers, &s.id) == 0).collect();
        let others = not_run.iter().filter(|s| s.status != 503);
        assert_eq!(others.count(), 0, "{not_run:?}");
        let held = not_run.iter().filter(|s| s.took > REFUSAL_TIME).count();
        assert!(not_run.len() > 50, "{} not run", not_run.len());
        assert!(
            held * 4 <= not_run.len(),
            "{held} of {} held back",
            not_run.len()
        );
    });
}

/// Guards against requests that wait for a server that has stopped answering, while another one serves
/// those that come later.
#[test]
fn requests_do_not_wait_for_a_silent_server_while_another_one_answers() {
    with_cluster(1, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config).max_connections(CONNECTIONS);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        let (servers, at) = (plain_servers(cluster), front_addr(cluster, 0));
        for server in &servers {
            server.set_slow(BURST_SLOWDOWN);
        }
        send_load(at, "before", 30, SEND_INTERVAL * 3).await;
        servers[0].pause(Duration::from_secs(5));
        let filling = actix_rt::spawn(send_load(at, "f", FILLING, Duration::ZERO));
        sleep(BURST_INTERVAL * 2).await;
        let mut bursts = Vec::new();
        for n in 0..BURSTS {
            let name = format!("b{n}-");
            let load = async move { send_load(at, &name, BURST, Duration::ZERO).await };
            bursts.push(actix_rt::spawn(load));
            sleep(BURST_INTERVAL).await;
        }
        let seen = futures::future::join_all(bursts).await;
        let seen: Vec<Seen> = seen.into_iter().flat_map(Result::unwrap).collect();
        let refused: Vec<&Seen> = seen.iter().filter(|s| s.status != 200).collect();
        let (count, all) = (refused.len(), seen.len());
        assert_eq!(count, 0, "of {all} not served: {refused:?}");
        filling.await.unwrap();
    });
}

/// Guards against requests that go on waiting for a server that has stopped answering, while another one
/// is idle.
#[test]
fn requests_that_wait_for_a_silent_server_move_to_an_idle_one() {
    with_cluster(1, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config).max_connections(CONNECTIONS);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        let (servers, at) = (plain_servers(cluster), front_addr(cluster, 0));
        for server in &servers {
            server.set_slow(BURST_SLOWDOWN);
        }
        send_load(at, "before", 30, SEND_INTERVAL * 3).await;
        servers[0].pause(Duration::from_secs(5));
        let seen = send_load(at, "f", FLOOD, Duration::ZERO).await;
        let waited: Vec<&Seen> = seen
            .iter()
            .filter(|s| s.status != 200 && run_count(&servers[..1], &s.id) == 0)
            .collect();
        assert!(
            waited.is_empty(),
            "not served, and not sent to the silent server: {waited:?}"
        );
    });
}
