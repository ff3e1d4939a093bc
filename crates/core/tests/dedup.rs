//! A non-idempotent request runs at most once, however often it is retried and whichever daemons
//! own its partition one after another.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::dedup::{DedupTable, MAX_SKEW_MS, Outcome, RETENTION_MS, Verdict},
    std::collections::BTreeMap,
};

#[test]
fn a_request_issued_before_the_lease_term_is_unknown() {
    let mut table = DedupTable::open(50_000);
    assert_eq!(table.begin(60_000, 49_000, "r", 1), Verdict::Unknown);
    assert_eq!(
        table.begin(60_000, 50_000 + MAX_SKEW_MS, "r", 1),
        Verdict::Run
    );
}

#[test]
fn a_request_older_than_the_retention_time_is_unknown() {
    let mut table = DedupTable::open(0);
    let now = 10_000_000;
    assert_eq!(
        table.begin(now, now - RETENTION_MS, "r", 1),
        Verdict::Unknown
    );
}

#[test]
fn a_request_stamped_in_the_future_is_refused() {
    let mut table = DedupTable::open(0);
    let verdict = table.begin(10_000, 10_001 + MAX_SKEW_MS, "r", 1);
    assert!(matches!(verdict, Verdict::Refused(_)));
}

#[test]
fn an_id_reused_with_different_content_is_refused() {
    let mut table = DedupTable::open(0);
    assert_eq!(table.begin(10_000, 10_000, "r", 1), Verdict::Run);
    assert!(matches!(
        table.begin(10_000, 10_000, "r", 2),
        Verdict::Refused(_)
    ));
}

#[test]
fn a_retry_of_a_request_that_did_not_run_is_run() {
    let mut table = DedupTable::open(0);
    assert_eq!(table.begin(10_000, 10_000, "r", 1), Verdict::Run);
    table.finish("r", Outcome::NotRun("busy".into()));
    assert_eq!(table.begin(10_100, 10_000, "r", 1), Verdict::Run);
}

#[derive(Clone, Debug)]
enum Op {
    /// A caller issues a request; its clock differs by at most the tolerated skew.
    Issue { id: usize, skew: i64 },
    /// A caller retries a request with the original stamp.
    Retry { id: usize },
    /// A running request ends, with a known or an unknown outcome.
    Finish { id: usize, ran: bool },
    /// Another daemon becomes the owner, after the lease and its grace period have expired and
    /// without the table of the previous owner.
    ChangeOwner,
    /// Time passes.
    Wait { ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let skew = i64::try_from(MAX_SKEW_MS).unwrap();
    prop_oneof![
        3 => (0..6_usize, -skew..=skew).prop_map(|(id, skew)| Op::Issue { id, skew }),
        4 => (0..6_usize).prop_map(|id| Op::Retry { id }),
        3 => (0..6_usize, any::<bool>()).prop_map(|(id, ran)| Op::Finish { id, ran }),
        1 => Just(Op::ChangeOwner),
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
    fn a_request_runs_at_most_once(ops in proptest::collection::vec(op(), 1..120)) {
        let mut now = 5_000_000_u64;
        let mut table = DedupTable::open(now - 10_000);
        let mut stamps: BTreeMap<usize, u64> = BTreeMap::new();
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Issue { id, skew } => {
                    stamps.entry(id).or_insert_with(|| now.checked_add_signed(skew).unwrap());
                }
                Op::Wait { ms } => now += ms,
                Op::ChangeOwner => {
                    // The duration of a lease and of its grace period.
                    now += 3_500;
                    table = DedupTable::open(now);
                }
                Op::Finish { id, ran } => {
                    let name = id.to_string();
                    if ran {
                        table.finish(&name, Outcome::Ran(vec![]));
                    } else {
                        table.finish(&name, Outcome::Unknown);
                    }
                }
                Op::Retry { .. } => {}
            }
            if let Op::Issue { id, .. } | Op::Retry { id } = op
                && let Some(issued) = stamps.get(&id)
                && table.begin(now, *issued, &id.to_string(), 1) == Verdict::Run
            {
                let count = runs.entry(id).or_default();
                *count += 1;
                prop_assert!(*count <= 1, "request {id} ran twice");
            }
        }
    }
}

#[test]
fn a_table_that_arrives_late_is_merged_into_the_new_one() {
    let mut earlier = DedupTable::open(0);
    assert_eq!(earlier.begin(10_000, 10_000, "old", 1), Verdict::Run);
    earlier.finish("old", Outcome::Ran(vec![7]));
    let mut table = DedupTable::open(11_000);
    assert_eq!(table.begin(12_500, 10_000, "old", 1), Verdict::Unknown);
    assert_eq!(table.begin(12_500, 12_400, "new", 1), Verdict::Run);
    table.merge_earlier(earlier);
    assert_eq!(
        table.begin(12_600, 10_000, "old", 1),
        Verdict::Ended(Outcome::Ran(vec![7]))
    );
    assert_eq!(table.begin(12_600, 12_400, "new", 1), Verdict::Running);
    assert_eq!(table.begin(12_600, 10_500, "first", 1), Verdict::Run);
}
