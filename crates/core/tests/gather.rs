//! Queries: recorded traces against their stated outcomes, and generated orders of events.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        Time,
        gather::{
            Action, AttemptId, Budgets, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan, Reply,
            trace,
        },
    },
    std::{collections::BTreeMap, fs, path::Path, time::Duration},
};

#[test]
fn every_trace_ends_as_stated() {
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
enum Op {
    Reply {
        attempt: u32,
        kind: usize,
        snapshot: u64,
    },
    Wait {
        us: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..24_u32, 0..5_usize, 7..9_u64)
            .prop_map(|(attempt, kind, snapshot)| Op::Reply { attempt, kind, snapshot }),
        1 => (1..30_000_u64).prop_map(|us| Op::Wait { us }),
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

    /// Whatever arrives in whatever order: one snapshot, each part from a call for its own
    /// service, calls only while the query runs, and an end at the deadline at the latest.
    #[test]
    fn answers_are_whole_and_true(
        ops in proptest::collection::vec(op(), 1..100),
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
            cutoff: None,
            budgets: Vec::new(),
        };
        let mut budgets = Budgets::default();
        let mut now = Time::from_micros(1);
        let (mut gather, first) = Gather::start(now, plan, &mut budgets);
        let mut service_of: BTreeMap<u32, usize> = BTreeMap::new();
        let mut finished = note(&first, &mut service_of, false);
        for op in ops {
            let actions = match op {
                Op::Reply { attempt, kind, snapshot } => {
                    let reply = reply(kind, attempt, snapshot);
                    gather.reply(now, AttemptId(attempt), reply, snapshot, &mut budgets)
                }
                Op::Wait { us } => {
                    now = now + Duration::from_micros(us);
                    gather.tick(now, &mut budgets)
                }
            };
            prop_assert!(!finished || actions.is_empty(), "acted after the end");
            finished = note(&actions, &mut service_of, finished);
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
            prop_assert_eq!(version.parse::<u64>().unwrap(), snapshot, "mixed snapshots");
            prop_assert_eq!(service_of[&attempt.parse::<u32>().unwrap()], service);
        }
    }
}

/// Notes calls; returns whether the query has ended.
fn note(actions: &[Action], service_of: &mut BTreeMap<u32, usize>, finished: bool) -> bool {
    let mut finished = finished;
    for action in actions {
        match action {
            Action::Call {
                attempt, service, ..
            } => {
                assert!(
                    service_of.insert(attempt.0, *service).is_none(),
                    "a number came twice"
                );
            }
            Action::Cancel(_) => {}
            Action::Finish => finished = true,
        }
    }
    finished
}

/// Hedges and repeats together stay within their budgets however slow everything is.
#[test]
fn extra_calls_stay_within_the_budget() {
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
    // The saved-up bursts of both budgets come on top once.
    let bound = f64::from(first) * 0.10 + 20.0;
    assert!(
        f64::from(extra) <= bound,
        "{extra} extra for {first} first calls"
    );
}
