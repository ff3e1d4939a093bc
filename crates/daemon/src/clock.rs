//! The process's clocks as the decisions see them.

use {
    rattanturn_core::Time,
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the process first asked.
pub(crate) fn now() -> Time {
    let origin = ORIGIN.get_or_init(Instant::now);
    let micros = u64::try_from(origin.elapsed().as_micros()).unwrap_or(u64::MAX);
    // Zero stands for "never" in shared cells.
    Time::from_micros(micros + 1)
}

/// Milliseconds since 1970 by the wall clock.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since)
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Whole microseconds of a duration.
pub(crate) fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Sleeps until `time`.
pub(crate) async fn sleep_until(time: Time) {
    actix_rt::time::sleep(time.since(now())).await;
}
