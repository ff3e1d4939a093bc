//! Answers of both versions, counted by each daemon and merged by all.
//!
//! Counters only grow, and merging takes the maximum of each, so datagrams may be lost, repeated or
//! reordered. They are kept for each route and for periods of half a second, so that both versions
//! are compared over the same time, and those of the new version also for each target, so that one
//! faulty target is told from a faulty version. Periods are numbered by each daemon's own clock: if
//! clocks differ, the answers of both versions at one daemon are still counted in the same period.
//!
//! The median latency of the old version is known to each daemon for its own calls only. A daemon
//! with few calls on a route judges none of them as slow.

use {
    super::{
        STALE_AFTER,
        counters::{Counts, Period, Route, is_empty},
        latencies::Latencies,
    },
    crate::NodeId,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

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
///
/// ```
/// use {rattanturn_core::{NodeId, rollout::*}, std::time::Duration};
/// let (mut here, mut there) = (Evidence::new("a", "v2", 0), Evidence::new("a", "v2", 0));
/// let call = Call {
///     route: "search",
///     target: "i-1",
///     new: true,
///     cold: false,
///     outcome: Outcome::Failed,
///     latency: Duration::from_millis(20),
///     at_ms: 700,
/// };
/// assert!(there.record(NodeId(2), &call));
/// assert!(here.merge(&there.of_node(NodeId(2))));
/// assert!(!here.merge(&there));
/// assert_eq!(here.totals().1, Counts { answers: 1, failed: 1, slow: 0 });
/// ```
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
    #[serde(rename = "d", default)]
    pub(super) nodes: BTreeMap<NodeId, BTreeMap<String, Route>>,
    #[serde(skip)]
    latencies: BTreeMap<String, Latencies>,
}

impl Evidence {
    /// Evidence without any answer on the order with this status.
    #[must_use]
    pub fn new(service: &str, version: &str, since_ms: u64) -> Self {
        Self {
            service: service.into(),
            version: version.into(),
            since_ms,
            ..Self::default()
        }
    }

    /// Counts a call that ended at `node`, which is this daemon. Returns whether it is a bad answer
    /// of the new version, which the deciding daemons are to be told at once.
    pub fn record(&mut self, node: NodeId, call: &Call<'_>) -> bool {
        if call.outcome == Outcome::NotRun {
            return false;
        }
        let counts = self.judge(call);
        let routes = self.nodes.entry(node).or_default();
        let route = routes.entry(call.route.to_owned()).or_default();
        route.count(call, counts, self.since_ms);
        call.new && counts.bad() > 0
    }

    /// Whether the call failed or was slow. Latencies of cold targets and of failures are no measure
    /// of the old version's usual latency.
    fn judge(&mut self, call: &Call<'_>) -> Counts {
        let failed = call.outcome == Outcome::Failed;
        let latencies = self.latencies.entry(call.route.to_owned()).or_default();
        let slow = !failed && !call.cold && latencies.is_slow(call.latency);
        if !failed && !call.cold && !call.new {
            latencies.add(call.latency);
        }
        Counts {
            answers: 1,
            failed: u64::from(failed),
            slow: u64::from(slow),
        }
    }

    /// Takes over counters of other daemons, and returns whether any is new here. Evidence on
    /// another order is ignored.
    pub fn merge(&mut self, other: &Self) -> bool {
        let id = |e: &Self| (e.service.clone(), e.version.clone(), e.since_ms);
        if id(self) != id(other) {
            return false;
        }
        let mut grew = false;
        for (node, routes) in &other.nodes {
            let ours = self.nodes.entry(*node).or_default();
            for (name, route) in routes {
                grew |= ours.entry(name.clone()).or_default().raise(route);
            }
        }
        grew
    }

    /// The evidence that one daemon recorded.
    #[must_use]
    pub fn of_node(&self, node: NodeId) -> Self {
        let mut out = Self::new(&self.service, &self.version, self.since_ms);
        let routes = self.nodes.get(&node);
        out.nodes.extend(routes.map(|r| (node, r.clone())));
        out
    }

    /// Splits the evidence into parts, each of which takes at most `max_bytes` bytes in JSON and is
    /// to be merged like the whole; the newest periods come first. What does not fit a part alone is
    /// left out.
    ///
    /// ```
    /// # use rattanturn_core::rollout::Evidence;
    /// assert!(Evidence::new("a", "v2", 0).split(1_200).is_empty());
    /// ```
    #[must_use]
    pub fn split(&self, max_bytes: usize) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        for cell in self.cells() {
            let fits = |part: &Self| part.json_len() <= max_bytes;
            if let Some(last) = parts.last_mut() {
                let mut both = last.clone();
                both.merge(&cell);
                if fits(&both) {
                    *last = both;
                    continue;
                }
            }
            parts.extend(fits(&cell).then_some(cell));
        }
        parts
    }

    /// One piece of evidence for each period and target, newest first, each with the totals of its
    /// route.
    fn cells(&self) -> Vec<Self> {
        let mut cells = Vec::new();
        for (node, routes) in &self.nodes {
            for (name, route) in routes {
                for (number, period) in &route.periods {
                    let piece = |period| self.cell(*node, name, route, *number, period);
                    cells.extend(pieces(period).map(|p| (*number, piece(p))));
                }
            }
        }
        cells.sort_by_key(|(number, _)| std::cmp::Reverse(*number));
        cells.into_iter().map(|(_, cell)| cell).collect()
    }

    fn cell(&self, node: NodeId, name: &str, route: &Route, number: u32, period: Period) -> Self {
        let mut out = Self::new(&self.service, &self.version, self.since_ms);
        let route = Route {
            old: route.old,
            new: route.new,
            periods: BTreeMap::from([(number, period)]),
        };
        out.nodes
            .insert(node, BTreeMap::from([(name.to_owned(), route)]));
        out
    }

    fn json_len(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }

    /// Number of answers of both versions that one daemon has counted.
    #[must_use]
    pub fn answers_of(&self, node: NodeId) -> u64 {
        let routes = self.nodes.get(&node).into_iter().flat_map(BTreeMap::values);
        let answers = routes.map(|r| r.old.answers.saturating_add(r.new.answers));
        answers.fold(0, u64::saturating_add)
    }

    /// Answers of the old and of the new version.
    #[must_use]
    pub fn totals(&self) -> (Counts, Counts) {
        let mut totals = <(Counts, Counts)>::default();
        for route in self.routes() {
            totals.0.add(route.old);
            totals.1.add(route.new);
        }
        totals
    }

    /// Answers by route.
    #[must_use]
    pub fn routes(&self) -> Vec<RouteCounts<'_>> {
        let mut routes: BTreeMap<&str, RouteCounts<'_>> = BTreeMap::new();
        for (name, counted) in self.nodes.values().flatten() {
            let (old, new) = <(Counts, Counts)>::default();
            let route: &str = name;
            let sum = routes.entry(route);
            let sum = sum.or_insert(RouteCounts { route, old, new });
            sum.old.add(counted.old);
            sum.new.add(counted.new);
        }
        routes.into_values().collect()
    }
}

/// Answers that a daemon would have had on average in its silence. That it had none at all by chance then
/// has a probability of less than 0.01.
const SILENT_ANSWERS: f64 = 5.0;

/// Whether the evidence of a daemon is missing: it had `answers` in the time `heard` between its first
/// and its newest evidence, and has sent none for `silent`. A daemon without requests sends none either.
///
/// ```
/// use {rattanturn_core::rollout::is_overdue, std::time::Duration};
/// let seconds = Duration::from_secs;
/// assert!(is_overdue(100, seconds(4), seconds(3)));
/// assert!(!is_overdue(100, seconds(4), seconds(1)));
/// assert!(!is_overdue(4, seconds(4), seconds(3)), "it has few requests");
/// ```
#[must_use]
pub fn is_overdue(answers: u64, heard: Duration, silent: Duration) -> bool {
    // Numbers of answers are far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let rate = answers as f64 / heard.as_secs_f64().max(1.0);
    silent >= STALE_AFTER && rate * silent.as_secs_f64() >= SILENT_ANSWERS
}

/// The period with the old version's answers only, if any, then one for each target.
fn pieces(period: &Period) -> impl Iterator<Item = Period> {
    let old = Period {
        old: period.old,
        ..Period::default()
    };
    let new = period.new.iter().map(|(id, counts)| {
        let slots = period.failed_slots.get(id);
        Period {
            old: Counts::default(),
            new: BTreeMap::from([(*id, *counts)]),
            failed_slots: slots.map(|s| (*id, *s)).into_iter().collect(),
        }
    });
    let has_old = !is_empty(&old.old);
    has_old.then_some(old).into_iter().chain(new)
}
