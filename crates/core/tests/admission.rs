//! Admission under overload: goodput, priorities and early refusal.

use {
    rattanturn_core::{
        Priority, Time,
        admission::{Admission, RequestId, Verdict},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Simulates a pool with room for 20 queries of 20 ms, so one query a millisecond, and submits
/// `factor` requests in each of `rounds` milliseconds.
///
/// Returns for each priority how many requests were answered in time and how many were submitted.
fn simulate_overload(factor: u64, rounds: u64) -> BTreeMap<Priority, (u32, u32)> {
    const CAPACITY: usize = 20;
    const SERVICE_MS: u64 = 20;
    let mut admission = Admission::default();
    let mut running: Vec<(Time, Time, RequestId)> = Vec::new();
    let mut submitted: BTreeMap<RequestId, (Priority, Time)> = BTreeMap::new();
    let mut answered: BTreeMap<Priority, (u32, u32)> = BTreeMap::new();
    let mut next = 0;
    for ms in 0..rounds {
        let now = Time::from_millis(ms);
        let mut started = Vec::new();
        for _ in 0..factor {
            let id = RequestId(next);
            let priority = Priority::ALL[usize::try_from(next % 3).unwrap()];
            next += 1;
            let deadline = now + Duration::from_millis(300);
            submitted.insert(id, (priority, deadline));
            answered.entry(priority).or_default().1 += 1;
            match admission.submit(now, id, priority, deadline) {
                Verdict::Start => started.push(id),
                Verdict::Queued => {}
                Verdict::Refused(wait) => assert!(wait < Duration::from_mins(1)),
            }
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|r| r.0 <= now);
        running = rest;
        for (end, start, id) in ended {
            let (priority, deadline) = submitted[&id];
            answered.entry(priority).or_default().0 += u32::from(end <= deadline);
            let took = end.since(start);
            let overloaded = took > Duration::from_millis(SERVICE_MS * 3);
            started.extend(admission.finish(now, took, overloaded).start);
        }
        started.extend(admission.advance(now).start);
        for id in started {
            // Queries beyond the capacity slow down all queries in proportion.
            let load = CAPACITY.max(running.len() + 1) as u64;
            let took = Duration::from_micros(SERVICE_MS * 1_000 * load / CAPACITY as u64);
            running.push((now + took, now, id));
        }
    }
    answered
}

#[test]
fn goodput_stays_near_capacity_at_two_and_ten_times_the_load() {
    let rounds = 20_000;
    for factor in [2, 10] {
        let counts = simulate_overload(factor, rounds);
        let answered: u32 = counts.values().map(|(ok, _)| ok).sum();
        // The pool answers at most one query a millisecond.
        let capacity = f64::from(u32::try_from(rounds).unwrap());
        assert!(
            f64::from(answered) >= capacity * 0.9,
            "{factor}x load: {answered} queries answered, capacity {capacity}"
        );
    }
}

#[test]
fn under_overload_high_priority_is_preferred_and_low_is_not_starved() {
    let counts = simulate_overload(2, 20_000);
    let ratio = |p| f64::from(counts[&p].0) / f64::from(counts[&p].1);
    assert!(ratio(Priority::High) > 0.95, "{counts:?}");
    assert!(ratio(Priority::Low) < ratio(Priority::High), "{counts:?}");
    assert!(ratio(Priority::Low) > 0.01, "{counts:?}");
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut admission = Admission::default();
    let now = Time::from_millis(1);
    let deadline = now + Duration::from_millis(1);
    let verdicts: Vec<Verdict> = (0..40)
        .map(|n| admission.submit(now, RequestId(n), Priority::High, deadline))
        .collect();
    assert_eq!(verdicts[0], Verdict::Start);
    assert!(matches!(verdicts[39], Verdict::Refused(_)));
}
