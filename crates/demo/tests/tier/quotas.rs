//! Quotas of accounts with real daemons.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    awc::Client,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::operator::HOST,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Limit of each account, in requests a second and as burst.
const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
/// Length of the load, one window of the quotas.
const WINDOW: Duration = Duration::from_secs(5);
/// What may run in a window: quota, 0.1 of it, and 20 requests.
const BOUND: f64 = (RATE * 5.0 + BURST) * 1.1 + 20.0;
/// Keys of the hot account and of another one.
const HOT_KEY: &str = "key-of-the-hot-account";
const OTHER_KEY: &str = "key-of-another-account";

/// Writes a configuration with two accounts and waits until all daemons have it.
async fn write_accounts(cluster: &TierCluster) {
    let account = |name: &str, key: &str| json!({"name": name, "apiKeys": [key], "ratePerS": RATE, "burst": BURST});
    let spec = json!({
        "version": 1_000,
        "routes": [{
            "name": "one", "host": HOST, "pathPrefix": "/one/", "type": "idempotent",
            "service": PLAIN, "timeoutMs": 1500, "maxAttempts": 2, "priority": 2,
        }],
        "services": [{"name": PLAIN, "healthPath": "/healthz", "maxConns": 64}],
        "tenants": [account("hot", HOT_KEY), account("other", OTHER_KEY)],
    });
    cluster.store.write("config", "main", spec);
    sleep(CONFIG_APPLY_TIME).await;
}

/// Sends a request with a key; returns the status, and the time of `retry-after` in seconds.
async fn call(at: SocketAddr, key: &str) -> Option<(u16, f64)> {
    let request = Client::default().get(format!("http://{at}/one/x"));
    let request = request
        .insert_header(("host", HOST))
        .insert_header(("x-request-id", format!("{:016x}", rand::random::<u64>())))
        .insert_header(("authorization", format!("Bearer {key}")));
    let answer = request.send().await.ok()?;
    let after = answer.headers().get("retry-after");
    let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
    Some((answer.status().as_u16(), after.unwrap_or(0.0)))
}

/// Sends requests to the given daemons in turn, `per_second` in all, for a time.
async fn load(
    fronts: Vec<SocketAddr>,
    key: &'static str,
    per_second: u32,
    time: Duration,
) -> Vec<(u16, f64)> {
    let end = Instant::now() + time;
    let mut open = Vec::new();
    while Instant::now() < end {
        let at = fronts[open.len() % fronts.len()];
        open.push(actix_rt::spawn(call(at, key)));
        sleep(Duration::from_secs(1) / per_second).await;
    }
    let answers = futures::future::join_all(open).await;
    answers
        .into_iter()
        .filter_map(Result::ok)
        .flatten()
        .collect()
}

fn count(answers: &[(u16, f64)], status: u16) -> f64 {
    let count = answers.iter().filter(|a| a.0 == status).count();
    f64::from(u32::try_from(count).unwrap())
}

fn fronts(cluster: &TierCluster) -> Vec<SocketAddr> {
    (0..cluster.daemons.len())
        .map(|d| front_addr(cluster, d))
        .collect()
}

/// Guards against a limit that holds for each daemon on its own, and against an account that is
/// refused because of another one.
#[test]
fn a_hot_account_gets_its_limit_and_another_one_loses_nothing() {
    with_cluster(4, async |cluster| {
        write_accounts(cluster).await;
        let all = fronts(cluster);
        let (hot, other) = futures::join!(
            load(all.clone(), HOT_KEY, 100, WINDOW),
            load(all, OTHER_KEY, 8, WINDOW)
        );
        let (served, refused) = (count(&hot, 200), count(&hot, 429));
        println!("hot: {served} served, {refused} refused, {BOUND} allowed");
        assert!(served <= BOUND, "{served} served");
        assert!(served >= RATE * 4.0, "{served} served");
        assert!(refused > 0.0);
        let hot_refused = hot.iter().filter(|a| a.0 == 429);
        assert!(hot_refused.clone().all(|a| a.1 > 0.0 && a.1 <= 6.0));
        let len = f64::from(u32::try_from(other.len()).unwrap());
        assert!((count(&other, 200) - len).abs() < 0.5, "{other:?}");
    });
}

/// Guards against a limit that multiplies, or an account that gets nothing, when its owner dies.
#[test]
fn the_bound_holds_while_a_daemon_is_killed_under_load() {
    with_cluster(4, async |cluster| {
        write_accounts(cluster).await;
        let first = cluster.daemons[0].state().await.unwrap();
        let all = fronts(cluster);
        load(all.clone(), HOT_KEY, 50, Duration::from_secs(1)).await;
        let state = cluster.daemons[0].state().await.unwrap();
        let owner = state["accounts"][0]["owner"]
            .as_str()
            .unwrap_or("")
            .to_owned();
        assert!(!owner.is_empty(), "{first}");
        let number: usize = owner.trim_start_matches('d').parse().unwrap();
        let before: u64 = plain_servers(cluster).iter().map(|s| s.arrivals()).sum();
        cluster.daemons.remove(number).kill();
        let left = fronts(cluster);
        let served = count(&load(left, HOT_KEY, 60, WINDOW).await, 200);
        let after: u64 = plain_servers(cluster).iter().map(|s| s.arrivals()).sum();
        println!(
            "{served} served after the owner {owner} was killed, {} arrived",
            after - before
        );
        assert!(served <= BOUND, "{served} served");
        // The others notice it in about two seconds, and the new owner lends a second later.
        assert!(served >= RATE, "{served} served");
    });
}
