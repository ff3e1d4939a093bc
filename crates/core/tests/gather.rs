//! Scatter-gather queries: replays of the traces in `traces/`, random sequences of events, and the
//! budget for extra calls.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        Time,
        gather::{
            Action, AttemptId, Budgets, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan, Reply,
            max_ended, trace,
        },
    },
    std::{collections::BTreeMap, fs, path::Path, time::Duration},
};

#[test]
fn every_trace_meets_its_expect_lines() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        if let Err(error) = trace::replay(&text) {
            panic!("{}:{error}", path.file_name().unwrap().display());
        }
        count += 1;
    }
    assert!(count >= 6, "only {count} traces were found");
}

#[derive(Clone, Debug)]
enum Event {
    Reply {
        attempt: u32,
        kind: usize,
        snapshot: u64,
    },
    Wait {
        us: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => (0..24_u32, 0..7_usize, 7..9_u64)
            .prop_map(|(attempt, kind, snapshot)| Event::Reply { attempt, kind, snapshot }),
        1 => (1..30_000_u64).prop_map(|us| Event::Wait { us }),
    ]
}

fn reply(kind: usize, attempt: u32, snapshot: u64) -> Reply {
    match kind {
        0 | 1 => Reply::Done {
            snapshot,
            body: format!("{attempt}@{snapshot}").into(),
        },
        2 => Reply::WrongSnapshot,
        3 => Reply::NotRun(MissingReason::Busy),
        4 => Reply::Ended,
        5 => Reply::Unsent(MissingReason::NoHolder),
        _ => Reply::Failed,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any order of answers and ticks, also with answers that are late, duplicate or for
    /// unknown attempts: all parts come from one snapshot, each part comes from a call for its own
    /// service, no action follows the end, and the query ends by its deadline.
    #[test]
    fn any_order_of_events_gives_one_snapshot_and_the_right_parts(
        events in proptest::collection::vec(event(), 1..100),
        pinned in any::<bool>(),
    ) {
        let deadline = Time::from_millis(200);
        let plan = Plan {
            services: vec![vec![0, 1], vec![2, 3], vec![4], vec![]],
            hedge_delays: vec![Duration::from_millis(5); 4],
            deadline,
            snapshot: if pinned { 7 } else { 0 },
            hedging: true,
            idempotent: true,
            max_attempts: MAX_ATTEMPTS,
            max_ended: max_ended(4),
            cutoff: None,
            budgets: Vec::new(),
        };
        let mut budgets = Budgets::default();
        let mut now = Time::from_micros(1);
        let (mut gather, first) = Gather::start(now, plan, &mut budgets);
        let mut service_of: BTreeMap<u32, usize> = BTreeMap::new();
        let mut finished = record_actions(&first, &mut service_of, false);
        for event in events {
            let actions = match event {
                Event::Reply { attempt, kind, snapshot } => {
                    let reply = reply(kind, attempt, snapshot);
                    gather.reply(now, AttemptId(attempt), reply, snapshot, &mut budgets)
                }
                Event::Wait { us } => {
                    now = now + Duration::from_micros(us);
                    gather.tick(now, &mut budgets)
                }
            };
            prop_assert!(!finished || actions.is_empty(), "the query acted after its end");
            finished = record_actions(&actions, &mut service_of, finished);
        }
        let last = gather.tick(deadline, &mut budgets);
        prop_assert_eq!(finished, last.is_empty());
        let (covered, snapshot) = (gather.covered(), gather.snapshot());
        let parts = gather.into_parts();
        prop_assert_eq!(parts.len(), 4);
        prop_assert_eq!(&parts[3], &Part::Missing(MissingReason::Evacuated));
        let bodies = parts.iter().enumerate().filter_map(|(i, p)| match p {
            Part::Covered(body) => Some((i, String::from_utf8(body.clone()).unwrap())),
            Part::Missing(_) => None,
        });
        let bodies: Vec<(usize, String)> = bodies.collect();
        prop_assert_eq!(bodies.len(), covered);
        for (service, body) in bodies {
            let (attempt, version) = body.split_once('@').unwrap();
            prop_assert_eq!(version.parse::<u64>().unwrap(), snapshot, "part of another snapshot");
            prop_assert_eq!(service_of[&attempt.parse::<u32>().unwrap()], service);
        }
    }
}

/// Records the service of each attempt; returns whether the query has ended.
fn record_actions(
    actions: &[Action],
    service_of: &mut BTreeMap<u32, usize>,
    finished: bool,
) -> bool {
    let mut finished = finished;
    for action in actions {
        match action {
            Action::Call {
                attempt, service, ..
            } => {
                assert!(
                    service_of.insert(attempt.0, *service).is_none(),
                    "an attempt number was used twice"
                );
            }
            Action::Cancel(_) => {}
            Action::Finish => finished = true,
        }
    }
    finished
}

/// Guards against load that multiplies when all targets are slow and busy: every call passes its
/// hedge delay and is then refused, so that every service wants a hedge and retries.
#[test]
fn extra_calls_stay_within_the_budget_when_all_targets_are_slow_and_busy() {
    let mut budgets = Budgets::default();
    let (mut first, mut extra) = (0, 0);
    for round in 0..500_u64 {
        let start = Time::from_millis(round * 300);
        let plan = Plan {
            services: vec![vec![0, 1]; 20],
            hedge_delays: vec![Duration::from_millis(5); 20],
            deadline: start + Duration::from_millis(200),
            snapshot: 7,
            hedging: true,
            idempotent: true,
            max_attempts: MAX_ATTEMPTS,
            max_ended: max_ended(20),
            cutoff: None,
            budgets: Vec::new(),
        };
        let (mut gather, _) = Gather::start(start, plan, &mut budgets);
        gather.tick(start + Duration::from_millis(5), &mut budgets);
        for attempt in 0..20 {
            let now = start + Duration::from_millis(6);
            gather.reply(
                now,
                AttemptId(attempt),
                Reply::NotRun(MissingReason::Busy),
                7,
                &mut budgets,
            );
        }
        gather.tick(start + Duration::from_millis(200), &mut budgets);
        let counts = gather.counts();
        first += counts.first;
        extra += counts.hedges + counts.retries;
    }
    // Both budgets start full, so their bursts are added once to the ratio.
    let bound = f64::from(first) * 0.10 + 20.0;
    assert!(
        f64::from(extra) <= bound,
        "{extra} extra calls for {first} first calls, more than {bound}"
    );
}

/// Guards against a service that is left out although another target has time for it: a call that was not
/// sent cost no target anything.
#[test]
fn a_call_that_was_not_sent_for_lack_of_time_costs_no_budget() {
    let mut budgets = Budgets::default();
    budgets.pair(0).hedge.set_tokens(0.0);
    budgets.pair(0).retry.set_tokens(0.0);
    let mut gather = start_query(1, &mut budgets);
    let late = Reply::NotRun(MissingReason::Deadline);
    let now = Time::from_millis(5);
    let actions = gather.reply(now, AttemptId(0), late, 7, &mut budgets);
    assert_eq!(calls(&actions), 1);
}

/// Guards against a request that is refused because its targets went out of use while it waited.
#[test]
fn calls_that_were_withdrawn_before_they_were_sent_use_up_no_attempt() {
    let mut budgets = Budgets::default();
    let mut gather = start_single_attempt(&mut budgets);
    let withdrawn = Reply::NotRun(MissingReason::Withdrawn);
    let now = Time::from_millis(5);
    let actions = gather.reply(now, AttemptId(0), withdrawn.clone(), 7, &mut budgets);
    assert_eq!(calls(&actions), 1);
    assert_eq!(
        gather.reply(now, AttemptId(1), withdrawn, 7, &mut budgets),
        []
    );
    let actions = gather.tick(gather.next_tick(), &mut budgets);
    assert_eq!(
        calls(&actions),
        1,
        "the first target may serve as a last resort"
    );
    let busy = Reply::NotRun(MissingReason::Busy);
    let actions = gather.reply(now, AttemptId(2), busy, 7, &mut budgets);
    assert_eq!(actions, [Action::Finish]);
}

/// Guards against a request that is sent to one target after the other without end.
#[test]
fn query_whose_calls_are_always_withdrawn_ends() {
    let mut budgets = Budgets::default();
    let mut gather = start_single_attempt(&mut budgets);
    let mut made = 1;
    let mut now = Time::from_millis(5);
    for attempt in 0..10 {
        let reply = Reply::NotRun(MissingReason::Withdrawn);
        let mut actions = gather.reply(now, AttemptId(attempt), reply, 7, &mut budgets);
        if actions.is_empty() {
            now = gather.next_tick();
            actions = gather.tick(now, &mut budgets);
        }
        made += calls(&actions);
        if actions.contains(&Action::Finish) {
            break;
        }
    }
    assert_eq!(
        made, 3,
        "one for each of two targets, and the one that counts"
    );
    assert!(now < Time::from_millis(100), "it waited for its deadline");
}

/// Guards against a second request to a target that the order names once, such as one of a new version.
#[test]
fn withdrawn_calls_do_not_lead_back_to_a_target_that_is_named_once() {
    let plan = Plan {
        services: vec![vec![7, 1, 1, 1]],
        hedge_delays: vec![Duration::ZERO],
        deadline: Time::from_millis(500),
        snapshot: 7,
        hedging: false,
        idempotent: true,
        max_attempts: 2,
        max_ended: max_ended(1),
        cutoff: None,
        budgets: Vec::new(),
    };
    let mut budgets = Budgets::default();
    let (mut gather, _) = Gather::start(Time::from_millis(1), plan, &mut budgets);
    let mut targets = Vec::new();
    let mut reply = Reply::Failed;
    for attempt in 0..10 {
        let now = Time::from_millis(5 + 50 * u64::from(attempt));
        let mut actions = gather.reply(now, AttemptId(attempt), reply, 7, &mut budgets);
        if actions.is_empty() {
            actions = gather.tick(gather.next_tick(), &mut budgets);
        }
        if actions.contains(&Action::Finish) {
            break;
        }
        targets.extend(actions.iter().filter_map(|a| match a {
            Action::Call { target, .. } => Some(*target),
            _ => None,
        }));
        reply = Reply::NotRun(MissingReason::Withdrawn);
    }
    assert_eq!(targets, [1, 1, 1]);
}

/// Guards against a query that ends before it has tried the only target that serves, against one that
/// more targets run than the limit allows, and against one that goes on once all targets were tried.
#[test]
fn calls_that_were_not_sent_lead_to_untried_targets_alone() {
    let ended_after = |failures: u32| {
        let mut budgets = Budgets::default();
        budgets.pair(0).retry.set_tokens(8.0);
        let mut gather = start_over_eight(&mut budgets);
        (0..20).find(|attempt| {
            let reply = if *attempt < failures {
                Reply::Failed
            } else {
                Reply::Unsent(MissingReason::NoHolder)
            };
            let now = Time::from_millis(5);
            let actions = gather.reply(now, AttemptId(*attempt), reply, 7, &mut budgets);
            actions == [Action::Finish]
        })
    };
    assert_eq!([0, 1, 2].map(ended_after), [Some(7), Some(7), Some(1)]);
}

/// Starts a query over one service of eight targets that may call two of them.
fn start_over_eight(budgets: &mut Budgets) -> Gather {
    let plan = Plan {
        services: vec![(0..8).collect()],
        hedge_delays: vec![Duration::ZERO],
        deadline: Time::from_millis(500),
        snapshot: 7,
        hedging: false,
        idempotent: true,
        max_attempts: 2,
        max_ended: max_ended(1),
        cutoff: None,
        budgets: Vec::new(),
    };
    let (gather, actions) = Gather::start(Time::from_millis(1), plan, budgets);
    assert_eq!(calls(&actions), 1);
    gather
}

/// Starts a query over one service of two targets that may call one of them.
fn start_single_attempt(budgets: &mut Budgets) -> Gather {
    let plan = Plan {
        services: vec![vec![0, 1]],
        hedge_delays: vec![Duration::ZERO],
        deadline: Time::from_millis(500),
        snapshot: 7,
        hedging: false,
        idempotent: false,
        max_attempts: 1,
        max_ended: max_ended(1),
        cutoff: None,
        budgets: Vec::new(),
    };
    let (gather, actions) = Gather::start(Time::from_millis(1), plan, budgets);
    assert_eq!(calls(&actions), 1);
    gather
}

/// Starts a query over `services` services of two targets each, with a retry for each of them.
fn start_query(services: usize, budgets: &mut Budgets) -> Gather {
    let plan = Plan {
        services: vec![vec![0, 1]; services],
        hedge_delays: vec![Duration::from_millis(20); services],
        deadline: Time::from_millis(500),
        snapshot: 7,
        hedging: true,
        idempotent: true,
        max_attempts: MAX_ATTEMPTS,
        max_ended: max_ended(services),
        cutoff: None,
        budgets: Vec::new(),
    };
    let (gather, actions) = Gather::start(Time::from_millis(1), plan, budgets);
    assert_eq!(actions.len(), services);
    gather
}

/// Number of calls that actions ask for.
fn calls(actions: &[Action]) -> usize {
    let calls = actions.iter().filter(|a| matches!(a, Action::Call { .. }));
    calls.count()
}

#[test]
fn query_that_ends_all_its_targets_reaches_one_target_of_each_service_and_ends_with_its_last_call()
{
    let mut budgets = Budgets::default();
    let mut gather = start_query(20, &mut budgets);
    let mut finished_at = None;
    for attempt in 0..20 {
        // Later than the hedge delay of 20 ms.
        let now = Time::from_millis(30 + u64::from(attempt) * 2);
        let mut actions = gather.tick(now, &mut budgets);
        actions.extend(gather.reply(now, AttemptId(attempt), Reply::Ended, 7, &mut budgets));
        assert_eq!(calls(&actions), 0, "{actions:?}");
        if actions.contains(&Action::Finish) {
            finished_at = Some(now);
        }
    }
    assert_eq!(finished_at, Some(Time::from_millis(68)));
}

#[test]
fn services_whose_targets_ended_are_called_again_when_another_one_answers() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(4, &mut budgets);
    let now = Time::from_millis(10);
    for attempt in 0..3 {
        let actions = gather.reply(now, AttemptId(attempt), Reply::Ended, 7, &mut budgets);
        assert_eq!(calls(&actions), 0);
    }
    let done = Reply::Done {
        snapshot: 7,
        body: b"x".to_vec(),
    };
    let actions = gather.reply(now, AttemptId(3), done, 7, &mut budgets);
    assert_eq!(calls(&actions), 3, "{actions:?}");
}

#[test]
fn services_that_refused_are_called_again_although_a_target_ended() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(4, &mut budgets);
    let now = Time::from_millis(10);
    gather.reply(now, AttemptId(0), Reply::Ended, 7, &mut budgets);
    let busy = Reply::NotRun(MissingReason::Busy);
    let actions = gather.reply(now, AttemptId(1), busy, 7, &mut budgets);
    assert_eq!(calls(&actions), 1, "{actions:?}");
}

#[test]
fn slow_services_are_hedged_once_another_one_has_answered() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(4, &mut budgets);
    let late = Time::from_millis(30);
    assert_eq!(
        calls(&gather.tick(late, &mut budgets)),
        0,
        "all are slow alike"
    );
    let done = Reply::Done {
        snapshot: 7,
        body: b"x".to_vec(),
    };
    let mut actions = gather.reply(late, AttemptId(0), done, 7, &mut budgets);
    assert!(gather.next_tick() <= late);
    actions.extend(gather.tick(late, &mut budgets));
    assert_eq!(calls(&actions), 3, "{actions:?}");
}

#[test]
fn request_to_one_service_is_retried_once_after_its_target_ended() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(1, &mut budgets);
    let now = Time::from_millis(10);
    let first = gather.reply(now, AttemptId(0), Reply::Ended, 7, &mut budgets);
    assert_eq!(calls(&first), 1);
    let second = gather.reply(now, AttemptId(1), Reply::Ended, 7, &mut budgets);
    assert_eq!(second, [Action::Finish]);
}

/// Guards against calls for a caller that may have left: neither hedges nor retries, also no scheduled
/// ones, and the query does not wait for them.
#[test]
fn query_that_must_make_no_more_calls_ends_with_its_open_ones() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(3, &mut budgets);
    let now = Time::from_millis(10);
    let busy = || Reply::NotRun(MissingReason::Busy);
    // The first service waits for its next retry, the second one is open.
    gather.reply(now, AttemptId(0), busy(), 7, &mut budgets);
    gather.reply(now, AttemptId(3), busy(), 7, &mut budgets);
    let done = Reply::Done {
        snapshot: 7,
        body: b"x".to_vec(),
    };
    gather.reply(now, AttemptId(2), done, 7, &mut budgets);
    assert_eq!(calls(&gather.stop_calls()), 0);
    let late = Time::from_millis(100);
    assert_eq!(gather.tick(late, &mut budgets), []);
    let last = gather.reply(late, AttemptId(1), Reply::Failed, 7, &mut budgets);
    assert_eq!(last, [Action::Finish]);
    assert_eq!(gather.covered(), 1);
}

#[test]
fn query_whose_deadline_is_shortened_ends_with_the_parts_that_are_there() {
    let mut budgets = Budgets::default();
    let mut gather = start_query(2, &mut budgets);
    let now = Time::from_millis(10);
    let done = Reply::Done {
        snapshot: 7,
        body: b"x".to_vec(),
    };
    gather.reply(now, AttemptId(0), done, 7, &mut budgets);
    gather.shorten_deadline(Time::from_millis(600));
    assert!(
        gather.next_tick() <= Time::from_millis(500),
        "a later deadline counted"
    );
    gather.shorten_deadline(now);
    assert_eq!(gather.next_tick(), now);
    let actions = gather.tick(now, &mut budgets);
    assert_eq!(actions.last(), Some(&Action::Finish));
    let parts = gather.into_parts();
    assert_eq!(parts[0], Part::Covered(b"x".to_vec()));
    assert_eq!(parts[1], Part::Missing(MissingReason::Deadline));
}

/// Guards against a call that goes back to a target which it has left, or uses up the limit by leaving one.
#[test]
fn call_that_is_taken_back_leaves_each_target_once_and_keeps_its_attempt() {
    let mut budgets = Budgets::default();
    let mut gather = start_single_attempt(&mut budgets);
    let now = Time::from_millis(5);
    let taken_back = Reply::NotRun(MissingReason::Withdrawn);
    assert_eq!(gather.untried_target(0), Some(1));
    let actions = gather.reply(now, AttemptId(0), taken_back, 7, &mut budgets);
    assert!(matches!(actions[..], [Action::Call { target: 1, .. }]));
    assert_eq!(gather.untried_target(0), None, "both are tried");
    let body = b"x".to_vec();
    let done = Reply::Done { snapshot: 7, body };
    gather.reply(now, AttemptId(1), done, 7, &mut budgets);
    assert_eq!(gather.covered(), 1);
}

/// Guards against a call that is taken back although its request makes no further calls.
#[test]
fn no_call_is_taken_back_once_calls_are_stopped() {
    let mut budgets = Budgets::default();
    let mut gather = start_single_attempt(&mut budgets);
    let _ = gather.stop_calls();
    assert_eq!(gather.untried_target(0), None);
    assert_eq!(gather.untried_target(9), None);
}
