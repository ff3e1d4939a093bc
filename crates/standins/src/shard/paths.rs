//! What the path of a request asks of a target.
//!
//! A segment `run-N` makes the request run N ms longer, and `copies-N` makes its answer hold the
//! records N times. So one target has short and long requests, small and large answers at a time.

use std::time::Duration;

/// Time by which a request with this path runs longer than the target's others.
pub(super) fn extra_time(path: &str) -> Duration {
    Duration::from_millis(number_after(path, "run-").unwrap_or(0))
}

/// How often the answer to a request with this path holds the target's records.
pub(super) fn copies(path: &str) -> usize {
    let copies = number_after(path, "copies-").unwrap_or(1);
    usize::try_from(copies).unwrap_or(1)
}

fn number_after(path: &str, prefix: &str) -> Option<u64> {
    let mut segments = path.split('/');
    segments.find_map(|s| s.strip_prefix(prefix)?.parse().ok())
}
