//! A panic in a background task does not end what the task does for callers.
//!
//! The panics come from the writer of the test's log subscriber, so that the daemon needs no hook. Each
//! planted line panics once.

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::{
        cluster::{self, Cluster},
        tier_cluster::{Options, TierCluster, request},
    },
    rattanturn_standins::operator::{register_target, set_evacuated},
    std::{
        io,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time in which a task must work again.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// Lines that still panic.
static PLANTED: Mutex<Vec<&str>> = Mutex::new(Vec::new());

/// Writer of log lines that panics at planted lines.
struct PanickingWriter;

impl io::Write for PanickingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        // After a panic, the next line is written behind the one that it interrupted.
        let text = text.lines().last().unwrap_or("");
        let mut planted = PLANTED.lock().unwrap_or_else(PoisonError::into_inner);
        let found = planted.iter().position(|p| text.contains(p));
        let found = found.map(|i| planted.remove(i));
        drop(planted);
        println!("{text}");
        assert_eq!(found, None, "a planted panic");
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Plants a panic at the next line that contains `text`.
fn plant(text: &'static str) {
    // Another test may have set the subscriber already.
    let _ = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| PanickingWriter)
        .try_init();
    let mut planted = PLANTED.lock().unwrap_or_else(PoisonError::into_inner);
    planted.push(text);
}

fn is_planted(text: &str) -> bool {
    let planted = PLANTED.lock().unwrap_or_else(PoisonError::into_inner);
    planted.contains(&text)
}

async fn until(what: &str, done: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !done().await {
        assert!(start.elapsed() < RECOVERY_TIME, "not in time: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn tier() -> TierCluster {
    let options = Options {
        shards: 1,
        daemons: 1,
    };
    TierCluster::spawn(options).await.unwrap()
}

/// Guards against a daemon that never reads the store again and calls what was there before.
#[test]
fn the_store_is_read_again_after_a_panic_while_it_is_read() {
    const LINE: &str = "the store came back from an older copy";
    System::new().block_on(async {
        let cluster = tier().await;
        plant(LINE);
        cluster.store.restore(cluster.store.revision());
        // A change ends the poll, which then sees the new era.
        set_evacuated(&cluster.store, "a", true);
        until("the read session panics", async || !is_planted(LINE)).await;
        set_evacuated(&cluster.store, "b", true);
        until("the daemon reads what changed", async || {
            let state = cluster.daemons[0].state().await.unwrap();
            state["out"].as_array().is_some_and(|out| out.len() == 2)
        })
        .await;
    });
}

/// Guards against a daemon that counts as out of reach of its targets for ever.
#[test]
fn regained_targets_are_noticed_after_a_panic_at_their_loss() {
    const LOST: &str = "most targets are out of reach";
    const REGAINED: &str = "most targets are within reach again";
    System::new().block_on(async {
        let cluster = tier().await;
        let front = cluster.daemons[0].addresses().front;
        let ask = async |path| request(front, path, "r", "").await.map(|a| a.status);
        ask("/all/before").await;
        plant(LOST);
        for server in &cluster.servers {
            server.stop();
        }
        until("the loss is noticed", async || {
            ask("/all/at-the-loss").await;
            !is_planted(LOST)
        })
        .await;
        // This line panics as well, which does no harm any more.
        plant(REGAINED);
        for server in &cluster.servers {
            server.start();
            register_target(&cluster.store, server, "ready", 2);
        }
        until("the targets are regained", async || {
            // Requests that ended targets are refused, so these differ from the ones before.
            ask("/all/after").await;
            !is_planted(REGAINED)
        })
        .await;
    });
}

/// Guards against a stop that cuts what is open, because the control thread has ended before.
#[test]
fn the_own_interface_answers_what_is_open_although_control_has_panicked() {
    const ROUTES: &str = "[route renew]\nkind = single-record\npool = events\nidempotent = no\n\
        hedging = no\ndeadline = 5s\n";
    const POOLS: &str = "[data-centre a]\nregion = r\nstate = in\n\
        [pool events]\nslots = 4\nconnections = 40\n\
        [service events/e]\ntargets = a@127.0.0.1:9001\n";
    const LINE: &str = "the tables have a warning";
    System::new().block_on(async {
        let mut options = cluster::Options::new(ROUTES, POOLS);
        options.daemons = 1;
        let mut cluster = Cluster::spawn(options).await.unwrap();
        // Requests run only if they are issued later than the start of the lease term by more than
        // the tolerated clock skew.
        sleep(Duration::from_secs(2)).await;
        let target = cluster.targets[0].state.clone();
        target.set_slow(200.0);
        let addr = cluster.frontends()[0];
        let send = |n: u64| async move {
            let client = awc::Client::builder().timeout(RECOVERY_TIME).finish();
            let issued = rattanturn_demo::load::unix_ms();
            let sent = client
                .post(format!("http://{addr}/query/renew"))
                .insert_header(("x-request-id", format!("open-{n}")))
                .insert_header(("x-issued", issued.to_string()))
                .send();
            sent.await.map_or(0, |answer| answer.status().as_u16())
        };
        let open: Vec<_> = (0..4).map(|n| actix_rt::spawn(send(n))).collect();
        until("the requests run", async || target.running() > 0).await;
        plant(LINE);
        cluster.pools.push_str("unknown = 1\n");
        let _ = cluster.put_tables();
        until("control panics", async || cluster.states().await.is_empty()).await;
        let daemon = cluster.take_daemon(0).unwrap();
        daemon.stop().await;
        for request in open {
            assert_ne!(request.await.unwrap(), 0);
        }
        cluster.stop();
    });
}
