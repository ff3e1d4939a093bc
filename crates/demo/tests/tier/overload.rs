//! Accounts whose requests together are more than the targets can run, with real daemons.

use {
    super::{CONFIG_APPLY_TIME, front_addr, plain_servers, run_count, with_cluster},
    actix_rt::{task::JoinHandle, time::sleep},
    awc::Client,
    rattanturn_demo::tier_cluster::{PLAIN, TierCluster},
    rattanturn_standins::{operator::HOST, shard::State},
    serde_json::json,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Accounts that ask for little.
const SMALL: usize = 10;
/// Accounts with a single request that waits behind all others.
const WAITING: usize = 10;
/// Latency goal of the route.
const GOAL: Duration = Duration::from_millis(400);
/// Time that answers may take beyond what a daemon aims at: the test's own calls are measured.
const MARGIN: Duration = Duration::from_millis(150);
/// Slots of each target, and the factor by which they are too slow: 50 ms a request, so that the two
/// targets run 120 requests a second.
const SLOTS: usize = 3;
const SLOWDOWN: f64 = 5.0;
/// Requests a second of the hot account, and of each small one.
const HOT_RATE: u32 = 300;
const SMALL_RATE: u32 = 5;
/// Longest time until requests that were sent wait for their turn, on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Time in which daemons notice the overload.
const ONSET: Duration = Duration::from_secs(2);
const LOAD_TIME: Duration = Duration::from_secs(5);

/// An answer as its caller sees it.
struct Seen {
    id: String,
    status: u16,
    retry_after: f64,
    /// Whether a daemon refused it because of overload.
    overload: bool,
    sent: Instant,
    took: Duration,
}

fn key(account: &str) -> String {
    format!("key-of-{account}")
}

/// Writes the accounts and a route with a latency goal, without the accounts that begin with `revoked`.
async fn write_accounts(cluster: &TierCluster, version: u32, goal: Duration, revoked: &str) {
    let names = (0..SMALL).map(|n| format!("small-{n}"));
    let names =
        names.chain((0..WAITING).flat_map(|n| [format!("leaver-{n}"), format!("revoked-{n}")]));
    let names = names.chain(["hot".into(), "urgent".into()]);
    let accounts: Vec<_> = names
        .filter(|name| revoked.is_empty() || !name.starts_with(revoked))
        .map(|name| {
            let (priority, rate) = match name.split('-').next().unwrap_or("") {
                "urgent" => (0, 0),
                // Behind all others, and with a limit that they do not reach, so that tokens are counted.
                "leaver" | "revoked" => (5, 1_000),
                _ => (2, 0),
            };
            json!({
                "name": name, "apiKeys": [key(&name)], "priority": priority, "ratePerS": rate, "burst": rate,
            })
        })
        .collect();
    let spec = json!({
        "version": version,
        "routes": [{
            "name": "one", "host": HOST, "pathPrefix": "/one/", "type": "idempotent",
            "service": PLAIN, "timeoutMs": goal.as_millis() * 4, "latencyGoalMs": goal.as_millis(), "maxAttempts": 2, "priority": 2,
        }],
        "services": [{"name": PLAIN, "healthPath": "/healthz", "maxConns": 64}],
        "tenants": accounts,
    });
    cluster.store.write("config", "main", spec);
    sleep(CONFIG_APPLY_TIME).await;
}

fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn call(at: SocketAddr, key: String, id: String) -> Option<Seen> {
    let sent = Instant::now();
    let request = Client::default().get(format!("http://{at}/one/x"));
    let request = request
        .insert_header(("host", HOST))
        .insert_header(("x-request-id", id.clone()))
        .insert_header(("authorization", format!("Bearer {key}")));
    let mut answer = request.send().await.ok()?;
    let body = answer.body().await.ok()?;
    let after = answer.headers().get("retry-after");
    let retry_after = after.and_then(|v| v.to_str().ok()?.parse().ok());
    Some(Seen {
        id,
        status: answer.status().as_u16(),
        retry_after: retry_after.unwrap_or(0.0),
        overload: body.starts_with(b"the targets are overloaded"),
        sent,
        took: sent.elapsed(),
    })
}

/// Sends requests of an account to the daemons in turn.
async fn load(fronts: Vec<SocketAddr>, account: String, rate: u32, time: Duration) -> Vec<Seen> {
    let end = Instant::now() + time;
    load_while(fronts, account, rate, || Instant::now() < end).await
}

/// Like [`load`], as long as `goes_on` says so.
async fn load_while(
    fronts: Vec<SocketAddr>,
    account: String,
    rate: u32,
    goes_on: impl Fn() -> bool,
) -> Vec<Seen> {
    let mut open = Vec::new();
    while goes_on() {
        let at = fronts[open.len() % fronts.len()];
        open.push(actix_rt::spawn(call(at, key(&account), new_id())));
        sleep(Duration::from_secs(1) / rate).await;
    }
    let answers = futures::future::join_all(open).await;
    let answers = answers.into_iter().filter_map(Result::ok);
    answers.flatten().collect()
}

/// Sends requests of the hot account until it is told to stop.
struct HotLoad {
    stopped: Rc<Cell<bool>>,
    answers: JoinHandle<Vec<Seen>>,
}

impl HotLoad {
    fn spawn(fronts: Vec<SocketAddr>) -> Self {
        let stopped = Rc::new(Cell::new(false));
        let flag = stopped.clone();
        let load = load_while(fronts, "hot".into(), HOT_RATE, move || !flag.get());
        let answers = actix_rt::spawn(load);
        Self { stopped, answers }
    }

    async fn stop(self) -> Vec<Seen> {
        self.stopped.set(true);
        self.answers.await.unwrap()
    }
}

fn fronts(cluster: &TierCluster) -> Vec<SocketAddr> {
    let daemons = 0..cluster.daemons.len();
    daemons.map(|d| front_addr(cluster, d)).collect()
}

/// The two targets, now with few slots and slow.
fn slow_servers(cluster: &TierCluster) -> Vec<Arc<State>> {
    let servers = plain_servers(cluster);
    for server in &servers {
        server.set_slots(Some(SLOTS));
        server.set_slow(SLOWDOWN);
    }
    servers
}

/// Part of the requests that were sent after the onset and answered in time.
fn in_time(seen: &[Seen], since: Instant) -> f64 {
    let sent = seen.iter().filter(|s| s.sent >= since);
    let good = sent
        .clone()
        .filter(|s| s.status == 200 && s.took <= GOAL + MARGIN);
    let count = |n: usize| f64::from(u32::try_from(n).unwrap());
    count(good.count()) / count(sent.count()).max(1.0)
}

/// Guards against small accounts and urgent ones whose requests are late or refused because a hot
/// account sends more than the targets can run, against refusals that are late or have run, and
/// against refusals while the targets have room.
#[test]
fn a_hot_account_is_refused_and_small_ones_are_served() {
    with_cluster(2, async |cluster| {
        write_accounts(cluster, 1_000, GOAL, "").await;
        let servers = slow_servers(cluster);
        let at = fronts(cluster);
        let calm = load(at.clone(), "hot".into(), 60, Duration::from_secs(2)).await;
        assert!(
            calm.iter().all(|s| s.status == 200),
            "refused without overload"
        );
        let since = Instant::now() + ONSET;
        let small = (0..SMALL).map(|n| {
            let mut at = at.clone();
            // Spread over the daemons, and evenly over time: each sends when the others do not.
            at.rotate_left(n % 2);
            let offset = Duration::from_secs(1) / SMALL_RATE / u32::try_from(SMALL).unwrap();
            async move {
                sleep(offset * u32::try_from(n).unwrap()).await;
                load(at, format!("small-{n}"), SMALL_RATE, LOAD_TIME).await
            }
        });
        let (hot, urgent, small) = futures::join!(
            load(at.clone(), "hot".into(), HOT_RATE, LOAD_TIME),
            load(at.clone(), "urgent".into(), SMALL_RATE, LOAD_TIME),
            futures::future::join_all(small),
        );
        let small: Vec<Seen> = small.into_iter().flatten().collect();
        let parts = [&hot, &urgent, &small].map(|seen| in_time(seen, since));
        let refused: Vec<&Seen> = hot.iter().filter(|s| s.overload).collect();
        let quick = |s: &&&Seen| s.took <= GOAL / 4 + MARGIN;
        println!(
            "in time: hot {:.2}, urgent {:.2}, small {:.2}; of {} of the hot account {} refused, {} of them quickly",
            parts[0],
            parts[1],
            parts[2],
            hot.len(),
            refused.len(),
            refused.iter().filter(quick).count()
        );
        assert!(parts[1] >= 0.9, "urgent: {}", parts[1]);
        assert!(parts[2] >= 0.9, "small: {}", parts[2]);
        // Capacity is for 65 of the hot account's 300 requests a second.
        assert!(parts[0] >= 0.1, "hot: {}", parts[0]);
        assert!(!refused.is_empty());
        for seen in &refused {
            assert_eq!(seen.status, 503);
            assert!(seen.retry_after > 0.0);
            assert_eq!(run_count(&servers, &seen.id), 0, "a refused request ran");
        }
        let late = refused.iter().filter(|s| !quick(s)).count();
        assert!(late * 20 <= refused.len(), "{late} were refused late");
        let state = cluster.daemons[0].state().await.unwrap();
        let accounts = state["accounts"].as_array().unwrap();
        let row = accounts.iter().find(|a| a["account"] == "hot").unwrap();
        assert!(row["no_room"].as_u64().unwrap() > 0, "{row}");
        // Within a second of the end of the overload, nothing is refused any more.
        sleep(Duration::from_secs(1)).await;
        let after = load(at, "hot".into(), 60, Duration::from_secs(2)).await;
        assert!(after.iter().all(|s| s.status == 200), "refused afterwards");
    });
}

/// Sum of a number of the first daemon over the accounts of a sort.
async fn sum(cluster: &TierCluster, sort: &str, field: &str) -> u64 {
    let state = cluster.daemons[0].state().await.unwrap();
    let rows = state["accounts"].as_array().unwrap();
    let rows = rows
        .iter()
        .filter(|a| a["account"].as_str().unwrap().starts_with(sort));
    rows.map(|r| r[field].as_u64().unwrap()).sum()
}

/// Waits until as many more requests of a sort of account have begun to wait for their turn.
async fn until_waiting(cluster: &TierCluster, sort: &str, before: u64, count: usize) {
    let began = Instant::now();
    loop {
        let more = sum(cluster, sort, "waited").await - before;
        if more >= count as u64 {
            return;
        }
        assert!(
            began.elapsed() < WAIT_LIMIT,
            "{sort}: {more} of {count} wait"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until requests take half of the goal and the hot account's wait for their turn.
async fn until_overloaded(cluster: &TierCluster) {
    sleep(Duration::from_secs(6)).await;
    let before = sum(cluster, "hot", "waited").await;
    until_waiting(cluster, "hot", before, 1).await;
}

/// Guards against requests that run, or keep their token, although their caller has left or their key
/// was revoked while they waited for their turn.
#[test]
fn waiting_requests_of_callers_that_left_or_lost_their_key_do_not_run() {
    // The longest wait is a quarter of it: long enough for a configuration to be applied meanwhile.
    let goal = GOAL * 8;
    with_cluster(1, async |cluster| {
        write_accounts(cluster, 1_000, goal, "").await;
        let servers = slow_servers(cluster);
        let at = fronts(cluster);
        let hot = HotLoad::spawn(at.clone());
        until_overloaded(cluster).await;
        let ids: Vec<String> = (0..WAITING).map(|_| new_id()).collect();
        let leavers = ids.iter().enumerate();
        let leavers = leavers.map(|(n, id)| call(at[0], key(&format!("leaver-{n}")), id.clone()));
        let leavers = leavers.map(actix_rt::spawn).collect::<Vec<_>>();
        until_waiting(cluster, "leaver", 0, WAITING).await;
        let waited = leavers.iter().filter(|call| !call.is_finished()).count();
        leavers.iter().for_each(JoinHandle::abort);
        println!("{waited} callers left while their requests waited");
        assert_eq!(waited, WAITING);
        let revoked = (0..WAITING).map(|n| call(at[0], key(&format!("revoked-{n}")), new_id()));
        let revoked = revoked.map(actix_rt::spawn).collect::<Vec<_>>();
        until_waiting(cluster, "revoked", 0, WAITING).await;
        write_accounts(cluster, 1_001, goal, "revoked").await;
        let revoked = futures::future::join_all(revoked).await;
        let revoked: Vec<Seen> = revoked.into_iter().flatten().flatten().collect();
        let denied = revoked.iter().filter(|s| s.status == 401).count();
        let statuses: Vec<u16> = revoked.iter().map(|s| s.status).collect();
        println!("statuses after the key was revoked: {statuses:?}");
        assert_eq!(denied, WAITING, "{statuses:?}");
        let hot = hot.stop().await;
        assert!(hot.iter().any(|s| s.overload));
        let denied = revoked.iter().filter(|s| s.status == 401);
        for id in ids.iter().chain(denied.map(|s| &s.id)) {
            assert_eq!(run_count(&servers, id), 0);
        }
        for sort in ["leaver", "revoked"] {
            assert_eq!(sum(cluster, sort, "waited").await, WAITING as u64);
            assert_eq!(sum(cluster, sort, "ran").await, 0, "tokens were kept");
        }
    });
}

/// Guards against requests that end without an answer because they wait for their turn at the end of a
/// stop, and against such that are refused then and run.
#[test]
fn requests_that_wait_for_their_turn_are_answered_at_the_end_of_a_stop() {
    let goal = GOAL * 8;
    with_cluster(1, async |cluster| {
        write_accounts(cluster, 1_000, goal, "").await;
        let servers = slow_servers(cluster);
        let at = fronts(cluster);
        let hot = HotLoad::spawn(at.clone());
        until_overloaded(cluster).await;
        let call = |n| call(at[0], key(&format!("leaver-{n}")), new_id());
        let open: Vec<_> = (0..WAITING).map(|n| actix_rt::spawn(call(n))).collect();
        until_waiting(cluster, "leaver", 0, WAITING).await;
        let daemon = cluster.daemons.remove(0);
        let handle = daemon.stop_handle();
        let stop = actix_rt::spawn(daemon.stop());
        handle.hurry();
        let mut stopped = 0;
        for request in open {
            let seen = request.await.unwrap().expect("an answer");
            if seen.status == 503 {
                stopped += usize::from(!seen.overload);
                assert_eq!(run_count(&servers, &seen.id), 0, "a refused request ran");
            }
        }
        assert_eq!(stop.await.unwrap(), "0 requests left open");
        assert!(stopped > WAITING / 2, "{stopped} waited until the stop");
        let hot = hot.stop().await;
        for seen in hot.iter().filter(|s| s.status == 503) {
            assert_eq!(run_count(&servers, &seen.id), 0, "a refused request ran");
        }
    });
}

/// Guards against limits in deployments that name no accounts.
#[test]
fn without_accounts_nothing_is_refused_for_overload() {
    with_cluster(1, async |cluster| {
        slow_servers(cluster);
        let at = fronts(cluster);
        let time = Duration::from_secs(4);
        let answers = load(at, "nobody".into(), HOT_RATE, time).await;
        let late = answers.iter().filter(|s| s.took > GOAL).count();
        println!("{late} of {} answers were late", answers.len());
        assert!(late > answers.len() / 2, "no overload");
        assert!(answers.iter().all(|s| !s.overload));
    });
}
