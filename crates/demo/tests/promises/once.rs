//! Non-idempotent requests: they run at most once, "not run" is reported only if it is true, and
//! deduplication tables move with their partitions.

use {
    super::{LOAD_TIME, route_load, with_cluster},
    actix_rt::time::sleep,
    rattanturn_core::rendezvous,
    rattanturn_daemon::Daemon,
    rattanturn_demo::{
        load::{DaemonResolver, run, unix_ms},
        report::{false_not_run, totals},
    },
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// One target runs requests and breaks the connection before it answers, and two daemons are killed
/// under load. A daemon that tried such a request at another target would run it twice.
#[test]
fn requests_run_at_most_once_when_daemons_die_and_answers_are_lost() {
    with_cluster(6, async |cluster| {
        let answer_loser = cluster
            .targets
            .iter()
            .find(|t| t.state.config().service == "events/e");
        answer_loser.unwrap().state.set_lose_answers(true);
        let resolver = DaemonResolver::new(cluster.frontends(), "east");
        let running = actix_rt::spawn(run(resolver, route_load("renew", 60.0), LOAD_TIME * 2, 12));
        sleep(LOAD_TIME / 2).await;
        cluster.kill(1);
        sleep(LOAD_TIME / 2).await;
        cluster.kill(4);
        let seen = running.await.unwrap();
        let totals = totals(&cluster.targets);
        assert_eq!(totals.duplicates, 0, "{totals:?}");
        assert!(seen.full > 0 && seen.unknown > 0, "{seen:?}");
        let all = BTreeMap::from([("renew".to_owned(), seen)]);
        assert_eq!(false_not_run(&all, &totals), 0);
    });
}

/// Sends one non-idempotent request and returns its outcome, or "broken" if there is no answer.
async fn renew(addr: SocketAddr, id: &str, issued: u64) -> String {
    renew_by(addr, "renew", id, issued).await
}

/// Like [`renew`], by one of the routes of the same pool.
async fn renew_by(addr: SocketAddr, route: &str, id: &str, issued: u64) -> String {
    let request = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let sent = request
        .post(format!("http://{addr}/query/{route}"))
        .insert_header(("x-request-id", id))
        .insert_header(("x-issued", issued.to_string()))
        .send_body(id.to_owned())
        .await;
    let Ok(mut response) = sent else {
        return "broken".into();
    };
    let ran = response.status().is_success();
    let body = response.body().await.unwrap();
    if ran {
        return "ran".into();
    }
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    body["outcome"].as_str().unwrap().to_owned()
}

/// A retry can arrive at another VM than the first attempt, even at the same time.
#[test]
fn retry_at_another_vm_gets_the_outcome_of_the_first_attempt() {
    with_cluster(6, async |cluster| {
        // Requests run only if they are issued later than the start of the lease term by more than
        // the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let daemons = cluster.frontends();
        for n in 0..20 {
            let (id, issued) = (format!("r{n}"), unix_ms());
            let both = futures::future::join(
                renew(daemons[n % 6], &id, issued),
                renew(daemons[(n + 1) % 6], &id, issued),
            );
            let (first, second) = both.await;
            let third = renew(daemons[(n + 2) % 6], &id, issued).await;
            assert_eq!([first.as_str(), &second, &third], ["ran"; 3], "{id}");
        }
        let totals = totals(&cluster.targets);
        assert!(
            totals.run_counts.len() == 20 && totals.duplicates == 0,
            "{totals:?}"
        );
    });
}

/// Guards against "unknown" for calls that were never sent, because the daemon that held their target has
/// ended.
#[test]
fn calls_that_cannot_be_sent_to_a_killed_holder_go_to_another_target() {
    with_cluster(6, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let states = cluster.states().await;
        let holds = |daemon: usize, unit: &str| {
            let units = states[daemon]["units"].as_array().unwrap();
            let name = |u: &Value| u["unit"].as_str().unwrap_or("").starts_with(unit);
            units.iter().any(|u| name(u) && u["mine"] == true)
        };
        let killed = (0..6).find(|d| holds(*d, "events/")).unwrap();
        // An id belongs to one of 16 partitions.
        let is_lost = |id: &str| holds(killed, &format!("journal/{}", rendezvous::key(id) % 16));
        let ids = (0..200).map(|n| format!("k{n}"));
        let ids: Vec<String> = ids.filter(|id| !is_lost(id)).take(40).collect();
        let callers = cluster.frontends()[(killed + 1) % 6];
        cluster.kill(killed);
        // The other daemons notice that their connections end.
        sleep(Duration::from_millis(50)).await;
        let issued = unix_ms();
        let sent = ids.iter().map(|id| renew(callers, id, issued));
        let outcomes = futures::future::join_all(sent).await;
        let wrong = outcomes.iter().filter(|o| *o != "ran").count();
        assert_eq!(wrong, 0, "{outcomes:?}");
        assert_eq!(totals(&cluster.targets).duplicates, 0);
    });
}

/// The deduplication tables of a killed daemon are lost, and the next owner cannot tell which
/// requests have run. It must answer "unknown" to a retry instead of running it again.
#[test]
fn retry_does_not_run_again_after_the_owner_was_killed() {
    with_cluster(6, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let other = cluster.frontends()[5];
        for n in 0..30 {
            assert_eq!(renew(other, &format!("r{n}"), issued).await, "ran");
        }
        cluster.kill(0);
        cluster.kill(2);
        cluster.wait_ready().await.unwrap();
        let mut outcomes = BTreeMap::new();
        for n in 0..30 {
            let outcome = renew(other, &format!("r{n}"), issued).await;
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
        let totals = totals(&cluster.targets);
        assert_eq!(
            (totals.duplicates, totals.run_counts.len()),
            (0, 30),
            "{outcomes:?}"
        );
        assert!(
            !outcomes.contains_key("not-run"),
            "a request that ran is reported as not run: {outcomes:?}"
        );
    });
}

/// Without a majority no daemon can take over the partitions of the killed ones. A daemon that reaches
/// no owner knows nothing of earlier attempts, so it must not answer "not run" to a retry.
#[test]
fn retry_is_not_reported_as_not_run_while_its_partition_has_no_owner() {
    with_cluster(3, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let other = cluster.frontends()[2];
        for n in 0..10 {
            assert_eq!(renew(other, &format!("r{n}"), issued).await, "ran");
        }
        cluster.kill(0);
        cluster.kill(1);
        let retries = (0..10).map(|n| async move { renew(other, &format!("r{n}"), issued).await });
        let outcomes = futures::future::join_all(retries).await;
        let wrong = outcomes.iter().filter(|o| *o == "not-run").count();
        assert_eq!(wrong, 0, "requests that ran: {outcomes:?}");
    });
}

/// Two daemons are replaced while both kinds of requests run.
#[test]
fn graceful_stops_under_load_lose_no_request() {
    with_cluster(6, async |cluster| {
        // Requests run only if they are issued later than the start of the lease term by more than
        // the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let resolver = DaemonResolver::new(cluster.frontends(), "east");
        let time = Duration::from_secs(16);
        let search = actix_rt::spawn(run(resolver.clone(), route_load("search", 30.0), time, 13));
        let renewals = actix_rt::spawn(run(resolver, route_load("renew", 30.0), time, 14));
        sleep(Duration::from_secs(1)).await;
        cluster.add_daemon("fresh-1").unwrap();
        cluster.add_daemon("fresh-2").unwrap();
        let stops: Vec<Daemon> = [0, 3]
            .into_iter()
            .filter_map(|i| cluster.take_daemon(i))
            .collect();
        let reports = futures::future::join_all(stops.into_iter().map(Daemon::stop)).await;
        for report in reports {
            assert_eq!(report, "0 requests and 0 units were left");
        }
        let (search, renewals) = (search.await.unwrap(), renewals.await.unwrap());
        assert_eq!(
            (search.failed, search.wrong, search.not_run),
            (0, 0, 0),
            "{search:?}"
        );
        assert_eq!(search.insufficient, 0, "{search:?}");
        // Deduplication tables are handed over, so no outcome is lost with a VM.
        let lost = (
            renewals.failed,
            renewals.wrong,
            renewals.unknown,
            renewals.not_run,
        );
        assert_eq!(lost, (0, 0, 0, 0), "{renewals:?}");
        let totals = totals(&cluster.targets);
        assert_eq!(
            (totals.duplicates, totals.oversubscribed),
            (0, 0),
            "{totals:?}"
        );
    });
}

/// Guards against "unknown" for requests that come while the owner of their partition, which stops, waits
/// for the end of another one.
#[test]
fn requests_wait_for_a_partition_that_moves_while_there_is_time() {
    with_cluster(3, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let partition = |id: &str| rendezvous::key(id) % 16;
        let first = "w0";
        let mut ids = (1..).map(|n| format!("w{n}"));
        let second = ids.find(|id| partition(id) == partition(first)).unwrap();
        let name = format!("journal/{}", partition(first));
        let is_held = |u: &Value| u["unit"] == *name && u["mine"] == true;
        let states = cluster.states().await;
        let mut units = states.iter().map(|s| s["units"].as_array().unwrap());
        let owner = units.position(|u| u.iter().any(is_held)).unwrap();
        let callers = cluster.frontends()[(owner + 1) % 3];
        let set_slow = |factor| {
            for target in &cluster.targets {
                target.state.set_slow(factor);
            }
        };
        set_slow(200.0);
        let long =
            actix_rt::spawn(async move { renew_by(callers, "long-renew", first, unix_ms()).await });
        sleep(Duration::from_millis(100)).await;
        set_slow(1.0);
        let stopping = cluster.take_daemon(owner).unwrap();
        let handle = stopping.stop_handle();
        let stop = actix_rt::spawn(stopping.stop());
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            renew_by(callers, "long-renew", &second, unix_ms()).await,
            "ran"
        );
        assert_eq!(long.await.unwrap(), "ran");
        handle.hurry();
        stop.await.unwrap();
    });
}

/// A daemon that stops gracefully must hand over its deduplication tables, so that the next owner
/// can still answer a retry with the outcome of the first attempt.
#[test]
fn retry_gets_the_first_outcome_after_the_owner_was_stopped() {
    with_cluster(6, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let other = cluster.frontends()[5];
        for n in 0..30 {
            assert_eq!(renew(other, &format!("r{n}"), issued).await, "ran");
        }
        let stops: Vec<Daemon> = [0, 2]
            .into_iter()
            .filter_map(|i| cluster.take_daemon(i))
            .collect();
        futures::future::join_all(stops.into_iter().map(Daemon::stop)).await;
        cluster.wait_ready().await.unwrap();
        for n in 0..30 {
            assert_eq!(renew(other, &format!("r{n}"), issued).await, "ran", "r{n}");
        }
        let totals = totals(&cluster.targets);
        assert_eq!(
            (totals.duplicates, totals.run_counts.len()),
            (0, 30),
            "{totals:?}"
        );
    });
}

/// A daemon joins, takes some of the partitions over and gives them back. Guards against a partition that
/// its earlier owner takes for one that it has handed over, so that it answers "unknown" from then on.
#[test]
fn requests_run_after_their_partition_came_back_to_an_earlier_owner() {
    with_cluster(3, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let (issued, addr) = (unix_ms(), cluster.frontends()[0]);
        for n in 0..40 {
            assert_eq!(renew(addr, &format!("b{n}"), issued).await, "ran");
        }
        cluster.add_daemon("fresh").unwrap();
        cluster.wait_ready().await.unwrap();
        let fresh = cluster.take_daemon(3).unwrap();
        let handle = fresh.stop_handle();
        let stop = fresh.stop();
        handle.hurry();
        stop.await;
        cluster.wait_ready().await.unwrap();
        let mut outcomes = BTreeMap::new();
        for n in 0..40 {
            let (retry, new) = (format!("b{n}"), format!("c{n}"));
            for outcome in [
                renew(addr, &retry, issued).await,
                renew(addr, &new, unix_ms()).await,
            ] {
                *outcomes.entry(outcome).or_insert(0) += 1;
            }
        }
        assert_eq!(outcomes, BTreeMap::from([("ran".to_owned(), 80)]));
        assert_eq!(totals(&cluster.targets).duplicates, 0);
    });
}

/// Guards against tables that are lost with a daemon that ends before it has forwarded them: the one
/// that handed them over did not know that it stops as well.
#[test]
fn retry_gets_the_first_outcome_after_two_owners_were_stopped_in_a_hurry() {
    with_cluster(6, async |cluster| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let other = cluster.frontends()[5];
        for n in 0..60 {
            assert_eq!(renew(other, &format!("r{n}"), issued).await, "ran");
        }
        let mut stops = Vec::new();
        for daemon in [0, 2].into_iter().filter_map(|i| cluster.take_daemon(i)) {
            let handle = daemon.stop_handle();
            stops.push(daemon.stop());
            handle.hurry();
        }
        futures::future::join_all(stops).await;
        cluster.wait_ready().await.unwrap();
        let mut outcomes = BTreeMap::new();
        for n in 0..60 {
            let outcome = renew(other, &format!("r{n}"), issued).await;
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
        assert_eq!(outcomes, BTreeMap::from([("ran".to_owned(), 60)]));
        assert_eq!(totals(&cluster.targets).duplicates, 0);
    });
}
