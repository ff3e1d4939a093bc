//! Bounds how many log lines of one sort are written, because callers may cause any number of them.

use {crate::Time, std::time::Duration};

/// Length of the period that a limit applies to.
const PERIOD: Duration = Duration::from_secs(1);

/// Limits the lines of one sort to a number a second, and counts those that are left out.
///
/// ```
/// use {rattanturn_core::{Time, line_limit::LineLimit}, std::time::Duration};
/// let start = Time::from_micros(1);
/// let mut limit = LineLimit::new(1);
/// assert_eq!(limit.admit(start), Some(0));
/// assert_eq!(limit.admit(start), None);
/// assert_eq!(limit.admit(start + Duration::from_secs(1)), Some(1));
/// ```
#[derive(Clone, Debug)]
pub struct LineLimit {
    per_second: u32,
    period_start: Time,
    /// Lines written in the period.
    written: u32,
    /// Lines left out since the last one that was written.
    left_out: u64,
}

impl LineLimit {
    /// Creates a limit of `per_second` lines.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            period_start: Time::ZERO,
            written: 0,
            left_out: 0,
        }
    }

    /// Whether a line may be written at `now`: if so, the number of lines left out before it.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        if now.since(self.period_start) >= PERIOD {
            self.period_start = now;
            self.written = 0;
        }
        if self.written == self.per_second {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
