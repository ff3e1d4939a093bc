//! The slots of a target: how many requests it runs at once. The others wait in order of arrival.

use {
    actix_rt::time::sleep,
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// Load that a target without a limit reports.
const UNLIMITED_LOAD: &str = "1,0,3";

#[derive(Debug, Default)]
pub(crate) struct Slots {
    limit: Mutex<Option<(usize, Arc<Semaphore>)>>,
    waiting: AtomicUsize,
}

/// A request that waits for a slot. Dropping it ends the wait, also when its caller disconnects.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Sets the number of slots for requests that arrive from now on; `None` for no limit.
    pub(crate) fn set(&self, count: Option<usize>) {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        *limit = count.map(|n| (n, Arc::new(Semaphore::new(n))));
    }

    /// Runs a request for a time, once a slot is free.
    pub(crate) async fn run(&self, time: Duration) {
        let Some((_, slots)) = self.current() else {
            return sleep(time).await;
        };
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let waiting = Waiting(&self.waiting);
        // An error would mean that the semaphore was closed, which nothing does.
        let _slot = slots.acquire().await;
        drop(waiting);
        sleep(time).await;
    }

    /// Value of the header that reports the load: running, waiting, slots.
    pub(crate) fn load(&self) -> String {
        let Some((count, slots)) = self.current() else {
            return UNLIMITED_LOAD.to_owned();
        };
        let running = count.saturating_sub(slots.available_permits());
        let waiting = self.waiting.load(Ordering::Relaxed);
        format!("{running},{waiting},{count}")
    }

    fn current(&self) -> Option<(usize, Arc<Semaphore>)> {
        let limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.clone()
    }
}
