//! `rattanturnd`: runs one daemon as a process, from a settings file until a signal stops it.
//!
//! The process writes its log, with its panics, to stdout and errors at start to stderr. Neither can end
//! it or hold it up, closed or open without a reader: the log drops lines that nothing reads, and
//! what cannot be written to stderr within a second is given up.
//!
//! SIGTERM comes from a supervisor, which may repeat it and kills the process once the drain limit has
//! passed: during a stop it changes nothing, whichever signal began the stop. SIGINT comes from
//! somebody at a terminal, who sees a stop in progress and wants it to end: during a stop it makes
//! the final answers to all open requests due at once, also if SIGTERM began the stop. No signal
//! closes a connection that is owed an answer; only SIGKILL does that. The price is that a process
//! that cannot end its stop needs SIGKILL. SIGHUP reads the settings again during a stop as well, so
//! that a stop can be observed with another log level. A thread of its own reads them, because a file
//! system may block for as long as it likes and signals must be seen meanwhile.

use {
    eyre::{Context, bail, eyre},
    rattanturn_core::{Time, shutdown::StopSchedule},
    rattanturn_daemon::{
        Daemon, StopHandle, Tier,
        stderr::{self, DetachedWork},
    },
    rattanturn_tables::{Findings, LogFormat, Settings},
    std::{
        future::pending,
        io::{self, IsTerminal},
        mem,
        path::{Path, PathBuf},
        pin::pin,
        process::ExitCode,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{Signal, SignalKind, signal},
        sync::oneshot,
    },
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{
        EnvFilter, Registry, filter::Directive, layer::SubscriberExt, reload,
        util::SubscriberInitExt,
    },
};

mod flags {
    #![allow(missing_docs)] // the macro's help texts document its items

    use std::path::PathBuf;

    xflags::xflags! {
    /// Runs one rattanturn daemon. SIGTERM or SIGINT stops it gracefully, within its drain-limit.
    /// SIGTERM during a stop changes nothing; SIGINT during a stop hurries it, so that open requests
    /// get their final answers at once. SIGHUP reads the settings again: a new log level takes effect
    /// at once, other changes only after a restart.
    ///
    /// Exit codes: 0 stopped gracefully, 1 could not start or stopped because its control thread had
    /// ended, 2 bad settings.
    cmd rattanturnd {
        /// Settings file of this daemon, in INI format.
        required settings: PathBuf
        /// Only check the settings, and exit.
        optional --check
    }
    }
}

fn main() -> ExitCode {
    stderr::log_panics();
    // Handlers need the runtime. Until they are installed, a signal kills the process.
    actix_rt::System::new().block_on(async {
        match Signals::install() {
            Ok(signals) => start(signals).await,
            Err(error) => {
                stderr::report(&format!(
                    "rattanturnd: cannot install signal handlers: {error}"
                ));
                ExitCode::FAILURE
            }
        }
    })
}

/// Reads the settings and runs the daemon. A stop that is asked for while the settings are read ends
/// the process, which has taken no request yet.
async fn start(mut signals: Signals) -> ExitCode {
    let flags = flags::Rattanturnd::from_env_or_exit();
    let read = tokio::select! {
        read = read_settings_aside(flags.settings.clone()) => read.wrap_err(UNREAD).flatten(),
        signal = signals.stop() => {
            let name = signal.as_str();
            stderr::report(&format!("rattanturnd: {name} while the settings were read"));
            return ExitCode::SUCCESS;
        }
    };
    let (settings, warnings) = match read {
        Ok(read) => read,
        Err(error) => {
            stderr::report(&format!("{error:#}"));
            return ExitCode::from(2);
        }
    };
    if !warnings.list.is_empty() {
        stderr::report(&format!("{warnings}"));
    }
    if flags.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = start_log(&settings);
    let mut process = Process {
        file: SettingsFile {
            path: flags.settings,
            current: settings,
            reading: None,
            again: false,
        },
        log,
        exit_by: None,
    };
    let ran = process.run(&mut signals).await;
    process.finish(ran)
}

/// Signals that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Terminate,
    Interrupt,
    Hangup,
}

impl Asked {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        }
    }
}

/// The handlers of the signals.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers, that of SIGTERM first.
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal. Signals of one kind that come before the last one was taken count once.
    async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Terminate,
            _ = self.interrupt.recv() => Asked::Interrupt,
            _ = self.hangup.recv() => Asked::Hangup,
        }
    }

    /// Waits for SIGTERM or SIGINT; SIGHUP is kept for later.
    async fn stop(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Terminate,
            _ = self.interrupt.recv() => Asked::Interrupt,
        }
    }
}

/// Settings as read from their file, with the warnings about them.
type Read = eyre::Result<(Settings, Findings)>;

/// Error if the thread that reads the settings sends nothing.
const UNREAD: &str = "the settings could not be read";

/// Reads the settings on a thread of its own, so that signals are handled meanwhile.
///
/// The thread does not hold up the end of the process, as a blocking task of the runtime would.
fn read_settings_aside(path: PathBuf) -> oneshot::Receiver<Read> {
    let (send, receive) = oneshot::channel();
    // Sending fails only if the process ends.
    let read = move || drop(send.send(read_settings(&path)));
    if let Err(error) = std::thread::Builder::new().spawn(read) {
        tracing::error!(%error, "cannot start a thread that reads the settings");
    }
    receive
}

fn read_settings(path: &Path) -> Read {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {name}"))?;
    match Settings::parse(&name, &text) {
        Ok(read) => Ok(read),
        Err(findings) => bail!("{findings}"),
    }
}

/// The settings file, which is read again while the process runs.
struct SettingsFile {
    path: PathBuf,
    /// The settings in use.
    current: Settings,
    /// Receives the settings that are being read again.
    reading: Option<oneshot::Receiver<Read>>,
    /// Whether the file may have changed since reading began, so that it is read once more.
    again: bool,
}

impl SettingsFile {
    /// Begins to read the file again. One thread reads at a time, however often this is asked for and
    /// however long a read blocks.
    fn read_again(&mut self) {
        if self.reading.is_some() {
            self.again = true;
            return;
        }
        self.reading = Some(read_settings_aside(self.path.clone()));
    }

    /// Waits for the settings that are being read again, without end if none are. Nothing is lost if
    /// the wait is given up.
    async fn next(&mut self) -> Read {
        let Some(reading) = &mut self.reading else {
            return pending().await;
        };
        let read = reading.await.wrap_err(UNREAD).flatten();
        self.reading = None;
        if mem::take(&mut self.again) {
            self.read_again();
        }
        read
    }
}

/// Handle that replaces the filter of the log while the process runs.
type FilterHandle = reload::Handle<EnvFilter, Registry>;

/// Maximum number of log lines that wait to be written; further lines are dropped and counted.
const LOG_BUFFER_LINES: usize = 4_096;
/// Interval of the check for dropped log lines.
const DROP_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time for which the process writes its log and its error after the daemon has ended.
const MAX_FLUSH_TIME: Duration = Duration::from_secs(1);

/// A log that never blocks the daemon: if nothing reads its output, lines are dropped.
struct Log {
    filter: FilterHandle,
    /// Counts the dropped lines.
    dropped: ErrorCounter,
    /// Writes the waiting lines when it is dropped, which may block without end if nothing reads them.
    writer: WorkerGuard,
}

/// The filter of a log level. Invalid parts are reported and left out, which `EnvFilter::new` does as
/// well, but with a write to stderr that blocks if nothing reads it.
fn log_filter(level: &str) -> EnvFilter {
    let is_valid = |part: &&str| part.is_empty() || part.parse::<Directive>().is_ok();
    let (valid, invalid): (Vec<_>, Vec<_>) = level.split(',').partition(is_valid);
    if !invalid.is_empty() {
        let invalid = invalid.join(",");
        stderr::report(&format!("log level: ignoring the invalid part {invalid:?}"));
    }
    EnvFilter::new(valid.join(","))
}

/// Installs the process's log, which writes to stdout.
fn start_log(settings: &Settings) -> Log {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let (filter, handle) = reload::Layer::new(log_filter(&settings.log_level));
    let lines = tracing_subscriber::fmt::layer()
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
        writer: guard,
    }
}

/// What lasts as long as the process.
struct Process {
    file: SettingsFile,
    log: Log,
    /// When it exits at the latest, once it was asked to stop.
    exit_by: Option<Instant>,
}

impl Process {
    /// Runs a daemon until it has stopped; fails if it cannot start, or stops unasked.
    async fn run(&mut self, signals: &mut Signals) -> eyre::Result<()> {
        let settings = self.file.current.clone();
        let Some(tier) = settings.tier else {
            let daemon = Daemon::spawn(settings)?;
            let at = daemon.addresses();
            tracing::info!(callers = %at.http, operators = %at.admin, gossip = %at.gossip, "serving");
            let asked = self.serve(signals, daemon.control_ended()).await;
            self.note_stop();
            let handle = daemon.stop_handle();
            self.await_stop(daemon.stop(), &handle, signals).await;
            return asked;
        };
        let daemon = Tier::spawn(settings, tier)?;
        let at = daemon.addresses();
        tracing::info!(
            callers = %at.front, directory = %at.directory, operators = %at.admin,
            peers = %at.rpc, ready = %at.ready,
            config_limit = ?tier.config_limit, evacuation_limit = ?tier.evacuation_limit,
            "serving"
        );
        let asked = self.serve(signals, daemon.control_ended()).await;
        self.note_stop();
        let handle = daemon.stop_handle();
        self.await_stop(daemon.stop(), &handle, signals).await;
        asked
    }

    /// Notes that the stop begins now.
    fn note_stop(&mut self) {
        let schedule = StopSchedule::new(Time::ZERO, self.file.current.drain_limit);
        self.exit_by = Some(Instant::now() + schedule.exit_by().since(Time::ZERO));
    }

    /// Writes the rest of the log and the error as far as the time allows it; returns the exit code.
    fn finish(self, ran: eyre::Result<()>) -> ExitCode {
        let latest = Instant::now() + MAX_FLUSH_TIME;
        let until = self.exit_by.map_or(latest, |at| at.min(latest));
        let writer = self.log.writer;
        let log = DetachedWork::spawn(move || drop(writer));
        let code = match ran {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                stderr::write_line(&format!("rattanturnd: {error:#}")).wait_until(until);
                ExitCode::FAILURE
            }
        };
        log.wait_until(until);
        code
    }

    /// Handles SIGHUP and reports dropped log lines until a signal asks the daemon to stop. Fails if
    /// control ends before, when the daemon must stop as well: its supervisor starts it again, with a
    /// control that follows the store and the peers.
    async fn serve(
        &mut self,
        signals: &mut Signals,
        control_ended: impl Future<Output = ()>,
    ) -> eyre::Result<()> {
        let mut control_ended = pin!(control_ended);
        let mut dropped = 0;
        loop {
            tokio::select! {
                signal = signals.next() => match signal {
                    Asked::Hangup => self.file.read_again(),
                    Asked::Terminate | Asked::Interrupt => {
                        tracing::info!(signal = signal.as_str(), "asked to stop");
                        return Ok(());
                    }
                },
                () = &mut control_ended => {
                    tracing::error!("control has ended unasked; the daemon stops");
                    return Err(eyre!("control had ended unasked"));
                }
                read = self.file.next() => self.apply(read),
                () = tokio::time::sleep(DROP_CHECK_INTERVAL) => self.report_dropped(&mut dropped),
            }
        }
    }

    /// Waits for the end of a graceful stop and handles the signals that come meanwhile.
    async fn await_stop(
        &mut self,
        stop: impl Future<Output = String>,
        handle: &StopHandle,
        signals: &mut Signals,
    ) {
        let mut stop = pin!(stop);
        loop {
            let signal = tokio::select! {
                biased;
                left = &mut stop => {
                    tracing::info!(%left, "graceful shutdown ended");
                    return;
                }
                signal = signals.next() => signal,
                read = self.file.next() => {
                    self.apply(read);
                    continue;
                }
            };
            let name = signal.as_str();
            match signal {
                Asked::Terminate => {
                    tracing::info!(signal = name, "asked to stop again; the stop goes on");
                }
                Asked::Interrupt => {
                    tracing::info!(signal = name, "asked to end the stop soon");
                    handle.hurry();
                }
                Asked::Hangup => self.file.read_again(),
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

    /// Applies the log level of settings that were read again.
    ///
    /// Other changes need a restart, which the log then says. Invalid settings are logged and
    /// change nothing.
    fn apply(&mut self, read: Read) {
        let (fresh, warnings) = match read {
            Ok(read) => read,
            Err(error) => {
                tracing::error!(%error, "cannot use the changed settings; the old ones stay in use");
                return;
            }
        };
        for warning in warnings.list {
            tracing::warn!(%warning, "the changed settings have a warning");
        }
        // `EnvFilter::new` writes to stderr about an invalid level, and panics if nothing reads it.
        let changed = EnvFilter::try_new(&fresh.log_level)
            .wrap_err("log level")
            .and_then(|filter| Ok(self.log.filter.reload(filter)?));
        if let Err(error) = changed {
            tracing::error!(error = %format_args!("{error:#}"), "cannot change the log level");
        }
        let current = &mut self.file.current;
        current.log_level.clone_from(&fresh.log_level);
        let restart = fresh != *current;
        tracing::info!(level = %fresh.log_level, restart_needed = restart, "settings read again");
    }
}
