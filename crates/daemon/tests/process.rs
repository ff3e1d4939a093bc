//! Tests of the daemon's program as a process: reload of settings, signals and exit codes.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

/// Longest wait for the next line of the log.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of a daemon on free ports whose platform does not answer.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 3s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n[log]\nformat = json\nlevel = info\n";

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
        let settings = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        fs::write(&settings, SETTINGS).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rattanturnd"))
            .arg(&settings)
            .stdout(Stdio::piped())
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
