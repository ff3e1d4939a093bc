//! Which answers of 502 a daemon may give in runs without other faults.
//!
//! A 502 says that a request may have run. A stop owes it to requests that run on when the final
//! answers are due: after seven eighths of the drain limit, or when SIGINT hurries the stop. It does
//! not know how long a request runs, so it may begin one that does not end in time, but none that
//! comes after its listeners have closed. A caller that shut down its sending side may get a 502 as
//! well, because it cannot be told from one that left. At a request's own time limit a 502 says no less than
//! a 504, if the limit was too short for its run.

use {
    crate::{
        checks::CROSSING_TIME,
        daemons::{CLOSING_TIME, FINAL_ANSWER_TIME},
    },
    std::time::{Duration, Instant},
};

#[cfg(test)]
mod tests;

/// Time for which a daemon goes on with an idempotent request after its caller's input has ended.
const HALF_CLOSED_TIME: Duration = Duration::from_millis(250);
/// Time beyond its run that a request may take where daemons and targets share a machine.
const MIN_SPARE_TIME: Duration = Duration::from_secs(1);

/// Time before a request's limit at which its daemon answers, so that the answer is in time.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// When a process was asked to stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    pub(crate) asked: Instant,
    /// When SIGINT was first sent during the stop.
    pub(crate) hurried: Option<Instant>,
}

/// A request that a daemon answered with a 502 of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostAnswer {
    /// When the daemon could begin it: it was sent, and those before it were answered.
    pub(crate) next_at: Instant,
    pub(crate) answered_at: Instant,
    /// Time for which it runs at its target.
    pub(crate) run_time: Duration,
    /// Its time limit.
    pub(crate) limit: Duration,
    /// Whether its caller shut down its sending side right after it.
    pub(crate) input_ended: bool,
    pub(crate) idempotent: bool,
}

impl LostAnswer {
    /// What is wrong with the answer of a process, which may have been asked to stop; `None` if the
    /// daemon could neither answer nor refuse the request in time.
    pub(crate) fn fault(&self, stop: Option<StopTimes>) -> Option<&'static str> {
        let took = self.answered_at.saturating_duration_since(self.next_at);
        if self.input_ended && self.idempotent && took >= HALF_CLOSED_TIME {
            return None;
        }
        let had_time = self.run_time + MIN_SPARE_TIME <= self.limit;
        if !had_time && took + TRANSIT_TIME >= self.limit {
            return None;
        }
        let Some(stop) = stop.filter(|stop| self.answered_at >= stop.asked) else {
            return Some("without a stop");
        };
        let due = stop.asked + FINAL_ANSWER_TIME;
        let due = stop.hurried.map_or(due, |at| due.min(at));
        let close = stop.asked + CLOSING_TIME;
        let close = stop.hurried.map_or(close, |at| close.min(at));
        if self.answered_at < due {
            Some("before the final answers of a stop were due")
        } else if self.next_at > close + CROSSING_TIME {
            Some("that came after the listeners had closed")
        } else if self.next_at + self.run_time + MIN_SPARE_TIME <= due {
            Some("although there was time enough in the stop")
        } else {
            None
        }
    }
}
