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
pub(crate) const DRAIN: Duration = Duration::from_secs(6);
/// A stopping daemon serves at least this long.
pub(crate) const SERVES_ON: Duration = Duration::from_millis(3_700);

/// A process that goes on needs this long to work off what waited for it.
const SETTLE: Duration = Duration::from_millis(300);

const FRONT: u16 = 8_104;
const READY: u16 = 8_108;
const DIRECTORY: u16 = 8_100;
const PEERS: u16 = 7_380;
const ADMIN: u16 = 7_381;

/// What a soak asks of its daemons.
pub(crate) struct Shape<'a> {
    pub(crate) program: &'a Path,
    pub(crate) folder: &'a Path,
    /// Second and third number of the addresses, so that soaks run side by side.
    pub(crate) net: (u8, u8),
}

/// A time in which a process could not do its work.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
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
    disturbances: Vec<Disturbance>,
}

impl Daemon {
    pub(crate) fn create(
        shape: &Shape<'_>,
        number: u8,
        centre: &str,
        store: SocketAddr,
    ) -> eyre::Result<Self> {
        let (a, b) = shape.net;
        let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(127, a, b, n + 1));
        let name = format!("d{number}");
        let at = ip(number);
        let text = format!(
            "[daemon]\nname = {name}\ndata-centre = {centre}\nip = {at}\n\
             gossip-port = {PEERS}\nrpc-port = {PEERS}\nadmin-port = {ADMIN}\n\
             peers = {}:{PEERS}, {}:{PEERS}\ndrain-limit = {}s\n\
             [tier]\nfront = {at}:{FRONT}\nready = {at}:{READY}\ndirectory = {at}:{DIRECTORY}\n\
             cores = 1\nrepeat-ratio = {}\nrepeat-slack = {}\n\
             [platform]\naddress = {store}\n[log]\nlevel = info\nformat = json\n",
            ip(0),
            ip(1),
            DRAIN.as_secs(),
            crate::REPEAT_RATIO,
            crate::REPEAT_SLACK,
        );
        let settings = shape.folder.join(format!("{name}.ini"));
        fs::write(&settings, text)
            .wrap_err_with(|| format!("cannot write {}", settings.display()))?;
        Ok(Self {
            log: shape.folder.join(format!("{name}.log")),
            name,
            ip: at,
            program: shape.program.into(),
            settings,
            child: None,
            incarnation: 0,
            started: None,
            stopping: None,
            paused: false,
            disturbances: Vec::new(),
        })
    }

    pub(crate) fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY)
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY)
    }

    pub(crate) fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it takes callers, as far as this program knows.
    pub(crate) fn serves(&self) -> bool {
        self.runs() && !self.paused && self.stopping.is_none()
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
        self.heal();
        Ok(())
    }

    /// Ends the process without warning.
    pub(crate) fn kill(&mut self) {
        self.disturb();
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
                self.disturb();
            }
            Signal::CONT => {
                self.paused = false;
                self.heal();
            }
            Signal::TERM => self.stopping = Some(Instant::now()),
            _ => {}
        }
        // It may have ended by itself just now.
        let _ = kill_process(pid, signal);
    }

    /// Exit status, once, if the process has ended by itself.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.disturb();
        Some(status)
    }

    /// Whether it could not work normally at some time between two instants.
    pub(crate) fn disturbed(&self, from: Instant, until: Instant) -> bool {
        let touches = |d: &Disturbance| d.from <= until && d.until.is_none_or(|u| u >= from);
        self.disturbances.iter().any(touches)
    }

    /// Whether it was started after an instant.
    pub(crate) fn started_since(&self, at: Instant) -> bool {
        self.started.is_some_and(|s| s > at)
    }

    /// How long this incarnation has lasted, and since when it stops.
    pub(crate) fn age(&self) -> String {
        let stopping = self.stopping.map(|s| s.elapsed());
        let started = self.started.map(|s| s.elapsed());
        format!("started {started:?} before, stopping for {stopping:?}")
    }

    /// Whether its process has been gone since before an instant.
    pub(crate) fn gone_since(&self, at: Instant) -> bool {
        let last = self.disturbances.last();
        self.child.is_none() && last.is_some_and(|d| d.until.is_none() && d.from < at)
    }

    fn disturb(&mut self) {
        if self.disturbances.last().is_none_or(|d| d.until.is_some()) {
            self.disturbances.push(Disturbance {
                from: Instant::now(),
                until: None,
            });
        }
    }

    /// The process runs again.
    fn heal(&mut self) {
        if let Some(last) = self.disturbances.last_mut() {
            last.until = Some(Instant::now() + SETTLE);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
