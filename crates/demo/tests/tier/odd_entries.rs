//! Entries that cannot be read, left in the store by another writer among sound ones.

use {
    super::{
        CONFIG_APPLY_TIME, DRAIN_TIME, front_addr, plain_servers, shard_servers, with_cluster,
        with_settings,
    },
    actix_rt::time::sleep,
    rattanturn_daemon::Tier,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster, request},
    rattanturn_standins::{
        operator::{deregister_target, register_target},
        shard::State,
    },
    serde_json::json,
    std::sync::Arc,
};

/// Kinds that daemons read.
const KINDS: [&str; 5] = [
    "servers",
    "evacuations",
    "config",
    "rattanturn-daemons",
    "rattanturn-quarantine",
];

/// Settings with which daemons read orders for roll-outs.
const ROLLOUT_SETTINGS: &str = "exposure = 0.1\nexposure-slack = 50\nrollback-limit = 5s\n";

/// Values that cannot be read, or not as an entry of any kind.
fn odd_values() -> Vec<Vec<u8>> {
    let mut values = vec![
        [vec![b'['; 200], vec![b']'; 200]].concat(),
        [br#"{"a":"#.repeat(5_000), b"1".to_vec(), vec![b'}'; 5_000]].concat(),
        b"\"\xff\xfe\x01\"".to_vec(),
        b"NaN".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"7".to_vec(),
    ];
    let numbers = [
        "1e400",
        "1208925819614629174706176",
        "-1",
        "1e308",
        "\"NaN\"",
        "null",
    ];
    let fields = [
        "maxConcurrency",
        "warmupLeftMs",
        "seq",
        "born",
        "cores",
        "written_ms",
    ];
    for (number, field) in numbers.iter().flat_map(|n| fields.map(|f| (n, f))) {
        let entry = json!({
            "service": "other", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
            "maxConcurrency": 3, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
        });
        let rest = entry.to_string().replacen('{', "", 1);
        values.push(format!("{{\"{field}\":{number},{rest}").into_bytes());
    }
    let port = json!({
        "service": PLAIN, "address": "127.0.0.1:70000", "zone": "a", "version": "v1",
        "maxConcurrency": 3, "state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
    });
    values.push(port.to_string().into_bytes());
    values
}

/// Leaves odd entries of each kind, under names before and after those of the sound ones.
fn write_odd(cluster: &TierCluster, round: usize) {
    for kind in KINDS {
        for (number, value) in odd_values().iter().enumerate() {
            for start in ["0", "z"] {
                let name = format!("{start}/odd?{round}-{number}");
                cluster.store.write_bytes(kind, &name, value);
            }
        }
    }
}

/// Sends requests to all daemons, asserts that each is answered, and returns how many arrived at `server`.
async fn arrivals(cluster: &TierCluster, path: &str, tag: &str, server: &State) -> u64 {
    let before = server.arrivals();
    for daemon in 0..cluster.daemons.len() {
        for n in 0..20 {
            let id = format!("{tag}-{daemon}-{n}");
            let answer = request(front_addr(cluster, daemon), path, &id, "").await;
            assert_eq!(answer.unwrap().status, 200, "{id}");
        }
    }
    server.arrivals() - before
}

/// Asserts that daemons follow targets and the configuration.
async fn assert_followed(cluster: &mut TierCluster) {
    let leaving = plain_servers(cluster)[0].clone();
    register_target(&cluster.store, &leaving, "draining", 5);
    sleep(DRAIN_TIME).await;
    assert_eq!(arrivals(cluster, "/one/x", "drain", &leaving).await, 0);
    let added = cluster.start_version(PLAIN, "v1", None).await.unwrap();
    deregister_target(&cluster.store, &plain_servers(cluster)[1]);
    sleep(DRAIN_TIME).await;
    let used: u64 = arrivals(cluster, "/one/x", "added", &added[0]).await
        + arrivals(cluster, "/one/x", "added2", &added[1]).await;
    assert!(used > 0, "the targets added later are not used");
    cluster.config = cluster.config.clone().single_route("/new/", PLAIN, true);
    cluster.config.write(&cluster.store);
    sleep(CONFIG_APPLY_TIME).await;
    arrivals(cluster, "/new/x", "new", &leaving).await;
}

/// Daemons that watched the store stopped following it.
#[test]
fn watching_daemons_follow_the_store_beside_odd_entries() {
    with_cluster(2, async |cluster| {
        write_odd(cluster, 0);
        arrivals(cluster, "/one/x", "odd", &plain_servers(cluster)[0]).await;
        assert_followed(cluster).await;
    });
}

/// Small daemons get targets and orders from the two large ones, also orders that are nested deeply.
#[test]
fn daemons_that_follow_a_peer_follow_it_beside_odd_orders() {
    with_settings(0, ROLLOUT_SETTINGS, async |cluster| {
        cluster.start_with_cores(2, 4.0).unwrap();
        cluster.start_with_cores(2, 1.0).unwrap();
        cluster.wait_ready().await.unwrap();
        write_odd(cluster, 0);
        let deep = |levels| [vec![b'['; levels], vec![b']'; levels]].concat();
        for levels in [60, 64, 65, 124, 127] {
            let name = format!("deep-{levels}");
            cluster.store.write_bytes("rollouts", &name, &deep(levels));
        }
        for (number, value) in odd_values().iter().enumerate() {
            let name = format!("odd-{number}");
            cluster.store.write_bytes("rollouts", &name, value);
        }
        assert_followed(cluster).await;
    });
}

/// Daemons that start read a list, which failed as a whole, and were never ready.
#[test]
fn starting_daemons_follow_the_store_beside_odd_entries() {
    with_cluster(1, async |cluster| {
        write_odd(cluster, 0);
        cluster.daemons.drain(..).for_each(Tier::kill);
        cluster.start_daemons(2).unwrap();
        cluster.wait_ready().await.unwrap();
        write_odd(cluster, 1);
        assert_followed(cluster).await;
    });
}

/// A list dropped such a target, a watch kept it.
#[test]
fn a_target_whose_entry_turns_odd_is_not_used_until_it_is_sound_again() {
    with_cluster(1, async |cluster| {
        for value in [&odd_values()[0], &b"{\"state\":\"resting\"}".to_vec()] {
            let server: Arc<State> = plain_servers(cluster)[0].clone();
            cluster.store.write_bytes("servers", &server.id(), value);
            sleep(DRAIN_TIME).await;
            assert_eq!(arrivals(cluster, "/one/x", "watch", &server).await, 0);
            // This daemon reads a list first.
            cluster.start_daemons(1).unwrap();
            cluster.wait_ready().await.unwrap();
            assert_eq!(arrivals(cluster, "/one/x", "list", &server).await, 0);
            let sequence = 10 + cluster.daemons.len() as u64;
            register_target(&cluster.store, &server, "ready", sequence);
            sleep(DRAIN_TIME).await;
            assert!(arrivals(cluster, "/one/x", "back", &server).await > 0);
        }
    });
}

/// The name of such an entry says what is asked for.
#[test]
fn an_evacuation_with_an_unreadable_value_counts() {
    with_cluster(1, async |cluster| {
        cluster
            .store
            .write_bytes("evacuations", "a", &odd_values()[0]);
        sleep(DRAIN_TIME).await;
        cluster.start_daemons(1).unwrap();
        cluster.wait_ready().await.unwrap();
        let evacuated = shard_servers(cluster, 0)[0].clone();
        assert_eq!(arrivals(cluster, "/all/x", "out", &evacuated).await, 0);
        cluster.store.remove("evacuations", "a");
        sleep(DRAIN_TIME).await;
        assert!(arrivals(cluster, "/all/x", "in", &evacuated).await > 0);
    });
}

/// The daemons' own entries are written again, and the last good configuration stays in force.
#[test]
fn an_unreadable_configuration_leaves_the_last_good_one_in_force() {
    with_cluster(2, async |cluster| {
        let server = plain_servers(cluster)[0].clone();
        for value in odd_values().iter().take(6) {
            cluster.store.write_bytes("config", "main", value);
        }
        sleep(CONFIG_APPLY_TIME).await;
        arrivals(cluster, "/one/x", "kept", &server).await;
        cluster.config = cluster.config.clone().single_route("/new/", PLAIN, true);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        arrivals(cluster, "/new/x", "new", &server).await;
    });
}

/// Guards against a list that fails as a whole, and daemons that are never ready.
#[test]
fn starting_daemons_follow_the_store_beside_a_page_of_long_names() {
    with_cluster(1, async |cluster| {
        for number in 0..600 {
            let name = format!("0{number:04}{}", "n".repeat(1_100));
            cluster.store.write_bytes("servers", &name, b"{}");
        }
        cluster.daemons.drain(..).for_each(Tier::kill);
        cluster.start_daemons(2).unwrap();
        cluster.wait_ready().await.unwrap();
        assert_followed(cluster).await;
    });
}

/// Asserts the status of a request at each daemon.
async fn assert_statuses(cluster: &TierCluster, path: &str, expected: u16) {
    for daemon in 0..cluster.daemons.len() {
        let answer = request(front_addr(cluster, daemon), path, &format!("s{daemon}"), "").await;
        assert_eq!(
            answer.unwrap().status,
            expected,
            "{path} at daemon {daemon}"
        );
    }
}

/// Guards against a route's priority above 255 that keeps a configuration out.
#[test]
fn a_configuration_with_a_priority_above_255_is_in_force() {
    with_cluster(3, async |cluster| {
        let config = cluster.config.clone().single_route("/new/", PLAIN, true);
        cluster.config = config.field("priority", json!(1_000));
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        assert_statuses(cluster, "/new/x", 200).await;
    });
}

/// Guards against one unusable route that keeps out all others, also at a daemon that starts then.
#[test]
fn an_unusable_route_is_refused_and_the_others_are_served() {
    with_cluster(2, async |cluster| {
        let config = cluster
            .config
            .clone()
            .single_route("/one/odd/", PLAIN, true);
        let config = config.field("service", json!(5));
        cluster.config = config.single_route("/new/", PLAIN, true);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        cluster.start_daemons(1).unwrap();
        cluster.wait_ready().await.unwrap();
        assert_statuses(cluster, "/new/x", 200).await;
        assert_statuses(cluster, "/one/odd/x", 503).await;
        assert_statuses(cluster, "/one/x", 200).await;
    });
}
