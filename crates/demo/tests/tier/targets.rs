//! Servers that leave, lapse or return cold while callers load the daemons.

use {
    super::{CONFIG_APPLY_TIME, DRAIN_TIME, front_addr, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_demo::tier_cluster::{TierCluster, get, request, request_within},
    rattanturn_standins::{
        operator::{deregister_target, register_target, set_evacuated},
        platform::Mode,
        shard::State,
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval of one caller's requests.
const LOAD_INTERVAL: Duration = Duration::from_millis(15);
/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Length of an outage of the store in which entries expire.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time in which daemons notice what the store says while it is stable.
const NOTICE_TIME: Duration = Duration::from_secs(4);
/// Requests a second that a cold server takes, and the most that may reach it in a second: 1.5 times
/// that and 5 more.
const COLD_RATE: f64 = 6.0;
const COLD_BOUND: usize = 14;
/// Time for which a server is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests at two servers that run one at a time, the factors by which these are slower than usual, so
/// that one says later than the other that it leaves, and the time limit of the requests.
const WAITING: usize = 6;
const LONG_CALLS: [f64; 2] = [20.0, 30.0];
const WAIT_LIMIT_MS: u64 = 10_000;
/// How much slower one server is than the other, so that daemons prefer the other.
const SLOWER: f64 = 4.0;

/// Callers of all daemons, each with one request after another; idempotent and other requests take
/// turns.
struct Load(Vec<actix_rt::task::JoinHandle<Vec<(Instant, u16)>>>);

impl Load {
    fn start(cluster: &TierCluster, time: Duration) -> Self {
        let fronts = (0..cluster.daemons.len()).map(|d| front_addr(cluster, d));
        Self(
            fronts
                .map(|at| actix_rt::spawn(call_for(at, time)))
                .collect(),
        )
    }

    /// When each request was sent, and the status of its answer; 0 if there was none.
    async fn end(self) -> Vec<(Instant, u16)> {
        let mut all = Vec::new();
        for caller in self.0 {
            all.extend(caller.await.unwrap());
        }
        assert!(all.len() > 50, "only {} requests were sent", all.len());
        all
    }
}

async fn call_for(at: SocketAddr, time: Duration) -> Vec<(Instant, u16)> {
    let end = Instant::now() + time;
    let mut open = Vec::new();
    while Instant::now() < end {
        let number = open.len();
        open.push(actix_rt::spawn(async move {
            let (id, sent) = (format!("{at}-{number}-{end:?}"), Instant::now());
            let answer = if number % 2 == 0 {
                request(at, "/one/x", &id, "").await
            } else {
                request(at, "/once/x", &id, "body").await
            };
            if let Some(other) = answer.as_ref().filter(|a| a.status != 200) {
                let (took, text) = (sent.elapsed(), String::from_utf8_lossy(&other.body));
                println!("{id} after {took:?}: {} {text}", other.status);
            }
            (sent, answer.map_or(0, |a| a.status))
        }));
        sleep(LOAD_INTERVAL).await;
    }
    let mut all = Vec::new();
    for request in open {
        all.push(request.await.unwrap());
    }
    all
}

fn assert_served(answers: &[(Instant, u16)]) {
    let others: Vec<u16> = answers.iter().map(|a| a.1).filter(|s| *s != 200).collect();
    let count = answers.len();
    assert!(
        others.is_empty(),
        "of {count} requests not served: {others:?}"
    );
}

/// Times at which requests arrived at a server since this was last called.
fn arrivals(server: &State) -> Vec<Instant> {
    server.take_calls().iter().map(|c| c.at).collect()
}

async fn dump(cluster: &TierCluster, daemon: usize) -> serde_json::Value {
    let admin = cluster.daemons[daemon].addresses().admin;
    let answer = get(&format!("http://{admin}/state")).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

/// Guards against a daemon that counts servers as out of reach because they started again under other
/// ids, while the store still has the entries of the earlier ones.
#[test]
fn servers_that_started_again_under_other_ids_are_within_reach() {
    with_cluster(1, async |cluster| {
        let at = front_addr(cluster, 0);
        for run in 0..2 {
            for server in &cluster.servers {
                server.stop();
                server.start();
                register_target(&cluster.store, server, "ready", 1);
            }
            for n in 0..100 {
                let (id, path) = (format!("{run}-{n}"), ["/all/x", "/one/x"][n % 2]);
                request(at, path, &id, "").await;
                sleep(LOAD_INTERVAL).await;
            }
        }
        assert_eq!(request(at, "/all/x", "last", "").await.unwrap().status, 200);
        assert_eq!(dump(cluster, 0).await["targets_lost"], false);
    });
}

/// Guards against requests at a server that says in its answers that it leaves, which the store
/// cannot tell during an outage.
#[test]
fn a_server_that_says_it_leaves_gets_nothing_new() {
    with_cluster(2, async |cluster| {
        let servers = plain_servers(cluster);
        let _ = servers[0].take_calls();
        // A daemon learns it from the next answer, so both must prefer the server that is to leave.
        servers[1].set_slow(SLOWER);
        let load = Load::start(cluster, DRAIN_TIME + NOTICE_TIME);
        sleep(Duration::from_secs(1)).await;
        cluster.store.set_mode(Mode::Busy);
        servers[0].set_leaving(true);
        let told = Instant::now();
        assert_served(&load.end().await);
        let late: Vec<Duration> = arrivals(&servers[0])
            .iter()
            .map(|at| at.saturating_duration_since(told))
            .filter(|after| *after > DRAIN_TIME / 2)
            .collect();
        assert!(
            late.is_empty(),
            "requests reached the leaving server: {late:?}"
        );
        assert_eq!(dump(cluster, 0).await["leaving"], 1);
        // A restart is a run of its own.
        servers[0].stop();
        cluster.store.set_mode(Mode::Up);
        sleep(NOTICE_TIME).await;
        deregister_target(&cluster.store, &servers[0]);
        servers[0].start();
        register_target(&cluster.store, &servers[0], "ready", 1);
        sleep(NOTICE_TIME).await;
        assert_served(&Load::start(cluster, Duration::from_secs(1)).end().await);
        assert!(!arrivals(&servers[0]).is_empty());
    });
}

/// Guards against refusals while all servers of a service leave and still serve, and against requests
/// that are sent to them for longer than that.
#[test]
fn callers_are_served_while_all_servers_of_a_service_leave() {
    with_cluster(2, async |cluster| {
        let servers = plain_servers(cluster);
        for server in &servers {
            let _ = server.take_calls();
        }
        let load = Load::start(cluster, DRAIN_TIME + NOTICE_TIME);
        sleep(Duration::from_secs(1)).await;
        cluster.store.set_mode(Mode::Busy);
        for server in &servers {
            server.set_leaving(true);
        }
        let told = Instant::now();
        let answers = load.end().await;
        let early: Vec<_> = answers
            .iter()
            .copied()
            .filter(|(sent, _)| *sent < told + DRAIN_TIME / 2)
            .collect();
        assert_served(&early);
        let all: Vec<Instant> = servers.iter().flat_map(|s| arrivals(s)).collect();
        let late = all.iter().filter(|at| **at > told + DRAIN_TIME);
        assert_eq!(late.count(), 0, "requests reached the leaving servers");
        let lost = answers.iter().filter(|(_, s)| ![200, 503].contains(s));
        assert_eq!(lost.count(), 0);
    });
}

/// Guards against refusals of requests that wait for a connection while one server after the other says
/// that it leaves.
#[test]
fn requests_that_wait_are_served_while_all_servers_of_a_service_leave() {
    with_cluster(1, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config)
            .limits(WAIT_LIMIT_MS, WAIT_LIMIT_MS)
            .max_connections(1);
        cluster.config.write(&cluster.store);
        sleep(CONFIG_APPLY_TIME).await;
        for (server, slow) in plain_servers(cluster).iter().zip(LONG_CALLS) {
            server.set_slow(slow);
            server.set_leaving(true);
        }
        let at = front_addr(cluster, 0);
        let open = (0..WAITING).map(|n| async move {
            let (limit, id) = (Duration::from_millis(WAIT_LIMIT_MS), format!("w{n}"));
            let answer = request_within(limit, at, "/once/x", &id, "body").await;
            answer.map_or(0, |a| a.status)
        });
        let statuses = futures::future::join_all(open).await;
        assert_eq!(statuses, [200; WAITING]);
    });
}

/// Writes the entries of some servers, the first ones earlier than the last.
async fn renew(cluster: &TierCluster, servers: &[Arc<State>], within: Duration) {
    let count = u32::try_from(servers.len()).unwrap();
    for server in servers {
        sleep(within / count).await;
        register_target(&cluster.store, server, "ready", 10);
    }
}

/// Changes the entries of some servers in turn, so that daemons take over each other's targets.
async fn change(cluster: &TierCluster, servers: &[Arc<State>], time: Duration) {
    let end = Instant::now() + time;
    for (sequence, server) in (11..).zip(servers.iter().cycle()) {
        if Instant::now() >= end {
            return;
        }
        let mut entry = server.entry("ready", sequence);
        entry["maxConcurrency"] = json!(sequence);
        cluster.store.write("servers", &server.id(), entry);
        sleep(Duration::from_millis(150)).await;
    }
}

/// Guards against a server whose entry lapsed in an outage of the store and that stays in use, and
/// against living ones that are dropped after it.
#[test]
fn a_server_that_lapsed_in_an_outage_gets_nothing_after_it() {
    with_cluster(3, async |cluster| {
        let lapsed = plain_servers(cluster)[0].clone();
        let is_lapsed = |s: &Arc<State>| s.id() == lapsed.id();
        let living = cluster.servers.iter().filter(|s| !is_lapsed(s));
        let living: Vec<Arc<State>> = living.cloned().collect();
        let _ = lapsed.take_calls();
        cluster.store.set_mode(Mode::Busy);
        sleep(OUTAGE / 2).await;
        for server in &cluster.servers {
            deregister_target(&cluster.store, server);
        }
        let load = Load::start(cluster, OUTAGE / 2 + NOTICE_TIME + DRAIN_TIME);
        sleep(OUTAGE / 2).await;
        cluster.store.set_mode(Mode::Up);
        let back = Instant::now();
        renew(cluster, &living, HEARTBEAT).await;
        change(cluster, &living, Duration::from_secs(3)).await;
        assert_served(&load.end().await);
        let late = arrivals(&lapsed);
        let late = late.iter().filter(|at| **at > back + NOTICE_TIME);
        assert_eq!(late.count(), 0, "requests reached the lapsed server");
    });
}

/// Guards against a flood at a server that became cold while its data centre was evacuated, before its
/// next entry tells.
#[test]
fn a_server_that_returns_cold_is_not_flooded() {
    with_cluster(2, async |cluster| {
        cluster.config = std::mem::take(&mut cluster.config).cold_rate(COLD_RATE);
        cluster.config.write(&cluster.store);
        let servers = plain_servers(cluster);
        let cold = &servers[1];
        set_evacuated(&cluster.store, &cold.config().centre, true);
        sleep(NOTICE_TIME).await;
        let load = Load::start(cluster, COLD_TIME + NOTICE_TIME);
        let _ = cold.take_calls();
        cold.set_cold(COLD_TIME);
        let warm_at = Instant::now() + COLD_TIME;
        sleep(Duration::from_millis(300)).await;
        set_evacuated(&cluster.store, &cold.config().centre, false);
        sleep(HEARTBEAT.checked_sub(Duration::from_millis(300)).unwrap()).await;
        register_target(&cluster.store, cold, "ready", 2);
        sleep(warm_at.saturating_duration_since(Instant::now())).await;
        register_target(&cluster.store, cold, "ready", 3);
        assert_served(&load.end().await);
        let all = arrivals(cold);
        let while_cold: Vec<&Instant> = all.iter().filter(|at| **at < warm_at).collect();
        let in_second = |from: &Instant| {
            let end = *from + Duration::from_secs(1);
            while_cold
                .iter()
                .filter(|at| **at >= from && ***at < end)
                .count()
        };
        let most = while_cold.iter().map(|at| in_second(at)).max().unwrap_or(0);
        assert!(most <= COLD_BOUND, "{most} requests in a second");
        assert!(all.len() > while_cold.len(), "the warm server gets nothing");
    });
}
