//! A target never gets more than it bears: its slots while warm, its allowance while cold.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        Priority, Time,
        queue::{
            CallEnd, CallId, CallRequest, Cancelled, Dispatch, Refusal, TargetLimits, TargetQueue,
            Verdict,
        },
    },
    std::{collections::BTreeSet, time::Duration},
};

const SHAPE: TargetLimits = TargetLimits {
    slots: 3,
    cold_calls: 1,
    cold_ramp: Duration::from_secs(5),
};

fn ask(id: u64, deadline_ms: u64) -> CallRequest {
    CallRequest {
        id: CallId(id),
        priority: Priority::Normal,
        deadline: Time::from_millis(deadline_ms),
    }
}

/// A queue whose target has answered once as warm.
fn warm() -> TargetQueue {
    let mut queue = TargetQueue::new(SHAPE);
    assert_eq!(queue.submit(Time::ZERO, &ask(1_000, 500)), Verdict::Start);
    queue.complete(
        Time::from_millis(5),
        CallId(1_000),
        CallEnd::Answered { cold: false },
    );
    assert_eq!(queue.limit(Time::from_millis(5)), SHAPE.slots);
    queue
}

#[test]
fn a_fall_back_into_cold_start_is_seen_from_one_answer() {
    let mut queue = warm();
    let now = Time::from_millis(10);
    for id in 0..3 {
        assert_eq!(queue.submit(now, &ask(id, 5_000)), Verdict::Start);
    }
    assert_eq!(queue.submit(now, &ask(3, 5_000)), Verdict::Queued);
    let moves = queue.complete(
        Time::from_millis(20),
        CallId(0),
        CallEnd::Answered { cold: true },
    );
    assert_eq!(
        moves,
        Dispatch::default(),
        "two calls still run, one is borne"
    );
    queue.complete(
        Time::from_millis(21),
        CallId(1),
        CallEnd::Shed { cold: true },
    );
    let moves = queue.complete(
        Time::from_millis(22),
        CallId(2),
        CallEnd::Answered { cold: true },
    );
    assert_eq!(moves.start, [CallId(3)]);
}

#[test]
fn a_fall_back_is_seen_from_slow_answers_without_any_mark() {
    let mut queue = warm();
    let mut now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &ask(id, 60_000));
        now = now + Duration::from_millis(400);
        queue.complete(now, CallId(id), CallEnd::Answered { cold: false });
    }
    assert_eq!(queue.limit(now), SHAPE.cold_calls);
}

#[test]
fn a_target_warms_up_by_a_ramp() {
    let mut queue = warm();
    queue.submit(Time::from_millis(10), &ask(0, 500));
    queue.complete(
        Time::from_millis(15),
        CallId(0),
        CallEnd::Answered { cold: true },
    );
    queue.submit(Time::from_millis(20), &ask(1, 500));
    queue.complete(
        Time::from_millis(25),
        CallId(1),
        CallEnd::Answered { cold: false },
    );
    let limits: Vec<u32> = [0, 2_400, 2_600, 4_900, 5_000]
        .map(|ms| queue.limit(Time::from_millis(25 + ms)))
        .into();
    assert_eq!(limits, [1, 1, 2, 2, 3]);
}

#[test]
fn a_leaving_target_gets_no_new_call() {
    let mut queue = warm();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &ask(id, 5_000));
    }
    queue.submit(now, &ask(3, 5_000));
    let moves = queue.complete(now, CallId(0), CallEnd::Leaving);
    assert_eq!(moves.refuse, [(CallId(3), Refusal::Draining)]);
    assert_eq!(
        queue.submit(now, &ask(4, 5_000)),
        Verdict::Refused(Refusal::Draining)
    );
}

#[test]
fn an_unreachable_target_is_tried_with_one_call_after_a_pause() {
    let mut queue = warm();
    let now = Time::from_millis(10);
    queue.submit(now, &ask(0, 5_000));
    queue.complete(now, CallId(0), CallEnd::Unreachable);
    assert_eq!(
        queue.submit(now, &ask(1, 5_000)),
        Verdict::Refused(Refusal::Down)
    );
    let later = Time::from_millis(100);
    assert_eq!(queue.submit(later, &ask(2, 5_000)), Verdict::Start);
    assert_eq!(queue.submit(later, &ask(3, 5_000)), Verdict::Queued);
}

#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut queue = warm();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &ask(id, 5_000));
    }
    assert_eq!(
        queue.submit(now, &ask(3, 12)),
        Verdict::Refused(Refusal::Busy)
    );
}

#[test]
fn low_priority_waits_but_is_not_starved() {
    let mut queue = warm();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &ask(id, 60_000));
    }
    let low = CallRequest {
        priority: Priority::Low,
        ..ask(99, 60_000)
    };
    assert_eq!(queue.submit(now, &low), Verdict::Queued);
    let mut running: Vec<CallId> = (0..3).map(CallId).collect();
    for id in 100..130 {
        let high = CallRequest {
            priority: Priority::High,
            ..ask(id, 60_000)
        };
        assert_eq!(queue.submit(now, &high), Verdict::Queued);
        let ended = running.remove(0);
        let moves = queue.complete(now, ended, CallEnd::Answered { cold: false });
        running.extend(&moves.start);
        if moves.start.contains(&CallId(99)) {
            return;
        }
    }
    panic!("the low call never started");
}

#[derive(Clone, Debug)]
enum Op {
    Ask { priority: usize, deadline: u64 },
    End { pick: usize, end: usize },
    Cancel { id: u64 },
    Wait { ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..3_usize, 1..400_u64).prop_map(|(priority, deadline)| Op::Ask { priority, deadline }),
        4 => (any::<usize>(), 0..7_usize).prop_map(|(pick, end)| Op::End { pick, end }),
        1 => (0..200_u64).prop_map(|id| Op::Cancel { id }),
        1 => (1..1_500_u64).prop_map(|ms| Op::Wait { ms }),
    ]
}

const ENDS: [CallEnd; 7] = [
    CallEnd::Answered { cold: false },
    CallEnd::Answered { cold: true },
    CallEnd::Shed { cold: false },
    CallEnd::Shed { cold: true },
    CallEnd::Leaving,
    CallEnd::Unreachable,
    CallEnd::Cancelled,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Calls start only within the limit; each call is started, refused or dequeued once.
    #[test]
    fn calls_start_within_the_limit_and_end_once(ops in proptest::collection::vec(op(), 1..150)) {
        let mut queue = TargetQueue::new(SHAPE);
        let mut now = Time::from_millis(1);
        let mut running: Vec<CallId> = Vec::new();
        let mut waiting: BTreeSet<CallId> = BTreeSet::new();
        let mut next = 0;
        for op in ops {
            let before = running.len();
            let mut moves = Dispatch::default();
            match op {
                Op::Ask { priority, deadline } => {
                    let id = CallId(next);
                    next += 1;
                    let ask = CallRequest {
                        id,
                        priority: Priority::ALL[priority],
                        deadline: now + Duration::from_millis(deadline),
                    };
                    match queue.submit(now, &ask) {
                        Verdict::Start => moves.start.push(id),
                        Verdict::Queued => drop(waiting.insert(id)),
                        Verdict::Refused(_) => {}
                    }
                }
                Op::End { pick, end } if !running.is_empty() => {
                    let id = running.swap_remove(pick % running.len());
                    moves = queue.complete(now, id, ENDS[end]);
                }
                Op::End { .. } => {}
                Op::Cancel { id } => {
                    let known = waiting.remove(&CallId(id));
                    prop_assert_eq!(queue.cancel(CallId(id)) == Cancelled::Dequeued, known);
                }
                Op::Wait { ms } => {
                    now = now + Duration::from_millis(ms);
                    moves = queue.advance(now);
                }
            }
            for (id, _) in &moves.refuse {
                prop_assert!(waiting.remove(id), "refused a call that did not wait");
            }
            for id in &moves.start {
                prop_assert!(waiting.remove(id) || id.0 + 1 == next, "started a call twice");
                running.push(*id);
            }
            let limit = queue.limit(now) as usize;
            prop_assert!(running.len() <= limit.max(before), "{} run, limit {limit}", running.len());
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
        }
    }
}
