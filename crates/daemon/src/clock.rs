//! Reads the monotonic clock and the wall clock.
//!
//! Decisions within a process use [`now`], which no change of the wall clock disturbs. Times that
//! other processes must understand use [`unix_ms`].

use {
    rattanturn_core::Time,
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the first call in this process; always above [`Time::ZERO`].
pub(crate) fn now() -> Time {
    let origin = ORIGIN.get_or_init(Instant::now);
    let micros = u64::try_from(origin.elapsed().as_micros()).unwrap_or(u64::MAX);
    // Zero is reserved for "never": a lease that expires at zero is not held.
    Time::from_micros(micros + 1)
}

/// Wall clock time in milliseconds since 1970; 0 if the clock is set to an earlier time.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since)
}

/// Converts a duration to milliseconds, rounded down.
pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a duration to microseconds, rounded down.
pub(crate) fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Sleeps until `time` on the clock of [`now`]; returns at once if it has passed.
pub(crate) async fn sleep_until(time: Time) {
    actix_rt::time::sleep(time.since(now())).await;
}
