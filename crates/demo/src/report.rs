//! Prints what callers and targets saw.

use {
    crate::{
        cluster::{Cluster, TargetHandle},
        load::CallerStats,
    },
    std::{collections::BTreeMap, sync::atomic::Ordering},
};

/// Totals over all targets of what must never happen, and of what ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls that ran.
    pub ran: u64,
    /// Calls refused by targets.
    pub refused: u64,
    /// Calls that arrived while all slots were in use.
    pub oversubscribed: u64,
    /// Calls beyond a cold target's allowance.
    pub cold_excess: u64,
    /// Calls stopped.
    pub cancelled: u64,
    /// Connections beyond a target's limit.
    pub refused_connections: u64,
    /// Most connections open at one target.
    pub peak_connections: usize,
    /// Non-idempotent requests that ran more than once.
    pub duplicates: u64,
    /// Runs of each non-idempotent request.
    pub run_counts: BTreeMap<String, u32>,
}

/// Adds up what targets saw.
#[must_use]
pub fn totals(targets: &[TargetHandle]) -> Totals {
    let mut out = Totals::default();
    for target in targets {
        let tally = target.state.tally();
        out.ran += tally.ran;
        out.refused += tally.shed;
        out.oversubscribed += tally.oversubscribed;
        out.cold_excess += tally.overheated;
        out.cancelled += tally.cancelled;
        out.refused_connections += target.connections.refused.load(Ordering::Relaxed);
        let peak = target.connections.peak.load(Ordering::Relaxed);
        out.peak_connections = out.peak_connections.max(peak);
        for (id, runs) in tally.once {
            *out.run_counts.entry(id).or_default() += runs;
        }
    }
    out.duplicates = out.run_counts.values().filter(|n| **n > 1).count() as u64;
    out
}

/// Requests told "not run" that ran.
#[must_use]
pub fn false_not_run(seen: &BTreeMap<String, CallerStats>, totals: &Totals) -> usize {
    let told = seen.values().flat_map(|s| &s.not_run_ids);
    told.filter(|id| totals.run_counts.contains_key(*id))
        .count()
}

/// Prints one row for each route and the targets' totals.
pub fn print(title: &str, seconds: f64, seen: &BTreeMap<String, CallerStats>, cluster: &Cluster) {
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
    for (route, s) in seen {
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
        t.cold_excess,
        t.refused_connections,
        t.peak_connections,
        t.duplicates,
        false_not_run(seen, &t),
    );
}

/// Microseconds as milliseconds.
#[must_use]
#[allow(clippy::cast_precision_loss)] // latencies here are far below 2^52 microseconds
pub fn micros_as_ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
