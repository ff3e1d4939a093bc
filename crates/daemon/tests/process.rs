//! Tests of the daemon's program as a process: reload of settings, signals and exit codes.

use std::{
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    ops::RangeInclusive,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::{Duration, Instant},
};

/// Longest wait for the next line of the log.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a daemon on free ports whose platform does not answer.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 3s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n[log]\nformat = json\nlevel = info\n";

/// `drain-limit` in [`SETTINGS`].
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// More lines than the log's buffer of 4,096 lines and a pipe of 64 KiB hold.
const LINES_IN_FULL_LOG: usize = 6_000;
/// Settings of a daemon with the project's own interface.
const OWN_INTERFACE: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\nhttp-port = 0\ndrain-limit = 3s\n\
    [platform]\naddress = 127.0.0.1:9\n[log]\nformat = json\nlevel = info\n";
/// Time within which a process must be gone whose stop is hurried and that has no open requests.
/// It is far below the limit in [`unhurried`], and generous for a busy machine.
const HURRY_TIME: Duration = Duration::from_secs(10);

/// Limits of open descriptors at which the start panics, before or after the log has started, or fails.
const TOO_FEW_DESCRIPTORS: RangeInclusive<u32> = 6..=18;

/// Callers that connect at once, and the time in which they must succeed.
const CALLERS_AT_ONCE: usize = 600;
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Settings with a limit of which a stop that is not hurried uses two thirds: 40 s.
fn unhurried(settings: &str) -> String {
    settings.replace("drain-limit = 3s", "drain-limit = 60s")
}

/// A daemon's process, which is killed when the test ends.
struct Daemon {
    child: Child,
    /// Lines of its log.
    lines: mpsc::Receiver<String>,
    /// Path of its settings file.
    settings: PathBuf,
}

impl Daemon {
    fn spawn(name: &str) -> Self {
        Self::spawn_with(name, SETTINGS)
    }

    fn spawn_with(name: &str, text: &str) -> Self {
        let settings = settings_path(name);
        fs::write(&settings, text).unwrap();
        Self::spawn_from(settings)
    }

    /// Starts a daemon whose stderr is the given pipe.
    fn spawn_writing(name: &str, text: &str, stderr: io::PipeWriter) -> Self {
        let settings = settings_path(name);
        fs::write(&settings, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_rattanturnd"));
        command.arg(&settings);
        Self::spawn_command(command, settings, stderr.into())
    }

    fn spawn_from(settings: PathBuf) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rattanturnd"));
        command.arg(&settings);
        Self::spawn_command(command, settings, Stdio::piped())
    }

    fn spawn_command(mut command: Command, settings: PathBuf, stderr: Stdio) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let (send, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if send.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines,
            settings,
        }
    }

    /// Waits for a line of the log that contains `text`, dropping the lines before it.
    fn wait_for_line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LINE_TIMEOUT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}

/// Path of a settings file of this test process.
fn settings_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()))
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn sighup_applies_valid_settings_and_rejects_invalid_ones() {
    let daemon = Daemon::spawn("reload");
    daemon.wait_for_line("\"serving\"");
    fs::write(&daemon.settings, SETTINGS.replace("= info", "= debug")).unwrap();
    daemon.send_signal("-HUP");
    let line = daemon.wait_for_line("settings read again");
    assert!(line.contains("\"level\":\"debug\"") && line.contains("\"restart_needed\":false"));
    fs::write(&daemon.settings, "[daemon]\nname =\n").unwrap();
    daemon.send_signal("-HUP");
    daemon.wait_for_line("the old ones stay");
}

#[test]
fn sigterm_leads_to_a_graceful_shutdown_with_exit_code_0() {
    let mut daemon = Daemon::spawn("stop");
    daemon.wait_for_line("\"serving\"");
    daemon.send_signal("-TERM");
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
}

/// Guards against callers that cannot connect for a second because many come while the daemon is busy.
#[test]
fn many_callers_can_connect_while_the_daemon_does_not_run() {
    let daemon = Daemon::spawn("connects");
    let line = daemon.wait_for_line("\"serving\"");
    let (_, front) = line.split_once("\"callers\":\"").unwrap();
    let front: SocketAddr = front.split('"').next().unwrap().parse().unwrap();
    daemon.send_signal("-STOP");
    let mut callers = Vec::new();
    while callers.len() < CALLERS_AT_ONCE {
        match TcpStream::connect_timeout(&front, CONNECT_TIME) {
            Ok(caller) => callers.push(caller),
            Err(error) => panic!("{} callers connected, then: {error}", callers.len()),
        }
    }
    daemon.send_signal("-CONT");
}

/// Supervisors repeat SIGTERM. Guards against a repeated one that ends the process and cuts what is
/// open.
#[test]
fn a_repeated_sigterm_does_not_end_the_stop_early() {
    let mut daemon = Daemon::spawn("repeated");
    daemon.wait_for_line("\"serving\"");
    let began = Instant::now();
    daemon.send_signal("-TERM");
    daemon.wait_for_line("no longer advertised");
    for _ in 0..2 {
        daemon.send_signal("-TERM");
        daemon.wait_for_line("the stop goes on");
    }
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
    assert!(began.elapsed() >= DRAIN_LIMIT / 2, "{:?}", began.elapsed());
}

#[test]
fn a_second_sigint_ends_the_stop_soon_with_exit_code_0() {
    let mut daemon = Daemon::spawn_with("interrupt", &unhurried(SETTINGS));
    daemon.wait_for_line("\"serving\"");
    daemon.send_signal("-INT");
    daemon.wait_for_line("no longer advertised");
    let hurried = Instant::now();
    daemon.send_signal("-INT");
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
    assert!(hurried.elapsed() < HURRY_TIME, "{:?}", hurried.elapsed());
}

#[test]
fn sigint_hurries_a_stop_that_sigterm_began() {
    let mut daemon = Daemon::spawn_with("hurry", &unhurried(SETTINGS));
    daemon.wait_for_line("\"serving\"");
    daemon.send_signal("-TERM");
    daemon.wait_for_line("no longer advertised");
    let hurried = Instant::now();
    daemon.send_signal("-INT");
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
    assert!(hurried.elapsed() < HURRY_TIME, "{:?}", hurried.elapsed());
}

#[test]
fn sigterm_does_not_hurry_a_stop_that_sigint_began() {
    let mut daemon = Daemon::spawn("int-term");
    daemon.wait_for_line("\"serving\"");
    let began = Instant::now();
    daemon.send_signal("-INT");
    daemon.wait_for_line("no longer advertised");
    daemon.send_signal("-TERM");
    daemon.wait_for_line("the stop goes on");
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
    assert!(began.elapsed() >= DRAIN_LIMIT / 2, "{:?}", began.elapsed());
}

#[test]
fn sighup_with_a_changed_file_during_a_stop_does_not_end_it() {
    let mut daemon = Daemon::spawn("stop-reload");
    daemon.wait_for_line("\"serving\"");
    let began = Instant::now();
    daemon.send_signal("-TERM");
    daemon.wait_for_line("no longer advertised");
    fs::write(&daemon.settings, SETTINGS.replace("= info", "= debug")).unwrap();
    daemon.send_signal("-HUP");
    let line = daemon.wait_for_line("settings read again");
    assert!(line.contains("\"level\":\"debug\""));
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
    assert!(began.elapsed() >= DRAIN_LIMIT / 2, "{:?}", began.elapsed());
}

/// The settings come from a pipe, so that the process reads them for as long as the test likes.
/// Guards against a signal that kills a process which has not installed its handlers yet.
#[test]
fn sigterm_while_the_settings_are_read_does_not_kill_the_process() {
    for signal in ["-TERM", "-INT", "-HUP"] {
        let path = settings_path(&format!("pipe{signal}"));
        let made = Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        let mut daemon = Daemon::spawn_from(path.clone());
        // Opening the pipe returns once the process has opened it as well.
        let mut pipe = fs::OpenOptions::new().write(true).open(&path).unwrap();
        // SIGHUP has the settings read again, for which a file takes the pipe's place.
        fs::remove_file(&path).unwrap();
        fs::write(&path, SETTINGS).unwrap();
        daemon.send_signal(signal);
        // Writing fails if the process was killed, which the exit code shows.
        let _ = pipe.write_all(SETTINGS.as_bytes());
        drop(pipe);
        if signal == "-HUP" {
            daemon.wait_for_line("\"serving\"");
            daemon.send_signal("-TERM");
        }
        assert_eq!(daemon.child.wait().unwrap().code(), Some(0), "{signal}");
    }
}

#[test]
fn the_own_interface_takes_the_same_signals() {
    let mut daemon = Daemon::spawn_with("own", &unhurried(OWN_INTERFACE));
    daemon.wait_for_line("\"serving\"");
    daemon.send_signal("-TERM");
    daemon.wait_for_line("no longer advertised");
    daemon.send_signal("-TERM");
    daemon.wait_for_line("the stop goes on");
    daemon.send_signal("-INT");
    daemon.wait_for_line("draining");
    daemon.wait_for_line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
}

/// Guards against a SIGTERM that is not seen while the settings are read again: the supervisor kills the
/// process at the drain limit, with what is open.
#[test]
fn sigterm_while_the_settings_are_read_again_is_not_held_up() {
    let mut daemon = Daemon::spawn("reload-pipe");
    daemon.wait_for_line("\"serving\"");
    fs::remove_file(&daemon.settings).unwrap();
    let made = Command::new("mkfifo")
        .arg(&daemon.settings)
        .status()
        .unwrap();
    assert!(made.success());
    daemon.send_signal("-HUP");
    std::thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    daemon.send_signal("-TERM");
    while began.elapsed() < DRAIN_LIMIT + Duration::from_secs(2) {
        if let Some(status) = daemon.child.try_wait().unwrap() {
            assert_eq!(status.code(), Some(0));
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the stop had not ended {:?} after SIGTERM", began.elapsed());
}

/// Guards against a process that ends, with all open requests, because nothing reads its stderr any
/// more when settings with a warning are read again.
#[test]
fn a_warning_about_changed_settings_without_a_reader_does_not_end_the_process() {
    let settings = settings_path("reload-stderr");
    fs::write(&settings, SETTINGS).unwrap();
    let mut daemon = Daemon::spawn_from(settings);
    daemon.wait_for_line("\"serving\"");
    drop(daemon.child.stderr.take());
    fs::write(&daemon.settings, format!("{SETTINGS}[odd]\nkey = 1\n")).unwrap();
    daemon.send_signal("-HUP");
    std::thread::sleep(Duration::from_secs(1));
    let ended = daemon.child.try_wait().unwrap();
    assert_eq!(ended, None, "SIGHUP ended the process");
}

/// Guards against a process that never ends because nothing reads its log any more: what is written at
/// its end waits for the thread that is stuck in writing the log.
#[test]
fn a_full_log_that_nothing_reads_does_not_hold_up_the_exit() {
    let settings = settings_path("unread-log");
    fs::write(&settings, SETTINGS.replace("limit = 3s", "limit = 6s")).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_rattanturnd"))
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let (_, lines) = mpsc::channel();
    let mut daemon = Daemon {
        child: child.unwrap(),
        lines,
        settings,
    };
    // It stays open and is not read any more.
    let mut log = BufReader::new(daemon.child.stdout.take().unwrap());
    let mut line = String::new();
    while !line.contains("\"serving\"") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "no line of a start");
    }
    let serving: serde_json::Value = serde_json::from_str(&line).unwrap();
    let front = serving["fields"]["callers"].as_str().unwrap();
    send_refused(front.parse().unwrap(), LINES_IN_FULL_LOG);
    let began = Instant::now();
    daemon.send_signal("-TERM");
    let status = loop {
        if let Some(status) = daemon.child.try_wait().unwrap() {
            break status;
        }
        assert!(began.elapsed() < 2 * DRAIN_LIMIT, "still runs");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(status.code(), Some(0));
}

/// Sends requests to a daemon without a configuration, which refuses each with a line of its log.
fn send_refused(front: SocketAddr, count: usize) {
    let mut stream = TcpStream::connect(front).unwrap();
    let mut answers = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        answers.read_to_string(&mut text).unwrap();
        text.matches("HTTP/1.1 503").count()
    });
    for _ in 1..count {
        stream
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
    }
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    assert_eq!(reader.join().unwrap(), count);
}

/// A pipe that is full; nothing reads its first end.
fn full_pipe() -> (io::PipeReader, io::PipeWriter) {
    let (reader, mut writer) = io::pipe().unwrap();
    let size = rustix::pipe::fcntl_getpipe_size(&writer).unwrap();
    writer.write_all(&vec![b'x'; size]).unwrap();
    (reader, writer)
}

/// Waits until a time for the exit code of a process; `None` if it still runs then.
fn exit_code(child: &mut Child, until: Instant) -> Option<i32> {
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        if Instant::now() > until {
            return None;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a process that never exits because nothing reads its stderr.
#[test]
fn an_error_at_start_with_a_full_stderr_does_not_hold_up_the_exit() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let front = format!("front = {}", taken.local_addr().unwrap());
    let settings = SETTINGS.replace("front = 127.0.0.1:0", &front);
    let (_unread, stderr) = full_pipe();
    let mut daemon = Daemon::spawn_writing("taken", &settings, stderr);
    let until = Instant::now() + LINE_TIMEOUT;
    assert_eq!(exit_code(&mut daemon.child, until), Some(1));
}

/// Guards against a daemon that never starts because nothing reads its stderr.
#[test]
fn a_warning_at_start_with_a_full_stderr_does_not_hold_up_the_start() {
    let (_unread, stderr) = full_pipe();
    let settings = format!("{SETTINGS}[odd]\nkey = 1\n");
    let daemon = Daemon::spawn_writing("odd", &settings, stderr);
    daemon.wait_for_line("\"serving\"");
}

/// Guards against a panic that blocks its thread, and is not in the log, because nothing reads stderr.
#[test]
fn panics_with_a_full_stderr_are_logged_and_end_the_process() {
    let start = |limit| {
        let (unread, stderr) = full_pipe();
        let path = settings_path(&format!("few-{limit}"));
        fs::write(&path, SETTINGS).unwrap();
        let mut command = Command::new("sh");
        let limited = format!("ulimit -n {limit}; exec \"$0\" \"$1\"");
        command.args(["-c", &limited, env!("CARGO_BIN_EXE_rattanturnd")]);
        command.arg(&path);
        (Daemon::spawn_command(command, path, stderr.into()), unread)
    };
    let mut daemons: Vec<_> = TOO_FEW_DESCRIPTORS.map(start).collect();
    let until = Instant::now() + LINE_TIMEOUT;
    let codes: Vec<_> = daemons
        .iter_mut()
        .map(|d| exit_code(&mut d.0.child, until))
        .collect();
    assert!(codes.iter().all(Option::is_some), "still run: {codes:?}");
    let lines = daemons.iter().flat_map(|d| d.0.lines.iter());
    let panics: Vec<_> = lines.filter(|l| l.contains("a thread panicked")).collect();
    assert!(!panics.is_empty(), "no panic is logged: {codes:?}");
    for line in panics {
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        let fields = &line["fields"];
        assert_eq!(line["level"], "ERROR");
        assert_eq!(fields["thread"], "main");
        let at = |key: &str| fields[key].as_str().unwrap().to_owned();
        assert!(at("panic").contains("Too many open files"), "{line}");
        assert!(at("location").contains(".rs:"), "{line}");
    }
}

/// Guards against a daemon that never starts, or ends, because nothing reads that its log level is invalid.
#[test]
fn an_invalid_log_level_without_a_reader_of_stderr_does_not_hold_up_the_start() {
    let settings = SETTINGS.replace("level = info", "level = info,d0=loud");
    let (unread, stderr) = full_pipe();
    let full = Daemon::spawn_writing("level-full", &settings, stderr);
    full.wait_for_line("\"serving\"");
    drop(unread);
    let (reader, stderr) = io::pipe().unwrap();
    drop(reader);
    let closed = Daemon::spawn_writing("level-closed", &settings, stderr);
    closed.wait_for_line("\"serving\"");
}
