//! The demonstration: runs a cluster in one process with the tables of the Board or of Nilavu, puts
//! open-loop load on its routes, injects the faults of a scenario and prints what callers received.
//!
//! It exits with 0 if all guarantees held, with 1 if one was violated, and with 2 on an error.

use {
    actix_rt::System,
    eyre::{ContextCompat, bail},
    rattanturn_demo::{
        cluster::{Cluster, Options},
        load::{CallerStats, DaemonResolver, RouteLoad, run},
        report,
    },
    rattanturn_tables::{SlotPolicy, Tables},
    std::{
        collections::BTreeMap,
        process::ExitCode,
        time::{Duration, Instant},
    },
};

mod tier;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Runs a whole deployment on embedded stand-ins and prints what callers saw.
        cmd demo {
            /// Tables of the deployment: board or nilavu. Default: board.
            optional --deployment name: String
            /// Scenario: tier (a query tier on the users' platform), centre, steady, slow, lost,
            /// cold, versions, overload, or serve (only the stand-ins, for daemons that you start
            /// yourself). Default: centre.
            optional --scenario name: String
            /// Number of daemons. Default: 8.
            optional --daemons count: usize
            /// Queries per second on each fan-out route. Default: 40.
            optional --rate count: f64
            /// Seconds of each phase, or of the whole run of serve. Default: 8; for tier 4, for
            /// serve 600.
            optional --seconds count: u64
            /// Factor by which the overload scenario multiplies all rates. Default: 2.
            optional --factor count: f64
            /// Median service time of targets, in milliseconds. Default: 5.
            optional --service-ms count: u64
            /// How daemons share a target's slots: leased or shares. Default: leased.
            optional --holding name: String
            /// Seed of arrivals and service times. Default: 1.
            optional --seed number: u64
        }
    }
}

const BOARD: (&str, &str) = (
    include_str!("../../../examples/board/routes.ini"),
    include_str!("../../../examples/board/pools.ini"),
);
const NILAVU: (&str, &str) = (
    include_str!("../../../examples/nilavu/routes.ini"),
    include_str!("../../../examples/nilavu/pools.ini"),
);

/// Rate on a single-record route relative to that on a fan-out route.
const SINGLE_FACTOR: f64 = 1.0;
/// In the scenario "slow", one target in this many is slow.
const SLOW_ONE_IN: usize = 20;
/// Factor by which a slow target's service time grows.
const SLOW_FACTOR: f64 = 10.0;
/// Length of the cold start in the scenario "cold".
const COLD_TIME: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let flags = flags::Demo::from_env_or_exit();
    match System::new().block_on(demo(&flags)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("demo: a guarantee was violated; see the rows above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::from(2)
        }
    }
}

async fn demo(flags: &flags::Demo) -> eyre::Result<bool> {
    if flags.scenario.as_deref() == Some("tier") {
        let time = Duration::from_secs(flags.seconds.unwrap_or(4));
        return tier::run(flags.daemons.unwrap_or(8), time).await;
    }
    let (routes, pools) = match flags.deployment.as_deref().unwrap_or("board") {
        "board" => BOARD,
        "nilavu" => NILAVU,
        other => bail!("--deployment {other}: use board or nilavu"),
    };
    let mut options = Options::new(routes, pools);
    options.daemons = flags.daemons.unwrap_or(8);
    options.seed = flags.seed.unwrap_or(1);
    options.service_time = Duration::from_millis(flags.service_ms.unwrap_or(5));
    options.slot_policy = match flags.holding.as_deref().unwrap_or("leased") {
        "leased" => SlotPolicy::Leased,
        "shares" => SlotPolicy::StaticShares,
        other => bail!("--holding {other}: use leased or shares"),
    };
    if flags.scenario.as_deref() == Some("serve") {
        return serve(options, Duration::from_secs(flags.seconds.unwrap_or(600))).await;
    }
    let start = Instant::now();
    let mut cluster = Cluster::spawn(options).await?;
    println!(
        "{} daemons, {} targets, settled after {:.1} s",
        cluster.daemons.len(),
        cluster.targets.len(),
        start.elapsed().as_secs_f64()
    );
    let ok = run_scenario(flags, &mut cluster).await?;
    cluster.stop();
    Ok(ok)
}

/// Runs only the stand-ins for `time`, for daemons that run as separate processes.
async fn serve(options: Options, time: Duration) -> eyre::Result<bool> {
    let cluster = Cluster::spawn_standins(options)?;
    let version = cluster.put_tables();
    println!(
        "platform at {}, tables at version {version}",
        cluster.platform_addr
    );
    actix_rt::time::sleep(time).await;
    cluster.stop();
    Ok(true)
}

async fn run_scenario(flags: &flags::Demo, cluster: &mut Cluster) -> eyre::Result<bool> {
    let time = Duration::from_secs(flags.seconds.unwrap_or(8));
    let rate = flags.rate.unwrap_or(40.0);
    let seed = flags.seed.unwrap_or(1);
    let normal = route_loads(&cluster.tables, rate);
    // This phase is not reported: it opens connections and fills latency estimates.
    run_phase(cluster, &normal, Duration::from_secs(3), seed + 100).await?;
    let mut ok = measure("steady", cluster, &normal, time, seed).await?;
    let centre = cluster
        .tables
        .centres
        .keys()
        .next()
        .cloned()
        .wrap_err("no data centre")?;
    match flags.scenario.as_deref().unwrap_or("centre") {
        "steady" => {}
        "centre" => {
            cluster.set_evacuated(&centre, true)?;
            ok &= measure(
                &format!("{centre} taken out"),
                cluster,
                &normal,
                time,
                seed + 1,
            )
            .await?;
            cluster.set_evacuated(&centre, false)?;
            ok &= measure(
                &format!("{centre} back in"),
                cluster,
                &normal,
                time,
                seed + 2,
            )
            .await?;
        }
        "slow" => {
            for target in cluster.targets.iter().step_by(SLOW_ONE_IN) {
                target.state.set_slow(SLOW_FACTOR);
            }
            ok &= measure(
                "one target in 20 slow by 10x",
                cluster,
                &normal,
                time,
                seed + 1,
            )
            .await?;
        }
        "lost" => {
            cluster.targets[0].state.set_leaving(true);
            ok &= measure("a replica lost", cluster, &normal, time, seed + 1).await?;
        }
        "cold" => {
            for target in cluster
                .targets
                .iter()
                .filter(|t| t.state.config().centre == centre)
            {
                target.state.set_cold(COLD_TIME);
            }
            ok &= measure(
                &format!("{centre} cold at once"),
                cluster,
                &normal,
                time,
                seed + 1,
            )
            .await?;
        }
        "versions" => {
            ok &= move_versions(cluster, &normal, time, seed + 1).await?;
        }
        "overload" => {
            let factor = flags.factor.unwrap_or(2.0);
            let heavy = route_loads(&cluster.tables, rate * factor);
            ok &= measure(&format!("{factor}x load"), cluster, &heavy, time, seed + 1).await?;
        }
        other => bail!("--scenario {other}: unknown scenario; see --help"),
    }
    Ok(ok)
}

/// Moves all targets to a newer index version while load runs: one after another they serve the
/// new version besides the old one, then one after another only the new one.
async fn move_versions(
    cluster: &Cluster,
    normal: &[RouteLoad],
    time: Duration,
    seed: u64,
) -> eyre::Result<bool> {
    let states: Vec<_> = cluster.targets.iter().map(|t| t.state.clone()).collect();
    let pause = time / u32::try_from(states.len() * 2).unwrap_or(u32::MAX);
    let mover = actix_rt::spawn(async move {
        for versions in [[1, 2].as_slice(), &[2]] {
            for state in &states {
                state.set_versions(versions);
                actix_rt::time::sleep(pause).await;
            }
        }
    });
    let ok = measure("index version moving", cluster, normal, time, seed).await?;
    mover.abort();
    Ok(ok)
}

fn route_loads(tables: &Tables, rate: f64) -> Vec<RouteLoad> {
    let load = |route: &rattanturn_tables::Route| RouteLoad {
        route: route.name.clone(),
        rate: match route.kind {
            rattanturn_tables::RouteKind::FanOut => rate,
            rattanturn_tables::RouteKind::SingleRecord => rate * SINGLE_FACTOR,
        },
        idempotent: route.idempotent,
    };
    tables.routes.values().map(load).collect()
}

/// Runs a phase, prints its report and returns whether all guarantees held: consistent answers, no
/// non-idempotent request run twice, and none run after the answer "not run".
async fn measure(
    title: &str,
    cluster: &Cluster,
    loads: &[RouteLoad],
    time: Duration,
    seed: u64,
) -> eyre::Result<bool> {
    let stats = run_phase(cluster, loads, time, seed).await?;
    report::print(title, time.as_secs_f64(), &stats, cluster);
    let totals = report::totals(&cluster.targets);
    let wrong: u64 = stats.values().map(|s| s.wrong).sum();
    Ok(wrong == 0 && totals.duplicates == 0 && report::false_not_run(&stats, &totals) == 0)
}

async fn run_phase(
    cluster: &Cluster,
    loads: &[RouteLoad],
    time: Duration,
    seed: u64,
) -> eyre::Result<BTreeMap<String, CallerStats>> {
    let centres: Vec<&String> = cluster.tables.centres.keys().collect();
    let mut tasks = Vec::new();
    for (i, load) in loads.iter().enumerate() {
        let resolver = DaemonResolver::new(cluster.frontends(), centres[i % centres.len()]);
        let seed = seed * 1_000 + i as u64;
        let name = load.route.clone();
        tasks.push((
            name,
            actix_rt::spawn(run(resolver, load.clone(), time, seed)),
        ));
    }
    let mut out = BTreeMap::new();
    for (name, task) in tasks {
        out.insert(name, task.await?);
    }
    Ok(out)
}
