//! Adds up the counts of callers and targets and prints them as a table.

use {
    crate::{
        cluster::{Cluster, TargetHandle},
        load::CallerStats,
    },
    std::{collections::BTreeMap, sync::atomic::Ordering},
};

/// Counts over all targets since their start: work done, and violations of the targets' limits and
/// of at-most-once execution, which must never happen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls that ran to their end.
    pub ran: u64,
    /// Calls that targets refused to shed load.
    pub refused: u64,
    /// Calls that arrived while all slots of their target were in use.
    pub oversubscribed: u64,
    /// Calls that arrived at a cold target beyond its limit of concurrent calls.
    pub cold_overloads: u64,
    /// Calls stopped by a cancellation.
    pub cancelled: u64,
    /// Connections that targets refused because their limit was reached.
    pub refused_connections: u64,
    /// Largest number of connections that were open at one target at the same time.
    pub peak_connections: usize,
    /// Non-idempotent requests that ran more than once; must stay at 0.
    pub duplicates: u64,
    /// Number of runs of each non-idempotent request, by request id.
    pub run_counts: BTreeMap<String, u32>,
}

/// Adds up the counts of all targets.
#[must_use]
pub fn totals(targets: &[TargetHandle]) -> Totals {
    let mut out = Totals::default();
    for target in targets {
        let counters = target.state.counters();
        out.ran += counters.ran;
        out.refused += counters.shed;
        out.oversubscribed += counters.oversubscribed;
        out.cold_overloads += counters.cold_overloads;
        out.cancelled += counters.cancelled;
        out.refused_connections += target.connections.refused.load(Ordering::Relaxed);
        let peak = target.connections.peak.load(Ordering::Relaxed);
        out.peak_connections = out.peak_connections.max(peak);
        for (id, runs) in counters.once_runs {
            *out.run_counts.entry(id).or_default() += runs;
        }
    }
    out.duplicates = out.run_counts.values().filter(|n| **n > 1).count() as u64;
    out
}

/// Number of requests that were answered with "not run" although a target ran them; must be 0.
#[must_use]
pub fn false_not_run(stats: &BTreeMap<String, CallerStats>, totals: &Totals) -> usize {
    let ids = stats.values().flat_map(|s| &s.not_run_ids);
    ids.filter(|id| totals.run_counts.contains_key(*id)).count()
}

/// Prints one row per route and the targets' totals; `seconds` is the length of the phase.
pub fn print(title: &str, seconds: f64, stats: &BTreeMap<String, CallerStats>, cluster: &Cluster) {
    println!("\n{title} ({seconds:.1} s)");
    println!(
        "{:<18} {:>7} {:>7} {:>8} {:>8} {:>8} {:>9} {:>7} {:>6} {:>6} {:>7} {:>6} {:>5}",
        "route",
        "asked",
        "q/s",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "coverage",
        "extra",
        "short",
        "notrun",
        "unknown",
        "broken",
        "wrong"
    );
    for (route, s) in stats {
        let ms = |q: f64| micros_as_ms(s.latency.value_at_quantile(q));
        println!(
            "{:<18} {:>7} {:>7.1} {:>8.1} {:>8.1} {:>8.1} {:>8.3}% {:>6.2}% {:>6} {:>6} {:>7} {:>6} {:>5}",
            route,
            s.total(),
            crate::load::ratio(s.full + s.partial, 1) / seconds,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            s.coverage() * 100.0,
            s.extra_ratio() * 100.0,
            s.insufficient,
            s.not_run,
            s.unknown,
            s.failed,
            s.wrong,
        );
        if !s.reasons.is_empty() {
            println!(
                "{:<18} missing: {:?}, restarts: {}",
                "", s.reasons, s.calls[3]
            );
        }
    }
    let t = totals(&cluster.targets);
    println!(
        "targets so far: ran {}, shed {}, cancelled {}, oversubscribed slots {}, beyond cold \
         allowance {}, connections refused {}, most connections {}, doubled {}, false \"not run\" {}",
        t.ran,
        t.refused,
        t.cancelled,
        t.oversubscribed,
        t.cold_overloads,
        t.refused_connections,
        t.peak_connections,
        t.duplicates,
        false_not_run(stats, &t),
    );
}

/// Converts microseconds to milliseconds without rounding.
#[must_use]
#[allow(clippy::cast_precision_loss)] // latencies here are far below 2^52 microseconds
pub fn micros_as_ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
