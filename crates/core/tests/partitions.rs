//! What ran in one lease term of a partition is known in the next one, in whichever order the tables
//! arrive.

use {
    rattanturn_core::{
        NodeId, Time,
        dedup::{DedupTable, Outcome, Verdict},
        lease::{LeaseTerm, LeaseTerms, UnitId},
        partitions::{
            ARRIVAL_TIMEOUT, FORWARD_DELAY, HANDOVER_TIMEOUT, Partitions, Release, TABLE_RETENTION,
        },
    },
    std::time::Duration,
};

const UNIT: UnitId = UnitId(7);
const START: Time = Time::from_millis(1_000);

fn term(holder: u64) -> LeaseTerm {
    LeaseTerm {
        holder: NodeId(holder),
        number: 1,
    }
}

fn terms(previous: u64, current: u64) -> LeaseTerms {
    LeaseTerms {
        current: Some(term(current)),
        previous: Some(term(previous)),
    }
}

/// The table of a term that began at 10 s, with a request that ran.
fn first_table() -> DedupTable {
    let mut table = DedupTable::open(10_000);
    assert_eq!(table.begin(20_000, 20_000, "r1", 5), Verdict::Run);
    table.finish("r1", Outcome::Ran(b"done".to_vec()));
    table
}

fn retry(table: &mut DedupTable) -> Verdict {
    table.begin(40_000, 20_000, "r1", 5)
}

fn ran() -> Verdict {
    Verdict::Ended(Outcome::Ran(b"done".to_vec()))
}

/// An owner that is to give the partition up before the table of the previous term has reached it.
#[test]
fn a_table_that_arrives_after_the_handover_reaches_the_next_owner() {
    let (mut second, mut third) = (Partitions::default(), Partitions::default());
    second.open(START, UNIT, terms(1, 2), 30_000);
    assert!(second.expects_table(START, UNIT));
    let late = START + ARRIVAL_TIMEOUT;
    assert!(!second.expects_table(late, UNIT));
    let empty = second.hand_over(UNIT).unwrap();
    third.receive(late, UNIT, term(2), empty);
    assert_eq!(
        retry(third.open(late, UNIT, terms(2, 3), 35_000)),
        Verdict::Unknown
    );
    second.receive(late, UNIT, term(1), first_table());
    let (used_in, whole) = second.take_unused(late, UNIT).unwrap();
    assert_eq!(used_in, term(2));
    third.receive(late, UNIT, used_in, whole);
    assert_eq!(retry(third.get(UNIT).unwrap()), ran());
}

/// The two messages of the test above travel on connections of their own.
#[test]
fn an_incomplete_table_that_arrives_last_hides_nothing() {
    let mut third = Partitions::default();
    let mut whole = DedupTable::open(30_000);
    whole.merge_earlier(first_table());
    third.receive(START, UNIT, term(2), whole);
    third.receive(START, UNIT, term(2), DedupTable::open(30_000));
    assert_eq!(retry(third.open(START, UNIT, terms(2, 3), 35_000)), ran());
}

#[test]
fn a_table_that_could_not_be_forwarded_is_not_dropped() {
    let mut other = Partitions::default();
    other.receive(START, UNIT, term(1), first_table());
    assert!(other.take_unused(START, UNIT).is_none());
    let due = START + FORWARD_DELAY;
    let (used_in, table) = other.take_unused(due, UNIT).unwrap();
    other.put_back(due, UNIT, used_in, table);
    assert!(other.has_received(UNIT) && other.take_unused(due, UNIT).is_none());
    assert_eq!(retry(other.open(due, UNIT, terms(1, 2), 35_000)), ran());
}

#[test]
fn a_table_is_not_continued_after_a_term_in_between() {
    let mut partitions = Partitions::default();
    partitions.receive(START, UNIT, term(1), first_table());
    let table = partitions.open(START, UNIT, terms(2, 3), 35_000);
    assert_eq!(retry(table), Verdict::Unknown);
}

/// Guards against a request that waits for the table of the previous term and begins after its own table
/// was handed over: the next owner does not know it, and runs its retry.
#[test]
fn no_request_begins_in_a_table_that_was_handed_over() {
    let mut partitions = Partitions::default();
    partitions.open(START, UNIT, terms(1, 2), 30_000);
    let table_for =
        |terms: LeaseTerms, id: &str, p: &mut Partitions| p.table_for(UNIT, terms, id).is_some();
    assert!(table_for(terms(1, 2), "r2", &mut partitions));
    partitions.receive(START, UNIT, term(1), first_table());
    partitions.hand_over(UNIT).unwrap();
    assert!(!table_for(terms(1, 2), "r2", &mut partitions));
    let known = partitions.table_for(UNIT, terms(1, 2), "r1").unwrap();
    assert_eq!(retry(known), ran());
    partitions.open(START, UNIT, terms(2, 3), 40_000);
    assert!(!table_for(terms(1, 2), "r1", &mut partitions));
    assert!(table_for(terms(2, 3), "r2", &mut partitions));
}

/// Guards against a lease that is released without its table after a long request, or while the table is
/// sent, so that retries of its requests get "unknown".
#[test]
fn a_lease_waits_for_its_table_from_the_end_of_its_work() {
    let mut release = Release::default();
    let worked = START + Duration::from_secs(5);
    assert!(!release.is_due(START, 1, false));
    assert!(!release.is_due(worked, 0, false));
    let sent = worked + ARRIVAL_TIMEOUT + HANDOVER_TIMEOUT;
    assert!(!release.is_due(sent, 0, false));
    assert!(release.is_due(sent, 0, true));
    assert!(release.is_due(sent + Duration::from_secs(1), 0, false));
}

/// Guards against retries that get "unknown" because a table of an earlier term, which was sent a second
/// time or forwarded late, replaces the one of the term before this daemon's own.
#[test]
fn a_table_of_an_earlier_term_that_arrives_late_replaces_no_later_one() {
    let mut third = Partitions::default();
    let mut whole = DedupTable::open(30_000);
    whole.merge_earlier(first_table());
    third.receive(START, UNIT, term(2), whole);
    third.receive(START, UNIT, term(1), first_table());
    assert_eq!(retry(third.open(START, UNIT, terms(2, 3), 35_000)), ran());
}

/// Guards against a later table that is lost when its forwarding fails after an earlier one has arrived.
#[test]
fn a_table_that_could_not_be_forwarded_is_kept_beside_an_earlier_one() {
    let mut other = Partitions::default();
    other.receive(START, UNIT, term(2), first_table());
    let due = START + FORWARD_DELAY;
    let (used_in, table) = other.take_unused(due, UNIT).unwrap();
    other.receive(due, UNIT, term(1), DedupTable::open(5_000));
    other.put_back(due, UNIT, used_in, table);
    assert_eq!(retry(other.open(due, UNIT, terms(2, 3), 35_000)), ran());
}

/// Guards against tables that are kept, and sent from daemon to daemon, although no term can continue
/// them any more.
#[test]
fn tables_that_no_term_can_continue_are_dropped() {
    let mut other = Partitions::default();
    other.receive(START, UNIT, term(1), first_table());
    assert!(other.has_received(UNIT));
    let late = START + TABLE_RETENTION;
    other.expire(late);
    assert!(!other.has_received(UNIT) && other.take_unused(late, UNIT).is_none());
}
