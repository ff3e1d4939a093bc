//! End-to-end tests of the daemon's guarantees, with real daemons and stand-ins for targets,
//! callers and the platform.
//!
//! No test asserts how long something takes, so that the tests pass on a slow machine too. They
//! wait for a state, such as every daemon using the newest tables, and then check what targets and
//! callers observed.

mod broken_answers;
mod late_copies;
mod once;

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::{
        cluster::{Cluster, Options},
        load::{CallerStats, DaemonResolver, RouteLoad, run},
        report::totals,
    },
    rattanturn_platform::objects::TABLES_KEY,
    rattanturn_standins::{platform::Mode, proxy::Proxy, target},
    std::{
        collections::BTreeMap,
        fmt::Write,
        time::{Duration, Instant},
    },
};

const CENTRES: [&str; 3] = ["east", "north", "west"];
/// Duration of one [`load`].
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Time after which [`until`] fails the test.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

const ROUTES: &str = "\
[route search]
kind = fan-out
pool = ledgers
deadline = 2s
min-coverage = 0.5
[route renew]
kind = single-record
pool = events
idempotent = no
hedging = no
deadline = 2s
[route long-renew]
kind = single-record
pool = events
idempotent = no
hedging = no
deadline = 4s
";

/// Tables with a fan-out pool of six services and a pool of one service for non-idempotent
/// requests. The services of the former have targets in two data centres each, the latter in all
/// three.
fn pools() -> String {
    let mut out = String::new();
    for centre in CENTRES {
        let _ = write!(out, "[data-centre {centre}]\nregion = r\nstate = in\n");
    }
    out.push_str("[pool ledgers]\nslots = 3\nconnections = 30\nconnect-time = 6ms\n");
    out.push_str("[pool events]\nslots = 4\nconnections = 40\n");
    let mut port = 9_000;
    let mut target = |i: usize| {
        port += 1;
        format!("{}@127.0.0.1:{port}", CENTRES[i % 3])
    };
    for i in 0..6 {
        let pair = [target(i), target(i + 1)].join(", ");
        let _ = write!(out, "[service ledgers/l{i}]\ntargets = {pair}\n");
    }
    let list = [target(0), target(1), target(2)].join(", ");
    let _ = write!(out, "[service events/e]\ntargets = {list}\n");
    out
}

fn options(daemons: usize) -> Options {
    let mut options = Options::new(ROUTES, &pools());
    options.daemons = daemons;
    options.centre_delay = Duration::ZERO;
    options
}

/// Runs a test on a deployment with `daemons` daemons.
fn with_cluster<F>(daemons: usize, test: F)
where
    F: AsyncFnOnce(&mut Cluster),
{
    System::new().block_on(async {
        let mut cluster = Cluster::spawn(options(daemons)).await.unwrap();
        test(&mut cluster).await;
        cluster.stop();
    });
}

fn route_load(route: &str, rate: f64) -> RouteLoad {
    RouteLoad {
        route: route.into(),
        rate,
        idempotent: route == "search",
    }
}

/// Sends requests to a route at `rate` per second for [`LOAD_TIME`], as callers in data centre
/// east.
async fn load(cluster: &Cluster, route: &str, rate: f64, seed: u64) -> CallerStats {
    let resolver = DaemonResolver::new(cluster.frontends(), "east");
    run(resolver, route_load(route, rate), LOAD_TIME, seed).await
}

/// Waits until every daemon uses the platform's newest tables.
async fn tables_in_use(cluster: &Cluster) {
    let (newest, _) = cluster.platform.get(TABLES_KEY).unwrap();
    until("every daemon uses the newest tables", async || {
        cluster
            .states()
            .await
            .iter()
            .all(|s| s["tables"].as_u64() == Some(newest))
    })
    .await;
}

/// Waits until `done` returns true; `what` describes that state.
async fn until(what: &str, done: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !done().await {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting until {what}"
        );
        sleep(Duration::from_millis(30)).await;
    }
}

/// A target of service `ledgers/l0`.
fn ledger(cluster: &Cluster) -> &target::State {
    let states = cluster.targets.iter().map(|t| &*t.state);
    states
        .into_iter()
        .find(|s| s.config().service == "ledgers/l0")
        .expect("the tables name a target of ledgers/l0")
}

/// Number of calls that reached the targets of a data centre.
fn calls_received(cluster: &Cluster, centre: &str) -> u64 {
    let targets = cluster
        .targets
        .iter()
        .filter(|t| t.state.config().centre == centre);
    targets
        .map(|t| t.state.counters())
        .map(|t| t.ran + t.shed + t.cancelled)
        .sum()
}

/// Guards against merged answers with parts of different index versions. The targets move to newer
/// versions one after another while queries run.
#[test]
fn answer_is_from_one_snapshot_while_targets_change_versions() {
    with_cluster(6, async |cluster| {
        let states: Vec<_> = cluster.targets.iter().map(|t| t.state.clone()).collect();
        let changes = actix_rt::spawn(async move {
            for version in 2..40 {
                for state in &states {
                    state.set_versions(&[version - 1, version]);
                    sleep(Duration::from_millis(5)).await;
                }
            }
        });
        let seen = load(cluster, "search", 40.0, 1).await;
        changes.abort();
        assert_eq!(seen.wrong, 0, "{seen:?}");
        assert!(seen.full > 0, "{seen:?}");
    });
}

/// All targets of one service refuse calls, so no answer can be complete.
#[test]
fn coverage_names_services_that_have_no_target() {
    with_cluster(6, async |cluster| {
        for target in cluster
            .targets
            .iter()
            .filter(|t| t.state.config().service == "ledgers/l0")
        {
            target.state.set_leaving(true);
        }
        let seen = load(cluster, "search", 30.0, 2).await;
        assert_eq!((seen.wrong, seen.full), (0, 0), "{seen:?}");
        assert!(seen.partial > 0, "{seen:?}");
        // Every answer lacks one service of six and names it with the reason.
        let answers = seen.partial + seen.insufficient;
        assert!(
            seen.reasons
                .get("unreachable")
                .is_some_and(|n| *n >= answers),
            "{seen:?}"
        );
    });
}

/// Guards against overloading a target that goes back to its cold state under load. Its health page
/// still says "warm", so only its answers show the change.
#[test]
fn cold_target_is_not_called_beyond_its_cold_limit() {
    with_cluster(6, async |cluster| {
        let cold = cluster
            .targets
            .iter()
            .filter(|t| t.state.config().centre == "north");
        let cold: Vec<_> = cold.map(|t| t.state.clone()).collect();
        let cooling = actix_rt::spawn(async move {
            sleep(LOAD_TIME / 3).await;
            for state in &cold {
                state.set_cold(Duration::from_secs(2));
            }
        });
        let seen = load(cluster, "search", 60.0, 3).await;
        cooling.await.unwrap();
        // The first answer after the change reports it. Until then, calls can still be started up
        // to the limit of a warm target.
        for target in &cluster.targets {
            let (config, counters) = (target.state.config(), target.state.counters());
            let unnoticed = u64::from(config.slots - config.cold_calls);
            assert!(
                counters.cold_overloads <= unnoticed,
                "{} {counters:?}",
                config.service
            );
        }
        assert_eq!((seen.wrong, seen.failed), (0, 0), "{seen:?}");
    });
}

/// One slow target makes calls queue up for it.
#[test]
fn slots_and_connections_are_never_oversubscribed() {
    with_cluster(6, async |cluster| {
        ledger(cluster).set_slow(10.0);
        let seen = load(cluster, "search", 80.0, 4).await;
        let totals = totals(&cluster.targets);
        assert_eq!(
            (totals.oversubscribed, totals.refused_connections),
            (0, 0),
            "{totals:?}"
        );
        assert_eq!(seen.wrong, 0, "{seen:?}");
    });
}

/// Guards against two daemons using the same slots. A daemon whose control thread is blocked cannot
/// renew its leases, and other daemons take over its targets. It must stop calling them by itself,
/// also for callers that still send their requests to it.
#[test]
fn frozen_holder_stops_when_its_lease_expires() {
    with_cluster(6, async |cluster| {
        for target in &cluster.targets {
            target.state.set_slow(8.0);
        }
        let time = Duration::from_secs(13);
        let at_frozen = DaemonResolver::fixed(cluster.daemons[0].addresses.http);
        let at_other = DaemonResolver::fixed(cluster.daemons[3].addresses.http);
        let at_frozen = actix_rt::spawn(run(at_frozen, route_load("search", 80.0), time, 17));
        let at_other = actix_rt::spawn(run(at_other, route_load("search", 80.0), time, 18));
        sleep(Duration::from_secs(1)).await;
        let frozen = cluster.daemons[0].daemon.as_ref().unwrap();
        frozen.freeze(time);
        let (at_frozen, at_other) = (at_frozen.await.unwrap(), at_other.await.unwrap());
        let totals = totals(&cluster.targets);
        assert_eq!(
            (totals.oversubscribed, totals.refused_connections),
            (0, 0),
            "{totals:?}"
        );
        assert_eq!(
            (
                at_frozen.wrong,
                at_other.wrong,
                at_frozen.failed,
                at_other.failed
            ),
            (0, 0, 0, 0)
        );
        assert!(at_frozen.total() > 0 && at_other.full > 0);
    });
}

#[test]
fn evacuated_data_centre_gets_no_calls_until_it_is_back() {
    // With three daemons in each data centre, one of them does not watch the platform itself.
    with_cluster(9, async |cluster| {
        load(cluster, "search", 20.0, 5).await;
        assert!(calls_received(cluster, "west") > 0);
        cluster.set_evacuated("west", true).unwrap();
        tables_in_use(cluster).await;
        // Calls that are already running may end.
        sleep(Duration::from_secs(1)).await;
        let before = calls_received(cluster, "west");
        let seen = load(cluster, "search", 30.0, 6).await;
        assert_eq!(calls_received(cluster, "west"), before);
        assert_eq!(
            (seen.partial, seen.insufficient, seen.failed),
            (0, 0, 0),
            "{seen:?}"
        );
        cluster.set_evacuated("west", false).unwrap();
        tables_in_use(cluster).await;
        until("the data centre gets calls again", async || {
            load(cluster, "search", 20.0, 7).await;
            calls_received(cluster, "west") > before
        })
        .await;
        assert_eq!(totals(&cluster.targets).oversubscribed, 0);
    });
}

#[test]
fn leaving_target_gets_no_new_calls() {
    with_cluster(6, async |cluster| {
        let target = ledger(cluster);
        load(cluster, "search", 20.0, 8).await;
        assert!(target.counters().ran > 0);
        target.set_leaving(true);
        load(cluster, "search", 20.0, 9).await;
        // It may still get, and refuse, the calls that were sent before the daemons learned that it
        // is leaving: at most one for each slot.
        let shed = target.counters().shed;
        assert!(shed <= u64::from(target.config().slots), "{shed}");
        let seen = load(cluster, "search", 20.0, 10).await;
        assert_eq!(target.counters().shed, shed);
        assert_eq!(
            (seen.partial, seen.insufficient, seen.wrong),
            (0, 0, 0),
            "{seen:?}"
        );
    });
}

/// Guards against answers that are delivered to the wrong query. Slow targets cause hedges and
/// cancellations, so answers arrive late and out of order.
#[test]
fn callers_get_their_own_answers_when_calls_are_hedged() {
    with_cluster(6, async |cluster| {
        for target in cluster.targets.iter().step_by(3) {
            target.state.set_slow(8.0);
        }
        let seen = load(cluster, "search", 50.0, 11).await;
        assert_eq!((seen.wrong, seen.failed), (0, 0), "{seen:?}");
        assert!(seen.calls[1] > 0, "no call was hedged: {seen:?}");
    });
}

/// A daemon traces some of its queries. Replaying a trace must make the same decisions.
#[test]
fn recorded_traces_replay_to_the_same_decisions() {
    with_cluster(2, async |cluster| {
        ledger(cluster).set_slow(10.0);
        load(cluster, "search", 150.0, 18).await;
        let states = cluster.states().await;
        let threads = states
            .iter()
            .filter_map(|s| s["threads"].as_array())
            .flatten();
        let traces: Vec<&str> = threads
            .filter_map(|t| t["traces"].as_array())
            .flatten()
            .filter_map(|t| t.as_str())
            .collect();
        assert!(!traces.is_empty());
        for trace in traces {
            let replayed = rattanturn_core::gather::trace::replay(trace);
            assert!(replayed.is_ok(), "{replayed:?}\n{trace}");
        }
    });
}

/// Guards against a daemon that goes back to older tables because a read of the platform is stale.
/// The platform at times answers with the version before the newest.
#[test]
fn accepted_tables_reach_every_daemon_and_never_revert() {
    with_cluster(9, async |cluster| {
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for (turn, mode) in [Mode::Up, Mode::Stale, Mode::Up, Mode::Stale]
            .into_iter()
            .enumerate()
        {
            cluster.set_evacuated("west", turn % 2 == 0).unwrap();
            if mode == Mode::Up {
                tables_in_use(cluster).await;
            }
            // From here on the platform may answer with the version before the newest.
            cluster.platform.set_mode(mode);
            for _ in 0..20 {
                for state in cluster.states().await {
                    let version = state["tables"].as_u64().unwrap();
                    let name = state["name"].as_str().unwrap().to_owned();
                    let before = highest.insert(name, version).unwrap_or(0);
                    assert!(version >= before, "reverted from {before} to {version}");
                }
                sleep(Duration::from_millis(25)).await;
            }
            cluster.platform.set_mode(Mode::Up);
            tables_in_use(cluster).await;
        }
    });
}

/// An edit of a pool's slots must reach the queues of targets that are already in use.
#[test]
fn edited_slots_change_the_limits_of_targets_in_use() {
    with_cluster(4, async |cluster| {
        load(cluster, "search", 20.0, 19).await;
        cluster.pools = cluster.pools.replace("slots = 3", "slots = 2");
        let _ = cluster.put_tables();
        tables_in_use(cluster).await;
        load(cluster, "search", 40.0, 20).await;
        until("no target has a limit of three", async || {
            let states = cluster.states().await;
            let threads = states
                .iter()
                .filter_map(|s| s["threads"].as_array())
                .flatten();
            let targets = threads.filter_map(|t| t["targets"].as_array()).flatten();
            let limits: Vec<u64> = targets.filter_map(|t| t["limit"].as_u64()).collect();
            // Targets of pool events have four slots. Those of pool ledgers had three and now have
            // two, or one while they are cold.
            !limits.is_empty() && limits.iter().all(|l| [1, 2, 4].contains(l))
        })
        .await;
    });
}

#[test]
fn daemon_started_while_the_platform_is_down_serves() {
    with_cluster(4, async |cluster| {
        cluster.platform.set_mode(Mode::Down);
        cluster.add_daemon("late").unwrap();
        tables_in_use(cluster).await;
        cluster.kill(0);
        cluster.wait_ready().await.unwrap();
        let seen = load(cluster, "search", 20.0, 15).await;
        assert_eq!(
            (seen.insufficient, seen.failed, seen.wrong),
            (0, 0, 0),
            "{seen:?}"
        );
    });
}

#[test]
fn invalid_tables_leave_the_accepted_ones_in_use() {
    with_cluster(4, async |cluster| {
        let good = cluster.pools.clone();
        cluster.pools = good.replace("slots = 3", "slots = 0");
        let _ = cluster.put_tables();
        sleep(Duration::from_millis(500)).await;
        let seen = load(cluster, "search", 20.0, 16).await;
        assert_eq!((seen.full, seen.failed), (seen.total(), 0), "{seen:?}");
        cluster.pools = good;
        let _ = cluster.put_tables();
        tables_in_use(cluster).await;
    });
}

#[test]
fn queries_are_complete_again_after_connections_between_daemons_fell_silent() {
    System::new().block_on(async {
        let mut cluster = Cluster::spawn_standins(options(3)).unwrap();
        let _ = cluster.put_tables();
        for i in 0..3 {
            let name = format!("entry-{i}");
            cluster.add_proxied_daemon(&name).await.unwrap();
        }
        cluster.wait_ready().await.unwrap();
        let before = load(&cluster, "search", 20.0, 1).await;
        assert_eq!(
            before.full,
            before.outcomes.values().sum::<u64>(),
            "{before:?}"
        );
        cluster.proxies.iter().for_each(Proxy::silence_open);
        until("all queries of a load are complete", async || {
            let after = load(&cluster, "search", 20.0, 2).await;
            after.full == after.outcomes.values().sum::<u64>()
        })
        .await;
        cluster.stop();
    });
}
