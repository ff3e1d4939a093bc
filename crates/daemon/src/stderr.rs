//! Errors of the process that do not wait for a reader of its stderr.
//!
//! A pipe as stderr that is open and not read blocks whoever writes to it once it is full. The default
//! panic hook writes there, also for a panic that is caught, and would stop a traffic thread for good.

use {
    std::{
        backtrace::{Backtrace, BacktraceStatus},
        io::{self, Write},
        panic::{self, PanicHookInfo},
        sync::mpsc::{self, Receiver},
        thread,
        time::{Duration, Instant},
    },
    tracing::dispatcher,
};

/// Longest time that [`report`] takes.
const MAX_WRITE_TIME: Duration = Duration::from_secs(1);
/// Longest message and backtrace of a panic in the log, in bytes: the log keeps thousands of lines in
/// memory if nothing reads it.
const MAX_MESSAGE: usize = 4 << 10;
const MAX_BACKTRACE: usize = 16 << 10;

/// Work that may block for ever, done by a thread of its own.
///
/// ```
/// use {rattanturn_daemon::stderr::DetachedWork, std::time::{Duration, Instant}};
/// let work = DetachedWork::spawn(|| std::thread::sleep(Duration::from_secs(60)));
/// let began = Instant::now();
/// work.wait_until(began + Duration::from_millis(10));
/// assert!(began.elapsed() < Duration::from_secs(60));
/// ```
pub struct DetachedWork(Receiver<()>);

impl DetachedWork {
    /// Starts the work; it is not done if no thread can be started.
    pub fn spawn(work: impl FnOnce() + Send + 'static) -> Self {
        let (done, wait) = mpsc::channel();
        let run = move || {
            work();
            drop(done);
        };
        // An error drops the sender, so that nothing waits.
        let _ = thread::Builder::new().spawn(run);
        Self(wait)
    }

    /// Waits until the work is done, but not longer than until a time.
    pub fn wait_until(&self, time: Instant) {
        // An error means that the work is done or the time is up; nothing is ever sent.
        let _ = self
            .0
            .recv_timeout(time.saturating_duration_since(Instant::now()));
    }
}

/// Begins to write a line to stderr.
///
/// ```
/// use {rattanturn_daemon::stderr, std::time::{Duration, Instant}};
/// let written = stderr::write_line("rattanturnd: cannot bind TCP 127.0.0.1:80");
/// written.wait_until(Instant::now() + Duration::from_secs(1));
/// ```
#[must_use = "the process may end before the line is written"]
pub fn write_line(line: &str) -> DetachedWork {
    let line = format!("{line}\n");
    DetachedWork::spawn(move || {
        // An error means that nothing reads stderr, which is no reason to panic.
        let _ = io::stderr().write_all(line.as_bytes());
    })
}

/// Writes a line to stderr, for what is not in the log. It is given up after a second.
///
/// ```
/// rattanturn_daemon::stderr::report("rattanturnd: cannot read settings.ini");
/// ```
pub fn report(line: &str) {
    write_line(line).wait_until(Instant::now() + MAX_WRITE_TIME);
}

/// Sets a panic hook that writes panics to the log, which does not block, instead of stderr. Before
/// the log has started, they are [`report`]ed.
///
/// As with the default hook, `RUST_BACKTRACE` adds backtraces.
///
/// ```
/// rattanturn_daemon::stderr::log_panics();
/// assert!(std::panic::catch_unwind(|| panic!("caught")).is_err());
/// ```
pub fn log_panics() {
    panic::set_hook(Box::new(report_panic));
}

fn report_panic(panic: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let thread = thread.name().unwrap_or("unnamed");
    let message = panic.payload_as_str().unwrap_or("a value that is no text");
    let message = shorten(message, MAX_MESSAGE);
    let location = panic.location().map(ToString::to_string);
    let location = location.as_deref().unwrap_or("unknown");
    let backtrace = Backtrace::capture();
    let backtrace =
        (backtrace.status() == BacktraceStatus::Captured).then(|| backtrace.to_string());
    let backtrace = backtrace.as_deref().map(|b| shorten(b, MAX_BACKTRACE));
    if dispatcher::has_been_set() {
        tracing::error!(
            thread,
            location,
            panic = message,
            backtrace,
            "a thread panicked"
        );
        return;
    }
    let backtrace = backtrace.unwrap_or("");
    let line = format!("thread '{thread}' panicked at {location}: {message}\n{backtrace}");
    report(line.trim_end());
}

fn shorten(text: &str, max: usize) -> &str {
    &text[..text.floor_char_boundary(max)]
}
