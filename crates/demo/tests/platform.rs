//! Operators racing and lost answers: an edit is accepted once, or its writer learns why not.

use {
    actix_rt::System,
    rattanturn_platform::objects::{Object, ObjectClient, ReadOutcome, WriteOutcome},
    rattanturn_standins::platform::{self, Mode},
};

const KEY: &str = "tables";

fn with_platform<F>(test: F)
where
    F: AsyncFnOnce(&platform::State, &ObjectClient),
{
    System::new().block_on(async {
        let standin = platform::Platform::spawn().unwrap();
        test(&standin.state(), &ObjectClient::new(standin.addr())).await;
    });
}

#[test]
fn of_two_racing_operators_one_gets_a_conflict() {
    with_platform(async |state, client| {
        state.put(KEY, br#""first""#);
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
fn a_lost_answer_is_settled_by_reading_back() {
    with_platform(async |state, client| {
        state.put(KEY, br#""first""#);
        state.set_mode(Mode::LoseAnswers);
        assert_eq!(
            client.write_settled(KEY, 1, br#""mine""#).await,
            WriteOutcome::Done(2)
        );
        assert_eq!(
            client.write_settled(KEY, 1, br#""late""#).await,
            WriteOutcome::Conflict
        );
        assert_eq!(state.get(KEY), Some((2, br#""mine""#.into())));
    });
}

#[test]
fn an_outage_leaves_the_outcome_open_and_says_so() {
    with_platform(async |state, client| {
        state.put(KEY, br#""first""#);
        state.set_mode(Mode::Down);
        assert_eq!(
            client.write_settled(KEY, 1, br#""mine""#).await,
            WriteOutcome::Ambiguous
        );
        assert_eq!(client.read(KEY).await, ReadOutcome::Unavailable);
        state.set_mode(Mode::Up);
        assert_eq!(state.get(KEY), Some((1, br#""first""#.into())));
    });
}

#[test]
fn a_watch_ends_with_the_newer_version_or_unchanged() {
    with_platform(async |state, client| {
        let wait = std::time::Duration::from_millis(50);
        state.put(KEY, br#""first""#);
        assert_eq!(client.watch(KEY, 1, wait).await, ReadOutcome::Unchanged);
        state.put(KEY, br#""second""#);
        let newest = Object {
            version: 2,
            body: br#""second""#.into(),
        };
        assert_eq!(client.watch(KEY, 1, wait).await, ReadOutcome::Found(newest));
        assert_eq!(state.call_counts()["watch"], 2);
    });
}

#[test]
fn a_change_of_another_object_does_not_end_a_watch() {
    with_platform(async |state, client| {
        let wait = std::time::Duration::from_millis(80);
        let version = state.put(KEY, br#""mine""#);
        state.put("panels", br#""other""#);
        let begun = std::time::Instant::now();
        assert_eq!(
            client.watch(KEY, version, wait).await,
            ReadOutcome::Unchanged
        );
        assert!(begun.elapsed() >= wait, "the watch ended early");
        assert!(
            state.call_counts()["watch"] <= 3,
            "{:?}",
            state.call_counts()
        );
    });
}

#[test]
fn a_call_that_is_turned_away_has_done_nothing() {
    with_platform(async |state, client| {
        state.put(KEY, br#""first""#);
        state.set_mode(Mode::Busy);
        let write = client.write_settled(KEY, 1, br#""mine""#).await;
        assert!(matches!(write, WriteOutcome::Refused(_)), "{write:?}");
        state.set_mode(Mode::Up);
        assert_eq!(state.get(KEY), Some((1, br#""first""#.into())));
    });
}
