//! The query path: latency, calls and processor time for a query, by width of the fan-out, and
//! the overhead over calling the targets directly.

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

const WIDTHS: [usize; 3] = [20, 30, 270];
const TIME: Duration = Duration::from_secs(8);
const WARM: Duration = Duration::from_secs(2);
/// Calls a second in all, so that every width loads the targets alike.
const CALLS_A_SECOND: f64 = 2_400.0;

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
    let cluster = Cluster::spawn(options)
        .await
        .expect("the deployment starts");
    // Widths are far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let rate = CALLS_A_SECOND / width as f64;
    let stream = RouteLoad {
        route: "q".into(),
        rate,
        idempotent: true,
    };
    run(
        DaemonResolver::new(cluster.frontends(), "a"),
        stream.clone(),
        WARM,
        1,
    )
    .await;
    let before = cpu(&cluster).await;
    let seen = run(
        DaemonResolver::new(cluster.frontends(), "a"),
        stream,
        TIME,
        2,
    )
    .await;
    let spent = cpu(&cluster).await - before;
    let direct = direct(&cluster, rate).await;
    print(width, daemons, rate, &seen, spent, &direct);
    cluster.stop();
}

fn print(
    width: usize,
    daemons: usize,
    rate: f64,
    seen: &CallerStats,
    spent: f64,
    direct: &Histogram<u64>,
) {
    let ms = |h: &Histogram<u64>, q: f64| micros_as_ms(h.value_at_quantile(q));
    let calls: u64 = seen.calls[..3].iter().sum();
    println!(
        "{width:>6} {daemons:>8} {rate:>6.1} {:>9.1} {:>9.1} {:>9.1} {:>9.3}% {:>10.1} {:>11.0} {:>6.1}/{:.1}",
        ms(&seen.latency, 0.5),
        ms(&seen.latency, 0.99),
        ms(&seen.latency, 0.999),
        seen.coverage() * 100.0,
        ratio(calls, seen.total()),
        spent * 1e6 / ratio(seen.total(), 1),
        ms(direct, 0.5),
        ms(direct, 0.99),
    );
}

/// Processor time of all traffic threads, in seconds.
async fn cpu(cluster: &Cluster) -> f64 {
    // The dump lags by the threads' publishing interval.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let states = cluster.states().await;
    let threads = states
        .iter()
        .filter_map(|s| s["threads"].as_array())
        .flatten();
    threads.filter_map(|t| t["cpu_s"].as_f64()).sum()
}

/// Queries that a caller makes of one target of each service itself, without hedges.
async fn direct(cluster: &Cluster, rate: f64) -> Histogram<u64> {
    let targets: Vec<SocketAddr> = cluster.targets.iter().step_by(2).map(|t| t.addr).collect();
    let connector = awc::Connector::new().limit(0);
    let client = Client::builder().connector(connector).finish();
    let mut seen = Histogram::new(3).expect("three digits are allowed");
    let gap = Duration::from_secs_f64(1.0 / rate);
    let start = Instant::now();
    let mut tasks = Vec::new();
    while start.elapsed() < TIME / 2 {
        let (client, targets) = (client.clone(), targets.clone());
        let id = tasks.len();
        tasks.push(actix_rt::spawn(async move {
            let begin = Instant::now();
            let calls = targets.iter().map(|t| call(&client, *t, id));
            let all = join_all(calls).await.into_iter().all(|ran| ran);
            all.then(|| begin.elapsed())
        }));
        actix_rt::time::sleep(gap).await;
    }
    let asked = tasks.len();
    for task in tasks {
        if let Ok(Some(took)) = task.await {
            let _ = seen.record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        }
    }
    // Without queues, calls that find no slot are refused; see the printed share.
    println!("direct: {} of {asked} queries complete", seen.len());
    seen
}

/// Calls one target and reads its answer, so that the connection is kept.
async fn call(client: &Client, target: SocketAddr, id: usize) -> bool {
    let request = client.post(format!("http://{target}/call"));
    let sent = request
        .insert_header(("x-call-id", id.to_string()))
        .send_body("x")
        .await;
    let Ok(mut response) = sent else { return false };
    response.body().await.is_ok() && response.status().is_success()
}
