//! Quotas of accounts while datagrams are lost, callers leave, no target is left and limits change.

use {
    super::{
        CONFIG_APPLY_TIME, DRAIN_TIME, front_addr,
        keys_under_failure::{account_sum, call, ran_ids},
        plain_servers, with_cluster,
    },
    actix_rt::time::{sleep, sleep_until},
    awc::Client,
    rattanturn_daemon::Tier,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::{
        operator::{HOST, deregister_target, register_target},
        shard::Fault,
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

const HOT_KEY: &str = "key-of-the-hot-account";
const OTHER_KEY: &str = "key-of-another-account";
const WINDOW: Duration = Duration::from_secs(5);

/// What may run in a window.
fn bound(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
}

/// Writes a configuration with a limit of the hot account; another account has 20 a second.
fn write_limit(cluster: &TierCluster, version: u64, rate: f64, burst: f64) {
    let account = |name: &str, key: &str, rate: f64, burst: f64| json!({"name": name, "apiKeys": [key], "ratePerS": rate, "burst": burst});
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "type": kind,
            "service": PLAIN, "timeoutMs": 1500, "maxAttempts": 2, "priority": 2,
        })
    };
    let spec = json!({
        "version": version,
        "routes": [route("one", "idempotent"), route("once", "non_idempotent")],
        "services": [{"name": PLAIN, "healthPath": "/healthz", "maxConns": 30}],
        "tenants": [
            account("hot", HOT_KEY, rate, burst),
            account("other", OTHER_KEY, 20.0, 10.0),
        ],
    });
    cluster.store.write("config", "main", spec);
}

/// Sends requests to all daemons in turn; returns their ids with the answers.
async fn load(
    cluster: &TierCluster,
    key: &'static str,
    per_second: u32,
    time: Duration,
) -> Vec<(u16, Option<f64>)> {
    let fronts: Vec<SocketAddr> = (0..cluster.daemons.len())
        .map(|d| front_addr(cluster, d))
        .collect();
    let end = Instant::now() + time;
    let mut open = Vec::new();
    let mut next = Instant::now();
    while Instant::now() < end {
        let at = fronts[open.len() % fronts.len()];
        let id = format!("{:016x}", rand::random::<u64>());
        open.push(actix_rt::spawn(async move {
            call(at, "/once/x", &id, key).await.unwrap_or((0, None))
        }));
        next += Duration::from_secs(1) / per_second;
        sleep_until(next.into()).await;
    }
    let answers = futures::future::join_all(open).await;
    answers.into_iter().map(Result::unwrap).collect()
}

fn count(answers: &[(u16, Option<f64>)], status: u16) -> f64 {
    let count = answers.iter().filter(|a| a.0 == status).count();
    f64::from(u32::try_from(count).unwrap())
}

/// Asserts that exactly the requests that ran are counted as such.
async fn assert_counts(cluster: &TierCluster) {
    let ran = u32::try_from(ran_ids(cluster).len()).unwrap();
    let counted = account_sum(cluster, "hot", "ran").await;
    println!("{ran} ran, {counted} counted");
    assert!((counted - f64::from(ran)).abs() < 0.5, "{counted} of {ran}");
}

/// Number of the daemon that owns the hot account, once it is in use.
async fn owner(cluster: &TierCluster) -> usize {
    let state = cluster.daemons[0].state().await.unwrap();
    let rows = state["accounts"].as_array().unwrap();
    let row = rows.iter().find(|r| r["account"] == "hot").unwrap();
    let name = row["owner"].as_str().unwrap();
    name.trim_start_matches('d').parse().unwrap()
}

/// Guards against tokens that are lost with requests that no target took, so that the account is
/// refused when its targets are back.
#[test]
fn token_of_a_request_without_a_target_is_returned() {
    with_cluster(2, async |cluster| {
        write_limit(cluster, 1_000, 0.2, 4.0);
        sleep(CONFIG_APPLY_TIME).await;
        for server in plain_servers(cluster) {
            server.set_fault(Fault::Refused);
        }
        for daemon in 0..2 {
            let at = front_addr(cluster, daemon);
            for n in 0..12 {
                let answer = call(at, "/once/x", &format!("f{daemon}-{n}"), HOT_KEY).await;
                assert_eq!(answer.unwrap().0, 503, "request {n} at daemon {daemon}");
                if n >= 6 {
                    // Longer than the life of a lease, whose token the borrower then returns.
                    sleep(Duration::from_millis(300)).await;
                }
            }
        }
        for server in plain_servers(cluster) {
            server.set_fault(Fault::None);
            deregister_target(&cluster.store, &server);
        }
        sleep(DRAIN_TIME).await;
        for daemon in 0..2 {
            let at = front_addr(cluster, daemon);
            for n in 0..12 {
                let answer = call(at, "/once/x", &format!("n{daemon}-{n}"), HOT_KEY).await;
                assert_eq!(answer.unwrap().0, 503, "request {n} at daemon {daemon}");
            }
        }
        assert_counts(cluster).await;
        for server in plain_servers(cluster) {
            register_target(&cluster.store, &server, "ready", 7);
        }
        sleep(CONFIG_APPLY_TIME).await;
        let at = front_addr(cluster, owner(cluster).await);
        let answer = call(at, "/once/x", "back", HOT_KEY).await;
        assert_eq!(answer.unwrap().0, 200);
        assert_counts(cluster).await;
    });
}

/// Guards against a limit that does not count requests that a target runs and answers with status 503:
/// only `x-not-executed` says that it has not run them.
#[test]
fn request_that_a_target_fails_with_503_costs_its_token() {
    with_cluster(1, async |cluster| {
        write_limit(cluster, 1_000, 0.2, 4.0);
        sleep(CONFIG_APPLY_TIME).await;
        for server in plain_servers(cluster) {
            server.set_fault(Fault::Unavailable);
        }
        let at = front_addr(cluster, 0);
        let mut refused = 0;
        for n in 0..12 {
            let answer = call(at, "/once/x", &format!("f{n}"), HOT_KEY).await;
            refused += u32::from(answer.unwrap().0 == 429);
        }
        // One of four tokens may arrive meanwhile.
        assert!(refused >= 7, "{refused} of 12 refused");
        assert_counts(cluster).await;
    });
}

/// Guards against a caller that exceeds its limit, or a route's attempts, because it says that a daemon
/// passed its request on.
#[test]
fn forged_relay_header_does_not_exceed_limits() {
    with_cluster(1, async |cluster| {
        write_limit(cluster, 1_000, 0.2, 4.0);
        sleep(CONFIG_APPLY_TIME).await;
        let at = front_addr(cluster, 0);
        let send = async |id: String| {
            let request = Client::default().get(format!("http://{at}/one/x"));
            let request = request
                .insert_header(("host", HOST))
                .insert_header(("x-request-id", id))
                .insert_header(("authorization", format!("Bearer {HOT_KEY}")))
                .insert_header(("x-rattanturn-relayed", "99"));
            request.send().await.unwrap().status().as_u16()
        };
        for server in plain_servers(cluster) {
            server.set_fault(Fault::Failed);
        }
        send("failed".into()).await;
        let runs: u32 = plain_servers(cluster)
            .iter()
            .map(|s| s.runs("failed"))
            .sum();
        assert!((1..=2).contains(&runs), "{runs} runs with two attempts");
        for server in plain_servers(cluster) {
            server.set_fault(Fault::None);
        }
        let mut refused = 0;
        for n in 0..12 {
            refused += u32::from(send(format!("forged{n}")).await == 429);
        }
        // One of four tokens is used, and one arrives in five seconds.
        assert!(refused >= 8, "{refused} of 12 refused");
        assert_counts(cluster).await;
    });
}

/// Sends a request and closes the connection after `time`.
async fn leave_after(at: SocketAddr, id: String, time: Duration) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "GET /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nauthorization: Bearer {HOT_KEY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(time).await;
}

/// Guards against tokens that are asked for, or kept, on behalf of callers that left while their
/// requests waited for them.
#[test]
fn caller_that_leaves_while_it_waits_for_a_token_costs_none() {
    with_cluster(0, async |cluster| {
        cluster.start_isolatable(2, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        write_limit(cluster, 1_000, 5.0, 20.0);
        sleep(CONFIG_APPLY_TIME).await;
        call(front_addr(cluster, 0), "/once/x", "first", HOT_KEY).await;
        let borrower = 1 - owner(cluster).await;
        let at = front_addr(cluster, borrower);
        sleep(CONFIG_APPLY_TIME).await;
        // The owner does not hear the questions, so that requests wait once the credit is used up.
        cluster.links.set_json_loss(1.0);
        for n in 0..4 {
            let answer = call(at, "/once/x", &format!("credit{n}"), HOT_KEY).await;
            assert_eq!(answer.unwrap().0, 200);
        }
        let started = Instant::now();
        let answer = call(at, "/once/x", "waits", HOT_KEY).await;
        assert_eq!(answer.unwrap().0, 429);
        assert!(
            started.elapsed() >= Duration::from_millis(50),
            "did not wait"
        );
        let left = (0..40).map(|n| leave_after(at, format!("left{n}"), Duration::from_millis(20)));
        futures::future::join_all(left).await;
        // Tokens are leased ahead by the requests of the last half second.
        sleep(Duration::from_secs(1)).await;
        cluster.links.set_json_loss(0.0);
        let before = account_sum(cluster, "hot", "lent").await;
        let answer = call(at, "/once/x", "after", HOT_KEY).await;
        assert_eq!(answer.unwrap().0, 200);
        sleep(Duration::from_millis(300)).await;
        let leased = account_sum(cluster, "hot", "lent").await - before;
        println!("{leased} tokens lent after the callers left");
        // Four pay for what ran on credit, one for the last request.
        assert!(leased <= 6.0, "{leased} tokens lent");
        assert_counts(cluster).await;
    });
}

/// Sends a request of the hot account at a time, on a connection that is open before; returns the
/// answer.
async fn send_at(time: Instant, at: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "GET /one/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         authorization: Bearer {HOT_KEY}\r\nconnection: close\r\n\r\n"
    );
    sleep_until(time.into()).await;
    let mut read = Vec::new();
    if stream.write_all(head.as_bytes()).await.is_ok() {
        // What came before a reset is the answer.
        let _ = stream.read_to_end(&mut read).await;
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Stops a daemon that does not hear from the owner, and hurries the stop while requests wait for
/// tokens. Returns how many waited when the final answers were due.
async fn hurry_while_requests_wait(cluster: &TierCluster, daemon: Tier) -> u32 {
    let at = daemon.addresses().front;
    let handle = daemon.stop_handle();
    let stop = actix_rt::spawn(daemon.stop());
    // All that may run on credit, then a request every four milliseconds before and after the hurry.
    let from = Instant::now();
    let hurry_at = from + Duration::from_millis(500);
    let credits = (0..10).map(|n| (format!("c{n}-{at}"), Duration::from_millis(200)));
    let waiting = (0..50).map(|n| (format!("w{n}-{at}"), Duration::from_millis(400 + 4 * n)));
    let open = credits.chain(waiting).map(async |(id, after)| {
        let answer = send_at(from + after, at, &id).await;
        (id, from + after, answer)
    });
    let hurry = async {
        sleep_until(hurry_at.into()).await;
        handle.hurry();
    };
    let (answers, ()) = futures::join!(futures::future::join_all(open), hurry);
    let ran = ran_ids(cluster);
    let mut at_the_end = 0;
    for (id, sent, answer) in answers {
        let status = answer.split(' ').nth(1).unwrap_or("none");
        let is_credit = id.starts_with('c') && status == "200";
        assert_eq!(ran.contains(&id), is_credit, "{id}: {answer:?}");
        // An idle connection is closed when the listeners are.
        let is_idle = answer.is_empty() && sent >= hurry_at;
        let is_refused = ["429", "503"].contains(&status);
        assert!(is_credit || is_idle || is_refused, "{id}: {answer:?}");
        at_the_end += u32::from(answer.contains("this daemon stops; no target got"));
    }
    stop.await.unwrap();
    at_the_end
}

/// A stop that is hurried gives its final answers at once. Guards against requests that wait for a
/// token at that time and end without an answer, or run after it.
#[test]
fn request_that_waits_for_a_token_at_the_end_of_a_stop_is_answered_and_does_not_run() {
    with_cluster(0, async |cluster| {
        cluster.start_isolatable(4, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        write_limit(cluster, 1_000, 5.0, 20.0);
        // What may run on credit grows in the first window.
        sleep(CONFIG_APPLY_TIME.max(WINDOW)).await;
        call(front_addr(cluster, 0), "/once/x", "first", HOT_KEY).await;
        let last = cluster.daemons.len() - 1;
        let owner = owner(cluster).await;
        cluster.daemons.swap(owner, last);
        cluster.links.set_json_loss(1.0);
        let borrowers: Vec<_> = cluster.daemons.drain(..last).collect();
        let mut waited = 0;
        for daemon in borrowers {
            // All of a stop's requests miss the moment if this process is starved then.
            if waited == 0 {
                waited = hurry_while_requests_wait(cluster, daemon).await;
            }
        }
        println!("{waited} requests waited when the answers were due");
        assert!(waited > 0, "no request waited");
    });
}

/// Guards against tokens that are lost with callers that left before their request was sent to a
/// target.
#[test]
fn caller_that_leaves_while_it_waits_for_a_connection_costs_no_token() {
    with_cluster(1, async |cluster| {
        write_limit(cluster, 1_000, 100.0, 150.0);
        sleep(CONFIG_APPLY_TIME).await;
        for server in plain_servers(cluster) {
            server.set_slow(100.0);
        }
        let at = front_addr(cluster, 0);
        let left = (0..120).map(|n| leave_after(at, format!("l{n}"), Duration::from_millis(300)));
        futures::future::join_all(left).await;
        sleep(Duration::from_millis(500)).await;
        assert!(ran_ids(cluster).len() < 120, "no request had to wait");
        assert_counts(cluster).await;
    });
}

/// Guards against a limit that multiplies, or an account that is refused within its limit, because
/// datagrams between daemons are lost.
#[test]
fn quotas_hold_while_half_of_the_datagrams_is_lost() {
    with_cluster(0, async |cluster| {
        cluster.start_isolatable(4, false).await.unwrap();
        cluster.wait_ready().await.unwrap();
        write_limit(cluster, 1_000, 20.0, 10.0);
        sleep(CONFIG_APPLY_TIME).await;
        for all in [false, true] {
            if all {
                cluster.links.set_loss(0.5);
            } else {
                cluster.links.set_json_loss(0.5);
            }
            let (hot, other) = futures::join!(
                load(cluster, HOT_KEY, 100, WINDOW),
                load(cluster, OTHER_KEY, 8, WINDOW)
            );
            let served = count(&hot, 200);
            let (fine, refused) = (count(&other, 200), count(&other, 429));
            println!("all: {all}: hot {served}, other {fine} served, {refused} refused");
            assert!(served <= bound(20.0, 10.0), "{served} served");
            if !all {
                assert!(served >= 80.0, "{served} served");
                assert!(refused <= 2.0, "{refused} of the other account refused");
            }
        }
    });
}

/// Guards against daemons that go on with an earlier limit.
#[test]
fn lowered_and_raised_limits_hold_under_load() {
    with_cluster(4, async |cluster| {
        write_limit(cluster, 1_000, 20.0, 10.0);
        sleep(CONFIG_APPLY_TIME).await;
        let change = async |version: u64, rate: f64, burst: f64| {
            write_limit(cluster, version, rate, burst);
            // It binds one window after all daemons have applied it.
            load(cluster, HOT_KEY, 80, CONFIG_APPLY_TIME + WINDOW).await;
            let served = count(&load(cluster, HOT_KEY, 80, WINDOW).await, 200);
            println!("{rate} a second: {served} served in a window");
            assert!(served <= bound(rate, burst), "{served} served at {rate}");
            assert!(served >= rate * 4.0, "{served} served at {rate}");
        };
        change(1_001, 4.0, 2.0).await;
        change(1_002, 40.0, 20.0).await;
        change(1_003, 10.0, 0.0).await;
    });
}

/// Guards against a `retry-after` at which the request is refused again, although nobody else of the
/// account sends requests.
#[test]
fn request_sent_again_at_its_retry_after_runs() {
    with_cluster(4, async |cluster| {
        write_limit(cluster, 1_000, 4.0, 3.0);
        sleep(CONFIG_APPLY_TIME).await;
        let mut false_times = Vec::new();
        for round in 0..12 {
            load(cluster, HOT_KEY, 60, Duration::from_millis(700)).await;
            let at = front_addr(cluster, round % 4);
            let after = loop {
                let id = format!("r{:016x}", rand::random::<u64>());
                let (status, after) = call(at, "/once/x", &id, HOT_KEY).await.unwrap();
                if status == 429 {
                    break after.unwrap();
                }
            };
            assert!(after > 0.0);
            sleep(Duration::from_secs_f64(after)).await;
            let id = format!("again{round}");
            let (status, next) = call(at, "/once/x", &id, HOT_KEY).await.unwrap();
            println!("round {round}: after {after} s: {status} {next:?}");
            if status != 200 {
                false_times.push((round, after, next));
            }
        }
        assert!(false_times.is_empty(), "{false_times:?}");
    });
}
