//! Waits for the times of a graceful stop.

use {
    actix_rt::Arbiter,
    rattanturn_core::{Time, shutdown::StopSchedule},
    std::{future, thread},
    tokio::sync::{oneshot, watch},
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

/// Waits for a part of a stop, but not longer than until the process is to exit; `None` then.
pub(crate) async fn until_exit<T>(
    schedule: StopSchedule,
    part: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        output = part => Some(output),
        () = sleep_until(Some(schedule.exit_by())) => None,
    }
}

/// Waits until a thread that was told to stop has ended.
pub(crate) async fn ended(arbiter: Arbiter) {
    let (send, receive) = oneshot::channel::<()>();
    let join = move || {
        // An error means that the thread panicked, so that it has ended as well.
        let _ = arbiter.join();
        drop(send);
    };
    if thread::Builder::new().spawn(join).is_ok() {
        // Receiving fails when the sender is dropped.
        let _ = receive.await;
    }
}
