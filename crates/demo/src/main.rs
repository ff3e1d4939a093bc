//! Runs a whole deployment on embedded stand-ins in one process: several daemons, the Board's or
//! Nilavu's pools, a burst of queries, and a data centre taken out and brought back meanwhile.

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
            /// Which deployment: board or nilavu. Default: board.
            optional --deployment name: String
            /// What happens: tier (the users' platform), centre, steady, slow, lost, cold, versions,
            /// overload, or serve (only the stand-ins, for daemons run by hand). Default: centre.
            optional --scenario name: String
            /// Number of daemons. Default: 8.
            optional --daemons count: usize
            /// Fan-out queries a second on each fan-out route. Default: 40.
            optional --rate count: f64
            /// Seconds for each phase. Default: 8.
            optional --seconds count: u64
            /// Factor on all rates in the overload scenario. Default: 2.
            optional --factor count: f64
            /// Median service time of targets, in milliseconds. Default: 5.
            optional --service-ms count: u64
            /// leased or shares. Default: leased.
            optional --holding name: String
            /// Seed. Default: 1.
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

/// Rate of single-record requests relative to fan-out queries.
const SINGLE_FACTOR: f64 = 1.0;
/// One target in this many is slow in the scenario "slow".
const SLOW_ONE_IN: usize = 20;
/// Factor on a slow target's service time.
const SLOW_FACTOR: f64 = 10.0;
/// Cold start in the scenario "cold".
const COLD_TIME: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let flags = flags::Demo::from_env_or_exit();
    match System::new().block_on(demo(&flags)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("demo: a promise was broken; see the columns above");
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
    let good = scenario(flags, &mut cluster).await?;
    cluster.stop();
    Ok(good)
}

/// Runs only the stand-ins, for daemons that run as processes of their own.
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

async fn scenario(flags: &flags::Demo, cluster: &mut Cluster) -> eyre::Result<bool> {
    let time = Duration::from_secs(flags.seconds.unwrap_or(8));
    let rate = flags.rate.unwrap_or(40.0);
    let seed = flags.seed.unwrap_or(1);
    let calm = streams(&cluster.tables, rate);
    // Connections and estimates are warmed before anything is measured.
    phase(cluster, &calm, Duration::from_secs(3), seed + 100).await?;
    let mut good = measured("steady", cluster, &calm, time, seed).await?;
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
            good &= measured(
                &format!("{centre} taken out"),
                cluster,
                &calm,
                time,
                seed + 1,
            )
            .await?;
            cluster.set_evacuated(&centre, false)?;
            good &= measured(&format!("{centre} back in"), cluster, &calm, time, seed + 2).await?;
        }
        "slow" => {
            for target in cluster.targets.iter().step_by(SLOW_ONE_IN) {
                target.state.set_slow(SLOW_FACTOR);
            }
            good &= measured(
                "one target in 20 slow by 10x",
                cluster,
                &calm,
                time,
                seed + 1,
            )
            .await?;
        }
        "lost" => {
            cluster.targets[0].state.set_leaving(true);
            good &= measured("a replica lost", cluster, &calm, time, seed + 1).await?;
        }
        "cold" => {
            for target in cluster
                .targets
                .iter()
                .filter(|t| t.state.shape().centre == centre)
            {
                target.state.set_cold(COLD_TIME);
            }
            good &= measured(
                &format!("{centre} cold at once"),
                cluster,
                &calm,
                time,
                seed + 1,
            )
            .await?;
        }
        "versions" => {
            good &= move_versions(cluster, &calm, time, seed + 1).await?;
        }
        "overload" => {
            let factor = flags.factor.unwrap_or(2.0);
            let hot = streams(&cluster.tables, rate * factor);
            good &= measured(&format!("{factor}x load"), cluster, &hot, time, seed + 1).await?;
        }
        other => bail!("--scenario {other}: see --help"),
    }
    Ok(good)
}

/// Moves every target to a newer index version, one after another, under load.
async fn move_versions(
    cluster: &Cluster,
    calm: &[RouteLoad],
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
    let good = measured("index version moving", cluster, calm, time, seed).await?;
    mover.abort();
    Ok(good)
}

fn streams(tables: &Tables, rate: f64) -> Vec<RouteLoad> {
    let one = |route: &rattanturn_tables::Route| RouteLoad {
        route: route.name.clone(),
        rate: match route.kind {
            rattanturn_tables::RouteKind::FanOut => rate,
            rattanturn_tables::RouteKind::SingleRecord => rate * SINGLE_FACTOR,
        },
        idempotent: route.idempotent,
    };
    tables.routes.values().map(one).collect()
}

/// Runs a phase, prints it, and tells whether every promise was kept.
async fn measured(
    title: &str,
    cluster: &Cluster,
    streams: &[RouteLoad],
    time: Duration,
    seed: u64,
) -> eyre::Result<bool> {
    let callers = phase(cluster, streams, time, seed).await?;
    report::print(title, time.as_secs_f64(), &callers, cluster);
    let totals = report::totals(&cluster.targets);
    let wrong: u64 = callers.values().map(|s| s.wrong).sum();
    Ok(wrong == 0 && totals.duplicates == 0 && report::false_not_run(&callers, &totals) == 0)
}

async fn phase(
    cluster: &Cluster,
    streams: &[RouteLoad],
    time: Duration,
    seed: u64,
) -> eyre::Result<BTreeMap<String, CallerStats>> {
    let centres: Vec<&String> = cluster.tables.centres.keys().collect();
    let mut tasks = Vec::new();
    for (i, stream) in streams.iter().enumerate() {
        let finder = DaemonResolver::new(cluster.frontends(), centres[i % centres.len()]);
        let seed = seed * 1_000 + i as u64;
        let name = stream.route.clone();
        tasks.push((
            name,
            actix_rt::spawn(run(finder, stream.clone(), time, seed)),
        ));
    }
    let mut out = BTreeMap::new();
    for (name, task) in tasks {
        out.insert(name, task.await?);
    }
    Ok(out)
}
