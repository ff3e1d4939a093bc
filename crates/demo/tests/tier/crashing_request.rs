//! A request that ends each server that runs it, and comes again at any daemon.

use {
    super::{fetch, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_core::fingerprint::{Fingerprint, RequestParts},
    rattanturn_demo::tier_cluster::{Answer, TierCluster, request},
    rattanturn_standins::{
        operator::{HOST, deregister_target, register_target},
        proxy::LinkMode,
        shard::{Crash, Fault, State},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Number of servers that end before daemons are expected to refuse the request.
const FREE_ENDS: u64 = 3;
/// Time after that many ends from which on only [`ALLOWED_RETRIES`] may reach a server.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of calls that may still be made, for ever.
const ALLOWED_RETRIES: u64 = 3;
/// How long a server is down after it has ended.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Pause between two copies of the request.
const COPY_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a request that cannot be served must be refused, after one that no route serves.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Lets requests whose path begins so end every server.
fn set_crash(cluster: &TierCluster, path: &str) {
    for server in &cluster.servers {
        server.set_crash(Some(Crash {
            path: path.into(),
            down: DOWN_TIME,
            store: cluster.store.clone(),
        }));
    }
}

/// Number of servers that ended because of a request.
fn crashes(cluster: &TierCluster) -> u64 {
    let ended = cluster.servers.iter().map(|s| s.counters().crashes);
    ended.sum()
}

/// Sends copies of a request to all daemons in turn for some time; returns their answers.
async fn send_copies(cluster: &TierCluster, path: &str, time: Duration) -> Vec<Option<Answer>> {
    send_requests(cluster, |_| path.to_owned(), time).await
}

/// Like [`send_copies`], with a path for each number of a request.
async fn send_requests(
    cluster: &TierCluster,
    path: impl Fn(usize) -> String,
    time: Duration,
) -> Vec<Option<Answer>> {
    let all: Vec<SocketAddr> = (0..cluster.daemons.len())
        .map(|daemon| front_addr(cluster, daemon))
        .collect();
    let start = Instant::now();
    let mut open = Vec::new();
    while start.elapsed() < time {
        let (at, path) = (all[open.len() % all.len()], path(open.len()));
        let id = format!("{path}-{}-{}", open.len(), start.elapsed().as_micros());
        open.push(actix_rt::spawn(
            async move { request(at, &path, &id, "").await },
        ));
        sleep(COPY_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for answer in open {
        answers.push(answer.await.unwrap());
    }
    answers
}

/// Sends copies until the daemons should know the request.
async fn teach(cluster: &TierCluster, path: &str) {
    let start = Instant::now();
    while crashes(cluster) < FREE_ENDS {
        send_copies(cluster, path, COPY_INTERVAL * 2).await;
        assert!(start.elapsed() < SETTLE_TIME, "servers do not end");
    }
    send_copies(cluster, path, SETTLE_TIME).await;
}

/// Asserts that hardly any copy of a request reaches a server any more.
async fn assert_held_back(cluster: &TierCluster, path: &str) {
    let before = crashes(cluster);
    let answers = send_copies(cluster, path, SETTLE_TIME).await;
    let more = crashes(cluster) - before;
    assert!(
        more <= ALLOWED_RETRIES,
        "{more} more servers ended, {before} before"
    );
    let served = answers.iter().flatten().filter(|a| a.status == 200);
    assert_eq!(served.count(), 0);
}

#[test]
fn request_that_crashes_servers_is_not_sent_to_servers_for_ever() {
    with_cluster(3, async |cluster| {
        set_crash(cluster, "/one/poison");
        teach(cluster, "/one/poison").await;
        assert_held_back(cluster, "/one/poison").await;
        assert_eq!(fetch(cluster, "/one/other", "other").await.status, 200);
    });
}

#[test]
fn query_that_crashes_servers_is_not_sent_to_servers_for_ever() {
    with_cluster(3, async |cluster| {
        set_crash(cluster, "/all/poison");
        teach(cluster, "/all/poison").await;
        assert_held_back(cluster, "/all/poison").await;
        assert_eq!(fetch(cluster, "/all/other", "other").await.status, 200);
    });
}

#[test]
fn other_queries_are_served_while_a_query_ends_servers() {
    with_cluster(3, async |cluster| {
        send_copies(cluster, "/all/warm", Duration::from_secs(1)).await;
        set_crash(cluster, "/all/poison");
        for server in &cluster.servers {
            // Calls take longer than the time after which they are hedged.
            server.set_slow(12.0);
        }
        let poison = send_copies(cluster, "/all/poison", Duration::from_secs(2));
        let others = send_copies(cluster, "/all/other", Duration::from_secs(2));
        let (_, others) = futures::future::join(poison, others).await;
        let ended = crashes(cluster);
        let shards = cluster.services.len() as u64;
        let served = others.iter().flatten().filter(|a| a.status == 200).count();
        let refused = others.iter().flatten().filter(|a| a.status == 503).count();
        assert!(
            ended < 2 * shards,
            "{ended} of {} servers ended",
            2 * shards
        );
        assert!(
            served * 10 >= others.len() * 9,
            "{served} served, {refused} refused of {}",
            others.len()
        );
    });
}

/// Guards against innocent requests that are refused for long because their calls were open at servers
/// that another request ended: no answer to any of them is known.
#[test]
fn queries_that_come_once_are_served_while_a_query_ends_servers() {
    with_cluster(3, async |cluster| {
        send_copies(cluster, "/all/warm", Duration::from_secs(1)).await;
        set_crash(cluster, "/all/poison");
        for server in &cluster.servers {
            server.set_slow(12.0);
        }
        let poison = send_copies(cluster, "/all/poison", Duration::from_secs(2));
        let path = |n| format!("/all/once/{n}");
        let others = send_requests(cluster, path, Duration::from_secs(2));
        let (_, others) = futures::future::join(poison, others).await;
        let statuses: Vec<u16> = others
            .iter()
            .map(|a| a.as_ref().map_or(0, |a| a.status))
            .collect();
        let served = statuses.iter().filter(|s| **s == 200).count();
        let ended: Vec<u64> = cluster
            .servers
            .iter()
            .map(|s| s.counters().crashes)
            .collect();
        assert!(
            served * 10 >= others.len() * 9,
            "{statuses:?}, ended {ended:?}"
        );
        // What was open when the servers ended is served as well if it is sent again.
        for (n, before) in statuses.iter().enumerate() {
            let answer = fetch(cluster, &path(n), &format!("again{n}")).await;
            assert_eq!(answer.status, 200, "{n}, before {before}");
        }
    });
}

#[test]
fn other_queries_are_served_after_a_query_ended_servers() {
    with_cluster(3, async |cluster| {
        send_copies(cluster, "/all/warm", Duration::from_secs(1)).await;
        set_crash(cluster, "/all/poison");
        for server in &cluster.servers {
            // Calls take longer than the time after which they are hedged.
            server.set_slow(12.0);
        }
        fetch(cluster, "/all/poison", "first").await;
        let ended = crashes(cluster);
        let shards = cluster.services.len() as u64;
        assert!(ended <= shards, "{ended} servers of {shards} shards ended");
        let others = send_copies(cluster, "/all/other", DOWN_TIME).await;
        let refused = others.iter().flatten().filter(|a| a.status == 503);
        assert_eq!(refused.count(), 0, "of {}", others.len());
    });
}

#[test]
fn daemon_that_starts_later_does_not_send_a_crashing_request() {
    with_cluster(3, async |cluster| {
        set_crash(cluster, "/one/poison");
        teach(cluster, "/one/poison").await;
        cluster.daemons.remove(0).kill();
        cluster.start_daemons(1).unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(Duration::from_secs(1)).await;
        let started = cluster.daemons.pop().unwrap();
        cluster
            .daemons
            .drain(..)
            .for_each(rattanturn_daemon::Tier::kill);
        cluster.daemons.push(started);
        assert_held_back(cluster, "/one/poison").await;
    });
}

#[test]
fn crashing_request_is_not_sent_after_all_daemons_were_killed() {
    with_cluster(3, async |cluster| {
        set_crash(cluster, "/one/poison");
        teach(cluster, "/one/poison").await;
        cluster.kill_all();
        cluster.start_daemons(3).unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(Duration::from_secs(1)).await;
        let before = crashes(cluster);
        assert_held_back(cluster, "/one/poison").await;
        assert_eq!(crashes(cluster), before, "what was known is lost");
    });
}

#[test]
fn request_that_is_quarantined_in_the_store_is_soon_refused_by_all_daemons() {
    with_cluster(12, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let request = Fingerprint::of(&RequestParts {
            method: "GET",
            host: HOST,
            path: "/one/poison",
            caller: b"",
            body: b"",
        });
        let evidence = json!({
            "request": request, "round": 0, "ended": [1, 2, 3], "trials": 1, "age_ms": 0,
            "written_ms": unix_ms(),
        });
        let name = request.to_string();
        cluster
            .store
            .write("rattanturn-quarantine", &name, evidence);
        sleep(Duration::from_secs(1)).await;
        let answers = send_copies(cluster, "/one/poison", COPY_INTERVAL * 12).await;
        let statuses: Vec<u16> = answers.iter().flatten().map(|a| a.status).collect();
        assert_eq!(statuses, vec![503; statuses.len()]);
    });
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}

/// Sends a request; returns its answer and the time until it came.
async fn timed_request(addr: SocketAddr, path: &str, id: &str) -> (Answer, Duration) {
    let sent = Instant::now();
    let answer = request(addr, path, id, "").await.unwrap();
    (answer, sent.elapsed())
}

#[test]
fn crashing_request_is_refused_at_once_and_has_not_run() {
    with_cluster(2, async |cluster| {
        set_crash(cluster, "/one/poison");
        teach(cluster, "/one/poison").await;
        for n in 0..10 {
            let id = format!("late{n}");
            let addr = front_addr(cluster, n % 2);
            // Whatever holds up the threads holds up both.
            let (refused, unknown) = futures::future::join(
                timed_request(addr, "/one/poison", &id),
                timed_request(addr, "/unknown", "unknown"),
            )
            .await;
            let (answer, took) = refused;
            assert_eq!(unknown.0.status, 404);
            assert_eq!(
                answer.status,
                503,
                "{}",
                String::from_utf8_lossy(&answer.body)
            );
            assert!(answer.header("retry-after").parse::<f64>().unwrap() > 1.0);
            let late = took.saturating_sub(unknown.1);
            assert!(late < REFUSAL_TIME, "{took:?}, and {:?}", unknown.1);
            assert_eq!(super::run_count(&plain_servers(cluster), &id), 0);
        }
        // The same path with another body is another request.
        for server in &cluster.servers {
            server.set_crash(None);
        }
        let other = request(front_addr(cluster, 0), "/one/poison", "body", "body").await;
        assert_eq!(other.unwrap().status, 200);
    });
}

#[test]
fn request_that_ran_on_trial_only_is_not_said_to_have_not_run() {
    with_cluster(1, async |cluster| {
        set_crash(cluster, "/all/poison");
        let first = fetch(cluster, "/all/poison", "first").await;
        assert_eq!(first.status, 502, "{:?}", String::from_utf8(first.body));
        sleep(DOWN_TIME + Duration::from_secs(2)).await;
        for server in &cluster.servers {
            server.set_crash(None);
            server.set_slow(20.0);
        }
        let answer = request(front_addr(cluster, 0), "/all/poison", "second", "");
        let refuse = async {
            sleep(Duration::from_millis(100)).await;
            for server in &cluster.servers {
                server.set_fault(Fault::Refused);
            }
        };
        let (answer, ()) = futures::future::join(answer, refuse).await;
        assert_eq!(super::run_count(&cluster.servers, "second"), 1);
        let answer = answer.unwrap();
        assert_eq!(
            answer.status,
            502,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
    });
}

/// Loads a path at all daemons while the servers of one data centre end, three times, and asserts that
/// it is served soon after each loss. Calls that were open at a lost server may fail.
fn assert_served_without_a_centre(path: &str) {
    with_cluster(3, async |cluster| {
        send_copies(cluster, path, Duration::from_secs(1)).await;
        for _ in 0..3 {
            let lost: Vec<Arc<State>> = cluster
                .servers
                .iter()
                .filter(|s| s.config().centre == "b")
                .cloned()
                .collect();
            let load = send_copies(cluster, path, COPY_INTERVAL * 10);
            let end = async {
                sleep(COPY_INTERVAL * 5).await;
                for server in &lost {
                    assert!(server.stop());
                }
            };
            futures::future::join(load, end).await;
            let answers = send_copies(cluster, path, Duration::from_secs(1)).await;
            let failed = answers
                .iter()
                .filter(|a| a.as_ref().is_none_or(|a| a.status != 200));
            assert_eq!(failed.count(), 0);
            for server in &lost {
                deregister_target(&cluster.store, server);
                server.start();
                register_target(&cluster.store, server, "ready", 1);
            }
            sleep(Duration::from_secs(1)).await;
        }
    });
}

#[test]
fn popular_request_is_served_while_a_data_centre_dies() {
    assert_served_without_a_centre("/one/popular");
}

#[test]
fn popular_query_is_served_while_a_data_centre_dies() {
    assert_served_without_a_centre("/all/popular");
}

#[test]
fn popular_request_is_served_while_one_daemon_loses_all_servers() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        for path in ["/one/popular", "/all/popular"] {
            for _ in 0..3 {
                send_copies(cluster, path, COPY_INTERVAL * 10).await;
                let load = send_copies(cluster, path, COPY_INTERVAL * 10);
                let cut = async {
                    sleep(COPY_INTERVAL * 5).await;
                    for proxy in &cluster.gateway {
                        proxy.set_accepting(false);
                        proxy.set_mode(LinkMode::Reset);
                    }
                };
                futures::future::join(load, cut).await;
                let answers = send_copies(cluster, path, Duration::from_secs(2)).await;
                let failed = answers
                    .iter()
                    .filter(|a| a.as_ref().is_none_or(|a| a.status != 200));
                assert_eq!(failed.count(), 0, "{path}");
                for proxy in &cluster.gateway {
                    proxy.set_mode(LinkMode::Normal);
                    proxy.set_accepting(true);
                }
                sleep(Duration::from_secs(1)).await;
            }
        }
    });
}

#[test]
fn mended_request_is_served_again() {
    with_cluster(2, async |cluster| {
        set_crash(cluster, "/one/poison");
        teach(cluster, "/one/poison").await;
        for server in &cluster.servers {
            server.set_crash(None);
        }
        let start = Instant::now();
        let served = |a: &Option<Answer>| a.as_ref().is_some_and(|a| a.status == 200);
        while !send_copies(cluster, "/one/poison", COPY_INTERVAL)
            .await
            .iter()
            .any(served)
        {
            assert!(
                start.elapsed() < Duration::from_secs(45),
                "refused for ever"
            );
        }
        sleep(Duration::from_secs(1)).await;
        let answers = send_copies(cluster, "/one/poison", Duration::from_secs(1)).await;
        assert!(answers.iter().all(served), "served by one daemon only");
    });
}

/// Guards against a request that ends without an answer because it waits for the trial of another copy
/// at the end of a stop, and against one that is refused then and runs.
#[test]
fn a_request_that_waits_for_a_trial_is_answered_at_the_end_of_a_stop_and_never_runs() {
    with_cluster(1, async |cluster| {
        let at = front_addr(cluster, 0);
        let path = "/one/poison";
        set_crash(cluster, path);
        while crashes(cluster) < 2 {
            fetch(cluster, path, "ends").await;
        }
        for server in &cluster.servers {
            server.set_crash(None);
            server.set_slow(150.0);
        }
        // The servers are back, and the daemon knows it.
        sleep(DOWN_TIME + Duration::from_secs(2)).await;
        let servers = plain_servers(cluster);
        let arrived = || servers.iter().map(|s| s.arrivals()).sum::<u64>();
        let before = arrived();
        let copy = |id| actix_rt::spawn(async move { request(at, path, id, "").await });
        let trial = copy("trial");
        sleep(DOWN_TIME).await;
        let waiting = copy("waiting");
        sleep(DOWN_TIME).await;
        let daemon = cluster.daemons.remove(0);
        let handle = daemon.stop_handle();
        let stop = actix_rt::spawn(daemon.stop());
        handle.hurry();
        let status = |answer: Option<Answer>| answer.map(|a| a.status);
        assert_eq!(status(trial.await.unwrap()), Some(502));
        assert_eq!(status(waiting.await.unwrap()), Some(503));
        assert_eq!(stop.await.unwrap(), "0 requests left open");
        assert_eq!(arrived() - before, 1, "the trial alone");
    });
}
