//! Keys of callers while daemons lose servers, the store or each other, and while requests wait.

use {
    super::{
        CONFIG_APPLY_TIME,
        accounts::{KEY, OTHER_KEY, SECOND_KEY, account_lines, accounts, set_accounts},
        front_addr, plain_servers, with_cluster, with_settings,
    },
    actix_rt::time::sleep,
    awc::Client,
    rattanturn_demo::tier_cluster::TierCluster,
    rattanturn_standins::{operator::HOST, platform::Mode, proxy::LinkMode, shard::Crash},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time in which a daemon that lost all servers has requests run by a peer.
const RELAY_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Setting `revoke-limit` of the tests with `strict-revoke`.
const REVOKE_LIMIT: Duration = Duration::from_secs(2);
const STRICT: &str = "strict-revoke = true\nrevoke-limit = 2s\n";
/// Time beyond a limit in which it must be in force, also beside other load.
const LEEWAY: Duration = Duration::from_millis(700);

/// An answer: its status and, if stated, the time of `retry-after`.
pub(super) type Outcome = (u16, Option<f64>);

/// Sends a request with a key, or none; `None` if no answer came.
pub(super) async fn call(at: SocketAddr, path: &str, id: &str, key: &str) -> Option<Outcome> {
    let client = Client::builder().disable_timeout().finish();
    let mut request = client
        .get(format!("http://{at}{path}"))
        .insert_header(("host", HOST))
        .insert_header(("x-request-id", id));
    if !key.is_empty() {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let answer = request.send().await.ok()?;
    let after = answer.headers().get("retry-after");
    let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
    Some((answer.status().as_u16(), after))
}

/// Status of an answer, 0 if none came.
async fn status(at: SocketAddr, path: &str, id: &str, key: &str) -> u16 {
    call(at, path, id, key).await.map_or(0, |a| a.0)
}

/// Ids of the requests that ran at any server of `/one/` and `/once/`.
pub(super) fn ran_ids(cluster: &TierCluster) -> BTreeSet<String> {
    let servers = plain_servers(cluster);
    let runs = servers.iter().flat_map(|s| s.counters().runs);
    runs.map(|(id, _)| id).collect()
}

/// A value of an account in the state dumps of all daemons, summed up.
pub(super) async fn account_sum(cluster: &TierCluster, account: &str, field: &str) -> f64 {
    let mut sum = 0.0;
    for daemon in &cluster.daemons {
        let state = daemon.state().await.unwrap();
        let rows = state["accounts"].as_array().cloned().unwrap_or_default();
        let row = rows.into_iter().find(|r| r["account"] == account);
        sum += row.and_then(|r| r[field].as_f64()).unwrap_or(0.0);
    }
    sum
}

/// Waits until `path` is answered with `expected`; panics after `limit`.
async fn wait_status(at: SocketAddr, path: &str, key: &str, expected: u16, limit: Duration) {
    let end = Instant::now() + limit;
    loop {
        let id = format!("wait-{:016x}", rand::random::<u64>());
        let seen = status(at, path, &id, key).await;
        if seen == expected {
            return;
        }
        assert!(Instant::now() < end, "{seen} instead of {expected}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// One account with a limit.
fn limited(keys: &[&str], rate: f64, burst: f64) -> Value {
    json!([
        {"name": "ralo620", "apiKeys": keys, "ratePerS": rate, "burst": burst},
        {"name": "other", "apiKeys": [OTHER_KEY]},
    ])
}

fn cut_off_servers(cluster: &TierCluster) {
    for proxy in &cluster.gateway {
        proxy.set_accepting(false);
        proxy.set_mode(LinkMode::Reset);
    }
}

/// Guards against a request that a peer runs without the account, or refuses, because the daemon that
/// passes it on does not send the key, and against a key that reaches a server this way.
#[test]
fn passed_on_request_is_served_with_the_accounts_name() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        set_accounts(cluster, accounts(&[KEY])).await;
        let at = front_addr(cluster, 2);
        for n in 0..10 {
            assert_eq!(status(at, "/one/x", &format!("before{n}"), KEY).await, 200);
        }
        cut_off_servers(cluster);
        let settled = Instant::now() + RELAY_SETTLE_TIME;
        while Instant::now() < settled {
            let id = format!("early-{:016x}", rand::random::<u64>());
            status(at, "/one/x", &id, KEY).await;
        }
        for n in 0..20 {
            for path in ["/one/x", "/once/x", "/all/x"] {
                let id = format!("{path}-{n}");
                assert_eq!(status(at, path, &id, KEY).await, 200, "{id}");
                if path != "/all/x" {
                    assert!(ran_ids(cluster).contains(&id), "{id}");
                    assert_eq!(account_lines(cluster), ["x-tenant: ralo620"]);
                }
            }
        }
        for key in ["nobody", ""] {
            assert_eq!(status(at, "/one/x", "unknown", key).await, 401);
        }
        assert!(!ran_ids(cluster).contains("unknown"));
    });
}

/// Guards against a passed-on request that costs two tokens, one at each daemon, or none.
#[test]
fn passed_on_request_costs_one_token() {
    with_cluster(2, async |cluster| {
        cluster.start_behind_gateway(1).await.unwrap();
        cluster.wait_ready().await.unwrap();
        set_accounts(cluster, limited(&[KEY], 100.0, 100.0)).await;
        let at = front_addr(cluster, 2);
        assert_eq!(status(at, "/one/x", "before", KEY).await, 200);
        cut_off_servers(cluster);
        let settled = Instant::now() + RELAY_SETTLE_TIME;
        while Instant::now() < settled {
            let id = format!("early-{:016x}", rand::random::<u64>());
            status(at, "/one/x", &id, KEY).await;
            sleep(Duration::from_millis(30)).await;
        }
        let before = account_sum(cluster, "ralo620", "ran").await;
        for n in 0..20 {
            let id = format!("relayed{n}");
            assert_eq!(status(at, "/once/x", &id, KEY).await, 200, "{id}");
        }
        let counted = account_sum(cluster, "ralo620", "ran").await - before;
        assert!((counted - 20.0).abs() < 0.5, "{counted} of 20");
    });
}

/// Guards against a peer that trusts the daemon that passes a request on: it must refuse a key that it
/// does not know.
#[test]
fn peer_refuses_a_passed_on_request_whose_key_it_does_not_know() {
    with_cluster(0, async |cluster| {
        cluster.start_isolatable(2, false).await.unwrap();
        cluster.start_isolatable(1, true).await.unwrap();
        cluster.wait_ready().await.unwrap();
        set_accounts(cluster, accounts(&[KEY])).await;
        let at = front_addr(cluster, 2);
        assert_eq!(status(at, "/one/x", "before", KEY).await, 200);
        // Only the last daemon reads the new configuration, and the others cannot fetch it.
        for other in 0..2 {
            cluster.set_store_lost(other, true);
        }
        cluster.proxies[2 * 2 + 1].set_mode(LinkMode::Reset);
        cluster.proxies[2 * 2 + 1].set_accepting(false);
        let list = accounts(&[KEY, SECOND_KEY]);
        cluster.config = cluster.config.clone().accounts(Some(list));
        cluster.config.write(&cluster.store);
        wait_status(at, "/one/x", SECOND_KEY, 200, Duration::from_secs(15)).await;
        let peer = status(front_addr(cluster, 0), "/one/x", "peer", SECOND_KEY).await;
        assert_eq!(peer, 401, "the peer has the new configuration");
        cut_off_servers(cluster);
        // Not even while its servers are being lost may the request run.
        let settled = Instant::now() + RELAY_SETTLE_TIME;
        let mut answers = Vec::new();
        while Instant::now() < settled {
            let id = format!("cut{}", answers.len());
            answers.push(status(at, "/one/x", &id, SECOND_KEY).await);
            sleep(Duration::from_millis(20)).await;
        }
        let peer = status(front_addr(cluster, 0), "/one/x", "peer", SECOND_KEY).await;
        assert_eq!(peer, 401, "the peer has the new configuration");
        assert!(!answers.contains(&200), "{answers:?}");
        let recent = &answers[answers.len() - 10..];
        assert!(recent.iter().all(|s| *s == 401), "{answers:?}");
        assert!(!ran_ids(cluster).iter().any(|id| id.starts_with("cut")));
        // A key that both know is served all the same.
        assert_eq!(status(at, "/one/x", "known", KEY).await, 200);
        assert_eq!(account_lines(cluster), ["x-tenant: ralo620"]);
    });
}

/// Guards against a key that a daemon without contact accepts for ever although it was revoked, and
/// against a connected daemon that refuses keys.
#[test]
fn strict_daemon_without_contact_refuses_keys_after_the_limit() {
    with_settings(0, STRICT, async |cluster| {
        cluster.start_isolatable(2, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        cluster.config = cluster.config.clone().public();
        set_accounts(cluster, accounts(&[KEY, SECOND_KEY])).await;
        let all = [front_addr(cluster, 0), front_addr(cluster, 1)];
        let connected = Instant::now() + REVOKE_LIMIT * 2;
        while Instant::now() < connected {
            for at in all {
                let id = format!("c-{:016x}", rand::random::<u64>());
                assert_eq!(status(at, "/one/x", &id, KEY).await, 200);
            }
            sleep(Duration::from_millis(50)).await;
        }
        cluster.set_isolated(1, true);
        cluster.set_store_lost(1, true);
        let cut = Instant::now();
        let list = accounts(&[SECOND_KEY]);
        cluster.config = cluster.config.clone().accounts(Some(list));
        cluster.config.write(&cluster.store);
        let mut last_served = cut;
        while cut.elapsed() < REVOKE_LIMIT * 3 {
            let sent = Instant::now();
            let id = format!("cut-{:016x}", rand::random::<u64>());
            let answer = call(all[1], "/one/x", &id, KEY).await.unwrap();
            let expected = if answer.0 == 200 { None } else { Some(true) };
            assert!(matches!(answer.0, 200 | 503), "{answer:?}");
            assert_eq!(answer.1.map(|a| a > 0.0), expected);
            if answer.0 == 200 {
                last_served = sent;
            } else {
                assert!(!ran_ids(cluster).contains(&id), "a refused request ran");
            }
            sleep(Duration::from_millis(20)).await;
        }
        let served = last_served - cut;
        println!("served for {served:?} after the cut");
        assert!(served <= REVOKE_LIMIT + LEEWAY, "served for {served:?}");
        assert!(served >= REVOKE_LIMIT / 4, "refused after {served:?}");
        // A public route is served, without an account.
        assert_eq!(status(all[1], "/once/x", "public", KEY).await, 200);
        assert!(account_lines(cluster).is_empty());
        // The other daemon has the new configuration and goes on.
        assert_eq!(status(all[0], "/one/x", "r", KEY).await, 401);
        assert_eq!(status(all[0], "/one/x", "s", SECOND_KEY).await, 200);
        cluster.set_isolated(1, false);
        cluster.set_store_lost(1, false);
        wait_status(all[1], "/one/x", SECOND_KEY, 200, Duration::from_secs(15)).await;
        assert_eq!(status(all[1], "/one/x", "t", KEY).await, 401);
        // Without the store nobody can confirm the configuration, so announcements must not.
        cluster.store.set_mode(Mode::Down);
        sleep(REVOKE_LIMIT + Duration::from_secs(1) + LEEWAY).await;
        for at in all {
            assert_eq!(status(at, "/one/x", "down", SECOND_KEY).await, 503);
        }
        cluster.store.set_mode(Mode::Up);
        for at in all {
            wait_status(at, "/one/x", SECOND_KEY, 200, Duration::from_secs(15)).await;
        }
    });
}

/// Guards against a loss of contact that ends the service where the settings do not ask for that.
#[test]
fn daemon_without_contact_keeps_its_configuration_unless_it_is_strict() {
    let settings = "revoke-limit = 2s\n";
    with_settings(0, settings, async |cluster| {
        cluster.start_isolatable(2, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        set_accounts(cluster, accounts(&[KEY])).await;
        let at = front_addr(cluster, 1);
        assert_eq!(status(at, "/one/x", "before", KEY).await, 200);
        cluster.set_isolated(1, true);
        cluster.set_store_lost(1, true);
        let cut = Instant::now();
        while cut.elapsed() < REVOKE_LIMIT * 3 {
            let id = format!("cut-{:016x}", rand::random::<u64>());
            assert_eq!(status(at, "/one/x", &id, KEY).await, 200);
            assert_eq!(status(at, "/one/x", "no", "nobody").await, 401);
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Guards against a token that is lost with a request that is refused because its key was revoked
/// while it waited for a connection.
#[test]
fn token_of_a_request_whose_key_is_revoked_while_it_waits_is_returned() {
    with_cluster(1, async |cluster| {
        set_accounts(cluster, limited(&[KEY], 100.0, 150.0)).await;
        for server in plain_servers(cluster) {
            // Calls take a second, and each server takes fewer connections than requests come.
            server.set_slow(100.0);
        }
        let at = front_addr(cluster, 0);
        let send = |n| async move { status(at, "/once/x", &format!("w{n}"), KEY).await };
        let all: Vec<_> = (0..120).map(|n| actix_rt::spawn(send(n))).collect();
        sleep(Duration::from_millis(100)).await;
        let list = limited(&[SECOND_KEY], 100.0, 150.0);
        cluster.config = cluster.config.clone().accounts(Some(list));
        cluster.config.write(&cluster.store);
        let mut refused = 0_u32;
        for (n, one) in all.into_iter().enumerate() {
            if one.await.unwrap() == 401 {
                refused += 1;
                let id = format!("w{n}");
                assert!(!ran_ids(cluster).contains(&id), "{id} ran and was refused");
            }
        }
        assert!(refused > 0, "no request had to wait");
        let ran = u32::try_from(ran_ids(cluster).len()).unwrap();
        let counted = account_sum(cluster, "ralo620", "ran").await;
        println!("{refused} refused, {ran} ran, {counted} counted");
        assert!((counted - f64::from(ran)).abs() < 0.5, "{counted} of {ran}");
    });
}

/// Guards against a request that runs although its key was revoked while it waited for a token, here of
/// an owner that answers late.
#[test]
fn request_that_waits_for_a_token_is_refused_once_its_key_is_revoked() {
    with_cluster(0, async |cluster| {
        cluster.start_isolatable(2, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        let mut keys = [KEY, SECOND_KEY];
        set_accounts(cluster, limited(&keys[..1], 2_000.0, 500.0)).await;
        status(front_addr(cluster, 0), "/once/x", "first", KEY).await;
        let state = cluster.daemons[0].state().await.unwrap();
        let owns = state["accounts"][0]["owner"] == "d0";
        let at = front_addr(cluster, usize::from(owns));
        cluster.links.set_delay(Duration::from_millis(20));
        let mut rounds = 0;
        for round in 0..8 {
            let [old, new] = keys;
            let start = Instant::now();
            let mut open = Vec::new();
            while start.elapsed() < Duration::from_millis(900) {
                if open.len() == 20 {
                    let list = limited(&[new], 2_000.0, 500.0);
                    cluster.config = cluster.config.clone().accounts(Some(list));
                    cluster.config.write(&cluster.store);
                }
                // More at once than the daemon may run on credit.
                for _ in 0..10 {
                    let id = format!("t{round}-{}", open.len());
                    open.push(actix_rt::spawn(async move {
                        let sent = Instant::now();
                        let answer = status(at, "/once/x", &id, old).await;
                        (id, answer, sent.elapsed())
                    }));
                }
                sleep(Duration::from_millis(45)).await;
            }
            let mut waited = 0_u32;
            for one in open {
                let (id, answer, took) = one.await.unwrap();
                assert!(matches!(answer, 200 | 401 | 429), "{answer}");
                assert_eq!(
                    answer == 200,
                    ran_ids(cluster).contains(&id),
                    "{id}: {answer}"
                );
                // A request that comes after the change is refused without a wait.
                waited += u32::from(answer == 401 && took >= Duration::from_millis(30));
            }
            println!("round {round}: {waited} refused after a wait");
            rounds += u32::from(waited >= 5);
            keys.swap(0, 1);
        }
        // Not each change meets requests that wait.
        assert!(rounds >= 2, "refused after a wait in {rounds} rounds");
        let counted = account_sum(cluster, "ralo620", "ran").await;
        let served = u32::try_from(ran_ids(cluster).len()).unwrap();
        assert!(
            (counted - f64::from(served)).abs() < 0.5,
            "{counted} of {served}"
        );
    });
}

/// Guards against a request that runs, or keeps its token, although its key was revoked while it waited
/// for its turn as a trial of the quarantine.
#[test]
fn request_that_waits_for_its_trial_is_refused_once_its_key_is_revoked() {
    with_cluster(1, async |cluster| {
        set_accounts(cluster, limited(&[KEY], 50.0, 50.0)).await;
        let at = front_addr(cluster, 0);
        for server in plain_servers(cluster) {
            server.set_crash(Some(Crash {
                path: "/one/trial".into(),
                down: Duration::from_millis(300),
                store: cluster.store.clone(),
            }));
        }
        // Ends both servers, so that the request is suspect and tried with one call at a time.
        status(at, "/one/trial", "crash", KEY).await;
        let ends: u64 = plain_servers(cluster)
            .iter()
            .map(|s| s.counters().crashes)
            .sum();
        assert_eq!(ends, 2);
        for server in plain_servers(cluster) {
            server.set_crash(None);
            server.set_slow(100.0);
        }
        wait_status(at, "/one/other", KEY, 200, Duration::from_secs(10)).await;
        let send = |id: &'static str| {
            actix_rt::spawn(async move { status(at, "/one/trial", id, KEY).await })
        };
        let first = send("first");
        sleep(Duration::from_millis(100)).await;
        let waiting: Vec<_> = ["a", "b", "c"].into_iter().map(send).collect();
        sleep(Duration::from_millis(50)).await;
        assert!(!ran_ids(cluster).contains("a"), "it does not wait");
        let list = limited(&[SECOND_KEY], 50.0, 50.0);
        cluster.config = cluster.config.clone().accounts(Some(list));
        cluster.config.write(&cluster.store);
        assert_eq!(first.await.unwrap(), 200);
        for one in waiting {
            assert_eq!(one.await.unwrap(), 401);
        }
        let ran = ran_ids(cluster);
        for id in ["a", "b", "c"] {
            assert!(!ran.contains(id), "{id} ran");
        }
        sleep(CONFIG_APPLY_TIME).await;
        let counted = account_sum(cluster, "ralo620", "ran").await;
        let ran = u32::try_from(ran.len()).unwrap();
        assert!((counted - f64::from(ran)).abs() < 0.5, "{counted} of {ran}");
    });
}
