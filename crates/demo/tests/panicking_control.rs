//! A panic in the control thread ends no request that is open.
//!
//! The panic comes from the writer of the test's log subscriber, so that the daemon needs no hook.

use {
    actix_rt::{
        System,
        time::{sleep, timeout},
    },
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, request},
    rattanturn_standins::{operator::register_target, shard},
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
