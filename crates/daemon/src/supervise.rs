//! Notices the end of control, and tells what a panic said.

use {
    futures::FutureExt,
    std::{any::Any, io, panic::AssertUnwindSafe},
};

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
