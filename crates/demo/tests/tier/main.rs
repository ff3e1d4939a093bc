//! End-to-end tests of the tier: callers, daemons, servers and a store in one process on loopback.

mod accounts;
mod answers;
mod broken_answers;
mod cluster;
mod crashing_request;
mod early_answers;
mod endless_answers;
mod evacuations;
mod idle_connections;
mod keys_under_failure;
mod late_configuration;
mod odd_entries;
mod odd_peer;
mod odd_statuses;
mod overload;
mod quotas;
mod quotas_under_failure;
mod rate_limits;
mod rollouts;
mod stops;
mod stranded;
mod targets;
mod upgrade_requests;
mod waiting_calls;

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::tier_cluster::{Answer, Options, PLAIN, TierCluster, request},
    rattanturn_standins::{
        operator::{deregister_target, register_target},
        shard::{Fault, State},
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time after which a draining server or an evacuated data centre must get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time after which all daemons must have applied a new configuration.
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after which the directory must no longer list a dead daemon.
const DEAD_REMOVAL_TIME: Duration = Duration::from_secs(7);

/// Runs a test against a tier of four shards and the given number of daemons.
fn with_cluster<F>(daemons: usize, test: F)
where
    F: AsyncFnOnce(&mut TierCluster),
{
    with_settings(daemons, "", test);
}

/// Like [`with_cluster`], with `settings` as lines in the section `[tier]` of all daemons' settings.
fn with_settings<F>(daemons: usize, settings: &str, test: F)
where
    F: AsyncFnOnce(&mut TierCluster),
{
    print_logs();
    System::new().block_on(async {
        let options = Options { shards: 4, daemons };
        let cluster = TierCluster::spawn_with(options, settings).await;
        test(&mut cluster.unwrap()).await;
    });
}

/// Prints errors that daemons log, and what `RUST_LOG` asks for. All tests of the program share this.
fn print_logs() {
    let _ = tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_ansi(false)
        .with_thread_ids(true)
        .try_init();
}

/// Address at which a daemon serves callers.
fn front_addr(cluster: &TierCluster, daemon: usize) -> SocketAddr {
    cluster.daemons[daemon].addresses().front
}

/// The two servers of the service behind `/one/` and `/once/`.
fn plain_servers(cluster: &TierCluster) -> Vec<Arc<State>> {
    let matches = |s: &&Arc<State>| s.config().service == PLAIN;
    cluster.servers.iter().filter(matches).cloned().collect()
}

/// The servers of one shard.
fn shard_servers(cluster: &TierCluster, number: usize) -> Vec<Arc<State>> {
    let matches = |s: &&Arc<State>| s.config().service == cluster.services[number];
    cluster.servers.iter().filter(matches).cloned().collect()
}

/// How often a request ran at the given servers together.
fn run_count(servers: &[Arc<State>], id: &str) -> u32 {
    let count = |s: &Arc<State>| s.counters().runs.get(id).copied().unwrap_or(0);
    servers.iter().map(count).sum()
}

/// Sends a request without a body to the first daemon.
async fn fetch(cluster: &TierCluster, path: &str, id: &str) -> Answer {
    request(front_addr(cluster, 0), path, id, "").await.unwrap()
}

#[test]
fn gather_merges_the_top_records_of_all_shards() {
    with_cluster(1, async |cluster| {
        let answer = fetch(cluster, "/all/x?q=1", "g1").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("x-missing-shards"), "0");
        let signatures: Vec<&str> = answer.header("x-shard-stamps").split(", ").collect();
        assert_eq!(signatures.len(), 4);
        // A signature begins with the id of the server that answered.
        let mut records: Vec<Vec<u8>> = signatures
            .iter()
            .map(|signature| signature.rsplit_once('.').unwrap().0)
            .flat_map(|id| {
                let server = cluster
                    .servers
                    .iter()
                    .find(|s| s.config().id == id)
                    .unwrap();
                server
                    .records()
                    .chunks(16)
                    .map(<[u8]>::to_vec)
                    .collect::<Vec<_>>()
            })
            .collect();
        records.sort();
        records.reverse();
        assert_eq!(answer.body, records[..10].concat());
    });
}

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        for (fault, status) in [
            (Fault::Lost, 502),
            (Fault::Truncated, 502),
            (Fault::Failed, 500),
        ] {
            for s in &servers {
                s.set_fault(fault);
            }
            let id = format!("{fault:?}");
            let answer = request(front_addr(cluster, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, status, "{fault:?}");
            assert_eq!(run_count(&servers, &id), 1, "{fault:?}");
        }
    });
}

#[test]
fn refused_request_has_not_run_and_gets_retry_after() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        for s in &servers {
            s.set_fault(Fault::Refused);
        }
        let started = Instant::now();
        let answer = request(front_addr(cluster, 0), "/once/x", "r1", "body")
            .await
            .unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").parse::<f64>().unwrap() > 0.0);
        assert_eq!(run_count(&servers, "r1"), 0);
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "refused late"
        );
    });
}

#[test]
fn request_refused_by_one_server_runs_at_the_other() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        servers[0].set_fault(Fault::Refused);
        for i in 0..6 {
            let id = format!("o{i}");
            let answer = request(front_addr(cluster, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(run_count(&servers, &id), 1);
        }
    });
}

#[test]
fn duplicate_answer_is_not_taken_for_the_next_request() {
    assert_own_answers(Fault::Duplicated);
}

#[test]
fn late_copy_of_an_answer_is_not_taken_for_the_next_request() {
    assert_own_answers(Fault::DuplicatedLate);
}

/// Asserts that each request gets its own answer while all servers have a fault.
fn assert_own_answers(fault: Fault) {
    with_cluster(1, async |cluster| {
        for s in &cluster.servers {
            s.set_fault(fault);
        }
        for i in 0..40 {
            let id = format!("d{i}");
            let answer = fetch(cluster, "/one/x", &id).await;
            assert_eq!(
                (answer.status, answer.header("x-request-id")),
                (200, &id[..])
            );
            let gathered = fetch(cluster, "/all/x", &format!("dg{i}")).await;
            assert_eq!(
                (gathered.status, gathered.header("x-missing-shards")),
                (200, "0")
            );
        }
    });
}

#[test]
fn answer_without_a_length_is_accepted_and_a_truncated_one_is_retried() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        for s in &servers {
            s.set_fault(Fault::Unframed);
        }
        let answer = fetch(cluster, "/one/x", "u1").await;
        assert_eq!(answer.status, 200);
        assert!(servers.iter().any(|s| s.records() == answer.body));
        for s in &servers {
            s.set_fault(Fault::None);
        }
        servers[0].set_fault(Fault::Truncated);
        for i in 0..4 {
            let answer = fetch(cluster, "/one/x", &format!("c{i}")).await;
            assert_eq!((answer.status, answer.body), (200, servers[1].records()));
        }
    });
}

#[test]
fn stalled_server_does_not_delay_a_gather() {
    with_cluster(1, async |cluster| {
        for i in 0..20 {
            fetch(cluster, "/all/x", &format!("w{i}")).await;
        }
        for server in &shard_servers(cluster, 0)[..1] {
            server.pause(Duration::from_millis(400));
        }
        for i in 0..4 {
            let started = Instant::now();
            let answer = fetch(cluster, "/all/x", &format!("p{i}")).await;
            assert_eq!(
                (answer.status, answer.header("x-missing-shards")),
                (200, "0")
            );
            assert!(
                started.elapsed() < Duration::from_millis(200),
                "{:?}",
                started.elapsed()
            );
        }
    });
}

#[test]
fn shard_without_servers_is_missing_and_too_few_shards_are_refused() {
    with_cluster(1, async |cluster| {
        for server in shard_servers(cluster, 2) {
            deregister_target(&cluster.store, &server);
        }
        sleep(DRAIN_TIME).await;
        let answer = fetch(cluster, "/all/x", "m1").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "1")
        );
        for server in shard_servers(cluster, 1) {
            deregister_target(&cluster.store, &server);
        }
        sleep(DRAIN_TIME).await;
        let started = Instant::now();
        let answer = fetch(cluster, "/all/x", "m2").await;
        assert_eq!(answer.status, 503);
        assert!(!answer.header("retry-after").is_empty());
        assert!(
            started.elapsed() < Duration::from_millis(100),
            "refused late"
        );
    });
}

#[test]
fn calls_are_cancelled_when_the_caller_leaves() {
    with_cluster(1, async |cluster| {
        for s in &cluster.servers {
            s.set_slow(100.0);
        }
        let at = front_addr(cluster, 0);
        let request = tokio::time::timeout(
            Duration::from_millis(200),
            request(at, "/all/x", "gone", ""),
        );
        assert!(request.await.is_err());
        sleep(Duration::from_millis(400)).await;
        let left: u64 = cluster.servers.iter().map(|s| s.counters().abandoned).sum();
        assert!(left >= 4, "only {left} calls were cancelled");
    });
}

#[test]
fn server_that_took_over_an_address_runs_no_request_for_the_old_one() {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        let other = shard_servers(cluster, 0)[0].clone();
        let mut entry = servers[0].entry("ready", 5);
        entry["address"] = other.entry("ready", 1)["address"].clone();
        cluster
            .store
            .write("servers", &servers[0].config().id, entry);
        sleep(DRAIN_TIME).await;
        for i in 0..10 {
            let id = format!("a{i}");
            let answer = request(front_addr(cluster, 0), "/once/x", &id, "body")
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(run_count(std::slice::from_ref(&other), &id), 0);
        }
    });
}

#[test]
fn unknown_routes_and_oversized_requests_are_rejected() {
    with_cluster(1, async |cluster| {
        assert_eq!(fetch(cluster, "/none/x", "u").await.status, 404);
        let at = front_addr(cluster, 0);
        let large = "x".repeat(300_000);
        assert_eq!(
            request(at, "/one/x", "b", &large).await.unwrap().status,
            413
        );
        let long = format!("/one/{}", "y".repeat(17_000));
        assert_eq!(fetch(cluster, &long, "h").await.status, 431);
    });
}

#[test]
fn split_route_follows_its_weights() {
    with_cluster(1, async |cluster| {
        let (a, b) = (cluster.services[0].clone(), cluster.services[1].clone());
        cluster.config = cluster
            .config
            .clone()
            .clear_routes()
            .split_route("/split/", &[(&a, 3), (&b, 1)]);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        for i in 0..40 {
            assert_eq!(
                fetch(cluster, "/split/x", &format!("s{i}")).await.status,
                200
            );
        }
        // A hedge runs a request at both servers.
        let first: BTreeSet<String> = shard_servers(cluster, 0)
            .iter()
            .flat_map(|s| s.counters().runs.into_keys())
            .collect();
        assert_eq!(first.len(), 30);
    });
}

/// With two of four shards down, no answer can reach the minimum coverage of 0.75. Guards against
/// refusing such requests only at their deadline, and against refusing them after the shards are
/// back.
#[test]
fn gather_below_its_coverage_is_refused_at_once_until_shards_are_back() {
    with_cluster(1, async |cluster| {
        let down: Vec<_> = (0..2).flat_map(|i| shard_servers(cluster, i)).collect();
        for server in &down {
            let mut entry = server.entry("ready", 2);
            // Nothing listens on the discard port.
            entry["address"] = "127.0.0.1:9".into();
            cluster.store.write("servers", &server.config().id, entry);
        }
        sleep(Duration::from_secs(2)).await;
        fetch(cluster, "/all/x", "first").await;
        for i in 0..10 {
            let started = Instant::now();
            let answer = fetch(cluster, "/all/x", &format!("r{i}")).await;
            assert_eq!(answer.status, 503);
            assert!(
                started.elapsed() < Duration::from_millis(100),
                "refused late"
            );
        }
        for server in &down {
            register_target(&cluster.store, server, "ready", 3);
        }
        sleep(Duration::from_secs(3)).await;
        assert_eq!(fetch(cluster, "/all/x", "back").await.status, 200);
    });
}

/// The other server of the shard is usually much slower, but it is still the better target of a
/// hedge while the first one is stalled. Guards against a hedge that goes to the stalled server
/// again because that one is usually faster.
#[test]
fn hedge_goes_to_another_server_than_the_stalled_one() {
    with_cluster(1, async |cluster| {
        let servers = shard_servers(cluster, 0);
        servers[1].set_slow(8.0);
        for i in 0..40 {
            fetch(cluster, "/all/x", &format!("w{i}")).await;
        }
        servers[0].pause(Duration::from_millis(600));
        let started = Instant::now();
        let answer = fetch(cluster, "/all/x", "hedged").await;
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
        assert!(
            started.elapsed() < Duration::from_millis(200),
            "{:?}",
            started.elapsed()
        );
        assert_eq!(run_count(&servers[1..], "hedged"), 1);
    });
}
