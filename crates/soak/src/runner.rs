//! Runs one seed: injects its faults while callers send requests, then checks the recovery.
//!
//! Everything runs on one thread, so the state of a run is in cells, and no borrow of them may be
//! held across an `await`. Faults overlap. If two that change the same setting of a stand-in or a
//! proxy overlap, the one that ends first undoes both.

use {
    crate::{
        CATCH_UP_TIME, Options, RECOVERY_TIME, Report,
        accounts::{self, AccountBook, AccountEdit, account_of_caller},
        checks::{Checks, MAX_PROPAGATION, RequestKind},
        connection::{Connection, Outcome},
        daemons::{DRAIN_LIMIT, Daemon, DaemonSetup},
        environment::{CENTRES, Environment},
        plan::{self, Fault, FaultKind},
        rollouts,
    },
    actix_rt::{task::JoinHandle, time::sleep},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_platform::http::READY_PATH,
    rattanturn_standins::{
        operator::set_evacuated,
        platform::Mode,
        proxy::{LinkMode, Proxy},
        shard,
    },
    rustix::process::Signal,
    std::{
        cell::{Cell, RefCell},
        fmt::Write,
        fs,
        net::SocketAddr,
        rc::Rc,
        slice::SliceIndex,
        time::{Duration, Instant},
    },
};

/// Time beyond a route's limit within which a caller still accepts an answer. It covers the
/// response transit time and delays on a busy machine.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Factor by which a slow target's service time is multiplied.
const SLOW: f64 = 30.0;
/// Stream of the seed's generator from which edits of accounts are drawn.
const ACCOUNT_STREAM: u64 = 1;
/// Stream of the seed's generator from which orders are drawn.
const ORDER_STREAM: u64 = 2;
/// Consecutive rounds of good answers from all daemons that count as recovery.
const GOOD_ROUNDS: usize = 5;
/// Time beyond its drain limit within which the process of a stopping daemon must exit.
const STOP_SLACK: Duration = Duration::from_secs(2);
/// Time in which callers check that the last configuration is in force.
const LAST_CHECK_TIME: Duration = Duration::from_secs(1);
/// Interval between two samples of the numbers of requests and calls.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a run, shared by its callers, its faults and its monitor.
pub(crate) struct Runner {
    pub(crate) environment: RefCell<Environment>,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    /// The proxies through which the daemons reach the store, by index of the daemon.
    store_proxies: Vec<Proxy>,
    /// The proxies through which daemons reach each other by RPC, by index of the daemon called.
    peer_proxies: Vec<Proxy>,
    pub(crate) checks: RefCell<Checks>,
    pub(crate) has_orders: bool,
    /// The only daemon that callers use now, if there is one.
    pub(crate) focus: Cell<Option<usize>>,
    /// `None` if callers have no keys.
    pub(crate) accounts: Option<RefCell<AccountBook>>,
    /// Configurations written after the first one; also the number of the newest.
    change_count: Cell<usize>,
    /// Number in the id of the next request.
    pub(crate) next_id: Cell<u64>,
    /// Tells the callers and the monitor to stop.
    pub(crate) finished: Cell<bool>,
    /// One line for each fault, written to `run.txt` if the run finds a violation.
    fault_log: RefCell<String>,
    started: Instant,
}

/// Runs one seed; see [`crate::run`].
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
        settings: if options.rollouts {
            rollouts::SETTINGS
        } else {
            ""
        },
        subnet: (64 + bytes[1] % 64 + bytes[2] % 128, bytes[0]),
    };
    let (mut daemons, mut store_proxies) = (Vec::new(), Vec::new());
    let mut peer_proxies = Vec::new();
    for number in 0..options.daemons {
        let proxy = environment.spawn_store_proxy().await?;
        let centre = CENTRES[usize::from(number) % CENTRES.len()];
        let daemon = Daemon::create(&setup, number, centre, proxy.addr)?;
        let (server, at) = daemon.peer_link();
        peer_proxies.push(Proxy::bind(at, server).await?);
        daemons.push(daemon);
        store_proxies.push(proxy);
    }
    let targets = environment.targets.len();
    let mut faults = plan::draw_faults(&mut rng, options.fault_window, daemons.len(), targets);
    if options.accounts {
        let mut own = ChaCha8Rng::seed_from_u64(seed);
        own.set_stream(ACCOUNT_STREAM);
        plan::add_account_edits(&mut faults, &mut own, options.fault_window);
    }
    let plans = options.rollouts.then(|| {
        let mut own = ChaCha8Rng::seed_from_u64(seed);
        own.set_stream(ORDER_STREAM);
        rollouts::draw_plans(&mut own, usize::from(options.daemons))
    });
    let accounts = options.accounts.then(AccountBook::new);
    let run = Rc::new(Runner {
        environment: RefCell::new(environment),
        daemons: RefCell::new(daemons),
        store_proxies,
        peer_proxies,
        checks: RefCell::default(),
        accounts: accounts.map(RefCell::new),
        has_orders: options.rollouts,
        focus: Cell::new(None),
        change_count: Cell::new(0),
        next_id: Cell::new(0),
        finished: Cell::new(false),
        fault_log: RefCell::default(),
        started: Instant::now(),
    });
    let records = options.accounts || options.rollouts;
    run.checks.borrow_mut().records_calls = records;
    run.environment.borrow().record_calls(records);
    run.publish_config();
    run.start_all()?;
    run.await_recovery().await;
    let callers = run.start_callers(options, &mut rng);
    let monitor = actix_rt::spawn(run.clone().monitor());
    run.inject_all(&faults, plans).await?;
    run.finished.set(true);
    for caller in callers {
        caller.await?;
    }
    monitor.await?;
    sleep(ANSWER_SLACK).await;
    run.check_targets();
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
    /// Starts the callers, and with accounts one more for each daemon.
    fn start_callers(
        self: &Rc<Self>,
        options: &Options,
        rng: &mut ChaCha8Rng,
    ) -> Vec<JoinHandle<()>> {
        let loyal = match self.accounts {
            Some(_) => usize::from(options.daemons),
            None => 0,
        };
        let rush = if self.has_orders {
            rollouts::RUSH_CALLERS
        } else {
            0
        };
        self.checks.borrow_mut().callers = (options.callers + loyal + rush) as u64;
        let mut callers = Vec::new();
        for i in 0..options.callers {
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            let caller = self.clone().caller(account_of_caller(i), rng);
            callers.push(actix_rt::spawn(caller));
        }
        for i in 0..loyal {
            let caller = self.clone().loyal_caller(i, account_of_caller(i + 1));
            callers.push(actix_rt::spawn(caller));
        }
        callers
    }

    /// Checks what only the targets know, once all calls have ended.
    fn check_targets(&self) {
        let env = self.environment.borrow();
        let mut checks = self.checks.borrow_mut();
        if checks.records_calls {
            checks.sample(&env);
        }
        checks.check_targets(&env, &self.daemons.borrow());
    }

    /// Starts the daemons that are not running.
    fn start_all(&self) -> eyre::Result<()> {
        let mut all = self.daemons.borrow_mut();
        all.iter_mut()
            .filter(|d| !d.is_running())
            .try_for_each(Daemon::start)
    }

    pub(crate) fn log_fault(&self, text: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            self.fault_log.borrow_mut(),
            "{:7.3} s  {text}",
            self.started.elapsed().as_secs_f64()
        );
    }

    /// Injects all faults, checks the recovery, and gives orders meanwhile and afterwards.
    async fn inject_all(
        self: &Rc<Self>,
        faults: &[Fault],
        plans: Option<[rollouts::Plan; 2]>,
    ) -> eyre::Result<()> {
        let [first, last] = plans.map_or([None, None], |plans| plans.map(Some));
        let first = first.map(|plan| actix_rt::spawn(self.clone().carry_out(plan)));
        self.clone().inject_faults(faults).await;
        if let Some(first) = first {
            first.await?;
        }
        self.await_recovery().await;
        let last = last.map(|plan| actix_rt::spawn(self.clone().carry_out(plan)));
        self.change_config_in_calm().await;
        if let Some(last) = last {
            last.await?;
        }
        Ok(())
    }

    /// Injects all faults at their times and returns when the last one is undone.
    async fn inject_faults(self: Rc<Self>, faults: &[Fault]) {
        let begun = Instant::now();
        let mut running = Vec::new();
        for fault in faults {
            sleep(fault.start.saturating_sub(begun.elapsed())).await;
            running.push(actix_rt::spawn(self.clone().inject(*fault)));
        }
        for fault in running {
            // The join fails only if the task panicked or the runtime stopped.
            let _ = fault.await;
        }
    }

    /// Injects one fault and undoes it after its duration.
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
            FaultKind::EditAccounts(edit) => self.edit_accounts(edit),
            FaultKind::Store(mode) => {
                self.begin_store_fault(..);
                self.environment.borrow().store.set_mode(mode);
                sleep(fault.duration).await;
                self.environment.borrow().store.set_mode(Mode::Up);
                self.end_store_fault(..);
            }
            FaultKind::StoreLink(i, link) => {
                self.begin_store_fault(i..=i);
                self.store_proxies[i].set_mode(link);
                sleep(fault.duration).await;
                self.store_proxies[i].set_mode(LinkMode::Normal);
                self.end_store_fault(i..=i);
            }
            FaultKind::PeerLink(i, link) => {
                // It does not cut the daemon off from the store.
                self.begin_store_fault(0..0);
                self.peer_proxies[i].set_mode(link);
                sleep(fault.duration).await;
                self.peer_proxies[i].set_mode(LinkMode::Normal);
                self.end_store_fault(0..0);
            }
            FaultKind::Silence => {
                self.begin_store_fault(..);
                let proxies = self.store_proxies.iter().chain(&self.peer_proxies);
                proxies.for_each(Proxy::silence_open);
                self.environment.borrow().silence_targets();
                self.end_store_fault(..);
            }
            kind => self.inject_for(kind, fault.duration).await,
        }
    }

    /// Injects a fault of a target or a data centre for a time.
    async fn inject_for(&self, kind: FaultKind, duration: Duration) {
        self.set_fault(kind, true);
        sleep(duration).await;
        self.set_fault(kind, false);
    }

    /// Turns a fault of a target or a data centre on or off.
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
            FaultKind::Evacuate(i) => set_evacuated(&env.store, CENTRES[i], on),
            _ => {}
        }
    }

    /// Writes the next configuration into the store.
    fn change_config(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.publish_config();
    }

    /// Writes the newest configuration, with the accounts as they are now.
    fn publish_config(&self) {
        let number = self.change_count.get();
        let accounts = self.accounts.as_ref().map(|b| b.borrow().current.clone());
        let mut env = self.environment.borrow_mut();
        env.write_config(number, accounts.as_ref());
        self.checks.borrow_mut().config.accept(number, accounts);
    }

    fn edit_accounts(&self, edit: AccountEdit) {
        if let Some(book) = &self.accounts {
            book.borrow_mut().apply(edit);
            self.publish_config();
        }
    }

    /// Writes a last configuration after all faults, with nothing to excuse that it is late: what
    /// faults left behind must not hold it up.
    async fn change_config_in_calm(&self) {
        sleep(CATCH_UP_TIME).await;
        self.checks.borrow_mut().calm = true;
        for edit in accounts::LAST_EDITS {
            self.edit_accounts(edit);
        }
        self.change_config();
        sleep(MAX_PROPAGATION + LAST_CHECK_TIME).await;
        if self.accounts.is_some() {
            sleep(2 * accounts::QUOTA_WINDOW).await;
        }
    }

    /// Begins a fault of the store or of a link that configurations take, which cuts these daemons
    /// off from the store.
    fn begin_store_fault(&self, daemons: impl SliceIndex<[Daemon], Output = [Daemon]>) {
        self.checks.borrow_mut().config.begin_fault(Instant::now());
        let mut all = self.daemons.borrow_mut();
        all[daemons].iter_mut().for_each(Daemon::begin_cut_off);
    }

    /// Ends such a fault.
    fn end_store_fault(&self, daemons: impl SliceIndex<[Daemon], Output = [Daemon]>) {
        self.checks.borrow_mut().config.end_fault(Instant::now());
        let mut all = self.daemons.borrow_mut();
        all[daemons].iter_mut().for_each(Daemon::end_cut_off);
    }

    /// Stops a daemon's process with SIGSTOP for a time, unless it is paused or stopping already.
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

    /// Kills daemons and starts those again that no other fault has started meanwhile.
    async fn kill(&self, indices: &[usize], duration: Duration) {
        for i in indices {
            self.daemons.borrow_mut()[*i].kill();
        }
        sleep(duration).await;
        let mut daemons = self.daemons.borrow_mut();
        for i in indices {
            if !daemons[*i].is_running()
                && let Err(error) = daemons[*i].start()
            {
                self.checks.borrow_mut().add_violation(error.to_string());
            }
        }
    }

    /// Asks a daemon to stop with SIGTERM and starts it again once its process has exited.
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
                let text = format!(
                    "{}: expected to exit within its drain limit after SIGTERM, still runs",
                    daemon.name
                );
                self.checks.borrow_mut().add_violation(text);
                daemon.kill();
            }
        }
    }

    /// Reports daemons that exit unasked and samples the number of calls until the run is finished.
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
                    let text = format!(
                        "{}: expected to exit only after SIGTERM and with code 0, got {status}",
                        daemon.name
                    );
                    self.checks.borrow_mut().add_violation(text);
                }
            }
        }
    }

    /// Waits until each daemon completely serves every kind of request, `GOOD_ROUNDS` times in a
    /// row. A round that fails after `RECOVERY_TIME` is a violation.
    async fn await_recovery(&self) {
        if let Err(error) = self.start_all() {
            self.checks.borrow_mut().add_violation(error.to_string());
        }
        let end = Instant::now() + RECOVERY_TIME;
        let mut good = 0;
        while good < GOOD_ROUNDS {
            match self.check_round().await {
                None => good += 1,
                Some(error) if Instant::now() > end => {
                    let text = format!("not recovered in time: {error}");
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

    /// Sends one request of each kind to each daemon; returns the first failure.
    async fn check_round(&self) -> Option<String> {
        let addresses: Vec<(String, SocketAddr, SocketAddr)> = {
            let daemons = self.daemons.borrow();
            let all = daemons.iter();
            all.map(|d| (d.name.clone(), d.front(), d.ready()))
                .collect()
        };
        for (name, front, ready) in addresses {
            let mut connection = Connection::default();
            let limit = Duration::from_secs(3);
            match connection.send(ready, READY_PATH, "ready", "", limit).await {
                Outcome::Answered(answer) if answer.status == 200 => {}
                other => return Some(format!("{name}: expected a ready daemon, got {other:?}")),
            }
            for kind in RequestKind::ALL {
                let number = self.next_id.get();
                self.next_id.set(number + 1);
                let id = format!("r{number}");
                let mut connection = Connection::default();
                self.checks.borrow_mut().count_request(kind);
                if let Some(book) = &self.accounts {
                    let key = book.borrow().oldest_key(accounts::PROBE);
                    self.checks.borrow_mut().note_key(&id, &key);
                    connection.key = Some(key);
                }
                let outcome = connection.send(front, &kind.path(0), &id, "", limit).await;
                match outcome {
                    Outcome::Answered(a) if a.status == 200 && is_complete(kind, &a) => {}
                    Outcome::Answered(a) => {
                        let missing = a.source().missing;
                        return Some(format!(
                            "{name} {kind:?}: expected 200 with all parts, \
                             got {}, missing {missing:?}",
                            a.status
                        ));
                    }
                    other => return Some(format!("{name} {kind:?}: expected 200, got {other:?}")),
                }
            }
        }
        None
    }
}

/// Whether no part of an answer is missing.
fn is_complete(kind: RequestKind, answer: &crate::connection::Answer) -> bool {
    kind != RequestKind::Gather || answer.source().missing == Some(0)
}
