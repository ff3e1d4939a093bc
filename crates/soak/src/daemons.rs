//! The daemons under test, as child processes that are controlled by signals.
//!
//! Each daemon records the times in which its process could not work, so that the checks can tell
//! a fault that was injected from one of the daemon's own.

use {
    crate::{final_answers::StopTimes, processor},
    eyre::WrapErr,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// The daemons' `drain-limit`: the time that a graceful shutdown may take.
pub(crate) const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// Time after SIGTERM at which a daemon closes its listeners.
pub(crate) const CLOSING_TIME: Duration =
    DRAIN_LIMIT.checked_mul(2).unwrap().checked_div(3).unwrap();
/// Time after SIGTERM at which open requests get their final answers.
pub(crate) const FINAL_ANSWER_TIME: Duration =
    DRAIN_LIMIT.checked_mul(7).unwrap().checked_div(8).unwrap();
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

/// Time for opening a connection on loopback, which is accepted or refused at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// A time in which a process was dead or paused.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    /// Whether it began with the exit of a process that was asked to stop.
    planned: bool,
    /// `None` while it lasts.
    until: Option<Instant>,
}

impl Outage {
    fn overlaps(self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|u| u >= from)
    }
}

/// A request to an incarnation to stop.
#[derive(Clone, Copy, Debug)]
struct Stop {
    incarnation: u32,
    /// Right before the first signal was sent.
    at: Instant,
    /// Right after it was sent; the soak itself may not run in between.
    sent: Option<Instant>,
    /// Longest time for which a thread of the process had waited for a processor by then.
    waited: Duration,
    /// Number of the signals, SIGTERM and SIGINT.
    signals: u32,
    /// When SIGINT was first sent during the stop, which closes the listeners at once.
    hurried: Option<Instant>,
    /// When the process had exited.
    ended: Option<Instant>,
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
    /// When SIGTERM or SIGINT was first sent to the current process.
    pub(crate) stopping: Option<Instant>,
    stops: Vec<Stop>,
    /// Whether the current process is known to have accepted a connection before the last signal.
    accepting: bool,
    /// When a caller first got an answer with status 200 from the current process.
    served: Option<Instant>,
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
            stops: Vec::new(),
            accepting: false,
            served: None,
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
        self.accepting = false;
        self.served = None;
        self.paused = false;
        self.end_outage();
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.begin_outage(false);
        if let Some(mut child) = self.child.take() {
            // The process may just have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal and records what it means for outages; does nothing without a process.
    pub(crate) fn signal(&mut self, signal: Signal) {
        let Some(pid) = self.pid() else {
            return;
        };
        match signal {
            Signal::STOP => {
                self.paused = true;
                self.begin_outage(false);
            }
            Signal::CONT => {
                self.paused = false;
                self.end_outage();
            }
            Signal::TERM | Signal::INT => self.note_stop(signal),
            _ => {}
        }
        if !self.accepting && !self.paused {
            let probe = TcpStream::connect_timeout(&self.front(), PROBE_TIMEOUT);
            self.accepting = probe.is_ok();
        }
        // The process may just have exited by itself.
        let _ = kill_process(pid, signal);
        let waited = processor::longest_wait(pid);
        if let Some(stop) = self.stops.last_mut().filter(|s| s.sent.is_none()) {
            stop.sent = Some(Instant::now());
            stop.waited = waited;
        }
    }

    /// Time since the current process was sent the signal that asked it to stop, and how long one of
    /// its threads has waited for a processor since then.
    pub(crate) fn stopping_for(&self) -> Option<(Duration, Duration)> {
        let stop = self.find_stop(self.incarnation)?;
        let waited = self.processor_wait().saturating_sub(stop.waited);
        Some((stop.sent?.elapsed(), waited))
    }

    /// Longest time for which a thread of the current process has waited for a processor.
    pub(crate) fn processor_wait(&self) -> Duration {
        self.pid().map_or(Duration::ZERO, processor::longest_wait)
    }

    /// The current process.
    pub(crate) fn pid(&self) -> Option<Pid> {
        let id = i32::try_from(self.child.as_ref()?.id()).ok()?;
        Pid::from_raw(id)
    }

    /// Whether its process has exited; [`Daemon::take_exit_status`] still returns the status.
    pub(crate) fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Returns the status, once, of a process that has exited other than by [`Daemon::kill`].
    pub(crate) fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.begin_outage(self.stopping.is_some());
        if self.stopping.is_some()
            && let Some(stop) = self.stops.last_mut()
        {
            stop.ended = Some(Instant::now());
        }
        Some(status)
    }

    /// Whether a process may exit with this status: with code 0 after it was asked to stop. A process
    /// that a signal ended before its handlers stood has accepted nothing, so callers lose nothing;
    /// once it accepts connections, it must handle signals.
    pub(crate) fn may_exit_with(&self, status: ExitStatus) -> bool {
        let signals = [Signal::TERM, Signal::INT, Signal::HUP].map(Signal::as_raw);
        let by_signal = status.signal().is_some_and(|s| signals.contains(&s));
        self.stopping.is_some() && status.success() || by_signal && !self.accepting
    }

    /// When an incarnation was asked to stop, if it was.
    pub(crate) fn stop_of(&self, incarnation: u32) -> Option<Instant> {
        self.find_stop(incarnation).map(|stop| stop.at)
    }

    /// When an incarnation was asked to stop, and hurried, if it was.
    pub(crate) fn stop_times(&self, incarnation: u32) -> Option<StopTimes> {
        self.find_stop(incarnation).map(|stop| StopTimes {
            asked: stop.at,
            hurried: stop.hurried,
        })
    }

    /// Number of signals that asked an incarnation to stop.
    pub(crate) fn signals_to(&self, incarnation: u32) -> u32 {
        self.find_stop(incarnation).map_or(0, |stop| stop.signals)
    }

    /// When the stop of an incarnation was hurried by SIGINT, if it was.
    pub(crate) fn hurried_at(&self, incarnation: u32) -> Option<Instant> {
        self.find_stop(incarnation)?.hurried
    }

    /// Time from the first signal to an incarnation until its process had exited, or until now.
    pub(crate) fn stop_lasted(&self, incarnation: u32) -> Option<Duration> {
        let stop = self.find_stop(incarnation)?;
        let end = stop.ended.unwrap_or_else(Instant::now);
        Some(end.saturating_duration_since(stop.at))
    }

    fn find_stop(&self, incarnation: u32) -> Option<&Stop> {
        let mut stops = self.stops.iter().rev();
        stops.find(|stop| stop.incarnation == incarnation)
    }

    fn note_stop(&mut self, signal: Signal) {
        let at = Instant::now();
        if self.stopping.is_some() {
            if let Some(last) = self.stops.last_mut() {
                last.signals += 1;
                if signal == Signal::INT {
                    last.hurried.get_or_insert(at);
                }
            }
            return;
        }
        self.stopping = Some(at);
        self.stops.push(Stop {
            incarnation: self.incarnation,
            at,
            sent: None,
            waited: Duration::ZERO,
            signals: 1,
            hurried: None,
            ended: None,
        });
    }

    /// Whether its process was killed, paused or exited unasked between two instants.
    pub(crate) fn was_disturbed(&self, from: Instant, until: Instant) -> bool {
        let mut all = self.outages.iter();
        all.any(|o| !o.planned && o.overlaps(from, until))
    }

    /// Notes an answer with status 200 of an incarnation.
    pub(crate) fn note_served(&mut self, incarnation: u32) {
        if incarnation == self.incarnation && self.served.is_none() {
            self.served = Some(Instant::now());
        }
    }

    /// Whether the current process had served requests before it was asked to stop.
    pub(crate) fn served_before_stop(&self) -> bool {
        let stop = self.stopping;
        stop.is_some_and(|stop| self.served.is_some_and(|served| served < stop))
    }

    /// Whether an incarnation is closing or gone, so that requests may cross its close.
    pub(crate) fn is_closing(&self, incarnation: u32) -> bool {
        self.incarnation != incarnation || !self.is_running() || self.stop_of(incarnation).is_some()
    }

    /// Changes the log level in the settings file; the process reads it at the next SIGHUP.
    pub(crate) fn set_log_level(&self, level: &str) -> std::io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let fresh = format!("level = {level}");
        let changed = |line: &str| {
            let is_level = line.starts_with("level = ");
            let line = if is_level { &fresh } else { line };
            format!("{line}\n")
        };
        // A process may read the file at any moment.
        let draft = self.settings.with_extension("new");
        fs::write(&draft, text.lines().map(changed).collect::<String>())?;
        fs::rename(draft, &self.settings)
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
        self.cut_offs.push(Outage {
            from,
            planned: false,
            until: None,
        });
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
    fn begin_outage(&mut self, planned: bool) {
        if self.outages.last().is_none_or(|d| d.until.is_some()) {
            self.outages.push(Outage {
                from: Instant::now(),
                planned,
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
