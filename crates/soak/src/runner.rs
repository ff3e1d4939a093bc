//! Runs one seed: injects its faults while callers send requests, then checks the recovery.
//!
//! Everything runs on one thread, so the state of a run is in cells, and no borrow of them may be
//! held across an `await`.

use {
    crate::{
        CATCH_UP_TIME, Options, Report,
        accounts::{self, AccountBook, AccountEdit, account_of_caller},
        checks::{Checks, MAX_PROPAGATION},
        daemons::{Daemon, DaemonSetup},
        environment::{CENTRES, Environment},
        plan::{self, Fault},
        processor::WaitSamples,
        rollouts, signals, stops,
    },
    actix_rt::{task::JoinHandle, time::sleep},
    eyre::ensure,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::proxy::Proxy,
    rustix::process::{Resource, getpid, getrlimit},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        fmt::Write,
        fs,
        path::PathBuf,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time beyond a route's limit within which a caller still accepts an answer. It covers the
/// response transit time and delays on a busy machine.
pub(crate) const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Most daemons of a run. Each takes about 20 MB of memory, and a few hundred processes are the most
/// that a machine shared with others should run.
const MAX_DAEMONS: u8 = 200;
/// Most targets of a service in a data centre. They share the threads of the stand-ins.
const MAX_TARGETS: usize = 20;
/// Stream of the seed's generator from which edits of accounts are drawn.
const ACCOUNT_STREAM: u64 = 1;
/// Stream of the seed's generator from which orders are drawn.
const ORDER_STREAM: u64 = 2;
/// Stream of the seed's generator from which stops are drawn, and their callers.
const STOP_STREAM: u64 = 3;
/// Time in which callers check that the last configuration is in force.
const LAST_CHECK_TIME: Duration = Duration::from_secs(1);
/// Interval at which the monitor looks at the processes.
const MONITOR_INTERVAL: Duration = Duration::from_millis(20);
/// Time without running from which on a pause of the soak is worth a line in `run.txt`: the checks
/// measure times of this order.
const NOTABLE_PAUSE: Duration = Duration::from_millis(200);
/// Descriptors that a run leaves unused: new connections between two samples take some.
const DESCRIPTOR_RESERVE: u64 = 1_000;
/// Interval between two samples of the numbers of requests and calls.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a run, shared by its callers, its faults and its monitor.
pub(crate) struct Runner {
    pub(crate) environment: RefCell<Environment>,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    /// The proxies through which the daemons reach the store, by index of the daemon.
    pub(crate) store_proxies: Vec<Proxy>,
    /// The proxies through which daemons reach each other by RPC, by index of the daemon called.
    pub(crate) peer_proxies: Vec<Proxy>,
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
    /// Longest time for which the soak itself did not run when it should have.
    longest_pause: Cell<Duration>,
    /// Most files and connections that the soak itself had open.
    most_descriptors: Cell<u64>,
}

/// Runs one seed; see [`crate::run`].
pub(crate) async fn run(seed: u64, options: &Options) -> eyre::Result<Report> {
    ensure!(
        (1..=MAX_TARGETS).contains(&options.targets),
        "expected 1 to {MAX_TARGETS} targets of each service in each data centre"
    );
    ensure!(
        (1..=MAX_DAEMONS).contains(&options.daemons),
        "expected 1 to {MAX_DAEMONS} daemons"
    );
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let folder = options
        .folder
        .join(format!("soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let mut environment = Environment::spawn(options.targets).await?;
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
        peer_proxies.push(environment.spawn_proxy(at, server).await?);
        daemons.push(daemon);
        store_proxies.push(proxy);
    }
    let plans = draw_plans(seed, &mut rng, options, environment.targets.len());
    if plans.stops.as_ref().is_some_and(|p| p.interrupts) {
        signals::ensure_interruptible()?;
    }
    if options.stops {
        environment.add_long_targets(options.daemons).await?;
    }
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
        longest_pause: Cell::default(),
        most_descriptors: Cell::default(),
    });
    let records = options.accounts || options.rollouts;
    run.checks.borrow_mut().records_calls = records;
    run.environment.borrow().record_calls(records);
    run.publish_config();
    run.start_all()?;
    run.await_recovery().await;
    let mut callers = run.start_callers(options, &mut rng);
    if let Some(plan) = &plans.stops {
        run.checks.borrow_mut().stops.calm = plan.calm;
        let rng = ChaCha8Rng::seed_from_u64(plan.caller_seed);
        callers.extend(run.start_stop_callers(options.stop_callers, rng));
    }
    let monitor = actix_rt::spawn(run.clone().monitor());
    let faults = plans.faults.len();
    run.inject_all(plans).await?;
    run.finished.set(true);
    for caller in callers {
        caller.await?;
    }
    monitor.await?;
    sleep(ANSWER_SLACK).await;
    run.check_targets();
    run.check_descriptors();
    run.daemons.borrow_mut().iter_mut().for_each(Daemon::kill);
    run.report(seed, faults, folder)
}

/// What is done in a run.
struct Plans {
    faults: Vec<Fault>,
    /// The orders beside the faults and after them.
    orders: Option<[rollouts::Plan; 2]>,
    stops: Option<stops::StopPlan>,
}

/// Draws what is done in a run. All but the faults come from generators of their own.
fn draw_plans(seed: u64, rng: &mut ChaCha8Rng, options: &Options, targets: usize) -> Plans {
    let daemons = usize::from(options.daemons);
    let own = |stream| {
        let mut own = ChaCha8Rng::seed_from_u64(seed);
        own.set_stream(stream);
        own
    };
    let window = options.fault_window;
    let mut faults = plan::draw_faults(rng, window, daemons, targets);
    if options.accounts {
        plan::add_account_edits(&mut faults, &mut own(ACCOUNT_STREAM), window);
    }
    let orders = options
        .rollouts
        .then(|| rollouts::draw_plans(&mut own(ORDER_STREAM), daemons));
    let stops = options
        .stops
        .then(|| stops::draw_plan(&mut own(STOP_STREAM), window, daemons));
    if stops.as_ref().is_some_and(|plan| plan.calm) {
        faults.retain(|f| f.kind.is_planned());
    }
    Plans {
        faults,
        orders,
        stops,
    }
}

/// Number of files and connections that this process has open; 0 where the kernel does not say.
fn open_descriptors() -> u64 {
    fs::read_dir("/proc/self/fd").map_or(0, |all| all.count() as u64)
}

impl Runner {
    /// The result of the run, whose folder stays if there are violations.
    fn report(&self, seed: u64, faults: usize, folder: PathBuf) -> eyre::Result<Report> {
        let checks = self.checks.take();
        let report = Report {
            seed,
            requests: checks.total_requests(),
            outcomes: checks.outcomes.into_iter().collect(),
            faults,
            violations: checks.violations,
            longest_pause: self.longest_pause.get(),
            folder,
        };
        if report.violations.is_empty() {
            fs::remove_dir_all(&report.folder)?;
        } else {
            let text = format!(
                "{}\n{}",
                self.fault_log.borrow(),
                report.violations.join("\n")
            );
            fs::write(report.folder.join("run.txt"), text)?;
        }
        Ok(report)
    }

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

    /// Reports that the stand-ins may have refused connections for want of descriptors: what daemons
    /// did then says nothing about them.
    fn check_descriptors(&self) {
        let (most, limit) = (
            self.most_descriptors.get(),
            getrlimit(Resource::Nofile).current,
        );
        if let Some(limit) = limit.filter(|limit| most + DESCRIPTOR_RESERVE > *limit) {
            self.checks.borrow_mut().add_violation(format!(
                "the soak itself had {most} of at most {limit} descriptors open; run fewer daemons or \
                 targets, or raise the limit with `ulimit -n`"
            ));
        }
    }

    /// Starts the daemons that are not running.
    pub(crate) fn start_all(&self) -> eyre::Result<()> {
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

    /// Injects all faults and carries out all stops, checks the recovery, and gives orders meanwhile
    /// and afterwards.
    async fn inject_all(self: &Rc<Self>, plans: Plans) -> eyre::Result<()> {
        let [first, last] = plans.orders.map_or([None, None], |orders| orders.map(Some));
        let first = first.map(|plan| actix_rt::spawn(self.clone().carry_out(plan)));
        let stops = plans.stops;
        let stops = stops.map(|plan| actix_rt::spawn(self.clone().carry_out_stops(plan)));
        self.clone().inject_faults(&plans.faults).await;
        for planned in [first, stops].into_iter().flatten() {
            planned.await?;
        }
        self.await_recovery().await;
        let last = last.map(|plan| actix_rt::spawn(self.clone().carry_out(plan)));
        self.change_config_in_calm().await;
        if let Some(last) = last {
            last.await?;
        }
        Ok(())
    }

    /// Writes the next configuration into the store.
    pub(crate) fn change_config(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.publish_config();
    }

    /// Writes the newest configuration, with the accounts as they are now.
    pub(crate) fn publish_config(&self) {
        let number = self.change_count.get();
        let accounts = self.accounts.as_ref().map(|b| b.borrow().current.clone());
        let mut env = self.environment.borrow_mut();
        env.write_config(number, accounts.as_ref());
        self.checks.borrow_mut().config.accept(number, accounts);
    }

    pub(crate) fn edit_accounts(&self, edit: AccountEdit) {
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

    /// Reports daemons that exit unasked and samples the number of calls until the run is finished.
    async fn monitor(self: Rc<Self>) {
        let mut sampled = Instant::now();
        let mut waits = BTreeMap::new();
        while !self.finished.get() {
            let begun = Instant::now();
            sleep(MONITOR_INTERVAL).await;
            self.note_pause(begun.elapsed().saturating_sub(MONITOR_INTERVAL));
            if sampled.elapsed() > SAMPLE_INTERVAL {
                sampled = Instant::now();
                self.most_descriptors
                    .set(self.most_descriptors.get().max(open_descriptors()));
                self.checks.borrow_mut().sample(&self.environment.borrow());
                self.note_waits(&mut waits);
            }
            for daemon in self.daemons.borrow_mut().iter_mut() {
                let Some(status) = daemon.take_exit_status() else {
                    continue;
                };
                let mut checks = self.checks.borrow_mut();
                if daemon.may_exit_with(status) {
                    if !status.success() {
                        checks.count_outcome("process ended before it accepted".into());
                    }
                } else {
                    let text = format!(
                        "{}: expected to exit only after SIGTERM and with code 0, got {status}",
                        daemon.name
                    );
                    checks.add_violation(text);
                }
            }
        }
    }

    /// Notes which processes had a thread that waited for a processor for long since the last sample;
    /// the stand-ins are threads of the soak itself.
    fn note_waits(&self, samples: &mut BTreeMap<String, WaitSamples>) {
        let daemons = self.daemons.borrow();
        let running = daemons.iter().filter_map(|d| Some((&*d.name, d.pid()?)));
        let mut late = Vec::new();
        for (name, pid) in running.chain([("the soak", getpid())]) {
            let process = format!("{name} (process {})", pid.as_raw_nonzero());
            let waited = samples.entry(process.clone()).or_default().sample(pid);
            if waited > NOTABLE_PAUSE {
                late.push(format!("{process} {} ms", waited.as_millis()));
            }
        }
        if !late.is_empty() {
            let late = late.join(", ");
            self.log_fault(&format!("threads waited for a processor: {late}"));
        }
    }

    /// Notes that the soak did not run for some time: it and probably the daemons lacked processor time.
    fn note_pause(&self, time: Duration) {
        if time > NOTABLE_PAUSE {
            self.log_fault(&format!("the soak itself did not run for {time:?}"));
        }
        self.longest_pause.set(self.longest_pause.get().max(time));
    }
}
