//! Waits for the times of a graceful stop.

use {
    rattanturn_core::{Time, shutdown::StopSchedule},
    std::future,
    tokio::sync::watch,
};

/// Completes at a time of the stop's schedule; never while the daemon does not stop.
pub(crate) async fn stop_time(
    mut stop: watch::Receiver<Option<StopSchedule>>,
    time: fn(&StopSchedule) -> Time,
) {
    loop {
        let due = stop.borrow_and_update().as_ref().map(time);
        let changed = tokio::select! {
            () = sleep_until(due) => return,
            changed = stop.changed() => changed,
        };
        if changed.is_err() {
            // The traffic thread ends.
            return future::pending().await;
        }
    }
}

/// Sleeps until a time; without one for ever.
pub(crate) async fn sleep_until(time: Option<Time>) {
    match time {
        Some(time) => crate::clock::sleep_until(time).await,
        None => future::pending().await,
    }
}
