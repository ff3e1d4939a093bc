//! `rattanturnd`: runs one daemon until it is told to stop.

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
    #![allow(missing_docs)] // the macro's items are documented by its own texts

    use std::path::PathBuf;

    xflags::xflags! {
    /// Runs one rattanturn daemon. SIGTERM or SIGINT stops it gracefully; a second one ends it.
    /// SIGHUP reads the settings again: a new log level takes effect, the rest at the next start.
    ///
    /// Exit codes: 0 stopped gracefully, 1 could not start or was ended early, 2 bad settings.
    cmd rattanturnd {
        /// Settings of this daemon, in INI.
        required settings: PathBuf
        /// Only check the settings.
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
        println!("settings are fine");
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

/// Changes the filter of the log.
type LogLevel = reload::Handle<EnvFilter, Registry>;

/// Lines that wait for a reader of the log; further ones are dropped and counted.
const LOG_LINES: usize = 4_096;
/// How often dropped lines are looked for.
const DROPPED_INTERVAL: Duration = Duration::from_secs(5);

/// A log that never holds the daemon up.
struct Log {
    level: LogLevel,
    dropped: ErrorCounter,
    /// Writes what is left when it is dropped.
    _writer: WorkerGuard,
}

fn start_log(settings: &Settings) -> Log {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES)
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
        level: handle,
        dropped,
        _writer: guard,
    }
}

/// What outlives a change of settings.
struct Process {
    path: PathBuf,
    log: Log,
}

impl Process {
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
            return stopped(daemon.stop(), &mut terminate, &mut interrupt).await;
        };
        let tier = Tier::spawn(settings.clone(), tier)?;
        let at = tier.addresses();
        tracing::info!(callers = %at.front, directory = %at.directory, operators = %at.admin, "serving");
        self.serve(settings, &mut terminate, &mut interrupt, &mut hangup)
            .await;
        stopped(tier.stop(), &mut terminate, &mut interrupt).await
    }

    /// Returns when the daemon is asked to stop.
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
                () = asked_to_stop(terminate, interrupt) => return,
                _ = hangup.recv() => self.reload(&mut settings),
                () = tokio::time::sleep(DROPPED_INTERVAL) => self.count_dropped(&mut dropped),
            }
        }
    }

    /// Says how many lines of the log were dropped since it was last said.
    fn count_dropped(&self, known: &mut usize) {
        let all = self.log.dropped.dropped_lines();
        if all > *known {
            tracing::warn!(lines = all - *known, "lines of the log were dropped");
            metrics::counter!("rattanturn_log_lines_dropped_total").absolute(all as u64);
            *known = all;
        }
    }

    /// Takes in changed settings; settings that do not pass the check change nothing.
    fn reload(&self, settings: &mut Settings) {
        let fresh = match read_settings(&self.path) {
            Ok(fresh) => fresh,
            Err(error) => {
                tracing::error!(%error, "changed settings refused; the old ones stay");
                return;
            }
        };
        if let Err(error) = self.log.level.reload(EnvFilter::new(&fresh.log_level)) {
            tracing::error!(%error, "the log level stays");
        }
        settings.log_level.clone_from(&fresh.log_level);
        let restart = fresh != *settings;
        tracing::info!(level = %fresh.log_level, restart_needed = restart, "settings read again");
    }
}

async fn stopped(
    stop: impl Future<Output = String>,
    terminate: &mut Signal,
    interrupt: &mut Signal,
) -> eyre::Result<()> {
    tokio::select! {
        left = stop => {
            tracing::info!(%left, "graceful shutdown ended");
            Ok(())
        }
        () = asked_to_stop(terminate, interrupt) => {
            bail!("ended by a second signal before the graceful shutdown was complete")
        }
    }
}

async fn asked_to_stop(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
