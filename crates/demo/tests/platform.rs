//! Conditional writes, reads and watches of the object client against the simulated store, with
//! concurrent operators, lost answers and outages: a writer learns whether its write was applied,
//! or that this is unknown.

use {
    actix_rt::System,
    rattanturn_platform::objects::{Object, ObjectClient, ReadOutcome, WriteOutcome},
    rattanturn_standins::platform::{self, Mode},
};

const KEY: &str = "tables";

/// Runs `test` with a new store and a client of it.
fn with_store<F>(test: F)
where
    F: AsyncFnOnce(&platform::State, &ObjectClient),
{
    System::new().block_on(async {
        let store = platform::Platform::spawn().unwrap();
        test(&store.state(), &ObjectClient::new(store.addr())).await;
    });
}

#[test]
fn second_of_two_writes_at_the_same_version_gets_a_conflict() {
    with_store(async |store, client| {
        store.put(KEY, br#""first""#);
        assert_eq!(
            client.write_settled(KEY, 1, br#""mine""#).await,
            WriteOutcome::Done(2)
        );
        assert_eq!(
            client.write_settled(KEY, 1, br#""yours""#).await,
            WriteOutcome::Conflict
        );
        let newest = Object {
            version: 2,
            body: br#""mine""#.into(),
        };
        assert_eq!(client.read(KEY).await, ReadOutcome::Found(newest));
    });
}

#[test]
fn write_without_an_answer_is_resolved_by_reading_back() {
    with_store(async |store, client| {
        store.put(KEY, br#""first""#);
        store.set_mode(Mode::LoseAnswers);
        assert_eq!(
            client.write_settled(KEY, 1, br#""mine""#).await,
            WriteOutcome::Done(2)
        );
        assert_eq!(
            client.write_settled(KEY, 1, br#""late""#).await,
            WriteOutcome::Conflict
        );
        assert_eq!(store.get(KEY), Some((2, br#""mine""#.into())));
    });
}

#[test]
fn write_during_an_outage_is_reported_as_ambiguous() {
    with_store(async |store, client| {
        store.put(KEY, br#""first""#);
        store.set_mode(Mode::Down);
        assert_eq!(
            client.write_settled(KEY, 1, br#""mine""#).await,
            WriteOutcome::Ambiguous
        );
        assert_eq!(client.read(KEY).await, ReadOutcome::Unavailable);
        store.set_mode(Mode::Up);
        assert_eq!(store.get(KEY), Some((1, br#""first""#.into())));
    });
}

#[test]
fn watch_returns_a_newer_version_or_times_out_unchanged() {
    with_store(async |store, client| {
        let wait = std::time::Duration::from_millis(50);
        store.put(KEY, br#""first""#);
        assert_eq!(client.watch(KEY, 1, wait).await, ReadOutcome::Unchanged);
        store.put(KEY, br#""second""#);
        let newest = Object {
            version: 2,
            body: br#""second""#.into(),
        };
        assert_eq!(client.watch(KEY, 1, wait).await, ReadOutcome::Found(newest));
        assert_eq!(store.call_counts()["watch"], 2);
    });
}

#[test]
fn change_of_another_object_does_not_end_a_watch() {
    with_store(async |store, client| {
        let wait = std::time::Duration::from_millis(80);
        let version = store.put(KEY, br#""mine""#);
        store.put("panels", br#""other""#);
        let start = std::time::Instant::now();
        assert_eq!(
            client.watch(KEY, version, wait).await,
            ReadOutcome::Unchanged
        );
        assert!(
            start.elapsed() >= wait,
            "the watch ended before its timeout"
        );
        // The change of the other object ends one watch request; the client must continue after
        // that change instead of repeating the request until the timeout.
        assert!(
            store.call_counts()["watch"] <= 3,
            "{:?}",
            store.call_counts()
        );
    });
}

/// Guards against watchers that call the store without a pause once it has discarded old changes.
#[test]
fn a_watch_whose_history_is_gone_waits_for_a_newer_version() {
    with_store(async |store, client| {
        let wait = std::time::Duration::from_millis(80);
        let version = store.put(KEY, br#""mine""#);
        store.put("panels", br#""other""#);
        store.compact();
        let start = std::time::Instant::now();
        let watched = client.watch(KEY, version, wait).await;
        assert_eq!(watched, ReadOutcome::Unchanged);
        assert!(start.elapsed() >= wait, "the watch did not wait");
        let version = store.put(KEY, br#""newer""#);
        store.compact();
        let newest = Object {
            version,
            body: br#""newer""#.into(),
        };
        let watched = client.watch(KEY, version - 1, wait).await;
        assert_eq!(watched, ReadOutcome::Found(newest.clone()));
        assert_eq!(client.watch(KEY, 1, wait).await, ReadOutcome::Found(newest));
    });
}

#[test]
fn write_refused_by_a_busy_store_is_not_applied() {
    with_store(async |store, client| {
        store.put(KEY, br#""first""#);
        store.set_mode(Mode::Busy);
        let write = client.write_settled(KEY, 1, br#""mine""#).await;
        assert!(matches!(write, WriteOutcome::Refused(_)), "{write:?}");
        store.set_mode(Mode::Up);
        assert_eq!(store.get(KEY), Some((1, br#""first""#.into())));
    });
}
