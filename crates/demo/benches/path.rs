//! Measures latency, calls and processor time per query by the width of the fan-out, with one
//! daemon and with eight.
//!
//! For comparison it also measures a client that calls the targets directly. Clients, daemons and
//! targets share one machine, so the figures include their contention for the processor.

use {
    actix_rt::System,
    awc::Client,
    futures::future::join_all,
    hdrhistogram::Histogram,
    rattanturn_demo::{
        cluster::{Cluster, Options},
        load::{CallerStats, DaemonResolver, RouteLoad, ratio, run},
        report::micros_as_ms,
    },
    std::{
        fmt::Write,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Numbers of services that a query fans out to.
const WIDTHS: [usize; 3] = [20, 30, 270];
/// Time over which queries through the daemons are measured; direct queries get half of it.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Time of load before the measurement, in which connections are opened.
const WARMUP_TIME: Duration = Duration::from_secs(2);
/// Calls per second to all targets together, so that their total load is the same for every width.
const CALL_RATE: f64 = 2_400.0;

fn main() {
    // `cargo test --benches` passes --test: nothing is measured then.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    println!(
        "{:>6} {:>8} {:>6} {:>9} {:>9} {:>9} {:>10} {:>10} {:>11} {:>13}",
        "width",
        "daemons",
        "q/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "coverage",
        "calls/q",
        "cpu us/q",
        "direct p50/p99"
    );
    System::new().block_on(async {
        for width in WIDTHS {
            for daemons in [1, 8] {
                measure(width, daemons).await;
            }
        }
    });
}

/// Text of pools.ini with `width` services of two targets each.
fn pools(width: usize) -> String {
    let mut out = String::from("[data-centre a]\nregion = r\nstate = in\n");
    out.push_str("[pool p]\nslots = 3\nconnections = 30\nconnect-time = 6ms\n");
    for i in 0..width {
        let port = 10_000 + i * 2;
        let pair = format!("a@127.0.0.1:{port}, a@127.0.0.1:{}", port + 1);
        let _ = write!(out, "[service p/s{i}]\ntargets = {pair}\n");
    }
    out
}

async fn measure(width: usize, daemons: usize) {
    let mut options = Options::new(
        "[route q]\nkind = fan-out\npool = p\ndeadline = 1s\nmin-coverage = 0.9\n",
        &pools(width),
    );
    options.daemons = daemons;
    options.centre_delay = Duration::ZERO;
    let cluster = Cluster::spawn(options).await.expect("the cluster starts");
    // Widths are far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let rate = CALL_RATE / width as f64;
    let load = RouteLoad {
        route: "q".into(),
        rate,
        idempotent: true,
    };
    run(
        DaemonResolver::new(cluster.frontends(), "a"),
        load.clone(),
        WARMUP_TIME,
        1,
    )
    .await;
    let before = cpu_seconds(&cluster).await;
    let stats = run(
        DaemonResolver::new(cluster.frontends(), "a"),
        load,
        MEASURE_TIME,
        2,
    )
    .await;
    let cpu_spent = cpu_seconds(&cluster).await - before;
    let direct = measure_direct(&cluster, rate).await;
    print_row(width, daemons, rate, &stats, cpu_spent, &direct);
    cluster.stop();
}

fn print_row(
    width: usize,
    daemons: usize,
    rate: f64,
    stats: &CallerStats,
    cpu_spent: f64,
    direct: &Histogram<u64>,
) {
    let ms = |h: &Histogram<u64>, q: f64| micros_as_ms(h.value_at_quantile(q));
    let calls: u64 = stats.calls[..3].iter().sum();
    println!(
        "{width:>6} {daemons:>8} {rate:>6.1} {:>9.1} {:>9.1} {:>9.1} {:>9.3}% {:>10.1} {:>11.0} {:>6.1}/{:.1}",
        ms(&stats.latency, 0.5),
        ms(&stats.latency, 0.99),
        ms(&stats.latency, 0.999),
        stats.coverage() * 100.0,
        ratio(calls, stats.total()),
        cpu_spent * 1e6 / ratio(stats.total(), 1),
        ms(direct, 0.5),
        ms(direct, 0.99),
    );
}

/// Processor time that all traffic threads have used so far, in seconds.
async fn cpu_seconds(cluster: &Cluster) -> f64 {
    // Threads publish their counters at intervals; the state dump lags behind by one of them.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let states = cluster.states().await;
    let threads = states
        .iter()
        .filter_map(|s| s["threads"].as_array())
        .flatten();
    threads.filter_map(|t| t["cpu_s"].as_f64()).sum()
}

/// Latency in microseconds of queries that a client sends directly to one target of each service,
/// without hedges and retries. Only queries whose calls all succeed are recorded.
async fn measure_direct(cluster: &Cluster, rate: f64) -> Histogram<u64> {
    let targets: Vec<SocketAddr> = cluster.targets.iter().step_by(2).map(|t| t.addr).collect();
    let connector = awc::Connector::new().limit(0);
    let client = Client::builder().connector(connector).finish();
    let mut latency = Histogram::new(3).expect("three digits are allowed");
    let gap = Duration::from_secs_f64(1.0 / rate);
    let start = Instant::now();
    let mut tasks = Vec::new();
    while start.elapsed() < MEASURE_TIME / 2 {
        let (client, targets) = (client.clone(), targets.clone());
        let id = tasks.len();
        tasks.push(actix_rt::spawn(async move {
            let sent_at = Instant::now();
            let calls = targets.iter().map(|t| call(&client, *t, id));
            let all = join_all(calls).await.into_iter().all(|ok| ok);
            all.then(|| sent_at.elapsed())
        }));
        actix_rt::time::sleep(gap).await;
    }
    let sent = tasks.len();
    for task in tasks {
        if let Ok(Some(took)) = task.await {
            let _ = latency.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
    }
    // Only daemons queue calls: a direct call that finds no free slot is refused. The printed
    // counts tell how many queries the latencies leave out.
    println!("direct: {} of {sent} queries complete", latency.len());
    latency
}

/// Calls one target and returns whether it succeeded. Reads the whole answer, so that the
/// connection can be used again.
async fn call(client: &Client, target: SocketAddr, id: usize) -> bool {
    let request = client.post(format!("http://{target}/call"));
    let sent = request
        .insert_header(("x-call-id", id.to_string()))
        .send_body("x")
        .await;
    let Ok(mut response) = sent else { return false };
    response.body().await.is_ok() && response.status().is_success()
}
