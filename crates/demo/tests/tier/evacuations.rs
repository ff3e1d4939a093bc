//! An evacuation holds at each daemon until it is taken back, whatever some daemons know.

use {
    super::{DRAIN_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{TierCluster, request},
    rattanturn_standins::{
        operator::{register_target, set_evacuated},
        platform::Platform,
    },
    std::time::{Duration, Instant},
};

/// Time after which an evacuation must be in force at all daemons.
const EVACUATE_TIME: Duration = Duration::from_secs(5);
/// Time for which requests are sent after a change of the daemons.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Sends requests to the first `daemons` until `time` has passed, while the store's revision rises. Returns how many of them arrived at the server in the evacuated data centre.
async fn arrivals(cluster: &TierCluster, daemons: usize, time: Duration) -> u64 {
    let servers = plain_servers(cluster);
    let before = servers[0].arrivals();
    let end = Instant::now() + time;
    let mut sent = 0;
    while Instant::now() < end {
        // The revision of a daemon that reads the store then is above that of its peers.
        register_target(&cluster.store, &servers[1], "ready", 10 + sent);
        for daemon in 0..daemons {
            let at = front_addr(cluster, daemon);
            let answer = request(at, "/one/x", &format!("{before}-{daemon}-{sent}"), "").await;
            assert_eq!(answer.unwrap().status, 200);
        }
        sent += 1;
        sleep(Duration::from_millis(5)).await;
    }
    servers[0].arrivals() - before
}

/// Guards against a seed that has just started and takes an evacuation back before it has read it.
#[test]
fn a_daemon_that_cannot_read_evacuations_takes_none_back() {
    with_cluster(2, async |cluster| {
        let hanging = Platform::spawn_hanging(cluster.store.clone()).unwrap();
        set_evacuated(&cluster.store, "a", true);
        sleep(EVACUATE_TIME).await;
        assert_eq!(arrivals(cluster, 2, WATCH_TIME).await, 0, "at first");
        cluster.store.hang(Some("evacuations"));
        for number in 0..3 {
            cluster.start_as_seed(hanging.addr()).unwrap();
            let late = arrivals(cluster, 2, WATCH_TIME).await;
            assert_eq!(late, 0, "after start {number}");
        }
        cluster.store.hang(None);
        assert_eq!(arrivals(cluster, 5, WATCH_TIME).await, 0, "at the end");
        set_evacuated(&cluster.store, "a", false);
        sleep(DRAIN_TIME).await;
        assert!(
            arrivals(cluster, 5, WATCH_TIME).await > 0,
            "it was taken back"
        );
    });
}

/// Guards against a reader whose calls for evacuations hang and that takes back what another one has read.
#[test]
fn a_reader_whose_calls_for_evacuations_hang_takes_none_back() {
    with_cluster(0, async |cluster| {
        let hanging = Platform::spawn_hanging(cluster.store.clone()).unwrap();
        // The large daemons read the store.
        cluster.start_with_store(hanging.addr(), 4.0).unwrap();
        cluster.start_with_cores(1, 4.0).unwrap();
        cluster.start_with_cores(2, 1.0).unwrap();
        cluster.wait_ready().await.unwrap();
        arrivals(cluster, 4, WATCH_TIME).await;
        cluster.store.hang(Some("evacuations"));
        set_evacuated(&cluster.store, "a", true);
        sleep(EVACUATE_TIME).await;
        assert_eq!(arrivals(cluster, 4, WATCH_TIME * 3).await, 0);
    });
}
