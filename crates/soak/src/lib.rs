//! A randomized soak: real daemons as processes, stand-ins, and faults from outside.
//!
//! A run draws its faults from a seed, plays them in series and overlapping, and judges each
//! answer while it runs. At the end all faults are undone and everything must be served again.
//! The plan is the same for a seed; the moments of single packets are not, so a seed that failed
//! may pass again, and a failure is traced from the logs that its run kept.
//!
//! Daemons have no disk, and their only clocks are those of the machine, which a program without
//! privileges cannot set; neither is disturbed here.

mod callers;
mod checks;
mod connection;
mod daemons;
mod environment;
mod plan;
mod proxy;
mod runner;

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

/// Calls beyond the first that a service may get for each request.
const EXTRA_CALL_RATIO: f64 = 0.1;
/// Such calls that it may get besides.
const EXTRA_CALL_SLACK: f64 = 30.0;
/// A daemon that was paused works off what it missed within this time: the platform's rules.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// A started daemon serves after this time: the platform's time for recovery.
const START_TIME: Duration = Duration::from_secs(12);
/// After the last fault everything is served again within this time: the platform's rules.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub program: PathBuf,
    /// Daemons, at most 200.
    pub daemons: u8,
    /// Callers at once.
    pub callers: usize,
    /// Time in which faults begin.
    pub fault_window: Duration,
    /// Folder of settings and logs; it stays if a promise was broken.
    pub folder: PathBuf,
}

impl Options {
    /// A run of the usual size with a program, in the folder for temporary files.
    #[must_use]
    pub fn new(program: &Path) -> Self {
        Self {
            program: program.into(),
            daemons: 5,
            callers: 12,
            fault_window: Duration::from_secs(15),
            folder: std::env::temp_dir(),
        }
    }
}

/// What a run found.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// How they ended, and how often.
    pub outcomes: Vec<(String, u64)>,
    /// Faults played.
    pub faults: usize,
    /// Promises broken.
    pub violations: Vec<String>,
    /// Folder with settings, logs and the faults played.
    pub folder: PathBuf,
}

/// Plays one seed.
///
/// # Errors
///
/// The surroundings or a daemon could not be started.
pub fn run(seed: u64, options: &Options) -> eyre::Result<Report> {
    actix_rt::System::new().block_on(runner::run(seed, options))
}
