//! `rattanturn-soak`: plays seeds against a daemon's program and tells what broke.

use {
    eyre::{WrapErr, bail},
    rattanturn_soak::{Options, run},
    std::{path::PathBuf, process::ExitCode, time::Duration},
};

mod flags {
    #![allow(missing_docs)] // the macro's items are documented by its own texts

    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays randomized faults against real daemons and checks what callers and targets see.
        ///
        /// Exit codes: 0 all passed, 1 something broke, 2 wrong usage or nothing could be started.
        cmd rattanturn-soak {
            /// The daemon's program; the one beside this program if not given.
            optional --program file: PathBuf
            /// First seed.
            optional --first seed: u64
            /// Number of seeds; 1 if not given.
            optional --count count: u64
            /// Daemons.
            optional --daemons count: u8
            /// Callers at once.
            optional --callers count: usize
            /// Seconds in which faults begin.
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

fn run_seeds(flags: &flags::RattanturnSoak) -> eyre::Result<bool> {
    let program = match &flags.program {
        Some(program) => program.clone(),
        None => default_program()?,
    };
    let mut options = Options::new(&program);
    options.daemons = flags.daemons.unwrap_or(options.daemons);
    options.callers = flags.callers.unwrap_or(options.callers);
    options.fault_window = flags
        .seconds
        .map_or(options.fault_window, Duration::from_secs);
    let first = flags.first.unwrap_or(1);
    let mut passed = true;
    for seed in first..first + flags.count.unwrap_or(1) {
        let report = run(seed, &options)?;
        let outcomes: Vec<String> = report
            .outcomes
            .iter()
            .map(|(e, n)| format!("{e}: {n}"))
            .collect();
        println!(
            "seed {seed}: {} faults, {} requests ({}), {} broken",
            report.faults,
            report.requests,
            outcomes.join(", "),
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

/// The daemon's program beside this one.
fn default_program() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("the own path is not known")?;
    let program = own.with_file_name("rattanturnd");
    if !program.exists() {
        bail!("no rattanturnd beside this program; name one with --program");
    }
    Ok(program)
}
