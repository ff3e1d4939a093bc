use {
    super::{LostAnswer, StopTimes},
    std::time::{Duration, Instant},
};

/// A daemon is asked to stop at 10 s, with a drain limit of 6 s. All times are in milliseconds.
const ASKED: u64 = 10_000;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// What is wrong with a 502 to a request that was sent at `sent`, runs for `run` and was answered at
/// `answered`, if the stop was hurried at `hurried`.
fn fault(sent: u64, run: u64, answered: u64, hurried: Option<u64>) -> Option<&'static str> {
    let start = Instant::now();
    let lost = LostAnswer {
        next_at: at(start, sent),
        answered_at: at(start, answered),
        run_time: Duration::from_millis(run),
        limit: Duration::from_secs(8),
        input_ended: false,
        idempotent: true,
    };
    lost.fault(Some(StopTimes {
        asked: at(start, ASKED),
        hurried: hurried.map(|ms| at(start, ms)),
    }))
}

/// Guards against a check that takes each 502 for an answer.
#[test]
fn answers_that_a_calm_stop_does_not_owe_are_found() {
    let early = Some("before the final answers of a stop were due");
    assert_eq!(fault(9_000, 5_000, 12_000, None), early);
    assert_eq!(fault(10_500, 200, 11_000, None), early);
    let closed = Some("that came after the listeners had closed");
    assert_eq!(fault(14_300, 3_000, 15_300, None), closed);
    let enough = Some("although there was time enough in the stop");
    assert_eq!(fault(10_500, 3_000, 15_300, None), enough);
}

#[test]
fn final_answers_of_requests_that_run_on_are_allowed() {
    assert_eq!(fault(11_000, 4_900, 15_300, None), None);
    assert_eq!(fault(13_900, 1_600, 15_300, None), None);
}

#[test]
fn a_hurried_stop_owes_its_final_answers_at_once_and_only_to_open_requests() {
    assert_eq!(fault(11_900, 1_000, 12_010, Some(12_000)), None);
    let closed = Some("that came after the listeners had closed");
    assert_eq!(fault(12_300, 1_000, 13_000, Some(12_000)), closed);
    let early = Some("before the final answers of a stop were due");
    assert_eq!(fault(11_000, 1_000, 11_900, Some(12_000)), early);
}

#[test]
fn without_a_stop_only_half_closed_callers_of_idempotent_requests_may_lose_their_answer() {
    let start = Instant::now();
    let mut lost = LostAnswer {
        next_at: start,
        answered_at: at(start, 260),
        run_time: Duration::from_millis(400),
        limit: Duration::from_secs(8),
        input_ended: true,
        idempotent: true,
    };
    assert_eq!(lost.fault(None), None);
    lost.answered_at = at(start, 200);
    assert_eq!(lost.fault(None), Some("without a stop"));
    lost.answered_at = at(start, 260);
    lost.idempotent = false;
    assert_eq!(lost.fault(None), Some("without a stop"));
    lost.idempotent = true;
    lost.input_ended = false;
    assert_eq!(lost.fault(None), Some("without a stop"));
}

#[test]
fn a_request_may_lose_its_answer_at_its_own_limit_only_if_that_was_too_short() {
    let start = Instant::now();
    let mut lost = LostAnswer {
        next_at: start,
        answered_at: at(start, 2_000),
        run_time: Duration::from_millis(1_500),
        limit: Duration::from_secs(2),
        input_ended: false,
        idempotent: true,
    };
    assert_eq!(lost.fault(None), None);
    lost.answered_at = at(start, 1_800);
    assert_eq!(lost.fault(None), Some("without a stop"));
    lost.answered_at = at(start, 2_000);
    lost.run_time = Duration::from_secs(1);
    assert_eq!(lost.fault(None), Some("without a stop"));
}
