//! Overload is refused early, high priority goes first and low priority is not starved.

use {
    rattanturn_core::{
        Priority, Time,
        admission::{Admission, RequestId, Verdict},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A pool that serves `capacity` queries at once, 20 ms each; offered `factor` times that.
///
/// Returns queries answered in time by priority, and the number asked for each.
fn overload(factor: u64, rounds: u64) -> BTreeMap<Priority, (u32, u32)> {
    const CAPACITY: usize = 20;
    const SERVICE_MS: u64 = 20;
    let mut admission = Admission::default();
    let mut running: Vec<(Time, Time, RequestId)> = Vec::new();
    let mut asked: BTreeMap<RequestId, (Priority, Time)> = BTreeMap::new();
    let mut good: BTreeMap<Priority, (u32, u32)> = BTreeMap::new();
    let mut next = 0;
    for ms in 0..rounds {
        let now = Time::from_millis(ms);
        let mut started = Vec::new();
        for _ in 0..factor {
            let id = RequestId(next);
            let priority = Priority::ALL[usize::try_from(next % 3).unwrap()];
            next += 1;
            let deadline = now + Duration::from_millis(300);
            asked.insert(id, (priority, deadline));
            good.entry(priority).or_default().1 += 1;
            match admission.submit(now, id, priority, deadline) {
                Verdict::Start => started.push(id),
                Verdict::Queued => {}
                Verdict::Refused(wait) => assert!(wait < Duration::from_mins(1)),
            }
        }
        let (ended, rest): (Vec<_>, Vec<_>) = running.drain(..).partition(|r| r.0 <= now);
        running = rest;
        for (end, start, id) in ended {
            let (priority, deadline) = asked[&id];
            good.entry(priority).or_default().0 += u32::from(end <= deadline);
            let took = end.since(start);
            let overloaded = took > Duration::from_millis(SERVICE_MS * 3);
            started.extend(admission.finish(now, took, overloaded).start);
        }
        started.extend(admission.advance(now).start);
        for id in started {
            // Beyond its capacity the pool shares itself out, which makes everything slower.
            let crowd = CAPACITY.max(running.len() + 1) as u64;
            let took = Duration::from_micros(SERVICE_MS * 1_000 * crowd / CAPACITY as u64);
            running.push((now + took, now, id));
        }
    }
    good
}

#[test]
fn goodput_stays_near_capacity_at_ten_times_the_load() {
    let rounds = 20_000;
    for factor in [2, 10] {
        let good = overload(factor, rounds);
        let answered: u32 = good.values().map(|(ok, _)| ok).sum();
        // The pool answers at most one query a millisecond.
        let capacity = f64::from(u32::try_from(rounds).unwrap());
        assert!(
            f64::from(answered) >= capacity * 0.9,
            "{factor}x: {answered} of {capacity}"
        );
    }
}

#[test]
fn high_priority_goes_first_and_low_is_not_starved() {
    let good = overload(2, 20_000);
    let share = |p| f64::from(good[&p].0) / f64::from(good[&p].1);
    assert!(share(Priority::High) > 0.95, "{good:?}");
    assert!(share(Priority::Low) < share(Priority::High), "{good:?}");
    assert!(share(Priority::Low) > 0.01, "{good:?}");
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut admission = Admission::default();
    let now = Time::from_millis(1);
    let late = now + Duration::from_millis(1);
    let verdicts: Vec<Verdict> = (0..40)
        .map(|n| admission.submit(now, RequestId(n), Priority::High, late))
        .collect();
    assert_eq!(verdicts[0], Verdict::Start);
    assert!(matches!(verdicts[39], Verdict::Refused(_)));
}
