//! The daemons under test, as child processes that are controlled by signals.
//!
//! Each daemon records the times in which its process could not work, so that the checks can tell
//! a fault that was injected from one of the daemon's own.

use {
    eyre::WrapErr,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// The daemons' `drain-limit`: the time that a graceful shutdown may take. A daemon closes its
/// listeners 2 s before the limit.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// Time after SIGTERM in which a daemon must still serve, a little less than the 4 s until it
/// closes its listeners.
pub(crate) const MIN_SERVING: Duration = Duration::from_millis(3_700);

/// Time that a process needs after it starts or resumes to handle the input that has queued up. An
/// outage lasts until then.
const RESUME_MARGIN: Duration = Duration::from_millis(300);

/// Time without a disturbance after which a daemon counts as connected.
const CONNECTED_AFTER: Duration = Duration::from_secs(5);

const FRONT_PORT: u16 = 8_104;
const READY_PORT: u16 = 8_108;
const DIRECTORY_PORT: u16 = 8_100;
/// Where a daemon listens to other daemons.
const PEER_PORT: u16 = 7_380;
/// Where other daemons reach a daemon by RPC: a proxy, so that their connections can be disturbed.
const PEER_PROXY_PORT: u16 = 7_382;
const ADMIN_PORT: u16 = 7_381;

/// What all daemons of a run have in common.
pub(crate) struct DaemonSetup<'a> {
    pub(crate) program: &'a Path,
    /// Folder for settings and logs.
    pub(crate) folder: &'a Path,
    /// Second and third byte of the daemons' addresses in 127.0.0.0/8. Runs of different processes
    /// use different ones, so that they do not compete for the fixed ports.
    pub(crate) subnet: (u8, u8),
    /// Further lines of the section `tier`.
    pub(crate) settings: &'a str,
}

/// A time in which a process was dead or paused.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

impl Outage {
    fn overlaps(self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|u| u >= from)
    }
}

/// One daemon through all its incarnations.
pub(crate) struct Daemon {
    pub(crate) name: String,
    ip: IpAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of starts so far.
    pub(crate) incarnation: u32,
    started: Option<Instant>,
    /// When SIGTERM was sent to the current process.
    pub(crate) stopping: Option<Instant>,
    pub(crate) paused: bool,
    /// In order of time; only the last one may still last.
    outages: Vec<Outage>,
    /// Times in which the store was faulty or could not be reached well; they may overlap.
    cut_offs: Vec<Outage>,
}

impl Daemon {
    /// Writes the settings of a daemon that is not started yet; `store` is the address at which it
    /// reaches the store.
    pub(crate) fn create(
        setup: &DaemonSetup<'_>,
        number: u8,
        centre: &str,
        store: SocketAddr,
    ) -> eyre::Result<Self> {
        let (a, b) = setup.subnet;
        let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(127, a, b, n + 1));
        let name = format!("d{number}");
        let at = ip(number);
        let text = format!(
            "[daemon]\nname = {name}\ndata-centre = {centre}\nip = {at}\n\
             gossip-port = {PEER_PORT}\nrpc-port = {PEER_PORT}\nadmin-port = {ADMIN_PORT}\n\
             advertised-rpc-port = {PEER_PROXY_PORT}\n\
             peers = {}:{PEER_PORT}, {}:{PEER_PORT}\ndrain-limit = {}s\n\
             [tier]\nfront = {at}:{FRONT_PORT}\nready = {at}:{READY_PORT}\n\
             directory = {at}:{DIRECTORY_PORT}\n\
             cores = 1\nrepeat-ratio = {}\nrepeat-slack = {}\n{}\
             [platform]\naddress = {store}\n[log]\nlevel = info\nformat = json\n",
            ip(0),
            ip(1),
            DRAIN_LIMIT.as_secs(),
            crate::EXTRA_CALL_RATIO,
            crate::EXTRA_CALL_SLACK,
            setup.settings,
        );
        let settings = setup.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)
            .wrap_err_with(|| format!("cannot write settings to {}", settings.display()))?;
        Ok(Self {
            log: setup.folder.join(format!("{name}.log")),
            name,
            ip: at,
            program: setup.program.into(),
            settings,
            child: None,
            incarnation: 0,
            started: None,
            stopping: None,
            paused: false,
            outages: Vec::new(),
            cut_offs: Vec::new(),
        })
    }

    /// Where it accepts requests.
    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Where it answers address look-ups.
    pub(crate) fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// Where it answers RPC calls of other daemons, and where they send them.
    pub(crate) fn peer_link(&self) -> (SocketAddr, SocketAddr) {
        let at = |port| SocketAddr::new(self.ip, port);
        (at(PEER_PORT), at(PEER_PROXY_PORT))
    }

    /// Where it answers readiness checks.
    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Whether it has a process, which may be paused or stopping.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Whether its process is running and neither paused nor stopping. It may still be starting up.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_running() && !self.paused && self.stopping.is_none()
    }

    /// Starts a new process, which appends to the daemon's log.
    pub(crate) fn start(&mut self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start the daemon {}", self.program.display()))?;
        self.child = Some(child);
        self.incarnation += 1;
        self.started = Some(Instant::now());
        self.stopping = None;
        self.paused = false;
        self.end_outage();
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.begin_outage();
        if let Some(mut child) = self.child.take() {
            // The process may just have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal and records what it means for outages; does nothing without a process.
    pub(crate) fn signal(&mut self, signal: Signal) {
        let id = self.child.as_ref().and_then(|c| i32::try_from(c.id()).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return;
        };
        match signal {
            Signal::STOP => {
                self.paused = true;
                self.begin_outage();
            }
            Signal::CONT => {
                self.paused = false;
                self.end_outage();
            }
            Signal::TERM => self.stopping = Some(Instant::now()),
            _ => {}
        }
        // The process may just have exited by itself.
        let _ = kill_process(pid, signal);
    }

    /// Returns the status, once, of a process that has exited other than by [`Daemon::kill`].
    pub(crate) fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.begin_outage();
        Some(status)
    }

    /// Whether an outage overlaps the time between two instants.
    pub(crate) fn had_outage(&self, from: Instant, until: Instant) -> bool {
        self.outages.iter().any(|o| o.overlaps(from, until))
    }

    /// Whether it was connected, by the platform's definition, all the time between two instants:
    /// since 5 s before, its process ran undisturbed and reached a healthy store.
    pub(crate) fn was_connected(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(CONNECTED_AFTER).unwrap_or(from);
        let cut_off = self.cut_offs.iter().any(|c| c.overlaps(from, until));
        !cut_off && !self.had_outage(from, until)
    }

    pub(crate) fn begin_cut_off(&mut self) {
        let from = Instant::now();
        self.cut_offs.push(Outage { from, until: None });
    }

    /// Ends the cut-off that began first. Of several that overlap, only the times of the first begin
    /// and the last end matter.
    pub(crate) fn end_cut_off(&mut self) {
        let mut open = self.cut_offs.iter_mut().filter(|c| c.until.is_none());
        if let Some(first) = open.next() {
            first.until = Some(Instant::now());
        }
    }

    /// End of the last outage that overlaps the time between two instants; now if it lasts.
    pub(crate) fn last_outage(&self, from: Instant, until: Instant) -> Option<Instant> {
        let ends = self.outages.iter().filter(|d| d.from <= until);
        ends.map(|d| d.until.unwrap_or_else(Instant::now))
            .filter(|end| *end >= from)
            .max()
    }

    /// Whether its current process was started after an instant.
    pub(crate) fn started_since(&self, at: Instant) -> bool {
        self.started.is_some_and(|s| s > at)
    }

    /// The ages of the current process and of its SIGTERM, to end a sentence about the daemon with.
    pub(crate) fn lifetime(&self) -> String {
        let stopping = self.stopping.map(|s| s.elapsed());
        let started = self.started.map(|s| s.elapsed());
        format!("was started {started:?} ago and was sent SIGTERM {stopping:?} ago")
    }

    /// Whether it has had no process since before an instant.
    pub(crate) fn down_since(&self, at: Instant) -> bool {
        let last = self.outages.last();
        self.child.is_none() && last.is_some_and(|d| d.until.is_none() && d.from < at)
    }

    /// Begins an outage, unless one lasts already.
    fn begin_outage(&mut self) {
        if self.outages.last().is_none_or(|d| d.until.is_some()) {
            self.outages.push(Outage {
                from: Instant::now(),
                until: None,
            });
        }
    }

    /// Lets the last outage end once the process has had time to catch up.
    fn end_outage(&mut self) {
        if let Some(last) = self.outages.last_mut() {
            last.until = Some(Instant::now() + RESUME_MARGIN);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
