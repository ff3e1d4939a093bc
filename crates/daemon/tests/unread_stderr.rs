//! Panics of a daemon whose stderr is a full pipe that nothing reads.
//!
//! Each test starts this program again as the daemon's process. The panics come from the writer of its
//! log, so that the daemon needs no hook for them.

use {
    actix_rt::System,
    rattanturn_daemon::{Tier, stderr},
    rattanturn_tables::Settings,
    std::{
        env,
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        process::{Child, ChildStdout, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Settings of a daemon on free ports whose platform does not answer, so that it refuses each request
/// with a line of its log.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 6s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n";
/// `drain-limit` in [`SETTINGS`].
const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Name of the variable with the text of log lines at which the daemon panics.
const PLANTED: &str = "PLANTED_PANIC";
/// Text of a log line of traffic at the end of the request `panicking`.
const REQUEST_LINE: &str = "request=\"panicking\" reason=";
/// Text of a log line of control soon after the start.
const CONTROL_LINE: &str = "daemon changed state";

/// Writer of log lines that panics at planted lines and writes the others to stdout.
struct PanickingWriter(String);

impl Write for PanickingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(line);
        // After a panic, the next line is written behind the one that it interrupted.
        let planted = text.lines().last().unwrap_or("").contains(&self.0);
        assert!(!planted || thread::panicking(), "a planted panic");
        io::stdout().write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The daemon's process, which stops at the end of its input or of control.
#[test]
#[ignore = "a process that the tests start"]
fn daemon_process() {
    let Ok(planted) = env::var(PLANTED) else {
        return;
    };
    stderr::log_panics();
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || PanickingWriter(planted.clone()))
        .init();
    System::new().block_on(async {
        let (settings, _) = Settings::parse("test", SETTINGS).unwrap();
        let tier = settings.tier.unwrap();
        let daemon = Tier::spawn(settings, tier).unwrap();
        println!("front {}", daemon.addresses().front);
        let (send, asked) = tokio::sync::oneshot::channel::<()>();
        thread::spawn(move || {
            let _ = io::stdin().read_to_end(&mut Vec::new());
            drop(send);
        });
        tokio::select! {
            _ = asked => {}
            () = daemon.control_ended() => {}
        }
        println!("left {}", daemon.stop().await);
    });
}

/// A daemon's process, which is killed when the test ends.
struct Daemon {
    child: Child,
    output: BufReader<ChildStdout>,
    front: SocketAddr,
    /// The other end of its stderr, which stays open.
    _unread: io::PipeReader,
}

impl Daemon {
    /// Starts a daemon that panics at log lines with a text.
    fn spawn(planted: &str) -> Self {
        let (unread, mut stderr) = io::pipe().unwrap();
        let size = rustix::pipe::fcntl_getpipe_size(&stderr).unwrap();
        stderr.write_all(&vec![b'x'; size]).unwrap();
        let mut child = Command::new(env::current_exe().unwrap())
            .args(["--exact", "daemon_process", "--ignored", "--nocapture"])
            .env(PLANTED, planted)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let front = wait_for_line(&mut output, "front ").parse().unwrap();
        Self {
            child,
            output,
            front,
            _unread: unread,
        }
    }

    /// Sends a request and returns the status of its answer; `None` if there is none in time.
    fn request(&self, id: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.front).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let request = format!("GET / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        line.split(' ').nth(1).map(Into::into)
    }

    /// Waits for the end of the process; returns whether it came in time.
    fn ends_within(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.child.try_wait().unwrap().is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads up to a line that contains `text`, and returns what is behind it.
fn wait_for_line(output: &mut BufReader<ChildStdout>, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(output.read_line(&mut line).unwrap() > 0, "no line {text:?}");
        if let Some((_, rest)) = line.split_once(text) {
            return rest.trim_end().into();
        }
    }
}

/// Guards against a traffic thread that waits for a reader of stderr after a caught panic.
#[test]
fn requests_after_a_panic_are_answered_although_nothing_reads_stderr() {
    let mut daemon = Daemon::spawn(REQUEST_LINE);
    let statuses = ["panicking", "other"].map(|id| daemon.request(id));
    let refused = || Some("503".to_owned());
    assert_eq!(statuses, [refused(), refused()]);
    wait_for_line(&mut daemon.output, "a thread panicked");
}

/// Guards against a stop that ends at its limit, or not at all, because traffic waits for a reader of stderr.
#[test]
fn a_stop_after_a_panic_ends_in_time_although_nothing_reads_stderr() {
    let mut daemon = Daemon::spawn(REQUEST_LINE);
    let _ = daemon.request("panicking");
    drop(daemon.child.stdin.take());
    assert!(daemon.ends_within(DRAIN_LIMIT), "still runs");
    let left = wait_for_line(&mut daemon.output, "left ");
    assert_eq!(left, "0 requests left open");
}

/// Guards against a control thread that waits for a reader of stderr, so that its end is not noticed.
#[test]
fn a_panic_in_control_is_noticed_although_nothing_reads_stderr() {
    let mut daemon = Daemon::spawn(CONTROL_LINE);
    assert!(daemon.ends_within(2 * DRAIN_LIMIT), "still runs");
    wait_for_line(&mut daemon.output, "stopping without the control thread");
}
