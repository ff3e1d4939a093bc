//! Short randomized fault-injection runs of the daemon's program with fixed seeds. Longer runs with
//! other seeds are started by hand with `rattanturn-soak`.

use {
    rattanturn_soak::{Options, run},
    std::{
        path::Path,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Held by a run: the daemons of one process listen at the same addresses in each run.
static RUN: Mutex<()> = Mutex::new(());

/// Seeds that are run at a reduced size each time.
const SEEDS: [u64; 2] = [11, 12];

/// A seed without other faults: SIGTERM that repeats, SIGHUP before, right after and during a stop, and
/// six stops of three daemons. It is run at the reduced size.
const STOP_SEED: u64 = 21;

/// Seeds that once found a violation, whether they had accounts, and the cause. They are run at the
/// default size, because the faults drawn from a seed depend on the size.
const REGRESSIONS: [(u64, bool, &str); 2] = [
    (
        4003,
        false,
        "fetches from a peer went on using a connection that had fallen silent",
    ),
    (
        102,
        true,
        "restarted daemons counted twice, so accounts were refused below their limits",
    ),
];

fn assert_no_violations(seed: u64, options: &Options) {
    let _running = RUN.lock().unwrap_or_else(PoisonError::into_inner);
    let report = run(seed, options).unwrap();
    assert!(report.requests > 0, "{report:?}");
    assert_eq!(report.violations, Vec::<String>::new(), "{report:?}");
}

fn daemon_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_rattanturnd"))
}

fn reduced_size() -> Options {
    Options {
        daemons: 3,
        callers: 4,
        fault_window: Duration::from_secs(6),
        ..Options::new(daemon_program())
    }
}

#[test]
fn short_runs_with_fixed_seeds_find_no_violations() {
    for seed in SEEDS {
        assert_no_violations(seed, &reduced_size());
    }
}

/// Guards against planned stops that cost requests.
#[test]
fn overlapping_stops_find_no_violations() {
    let options = Options {
        stops: true,
        ..reduced_size()
    };
    assert_no_violations(STOP_SEED, &options);
}

#[test]
fn seeds_that_once_failed_find_no_violations() {
    for (seed, accounts, cause) in REGRESSIONS {
        println!("seed {seed}: {cause}");
        let options = Options {
            accounts,
            ..Options::new(daemon_program())
        };
        assert_no_violations(seed, &options);
    }
}
