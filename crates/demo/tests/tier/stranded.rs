//! Daemons that are cut off from all servers, while callers, the store and the other daemons still
//! reach them.

use {
    super::{CONFIG_APPLY_TIME, fetch, front_addr, plain_servers, run_count, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{TierCluster, request, request_within},
    rattanturn_standins::{proxy::LinkMode, shard::Fault},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after which callers of cut-off daemons must be served, and directories must not name them.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Part of the requests at cut-off daemons that must be served where the others serve all.
const SERVED_PART: f64 = 2.0 / 3.0;
/// Pause between two requests of a load.
const LOAD_INTERVAL: Duration = Duration::from_millis(40);
/// Requests of one load.
const LOAD_REQUESTS: u32 = 50;
/// Time after which a request that nobody can serve counts as held back.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Requests at two servers that run one at a time, the factors by which these are slower than usual, so
/// that one says later than the other that it leaves, and the time limit of the requests.
const WAITING: usize = 6;
const LONG_CALLS: [f64; 2] = [30.0, 60.0];
const WAIT_LIMIT_MS: u64 = 10_000;

/// What the cut does to connections that are open. New ones are refused.
#[derive(Clone, Copy)]
pub(super) enum Cut {
    Hang,
    Reset,
    /// Open connections live on.
    NewOnly,
}

pub(super) fn cut_off(cluster: &TierCluster, cut: Cut) {
    for proxy in &cluster.gateway {
        proxy.set_accepting(false);
        match cut {
            Cut::Hang => proxy.set_mode(LinkMode::Stalled),
            Cut::Reset => proxy.set_mode(LinkMode::Reset),
            Cut::NewOnly => {}
        }
    }
}

fn reconnect(cluster: &TierCluster) {
    for proxy in &cluster.gateway {
        proxy.set_mode(LinkMode::Normal);
        proxy.set_accepting(true);
    }
}

/// Sends requests over all shards and to one server to a daemon; returns the part that was served.
async fn served_part(at: SocketAddr, name: &str) -> f64 {
    let mut open = Vec::new();
    for n in 0..LOAD_REQUESTS {
        let (id, path) = (format!("{name}-{n}"), ["/all/x", "/one/x"][n as usize % 2]);
        open.push(actix_rt::spawn(async move {
            let answer = request(at, path, &id, "").await;
            answer.is_some_and(|a| a.status == 200)
        }));
        sleep(LOAD_INTERVAL).await;
    }
    let mut served = 0;
    for request in open {
        served += u32::from(request.await.unwrap());
    }
    f64::from(served) / f64::from(LOAD_REQUESTS)
}

/// Cuts one daemon of three off, and asserts that its callers are served all the same, then that it
/// serves by itself again after the cut.
fn assert_served(cut: Cut) {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let at = front_addr(cluster, 2);
        assert!(served_part(at, "before").await > 0.99);
        cut_off(cluster, cut);
        let settled = Instant::now() + SETTLE_TIME;
        while Instant::now() < settled {
            served_part(at, &format!("early{:?}", settled - Instant::now())).await;
        }
        let part = served_part(at, "cut").await;
        assert!(part >= SERVED_PART, "served {part} of the requests");
        reconnect(cluster);
        sleep(SETTLE_TIME).await;
        assert!(served_part(at, "after").await > 0.99);
        let listed = cluster.resolve(cluster.daemons[0].addresses(), "a").await;
        assert!(listed.unwrap().contains(&at), "still not named");
    });
}

#[test]
fn callers_of_a_daemon_whose_connections_to_servers_hang_are_served() {
    assert_served(Cut::Hang);
}

#[test]
fn callers_of_a_daemon_whose_connections_to_servers_are_reset_are_served() {
    assert_served(Cut::Reset);
}

#[test]
fn callers_of_a_daemon_that_can_open_no_connections_to_servers_are_served() {
    assert_served(Cut::NewOnly);
}

#[test]
fn directories_do_not_name_a_daemon_that_is_cut_off_from_all_servers() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let at = front_addr(cluster, 2);
        served_part(at, "before").await;
        cut_off(cluster, Cut::Hang);
        let settled = Instant::now() + SETTLE_TIME;
        while Instant::now() < settled {
            served_part(at, &format!("early{:?}", settled - Instant::now())).await;
        }
        for daemon in &cluster.daemons {
            let listed = cluster.resolve(daemon.addresses(), "a").await.unwrap();
            assert!(!listed.contains(&at), "{listed:?}");
            assert_eq!(listed.len(), 2, "{listed:?}");
        }
    });
}

#[test]
fn directories_name_all_daemons_while_none_reaches_a_server() {
    with_cluster(0, async |cluster| {
        cluster.start_behind_gateway(3).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let all: Vec<SocketAddr> = (0..3).map(|d| front_addr(cluster, d)).collect();
        for at in &all {
            served_part(*at, &format!("before{at}")).await;
        }
        cut_off(cluster, Cut::Hang);
        for at in &all {
            served_part(*at, &format!("early{at}")).await;
        }
        let mut listed = cluster
            .resolve(cluster.daemons[0].addresses(), "a")
            .await
            .unwrap();
        listed.sort();
        let mut expected = all.clone();
        expected.sort();
        assert_eq!(listed, expected);
        // Nobody can serve a request, so it is refused at once.
        let started = Instant::now();
        let answer = request(all[0], "/one/x", "refused", "").await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(
            started.elapsed() < REFUSAL_TIME,
            "refused after {:?}",
            started.elapsed()
        );
        reconnect(cluster);
        sleep(SETTLE_TIME).await;
        assert_eq!(fetch(cluster, "/all/x", "back").await.status, 200);
    });
}

/// The cut-off daemon must not send a request on that may have run.
#[test]
fn non_idempotent_requests_at_a_daemon_that_is_cut_off_run_once() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let at = front_addr(cluster, 2);
        served_part(at, "before").await;
        cut_off(cluster, Cut::Reset);
        served_part(at, "early").await;
        let servers = plain_servers(cluster);
        for n in 0..20 {
            let id = format!("once{n}");
            let answer = request(at, "/once/x", &id, "body").await.unwrap();
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(run_count(&servers, &id), 1, "{id}");
        }
    });
}

/// Guards against a second run of what must not repeat, after a failure that a server answers with
/// status 503 and that has run: only `x-not-executed` promises that it has not.
#[test]
fn a_relayed_request_that_a_server_fails_with_503_runs_once() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let at = front_addr(cluster, 2);
        cut_off(cluster, Cut::Reset);
        let settled = Instant::now() + SETTLE_TIME;
        while Instant::now() < settled {
            served_part(at, &format!("early{:?}", settled - Instant::now())).await;
        }
        let servers = plain_servers(cluster);
        for server in &servers {
            server.set_fault(Fault::Unavailable);
        }
        let mut seen = Vec::new();
        for n in 0..5 {
            let id = format!("own-503-{n}");
            let answer = request(at, "/once/x", &id, "body").await.unwrap();
            let sealed = !answer.header("x-server-seal").is_empty();
            seen.push((answer.status, sealed, run_count(&servers, &id)));
            sleep(Duration::from_millis(1_100)).await;
        }
        let bad = |(status, sealed, runs): &&(u16, bool, u32)| {
            *runs > 1 || (*runs > 0 && *status == 503 && !sealed)
        };
        assert_eq!(seen.iter().filter(bad).count(), 0, "{seen:?}");
    });
}

/// A daemon reaches one server of a service and none of the others, so it is no longer advertised.
/// Guards against a pool that shrinks while callers still come on the connections that they keep.
#[test]
fn the_pool_keeps_its_size_while_a_daemon_is_withdrawn() {
    with_cluster(2, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config).max_connections(30);
        cluster.config.write(&cluster.store);
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let at = front_addr(cluster, 2);
        assert!(served_part(at, "before").await > 0.99);
        let servers = plain_servers(cluster);
        let near = servers[0].clone();
        let reached = cluster.servers.iter().position(|s| s.id() == near.id());
        for (n, proxy) in cluster.gateway.iter().enumerate() {
            if Some(n) != reached {
                proxy.set_accepting(false);
                proxy.set_mode(LinkMode::Reset);
            }
        }
        let settled = Instant::now() + SETTLE_TIME;
        while Instant::now() < settled {
            served_part(at, &format!("early{:?}", settled - Instant::now())).await;
        }
        let listed = cluster.resolve(cluster.daemons[0].addresses(), "a").await;
        assert!(
            !listed.unwrap().contains(&at),
            "the daemon is not withdrawn"
        );
        near.set_slow(30.0);
        let _ = near.take_most_open();
        let batch: Vec<_> = (0..6)
            .map(|n| {
                actix_rt::spawn(async move {
                    let answer = request(at, "/once/x", &format!("w{n}"), "body").await;
                    answer.map_or(0, |a| a.status)
                })
            })
            .collect();
        let mut seen = Vec::new();
        for request in batch {
            seen.push(request.await.unwrap());
        }
        assert_eq!(seen, [200; 6]);
        assert_eq!(near.take_most_open(), 6, "requests ran at once");
    });
}

/// A daemon can open no more connections to the servers, and both say in an answer that they leave.
/// Guards against refusals because of calls that were never written to a connection.
#[test]
fn requests_whose_calls_were_not_sent_run_at_a_peer() {
    with_cluster(1, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config)
            .limits(WAIT_LIMIT_MS, WAIT_LIMIT_MS)
            .max_connections(1);
        cluster.config.write(&cluster.store);
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(CONFIG_APPLY_TIME).await;
        let servers = plain_servers(cluster);
        for (server, slow) in servers.iter().zip(LONG_CALLS) {
            server.set_slow(slow);
            server.set_leaving(true);
        }
        let at = front_addr(cluster, 1);
        let open = (0..WAITING).map(|n| async move {
            let (limit, id) = (Duration::from_millis(WAIT_LIMIT_MS), format!("w{n}"));
            let answer = request_within(limit, at, "/once/x", &id, "body").await;
            answer.map_or(0, |a| a.status)
        });
        let open = actix_rt::spawn(futures::future::join_all(open));
        while servers.iter().any(|s| s.arrivals() == 0) {
            sleep(Duration::from_millis(5)).await;
        }
        cut_off(cluster, Cut::NewOnly);
        assert_eq!(open.await.unwrap(), [200; WAITING]);
        let runs = (0..WAITING).map(|n| run_count(&servers, &format!("w{n}")));
        assert_eq!(runs.collect::<Vec<u32>>(), [1; WAITING]);
    });
}
