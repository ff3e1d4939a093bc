//! Plays the faults of a seed while callers ask, then waits for everything to be served again.

use {
    crate::{
        CATCH_UP, Options, RECOVERY, Report,
        checks::{Checks, Edit, Kind},
        connection::{Connection, Ended},
        daemons::{DRAIN, Daemon, Shape},
        plan::{self, Event, Fault},
        proxy::{Link, Proxy},
        world::{CENTRES, World},
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
pub(crate) const SLACK: Duration = Duration::from_secs(1);
/// A slow target takes this many times as long.
const SLOW: f64 = 30.0;
/// Rounds of good answers from each daemon that show recovery.
const GOOD_ROUNDS: usize = 5;
/// A stopping daemon may take this long beyond its limit.
const STOP_SLACK: Duration = Duration::from_secs(2);
/// Interval of counting calls.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) struct Play {
    pub(crate) world: RefCell<World>,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    /// Before the store, by daemon.
    proxies: Vec<Proxy>,
    pub(crate) checks: RefCell<Checks>,
    edits: Cell<usize>,
    /// Faults of the store or the way to it that are under way, and until when they count.
    store_faults: Cell<usize>,
    pub(crate) next_id: Cell<u64>,
    pub(crate) over: Cell<bool>,
    log: RefCell<String>,
    begun: Instant,
}

/// Plays one seed.
pub(crate) async fn play(seed: u64, options: &Options) -> eyre::Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let folder = options
        .folder
        .join(format!("soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let world = World::spawn().await?;
    let bytes = std::process::id().to_le_bytes();
    let shape = Shape {
        program: &options.program,
        folder: &folder,
        net: (64 + bytes[1] % 64 + bytes[2] % 128, bytes[0]),
    };
    let (mut daemons, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..options.daemons {
        let proxy = world.store_proxy().await?;
        let centre = CENTRES[usize::from(number) % CENTRES.len()];
        daemons.push(Daemon::create(&shape, number, centre, proxy.addr)?);
        proxies.push(proxy);
    }
    let targets = world.targets.len();
    let faults = plan::draw(&mut rng, options.time, daemons.len(), targets);
    let play = Rc::new(Play {
        world: RefCell::new(world),
        daemons: RefCell::new(daemons),
        proxies,
        checks: RefCell::default(),
        edits: Cell::new(0),
        store_faults: Cell::new(0),
        next_id: Cell::new(0),
        over: Cell::new(false),
        log: RefCell::default(),
        begun: Instant::now(),
    });
    play.checks.borrow_mut().edits.push(Edit {
        at: Instant::now(),
        disturbed: false,
    });
    play.checks.borrow_mut().callers = u64::try_from(options.callers).unwrap_or(u64::MAX);
    play.start_all()?;
    play.recovered().await;
    let callers: Vec<_> = (0..options.callers)
        .map(|_| actix_rt::spawn(play.clone().call(ChaCha8Rng::seed_from_u64(rng.random()))))
        .collect();
    let watch = actix_rt::spawn(play.clone().watch());
    play.clone().disturb(&faults).await;
    play.recovered().await;
    play.over.set(true);
    for caller in callers {
        caller.await?;
    }
    watch.await?;
    sleep(SLACK).await;
    play.checks.borrow_mut().judge_targets(&play.world.borrow());
    play.daemons.borrow_mut().iter_mut().for_each(Daemon::kill);
    let checks = play.checks.take();
    let report = Report {
        seed,
        requests: checks.requests(),
        ends: checks.ends.into_iter().collect(),
        faults: faults.len(),
        broken: checks.broken,
        folder: folder.clone(),
    };
    if report.broken.is_empty() {
        fs::remove_dir_all(&folder)?;
    } else {
        let text = format!("{}\n{}", play.log.borrow(), report.broken.join("\n"));
        fs::write(folder.join("run.txt"), text)?;
    }
    Ok(report)
}

impl Play {
    fn start_all(&self) -> eyre::Result<()> {
        let mut all = self.daemons.borrow_mut();
        all.iter_mut()
            .filter(|d| !d.runs())
            .try_for_each(Daemon::start)
    }

    fn note(&self, text: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            self.log.borrow_mut(),
            "{:7.3} s  {text}",
            self.begun.elapsed().as_secs_f64()
        );
    }

    /// Plays all faults and returns when the last one is undone.
    async fn disturb(self: Rc<Self>, faults: &[Fault]) {
        let begun = Instant::now();
        let mut running = Vec::new();
        for fault in faults {
            sleep(fault.at.saturating_sub(begun.elapsed())).await;
            running.push(actix_rt::spawn(self.clone().one(*fault)));
        }
        for fault in running {
            // A task ends with the process only.
            let _ = fault.await;
        }
    }

    async fn one(self: Rc<Self>, fault: Fault) {
        self.note(&format!("{:?} for {:?}", fault.event, fault.lasts));
        match fault.event {
            Event::Pause(i) => self.pause(i, fault.lasts).await,
            Event::Kill(i) => self.kill(&[i], fault.lasts).await,
            Event::KillAll => {
                let all: Vec<usize> = (0..self.daemons.borrow().len()).collect();
                self.kill(&all, fault.lasts).await;
            }
            Event::Stop(i) => self.stop(i).await,
            Event::Reload(i) => self.daemons.borrow_mut()[i].signal(Signal::HUP),
            Event::Compact => self.world.borrow().store.compact(),
            Event::Configure => self.configure(),
            Event::Store(mode) => {
                self.store_fault();
                self.world.borrow().store.set_mode(mode);
                sleep(fault.lasts).await;
                self.world.borrow().store.set_mode(Mode::Up);
                self.store_healed();
            }
            Event::StoreLink(i, link) => {
                self.store_fault();
                self.proxies[i].set(link);
                sleep(fault.lasts).await;
                self.proxies[i].set(Link::Open);
                self.store_healed();
            }
            event => self.surround(event, fault.lasts).await,
        }
    }

    /// Faults of targets and data centres.
    async fn surround(&self, event: Event, lasts: Duration) {
        self.set(event, true);
        sleep(lasts).await;
        self.set(event, false);
    }

    fn set(&self, event: Event, on: bool) {
        let mut world = self.world.borrow_mut();
        match event {
            Event::Target(i, fault) => {
                let fault = if on { fault } else { shard::Fault::None };
                world.targets[i].state.set_fault(fault);
            }
            Event::Slow(i) => world.targets[i].state.set_slow(if on { SLOW } else { 1.0 }),
            Event::SlowService(i) => world.set_slow(i, if on { SLOW } else { 1.0 }),
            Event::TargetLink(i, link) => {
                world.targets[i]
                    .proxy
                    .set(if on { link } else { Link::Open });
            }
            Event::Withdraw(i) if on => world.withdraw(i),
            Event::Drain(i) if on => world.announce(i, "draining"),
            Event::Withdraw(i) | Event::Drain(i) => world.announce(i, "ready"),
            Event::TakeOut(i) => take_out(&world.store, CENTRES[i], on),
            _ => {}
        }
    }

    fn configure(&self) {
        let next = self.edits.get() + 1;
        self.edits.set(next);
        self.world.borrow_mut().configure(next);
        self.checks.borrow_mut().edits.push(Edit {
            at: Instant::now(),
            disturbed: self.store_faults.get() > 0,
        });
    }

    fn store_fault(&self) {
        self.store_faults.set(self.store_faults.get() + 1);
        let now = Instant::now();
        let mut checks = self.checks.borrow_mut();
        let recent = |e: &&mut Edit| now < e.at + CATCH_UP;
        checks
            .edits
            .iter_mut()
            .filter(recent)
            .for_each(|e| e.disturbed = true);
    }

    fn store_healed(self: &Rc<Self>) {
        let play = self.clone();
        actix_rt::spawn(async move {
            sleep(CATCH_UP).await;
            play.store_faults.set(play.store_faults.get() - 1);
        });
    }

    async fn pause(&self, i: usize, lasts: Duration) {
        if !self.daemons.borrow()[i].serves() {
            return;
        }
        let incarnation = self.daemons.borrow()[i].incarnation;
        self.daemons.borrow_mut()[i].signal(Signal::STOP);
        sleep(lasts).await;
        if self.daemons.borrow()[i].incarnation == incarnation {
            self.daemons.borrow_mut()[i].signal(Signal::CONT);
        }
    }

    async fn kill(&self, list: &[usize], lasts: Duration) {
        for i in list {
            self.daemons.borrow_mut()[*i].kill();
        }
        sleep(lasts).await;
        let mut daemons = self.daemons.borrow_mut();
        for i in list {
            if !daemons[*i].runs()
                && let Err(error) = daemons[*i].start()
            {
                self.checks.borrow_mut().fail(error.to_string());
            }
        }
    }

    /// Asks a daemon to stop and starts it again once it has ended.
    async fn stop(&self, i: usize) {
        if !self.daemons.borrow()[i].serves() {
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
            if !daemon.runs() {
                if let Err(error) = daemon.start() {
                    self.checks.borrow_mut().fail(error.to_string());
                }
                return;
            }
            if begun.elapsed() > DRAIN + STOP_SLACK && !daemon.disturbed(begun, Instant::now()) {
                let text = format!("{} did not stop in time", daemon.name);
                self.checks.borrow_mut().fail(text);
                daemon.kill();
            }
        }
    }

    /// Notes daemons that end by themselves, and how many calls targets get.
    async fn watch(self: Rc<Self>) {
        let mut sampled = Instant::now();
        while !self.over.get() {
            sleep(Duration::from_millis(20)).await;
            if sampled.elapsed() > SAMPLE_INTERVAL {
                sampled = Instant::now();
                self.checks.borrow_mut().sample(&self.world.borrow());
            }
            for daemon in self.daemons.borrow_mut().iter_mut() {
                let Some(status) = daemon.ended() else {
                    continue;
                };
                if daemon.stopping.is_none() || !status.success() {
                    let text = format!("{} ended by itself: {status}", daemon.name);
                    self.checks.borrow_mut().fail(text);
                }
            }
        }
    }

    /// Waits until each daemon serves every kind of request whole, several times in a row.
    async fn recovered(&self) {
        if let Err(error) = self.start_all() {
            self.checks.borrow_mut().fail(error.to_string());
        }
        let end = Instant::now() + RECOVERY;
        let mut good = 0;
        while good < GOOD_ROUNDS {
            match self.round().await {
                None => good += 1,
                Some(why) if Instant::now() > end => {
                    let text = format!("not served again in time: {why}");
                    self.checks.borrow_mut().fail(text);
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
    async fn round(&self) -> Option<String> {
        let fronts: Vec<(String, SocketAddr, SocketAddr)> = {
            let daemons = self.daemons.borrow();
            let all = daemons.iter();
            all.map(|d| (d.name.clone(), d.front(), d.ready()))
                .collect()
        };
        for (name, front, ready) in fronts {
            let mut connection = Connection::default();
            let limit = Duration::from_secs(3);
            match connection.ask(ready, READY_PATH, "ready", "", limit).await {
                Ended::Answered(answer) if answer.status == 200 => {}
                other => return Some(format!("{name} is not ready: {other:?}")),
            }
            for kind in Kind::ALL {
                let number = self.next_id.get();
                self.next_id.set(number + 1);
                let id = format!("r{number}");
                let mut connection = Connection::default();
                self.checks.borrow_mut().count(kind);
                let ended = connection.ask(front, kind.path(), &id, "", limit).await;
                match ended {
                    Ended::Answered(a) if a.status == 200 && whole(kind, &a) => {}
                    Ended::Answered(a) => {
                        let missing = a.source().missing;
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

fn whole(kind: Kind, answer: &crate::connection::Answer) -> bool {
    kind != Kind::Gather || answer.source().missing == Some(0)
}
