//! What must always hold, on the whole path: real daemons, stand-ins for everything else.
//!
//! Nothing here asserts a time. Each test waits for a state, such as every daemon naming the
//! newest tables, and then checks what targets and callers saw.

mod once;

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::{
        bed::{Bed, Options},
        load::{Finder, Seen, Stream, run},
        report::totals,
    },
    rattanturn_platform::objects::TABLES_KEY,
    rattanturn_standins::{platform::Mode, target},
    std::{
        collections::BTreeMap,
        fmt::Write,
        time::{Duration, Instant},
    },
};

const CENTRES: [&str; 3] = ["east", "north", "west"];
const LOAD_TIME: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_mins(1);

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
";

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
    options.distance = Duration::ZERO;
    options
}

/// Runs a test on a deployment of `daemons` daemons.
fn on_bed<F>(daemons: usize, test: F)
where
    F: AsyncFnOnce(&mut Bed),
{
    System::new().block_on(async {
        let mut bed = Bed::spawn(options(daemons)).await.unwrap();
        test(&mut bed).await;
        bed.end();
    });
}

fn stream(route: &str, rate: f64) -> Stream {
    Stream {
        route: route.into(),
        rate,
        idempotent: route == "search",
    }
}

async fn load(bed: &Bed, route: &str, rate: f64, seed: u64) -> Seen {
    let finder = Finder::new(bed.entries(), "east");
    run(finder, stream(route, rate), LOAD_TIME, seed).await
}

/// Waits until every daemon has the platform's newest tables in force.
async fn in_force(bed: &Bed) {
    let (newest, _) = bed.platform.get(TABLES_KEY).unwrap();
    until("the tables are in force everywhere", async || {
        bed.states()
            .await
            .iter()
            .all(|s| s["tables"].as_u64() == Some(newest))
    })
    .await;
}

async fn until(what: &str, done: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !done().await {
        assert!(start.elapsed() < LIMIT, "never: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

/// A target of the fan-out pool.
fn ledger(bed: &Bed) -> &target::State {
    let all = bed.targets.iter().map(|t| &*t.state);
    all.into_iter()
        .find(|s| s.config().service == "ledgers/l0")
        .expect("there is one")
}

/// Calls that reached the targets of a data centre.
fn arrivals(bed: &Bed, centre: &str) -> u64 {
    let targets = bed
        .targets
        .iter()
        .filter(|t| t.state.config().centre == centre);
    targets
        .map(|t| t.state.counters())
        .map(|t| t.ran + t.shed + t.cancelled)
        .sum()
}

#[test]
fn an_answer_comes_from_one_snapshot() {
    on_bed(6, async |bed| {
        let states: Vec<_> = bed.targets.iter().map(|t| t.state.clone()).collect();
        let mover = actix_rt::spawn(async move {
            for version in 2..40 {
                for state in &states {
                    state.set_versions(&[version - 1, version]);
                    sleep(Duration::from_millis(5)).await;
                }
            }
        });
        let seen = load(bed, "search", 40.0, 1).await;
        mover.abort();
        assert_eq!(seen.wrong, 0, "{seen:?}");
        assert!(seen.full > 0, "{seen:?}");
    });
}

#[test]
fn coverage_is_true_when_services_are_gone() {
    on_bed(6, async |bed| {
        for target in bed
            .targets
            .iter()
            .filter(|t| t.state.config().service == "ledgers/l0")
        {
            target.state.set_leaving(true);
        }
        let seen = load(bed, "search", 30.0, 2).await;
        assert_eq!((seen.wrong, seen.full), (0, 0), "{seen:?}");
        assert!(seen.partial > 0, "{seen:?}");
        // One service of six is missing from each answer and named with its reason.
        let answers = seen.partial + seen.short;
        assert!(
            seen.reasons
                .get("unreachable")
                .is_some_and(|n| *n >= answers),
            "{seen:?}"
        );
    });
}

#[test]
fn a_cold_target_gets_no_more_than_it_bears() {
    on_bed(6, async |bed| {
        let cold = bed
            .targets
            .iter()
            .filter(|t| t.state.config().centre == "north");
        let cold: Vec<_> = cold.map(|t| t.state.clone()).collect();
        // Falls back without warning, under load; its health page goes on saying "warm".
        let fall = actix_rt::spawn(async move {
            sleep(LOAD_TIME / 3).await;
            for state in &cold {
                state.set_cold(Duration::from_secs(2));
            }
        });
        let seen = load(bed, "search", 60.0, 3).await;
        fall.await.unwrap();
        // A fall is noticed by the first answer after it; only the slots that were free at that
        // moment can be filled before.
        for target in &bed.targets {
            let (config, counters) = (target.state.config(), target.state.counters());
            let unnoticed = u64::from(config.slots - config.cold_calls);
            assert!(
                counters.cold_overloads <= unnoticed,
                "{} {counters:?}",
                config.service
            );
        }
        assert_eq!((seen.wrong, seen.broken), (0, 0), "{seen:?}");
    });
}

#[test]
fn slots_and_connections_are_never_oversubscribed() {
    on_bed(6, async |bed| {
        ledger(bed).set_slow(10.0);
        let seen = load(bed, "search", 80.0, 4).await;
        let totals = totals(&bed.targets);
        assert_eq!(
            (totals.oversubscribed, totals.refused_connections),
            (0, 0),
            "{totals:?}"
        );
        assert_eq!(seen.wrong, 0, "{seen:?}");
    });
}

/// A daemon whose control is starved loses its units to others and must stop using them, also
/// for callers that still use it as their entry.
#[test]
fn a_frozen_holder_stops_when_its_lease_lapses() {
    on_bed(6, async |bed| {
        for target in &bed.targets {
            target.state.set_slow(8.0);
        }
        let time = Duration::from_secs(13);
        let near = Finder::pinned(bed.slots[0].addresses.http);
        let far = Finder::pinned(bed.slots[3].addresses.http);
        let near = actix_rt::spawn(run(near, stream("search", 80.0), time, 17));
        let far = actix_rt::spawn(run(far, stream("search", 80.0), time, 18));
        sleep(Duration::from_secs(1)).await;
        let frozen = bed.slots[0].daemon.as_ref().unwrap();
        frozen.freeze(time);
        let (near, far) = (near.await.unwrap(), far.await.unwrap());
        let totals = totals(&bed.targets);
        assert_eq!(
            (totals.oversubscribed, totals.refused_connections),
            (0, 0),
            "{totals:?}"
        );
        assert_eq!(
            (near.wrong, far.wrong, near.broken, far.broken),
            (0, 0, 0, 0)
        );
        assert!(near.total() > 0 && far.full > 0);
    });
}

#[test]
fn a_data_centre_taken_out_gets_no_new_work() {
    // Three daemons in each data centre: one of them does not watch the platform.
    on_bed(9, async |bed| {
        load(bed, "search", 20.0, 5).await;
        assert!(arrivals(bed, "west") > 0);
        bed.set_centre("west", true).unwrap();
        in_force(bed).await;
        // What was under way ends.
        sleep(Duration::from_secs(1)).await;
        let before = arrivals(bed, "west");
        let seen = load(bed, "search", 30.0, 6).await;
        assert_eq!(arrivals(bed, "west"), before);
        assert_eq!(
            (seen.partial, seen.short, seen.broken),
            (0, 0, 0),
            "{seen:?}"
        );
        bed.set_centre("west", false).unwrap();
        in_force(bed).await;
        until("the data centre works again", async || {
            load(bed, "search", 20.0, 7).await;
            arrivals(bed, "west") > before
        })
        .await;
        assert_eq!(totals(&bed.targets).oversubscribed, 0);
    });
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    on_bed(6, async |bed| {
        let target = ledger(bed);
        load(bed, "search", 20.0, 8).await;
        assert!(target.counters().ran > 0);
        target.set_leaving(true);
        load(bed, "search", 20.0, 9).await;
        // Its refusal of what was sent before it spoke is all it gets.
        let shed = target.counters().shed;
        assert!(shed <= u64::from(target.config().slots), "{shed}");
        let seen = load(bed, "search", 20.0, 10).await;
        assert_eq!(target.counters().shed, shed);
        assert_eq!(
            (seen.partial, seen.short, seen.wrong),
            (0, 0, 0),
            "{seen:?}"
        );
    });
}

#[test]
fn each_caller_gets_its_own_whole_answer() {
    on_bed(6, async |bed| {
        // Slow targets make hedges and cancellations, so answers come late and crossed.
        for target in bed.targets.iter().step_by(3) {
            target.state.set_slow(8.0);
        }
        let seen = load(bed, "search", 50.0, 11).await;
        assert_eq!((seen.wrong, seen.broken), (0, 0), "{seen:?}");
        assert!(seen.calls[1] > 0, "no call was hedged: {seen:?}");
    });
}

/// A daemon records some of its queries; their traces replay to the same outcome.
#[test]
fn recorded_traces_replay_to_what_happened() {
    on_bed(2, async |bed| {
        ledger(bed).set_slow(10.0);
        load(bed, "search", 150.0, 18).await;
        let states = bed.states().await;
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

#[test]
fn an_accepted_configuration_is_in_force_everywhere_and_never_reverts() {
    on_bed(9, async |bed| {
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for (turn, mode) in [Mode::Up, Mode::Stale, Mode::Up, Mode::Stale]
            .into_iter()
            .enumerate()
        {
            bed.set_centre("west", turn % 2 == 0).unwrap();
            if mode == Mode::Up {
                in_force(bed).await;
            }
            // The platform now answers from the past for a while.
            bed.platform.set_mode(mode);
            for _ in 0..20 {
                for state in bed.states().await {
                    let version = state["tables"].as_u64().unwrap();
                    let name = state["name"].as_str().unwrap().to_owned();
                    let before = highest.insert(name, version).unwrap_or(0);
                    assert!(version >= before, "reverted from {before} to {version}");
                }
                sleep(Duration::from_millis(25)).await;
            }
            bed.platform.set_mode(Mode::Up);
            in_force(bed).await;
        }
    });
}

/// An edit of a pool's slots reaches the holders of its targets.
#[test]
fn edited_slots_take_effect() {
    on_bed(4, async |bed| {
        load(bed, "search", 20.0, 19).await;
        bed.pools = bed.pools.replace("slots = 3", "slots = 2");
        let _ = bed.put_tables();
        in_force(bed).await;
        load(bed, "search", 40.0, 20).await;
        until("every ledger's limit is two", async || {
            let states = bed.states().await;
            let threads = states
                .iter()
                .filter_map(|s| s["threads"].as_array())
                .flatten();
            let targets = threads.filter_map(|t| t["targets"].as_array()).flatten();
            let limits: Vec<u64> = targets.filter_map(|t| t["limit"].as_u64()).collect();
            // Events have four slots and ledgers had three.
            !limits.is_empty() && limits.iter().all(|l| [1, 2, 4].contains(l))
        })
        .await;
    });
}

#[test]
fn a_daemon_that_starts_while_the_platform_is_down_serves() {
    on_bed(4, async |bed| {
        bed.platform.set_mode(Mode::Down);
        bed.add_daemon("late").unwrap();
        in_force(bed).await;
        bed.kill(0);
        bed.ready().await.unwrap();
        let seen = load(bed, "search", 20.0, 15).await;
        assert_eq!((seen.short, seen.broken, seen.wrong), (0, 0, 0), "{seen:?}");
    });
}

#[test]
fn refused_tables_leave_the_old_ones_in_force() {
    on_bed(4, async |bed| {
        let good = bed.pools.clone();
        bed.pools = good.replace("slots = 3", "slots = 0");
        let _ = bed.put_tables();
        sleep(Duration::from_millis(500)).await;
        let seen = load(bed, "search", 20.0, 16).await;
        assert_eq!((seen.full, seen.broken), (seen.total(), 0), "{seen:?}");
        bed.pools = good;
        let _ = bed.put_tables();
        in_force(bed).await;
    });
}
