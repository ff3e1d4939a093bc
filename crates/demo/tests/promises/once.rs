//! Requests that are not idempotent: at most once, true refusals, and journals that move.

use {
    super::{LOAD_TIME, on_bed, stream},
    actix_rt::time::sleep,
    rattanturn_daemon::Daemon,
    rattanturn_demo::{
        load::{Finder, run, unix_ms},
        report::{false_not_run, totals},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

#[test]
fn not_run_is_true_and_nothing_runs_twice_under_kills_and_lost_answers() {
    on_bed(6, async |bed| {
        let broken = bed
            .targets
            .iter()
            .find(|t| t.state.config().service == "events/e");
        broken.unwrap().state.set_lose_answers(true);
        let finder = Finder::new(bed.entries(), "east");
        let running = actix_rt::spawn(run(finder, stream("renew", 60.0), LOAD_TIME * 2, 12));
        sleep(LOAD_TIME / 2).await;
        bed.kill(1);
        sleep(LOAD_TIME / 2).await;
        bed.kill(4);
        let seen = running.await.unwrap();
        let totals = totals(&bed.targets);
        assert_eq!(totals.doubled, 0, "{totals:?}");
        assert!(seen.full > 0 && seen.unknown > 0, "{seen:?}");
        let all = BTreeMap::from([("renew".to_owned(), seen)]);
        assert_eq!(false_not_run(&all, &totals), 0);
    });
}

/// Sends one non-idempotent request and returns its outcome.
async fn renew(addr: SocketAddr, id: &str, issued: u64) -> String {
    let request = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let sent = request
        .post(format!("http://{addr}/query/renew"))
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

#[test]
fn a_repeat_at_another_vm_is_answered_from_the_first() {
    on_bed(6, async |bed| {
        // The journals' tenures must lie behind the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let entries = bed.entries();
        for n in 0..20 {
            let (id, issued) = (format!("r{n}"), unix_ms());
            let both = futures::future::join(
                renew(entries[n % 6], &id, issued),
                renew(entries[(n + 1) % 6], &id, issued),
            );
            let (first, second) = both.await;
            let third = renew(entries[(n + 2) % 6], &id, issued).await;
            assert_eq!([first.as_str(), &second, &third], ["ran"; 3], "{id}");
        }
        let totals = totals(&bed.targets);
        assert!(totals.once.len() == 20 && totals.doubled == 0, "{totals:?}");
    });
}

#[test]
fn a_repeat_after_its_keeper_died_does_not_run_again() {
    on_bed(6, async |bed| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let first = bed.entries()[5];
        for n in 0..30 {
            assert_eq!(renew(first, &format!("r{n}"), issued).await, "ran");
        }
        bed.kill(0);
        bed.kill(2);
        bed.ready().await.unwrap();
        let mut outcomes = BTreeMap::new();
        for n in 0..30 {
            let outcome = renew(first, &format!("r{n}"), issued).await;
            *outcomes.entry(outcome).or_insert(0) += 1;
        }
        let totals = totals(&bed.targets);
        assert_eq!((totals.doubled, totals.once.len()), (0, 30), "{outcomes:?}");
        assert!(!outcomes.contains_key("not-run"), "they ran: {outcomes:?}");
    });
}

#[test]
fn planned_stops_cut_off_nothing() {
    on_bed(6, async |bed| {
        // The journals' first tenures must lie behind the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let finder = Finder::new(bed.entries(), "east");
        let time = Duration::from_secs(16);
        let search = actix_rt::spawn(run(finder.clone(), stream("search", 30.0), time, 13));
        let renewals = actix_rt::spawn(run(finder, stream("renew", 30.0), time, 14));
        sleep(Duration::from_secs(1)).await;
        bed.add_daemon("fresh-1").unwrap();
        bed.add_daemon("fresh-2").unwrap();
        let stops: Vec<Daemon> = [0, 3].into_iter().filter_map(|i| bed.take(i)).collect();
        let lefts = futures::future::join_all(stops.into_iter().map(Daemon::stop)).await;
        for left in lefts {
            assert_eq!(left, "0 requests and 0 units were left");
        }
        let (search, renewals) = (search.await.unwrap(), renewals.await.unwrap());
        assert_eq!(
            (search.broken, search.wrong, search.not_run),
            (0, 0, 0),
            "{search:?}"
        );
        assert_eq!(search.short, 0, "{search:?}");
        // Journals are handed over, so no outcome is lost with the VM that kept it.
        let lost = (
            renewals.broken,
            renewals.wrong,
            renewals.unknown,
            renewals.not_run,
        );
        assert_eq!(lost, (0, 0, 0, 0), "{renewals:?}");
        let totals = totals(&bed.targets);
        assert_eq!(
            (totals.doubled, totals.oversubscribed),
            (0, 0),
            "{totals:?}"
        );
    });
}

/// A repeat is answered from the first run also after the keeper's VM was replaced as planned.
#[test]
fn a_planned_stop_hands_its_journals_over() {
    on_bed(6, async |bed| {
        sleep(Duration::from_secs(2)).await;
        let issued = unix_ms();
        let entry = bed.entries()[5];
        for n in 0..30 {
            assert_eq!(renew(entry, &format!("r{n}"), issued).await, "ran");
        }
        let stops: Vec<Daemon> = [0, 2].into_iter().filter_map(|i| bed.take(i)).collect();
        futures::future::join_all(stops.into_iter().map(Daemon::stop)).await;
        bed.ready().await.unwrap();
        for n in 0..30 {
            assert_eq!(renew(entry, &format!("r{n}"), issued).await, "ran", "r{n}");
        }
        let totals = totals(&bed.targets);
        assert_eq!((totals.doubled, totals.once.len()), (0, 30), "{totals:?}");
    });
}
