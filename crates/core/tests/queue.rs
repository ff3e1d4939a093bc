//! A target never runs more calls than its limit: its slots while warm, its allowance while cold.

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

const LIMITS: TargetLimits = TargetLimits {
    slots: 3,
    cold_calls: 1,
    cold_ramp: Duration::from_secs(5),
};

fn call(id: u64, deadline_ms: u64) -> CallRequest {
    CallRequest {
        id: CallId(id),
        priority: Priority::Normal,
        deadline: Time::from_millis(deadline_ms),
    }
}

/// A queue whose target has answered as warm once, so that its limit is all slots.
fn warm_queue() -> TargetQueue {
    let mut queue = TargetQueue::new(LIMITS);
    assert_eq!(queue.submit(Time::ZERO, &call(1_000, 500)), Verdict::Start);
    queue.complete(
        Time::from_millis(5),
        CallId(1_000),
        CallEnd::Answered { cold: false },
    );
    assert_eq!(queue.limit(Time::from_millis(5)), LIMITS.slots);
    queue
}

#[test]
fn one_answer_marked_cold_lowers_the_limit() {
    let mut queue = warm_queue();
    let now = Time::from_millis(10);
    for id in 0..3 {
        assert_eq!(queue.submit(now, &call(id, 5_000)), Verdict::Start);
    }
    assert_eq!(queue.submit(now, &call(3, 5_000)), Verdict::Queued);
    let dispatch = queue.complete(
        Time::from_millis(20),
        CallId(0),
        CallEnd::Answered { cold: true },
    );
    assert_eq!(
        dispatch,
        Dispatch::default(),
        "two calls still run and the limit is one"
    );
    queue.complete(
        Time::from_millis(21),
        CallId(1),
        CallEnd::Shed { cold: true },
    );
    let dispatch = queue.complete(
        Time::from_millis(22),
        CallId(2),
        CallEnd::Answered { cold: true },
    );
    assert_eq!(dispatch.start, [CallId(3)]);
}

#[test]
fn three_slow_answers_in_a_row_lower_the_limit() {
    let mut queue = warm_queue();
    let mut now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &call(id, 60_000));
        now = now + Duration::from_millis(400);
        queue.complete(now, CallId(id), CallEnd::Answered { cold: false });
    }
    assert_eq!(queue.limit(now), LIMITS.cold_calls);
}

#[test]
fn the_limit_rises_linearly_after_a_cold_phase() {
    let mut queue = warm_queue();
    queue.submit(Time::from_millis(10), &call(0, 500));
    queue.complete(
        Time::from_millis(15),
        CallId(0),
        CallEnd::Answered { cold: true },
    );
    queue.submit(Time::from_millis(20), &call(1, 500));
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
fn a_target_that_is_shutting_down_gets_no_new_calls() {
    let mut queue = warm_queue();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &call(id, 5_000));
    }
    queue.submit(now, &call(3, 5_000));
    let dispatch = queue.complete(now, CallId(0), CallEnd::Leaving);
    assert_eq!(dispatch.refuse, [(CallId(3), Refusal::Draining)]);
    assert_eq!(
        queue.submit(now, &call(4, 5_000)),
        Verdict::Refused(Refusal::Draining)
    );
}

#[test]
fn an_unreachable_target_gets_one_call_after_the_backoff() {
    let mut queue = warm_queue();
    let now = Time::from_millis(10);
    queue.submit(now, &call(0, 5_000));
    queue.complete(now, CallId(0), CallEnd::Unreachable);
    assert_eq!(
        queue.submit(now, &call(1, 5_000)),
        Verdict::Refused(Refusal::Down)
    );
    let later = Time::from_millis(100);
    assert_eq!(queue.submit(later, &call(2, 5_000)), Verdict::Start);
    assert_eq!(queue.submit(later, &call(3, 5_000)), Verdict::Queued);
}

#[test]
fn a_call_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut queue = warm_queue();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &call(id, 5_000));
    }
    assert_eq!(
        queue.submit(now, &call(3, 12)),
        Verdict::Refused(Refusal::Busy)
    );
}

#[test]
fn a_low_priority_call_starts_despite_a_stream_of_high_priority_calls() {
    let mut queue = warm_queue();
    let now = Time::from_millis(10);
    for id in 0..3 {
        queue.submit(now, &call(id, 60_000));
    }
    let low = CallRequest {
        priority: Priority::Low,
        ..call(99, 60_000)
    };
    assert_eq!(queue.submit(now, &low), Verdict::Queued);
    let mut running: Vec<CallId> = (0..3).map(CallId).collect();
    for id in 100..130 {
        let high = CallRequest {
            priority: Priority::High,
            ..call(id, 60_000)
        };
        assert_eq!(queue.submit(now, &high), Verdict::Queued);
        let ended = running.remove(0);
        let dispatch = queue.complete(now, ended, CallEnd::Answered { cold: false });
        running.extend(&dispatch.start);
        if dispatch.start.contains(&CallId(99)) {
            return;
        }
    }
    panic!("the low-priority call never started");
}

#[derive(Clone, Debug)]
enum Op {
    Submit { priority: usize, deadline: u64 },
    Complete { pick: usize, end: usize },
    Cancel { id: u64 },
    Advance { ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..3_usize, 1..400_u64)
            .prop_map(|(priority, deadline)| Op::Submit { priority, deadline }),
        4 => (any::<usize>(), 0..7_usize).prop_map(|(pick, end)| Op::Complete { pick, end }),
        1 => (0..200_u64).prop_map(|id| Op::Cancel { id }),
        1 => (1..1_500_u64).prop_map(|ms| Op::Advance { ms }),
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

    /// Whatever the order of events, calls start only within the limit, and no call is started,
    /// refused or dequeued twice.
    #[test]
    fn calls_start_within_the_limit_and_leave_the_queue_once(
        ops in proptest::collection::vec(op(), 1..150),
    ) {
        let mut queue = TargetQueue::new(LIMITS);
        let mut now = Time::from_millis(1);
        let mut running: Vec<CallId> = Vec::new();
        let mut waiting: BTreeSet<CallId> = BTreeSet::new();
        let mut next = 0;
        for op in ops {
            let before = running.len();
            let mut dispatch = Dispatch::default();
            match op {
                Op::Submit { priority, deadline } => {
                    let id = CallId(next);
                    next += 1;
                    let call = CallRequest {
                        id,
                        priority: Priority::ALL[priority],
                        deadline: now + Duration::from_millis(deadline),
                    };
                    match queue.submit(now, &call) {
                        Verdict::Start => dispatch.start.push(id),
                        Verdict::Queued => drop(waiting.insert(id)),
                        Verdict::Refused(_) => {}
                    }
                }
                Op::Complete { pick, end } if !running.is_empty() => {
                    let id = running.swap_remove(pick % running.len());
                    dispatch = queue.complete(now, id, ENDS[end]);
                }
                Op::Complete { .. } => {}
                Op::Cancel { id } => {
                    let was_waiting = waiting.remove(&CallId(id));
                    prop_assert_eq!(queue.cancel(CallId(id)) == Cancelled::Dequeued, was_waiting);
                }
                Op::Advance { ms } => {
                    now = now + Duration::from_millis(ms);
                    dispatch = queue.advance(now);
                }
            }
            for (id, _) in &dispatch.refuse {
                prop_assert!(waiting.remove(id), "refused a call that did not wait");
            }
            for id in &dispatch.start {
                prop_assert!(waiting.remove(id) || id.0 + 1 == next, "started a call twice");
                running.push(*id);
            }
            let limit = queue.limit(now) as usize;
            prop_assert!(
                running.len() <= limit.max(before),
                "{} calls run, the limit is {limit}",
                running.len()
            );
            prop_assert_eq!(queue.running(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
        }
    }
}
