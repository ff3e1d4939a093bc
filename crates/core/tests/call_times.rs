//! A target with a few connections in simulated time, whose calls wait for one in their order.

use {
    rattanturn_core::{
        Time,
        call_times::CallTimes,
        permits::{Permits, Ticket},
    },
    std::{collections::BTreeSet, time::Duration},
};

const ROUTE: &str = "r";
const CONNECTIONS: u32 = 6;
/// Time from the arrival of a request in which its answer is of use.
const LIMIT: Duration = Duration::from_secs(1);
/// Time after that at which an open call is given up.
const GRACE: Duration = Duration::from_millis(150);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The call that was sent for this request lets its connection go.
    End(usize),
    /// The time by which this request must be sent has come.
    SendBy(usize),
    Arrive(usize),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Request {
    arrived: Time,
    sent: Option<Time>,
    served: bool,
    refused: Option<Time>,
}

impl Request {
    fn useful_until(&self) -> Time {
        self.arrived + LIMIT
    }
}

/// Simulates requests that arrive each `interval` for `time`. `takes` says how long the target takes
/// for a call that it gets at a time; its second argument is uniform between 0 and 1.
fn simulate(
    interval: Duration,
    time: Duration,
    takes: impl Fn(Time, f64) -> Duration,
) -> Vec<Request> {
    let mut run = Run {
        takes,
        seed: 7,
        permits: Permits::new(CONNECTIONS),
        times: CallTimes::default(),
        tickets: Vec::new(),
        requests: Vec::new(),
        events: BTreeSet::new(),
    };
    let mut now = Time::ZERO;
    while now < Time::ZERO + time {
        let number = run.requests.len();
        run.requests.push(Request {
            arrived: now,
            ..Request::default()
        });
        run.events.insert((now, Event::Arrive(number)));
        now = now + interval;
    }
    while let Some((now, event)) = run.events.pop_first() {
        run.handle(now, event);
    }
    run.requests
}

struct Run<F> {
    takes: F,
    seed: u64,
    permits: Permits,
    times: CallTimes,
    tickets: Vec<(Ticket, usize)>,
    requests: Vec<Request>,
    events: BTreeSet<(Time, Event)>,
}

impl<F: Fn(Time, f64) -> Duration> Run<F> {
    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(now, number),
            Event::SendBy(number) => self.check(now, number),
            Event::End(number) => {
                let request = self.requests[number];
                let held = now.since(request.sent.unwrap());
                if now < request.useful_until() + GRACE {
                    self.times.record_answer(ROUTE, held);
                } else {
                    self.times.record_timeout(ROUTE, held);
                }
                self.requests[number].served = now <= request.useful_until();
                self.release(now);
            }
        }
    }

    fn arrive(&mut self, now: Time, number: usize) {
        let until = self.requests[number].useful_until();
        let (waiting, limit) = (self.permits.waiting(), self.permits.limit());
        if !self.permits.has_free() && self.times.waits_too_long(ROUTE, now, until, waiting, limit)
        {
            self.requests[number].refused = Some(now);
            return;
        }
        match self.permits.take() {
            Ok(()) => self.send(now, number),
            Err(ticket) => {
                self.tickets.push((ticket, number));
                self.check(now, number);
            }
        }
    }

    /// Ends the wait of a request, or sets the time of the next check.
    fn check(&mut self, now: Time, number: usize) {
        let Some(place) = self.tickets.iter().position(|(_, n)| *n == number) else {
            return;
        };
        let send_by = self
            .times
            .send_by(ROUTE, self.requests[number].useful_until());
        if now >= send_by {
            self.permits.cancel(self.tickets.remove(place).0);
            self.requests[number].refused = Some(now);
        } else {
            self.events.insert((send_by, Event::SendBy(number)));
        }
    }

    fn send(&mut self, now: Time, number: usize) {
        // The constants are Knuth's for linear congruential generators.
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let uniform = f64::from(u32::try_from(self.seed >> 32).unwrap()) / f64::from(u32::MAX);
        let end = now + (self.takes)(now, uniform);
        let request = &mut self.requests[number];
        request.sent = Some(now);
        let end = end.min(request.useful_until() + GRACE);
        self.events.insert((end, Event::End(number)));
    }

    fn release(&mut self, now: Time) {
        let mut granted = self.permits.release();
        while let Some(ticket) = granted.pop() {
            let place = self.tickets.iter().position(|(t, _)| *t == ticket);
            let (_, number) = self.tickets.remove(place.unwrap());
            let send_by = self
                .times
                .send_by(ROUTE, self.requests[number].useful_until());
            if now < send_by {
                self.send(now, number);
            } else {
                self.requests[number].refused = Some(now);
                granted.extend(self.permits.release());
            }
        }
    }
}

/// Requests that arrived from `from` on, for `time`.
fn arrived(all: &[Request], from: Duration, time: Duration) -> Vec<Request> {
    let (from, end) = (Time::ZERO + from, Time::ZERO + from + time);
    let within = all.iter().filter(|r| r.arrived >= from && r.arrived < end);
    within.copied().collect()
}

fn served(requests: &[Request]) -> usize {
    requests.iter().filter(|r| r.served).count()
}

/// Sent requests that were not served.
fn wasted(requests: &[Request]) -> usize {
    let lost = |r: &&Request| r.sent.is_some() && !r.served;
    requests.iter().filter(lost).count()
}

/// Guards against a target whose work is all lost while more requests arrive than it can run.
#[test]
fn an_overloaded_target_serves_nearly_what_it_can_run() {
    for load in [1.05, 1.3, 2.0, 5.0] {
        let interval = (ms(200) / CONNECTIONS).div_f64(load);
        let all = simulate(interval, ms(30_000), |_, u| ms(100) + ms(200).mul_f64(u));
        let later = arrived(&all, ms(5_000), ms(20_000));
        // The target runs 30 a second.
        assert!(
            served(&later) >= 20 * 30 * 8 / 10,
            "load {load}: {}",
            served(&later)
        );
        assert!(
            wasted(&later) <= 20 * 30 * 2 / 10,
            "load {load}: {}",
            wasted(&later)
        );
    }
}

/// Guards against requests that are held back until their time is up.
#[test]
fn most_requests_beyond_what_a_target_can_run_are_refused_at_once() {
    let all = simulate(ms(200) / CONNECTIONS / 2, ms(10_000), |_, _| ms(200));
    let later = arrived(&all, ms(2_000), ms(7_000));
    let refused: Vec<_> = later
        .iter()
        .filter_map(|r| Some((r.arrived, r.refused?)))
        .collect();
    let held = refused
        .iter()
        .filter(|(arrived, at)| at.since(*arrived) > ms(50));
    assert!(refused.len() > 150, "{}", refused.len());
    assert!(held.count() <= refused.len() / 10);
}

/// Guards against refusals because the calls that were open in a pause count as usual: the target is
/// fast again, and serves all that waits.
#[test]
fn a_pause_refuses_no_request_that_can_be_served_after_it() {
    let (begin, end) = (Time::from_millis(3_000), Time::from_millis(3_700));
    let all = simulate(ms(10), ms(10_000), |now, _| {
        let paused = now >= begin && now < end;
        if paused {
            end.since(now) + ms(10)
        } else {
            ms(10)
        }
    });
    let others: Vec<_> = all.iter().filter(|r| !r.served).collect();
    assert!(others.is_empty(), "{others:?}");
}

/// Guards against an estimate that stays too high, so that nothing is sent any more.
#[test]
fn a_target_is_used_again_after_it_was_too_slow_for_any_answer() {
    let (begin, end) = (Time::from_millis(3_000), Time::from_millis(13_000));
    let all = simulate(ms(10), ms(20_000), |now, _| {
        if now >= begin && now < end {
            ms(4_000)
        } else {
            ms(10)
        }
    });
    let later = arrived(&all, ms(14_200), ms(5_000));
    assert_eq!(served(&later), later.len());
}

/// Guards against an estimate that follows a target which becomes slower so late that its work is lost.
#[test]
fn a_target_that_becomes_slower_serves_soon_what_it_can_run() {
    let slow_from = Time::from_millis(5_000);
    let all = simulate(ms(20), ms(20_000), |now, _| {
        if now < slow_from { ms(20) } else { ms(300) }
    });
    let later = arrived(&all, ms(8_000), ms(10_000));
    // It runs 20 a second.
    assert!(served(&later) >= 10 * 20 * 8 / 10, "{}", served(&later));
    assert!(wasted(&later) <= 10 * 20 * 2 / 10, "{}", wasted(&later));
}
