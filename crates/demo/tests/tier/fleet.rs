//! What daemons believe of each other, of targets and of the configuration.

use {
    super::{DRAIN, IN_FORCE, NAMED_DEAD, ask, front, plain, shard, with_bed},
    actix_rt::time::sleep,
    rattanturn_demo::tier_bed::request,
    rattanturn_standins::{
        operator::{register_target, set_evacuated},
        platform::Mode,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

#[test]
fn a_fleet_whose_daemons_all_died_at_once_serves_again() {
    with_bed(4, async |bed| {
        assert_eq!(ask(bed, "/all/x", "before").await.status, 200);
        bed.kill_all();
        bed.start(3).unwrap();
        bed.ready().await.unwrap();
        let answer = ask(bed, "/all/x", "after").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
    });
}

#[test]
fn leaving_servers_and_centres_taken_out_get_nothing_more() {
    with_bed(2, async |bed| {
        let servers = plain(bed);
        register_target(&bed.store, &servers[0], "draining", 2);
        // A message from before that comes late does not bring it back.
        register_target(&bed.store, &servers[0], "ready", 1);
        sleep(DRAIN).await;
        let leaving = servers[0].counters().arrivals;
        set_evacuated(&bed.store, "a", true);
        sleep(DRAIN).await;
        let out: u64 = shard(bed, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        for i in 0..10 {
            assert_eq!(ask(bed, "/one/x", &format!("l{i}")).await.status, 200);
            assert_eq!(ask(bed, "/all/x", &format!("lg{i}")).await.status, 200);
        }
        assert_eq!(servers[0].counters().arrivals, leaving);
        let after: u64 = shard(bed, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        assert_eq!(after, out);
        set_evacuated(&bed.store, "a", false);
        sleep(DRAIN).await;
        for i in 0..20 {
            ask(bed, "/all/x", &format!("b{i}")).await;
        }
        let back: u64 = shard(bed, 0)[..1]
            .iter()
            .map(|s| s.counters().arrivals)
            .sum();
        assert!(back > after, "the data centre is still out");
    });
}

#[test]
fn a_newer_configuration_is_in_force_and_stays() {
    with_bed(2, async |bed| {
        let moved = bed.services[..3].to_vec();
        bed.operator = bed
            .operator
            .clone()
            .clear_routes()
            .gather_route("/all/", &moved, 200);
        bed.operator.write(&bed.store);
        sleep(IN_FORCE).await;
        for daemon in 0..2 {
            let at = front(bed, daemon);
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
        bed.store.set_mode(Mode::Stale);
        bed.store.compact();
        sleep(IN_FORCE).await;
        assert_eq!(ask(bed, "/one/x", "again").await.status, 404);
    });
}

#[test]
fn a_daemon_that_the_store_turns_away_learns_from_its_peers() {
    with_bed(2, async |bed| {
        let busy = rattanturn_standins::platform::Platform::spawn().unwrap();
        busy.state().set_mode(Mode::Busy);
        bed.start_at(busy.addr(), 1.0).unwrap();
        bed.ready().await.unwrap();
        let answer = request(front(bed, 2), "/all/x", "t1", "").await.unwrap();
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
        let servers = plain(bed);
        register_target(&bed.store, &servers[1], "draining", 2);
        sleep(DRAIN).await;
        let before = servers[1].counters().arrivals;
        for i in 0..6 {
            let answer = request(front(bed, 2), "/one/x", &format!("t{i}"), "")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
        }
        assert_eq!(servers[1].counters().arrivals, before);
    });
}

#[test]
fn a_dead_daemon_leaves_the_directory_and_a_stopping_one_at_once() {
    with_bed(4, async |bed| {
        sleep(Duration::from_secs(2)).await;
        let (first, dead) = (bed.daemons[0].addresses(), front(bed, 3));
        let named = bed.resolve(first, "a").await.unwrap();
        assert_eq!(named.len(), 4, "{named:?}");
        bed.daemons.remove(3).kill();
        sleep(NAMED_DEAD).await;
        let named = bed.resolve(first, "a").await.unwrap();
        assert!(!named.contains(&dead), "{named:?}");
        let stopping = bed.daemons.remove(2);
        let address = stopping.addresses().front;
        let stop = actix_rt::spawn(stopping.stop());
        sleep(Duration::from_millis(800)).await;
        let named = bed.resolve(first, "a").await.unwrap();
        assert!(!named.contains(&address), "{named:?}");
        stop.await.unwrap();
    });
}

#[test]
fn a_planned_stop_loses_no_request() {
    with_bed(2, async |bed| {
        sleep(Duration::from_secs(1)).await;
        let stopping = bed.daemons.remove(1);
        let at = stopping.addresses().front;
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                actix_rt::spawn(async move {
                    let (mut served, mut refused) = (0_usize, 0_usize);
                    for i in 0..1000 {
                        let id = format!("s{caller}-{i}");
                        // After the listener has closed, no connection is made and nothing is lost.
                        if tokio::net::TcpStream::connect(at).await.is_err() {
                            break;
                        }
                        match request(at, "/one/x", &id, "").await {
                            Some(answer) if answer.status == 200 => served += 1,
                            Some(answer) if answer.status == 503 => refused += 1,
                            Some(answer) => panic!("{}", answer.status),
                            // Read by nobody: the connection raced the closing listener.
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
        // A hedged request runs at both servers and counts once.
        let ids = plain(bed)
            .into_iter()
            .flat_map(|s| s.counters().runs.into_keys());
        let ran = ids.collect::<std::collections::BTreeSet<_>>().len();
        assert!(served > 100, "served {served}");
        assert_eq!(ran, served, "a request ran and its answer was lost");
    });
}

#[test]
fn callers_are_sent_to_the_large_daemons_while_they_live() {
    with_bed(2, async |bed| {
        let small: Vec<SocketAddr> = (0..2).map(|i| front(bed, i)).collect();
        bed.start_sized(2, 4.0).unwrap();
        bed.ready().await.unwrap();
        sleep(Duration::from_secs(2)).await;
        let at = bed.daemons[0].addresses();
        let named = bed.resolve(at, "a").await.unwrap();
        assert_eq!(named.len(), 2, "{named:?}");
        assert!(named.iter().all(|a| !small.contains(a)), "{named:?}");
        // A small one still serves what reaches it.
        assert_eq!(ask(bed, "/all/x", "small").await.status, 200);
        bed.daemons
            .drain(2..)
            .for_each(rattanturn_daemon::Tier::kill);
        sleep(NAMED_DEAD).await;
        let mut named = bed.resolve(at, "a").await.unwrap();
        named.sort();
        let mut left = small.clone();
        left.sort();
        assert_eq!(named, left);
    });
}

/// A reader gives each change to all others, which takes a small VM's link or processor too long.
#[test]
fn the_large_daemons_read_the_store() {
    with_bed(2, async |bed| {
        bed.start_sized(2, 4.0).unwrap();
        bed.ready().await.unwrap();
        // A daemon that began to read because it was stale does so for five seconds.
        sleep(Duration::from_secs(8)).await;
        let mut reads = Vec::new();
        for daemon in &bed.daemons {
            let state = daemon.state().await.unwrap();
            reads.push(state["reads_store"] == true);
        }
        assert_eq!(reads, [false, false, true, true]);
    });
}

/// On a busy machine the traffic thread may start after control has published its first view;
/// that view counts all the same.
#[test]
fn a_daemon_that_starts_on_a_busy_machine_serves_as_soon_as_it_is_ready() {
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let busy: Vec<_> = (0..24)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        })
        .collect();
    with_bed(1, async |bed| {
        for i in 0..30 {
            bed.daemons
                .drain(..)
                .for_each(rattanturn_daemon::Tier::kill);
            bed.start(1).unwrap();
            bed.ready().await.unwrap();
            let answer = ask(bed, "/one/x", &format!("b{i}")).await;
            assert_eq!(answer.status, 200, "start {i}");
        }
    });
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    for thread in busy {
        thread.join().unwrap();
    }
}
