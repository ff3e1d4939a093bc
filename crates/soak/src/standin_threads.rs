//! The threads that run the stand-ins of a run.
//!
//! Stand-ins have threads of their own because the callers' thread measures times of 200 ms, which
//! many targets with large answers would hold up, and because a target that does not run looks like
//! one that fails.

use {actix_rt::Arbiter, eyre::WrapErr, std::cell::Cell, tokio::sync::oneshot};

/// Threads for the store, the targets and the proxies: one for each data centre.
const THREADS: usize = crate::environment::CENTRES.len();

/// Threads that run until this is dropped.
pub(crate) struct StandinThreads {
    threads: Vec<Arbiter>,
    /// Index of the thread that runs the next stand-in.
    next: Cell<usize>,
}

impl StandinThreads {
    pub(crate) fn start() -> Self {
        Self {
            threads: (0..THREADS).map(|_| Arbiter::new()).collect(),
            next: Cell::new(0),
        }
    }

    /// Starts a stand-in with `start` on one of the threads, in turn, and returns what controls it.
    ///
    /// # Errors
    ///
    /// `start` fails, or the thread has ended.
    pub(crate) async fn run<T, S>(&self, start: S) -> eyre::Result<T>
    where
        T: Send + 'static,
        S: AsyncFnOnce() -> eyre::Result<T> + Send + 'static,
    {
        let thread = &self.threads[self.next.get()];
        self.next.set((self.next.get() + 1) % THREADS);
        let (send, receive) = oneshot::channel();
        thread.spawn_fn(move || {
            actix_rt::spawn(async move {
                // Sending fails only if the run has ended.
                let _ = send.send(start().await);
            });
        });
        receive.await.wrap_err("a thread of stand-ins has ended")?
    }
}

impl Drop for StandinThreads {
    fn drop(&mut self) {
        for thread in &self.threads {
            thread.stop();
        }
        // The next run of this process binds the same addresses.
        for thread in self.threads.drain(..) {
            // Joining fails only if the thread panicked.
            let _ = thread.join();
        }
    }
}
