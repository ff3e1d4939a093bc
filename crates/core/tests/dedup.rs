//! A non-idempotent request runs at most once, whatever its repeats and the journal's moves.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::dedup::{DedupTable, MAX_SKEW_MS, Outcome, RETENTION_MS, Verdict},
    std::collections::BTreeMap,
};

#[test]
fn a_request_issued_before_the_tenure_is_unknown() {
    let mut journal = DedupTable::open(50_000);
    assert_eq!(journal.begin(60_000, 49_000, "r", 1), Verdict::Unknown);
    assert_eq!(
        journal.begin(60_000, 50_000 + MAX_SKEW_MS, "r", 1),
        Verdict::Run
    );
}

#[test]
fn a_request_older_than_the_journal_keeps_is_unknown() {
    let mut journal = DedupTable::open(0);
    let now = 10_000_000;
    assert_eq!(
        journal.begin(now, now - RETENTION_MS, "r", 1),
        Verdict::Unknown
    );
}

#[test]
fn a_stamp_in_the_future_is_refused() {
    let mut journal = DedupTable::open(0);
    let verdict = journal.begin(10_000, 10_001 + MAX_SKEW_MS, "r", 1);
    assert!(matches!(verdict, Verdict::Refused(_)));
}

#[test]
fn an_id_used_for_another_request_is_refused() {
    let mut journal = DedupTable::open(0);
    assert_eq!(journal.begin(10_000, 10_000, "r", 1), Verdict::Run);
    assert!(matches!(
        journal.begin(10_000, 10_000, "r", 2),
        Verdict::Refused(_)
    ));
}

#[test]
fn a_request_that_was_not_run_may_run_later() {
    let mut journal = DedupTable::open(0);
    assert_eq!(journal.begin(10_000, 10_000, "r", 1), Verdict::Run);
    journal.finish("r", Outcome::NotRun("busy".into()));
    assert_eq!(journal.begin(10_100, 10_000, "r", 1), Verdict::Run);
}

#[derive(Clone, Debug)]
enum Op {
    /// A caller issues a request, its clock off by up to the skew.
    Issue { id: usize, skew: i64 },
    /// A caller repeats a request with its first stamp.
    Repeat { id: usize },
    /// The run of a request ends.
    End { id: usize, ran: bool },
    /// Another daemon takes over after the lease's grace period.
    Move,
    /// Time passes.
    Wait { ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let skew = i64::try_from(MAX_SKEW_MS).unwrap();
    prop_oneof![
        3 => (0..6_usize, -skew..=skew).prop_map(|(id, skew)| Op::Issue { id, skew }),
        4 => (0..6_usize).prop_map(|id| Op::Repeat { id }),
        3 => (0..6_usize, any::<bool>()).prop_map(|(id, ran)| Op::End { id, ran }),
        1 => Just(Op::Move),
        2 => (1..400_000_u64).prop_map(|ms| Op::Wait { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_run(ops in proptest::collection::vec(op(), 1..120)) {
        let mut now = 5_000_000_u64;
        let mut journal = DedupTable::open(now - 10_000);
        let mut stamps: BTreeMap<usize, u64> = BTreeMap::new();
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Issue { id, skew } => {
                    stamps.entry(id).or_insert_with(|| now.checked_add_signed(skew).unwrap());
                }
                Op::Wait { ms } => now += ms,
                Op::Move => {
                    // The holder's term and the grace period pass between two tenures.
                    now += 3_500;
                    journal = DedupTable::open(now);
                }
                Op::End { id, ran } => {
                    let name = id.to_string();
                    if ran {
                        journal.finish(&name, Outcome::Ran(vec![]));
                    } else {
                        journal.finish(&name, Outcome::Unknown);
                    }
                }
                Op::Repeat { .. } => {}
            }
            if let Op::Issue { id, .. } | Op::Repeat { id } = op
                && let Some(issued) = stamps.get(&id)
                && journal.begin(now, *issued, &id.to_string(), 1) == Verdict::Run
            {
                let count = runs.entry(id).or_default();
                *count += 1;
                prop_assert!(*count <= 1, "request {id} ran twice");
            }
        }
    }
}

#[test]
fn a_journal_that_arrives_late_is_taken_in() {
    let mut earlier = DedupTable::open(0);
    assert_eq!(earlier.begin(10_000, 10_000, "old", 1), Verdict::Run);
    earlier.finish("old", Outcome::Ran(vec![7]));
    let mut journal = DedupTable::open(11_000);
    assert_eq!(journal.begin(12_500, 10_000, "old", 1), Verdict::Unknown);
    assert_eq!(journal.begin(12_500, 12_400, "new", 1), Verdict::Run);
    journal.merge_earlier(earlier);
    assert_eq!(
        journal.begin(12_600, 10_000, "old", 1),
        Verdict::Ended(Outcome::Ran(vec![7]))
    );
    assert_eq!(journal.begin(12_600, 12_400, "new", 1), Verdict::Running);
    assert_eq!(journal.begin(12_600, 10_500, "first", 1), Verdict::Run);
}
