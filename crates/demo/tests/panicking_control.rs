//! A panic in the control thread ends no request that is open.
//!
//! The panic comes from the writer of the test's log subscriber, so that the daemon needs no hook.

use {
    actix_rt::{
        System,
        time::{sleep, timeout},
    },
    rattanturn_demo::{
        cluster::{self, Cluster},
        load::unix_ms,
        tier_cluster::{Options, PLAIN, TierCluster, request},
    },
    rattanturn_standins::{operator::register_target, shard},
    serde_json::Value,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Drain limit of the demo's daemons.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Lines of control at which the writer panics.
const PLANTED: [&str; 2] = ["target is leaving", "the tables have a warning"];

/// Writer of log lines that panics at planted lines.
struct PanickingWriter;

impl io::Write for PanickingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        let text = text.lines().last().unwrap_or("");
        let planted = PLANTED.iter().any(|p| text.contains(p));
        assert!(!planted || std::thread::panicking(), "a planted panic");
        println!("{text}");
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn set_writer() {
    // Another test may have set the subscriber already.
    let _ = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| PanickingWriter)
        .try_init();
}

/// Starts a daemon whose control thread panics, and returns it with its servers.
async fn without_control() -> (TierCluster, Vec<Arc<shard::State>>) {
    set_writer();
    let options = Options {
        shards: 1,
        daemons: 1,
    };
    let cluster = TierCluster::spawn(options).await.unwrap();
    let plain = cluster
        .servers
        .iter()
        .filter(|s| s.config().service == PLAIN);
    let plain: Vec<_> = plain.cloned().collect();
    register_target(&cluster.store, &plain[1], "draining", 2);
    sleep(Duration::from_secs(3)).await;
    assert!(cluster.daemons[0].state().await.is_none(), "control runs");
    let ended = timeout(Duration::from_secs(1), cluster.daemons[0].control_ended());
    assert!(ended.await.is_ok(), "the program is not told");
    (cluster, plain)
}

fn set_slow(servers: &[Arc<shard::State>], factor: f64) {
    for server in servers {
        server.set_slow(factor);
    }
}

/// Sends four requests; the results have the status of each, `None` if it was cut.
async fn send_requests(front: SocketAddr) -> Vec<JoinHandle<Option<u16>>> {
    let send = |n| async move {
        let id = format!("open-{n}");
        let answer = request(front, "/once/x", &id, "body").await;
        answer.map(|a| a.status)
    };
    let open = (0..4).map(|n| actix_rt::spawn(send(n))).collect();
    sleep(Duration::from_millis(150)).await;
    open
}

async fn count_cut(open: Vec<JoinHandle<Option<u16>>>) -> usize {
    let mut cut = 0;
    for request in open {
        cut += usize::from(request.await.unwrap().is_none());
    }
    cut
}

/// Guards against a stop that takes a control thread that has ended for nothing left to do.
#[test]
fn a_stop_after_a_panic_in_control_answers_what_is_open() {
    System::new().block_on(async {
        let (mut cluster, plain) = without_control().await;
        // The factor 50 makes half a second of each run.
        set_slow(&plain, 50.0);
        let front = cluster.daemons[0].addresses().front;
        let open = send_requests(front).await;
        let left = cluster.daemons.remove(0).stop().await;
        assert_eq!(count_cut(open).await, 0, "cut; the stop said {left:?}");
    });
}

/// The runs last longer than the drain limit. Guards against an operator's second SIGINT that is lost
/// with the control thread.
#[test]
fn a_stop_after_a_panic_in_control_can_be_hurried() {
    System::new().block_on(async {
        let (mut cluster, plain) = without_control().await;
        set_slow(&plain, 5_000.0);
        let daemon = cluster.daemons.remove(0);
        let open = send_requests(daemon.addresses().front).await;
        let (handle, began) = (daemon.stop_handle(), Instant::now());
        let stop = actix_rt::spawn(daemon.stop());
        sleep(Duration::from_millis(300)).await;
        handle.hurry();
        let left = stop.await.unwrap();
        // The listener of a stop that is not hurried closes after two thirds of the limit.
        assert!(
            began.elapsed() < DRAIN_LIMIT * 2 / 3,
            "{:?}",
            began.elapsed()
        );
        assert_eq!(count_cut(open).await, 0, "cut; the stop said {left:?}");
    });
}

/// The control threads of both daemons panic while one of them has calls of the other's callers. Guards
/// against a stop that waits for its own callers only.
#[test]
fn a_stop_of_the_own_interface_after_a_panic_in_control_answers_calls_of_peers() {
    const ROUTES: &str = "[route search]\nkind = single-record\npool = events\nhedging = no\n\
        deadline = 5s\n[route renew]\nkind = single-record\npool = events\nidempotent = no\n\
        hedging = no\ndeadline = 5s\n";
    const POOLS: &str = "[data-centre a]\nregion = r\nstate = in\n\
        [pool events]\nslots = 16\nconnections = 40\n\
        [service events/e]\ntargets = a@127.0.0.1:9001\n";
    set_writer();
    System::new().block_on(async {
        let mut options = cluster::Options::new(ROUTES, POOLS);
        options.daemons = 2;
        options.centre_delay = Duration::ZERO;
        let mut cluster = Cluster::spawn(options).await.unwrap();
        // Requests run only if they are issued later than the start of the lease term by more than
        // the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let holds_target = |state: &Value| {
            let units = state["units"].as_array().unwrap();
            let name = |u: &Value| u["unit"].as_str().unwrap_or("").starts_with("events");
            units.iter().any(|u| name(u) && u["mine"] == true)
        };
        let states = cluster.states().await;
        let holder = states.iter().position(holds_target).unwrap();
        let callers = cluster.frontends()[1 - holder];
        let send = |route: &'static str, n: u32| async move {
            let client = awc::Client::builder()
                .timeout(Duration::from_secs(10))
                .finish();
            let sent = client
                .post(format!("http://{callers}/query/{route}"))
                .insert_header(("x-request-id", format!("peer-{n}")))
                .insert_header(("x-issued", unix_ms().to_string()))
                .send();
            sent.await.map_or(0, |answer| answer.status().as_u16())
        };
        assert_eq!(send("search", 100).await, 200);
        let target = cluster.targets[0].state.clone();
        // The factor 200 makes a second of each run.
        target.set_slow(200.0);
        let mut open: Vec<_> = (0..4).map(|n| actix_rt::spawn(send("search", n))).collect();
        open.extend((4..8).map(|n| actix_rt::spawn(send("renew", n))));
        let start = Instant::now();
        while target.running() < 8 {
            assert!(start.elapsed() < DRAIN_LIMIT, "{} run", target.running());
            sleep(Duration::from_millis(5)).await;
        }
        cluster.pools.push_str("unknown = 1\n");
        let _ = cluster.put_tables();
        while !cluster.states().await.is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let daemon = cluster.take_daemon(holder).unwrap();
        let handle = daemon.stop_handle();
        let stop = daemon.stop();
        handle.hurry();
        stop.await;
        let mut seen = Vec::new();
        for request in open {
            seen.push(request.await.unwrap());
        }
        assert_eq!(seen, [200; 8]);
        cluster.stop();
    });
}
