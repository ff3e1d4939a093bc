//! Targets that state how many requests a second they take from all daemons together.

use {
    super::{front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{TierCluster, request},
    rattanturn_standins::shard::State,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after which the daemons must keep to a limit that a target has begun to state.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Window in which a target's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What a limit allows in a window: this much of it and [`EXTRA_REQUESTS`] more.
const ALLOWED_RATIO: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;
/// Time after which a request that no target may take counts as held back.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// An answer's status and how long the caller waited for it.
type Seen = (u16, Duration);

/// Sends requests to one daemon at the given interval for a time.
async fn load(at: SocketAddr, interval: Duration, time: Duration, name: String) -> Vec<Seen> {
    let end = Instant::now() + time;
    let mut open = Vec::new();
    while Instant::now() < end {
        let id = format!("{name}-{}", open.len());
        open.push(actix_rt::spawn(async move {
            let sent = Instant::now();
            let answer = request(at, "/one/x", &id, "").await.unwrap();
            (answer.status, sent.elapsed())
        }));
        sleep(interval).await;
    }
    let mut seen = Vec::new();
    for answer in open {
        seen.push(answer.await.unwrap());
    }
    seen
}

/// Sends requests to all daemons at once, `per_daemon` a second to each.
async fn load_all(cluster: &TierCluster, per_daemon: u32, time: Duration) -> Vec<Seen> {
    let interval = Duration::from_secs(1) / per_daemon;
    let loads = (0..cluster.daemons.len())
        .map(|d| load(front_addr(cluster, d), interval, time, format!("l{d}")));
    futures::future::join_all(loads).await.concat()
}

/// Most requests that arrived in any window after the daemons had time to settle.
fn most_in_window(server: &State) -> usize {
    let all = server.counters().limited_arrivals;
    let Some(first) = all.first().copied() else {
        return 0;
    };
    let settled: Vec<Instant> = all
        .into_iter()
        .filter(|at| *at >= first + SETTLE_TIME)
        .collect();
    let counts = settled.iter().enumerate().map(|(i, start)| {
        let inside = settled[i..].iter().take_while(|at| **at < *start + WINDOW);
        inside.count()
    });
    counts.max().unwrap_or(0)
}

fn assert_within(server: &State, limit: f64) {
    let allowed = limit * WINDOW.as_secs_f64() * ALLOWED_RATIO + EXTRA_REQUESTS;
    let most = most_in_window(server);
    #[allow(clippy::cast_precision_loss)] // some hundred requests
    let within = most as f64 <= allowed;
    assert!(within, "{most} requests in a window, {allowed} are allowed");
}

#[test]
fn a_target_gets_no_more_than_its_limit_from_all_daemons_together() {
    with_cluster(4, async |cluster| {
        let servers = plain_servers(cluster);
        servers[0].set_rate_limit(Some(8.0));
        let seen = load_all(cluster, 20, SETTLE_TIME + WINDOW * 2).await;
        assert_within(&servers[0], 8.0);
        let failed = seen.iter().filter(|(status, _)| *status != 200).count();
        assert_eq!(failed, 0, "of {}: the other target has room", seen.len());
        // The limit is kept, and used.
        let used = servers[0].counters().limited_arrivals.len();
        assert!(
            used > 40,
            "{used} requests in {:?}",
            SETTLE_TIME + WINDOW * 2
        );
    });
}

#[test]
fn a_target_that_lifted_its_limit_gets_its_share_again() {
    with_cluster(2, async |cluster| {
        let servers = plain_servers(cluster);
        servers[0].set_rate_limit(Some(2.0));
        load_all(cluster, 20, Duration::from_secs(3)).await;
        servers[0].set_rate_limit(None);
        load_all(cluster, 20, Duration::from_secs(3)).await;
        let before = servers[0].arrivals();
        load_all(cluster, 20, Duration::from_secs(2)).await;
        let share = servers[0].arrivals() - before;
        assert!(share > 20, "{share} of 80 requests");
    });
}

#[test]
fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    with_cluster(2, async |cluster| {
        let servers = plain_servers(cluster);
        for server in &servers {
            server.set_rate_limit(Some(4.0));
        }
        let seen = load_all(cluster, 20, SETTLE_TIME + WINDOW).await;
        for server in &servers {
            assert_within(server, 4.0);
        }
        let refused: Vec<&Seen> = seen.iter().filter(|(status, _)| *status == 503).collect();
        assert!(refused.len() > 100, "{} refused", refused.len());
        assert!(seen.iter().all(|(status, _)| matches!(status, 200 | 503)));
        let held = refused.iter().filter(|(_, took)| *took > REFUSAL_TIME);
        assert_eq!(held.count(), 0, "refused late");
    });
}
