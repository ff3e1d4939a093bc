//! Values of `/metrics` after requests that succeeded, were refused or whose callers disconnected.

use {
    actix_rt::{System, time::sleep},
    rattanturn_daemon::Tier,
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, get, request},
    rattanturn_standins::shard::Fault,
    rattanturn_tables::Settings,
    std::{net::TcpListener, time::Duration},
};

/// Sum of the samples of a series that have all of the labels, in any order.
fn value(text: &str, name: &str, labels: &[&str]) -> f64 {
    let lines = text.lines().filter(|l| {
        let series = l.split([' ', '{']).next();
        series == Some(name) && labels.iter().all(|w| l.contains(w))
    });
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Guards against a daemon that does not start because another process listens on its metrics port:
/// it runs without that listener, and its admin port still serves `/metrics`.
#[test]
fn a_daemon_starts_although_its_metrics_port_is_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let text = format!(
        "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
         metrics-port = {port}\nrpc-port = 0\ngossip-port = 0\n\
         [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
         [platform]\naddress = 127.0.0.1:1\n"
    );
    System::new().block_on(async {
        let (settings, _) = Settings::parse("daemon.ini", &text).unwrap();
        let tier = settings.tier.unwrap();
        let daemon = Tier::spawn(settings, tier).unwrap();
        let at = daemon.addresses();
        assert_eq!(at.metrics, None);
        let answer = get(&format!("http://{}/metrics", at.admin)).await.unwrap();
        assert_eq!(answer.status, 200);
        daemon.kill();
    });
}

#[test]
fn metrics_count_requests_calls_refusals_and_store_calls_and_report_ages() {
    System::new().block_on(async {
        let options = Options {
            shards: 3,
            daemons: 1,
        };
        let cluster = TierCluster::spawn(options).await.unwrap();
        let at = cluster.daemons[0].addresses();
        for i in 0..10 {
            let answer = request(at.front, "/all/x", &format!("w{i}"), "").await;
            assert_eq!(answer.unwrap().status, 200);
        }
        request(at.front, "/nowhere", "lost", "").await.unwrap();
        for server in cluster
            .servers
            .iter()
            .filter(|s| s.config().service == PLAIN)
        {
            server.set_fault(Fault::Refused);
        }
        request(at.front, "/once/x", "refused", "body")
            .await
            .unwrap();
        for server in cluster
            .servers
            .iter()
            .filter(|s| s.config().service == PLAIN)
        {
            server.set_fault(Fault::Silent);
        }
        let abandoned = request(at.front, "/once/x", "left", "body");
        assert!(
            tokio::time::timeout(Duration::from_millis(300), abandoned)
                .await
                .is_err()
        );
        // The daemon updates gauges once per second.
        sleep(Duration::from_millis(1_500)).await;
        let answer = get(&format!("http://{}/metrics", at.metrics.unwrap()))
            .await
            .unwrap();
        let text = String::from_utf8(answer.body).unwrap();

        let requests = |outcome| value(&text, "rattanturn_requests_total", &["route=", outcome]);
        assert!((requests("outcome=\"whole\"") - 10.0).abs() < 0.1, "{text}");
        assert!(
            (requests("outcome=\"not-run\"") - 1.0).abs() < 0.1,
            "{text}"
        );
        assert!(
            (requests("outcome=\"caller-left\"") - 1.0).abs() < 0.1,
            "{text}"
        );
        let buckets = value(&text, "rattanturn_request_seconds_bucket", &["le=\"+Inf\""]);
        assert!((buckets - 12.0).abs() < 0.1, "{text}");
        let first = ["service=\"shard-0\"", "cause=\"first\""];
        let calls = value(&text, "rattanturn_target_calls_total", &first);
        assert!((calls - 10.0).abs() < 0.1, "{text}");
        let refused = value(&text, "rattanturn_refused_total", &["reason=\"no-route\""]);
        assert!((refused - 1.0).abs() < 0.1, "{text}");
        let busy = value(
            &text,
            "rattanturn_parts_missing_total",
            &["reason=\"busy\""],
        );
        assert!((busy - 1.0).abs() < 0.1, "{text}");
        let list_calls = ["call=\"list\"", "outcome=\"done\""];
        assert!(
            value(&text, "rattanturn_store_calls_total", &list_calls) >= 3.0,
            "{text}"
        );
        assert!(value(&text, "rattanturn_targets", &[]) >= 8.0, "{text}");
        for series in [
            "rattanturn_targets_age_seconds",
            "rattanturn_configuration_age_seconds",
        ] {
            assert!(text.contains(series), "{text}");
            assert!(value(&text, series, &[]) < 3.0, "{text}");
        }
    });
}
