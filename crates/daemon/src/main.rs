//! `rattanturnd`: runs one daemon as a process, from a settings file until a signal stops it.
//!
//! The process writes its log to stdout and errors at start to stderr.

use {
    eyre::{Context, bail},
    rattanturn_daemon::{Daemon, Tier},
    rattanturn_tables::{LogFormat, Settings},
    std::{
        io::IsTerminal,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
    tokio::signal::unix::{Signal, SignalKind, signal},
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        EnvFilter, Registry, fmt, layer::SubscriberExt, reload, util::SubscriberInitExt,
    },
};

mod flags {
    #![allow(missing_docs)] // the macro's help texts document its items

    use std::path::PathBuf;

    xflags::xflags! {
    /// Runs one rattanturn daemon. SIGTERM or SIGINT stops it gracefully; a second signal ends it
    /// at once. SIGHUP reads the settings again: a new log level takes effect at once, other
    /// changes only after a restart.
    ///
    /// Exit codes: 0 stopped gracefully, 1 could not start or was ended early, 2 bad settings.
    cmd rattanturnd {
        /// Settings file of this daemon, in INI format.
        required settings: PathBuf
        /// Only check the settings, and exit.
        optional --check
    }
    }
}

fn main() -> ExitCode {
    let flags = flags::Rattanturnd::from_env_or_exit();
    let settings = match read_settings(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error:#}");
            return ExitCode::from(2);
        }
    };
    if flags.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = start_log(&settings);
    let process = Process {
        path: flags.settings,
        log,
    };
    match actix_rt::System::new().block_on(process.run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rattanturnd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> eyre::Result<Settings> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {name}"))?;
    match Settings::parse(&name, &text) {
        Ok((settings, warnings)) => {
            if !warnings.list.is_empty() {
                eprintln!("{warnings}");
            }
            Ok(settings)
        }
        Err(findings) => bail!("{findings}"),
    }
}

/// Handle that replaces the filter of the log while the process runs.
type FilterHandle = reload::Handle<EnvFilter, Registry>;

/// Maximum number of log lines that wait to be written; further lines are dropped and counted.
const LOG_BUFFER_LINES: usize = 4_096;
/// Interval of the check for dropped log lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// A log that never blocks the daemon: if nothing reads its output, lines are dropped.
struct Log {
    filter: FilterHandle,
    /// Counts the dropped lines.
    dropped: ErrorCounter,
    /// Writes the waiting lines when it is dropped.
    _writer: WorkerGuard,
}

/// Installs the process's log, which writes to stdout.
fn start_log(settings: &Settings) -> Log {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let (filter, handle) = reload::Layer::new(EnvFilter::new(&settings.log_level));
    let lines = fmt::layer()
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(writer);
    let log = tracing_subscriber::registry().with(filter);
    match settings.log_format {
        LogFormat::Text => log.with(lines).init(),
        LogFormat::Json => log.with(lines.json()).init(),
    }
    Log {
        filter: handle,
        dropped,
        _writer: guard,
    }
}

/// The parts of the process that stay the same when the settings change.
struct Process {
    path: PathBuf,
    log: Log,
}

impl Process {
    /// Runs a daemon until it has stopped; fails if it cannot start or a second signal ends it
    /// early.
    async fn run(&self, settings: Settings) -> eyre::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let Some(tier) = settings.tier else {
            let daemon = Daemon::spawn(settings.clone())?;
            let at = daemon.addresses();
            tracing::info!(callers = %at.http, operators = %at.admin, gossip = %at.gossip, "serving");
            self.serve(settings, &mut terminate, &mut interrupt, &mut hangup)
                .await;
            return await_stop(daemon.stop(), &mut terminate, &mut interrupt).await;
        };
        let daemon = Tier::spawn(settings.clone(), tier)?;
        let at = daemon.addresses();
        tracing::info!(
            callers = %at.front, directory = %at.directory, operators = %at.admin,
            config_limit = ?tier.config_limit, evacuation_limit = ?tier.evacuation_limit,
            "serving"
        );
        self.serve(settings, &mut terminate, &mut interrupt, &mut hangup)
            .await;
        await_stop(daemon.stop(), &mut terminate, &mut interrupt).await
    }

    /// Handles SIGHUP and reports dropped log lines until a signal asks the daemon to stop.
    async fn serve(
        &self,
        mut settings: Settings,
        terminate: &mut Signal,
        interrupt: &mut Signal,
        hangup: &mut Signal,
    ) {
        let mut dropped = 0;
        loop {
            tokio::select! {
                () = stop_signal(terminate, interrupt) => return,
                _ = hangup.recv() => self.reload(&mut settings),
                () = tokio::time::sleep(DROP_CHECK_INTERVAL) => self.report_dropped(&mut dropped),
            }
        }
    }

    /// Logs how many lines of the log were dropped since the last report; `known` is the total
    /// then.
    fn report_dropped(&self, known: &mut usize) {
        let total = self.log.dropped.dropped_lines();
        if total > *known {
            tracing::warn!(lines = total - *known, "lines of the log were dropped");
            metrics::counter!("rattanturn_log_lines_dropped_total").absolute(total as u64);
            *known = total;
        }
    }

    /// Reads the settings file again and applies its log level.
    ///
    /// Other changes need a restart, which the log then says. Invalid settings are logged and
    /// change nothing.
    fn reload(&self, settings: &mut Settings) {
        let fresh = match read_settings(&self.path) {
            Ok(fresh) => fresh,
            Err(error) => {
                tracing::error!(%error, "cannot use the changed settings; the old ones stay in use");
                return;
            }
        };
        if let Err(error) = self.log.filter.reload(EnvFilter::new(&fresh.log_level)) {
            tracing::error!(%error, "cannot change the log level");
        }
        settings.log_level.clone_from(&fresh.log_level);
        let restart = fresh != *settings;
        tracing::info!(level = %fresh.log_level, restart_needed = restart, "settings read again");
    }
}

/// Waits for the end of a graceful stop; fails if a second signal comes first.
async fn await_stop(
    stop: impl Future<Output = String>,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) -> eyre::Result<()> {
    tokio::select! {
        left = stop => {
            tracing::info!(%left, "graceful shutdown ended");
            Ok(())
        }
        () = stop_signal(terminate, interrupt) => {
            bail!("ended by a second signal before the graceful shutdown was complete")
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
