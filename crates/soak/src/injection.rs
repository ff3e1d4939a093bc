//! Injects the faults of a run and undoes them.
//!
//! Faults overlap. If two that change the same setting of a stand-in or a proxy overlap, the one that
//! ends first undoes both.

use {
    crate::{
        daemons::Daemon,
        environment::CENTRES,
        plan::{Fault, FaultKind},
        runner::Runner,
        stops,
    },
    actix_rt::time::sleep,
    rattanturn_standins::{
        operator::set_evacuated,
        platform::Mode,
        proxy::{LinkMode, Proxy},
        shard,
    },
    rustix::process::Signal,
    std::{
        rc::Rc,
        slice::SliceIndex,
        time::{Duration, Instant},
    },
};

/// Factor by which a slow target's service time is multiplied.
const SLOW: f64 = 30.0;

impl Runner {
    /// Injects all faults at their times and returns when the last one is undone.
    pub(crate) async fn inject_faults(self: Rc<Self>, faults: &[Fault]) {
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
            FaultKind::Stop(i) => {
                let term = (Duration::ZERO, stops::StopSignal::Terminate);
                self.stop(i, &[term], Duration::ZERO).await;
            }
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
}
