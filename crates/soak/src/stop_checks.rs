//! Checks on the requests of runs with stops.
//!
//! A daemon that was neither killed nor paused must give each request that it was sent a complete
//! answer, also while it stops and whatever signals repeat. A stop may refuse requests, but at once,
//! and not while callers still come to the daemon because they have not learned that it leaves. Once
//! SIGINT hurries a stop, its daemon may refuse everything.
//!
//! A 502 says that the request may have run, so where a daemon could still answer or refuse, it counts
//! as a violation too; see [`crate::final_answers`].
//!
//! One cause makes many requests fail alike, so violations are listed by class, each with its number
//! and some examples.

use {
    crate::{
        checks::{Checks, Request, to_f64},
        connection::Outcome,
        daemons::{DRAIN_LIMIT, Daemon},
        environment::{Environment, LONG_GOAL},
        final_answers::LostAnswer,
        stop_callers::Manner,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

#[cfg(test)]
mod tests;

/// Time after SIGTERM in which a daemon must take requests, because callers still come to it. The
/// platform's rules excuse a stop that cuts long requests only for those sent within this time.
const TAKING_TIME: Duration = Duration::from_secs(3);
/// Longest run of a request that counts as one that a stopping daemon could have served: sent
/// within [`TAKING_TIME`], it ends before the daemon closes its listeners after 4 s.
const MAX_SERVABLE_RUN: Duration = Duration::from_secs(1);
/// Time that such a request's limit leaves beyond its run.
const MIN_SPARE_TIME: Duration = Duration::from_secs(1);
/// Number and share of proper requests that may be turned away in that time; the only ones that the
/// platform's rules allow for requests that a daemon denies without need.
const TURNED_AWAY_SLACK: f64 = 5.0;
const TURNED_AWAY_SHARE: f64 = 1.0 / 500.0;
/// Longest time for a refusal in a stop: by the platform's rules one is in time within a quarter of
/// the route's latency goal.
const REFUSAL_TIME: Duration = LONG_GOAL.checked_div(4).unwrap();
/// Examples that are listed of each class of violations.
const EXAMPLES: usize = 3;

/// A request of a caller that stays at a daemon, and its outcome.
pub(crate) struct StopRequest {
    pub(crate) manner: Manner,
    /// Time for which it runs at its target.
    pub(crate) run_time: Duration,
    /// Its time limit.
    pub(crate) limit: Duration,
    /// When it was the next on its connection: all its bytes were sent, and the requests before it
    /// were answered.
    pub(crate) next_at: Instant,
    /// Whether the answer before it on its connection, which its caller did not wait for, announced
    /// that the daemon closes.
    pub(crate) behind_close: bool,
    pub(crate) request: Request,
}

/// What is known of the requests of a run with stops.
#[derive(Default)]
pub(crate) struct StopChecks {
    /// Whether the run has no faults but stops.
    pub(crate) calm: bool,
    /// Descriptions of violations, by class.
    found: BTreeMap<String, Vec<String>>,
    /// Requests and connections that stopping daemons could have served, and those turned away.
    servable: u64,
    turned_away: u64,
}

impl StopChecks {
    /// Notes that a daemon refused a connection.
    pub(crate) fn note_refused_connection(&mut self, daemon: &Daemon) {
        if !self.calm || !daemon.served_before_stop() || !daemon.is_running() {
            return;
        }
        let hurried = daemon.hurried_at(daemon.incarnation).is_some();
        if daemon.stopping.is_some_and(|s| s.elapsed() < TAKING_TIME) && !hurried {
            self.servable += 1;
            self.turned_away += 1;
            let class = "connections refused in the first 3 s of a stop".into();
            let text = format!("{}, which {}", daemon.name, daemon.lifetime());
            self.found.entry(class).or_default().push(text);
        }
    }
}

impl Checks {
    /// Checks a request's outcome; call it as soon as the request has ended.
    pub(crate) fn check_stop_request(
        &mut self,
        env: &Environment,
        daemon: &Daemon,
        stop_request: &StopRequest,
    ) {
        let (now, request) = (Instant::now(), &stop_request.request);
        self.count_outcome(request.outcome.name());
        self.check_content(env, request);
        if daemon.was_disturbed(request.sent_at, now) {
            return;
        }
        self.check_lost_answer(daemon, stop_request, now);
        let stop = daemon.stop_of(request.incarnation);
        let answered = matches!(request.outcome, Outcome::Answered(_));
        let crossed =
            matches!(request.outcome, Outcome::Closed) && self.crossed_close(env, daemon, request);
        if !answered && !crossed && !stop_request.was_read_late(daemon) {
            let class = stop_request.loss_class(env, daemon);
            self.note_found(class, daemon, stop_request);
        }
        let refused = matches!(request.outcome.status(), Some(408 | 421 | 429 | 503));
        let next_at = stop_request.next_at;
        let hurried = daemon.hurried_at(request.incarnation);
        let Some(stop) = stop.filter(|stop| self.stops.calm && next_at >= *stop) else {
            return;
        };
        let refusable_at = hurried.map_or(next_at, |at| next_at.max(at));
        if refused && now - refusable_at > REFUSAL_TIME {
            let class = "requests refused late in a stop".into();
            self.note_found(class, daemon, stop_request);
        }
        let served_before =
            daemon.incarnation != request.incarnation || daemon.served_before_stop();
        if served_before && hurried.is_none() && stop_request.is_servable(stop) {
            self.stops.servable += 1;
            if refused || crossed {
                self.stops.turned_away += 1;
                let class = "requests refused in the first 3 s of a stop".into();
                self.note_found(class, daemon, stop_request);
            }
        }
    }

    /// Checks that a daemon answered with 502 only where it could neither answer nor refuse in time.
    fn check_lost_answer(&mut self, daemon: &Daemon, stop_request: &StopRequest, now: Instant) {
        let request = &stop_request.request;
        if !self.stops.calm || !request.outcome.is_lost_answer() {
            return;
        }
        let lost = LostAnswer {
            next_at: stop_request.next_at,
            answered_at: now,
            run_time: stop_request.run_time,
            limit: stop_request.limit,
            input_ended: stop_request.manner == Manner::HalfClose,
            idempotent: !request.kind.runs_once(),
        };
        if let Some(fault) = lost.fault(daemon.stop_times(request.incarnation)) {
            self.note_found(format!("requests with 502 {fault}"), daemon, stop_request);
        }
    }

    /// The same for a request of a caller that goes where its directory says.
    pub(crate) fn check_usual_lost_answer(&mut self, daemon: &Daemon, request: &Request) {
        // Versions in roll-out end and fail by themselves.
        let has_orders = !self.orders.sent.is_empty();
        if !self.stops.calm || has_orders || !request.outcome.is_lost_answer() {
            return;
        }
        let lost = LostAnswer {
            next_at: request.written_at.unwrap_or(request.sent_at),
            answered_at: Instant::now(),
            run_time: Duration::ZERO,
            limit: request.kind.limit(),
            input_ended: false,
            idempotent: !request.kind.runs_once(),
        };
        if let Some(fault) = lost.fault(daemon.stop_times(request.incarnation)) {
            let text = format!(
                "{:?} request {} to {}, which {}",
                request.kind,
                request.id,
                daemon.name,
                daemon.lifetime()
            );
            let class = format!("usual requests with 502 {fault}");
            self.stops.found.entry(class).or_default().push(text);
        }
    }

    fn note_found(&mut self, class: String, daemon: &Daemon, stop_request: &StopRequest) {
        let text = stop_request.describe(daemon);
        self.stops.found.entry(class).or_default().push(text);
    }

    /// Adds a violation for each class that was found; call it when all requests have ended.
    pub(crate) fn report_stops(&mut self) {
        let found = std::mem::take(&mut self.stops.found);
        let (servable, away) = (self.stops.servable, self.stops.turned_away);
        let allowed = TURNED_AWAY_SLACK + to_f64(servable) * TURNED_AWAY_SHARE;
        for (class, texts) in found {
            let in_first = class.contains("first 3 s");
            if in_first && to_f64(away) <= allowed {
                continue;
            }
            let of = if in_first {
                format!(" (together {away} of {servable}, {allowed:.0} allowed)")
            } else {
                String::new()
            };
            self.add_violation(format!(
                "{} {class}{of}, for example: {}",
                texts.len(),
                texts[..texts.len().min(EXAMPLES)].join("; ")
            ));
        }
    }
}

impl StopRequest {
    /// Whether a stopping daemon could have served it although callers learn only after a while
    /// that it leaves.
    fn is_servable(&self, stop: Instant) -> bool {
        self.next_at <= stop + TAKING_TIME
            && self.run_time <= MAX_SERVABLE_RUN
            && self.limit >= self.run_time + MIN_SPARE_TIME
    }

    /// Whether its answer, which its caller reads slowly, was broken off only when the process had to
    /// end, in the last sixth of the drain limit.
    fn was_read_late(&self, daemon: &Daemon) -> bool {
        let cut = matches!(self.request.outcome, Outcome::Truncated);
        let lasted = daemon.stop_lasted(self.request.incarnation);
        self.manner == Manner::SlowReader
            && cut
            && lasted.is_some_and(|time| time >= DRAIN_LIMIT * 5 / 6)
    }

    /// What requests that were lost alike have in common.
    fn loss_class(&self, env: &Environment, daemon: &Daemon) -> String {
        let request = &self.request;
        let seen = env.run_count(request.kind.service_prefix(), &request.id) > 0;
        let seen = if seen { "passed on" } else { "not passed on" };
        let when = match daemon.signals_to(request.incarnation) {
            0 => "without a stop",
            1 => "after a single SIGTERM",
            _ => "after several signals",
        };
        let behind = if self.behind_close {
            ", behind an answer that announced the close"
        } else {
            ""
        };
        format!(
            "requests without a complete answer ({:?}, callers {:?}{behind}) {when}, {seen}",
            request.outcome, self.manner
        )
    }

    fn describe(&self, daemon: &Daemon) -> String {
        let request = &self.request;
        let stop = match daemon.stop_of(request.incarnation) {
            None => "without a stop".into(),
            Some(stop) if stop > request.sent_at => {
                format!("{:?} before the stop", stop - request.sent_at)
            }
            Some(stop) => format!("{:?} into the stop", request.sent_at - stop),
        };
        format!(
            "{:?} request {} of {:?} with a limit of {:?} to {}, sent {stop}: {} after {:?}",
            request.kind,
            request.id,
            self.run_time,
            self.limit,
            daemon.name,
            request.outcome.name(),
            request.sent_at.elapsed(),
        )
    }
}
