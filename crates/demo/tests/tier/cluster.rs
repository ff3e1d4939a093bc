//! What daemons know of each other, of targets and of the configuration, and how it changes.

use {
    super::{
        CONFIG_APPLY_TIME, DEAD_REMOVAL_TIME, DRAIN_TIME, fetch, front_addr, plain_servers,
        shard_servers, with_cluster,
    },
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::request,
    rattanturn_standins::{
        operator::{deregister_target, register_target, set_evacuated},
        platform::Mode,
    },
    std::{net::SocketAddr, time::Duration},
};

#[test]
fn tier_serves_again_after_all_daemons_were_killed() {
    with_cluster(4, async |cluster| {
        assert_eq!(fetch(cluster, "/all/x", "before").await.status, 200);
        cluster.kill_all();
        cluster.start_daemons(3).unwrap();
        cluster.wait_ready().await.unwrap();
        let answer = fetch(cluster, "/all/x", "after").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
    });
}

#[test]
fn draining_servers_and_evacuated_centres_get_no_requests() {
    with_cluster(2, async |cluster| {
        let servers = plain_servers(cluster);
        register_target(&cluster.store, &servers[0], "draining", 2);
        // An older message that arrives late does not undo the draining.
        register_target(&cluster.store, &servers[0], "ready", 1);
        sleep(DRAIN_TIME).await;
        let draining = servers[0].counters().arrivals;
        set_evacuated(&cluster.store, "a", true);
        sleep(DRAIN_TIME).await;
        let out: u64 = shard_servers(cluster, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        for i in 0..10 {
            assert_eq!(fetch(cluster, "/one/x", &format!("l{i}")).await.status, 200);
            assert_eq!(
                fetch(cluster, "/all/x", &format!("lg{i}")).await.status,
                200
            );
        }
        assert_eq!(servers[0].counters().arrivals, draining);
        let after: u64 = shard_servers(cluster, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        assert_eq!(after, out);
        set_evacuated(&cluster.store, "a", false);
        sleep(DRAIN_TIME).await;
        for i in 0..20 {
            fetch(cluster, "/all/x", &format!("b{i}")).await;
        }
        let back: u64 = shard_servers(cluster, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        assert!(back > after, "the data centre is still evacuated");
    });
}

#[test]
fn newer_configuration_is_applied_and_not_replaced_by_an_older_read() {
    with_cluster(2, async |cluster| {
        let moved = cluster.services[..3].to_vec();
        cluster.config = cluster
            .config
            .clone()
            .clear_routes()
            .gather_route("/all/", &moved, 200);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        for daemon in 0..2 {
            let at = front_addr(cluster, daemon);
            let answer = request(at, "/all/x", &format!("v{daemon}"), "")
                .await
                .unwrap();
            let parts = answer.header("x-shard-stamps").split(", ").count();
            assert_eq!((answer.status, parts), (200, 3));
            let dropped = request(at, "/one/x", &format!("n{daemon}"), "")
                .await
                .unwrap();
            assert_eq!(dropped.status, 404);
        }
        // From here on, reads of the store return the configuration before the newest.
        cluster.store.set_mode(Mode::Stale);
        cluster.store.compact();
        sleep(CONFIG_APPLY_TIME).await;
        assert_eq!(fetch(cluster, "/one/x", "again").await.status, 404);
    });
}

#[test]
fn daemon_refused_by_the_store_learns_from_its_peers() {
    with_cluster(2, async |cluster| {
        let busy = rattanturn_standins::platform::Platform::spawn().unwrap();
        busy.state().set_mode(Mode::Busy);
        cluster.start_with_store(busy.addr(), 1.0).unwrap();
        cluster.wait_ready().await.unwrap();
        let answer = request(front_addr(cluster, 2), "/all/x", "t1", "")
            .await
            .unwrap();
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
        let servers = plain_servers(cluster);
        register_target(&cluster.store, &servers[1], "draining", 2);
        sleep(DRAIN_TIME).await;
        let before = servers[1].counters().arrivals;
        for i in 0..6 {
            let answer = request(front_addr(cluster, 2), "/one/x", &format!("t{i}"), "")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
        }
        assert_eq!(servers[1].counters().arrivals, before);
    });
}

#[test]
fn directory_drops_dead_daemons_in_time_and_stopping_ones_at_once() {
    with_cluster(4, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let (first, dead) = (cluster.daemons[0].addresses(), front_addr(cluster, 3));
        let listed = cluster.resolve(first, "a").await.unwrap();
        assert_eq!(listed.len(), 4, "{listed:?}");
        cluster.daemons.remove(3).kill();
        sleep(DEAD_REMOVAL_TIME).await;
        let listed = cluster.resolve(first, "a").await.unwrap();
        assert!(!listed.contains(&dead), "{listed:?}");
        let stopping = cluster.daemons.remove(2);
        let address = stopping.addresses().front;
        let stop = actix_rt::spawn(stopping.stop());
        sleep(Duration::from_millis(800)).await;
        let listed = cluster.resolve(first, "a").await.unwrap();
        assert!(!listed.contains(&address), "{listed:?}");
        stop.await.unwrap();
    });
}

#[test]
fn graceful_stop_loses_no_request() {
    with_cluster(2, async |cluster| {
        sleep(Duration::from_secs(1)).await;
        let stopping = cluster.daemons.remove(1);
        let at = stopping.addresses().front;
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                actix_rt::spawn(async move {
                    let (mut served, mut refused) = (0_usize, 0_usize);
                    for i in 0..1000 {
                        let id = format!("s{caller}-{i}");
                        // Once the listener is closed, the request is never sent.
                        if tokio::net::TcpStream::connect(at).await.is_err() {
                            break;
                        }
                        match request(at, "/one/x", &id, "").await {
                            Some(answer) if answer.status == 200 => served += 1,
                            Some(answer) if answer.status == 503 => refused += 1,
                            Some(answer) => panic!("{}", answer.status),
                            // The listener closed before the daemon read the request.
                            None => break,
                        }
                    }
                    (served, refused)
                })
            })
            .collect();
        sleep(Duration::from_millis(500)).await;
        let left = stopping.stop().await;
        assert_eq!(left, "0 requests left open");
        let mut served = 0;
        for caller in callers {
            served += caller.await.unwrap().0;
        }
        // A hedged request may run at both servers, so distinct ids are counted.
        let ids = plain_servers(cluster)
            .into_iter()
            .flat_map(|s| s.counters().runs.into_keys());
        let ran = ids.collect::<std::collections::BTreeSet<_>>().len();
        assert!(served > 100, "served {served}");
        assert_eq!(ran, served, "a request ran and its answer was lost");
    });
}

#[test]
fn directory_lists_only_large_daemons_while_one_is_alive() {
    with_cluster(2, async |cluster| {
        let small: Vec<SocketAddr> = (0..2).map(|i| front_addr(cluster, i)).collect();
        cluster.start_with_cores(2, 4.0).unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(Duration::from_secs(2)).await;
        let at = cluster.daemons[0].addresses();
        let listed = cluster.resolve(at, "a").await.unwrap();
        assert_eq!(listed.len(), 2, "{listed:?}");
        assert!(listed.iter().all(|a| !small.contains(a)), "{listed:?}");
        // A small daemon still serves requests that reach it.
        assert_eq!(fetch(cluster, "/all/x", "small").await.status, 200);
        cluster
            .daemons
            .drain(2..)
            .for_each(rattanturn_daemon::Tier::kill);
        sleep(DEAD_REMOVAL_TIME).await;
        let mut listed = cluster.resolve(at, "a").await.unwrap();
        listed.sort();
        let mut left = small.clone();
        left.sort();
        assert_eq!(listed, left);
    });
}

/// A daemon that reads the store sends each change to all others, for which the network and the
/// processor of a small VM are too slow.
#[test]
fn large_daemons_read_the_store() {
    with_cluster(2, async |cluster| {
        cluster.start_with_cores(2, 4.0).unwrap();
        cluster.wait_ready().await.unwrap();
        // A daemon that started to read because its state was stale reads for five seconds.
        sleep(Duration::from_secs(8)).await;
        let mut reads = Vec::new();
        for daemon in &cluster.daemons {
            let state = daemon.state().await.unwrap();
            reads.push(state["reads_store"] == true);
        }
        assert_eq!(reads, [false, false, true, true]);
    });
}

#[test]
fn server_that_left_is_not_used_by_a_daemon_that_starts_later() {
    with_cluster(3, async |cluster| {
        let servers = plain_servers(cluster);
        register_target(&cluster.store, &servers[0], "draining", 2);
        sleep(DRAIN_TIME).await;
        deregister_target(&cluster.store, &servers[0]);
        sleep(DRAIN_TIME).await;
        let before = servers[0].arrivals();
        for round in 0..3 {
            cluster.daemons.remove(0).kill();
            cluster.start_daemons(1).unwrap();
            cluster.wait_ready().await.unwrap();
            for n in 0..20 {
                let at = front_addr(cluster, cluster.daemons.len() - 1);
                let answer = request(at, "/one/x", &format!("r{round}-{n}"), "").await;
                assert_eq!(answer.unwrap().status, 200);
            }
        }
        assert_eq!(servers[0].arrivals(), before);
    });
}
