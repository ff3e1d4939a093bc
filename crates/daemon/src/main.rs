//! `rattanturnd`: runs one daemon until it is told to stop.

use {
    eyre::{Context, bail},
    rattanturn_daemon::{Daemon, Tier},
    rattanturn_tables::{LogFormat, Settings},
    std::{
        io::IsTerminal,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::signal::unix::{Signal, SignalKind, signal},
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

fn start_log(settings: &Settings) -> LogLevel {
    let (filter, handle) = reload::Layer::new(EnvFilter::new(&settings.log_level));
    let lines = fmt::layer()
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(std::io::stdout);
    let log = tracing_subscriber::registry().with(filter);
    match settings.log_format {
        LogFormat::Text => log.with(lines).init(),
        LogFormat::Json => log.with(lines.json()).init(),
    }
    handle
}

/// What outlives a change of settings.
struct Process {
    path: PathBuf,
    log: LogLevel,
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
        loop {
            tokio::select! {
                () = asked_to_stop(terminate, interrupt) => return,
                _ = hangup.recv() => self.reload(&mut settings),
            }
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
        if let Err(error) = self.log.reload(EnvFilter::new(&fresh.log_level)) {
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
