//! A panic while a request is served ends neither its connection nor other requests.
//!
//! The panic comes from the writer of the test's log subscriber, which runs inside the request, so
//! that the daemon needs no hook for it. All tests of the program share the subscriber.

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, get, request},
    rattanturn_standins::shard::Fault,
    std::{
        io,
        time::{Duration, Instant},
    },
};

/// Id of requests whose log line panics; the line comes once the request has ended.
const PANICKING: &str = "request=\"panicking\"";
/// Time after the last answer in which no request is counted as open any more. One that stays counted is
/// so for ever.
const COUNT_TIME: Duration = Duration::from_secs(1);

/// Writer of log lines that panics at the end of some requests.
struct PanickingWriter;

impl io::Write for PanickingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        // After a panic, the next line is written behind the one that it interrupted.
        let text = text.lines().last().unwrap_or("");
        let outcome = text.contains("outcome=") || text.contains("reason=\"no-route\"");
        let planted = outcome && text.contains(PANICKING) && !std::thread::panicking();
        assert!(!planted, "a planted panic");
        println!("{text}");
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a closed connection, a wrong promise, and open requests that stay counted.
#[test]
fn a_panicking_request_is_answered_and_others_are_unharmed() {
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| PanickingWriter)
        .init();
    System::new().block_on(async {
        let options = Options {
            shards: 1,
            daemons: 1,
        };
        let mut cluster = TierCluster::spawn(options).await.unwrap();
        let addresses = cluster.daemons[0].addresses();
        let plain = cluster
            .servers
            .iter()
            .filter(|s| s.config().service == PLAIN);
        let plain: Vec<_> = plain.cloned().collect();
        for server in &plain {
            server.set_fault(Fault::Failed);
        }
        let gathers: Vec<_> = (0..20)
            .map(|n| {
                actix_rt::spawn(async move {
                    sleep(Duration::from_millis(10 * n)).await;
                    let id = format!("other-{n}");
                    request(addresses.front, "/all/x", &id, "")
                        .await
                        .map(|a| a.status)
                })
            })
            .collect();
        let ran = request(addresses.front, "/once/x", "panicking", "body").await;
        let refused = request(addresses.front, "/none/x", "panicking", "").await;
        let statuses = [ran, refused].map(|a| a.map_or(0, |a| a.status));
        for gather in gathers {
            assert_eq!(gather.await.unwrap(), Some(200));
        }
        assert_eq!(statuses, [502, 503]);
        let mut state = cluster.daemons[0].state().await.unwrap();
        // A request is counted until its connection is done with it, which may be after the answer.
        let until = Instant::now() + COUNT_TIME;
        while state["requests"] != 0 && Instant::now() < until {
            sleep(Duration::from_millis(10)).await;
            state = cluster.daemons[0].state().await.unwrap();
        }
        assert_eq!(state["requests"], 0, "{state}");
        let metrics = get(&format!("http://{}/metrics", addresses.admin))
            .await
            .unwrap();
        let metrics = String::from_utf8(metrics.body).unwrap();
        let counted = "rattanturn_panicked_requests_total 2";
        assert!(metrics.lines().any(|l| l == counted), "{metrics}");
        let left = cluster.daemons.remove(0).stop().await;
        assert_eq!(left, "0 requests left open");
    });
}
