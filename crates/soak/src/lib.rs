//! A randomized fault-injection test: real daemons as processes, with stand-ins for the store and
//! the targets.
//!
//! A run draws its faults from a seed, injects them one after another and overlapping, and checks
//! each answer as it arrives. At the end all faults are undone, and every daemon must serve all
//! kinds of requests again. A seed always gives the same faults, but not the same timing of single
//! packets. A seed that failed may therefore pass the next time, and the cause of a failure has to
//! be traced from the logs that its run kept.
//!
//! Callers may have keys and accounts quotas, new versions may be rolled out, and daemons may be
//! stopped in overlapping series; all are drawn beside the faults, so that a seed's faults do not
//! depend on them. The daemon's feature
//! `planted-faults` and the variable `RATTANTURN_PLANTED` give it a fault that the checks must find.
//!
//! Faults of disks and clocks are not injected: daemons use no disk, and their only clocks are
//! those of the machine, which a program without privileges cannot set.

mod accounts;
mod callers;
mod checks;
mod connection;
mod daemons;
mod environment;
mod final_answers;
mod injection;
mod plan;
mod processor;
mod recovery;
mod rollouts;
mod runner;
mod signals;
mod standin_threads;
mod stop_callers;
mod stop_checks;
mod stops;

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

/// Extra calls (retries and hedges) that a service may receive for each request, as a ratio; the
/// daemons' setting `repeat-ratio`.
const EXTRA_CALL_RATIO: f64 = 0.1;
/// Extra calls that a service may receive in addition to the ratio; the daemons' setting
/// `repeat-slack`.
const EXTRA_CALL_SLACK: f64 = 30.0;
/// Time within which a daemon that was paused or cut off from the store applies the changes that
/// it missed. The platform's rules set it.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time within which a started daemon must accept requests; the platform's time for recovery.
const START_TIME: Duration = Duration::from_secs(12);
/// Time within which everything must be served again after the last fault. The platform's rules set
/// it.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// The size of a run and the program under test.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Number of daemons, at most 200; each has a loopback address of its own.
    pub daemons: u8,
    /// Number of targets of each service in each data centre, at most 20.
    pub targets: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Largest number of callers that stay at their daemons in runs with stops, up to seven for each
    /// daemon. Each daemon has one at least.
    pub stop_callers: usize,
    /// Time in which faults begin. A run takes longer: faults last up to 4 s, a daemon that is
    /// asked to stop takes up to its drain limit, and the daemons start before and recover after
    /// the faults.
    pub fault_window: Duration,
    /// Whether callers have keys and accounts have quotas.
    pub accounts: bool,
    /// Whether new versions are rolled out, one beside the faults and one after them.
    pub rollouts: bool,
    /// Whether daemons are stopped in overlapping series, with requests that take seconds.
    pub stops: bool,
    /// Folder in which a run makes its own folder for settings and logs. That one is removed at the
    /// end unless the run found a violation.
    pub folder: PathBuf,
}

impl Options {
    /// Options for a run of the default size: 5 daemons and 12 callers, with faults for 15 s, in
    /// the system's folder for temporary files.
    #[must_use]
    pub fn new(program: &Path) -> Self {
        Self {
            program: program.into(),
            daemons: 5,
            targets: 1,
            callers: 12,
            stop_callers: 70,
            fault_window: Duration::from_secs(15),
            accounts: false,
            rollouts: false,
            stops: false,
            folder: std::env::temp_dir(),
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed from which the faults were drawn.
    pub seed: u64,
    /// Number of requests sent, also those that tested for recovery.
    pub requests: u64,
    /// Outcomes of the callers' requests and how often each occurred: the status of an answer, or
    /// the name of the failure.
    pub outcomes: Vec<(String, u64)>,
    /// Number of faults injected.
    pub faults: usize,
    /// A description of each violation; empty if the run passed.
    pub violations: Vec<String>,
    /// Longest time for which the soak itself did not run. With a long one the machine lacked
    /// processor time, which a violation's time may be due to; `run.txt` lists the long ones.
    pub longest_pause: Duration,
    /// The run's folder with settings, logs and `run.txt`, which lists the faults and the
    /// violations. It has been removed if there were no violations.
    pub folder: PathBuf,
}

/// Runs one seed on a runtime of its own and returns when all of its daemons have been killed.
///
/// # Errors
///
/// The stand-ins or a daemon could not be started, a file of the run could not be written, or the
/// run sends SIGINT and this process ignores it.
pub fn run(seed: u64, options: &Options) -> eyre::Result<Report> {
    actix_rt::System::new().block_on(runner::run(seed, options))
}
