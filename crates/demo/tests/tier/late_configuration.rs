//! A confirmed configuration is in force everywhere within its time, whatever happened to the
//! connections and to the store before.

use {
    super::{CONFIG_APPLY_TIME, DRAIN_TIME, front_addr, shard_servers, with_cluster},
    actix_rt::time::sleep,
    futures::future::join_all,
    rattanturn_daemon::Tier,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster, get, request},
    rattanturn_standins::{
        operator::{HOST, register_target},
        platform::Platform,
        proxy::Proxy,
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Time after a fault in which the platform holds daemons to no time limit.
const STABLE_TIME: Duration = Duration::from_secs(4);
/// Configurations written before a fault, so that each daemon has fetched from several others.
const EARLIER_CONFIGS: usize = 6;

/// Time in which all watches of a daemon that reads the store have ended and begun again.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Routes of a configuration that is about as large as the store accepts.
const MANY_ROUTES: u64 = 5_000;
/// Interval of the platform's readiness checks. It takes a daemon out after two that fail.
const READY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes other objects than the configuration, which raises the store's revision.
fn write_others(cluster: &TierCluster, count: usize) {
    for number in 0..count {
        let name = format!("{}-{number}", cluster.store.revision());
        cluster.store.write("others", &name, json!({}));
    }
}

/// Writes a configuration whose only route has the prefix `/NUMBER/`.
fn write_route(cluster: &mut TierCluster, number: usize) {
    let config = cluster.config.clone().clear_routes();
    let services = cluster.services.clone();
    cluster.config = config.gather_route(&format!("/{number}/"), &services, 200);
    cluster.config.write(&cluster.store);
}

/// Asserts that each daemon serves the route `/NUMBER/`.
async fn assert_in_force(cluster: &TierCluster, number: usize) {
    let mut statuses = Vec::new();
    for daemon in 0..cluster.daemons.len() {
        let at = front_addr(cluster, daemon);
        let answer = request(at, &format!("/{number}/x"), &format!("f{daemon}"), "").await;
        statuses.push(answer.unwrap().status);
    }
    assert_eq!(statuses, vec![200; cluster.daemons.len()]);
}

/// Starts six daemons and lets each fetch configurations from others.
async fn start_and_exchange(cluster: &mut TierCluster) {
    cluster.start_proxied(6, 1.0).await.unwrap();
    cluster.wait_ready().await.unwrap();
    for number in 0..EARLIER_CONFIGS {
        write_route(cluster, number);
        sleep(Duration::from_millis(300)).await;
    }
}

/// Starts daemons, silences the open connections through the proxies whose index `silenced` accepts,
/// and asserts that the next configuration is in force in time.
fn assert_spreads_after_silence(silenced: fn(usize) -> bool) {
    with_cluster(0, async |cluster| {
        start_and_exchange(cluster).await;
        let proxies = cluster.proxies.iter().enumerate();
        proxies
            .filter(|(i, _)| silenced(*i))
            .for_each(|(_, proxy)| proxy.silence_open());
        sleep(STABLE_TIME).await;
        write_route(cluster, EARLIER_CONFIGS);
        sleep(CONFIG_APPLY_TIME).await;
        assert_in_force(cluster, EARLIER_CONFIGS).await;
    });
}

#[test]
fn a_configuration_spreads_after_connections_between_daemons_fell_silent() {
    assert_spreads_after_silence(|proxy| proxy % 2 == 1);
}

#[test]
fn a_configuration_spreads_after_all_open_connections_fell_silent() {
    assert_spreads_after_silence(|_| true);
}

#[test]
fn a_configuration_spreads_after_the_store_gave_out_revisions_again() {
    with_cluster(3, async |cluster| {
        let copy = cluster.store.revision();
        write_others(cluster, 8);
        sleep(WATCH_TIME).await;
        cluster.store.restore(copy);
        write_route(cluster, 0);
        write_others(cluster, 10);
        sleep(CONFIG_APPLY_TIME).await;
        assert_in_force(cluster, 0).await;
    });
}

#[test]
fn a_configuration_spreads_while_calls_for_it_hang_at_the_daemons_that_read_the_store() {
    with_cluster(0, async |cluster| {
        let hanging = Platform::spawn_hanging(cluster.store.clone()).unwrap();
        // The large daemons read the store.
        for _ in 0..2 {
            cluster.start_with_store(hanging.addr(), 4.0).unwrap();
        }
        cluster.start_with_cores(2, 1.0).unwrap();
        cluster.wait_ready().await.unwrap();
        sleep(WATCH_TIME).await;
        cluster.store.hang(Some("config"));
        write_route(cluster, 0);
        sleep(CONFIG_APPLY_TIME).await;
        assert_in_force(cluster, 0).await;
    });
}

#[test]
fn a_configuration_spreads_when_the_readers_die_after_the_others_connections_fell_silent() {
    with_cluster(0, async |cluster| {
        // The large daemons read the store.
        cluster.start_proxied(2, 4.0).await.unwrap();
        cluster.start_proxied(4, 1.0).await.unwrap();
        cluster.wait_ready().await.unwrap();
        cluster.proxies[4..].iter().for_each(Proxy::silence_open);
        sleep(STABLE_TIME).await;
        cluster.daemons.drain(..2).for_each(Tier::kill);
        write_route(cluster, 0);
        sleep(CONFIG_APPLY_TIME).await;
        assert_in_force(cluster, 0).await;
    });
}

#[test]
fn leaving_servers_get_no_requests_after_connections_between_daemons_fell_silent() {
    with_cluster(0, async |cluster| {
        start_and_exchange(cluster).await;
        cluster.proxies.iter().for_each(Proxy::silence_open);
        sleep(STABLE_TIME).await;
        write_route(cluster, EARLIER_CONFIGS);
        let leaving = shard_servers(cluster, 0)[0].clone();
        register_target(&cluster.store, &leaving, "draining", 2);
        sleep(DRAIN_TIME).await;
        let before = leaving.arrivals();
        for round in 0..4 {
            assert_in_force(cluster, EARLIER_CONFIGS).await;
            assert_eq!(leaving.arrivals(), before, "round {round}");
        }
    });
}

/// Writes a configuration that allows bodies of `body_bytes`.
fn write_body_limit(cluster: &TierCluster, version: u64, body_bytes: usize) {
    let spec = json!({
        "version": version, "services": [{"name": PLAIN, "maxConns": 8}],
        "routes": [{
            "name": "one", "host": HOST, "pathPrefix": "/one/", "type": "idempotent",
            "service": PLAIN, "timeoutMs": 5_000, "maxAttempts": 2, "priority": 2,
        }],
        "limits": {
            "headerBytes": 16_384, "maxBodyBytes": body_bytes, "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 20_000,
        },
    });
    cluster.store.write("config", "main", spec);
}

/// Sends a request with a body of `bytes` on a kept connection and returns the answer's status line.
async fn post(stream: &mut TcpStream, id: &str, bytes: usize) -> String {
    let head = format!(
        "POST /one/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\ncontent-length: {bytes}\r\n\r\n"
    );
    let body = "x".repeat(bytes);
    stream.write_all((head + &body).as_bytes()).await.unwrap();
    let mut answer = [0; 4096];
    let read = stream.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..read]);
    text.lines().next().unwrap_or("").to_owned()
}

/// Guards against a 413 to a body that only the configuration of the connection's last request forbids.
#[test]
fn limits_of_a_new_configuration_hold_on_connections_that_were_idle() {
    with_cluster(1, async |cluster| {
        write_body_limit(cluster, 1_000, 100);
        sleep(CONFIG_APPLY_TIME).await;
        let mut stream = TcpStream::connect(front_addr(cluster, 0)).await.unwrap();
        assert_eq!(post(&mut stream, "before", 100).await, "HTTP/1.1 200 OK");
        write_body_limit(cluster, 1_001, 10_000);
        sleep(CONFIG_APPLY_TIME).await;
        assert_eq!(post(&mut stream, "after", 10_000).await, "HTTP/1.1 200 OK");
    });
}

/// Writes a configuration with [`MANY_ROUTES`] routes whose time limits depend on `number`.
fn write_many_routes(cluster: &mut TierCluster, number: u64) {
    let mut config = cluster.config.clone().clear_routes();
    for route in 0..MANY_ROUTES {
        let prefix = format!("/many-{route}/");
        config = config.single_route(&prefix, PLAIN, true);
        config = config.limits(2_000 + number, 200);
    }
    let services = cluster.services.clone();
    cluster.config = config.gather_route(&format!("/{number}/"), &services, 200);
    cluster.config.write(&cluster.store);
}

/// Asks a daemon for its readiness until `end`, and returns the longest wait for a good answer.
async fn longest_readiness_wait(at: SocketAddr, end: Instant) -> Duration {
    let url = format!("http://{at}/v1/ready");
    let mut longest = Duration::ZERO;
    while Instant::now() < end {
        let asked = Instant::now();
        while get(&url).await.is_none_or(|answer| answer.status != 200) {}
        longest = longest.max(asked.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    longest
}

/// Guards against control threads that make a large patch for each peer while readiness is asked for.
#[test]
fn a_version_that_changes_all_routes_holds_up_no_daemon() {
    with_cluster(8, async |cluster| {
        write_many_routes(cluster, 0);
        sleep(CONFIG_APPLY_TIME).await;
        for number in 1..3 {
            write_many_routes(cluster, number);
            let end = Instant::now() + CONFIG_APPLY_TIME;
            let ready = cluster.daemons.iter().map(|d| d.addresses().ready);
            let waits = join_all(ready.map(|at| longest_readiness_wait(at, end))).await;
            println!("version {number}: {waits:?}");
            assert!(waits.iter().all(|wait| *wait < READY_INTERVAL), "{waits:?}");
            assert_in_force(cluster, usize::try_from(number).unwrap()).await;
        }
    });
}
