//! Health of a target, judged by the outcomes of its last calls.
//!
//! A request over many shards that can no longer reach enough of them is refused at once. Holding
//! it until its deadline would only add load to the targets that still answer. A target therefore
//! counts as down once a connection to it fails or several calls in a row time out. It counts as
//! up again once it answers a call or accepts the connection of a probe, which carries no request.

use {crate::Time, std::time::Duration};

/// Time from the first failure to the first probe; it doubles with each further failure.
const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Upper bound of the time between two probes, so that a target that is up again is found soon.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(600);
/// Number of timeouts in a row that count as a failure. A single one may come from a short pause
/// of the target.
const TIMEOUT_THRESHOLD: u32 = 2;

/// Failure detector of one target.
///
/// ```
/// use rattanturn_core::{Time, health::TargetHealth};
/// let mut health = TargetHealth::default();
/// let now = Time::from_millis(1_000);
/// health.connect_failed(now);
/// assert!(health.is_down() && !health.probe_due(now));
/// assert!(health.probe_due(Time::from_millis(1_200)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    /// Failures since the last success; the target is down if there is one.
    failures: u32,
    /// Timeouts since the last success.
    timeouts: u32,
    /// Time of the next probe while the target is down.
    probe_at: Time,
}

impl TargetHealth {
    /// Records that a connection could not be opened: the target is down.
    pub fn connect_failed(&mut self, now: Time) {
        let delay = INITIAL_PROBE_DELAY * (1 << self.failures.min(4));
        self.failures += 1;
        self.probe_at = now + delay.min(MAX_PROBE_DELAY);
    }

    /// Records a call without an answer in time; the target is down after several in a row.
    pub fn timed_out(&mut self, now: Time) {
        self.timeouts += 1;
        if self.timeouts >= TIMEOUT_THRESHOLD {
            self.connect_failed(now);
        }
    }

    /// Records that the target answered a call or accepted a probe's connection: it is up.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Whether the target counts as down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// Whether the target is down and its next probe is due.
    #[must_use]
    pub fn probe_due(&self, now: Time) -> bool {
        self.is_down() && now >= self.probe_at
    }
}
