//! `rattanturn`: the operators' command-line tool.
//!
//! It edits the two configuration tables (routes and pools) in the platform's object store, sends
//! requests to daemons and analyses their log files. Results go to stdout, errors and warnings to
//! stderr. Scripts tell errors apart by the exit code (see [`ErrorKind`]).

mod completions;
mod daemon;
mod rollouts;
mod tables;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Requests that `worst` explains if `--count` is not given.
const DEFAULT_WORST: usize = 10;

mod flags {
    #![allow(missing_docs)] // the help texts below document the generated items

    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Edits the tables routes.ini and pools.ini, shows the state of daemons and analyses their logs.
        ///
        /// Exit codes: 0 success, 1 refused or not found, 2 wrong usage, 3 conflict with another
        /// edit, 4 the platform or daemon did not answer or it is unknown whether the edit took
        /// effect, 5 a file cannot be read or written.
        cmd rattanturn {
            /// Checks both tables and prints all errors and warnings.
            cmd check {
                required routes: PathBuf
                required pools: PathBuf
            }
            /// Prints the current tables, or writes them into a folder.
            cmd show {
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
                /// Folder to write routes.ini and pools.ini into; created if missing.
                optional --into folder: PathBuf
            }
            /// Prints the lines that apply would add and remove.
            cmd diff {
                required routes: PathBuf
                required pools: PathBuf
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
            }
            /// Checks both tables and makes them the current ones.
            cmd apply {
                required routes: PathBuf
                required pools: PathBuf
                /// Address of the platform's object API.
                required --platform addr: SocketAddr
                /// Version that the edit is based on (default: the current one); refused if the
                /// tables have changed since.
                optional --base version: u64
                /// Name recorded with the edit; $USER if not given.
                optional --editor name: String
                /// Accepts keys that this version of the tool does not know.
                optional --allow-unknown
            }
            /// Sends one query and prints the body of the answer.
            cmd query {
                required route: String
                required body: String
                /// Address on which a daemon serves callers.
                required --daemon addr: SocketAddr
                /// Request id; required for routes that are not idempotent.
                optional --id text: String
                /// Deadline in milliseconds.
                optional --deadline-ms count: u64
            }
            /// Prints the daemon addresses that callers should use, and for how long.
            cmd addresses {
                /// Address on which a daemon serves callers.
                required --daemon addr: SocketAddr
                /// Data centre of the caller.
                optional --centre name: String
            }
            /// Prints the state dump of one daemon.
            cmd state {
                /// Address on which the daemon serves operators.
                required --admin addr: SocketAddr
            }
            /// Prints a line for each daemon, and the reasons why services cannot be served.
            cmd status {
                /// Address on which any one daemon serves operators.
                required --admin addr: SocketAddr
                /// Prints JSON instead of a table.
                optional --json
            }
            /// Prints the accounts that have a limit or were held up by overload at one daemon: their
            /// limit, use, refused and waiting requests and leased tokens.
            cmd accounts {
                /// Address on which the daemon serves operators.
                required --admin addr: SocketAddr
            }
            /// Explains from the daemons' log files how one request ended and why.
            cmd explain {
                /// Id of the request, as the caller sent it.
                required id: String
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Explains the most severe failures in the daemons' log files.
            cmd worst {
                /// Number of requests to explain; 10 if not given.
                optional --count count: usize
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Turns the daemons' log files into one HTML page with plots.
            cmd report {
                /// File to write the page into.
                required --into file: PathBuf
                /// Log files, one for each daemon.
                repeated files: PathBuf
            }
            /// Prints a line for each roll-out: phase, share, answers by version and the reason.
            cmd rollouts {
                /// Address on which any one daemon serves operators; those that read the store know
                /// the answers of all.
                required --admin addr: SocketAddr
            }
            /// Prints a completion script for bash.
            cmd completions {
            }
            /// Replays a recorded query trace and checks the outcome that the trace states.
            cmd replay {
                required trace: PathBuf
            }
        }
    }

    /// Help text of the tool and all its commands.
    pub(crate) const HELP: &str = Rattanturn::HELP_;
}

/// Kind of error that ended a command; it decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorKind {
    /// An input is invalid, or the platform or a daemon refused the request.
    Refused,
    /// A local file or folder cannot be read or written.
    FileAccess,
    /// The platform has no tables yet, or the log files have no matching line.
    NotFound,
    /// Another edit was written first.
    Conflict,
    /// The platform or the daemon did not answer, or it is unknown whether an edit took effect.
    NoAnswer,
}

impl ErrorKind {
    /// Exit code, as documented in the tool's help.
    const fn exit_code(self) -> u8 {
        match self {
            Self::Refused | Self::NotFound => 1,
            Self::Conflict => 3,
            Self::NoAnswer => 4,
            Self::FileAccess => 5,
        }
    }
}

/// An error that ends a command, with its message for the operator.
pub(crate) struct Error(pub(crate) ErrorKind, pub(crate) String);

pub(crate) type CommandResult = Result<(), Error>;

fn main() -> ExitCode {
    let flags = flags::Rattanturn::from_env_or_exit();
    match actix_rt::System::new().block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error(kind, text)) => {
            eprintln!("{text}");
            ExitCode::from(kind.exit_code())
        }
    }
}

async fn run(flags: flags::Rattanturn) -> CommandResult {
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
        Cmd::Rollouts(c) => rollouts::rollouts(c.admin).await,
        Cmd::Accounts(c) => daemon::accounts(c.admin).await,
        Cmd::Explain(c) => explain(&c),
        Cmd::Worst(c) => worst(&c),
        Cmd::Report(c) => report(&c),
        Cmd::Completions(_) => {
            print!("{}", completions::bash_script(flags::HELP));
            Ok(())
        }
        Cmd::Replay(c) => daemon::replay(&c.trace),
    }
}

fn explain(flags: &flags::Explain) -> CommandResult {
    let logs = read_logs(&flags.files)?;
    match rattanturn_cli::explain::explain(&flags.id, &logs) {
        Some(text) => {
            print!("{text}");
            Ok(())
        }
        None => Err(Error(
            ErrorKind::NotFound,
            format!(
                "no log line of request {}: daemons log every failure, but only a sample of the answers",
                flags.id
            ),
        )),
    }
}

fn worst(flags: &flags::Worst) -> CommandResult {
    let logs = read_logs(&flags.files)?;
    let count = flags.count.unwrap_or(DEFAULT_WORST);
    for id in rattanturn_cli::explain::most_severe(count, &logs) {
        print!(
            "{}",
            rattanturn_cli::explain::explain(&id, &logs).unwrap_or_default()
        );
    }
    Ok(())
}

fn report(flags: &flags::Report) -> CommandResult {
    let logs = read_logs(&flags.files)?;
    let Some(page) = rattanturn_cli::report::report(&logs) else {
        let why =
            "no log line of a daemon in these files; set the daemons' log format to json".into();
        return Err(Error(ErrorKind::NotFound, why));
    };
    std::fs::write(&flags.into, page).map_err(|e| tables::write_error(&flags.into, &e))
}

/// Reads log files; each gets its file name without the extension as the name of the log.
fn read_logs(files: &[PathBuf]) -> Result<Vec<(String, String)>, Error> {
    let read = |path: &PathBuf| {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        Ok((name.to_string_lossy().into_owned(), read_file(path)?))
    };
    files.iter().map(read).collect()
}

/// Reads a file that the operator named.
pub(crate) fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| {
        let why = format!("cannot read {}: {e}", path.display());
        Error(ErrorKind::FileAccess, why)
    })
}
