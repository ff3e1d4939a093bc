//! `rattanturn`: the operators' command-line tool.

mod completions;
mod daemon;
mod tables;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Requests that `worst` tells of.
const WORST: usize = 10;

mod flags {
    #![allow(missing_docs)] // the macro's items are documented by its own texts

    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Edits the tables and asks daemons for their state.
        ///
        /// Exit codes: 0 done, 1 refused or not found, 2 wrong usage, 3 another edit came first,
        /// 4 the platform or daemon did not answer or it is not known whether the edit took
        /// effect, 5 a file cannot be read or written.
        cmd rattanturn {
            /// Checks both tables and prints every finding.
            cmd check {
                required routes: PathBuf
                required pools: PathBuf
            }
            /// Prints the tables in force, or writes them into a folder.
            cmd show {
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
                /// Folder that gets routes.ini and pools.ini.
                optional --into folder: PathBuf
            }
            /// Shows what an apply would change.
            cmd diff {
                required routes: PathBuf
                required pools: PathBuf
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
            }
            /// Checks both tables and puts them in force.
            cmd apply {
                required routes: PathBuf
                required pools: PathBuf
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
                /// Version that the edit was made on; refused if another edit came first.
                optional --base version: u64
                /// Name recorded with the edit.
                optional --editor name: String
                /// Accepts keys that this version does not know.
                optional --allow-unknown
            }
            /// Sends one query and prints the answer.
            cmd query {
                required route: String
                required body: String
                /// Address of a daemon for callers.
                required --daemon addr: SocketAddr
                /// Request id; needed for routes that are not idempotent.
                optional --id text: String
                /// Deadline in milliseconds.
                optional --deadline-ms count: u64
            }
            /// Prints the addresses that callers should use.
            cmd addresses {
                /// Address of a daemon for callers.
                required --daemon addr: SocketAddr
                /// Data centre that the caller is near.
                optional --centre name: String
            }
            /// Prints the state dump of one daemon.
            cmd state {
                /// Address of the daemon for operators.
                required --admin addr: SocketAddr
            }
            /// Prints a line for each daemon, and why services cannot be served.
            cmd status {
                /// Address of any daemon for operators.
                required --admin addr: SocketAddr
                /// Prints JSON.
                optional --json
            }
            /// Tells the story of one request from the daemons' log files.
            cmd explain {
                /// Id of the request, as the caller sent it.
                required id: String
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Tells the stories of the requests that went worst, from the daemons' log files.
            cmd worst {
                /// Number of requests; 10 if not given.
                optional --count count: usize
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Turns the daemons' log files into one HTML page with plots.
            cmd report {
                /// File that gets the page.
                required --into file: PathBuf
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Prints a completion script for bash.
            cmd completions {
            }
            /// Replays a recorded query trace and checks its stated outcome.
            cmd replay {
                required trace: PathBuf
            }
        }
    }

    /// The tool's help.
    pub(crate) const HELP: &str = Rattanturn::HELP_;
}

/// Why a command did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    Refused,
    Unreadable,
    Absent,
    Conflict,
    Unanswered,
}

impl Failure {
    /// Exit code, as documented in the tool's help.
    const fn code(self) -> u8 {
        match self {
            Self::Refused | Self::Absent => 1,
            Self::Conflict => 3,
            Self::Unanswered => 4,
            Self::Unreadable => 5,
        }
    }
}

/// A failure and what to tell the operator.
pub(crate) struct Failed(pub(crate) Failure, pub(crate) String);

pub(crate) type Outcome = Result<(), Failed>;

fn main() -> ExitCode {
    let flags = flags::Rattanturn::from_env_or_exit();
    match actix_rt::System::new().block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed(failure, text)) => {
            eprintln!("{text}");
            ExitCode::from(failure.code())
        }
    }
}

async fn run(flags: flags::Rattanturn) -> Outcome {
    use flags::RattanturnCmd as Cmd;
    match flags.subcommand {
        Cmd::Check(c) => tables::check(&c.routes, &c.pools),
        Cmd::Show(c) => tables::show(c.platform, c.into.as_deref()).await,
        Cmd::Diff(c) => tables::diff(&c.routes, &c.pools, c.platform).await,
        Cmd::Apply(c) => tables::apply(&c).await,
        Cmd::Query(c) => daemon::query(&c).await,
        Cmd::Addresses(c) => daemon::addresses(c.daemon, c.centre.as_deref()).await,
        Cmd::State(c) => daemon::state(c.admin).await,
        Cmd::Status(c) => daemon::status(c.admin, c.json).await,
        Cmd::Explain(c) => explain(&c),
        Cmd::Worst(c) => worst(&c),
        Cmd::Report(c) => report(&c),
        Cmd::Completions(_) => {
            print!("{}", completions::bash(flags::HELP));
            Ok(())
        }
        Cmd::Replay(c) => daemon::replay(&c.trace),
    }
}

fn explain(flags: &flags::Explain) -> Outcome {
    let logs = read_logs(&flags.files)?;
    match rattanturn_cli::explain::explain(&flags.id, &logs) {
        Some(story) => {
            print!("{story}");
            Ok(())
        }
        None => Err(Failed(
            Failure::Absent,
            format!(
                "no line of request {}: only failures and one answer in many are logged",
                flags.id
            ),
        )),
    }
}

fn worst(flags: &flags::Worst) -> Outcome {
    let logs = read_logs(&flags.files)?;
    let count = flags.count.unwrap_or(WORST);
    for id in rattanturn_cli::explain::most_severe(count, &logs) {
        print!(
            "{}",
            rattanturn_cli::explain::explain(&id, &logs).unwrap_or_default()
        );
    }
    Ok(())
}

fn report(flags: &flags::Report) -> Outcome {
    let logs = read_logs(&flags.files)?;
    let Some(page) = rattanturn_cli::report::report(&logs) else {
        let why = "these files hold no line of a daemon that logs JSON".into();
        return Err(Failed(Failure::Absent, why));
    };
    std::fs::write(&flags.into, page).map_err(|e| tables::unwritable(&flags.into, &e))
}

/// Log files by name, and what they hold.
fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, Failed> {
    let read = |path: &PathBuf| {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        Ok((name.to_string_lossy().into_owned(), read_file(path)?))
    };
    files.iter().map(read).collect()
}

/// Text of a file that the operator named.
pub(crate) fn read_file(path: &Path) -> Result<String, Failed> {
    std::fs::read_to_string(path).map_err(|e| {
        let why = format!("cannot read {}: {e}", path.display());
        Failed(Failure::Unreadable, why)
    })
}
