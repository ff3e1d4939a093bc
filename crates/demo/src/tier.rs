//! The scenario "tier": callers on the users' platform while servers stand still, refuse and
//! lose answers, and while all daemons die at once and others start.

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

/// Shards of the index, each with two servers.
const SHARDS: usize = 20;
/// Callers at once, each with one request at a time.
const CALLERS: usize = 8;
/// Pause of a caller between two requests.
const THINK_TIME: Duration = Duration::from_millis(40);
/// How long a server stands still.
const PAUSE: Duration = Duration::from_millis(250);

/// What the callers of one phase saw.
struct CallerStats {
    latency: Histogram<u64>,
    whole: u32,
    partial: u32,
    refused: u32,
    failed: u32,
}

/// Runs all phases; false if one of them served less than it must.
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
    let mut good = phase("steady", &cluster, time).await?;
    let pauses = {
        let servers = cluster.servers.clone();
        actix_rt::spawn(async move {
            // The two servers of a shard stand still at different times.
            let first = servers.iter().step_by(2);
            let second = servers.iter().skip(1).step_by(2);
            for server in first.chain(second).cycle() {
                server.pause(PAUSE);
                sleep(PAUSE / 2).await;
            }
        })
    };
    good &= phase("servers stand still", &cluster, time).await?;
    pauses.abort();
    for server in cluster.servers.iter().step_by(8) {
        server.set_fault(Fault::Doubled);
    }
    for server in cluster.servers.iter().skip(4).step_by(8) {
        server.set_fault(Fault::Cut);
    }
    good &= phase("answers spoilt", &cluster, time).await?;
    for server in &cluster.servers {
        server.set_fault(Fault::None);
    }
    cluster.kill_all();
    let start = Instant::now();
    cluster.start_daemons(daemons)?;
    cluster.wait_ready().await?;
    println!(
        "all daemons died; others serve after {:.2} s",
        start.elapsed().as_secs_f64()
    );
    good &= phase("after the death", &cluster, time).await?;
    Ok(good)
}

async fn phase(name: &str, cluster: &TierCluster, time: Duration) -> eyre::Result<bool> {
    let seen = Rc::new(RefCell::new(CallerStats {
        latency: Histogram::new(3)?,
        whole: 0,
        partial: 0,
        refused: 0,
        failed: 0,
    }));
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let at = cluster.daemons[i % cluster.daemons.len()].addresses().front;
            actix_rt::spawn(call(at, i, Instant::now() + time, seen.clone()))
        })
        .collect();
    for caller in callers {
        caller.await?;
    }
    let seen = seen.borrow();
    let asked = seen.whole + seen.partial + seen.refused + seen.failed;
    println!(
        "{name:<21} {asked:>5} {:>6} {:>7} {:>7} {:>6} {:>7.1} {:>7.1}",
        seen.whole,
        seen.partial,
        seen.refused,
        seen.failed,
        Duration::from_micros(seen.latency.value_at_quantile(0.5)).as_secs_f64() * 1e3,
        Duration::from_micros(seen.latency.value_at_quantile(0.99)).as_secs_f64() * 1e3,
    );
    Ok(asked > 0 && seen.refused + seen.failed == 0)
}

async fn call(at: SocketAddr, caller: usize, end: Instant, seen: Rc<RefCell<CallerStats>>) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let begun = Instant::now();
        let answer = request(at, "/all/x", &format!("{caller}-{number}"), "").await;
        {
            let mut seen = seen.borrow_mut();
            let took = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
            // The histogram resizes itself, so every time fits.
            let _ = seen.latency.record(took);
            match answer {
                Some(a) if a.status == 200 && a.header("x-missing-shards") == "0" => {
                    seen.whole += 1;
                }
                Some(a) if a.status == 200 => seen.partial += 1,
                Some(a) if a.status == 503 => seen.refused += 1,
                _ => seen.failed += 1,
            }
        }
        sleep(THINK_TIME).await;
    }
}
