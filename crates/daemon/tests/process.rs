//! The program as a process: settings, signals and exit codes.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::Duration,
};

/// Longest wait for a line of the log.
const LINE_LIMIT: Duration = Duration::from_secs(20);

const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 3s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n[log]\nformat = json\nlevel = info\n";

struct Daemon {
    child: Child,
    lines: mpsc::Receiver<String>,
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

    /// Waits for a line that holds `text`.
    fn line(&self, text: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LINE_LIMIT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It has ended already if the test passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

#[test]
fn changed_settings_are_read_again_and_faulty_ones_refused() {
    let daemon = Daemon::spawn("reload");
    daemon.line("\"serving\"");
    fs::write(&daemon.settings, SETTINGS.replace("= info", "= debug")).unwrap();
    daemon.signal("-HUP");
    let line = daemon.line("settings read again");
    assert!(line.contains("\"level\":\"debug\"") && line.contains("\"restart_needed\":false"));
    fs::write(&daemon.settings, "[daemon]\nname =\n").unwrap();
    daemon.signal("-HUP");
    daemon.line("the old ones stay");
}

#[test]
fn a_planned_stop_ends_with_code_0() {
    let mut daemon = Daemon::spawn("stop");
    daemon.line("\"serving\"");
    daemon.signal("-TERM");
    daemon.line("graceful shutdown ended");
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
}
