//! `rattanturn explain` finds the cause of a failed request from the log of its daemon alone.

use {
    actix_rt::{System, time::sleep},
    rattanturn_cli::explain::{explain, most_severe},
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, request},
    rattanturn_standins::{operator::deregister_target, shard::Fault},
    std::{
        io,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tracing_subscriber::fmt::MakeWriter,
};

/// Collects the log of the daemon in memory; the daemons of a process share one log.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl LogBuffer {
    fn logs(&self) -> [(String, String); 1] {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        [("d0".into(), String::from_utf8(all.clone()).unwrap())]
    }

    fn explanation(&self, id: &str) -> String {
        explain(id, &self.logs()).unwrap()
    }

    fn most_severe(&self, count: usize) -> Vec<String> {
        most_severe(count, &self.logs())
    }
}

#[test]
fn explanations_of_failed_requests_name_the_outcome_and_its_cause() {
    let buffer = LogBuffer::default();
    let log = tracing_subscriber::fmt().json().with_writer(buffer.clone());
    log.init();
    System::new().block_on(async {
        let options = Options {
            shards: 4,
            daemons: 1,
        };
        let cluster = TierCluster::spawn(options).await.unwrap();
        let at = cluster.daemons[0].addresses().front;
        for i in 0..20 {
            request(at, "/all/x", &format!("w{i}"), "").await.unwrap();
        }
        let servers_of = |service: &str| {
            let all = cluster
                .servers
                .iter()
                .filter(|s| s.config().service == service);
            all.cloned().collect::<Vec<_>>()
        };

        // A partial answer: one server of a shard is removed from the store, the other does
        // not respond.
        let replicas = servers_of(&cluster.services[2]);
        deregister_target(&cluster.store, &replicas[0]);
        replicas[1].set_fault(Fault::Silent);
        sleep(Duration::from_secs(2)).await;
        let answer = request(at, "/all/x", "missing", "").await.unwrap();
        assert_eq!(answer.header("x-missing-shards"), "1");
        let text = buffer.explanation("missing");
        assert!(text.contains("3 of 4 parts"), "{text}");
        assert!(text.contains("shard-2 at i-shard-2-b: open"), "{text}");
        assert!(
            text.contains("target removed") && text.contains("i-shard-2-a"),
            "{text}"
        );

        // A request that all targets refuse, so that nothing has run.
        for server in servers_of(PLAIN) {
            server.set_fault(Fault::Refused);
        }
        let answer = request(at, "/once/x", "refused", "body").await.unwrap();
        assert_eq!(answer.status, 503);
        let text = buffer.explanation("refused");
        assert!(text.contains("nothing has run"), "{text}");
        assert!(text.contains("not run (busy)"), "{text}");

        // A request that is not idempotent and whose outcome is unknown: the target runs it
        // and closes the connection without an answer.
        for server in servers_of(PLAIN) {
            server.set_fault(Fault::Lost);
        }
        let answer = request(at, "/once/x", "unknown", "body").await.unwrap();
        assert_eq!(answer.status, 502);
        let text = buffer.explanation("unknown");
        assert!(text.contains("it may have run"), "{text}");
        assert!(
            text.contains("plain at i-plain-") && text.contains("lost ("),
            "{text}"
        );

        // A request whose caller disconnects before the answer, and one that matches no route.
        for server in servers_of(PLAIN) {
            server.set_fault(Fault::Silent);
        }
        let call = request(at, "/once/x", "left", "body");
        assert!(
            tokio::time::timeout(Duration::from_millis(300), call)
                .await
                .is_err()
        );
        // A call that must not run twice goes on until the route's timeout of 1.5 s.
        sleep(Duration::from_millis(1_500)).await;
        let text = buffer.explanation("left");
        let after = text.split_once("its caller disconnected after ").unwrap().1;
        let after: u64 = after.split_once(" ms").unwrap().0.parse().unwrap();
        assert!((200..1_000).contains(&after), "{text}");
        request(at, "/nowhere", "lost", "").await.unwrap();
        let text = buffer.explanation("lost");
        assert!(text.contains("(no-route); nothing has run"), "{text}");
        assert_eq!(buffer.most_severe(2), ["unknown", "refused"]);
    });
}
