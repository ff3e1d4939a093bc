//! Answers of both versions, counted by each daemon and merged by all.
//!
//! Counters only grow, and merging takes the maximum of each, so datagrams may be lost, repeated or
//! reordered. They are kept for each route and for periods of half a second, so that both versions
//! are compared over the same time, and those of the new version also for each target, so that one
//! faulty target is told from a faulty version. Periods are numbered by each daemon's own clock: if
//! clocks differ, the answers of both versions at one daemon are still counted in the same period.

use {
    crate::NodeId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Counts {
    /// All answers, also lost ones.
    pub answers: u64,
    /// Answers that were failures or were lost.
    pub failed: u64,
    /// Other answers that were slow.
    pub slow: u64,
}

impl Counts {
    /// Number of bad answers.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.failed.saturating_add(self.slow)
    }
}

impl From<(u64, u64, u64)> for Counts {
    fn from((answers, failed, slow): (u64, u64, u64)) -> Self {
        Self {
            answers,
            failed,
            slow,
        }
    }
}

impl From<Counts> for (u64, u64, u64) {
    fn from(counts: Counts) -> Self {
        (counts.answers, counts.failed, counts.slow)
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer whose status is below 500.
    Answered,
    /// With a status of 500 or more, or without an answer although the target may have run it.
    Failed,
    /// The target stated that it did not run the call, or was not reached. It counts for nothing.
    NotRun,
}

/// A call that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Id of the target.
    pub target: &'a str,
    /// Whether the target has the new version.
    pub new: bool,
    /// Whether the target still warms up; its slow answers do not count as bad.
    pub cold: bool,
    /// How the call ended.
    pub outcome: Outcome,
    /// Time from the call to its end.
    pub latency: Duration,
    /// When it ended, by this daemon's clock, in Unix milliseconds.
    pub at_ms: u64,
}

/// Counts of one route by version, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCounts<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Answers of the old version.
    pub old: Counts,
    /// Answers of the new version.
    pub new: Counts,
}

/// Evidence on one order: the answers of both versions, by daemon.
///
/// In JSON it is an object with short keys. Use [`Evidence::split`] for messages of limited size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: String,
    /// The new version.
    #[serde(rename = "v")]
    pub version: String,
    /// [`super::Status::since_ms`] of the order, which tells orders for the same version apart.
    #[serde(rename = "t")]
    pub since_ms: u64,
}

impl Evidence {
    /// Evidence without any answer on the order with this status.
    #[must_use]
    pub fn new(service: &str, version: &str, since_ms: u64) -> Self {
        Self {
            service: service.into(),
            version: version.into(),
            since_ms,
        }
    }

    /// Counts a call that ended at `node`, which is this daemon. Returns whether it is a bad answer
    /// of the new version, which the deciding daemons are to be told at once.
    pub fn record(&mut self, node: NodeId, call: &Call<'_>) -> bool {
        let _ = (node, call);
        false
    }

    /// Takes over counters of other daemons, and returns whether any is new here. Evidence on
    /// another order is ignored.
    pub fn merge(&mut self, other: &Self) -> bool {
        let _ = other;
        false
    }

    /// The evidence that one daemon recorded.
    #[must_use]
    pub fn of_node(&self, node: NodeId) -> Self {
        let _ = node;
        self.clone()
    }

    /// Splits the evidence into parts, each of which takes at most `max_bytes` bytes in JSON and is
    /// to be merged like the whole; the newest periods come first. What does not fit a part alone is
    /// left out.
    #[must_use]
    pub fn split(&self, max_bytes: usize) -> Vec<Self> {
        let _ = max_bytes;
        vec![self.clone()]
    }

    /// Answers of the old and of the new version.
    #[must_use]
    pub fn totals(&self) -> (Counts, Counts) {
        <(Counts, Counts)>::default()
    }

    /// Answers by route.
    #[must_use]
    pub fn routes(&self) -> Vec<RouteCounts<'_>> {
        Vec::new()
    }
}
