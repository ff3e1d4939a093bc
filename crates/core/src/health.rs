//! Whether a target is down as far as its last calls tell.
//!
//! A request over many shards that cannot be covered any more is refused at once instead of being
//! held until its deadline, and does not load the targets that still answer. So a target that
//! could not be connected to, or that was silent several times in a row, counts as down until a
//! connection of no request's has been made to it.

use {crate::Time, std::time::Duration};

/// Time from the first failure to the first probe; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest time between two probes: a target that is back must be found soon.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Calls without an answer in a row that count as a failure: one may be a pause of the target.
const SILENT_CALLS: u32 = 2;

/// What the last calls to one target tell.
///
/// ```
/// use rattanturn_core::{Time, health::TargetHealth};
/// let mut outage = TargetHealth::default();
/// let now = Time::from_millis(1_000);
/// outage.connect_failed(now);
/// assert!(outage.is_down() && !outage.probe_due(now));
/// assert!(outage.probe_due(Time::from_millis(1_200)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    silent: u32,
    probe: Time,
}

impl TargetHealth {
    /// No connection could be made.
    pub fn connect_failed(&mut self, now: Time) {
        let pause = FIRST_PAUSE * (1 << self.failures.min(4));
        self.failures += 1;
        self.probe = now + pause.min(MAX_PAUSE);
    }

    /// A call was not answered in its time.
    pub fn timed_out(&mut self, now: Time) {
        self.silent += 1;
        if self.silent >= SILENT_CALLS {
            self.connect_failed(now);
        }
    }

    /// The target answered, or a probe reached it.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Whether the target counts as down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// Whether it is time to try whether it is back.
    #[must_use]
    pub fn probe_due(&self, now: Time) -> bool {
        self.is_down() && now >= self.probe
    }
}
