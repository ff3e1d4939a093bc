//! Three kinds of failed request, each explained from the log lines alone.

use {
    actix_rt::{System, time::sleep},
    rattanturn_cli::explain::{explain, most_severe},
    rattanturn_demo::tier_bed::{Options, PLAIN, TierBed, request},
    rattanturn_standins::{operator::withdraw, shard::Fault},
    std::{
        io,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tracing_subscriber::fmt::MakeWriter,
};

/// Collects the log of all daemons of this process.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Lines {
    fn logs(&self) -> [(String, String); 1] {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        [("d0".into(), String::from_utf8(all.clone()).unwrap())]
    }

    fn story(&self, id: &str) -> String {
        explain(id, &self.logs()).unwrap()
    }

    fn most_severe(&self, count: usize) -> Vec<String> {
        most_severe(count, &self.logs())
    }
}

#[test]
fn failed_requests_are_explained_by_the_log() {
    let lines = Lines::default();
    let log = tracing_subscriber::fmt().json().with_writer(lines.clone());
    log.init();
    System::new().block_on(async {
        let options = Options {
            shards: 4,
            daemons: 1,
        };
        let bed = TierBed::spawn(options).await.unwrap();
        let at = bed.daemons[0].addresses().front;
        for i in 0..20 {
            request(at, "/all/x", &format!("w{i}"), "").await.unwrap();
        }
        let of = |service: &str| {
            let all = bed.servers.iter().filter(|s| s.shape().service == service);
            all.cloned().collect::<Vec<_>>()
        };

        // An answer with a missing shard: one of its servers has left, the other is silent.
        let shard = of(&bed.services[2]);
        withdraw(&bed.store, &shard[0]);
        shard[1].set_fault(Fault::Silent);
        sleep(Duration::from_secs(2)).await;
        let answer = request(at, "/all/x", "missing", "").await.unwrap();
        assert_eq!(answer.header("x-missing-shards"), "1");
        let story = lines.story("missing");
        assert!(story.contains("3 of 4 parts"), "{story}");
        assert!(story.contains("shard-2 at i-shard-2-b: open"), "{story}");
        assert!(
            story.contains("target removed") && story.contains("i-shard-2-a"),
            "{story}"
        );

        // A refused request that ends refused.
        for server in of(PLAIN) {
            server.set_fault(Fault::Refused);
        }
        let answer = request(at, "/once/x", "refused", "body").await.unwrap();
        assert_eq!(answer.status, 503);
        let story = lines.story("refused");
        assert!(story.contains("nothing has run"), "{story}");
        assert!(story.contains("not run (busy)"), "{story}");

        // A request that is not idempotent and whose outcome is not known.
        for server in of(PLAIN) {
            server.set_fault(Fault::Lost);
        }
        let answer = request(at, "/once/x", "unknown", "body").await.unwrap();
        assert_eq!(answer.status, 502);
        let story = lines.story("unknown");
        assert!(story.contains("it may have run"), "{story}");
        assert!(
            story.contains("plain at i-plain-") && story.contains("lost ("),
            "{story}"
        );

        // A request whose caller left, and one without a route.
        for server in of(PLAIN) {
            server.set_fault(Fault::Silent);
        }
        let left = request(at, "/once/x", "left", "body");
        assert!(
            tokio::time::timeout(Duration::from_millis(300), left)
                .await
                .is_err()
        );
        sleep(Duration::from_millis(300)).await;
        let story = lines.story("left");
        assert!(story.contains("its caller left after"), "{story}");
        request(at, "/nowhere", "lost", "").await.unwrap();
        let story = lines.story("lost");
        assert!(story.contains("(no-route); nothing has run"), "{story}");
        assert_eq!(lines.most_severe(2), ["unknown", "refused"]);
    });
}
