//! How many requests the new version may still get while the verdict on it is open.
//!
//! The limit on exposure holds for any version that may prove bad. So the answers of the new version
//! stay under the exposure times all answers so far, plus the slack. What it gets until a stop can be
//! in force is added to what is known of it: answers that no evidence has reached yet, and requests
//! until the next decision is made, written and applied.

use {
    super::{Evidence, Limits, counters::PERIOD_MS},
    std::{collections::BTreeMap, time::Duration},
};

/// Longest usual time from a request until its answer is known to the deciding daemons, in seconds:
/// 0.5 s until a daemon sends its evidence, and 0.3 s for the call and for evidence that is lost.
const UNCOUNTED_S: f64 = 0.8;
/// Time from a decision until the next one is in force at all daemons, in seconds: 0.1 s to the next
/// one, 0.3 s for the write and its propagation, and 0.1 s in reserve.
const REACTION_S: f64 = 0.5;
/// Evidence that begins within this number of periods covers the order from its beginning.
const FIRST_PERIODS: u32 = 4;
/// Periods over which the newest rate of requests is measured. The very newest one is incomplete.
const RATE_PERIODS: u32 = 4;

/// Requests of a service so far, and what of them the new version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Budget {
    /// Answers of both versions.
    pub(super) requests: f64,
    /// Answers of the new version.
    pub(super) exposed: f64,
    /// Requests a second.
    pub(super) rate: f64,
    exposure: f64,
    /// What is left of the slack; nothing if it is unknown how much of it was used.
    slack: f64,
}

impl Budget {
    /// The budget after `elapsed` of an order. `from_start` says whether this daemon has seen the order
    /// from its beginning.
    pub(super) fn new(
        evidence: &Evidence,
        limits: &Limits,
        elapsed: Duration,
        from_start: bool,
    ) -> Self {
        let (old, new) = evidence.totals();
        let requests = float(old.answers.saturating_add(new.answers));
        let periods = Periods::new(evidence);
        let is_complete = from_start || periods.reach_back(requests);
        Self {
            requests,
            exposed: float(new.answers),
            rate: periods.rate().max(mean_rate(requests, elapsed)),
            exposure: limits.exposure.clamp(0.0, 1.0),
            slack: if is_complete { limits.slack } else { 0.0 },
        }
    }

    /// Most requests that the new version may have got by now.
    fn allowed(&self) -> f64 {
        self.exposure * self.requests + self.slack
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.exposed > self.allowed()
    }

    /// Whether the limit holds if the new version keeps `share` for the time `kept`,
    /// and until a stop that is decided then is in force.
    pub(super) fn covers(&self, share: f64, kept: Duration) -> bool {
        let time = kept.as_secs_f64() + REACTION_S;
        let ahead = self.uncounted(share) + self.rate * share * time;
        // The number of requests in so short a time varies by about its root.
        self.exposed + ahead + ahead.sqrt() <= self.allowed()
    }

    /// Whether the limit holds if the new version gets all requests until the time limit, `left` from
    /// now. Without any request there must be slack that is known to be left.
    pub(super) fn covers_all(&self, left: Duration) -> bool {
        let ahead = self.uncounted(1.0) + self.rate * left.as_secs_f64();
        let known = self.requests > 0.0 || self.slack > 0.0;
        known && self.exposed + ahead + ahead.sqrt() <= self.allowed() + self.exposure * ahead
    }

    /// The share with which the new version will have got `fraction` of its exposure and `slack_part` of
    /// the slack in the time `left`.
    pub(super) fn share_for(
        &self,
        present: f64,
        fraction: f64,
        slack_part: f64,
        left: Duration,
    ) -> f64 {
        let requests = self.rate * left.as_secs_f64();
        let most = fraction * self.exposure * (self.requests + requests) + slack_part * self.slack;
        (most - self.exposed - self.uncounted(present)) / requests.max(1.0)
    }

    /// Requests of the new version at a share that no evidence has reached yet.
    fn uncounted(&self, share: f64) -> f64 {
        self.rate * share * UNCOUNTED_S
    }
}

/// Answers of both versions by period.
struct Periods(BTreeMap<u32, u64>);

impl Periods {
    fn new(evidence: &Evidence) -> Self {
        let mut all: BTreeMap<u32, u64> = BTreeMap::new();
        let routes = evidence.nodes.values().flat_map(|routes| routes.values());
        for (number, period) in routes.flat_map(|r| &r.periods) {
            let new: u64 = period.new.values().map(|t| t.counts.answers).sum();
            *all.entry(*number).or_default() += period.old.answers + new;
        }
        Self(all)
    }

    /// Whether the periods, or older ones that are forgotten, show answers from the beginning.
    fn reach_back(&self, requests: f64) -> bool {
        let kept: u64 = self.0.values().sum();
        let first = self.0.first_key_value();
        first.is_some_and(|(number, _)| *number < FIRST_PERIODS) || float(kept) < requests
    }

    /// Requests a second in the newest complete periods.
    fn rate(&self) -> f64 {
        let Some((last, _)) = self.0.last_key_value() else {
            return 0.0;
        };
        let newest = last.saturating_sub(RATE_PERIODS)..*last;
        let sum: u64 = self.0.range(newest).map(|(_, count)| count).sum();
        float(sum) / (f64::from(RATE_PERIODS) * float(PERIOD_MS) / 1_000.0)
    }
}

/// Requests a second since the order; the newest are not counted yet.
fn mean_rate(requests: f64, elapsed: Duration) -> f64 {
    requests / (elapsed.as_secs_f64() - UNCOUNTED_S).max(0.5)
}

// Numbers of answers are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
