//! The old version's usual latency on a route at one daemon, against which slow answers are judged.

use std::{collections::VecDeque, time::Duration};

/// An answer is slow if it takes more than this multiple of the old version's median.
const SLOW_FACTOR: u32 = 3;
/// Latencies that are kept for the median.
const MAX_LATENCIES: usize = 64;
/// Latencies from which on answers are judged. Of five, three must be off for the median to be.
const MIN_LATENCIES: usize = 5;

/// The newest latencies of the old version, and their median.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Latencies {
    newest: VecDeque<Duration>,
    median: Duration,
}

impl Latencies {
    pub(super) fn add(&mut self, latency: Duration) {
        if self.newest.len() == MAX_LATENCIES {
            self.newest.pop_front();
        }
        self.newest.push_back(latency);
        let mut sorted: Vec<Duration> = self.newest.iter().copied().collect();
        let middle = sorted.len() / 2;
        self.median = *sorted.select_nth_unstable(middle).1;
    }

    pub(super) fn is_slow(&self, latency: Duration) -> bool {
        self.newest.len() >= MIN_LATENCIES && latency > self.median * SLOW_FACTOR
    }
}
