//! `rattanturn-soak`: runs randomized fault-injection tests against a daemon's program and prints
//! the violations.

use {
    eyre::{WrapErr, bail},
    rattanturn_soak::{Options, run},
    std::{path::PathBuf, process::ExitCode, time::Duration},
};

mod flags {
    #![allow(missing_docs)] // the macro documents its items for the command line only

    use std::path::PathBuf;

    xflags::xflags! {
        /// Injects randomized faults into real daemons and checks what callers and targets see.
        ///
        /// Exit codes: 0 no violations, 1 violations found, 2 wrong usage or a run could not start.
        cmd rattanturn-soak {
            /// The daemon's program; if not given, rattanturnd in the folder of this program.
            optional --program file: PathBuf
            /// First seed; 1 if not given.
            optional --first seed: u64
            /// Number of seeds; 1 if not given.
            optional --count count: u64
            /// Number of daemons, at most 200; 5 if not given.
            optional --daemons count: u8
            /// Number of targets of each service in each data centre, at most 20; 1 if not given.
            optional --targets count: usize
            /// Number of concurrent callers; 12 if not given.
            optional --callers count: usize
            /// Most callers that stay at their daemons in runs with stops; 70 if not given.
            optional --stop-callers count: usize
            /// Give callers keys and accounts quotas.
            optional --accounts
            /// Roll out new versions, good and bad ones.
            optional --rollouts
            /// Stop daemons in overlapping series, beside the faults or, in some seeds, without any.
            optional --stops
            /// Seconds in which faults begin; 15 if not given.
            optional --seconds time: u64
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::RattanturnSoak::from_env_or_exit();
    match run_seeds(&flags) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds and prints a line for each; false if any run found a violation.
fn run_seeds(flags: &flags::RattanturnSoak) -> eyre::Result<bool> {
    let program = match &flags.program {
        Some(program) => program.clone(),
        None => default_program()?,
    };
    let mut options = Options::new(&program);
    options.daemons = flags.daemons.unwrap_or(options.daemons);
    options.targets = flags.targets.unwrap_or(options.targets);
    options.callers = flags.callers.unwrap_or(options.callers);
    options.stop_callers = flags.stop_callers.unwrap_or(options.stop_callers);
    options.fault_window = flags
        .seconds
        .map_or(options.fault_window, Duration::from_secs);
    options.accounts = flags.accounts;
    options.rollouts = flags.rollouts;
    options.stops = flags.stops;
    let first = flags.first.unwrap_or(1);
    let mut passed = true;
    for seed in first..first + flags.count.unwrap_or(1) {
        let report = run(seed, &options)?;
        let outcomes: Vec<String> = report
            .outcomes
            .iter()
            .map(|(o, n)| format!("{o}: {n}"))
            .collect();
        println!(
            "seed {seed}: {} faults, {} requests ({}), longest pause {} ms, {} broken",
            report.faults,
            report.requests,
            outcomes.join(", "),
            report.longest_pause.as_millis(),
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if !report.violations.is_empty() {
            println!("  logs in {}", report.folder.display());
            passed = false;
        }
    }
    Ok(passed)
}

/// The daemon's program in the folder of this one.
fn default_program() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("cannot find the path of this program")?;
    let program = own.with_file_name("rattanturnd");
    if !program.exists() {
        bail!("no rattanturnd in the folder of this program; give its path with --program");
    }
    Ok(program)
}
