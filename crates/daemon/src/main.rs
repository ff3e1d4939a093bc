//! `rattanturnd`: runs one daemon until it is told to stop.

use {
    eyre::{Context, bail},
    rattanturn_daemon::{Daemon, Tier},
    rattanturn_tables::{LogFormat, Settings},
    std::{io::IsTerminal, path::Path, process::ExitCode},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

mod flags {
    #![allow(missing_docs)] // the macro's items are documented by its own texts

    use std::path::PathBuf;

    xflags::xflags! {
    /// Runs one rattanturn daemon. SIGTERM or SIGINT stops it gracefully; a second one ends it.
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
    start_log(&settings);
    match actix_rt::System::new().block_on(run(settings)) {
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

fn start_log(settings: &Settings) {
    let filter = tracing_subscriber::EnvFilter::new(&settings.log_level);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stdout().is_terminal())
        .with_writer(std::io::stdout);
    match settings.log_format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}

async fn run(settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    if let Some(tier) = settings.tier {
        let tier = Tier::spawn(settings, tier)?;
        tracing::info!(callers = %tier.front(), "serving");
        asked_to_stop(&mut terminate, &mut interrupt).await;
        let left = tier.stop().await;
        tracing::info!(%left, "graceful shutdown ended");
        return Ok(());
    }
    let daemon = Daemon::spawn(settings)?;
    let at = daemon.addresses();
    tracing::info!(callers = %at.http, operators = %at.admin, gossip = %at.gossip, "serving");
    asked_to_stop(&mut terminate, &mut interrupt).await;
    tokio::select! {
        left = daemon.stop() => {
            tracing::info!(%left, "graceful shutdown ended");
            Ok(())
        }
        () = asked_to_stop(&mut terminate, &mut interrupt) => {
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
