//! The quarantine of crashing requests, shared by all threads of a daemon.
//!
//! Traffic asks for each request and reports what targets did; control exchanges the evidence with
//! other daemons. While there is no evidence, which is the rule, traffic reads one atomic and takes
//! no lock.

use {
    crate::{
        clock,
        tier::{meters, upstream::Call},
    },
    rattanturn_core::{
        Time,
        fingerprint::Fingerprint,
        quarantine::{ANSWER_MEMORY_TIME, Evidence, Quarantine, QuarantineChange, Recall, Verdict},
    },
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        rc::Rc,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// The quarantine of one daemon.
#[derive(Debug, Default)]
pub(crate) struct SharedQuarantine {
    state: Mutex<Quarantine>,
    /// Whether there is any evidence.
    active: AtomicBool,
    /// Wakes control when there is news for other daemons.
    news: Notify,
    /// Wakes traffic when there is new evidence.
    evidence: Notify,
}

impl SharedQuarantine {
    /// Whether there is evidence against any request. If not, no request needs a fingerprint.
    pub(crate) fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// What to do with a request.
    pub(crate) fn verdict(&self, request: Fingerprint) -> Verdict {
        self.with(|q| q.verdict(clock::now(), request))
    }

    /// What to do with the open calls of a request.
    pub(crate) fn recall(&self, request: Fingerprint) -> Recall {
        self.with(|q| q.recall(clock::now(), request))
    }

    /// The most suspected requests that are not quarantined.
    pub(crate) fn suspects(&self) -> Vec<Fingerprint> {
        self.with(|q| q.suspects(clock::now()))
    }

    /// Whether a trial may go to the only usable target of a service.
    pub(crate) fn may_try_lone_target(&self, request: Fingerprint) -> bool {
        self.with(|q| q.may_try_lone_target(clock::now(), request))
    }

    /// Records that a target ended while it had a call for a request; `run` identifies the run of its
    /// process.
    pub(crate) fn record_end(&self, request: Fingerprint, run: &str, trial: bool) {
        let change = self.with(|q| q.record_end(clock::now(), request, run, trial));
        log_change(request, change, "own");
        self.news.notify_one();
        self.evidence.notify_one();
    }

    /// Records that a target answered a request at a time before there was evidence.
    pub(crate) fn record_earlier_answer(&self, request: Fingerprint, at: Time) {
        let change = self.with(|q| q.record_earlier_answer(clock::now(), request, at));
        log_change(request, change, "own");
        self.news.notify_one();
    }

    /// Records that a target answered a request.
    pub(crate) fn record_answer(&self, request: Fingerprint) {
        let change = self.with(|q| q.record_answer(clock::now(), request));
        log_change(request, change, "own");
        self.news.notify_one();
    }

    /// Adds what a peer reports; true if any of it is new.
    pub(crate) fn merge(&self, reports: &[Evidence]) -> bool {
        let mut any_new = false;
        for report in reports {
            let (new, change) = self.with(|q| q.merge(clock::now(), report));
            log_change(report.request, change, "peer");
            any_new |= new;
        }
        if any_new {
            self.evidence.notify_one();
            // The reports may have met an answer that outdates them.
            self.news.notify_one();
        }
        any_new
    }

    /// Adds evidence that was read from the store, and passes on what is new.
    pub(crate) fn take_over(&self, stored: &Evidence) {
        if self.merge(std::slice::from_ref(stored)) {
            self.with(|q| q.pass_on(stored.request));
            self.news.notify_one();
        }
    }

    /// Waits until there is new evidence.
    pub(crate) async fn wait_evidence(&self) {
        self.evidence.notified().await;
    }

    /// Waits until there is news for other daemons.
    pub(crate) async fn wait_news(&self) {
        self.news.notified().await;
    }

    /// The evidence that changed here since the last call.
    pub(crate) fn take_news(&self) -> Vec<Evidence> {
        self.with(|q| q.take_news(clock::now()))
    }

    /// All evidence that other daemons were told of, the most important first.
    pub(crate) fn reports(&self) -> Vec<Evidence> {
        self.with(|q| q.reports(clock::now()))
    }

    /// The evidence against the quarantined requests.
    pub(crate) fn quarantined(&self) -> Vec<Evidence> {
        self.with(|q| q.quarantined(clock::now()))
    }

    /// Drops old evidence and exports the number of quarantined requests.
    pub(crate) fn maintain(&self) {
        let count = self.with(|q| {
            q.expire(clock::now());
            q.quarantined(clock::now()).len()
        });
        meters::set_quarantined_requests(count);
    }

    fn with<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let out = f(&mut state);
        self.active.store(!state.is_empty(), Ordering::Release);
        out
    }
}

fn log_change(request: Fingerprint, change: Option<QuarantineChange>, source: &str) {
    match change {
        Some(QuarantineChange::Suspected) => {
            tracing::warn!(fingerprint = %request, source, "targets ended under a request; it is tried with one call at a time");
        }
        Some(QuarantineChange::Quarantined) => {
            tracing::warn!(fingerprint = %request, source, "a request ends the targets that run it; it is refused");
        }
        Some(QuarantineChange::Cleared) => {
            tracing::info!(fingerprint = %request, source, "a target answered a suspected request; it is served again");
        }
        None => {}
    }
}

/// Most answered requests that a traffic thread remembers.
const MAX_ANSWERED: usize = 256;
/// Longest body of a request that is remembered, so that they take no more than 1 MiB together.
const MAX_ANSWERED_BODY: usize = 4 << 10;

/// Requests that targets have answered within [`ANSWER_MEMORY_TIME`], while there was no evidence
/// against any request. Their fingerprints are computed only once there is.
#[derive(Default)]
pub(crate) struct RecentAnswers(RefCell<VecDeque<(Time, Call)>>);

impl RecentAnswers {
    /// Remembers a request that was just answered. Several answers to a fan-out count as one.
    pub(crate) fn record(&self, now: Time, call: &Call) {
        let mut answered = self.0.borrow_mut();
        let repeated = answered
            .back()
            .is_some_and(|(_, last)| Rc::ptr_eq(&last.identity, &call.identity));
        if repeated || call.body.len() > MAX_ANSWERED_BODY {
            return;
        }
        while answered.len() >= MAX_ANSWERED
            || answered
                .front()
                .is_some_and(|(at, _)| now.since(*at) > ANSWER_MEMORY_TIME)
        {
            answered.pop_front();
        }
        answered.push_back((now, call.clone()));
    }

    /// Moves what is remembered to the quarantine.
    pub(crate) fn tell(&self, quarantine: &SharedQuarantine) {
        for (at, call) in self.0.take() {
            quarantine.record_earlier_answer(call.fingerprint(), at);
        }
    }
}

/// Trials that run on one traffic thread. Other copies of the request wait for the outcome.
#[derive(Debug, Default)]
pub(crate) struct Trials(RefCell<HashMap<Fingerprint, Rc<Notify>>>);

/// The right to run the only trial of a request. Dropping it wakes the copies that wait.
#[derive(Debug)]
pub(crate) struct TrialPermit<'a> {
    trials: &'a Trials,
    request: Fingerprint,
}

impl Trials {
    /// Starts a trial, or waits until the running one ends and returns `None`.
    pub(crate) async fn start_or_wait(&self, request: Fingerprint) -> Option<TrialPermit<'_>> {
        let running = self.0.borrow().get(&request).cloned();
        if let Some(running) = running {
            running.notified().await;
            return None;
        }
        self.0.borrow_mut().insert(request, Rc::default());
        Some(TrialPermit {
            trials: self,
            request,
        })
    }
}

impl Drop for TrialPermit<'_> {
    fn drop(&mut self) {
        if let Some(ended) = self.trials.0.borrow_mut().remove(&self.request) {
            ended.notify_waiters();
        }
    }
}
