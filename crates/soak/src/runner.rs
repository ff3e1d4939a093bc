//! Plays the faults of a seed while callers ask, then waits for everything to be served again.

use {
    crate::{
        CATCH_UP_TIME, Options, RECOVERY_TIME, Report,
        checks::{Checks, ConfigChange, Kind},
        connection::{Connection, Outcome},
        daemons::{DRAIN_LIMIT, Daemon, DaemonSetup},
        environment::{CENTRES, Environment},
        plan::{self, Fault, FaultKind},
        proxy::{LinkMode, Proxy},
    },
    actix_rt::time::sleep,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_platform::http::READY_PATH,
    rattanturn_standins::{operator::take_out, platform::Mode, shard},
    rustix::process::Signal,
    std::{
        cell::{Cell, RefCell},
        fmt::Write,
        fs,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time beyond a route's limit in which a final answer may still arrive: the way back and a busy
/// machine.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// A slow target takes this many times as long.
const SLOW: f64 = 30.0;
/// Rounds of good answers from each daemon that show recovery.
const GOOD_ROUNDS: usize = 5;
/// A stopping daemon may take this long beyond its limit.
const STOP_SLACK: Duration = Duration::from_secs(2);
/// Interval of counting calls.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) struct Runner {
    pub(crate) environment: RefCell<Environment>,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    /// Before the store, by daemon.
    store_proxies: Vec<Proxy>,
    pub(crate) checks: RefCell<Checks>,
    change_count: Cell<usize>,
    /// Faults of the store or the way to it that are under way, and until when they count.
    store_faults: Cell<usize>,
    pub(crate) next_id: Cell<u64>,
    pub(crate) finished: Cell<bool>,
    fault_log: RefCell<String>,
    started: Instant,
}

/// Plays one seed.
pub(crate) async fn run(seed: u64, options: &Options) -> eyre::Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let folder = options
        .folder
        .join(format!("soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let environment = Environment::spawn().await?;
    let bytes = std::process::id().to_le_bytes();
    let setup = DaemonSetup {
        program: &options.program,
        folder: &folder,
        subnet: (64 + bytes[1] % 64 + bytes[2] % 128, bytes[0]),
    };
    let (mut daemons, mut store_proxies) = (Vec::new(), Vec::new());
    for number in 0..options.daemons {
        let proxy = environment.spawn_store_proxy().await?;
        let centre = CENTRES[usize::from(number) % CENTRES.len()];
        daemons.push(Daemon::create(&setup, number, centre, proxy.addr)?);
        store_proxies.push(proxy);
    }
    let targets = environment.targets.len();
    let faults = plan::draw_faults(&mut rng, options.fault_window, daemons.len(), targets);
    let run = Rc::new(Runner {
        environment: RefCell::new(environment),
        daemons: RefCell::new(daemons),
        store_proxies,
        checks: RefCell::default(),
        change_count: Cell::new(0),
        store_faults: Cell::new(0),
        next_id: Cell::new(0),
        finished: Cell::new(false),
        fault_log: RefCell::default(),
        started: Instant::now(),
    });
    run.checks.borrow_mut().config_changes.push(ConfigChange {
        accepted_at: Instant::now(),
        store_fault: false,
    });
    run.checks.borrow_mut().callers = u64::try_from(options.callers).unwrap_or(u64::MAX);
    run.start_all()?;
    run.await_recovery().await;
    let callers: Vec<_> = (0..options.callers)
        .map(|_| actix_rt::spawn(run.clone().caller(ChaCha8Rng::seed_from_u64(rng.random()))))
        .collect();
    let monitor = actix_rt::spawn(run.clone().monitor());
    run.clone().inject_faults(&faults).await;
    run.await_recovery().await;
    run.finished.set(true);
    for caller in callers {
        caller.await?;
    }
    monitor.await?;
    sleep(ANSWER_SLACK).await;
    run.checks
        .borrow_mut()
        .check_targets(&run.environment.borrow());
    run.daemons.borrow_mut().iter_mut().for_each(Daemon::kill);
    let checks = run.checks.take();
    let report = Report {
        seed,
        requests: checks.total_requests(),
        outcomes: checks.outcomes.into_iter().collect(),
        faults: faults.len(),
        violations: checks.violations,
        folder: folder.clone(),
    };
    if report.violations.is_empty() {
        fs::remove_dir_all(&folder)?;
    } else {
        let text = format!(
            "{}\n{}",
            run.fault_log.borrow(),
            report.violations.join("\n")
        );
        fs::write(folder.join("run.txt"), text)?;
    }
    Ok(report)
}

impl Runner {
    fn start_all(&self) -> eyre::Result<()> {
        let mut all = self.daemons.borrow_mut();
        all.iter_mut()
            .filter(|d| !d.is_running())
            .try_for_each(Daemon::start)
    }

    fn log_fault(&self, text: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            self.fault_log.borrow_mut(),
            "{:7.3} s  {text}",
            self.started.elapsed().as_secs_f64()
        );
    }

    /// Plays all faults and returns when the last one is undone.
    async fn inject_faults(self: Rc<Self>, faults: &[Fault]) {
        let begun = Instant::now();
        let mut running = Vec::new();
        for fault in faults {
            sleep(fault.start.saturating_sub(begun.elapsed())).await;
            running.push(actix_rt::spawn(self.clone().inject(*fault)));
        }
        for fault in running {
            // A task ends with the process only.
            let _ = fault.await;
        }
    }

    async fn inject(self: Rc<Self>, fault: Fault) {
        self.log_fault(&format!("{:?} for {:?}", fault.kind, fault.duration));
        match fault.kind {
            FaultKind::Pause(i) => self.pause(i, fault.duration).await,
            FaultKind::Kill(i) => self.kill(&[i], fault.duration).await,
            FaultKind::KillAll => {
                let all: Vec<usize> = (0..self.daemons.borrow().len()).collect();
                self.kill(&all, fault.duration).await;
            }
            FaultKind::Stop(i) => self.stop(i).await,
            FaultKind::Reload(i) => self.daemons.borrow_mut()[i].signal(Signal::HUP),
            FaultKind::CompactStore => self.environment.borrow().store.compact(),
            FaultKind::ChangeConfig => self.change_config(),
            FaultKind::Store(mode) => {
                self.begin_store_fault();
                self.environment.borrow().store.set_mode(mode);
                sleep(fault.duration).await;
                self.environment.borrow().store.set_mode(Mode::Up);
                self.end_store_fault();
            }
            FaultKind::StoreLink(i, link) => {
                self.begin_store_fault();
                self.store_proxies[i].set_mode(link);
                sleep(fault.duration).await;
                self.store_proxies[i].set_mode(LinkMode::Normal);
                self.end_store_fault();
            }
            kind => self.inject_for(kind, fault.duration).await,
        }
    }

    /// Faults of targets and data centres.
    async fn inject_for(&self, kind: FaultKind, duration: Duration) {
        self.set_fault(kind, true);
        sleep(duration).await;
        self.set_fault(kind, false);
    }

    fn set_fault(&self, kind: FaultKind, on: bool) {
        let mut env = self.environment.borrow_mut();
        match kind {
            FaultKind::Target(i, fault) => {
                let fault = if on { fault } else { shard::Fault::None };
                env.targets[i].state.set_fault(fault);
            }
            FaultKind::SlowTarget(i) => env.targets[i].state.set_slow(if on { SLOW } else { 1.0 }),
            FaultKind::SlowService(i) => env.slow_service(i, if on { SLOW } else { 1.0 }),
            FaultKind::TargetLink(i, link) => {
                env.targets[i]
                    .proxy
                    .set_mode(if on { link } else { LinkMode::Normal });
            }
            FaultKind::RemoveTarget(i) if on => env.remove_target(i),
            FaultKind::DrainTarget(i) if on => env.announce(i, "draining"),
            FaultKind::RemoveTarget(i) | FaultKind::DrainTarget(i) => env.announce(i, "ready"),
            FaultKind::Evacuate(i) => take_out(&env.store, CENTRES[i], on),
            _ => {}
        }
    }

    fn change_config(&self) {
        let next = self.change_count.get() + 1;
        self.change_count.set(next);
        self.environment.borrow_mut().write_config(next);
        self.checks.borrow_mut().config_changes.push(ConfigChange {
            accepted_at: Instant::now(),
            store_fault: self.store_faults.get() > 0,
        });
    }

    fn begin_store_fault(&self) {
        self.store_faults.set(self.store_faults.get() + 1);
        let now = Instant::now();
        let mut checks = self.checks.borrow_mut();
        let recent = |e: &&mut ConfigChange| now < e.accepted_at + CATCH_UP_TIME;
        checks
            .config_changes
            .iter_mut()
            .filter(recent)
            .for_each(|e| e.store_fault = true);
    }

    fn end_store_fault(self: &Rc<Self>) {
        let run = self.clone();
        actix_rt::spawn(async move {
            sleep(CATCH_UP_TIME).await;
            run.store_faults.set(run.store_faults.get() - 1);
        });
    }

    async fn pause(&self, i: usize, duration: Duration) {
        if !self.daemons.borrow()[i].is_serving() {
            return;
        }
        let incarnation = self.daemons.borrow()[i].incarnation;
        self.daemons.borrow_mut()[i].signal(Signal::STOP);
        sleep(duration).await;
        if self.daemons.borrow()[i].incarnation == incarnation {
            self.daemons.borrow_mut()[i].signal(Signal::CONT);
        }
    }

    async fn kill(&self, list: &[usize], duration: Duration) {
        for i in list {
            self.daemons.borrow_mut()[*i].kill();
        }
        sleep(duration).await;
        let mut daemons = self.daemons.borrow_mut();
        for i in list {
            if !daemons[*i].is_running()
                && let Err(error) = daemons[*i].start()
            {
                self.checks.borrow_mut().add_violation(error.to_string());
            }
        }
    }

    /// Asks a daemon to stop and starts it again once it has ended.
    async fn stop(&self, i: usize) {
        if !self.daemons.borrow()[i].is_serving() {
            return;
        }
        let (incarnation, begun) = (self.daemons.borrow()[i].incarnation, Instant::now());
        self.daemons.borrow_mut()[i].signal(Signal::TERM);
        loop {
            sleep(Duration::from_millis(50)).await;
            let mut daemons = self.daemons.borrow_mut();
            let daemon = &mut daemons[i];
            if daemon.incarnation != incarnation {
                return;
            }
            if !daemon.is_running() {
                if let Err(error) = daemon.start() {
                    self.checks.borrow_mut().add_violation(error.to_string());
                }
                return;
            }
            if begun.elapsed() > DRAIN_LIMIT + STOP_SLACK
                && !daemon.had_outage(begun, Instant::now())
            {
                let text = format!("{} did not stop in time", daemon.name);
                self.checks.borrow_mut().add_violation(text);
                daemon.kill();
            }
        }
    }

    /// Notes daemons that end by themselves, and how many calls targets get.
    async fn monitor(self: Rc<Self>) {
        let mut sampled = Instant::now();
        while !self.finished.get() {
            sleep(Duration::from_millis(20)).await;
            if sampled.elapsed() > SAMPLE_INTERVAL {
                sampled = Instant::now();
                self.checks.borrow_mut().sample(&self.environment.borrow());
            }
            for daemon in self.daemons.borrow_mut().iter_mut() {
                let Some(status) = daemon.take_exit_status() else {
                    continue;
                };
                if daemon.stopping.is_none() || !status.success() {
                    let text = format!("{} ended by itself: {status}", daemon.name);
                    self.checks.borrow_mut().add_violation(text);
                }
            }
        }
    }

    /// Waits until each daemon serves every kind of request whole, several times in a row.
    async fn await_recovery(&self) {
        if let Err(error) = self.start_all() {
            self.checks.borrow_mut().add_violation(error.to_string());
        }
        let end = Instant::now() + RECOVERY_TIME;
        let mut good = 0;
        while good < GOOD_ROUNDS {
            match self.check_round().await {
                None => good += 1,
                Some(why) if Instant::now() > end => {
                    let text = format!("not served again in time: {why}");
                    self.checks.borrow_mut().add_violation(text);
                    return;
                }
                Some(_) => {
                    good = 0;
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Asks each daemon once for each kind; tells what was not whole.
    async fn check_round(&self) -> Option<String> {
        let fronts: Vec<(String, SocketAddr, SocketAddr)> = {
            let daemons = self.daemons.borrow();
            let all = daemons.iter();
            all.map(|d| (d.name.clone(), d.front(), d.ready()))
                .collect()
        };
        for (name, front, ready) in fronts {
            let mut connection = Connection::default();
            let limit = Duration::from_secs(3);
            match connection.send(ready, READY_PATH, "ready", "", limit).await {
                Outcome::Answered(answer) if answer.status == 200 => {}
                other => return Some(format!("{name} is not ready: {other:?}")),
            }
            for kind in Kind::ALL {
                let number = self.next_id.get();
                self.next_id.set(number + 1);
                let id = format!("r{number}");
                let mut connection = Connection::default();
                self.checks.borrow_mut().count_request(kind);
                let ended = connection.send(front, kind.path(), &id, "", limit).await;
                match ended {
                    Outcome::Answered(a) if a.status == 200 && is_complete(kind, &a) => {}
                    Outcome::Answered(a) => {
                        let missing = a.seals().missing;
                        return Some(format!(
                            "{name} {kind:?}: {}, missing {missing:?}",
                            a.status
                        ));
                    }
                    other => return Some(format!("{name} {kind:?}: {other:?}")),
                }
            }
        }
        None
    }
}

fn is_complete(kind: Kind, answer: &crate::connection::Answer) -> bool {
    kind != Kind::Gather || answer.seals().missing == Some(0)
}
