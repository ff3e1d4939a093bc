//! The daemons under test: real processes, steered by signals to the ids that were started here.

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

/// Time that a planned stop may take; the daemon closes its listeners 2 s before.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// A stopping daemon serves at least this long.
pub(crate) const MIN_SERVING: Duration = Duration::from_millis(3_700);

/// A process that goes on needs this long to work off what waited for it.
const RESUME_MARGIN: Duration = Duration::from_millis(300);

const FRONT_PORT: u16 = 8_104;
const READY_PORT: u16 = 8_108;
const DIRECTORY_PORT: u16 = 8_100;
const PEER_PORT: u16 = 7_380;
const ADMIN_PORT: u16 = 7_381;

/// What a soak asks of its daemons.
pub(crate) struct DaemonSetup<'a> {
    pub(crate) program: &'a Path,
    pub(crate) folder: &'a Path,
    /// Second and third number of the addresses, so that soaks run side by side.
    pub(crate) subnet: (u8, u8),
}

/// A time in which a process could not do its work.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    until: Option<Instant>,
}

/// One daemon through all its incarnations.
pub(crate) struct Daemon {
    pub(crate) name: String,
    ip: IpAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Raised at each start.
    pub(crate) incarnation: u32,
    started: Option<Instant>,
    pub(crate) stopping: Option<Instant>,
    pub(crate) paused: bool,
    outages: Vec<Outage>,
}

impl Daemon {
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
             peers = {}:{PEER_PORT}, {}:{PEER_PORT}\ndrain-limit = {}s\n\
             [tier]\nfront = {at}:{FRONT_PORT}\nready = {at}:{READY_PORT}\ndirectory = {at}:{DIRECTORY_PORT}\n\
             cores = 1\nrepeat-ratio = {}\nrepeat-slack = {}\n\
             [platform]\naddress = {store}\n[log]\nlevel = info\nformat = json\n",
            ip(0),
            ip(1),
            DRAIN_LIMIT.as_secs(),
            crate::EXTRA_CALL_RATIO,
            crate::EXTRA_CALL_SLACK,
        );
        let settings = setup.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)
            .wrap_err_with(|| format!("cannot write {}", settings.display()))?;
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
        })
    }

    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it takes callers, as far as this program knows.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_running() && !self.paused && self.stopping.is_none()
    }

    pub(crate) fn start(&mut self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        self.incarnation += 1;
        self.started = Some(Instant::now());
        self.stopping = None;
        self.paused = false;
        self.end_outage();
        Ok(())
    }

    /// Ends the process without warning.
    pub(crate) fn kill(&mut self) {
        self.begin_outage();
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself just now.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

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
        // It may have ended by itself just now.
        let _ = kill_process(pid, signal);
    }

    /// Exit status, once, if the process has ended by itself.
    pub(crate) fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.begin_outage();
        Some(status)
    }

    /// Whether it could not work normally at some time between two instants.
    pub(crate) fn had_outage(&self, from: Instant, until: Instant) -> bool {
        let overlaps = |d: &Outage| d.from <= until && d.until.is_none_or(|u| u >= from);
        self.outages.iter().any(overlaps)
    }

    /// Whether it was started after an instant.
    pub(crate) fn started_since(&self, at: Instant) -> bool {
        self.started.is_some_and(|s| s > at)
    }

    /// How long this incarnation has lasted, and since when it stops.
    pub(crate) fn lifetime(&self) -> String {
        let stopping = self.stopping.map(|s| s.elapsed());
        let started = self.started.map(|s| s.elapsed());
        format!("started {started:?} before, stopping for {stopping:?}")
    }

    /// Whether its process has been gone since before an instant.
    pub(crate) fn down_since(&self, at: Instant) -> bool {
        let last = self.outages.last();
        self.child.is_none() && last.is_some_and(|d| d.until.is_none() && d.from < at)
    }

    fn begin_outage(&mut self) {
        if self.outages.last().is_none_or(|d| d.until.is_some()) {
            self.outages.push(Outage {
                from: Instant::now(),
                until: None,
            });
        }
    }

    /// The process runs again.
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
