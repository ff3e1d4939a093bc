//! The scenario "tier": callers of a query tier while its servers stall and send broken answers,
//! and after all daemons are killed at once and replaced.

use {
    actix_rt::time::sleep,
    hdrhistogram::Histogram,
    rattanturn_demo::tier_cluster::{Options, TierCluster, request},
    rattanturn_standins::shard::Fault,
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Shards of the index, each with one server in each of two data centres.
const SHARDS: usize = 20;
/// Concurrent callers, each with one request at a time.
const CALLERS: usize = 8;
/// Pause of a caller between an answer and its next request.
const THINK_TIME: Duration = Duration::from_millis(40);
/// How long a server stalls.
const STALL_TIME: Duration = Duration::from_millis(250);

/// Counts of what the callers of one phase received; the latencies are in microseconds.
struct CallerStats {
    latency: Histogram<u64>,
    complete: u32,
    partial: u32,
    refused: u32,
    failed: u32,
}

/// Runs all phases, each for `time`, and prints a row for each.
///
/// Returns false if a phase had no requests, or one of its requests was refused or failed. Partial
/// answers are allowed.
pub(crate) async fn run(daemons: usize, time: Duration) -> eyre::Result<bool> {
    let start = Instant::now();
    let options = Options {
        shards: SHARDS,
        daemons,
    };
    let mut cluster = TierCluster::spawn(options).await?;
    println!(
        "{daemons} daemons, {SHARDS} shards of 2 servers, ready after {:.1} s",
        start.elapsed().as_secs_f64()
    );
    println!("phase                 asked  whole partial refused failed  p50 ms  p99 ms");
    let mut ok = run_phase("steady", &cluster, time).await?;
    let stalls = {
        let servers = cluster.servers.clone();
        actix_rt::spawn(async move {
            // The two servers of a shard are paused at different times, so that one can answer.
            let first = servers.iter().step_by(2);
            let second = servers.iter().skip(1).step_by(2);
            for server in first.chain(second).cycle() {
                server.pause(STALL_TIME);
                sleep(STALL_TIME / 2).await;
            }
        })
    };
    ok &= run_phase("servers stand still", &cluster, time).await?;
    stalls.abort();
    for server in cluster.servers.iter().step_by(8) {
        server.set_fault(Fault::Duplicated);
    }
    for server in cluster.servers.iter().skip(4).step_by(8) {
        server.set_fault(Fault::Truncated);
    }
    ok &= run_phase("answers spoilt", &cluster, time).await?;
    for server in &cluster.servers {
        server.set_fault(Fault::None);
    }
    cluster.kill_all();
    let start = Instant::now();
    cluster.start_daemons(daemons)?;
    cluster.wait_ready().await?;
    println!(
        "all daemons were killed; their replacements are ready after {:.2} s",
        start.elapsed().as_secs_f64()
    );
    ok &= run_phase("after the death", &cluster, time).await?;
    Ok(ok)
}

async fn run_phase(name: &str, cluster: &TierCluster, time: Duration) -> eyre::Result<bool> {
    let stats = Rc::new(RefCell::new(CallerStats {
        latency: Histogram::new(3)?,
        complete: 0,
        partial: 0,
        refused: 0,
        failed: 0,
    }));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let at = cluster.daemons[i % cluster.daemons.len()].addresses().front;
            actix_rt::spawn(run_caller(at, i, Instant::now() + time, stats.clone()))
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    let stats = stats.borrow();
    let asked = stats.complete + stats.partial + stats.refused + stats.failed;
    println!(
        "{name:<21} {asked:>5} {:>6} {:>7} {:>7} {:>6} {:>7.1} {:>7.1}",
        stats.complete,
        stats.partial,
        stats.refused,
        stats.failed,
        Duration::from_micros(stats.latency.value_at_quantile(0.5)).as_secs_f64() * 1e3,
        Duration::from_micros(stats.latency.value_at_quantile(0.99)).as_secs_f64() * 1e3,
    );
    Ok(asked > 0 && stats.refused + stats.failed == 0)
}

async fn run_caller(at: SocketAddr, caller: usize, end: Instant, stats: Rc<RefCell<CallerStats>>) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let start = Instant::now();
        let answer = request(at, "/all/x", &format!("{caller}-{number}"), "").await;
        {
            let mut stats = stats.borrow_mut();
            let took = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes itself, so recording cannot fail.
            let _ = stats.latency.record(took);
            match answer {
                Some(a) if a.status == 200 && a.header("x-missing-shards") == "0" => {
                    stats.complete += 1;
                }
                Some(a) if a.status == 200 => stats.partial += 1,
                Some(a) if a.status == 503 => stats.refused += 1,
                _ => stats.failed += 1,
            }
        }
        sleep(THINK_TIME).await;
    }
}
