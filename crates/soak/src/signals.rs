//! Whether this process, and thereby each daemon that it starts, ignores SIGINT.
//!
//! A shell lets programs that it starts in the background ignore SIGINT. A daemon inherits that until
//! it has installed its handlers, so a signal that comes before is lost, and the stop with it.

use {eyre::ensure, rustix::process::Signal};

#[cfg(test)]
mod tests;

/// Where the kernel lists what a process ignores. Other systems than Linux have no such file.
const STATUS_FILE: &str = "/proc/self/status";

/// Fails if this process ignores SIGINT.
pub(crate) fn ensure_interruptible() -> eyre::Result<()> {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    ensure!(
        !ignores_interrupt(&status),
        "{STATUS_FILE}: this process ignores SIGINT, and daemons would at their start; run it in the \
         foreground, or with `env --default-signal=INT`"
    );
    Ok(())
}

/// Whether a process with this status ignores SIGINT.
fn ignores_interrupt(status: &str) -> bool {
    let mut lines = status.lines();
    let mask = lines.find_map(|line| line.strip_prefix("SigIgn:"));
    let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.unwrap_or(0) >> (Signal::INT.as_raw() - 1) & 1 == 1
}
