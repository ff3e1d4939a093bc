//! How long threads wait for a processor, as the kernel counts it. A daemon that is late because it
//! had no processor shows nothing about its code.

use {
    rustix::process::Pid,
    std::{collections::HashMap, fs, time::Duration},
};

/// Waits of all threads of a process since they were started; none where the kernel does not say.
fn waits(pid: Pid) -> HashMap<String, Duration> {
    let folder = format!("/proc/{}/task", pid.as_raw_nonzero());
    let Ok(threads) = fs::read_dir(folder) else {
        return HashMap::new();
    };
    let waits = threads.filter_map(|thread| {
        let path = thread.ok()?.path();
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        let waited = Duration::from_nanos(text.split(' ').nth(1)?.parse().ok()?);
        Some((path.to_string_lossy().into_owned(), waited))
    });
    waits.collect()
}

/// Number of the threads of a process that have not ended.
pub(crate) fn thread_count(pid: Pid) -> usize {
    waits(pid).len()
}

/// Longest time for which a thread of a process has waited for a processor since it was started; zero
/// where the kernel does not say.
pub(crate) fn longest_wait(pid: Pid) -> Duration {
    waits(pid).into_values().max().unwrap_or_default()
}

/// The waits of a process between two samples.
#[derive(Debug, Default)]
pub(crate) struct WaitSamples {
    last: HashMap<String, Duration>,
}

impl WaitSamples {
    /// Longest time for which a thread has waited since the last sample. Threads that have been started
    /// since count from their start.
    pub(crate) fn sample(&mut self, pid: Pid) -> Duration {
        let now = waits(pid);
        let since = |(thread, waited): (&String, &Duration)| {
            waited.saturating_sub(self.last.get(thread).copied().unwrap_or_default())
        };
        let longest = now.iter().map(since).max().unwrap_or_default();
        self.last = now;
        longest
    }
}
