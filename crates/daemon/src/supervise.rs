//! Keeps background tasks running after a panic.
//!
//! A runtime drops a task that panics, and nobody notices unless the task is awaited. What the task did
//! for callers' requests would be missing from then on. So tasks without end run under [`restarted`].
//! The control threads are the exception: their state may be inconsistent after a panic, so the
//! daemon stops gracefully instead, and its supervisor starts it again.

use {
    futures::FutureExt,
    std::{any::Any, io, panic::AssertUnwindSafe, rc::Rc, time::Duration},
};

#[cfg(test)]
mod tests;

/// Pause before a task is started again, so that one that panics at once does not keep its thread
/// from serving requests.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs the future that `start` makes until it ends by itself, and starts it again after each panic.
///
/// `task` names it in the log. State that outlives a run must be valid whenever the future waits or
/// panics.
pub(crate) async fn restarted<F: Future>(
    task: &'static str,
    mut start: impl FnMut() -> F,
) -> F::Output {
    loop {
        if let Some(output) = unless_panicked(task, async { start().await }).await {
            return output;
        }
        actix_rt::time::sleep(RESTART_DELAY).await;
    }
}

/// Runs a future; `None` after a panic, which is logged and counted. The caller starts the task again.
pub(crate) async fn unless_panicked<T>(
    task: &'static str,
    future: impl Future<Output = T>,
) -> Option<T> {
    let panic = match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => return Some(output),
        Err(panic) => panic,
    };
    metrics::counter!("rattanturn_panicked_tasks_total", "task" => task).increment(1);
    let panic = panic_text(&*panic);
    tracing::error!(
        task,
        panic,
        "a background task panicked; it is started again"
    );
    None
}

/// Starts a task on the current thread that is [`restarted`] after each panic.
pub(crate) fn spawn<F>(task: &'static str, start: impl FnMut() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    actix_rt::spawn(restarted(task, start));
}

/// Starts a duty on the current thread that is done at intervals. It is a task of its own, so that one
/// that panics each time keeps no other from being done.
pub(crate) fn spawn_periodic(task: &'static str, interval: Duration, duty: impl Fn() + 'static) {
    let duty = Rc::new(duty);
    spawn(task, move || {
        let duty = duty.clone();
        async move {
            loop {
                actix_rt::time::sleep(interval).await;
                duty();
            }
        }
    });
}

/// Starts control on the current thread and logs its end, if that was not asked for. The program
/// notices the end as well, and stops the daemon.
pub(crate) fn spawn_control(control: impl Future<Output = io::Result<()>> + 'static) {
    actix_rt::spawn(async move {
        match AssertUnwindSafe(control).catch_unwind().await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!(%error, "the control thread stopped after an error"),
            Err(panic) => {
                let panic = panic_text(&*panic);
                tracing::error!(panic, "the control thread stopped by a panic");
            }
        }
    });
}

/// Text of a panic.
pub(crate) fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("a value that is no text")
}
