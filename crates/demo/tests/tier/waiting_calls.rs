//! Calls that wait for a connection to their target.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::request_within,
    rattanturn_standins::operator::deregister_target,
    std::time::{Duration, Instant},
};

/// Time between two requests; the target takes about twice as long for one.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
const REQUESTS: u64 = 70;
/// Time limit of these requests and of their route, in which a slow machine serves all of them.
const ORDER_LIMIT_MS: u64 = 30_000;
const ORDER_LIMIT: Duration = Duration::from_millis(ORDER_LIMIT_MS);
/// Number of later requests that may be served first: they can overtake on the way to the daemon.
const OVERTAKES: usize = 5;
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
