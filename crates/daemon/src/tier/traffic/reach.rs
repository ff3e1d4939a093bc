//! Notices when this daemon has lost the targets as a whole, and when it has regained them.

use {
    super::Traffic,
    crate::{
        clock,
        tier::{meters, upstream::Upstream},
    },
    rattanturn_core::{Time, reach::ReachChange},
    std::{rc::Rc, sync::atomic::Ordering, time::Duration},
};

/// Number of targets that are probed when none answers.
const SILENCE_PROBES: usize = 6;
/// Time in which one of them must accept a connection, which takes some milliseconds.
const SILENCE_PROBE_TIME: Duration = Duration::from_millis(200);

impl Traffic {
    /// When any target last answered.
    pub(crate) fn last_heard(&self) -> Time {
        self.calls.heard.get()
    }

    /// Completes when this daemon finds that it reaches no target any more.
    pub(crate) async fn targets_lost(&self) {
        self.lost.notified().await;
    }

    /// Judges whether this daemon has lost the targets; to be called every 50 ms.
    pub(crate) fn watch_reach(self: &Rc<Self>) {
        self.watch_silence();
        self.judge_reach();
        let lost = self.reach.borrow().is_lost();
        let withdrawn = self.relay.is_withdrawn(lost);
        self.gauges.targets_lost.store(lost, Ordering::Relaxed);
        self.gauges.withdrawn.store(withdrawn, Ordering::Relaxed);
    }

    /// Starts to probe targets if none answers.
    fn watch_silence(self: &Rc<Self>) {
        let now = clock::now();
        let upstreams = self.upstreams.borrow();
        let waiting = |since| upstreams.values().filter(|u| u.waits_since(since)).count();
        let mut silence = self.silence.borrow_mut();
        let silent = silence.check(now, self.last_heard(), waiting);
        if silent && !self.reach.borrow().is_lost() {
            silence.reset(now);
            actix_rt::spawn(probe_silent_targets(self.clone()));
        }
    }

    /// Updates whether most targets are lost, of those about which anything is known.
    fn judge_reach(&self) {
        let upstreams = self.upstreams.borrow();
        // Targets that leave, or whose address another target has now, have been reached.
        let used = upstreams.values().filter(|u| u.is_used());
        let tried = used.filter(|u| u.was_tried());
        let known = tried.clone().count();
        let available = tried.filter(|u| u.is_available()).count();
        meters::set_unreachable_targets(known - available);
        let change = self.reach.borrow_mut().update(available, known);
        match change {
            Some(ReachChange::Lost) => {
                tracing::warn!(available, known, "most targets are out of reach");
            }
            Some(ReachChange::Regained) => {
                tracing::info!(available, known, "most targets are within reach again");
            }
            None => {}
        }
    }
}

/// Opens a connection to some targets after none has answered for a while. If none accepts, all
/// targets count as down, and each is probed until it accepts one.
async fn probe_silent_targets(traffic: Rc<Traffic>) {
    let all: Vec<Rc<Upstream>> = traffic.upstreams.borrow().values().cloned().collect();
    let step = all.len().div_ceil(SILENCE_PROBES).max(1);
    let probes = all.iter().step_by(step);
    let probes = probes.map(|u| u.accepts_connection(SILENCE_PROBE_TIME));
    let results = futures::future::join_all(probes).await;
    if results.contains(&true) {
        traffic.silence.borrow_mut().reset(clock::now());
        return;
    }
    tracing::warn!(
        targets = all.len(),
        "no target answers or accepts a connection"
    );
    for upstream in &all {
        upstream.mark_down();
    }
    traffic.judge_reach();
    traffic.lost.notify_waiters();
}
