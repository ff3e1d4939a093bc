//! Which requests are kept away from targets, because targets end when they run them.
//!
//! A bug in a target can let one request end its process. Retries, hedges and callers that try again
//! then send the request to one target after the other. A target can also end for another reason, and
//! what it had at the time is innocent. So a request becomes *suspected* once [`SUSPECTED_FROM`]
//! targets have ended under it and none has answered it since: it then gets a single call, a *trial*.
//! If that call's target ends as well, the request is *quarantined*: it is refused without any call. A
//! single answer clears a request at any time, so a popular request is not held back while a data
//! centre dies: it succeeds elsewhere, and a request that ends all targets never does.
//!
//! The evidence is a set of targets that ended, so reports of several daemons merge in any order and
//! count no target twice. An answer starts a new round with no evidence, which outdates all reports
//! of earlier rounds.
//!
//! A quarantined request is tried again after a pause that grows with each failed trial, by one daemon
//! at a time, see [`is_turn_of`]: its targets may have been mended. The price is one target each time.

use {
    crate::{NodeId, Time, fingerprint::Fingerprint, rendezvous},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Number of ended targets from which on a request gets a single call at a time.
pub const SUSPECTED_FROM: usize = 2;
/// Number of ended targets from which on a request whose trial has failed is quarantined.
pub const QUARANTINED_FROM: usize = 3;
/// Most ended targets that are remembered of one request.
const MAX_ENDED: usize = 4;
/// Most requests that are remembered. One takes some 100 bytes in memory and about as much in a
/// message.
pub const MAX_REQUESTS: usize = 256;
/// Pause before the first trial of a quarantined request.
const TRIAL_PAUSE: Duration = Duration::from_secs(30);
/// Factor by which each further failed trial lengthens the pause. Every trial of a request that is not
/// mended costs a target, so there are three in the first ten minutes.
const PAUSE_FACTOR: u32 = 4;
/// Longest pause between two trials.
const MAX_TRIAL_PAUSE: Duration = Duration::from_mins(30);
/// Time for which one daemon may make a trial that is due; then it is the turn of the next one, which
/// may be the one that callers send the request to.
const TRIAL_TURN: Duration = Duration::from_secs(5);
/// A failed trial of a request tells nothing if a more suspected one lost a target within this time,
/// which may have been on trial at the same target: daemons differ for a moment in which targets are
/// usable, and so in the targets that they choose.
const TRIAL_OVERLAP: Duration = Duration::from_secs(1);
/// Time after the last end from which on a trial may go to the only usable target of a service, if no
/// service has another one. Targets that start again are back by then.
const LONE_TARGET_PAUSE: Duration = Duration::from_secs(30);
/// Number of the most suspected requests whose trials others keep away from. It bounds the cost of the
/// choice, which is made repeatedly while a request waits.
const MAX_AVOIDED_TRIALS: usize = 16;
/// A first target that ended under a request is told to others after this time, unless a target has
/// answered the request meanwhile. When a data centre dies, most of its open requests succeed elsewhere
/// so soon.
const NEWS_DELAY: Duration = Duration::from_millis(100);
/// Targets that end within this time after an answer to a request do not speak against it. A popular
/// request that loses targets by chance is thus not suspected before its next answer.
pub const ANSWER_MEMORY_TIME: Duration = Duration::from_secs(1);
/// Most requests whose last answer is remembered.
const MAX_ANSWERS: usize = 256;
/// Open calls of a request are stopped this long after it became suspected. An innocent one is often
/// cleared meanwhile by an answer of another service or by a daemon that had one, which takes some
/// milliseconds. A crashing one goes on to end targets that its other copies have called.
const RECALL_DELAY: Duration = Duration::from_millis(15);
/// Evidence against a suspected request is dropped if no target ended under it for this time, which
/// is longer than any pause.
const MEMORY_TIME: Duration = Duration::from_hours(1);
/// Time for which other evidence is kept. A cleared request is remembered so long, in order that
/// reports from before do not count again.
const SHORT_MEMORY_TIME: Duration = Duration::from_mins(2);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It gets a single call to a single target; what follows depends on its end.
    Trial,
    /// It is refused; `wait` is the time until the next trial.
    Refuse {
        /// Time until the next trial.
        wait: Duration,
    },
    /// It is quarantined, and a trial is due. The daemon whose turn it is makes it, and all others
    /// refuse the request, see [`is_turn_of`].
    TrialDue {
        /// Number of the daemon whose turn it is, in the order of the request's ranking.
        turn: u64,
        /// Time until the turn of the next daemon.
        wait: Duration,
    },
}

/// What to do with the open calls of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recall {
    /// They go on.
    Continue,
    /// They go on for this time; then the question is to be asked again.
    Wait(Duration),
    /// They are stopped.
    Stop,
}

/// Evidence against one request, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The request.
    pub request: Fingerprint,
    /// Number of times that an answer has cleared it.
    pub round: u32,
    /// Digests of the runs of targets that ended under it in this round, the lowest few.
    pub ended: BTreeSet<u32>,
    /// Failed trials in this round, as far as the sender knows.
    pub trials: u32,
    /// Milliseconds since the last target ended under it, or since it was cleared.
    pub age_ms: u64,
}

/// A change that operators should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Targets have ended under the request, which gets a single call at a time from now on.
    Suspected,
    /// The request is refused from now on.
    Quarantined,
    /// A target has answered the request, and it is served like any other.
    Cleared,
}

#[derive(Clone, Debug)]
struct Entry {
    round: u32,
    ended: BTreeSet<u32>,
    trials: u32,
    changed_at: Time,
    /// When the request became suspected here in this round.
    suspected_at: Option<Time>,
    /// Whether another daemon may know of it.
    shared: bool,
}

impl Entry {
    fn new(now: Time) -> Self {
        Self {
            round: 0,
            ended: BTreeSet::new(),
            trials: 0,
            changed_at: now,
            suspected_at: None,
            shared: false,
        }
    }

    /// A second failed trial suffices: targets that start again under their ids count only once.
    fn is_quarantined(&self) -> bool {
        let enough = self.ended.len() >= QUARANTINED_FROM || self.trials > 1;
        self.is_suspected() && self.trials > 0 && enough
    }

    fn is_suspected(&self) -> bool {
        self.ended.len() >= SUSPECTED_FROM
    }

    /// 0 without suspicion, 1 if suspected, 2 if quarantined.
    fn level(&self) -> u8 {
        u8::from(self.is_suspected()) + u8::from(self.is_quarantined())
    }

    fn add_ended(&mut self, now: Time, targets: impl IntoIterator<Item = u32>) {
        self.ended.extend(targets);
        if self.is_suspected() {
            self.suspected_at.get_or_insert(now);
        }
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_last();
        }
    }

    fn is_expired(&self, now: Time) -> bool {
        let time = if self.is_suspected() {
            MEMORY_TIME
        } else {
            SHORT_MEMORY_TIME
        };
        now.since(self.changed_at) > time
    }

    /// Whether a change is to be told now.
    fn is_due(&self, now: Time) -> bool {
        let urgent = self.is_suspected() || self.ended.is_empty();
        urgent || now.since(self.changed_at) >= NEWS_DELAY
    }

    /// How long a quarantined request is refused after its last failed trial.
    fn pause(&self) -> Duration {
        let further = self.trials.saturating_sub(1).min(8);
        (TRIAL_PAUSE * PAUSE_FACTOR.pow(further)).min(MAX_TRIAL_PAUSE)
    }
}

/// All requests that targets have ended under.
///
/// ```
/// use rattanturn_core::{Time, fingerprint::*, quarantine::*};
/// let parts = RequestParts { method: "GET", host: "a", path: "/b", caller: b"", body: b"" };
/// let request = Fingerprint::of(&parts);
/// let (mut quarantine, now) = (Quarantine::default(), Time::from_millis(1_000));
/// quarantine.record_end(now, request, "i-1", false);
/// assert_eq!(quarantine.verdict(now, request), Verdict::Clear);
/// quarantine.record_end(now, request, "i-2", false);
/// assert_eq!(quarantine.verdict(now, request), Verdict::Trial);
/// quarantine.record_end(now, request, "i-3", true);
/// assert!(matches!(quarantine.verdict(now, request), Verdict::Refuse { .. }));
/// quarantine.record_answer(now, request);
/// assert_eq!(quarantine.verdict(now, request), Verdict::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: HashMap<Fingerprint, Entry>,
    /// Requests whose evidence changed here since [`Quarantine::take_news`].
    news: BTreeSet<Fingerprint>,
    /// When requests were last answered, as far as that is at most [`ANSWER_MEMORY_TIME`] ago.
    answers: HashMap<Fingerprint, Time>,
}

impl Quarantine {
    /// What to do with a request.
    #[must_use]
    pub fn verdict(&self, now: Time, request: Fingerprint) -> Verdict {
        let Some(entry) = self.entries.get(&request) else {
            return Verdict::Clear;
        };
        if !entry.is_suspected() || entry.is_expired(now) {
            return Verdict::Clear;
        }
        if !entry.is_quarantined() {
            return Verdict::Trial;
        }
        let due = entry.changed_at + entry.pause();
        if now < due {
            return Verdict::Refuse {
                wait: due.since(now),
            };
        }
        let (passed, turn) = (millis(now.since(due)), millis(TRIAL_TURN));
        Verdict::TrialDue {
            turn: passed / turn,
            wait: Duration::from_millis(turn - passed % turn),
        }
    }

    /// What to do with the calls of a request that were made while nothing spoke against it.
    #[must_use]
    pub fn recall(&self, now: Time, request: Fingerprint) -> Recall {
        let entry = self.entries.get(&request).filter(|e| !e.is_expired(now));
        let Some(since) = entry.and_then(|e| e.suspected_at) else {
            return Recall::Continue;
        };
        let due = since + RECALL_DELAY;
        if now < due {
            return Recall::Wait(due.since(now));
        }
        Recall::Stop
    }

    /// The suspected requests that are on trial, or wait for it, at any daemon; the most suspected first.
    #[must_use]
    pub fn suspects(&self, now: Time) -> Vec<Fingerprint> {
        let suspected = |e: &Entry| e.level() == 1 && !e.is_expired(now);
        let suspects = self.entries.iter().filter(|(_, e)| suspected(e));
        let mut suspects: Vec<_> = suspects.collect();
        suspects
            .sort_by_key(|(request, e)| (std::cmp::Reverse((e.trials, e.ended.len())), **request));
        suspects.truncate(MAX_AVOIDED_TRIALS);
        suspects.into_iter().map(|(request, _)| *request).collect()
    }

    /// Whether a trial may go to the only usable target of a service, see [`trial_target`].
    #[must_use]
    pub fn may_try_lone_target(&self, now: Time, request: Fingerprint) -> bool {
        let entry = self.entries.get(&request);
        entry.is_none_or(|e| now.since(e.changed_at) >= LONE_TARGET_PAUSE)
    }

    /// Records that a target ended while it had a call for the request. `target` identifies the run of
    /// its process, and `trial` tells whether the call was a trial, which counts as failed unless a more
    /// suspected request may have ended the target.
    pub fn record_end(
        &mut self,
        now: Time,
        request: Fingerprint,
        target: &str,
        trial: bool,
    ) -> Option<QuarantineChange> {
        self.make_room(now, request);
        let failed = trial && !self.is_outdone(now, request);
        let entry = self.entries.entry(request).or_insert(Entry::new(now));
        let before = entry.level();
        // The lower half is as good a digest as the whole.
        #[allow(clippy::cast_possible_truncation)]
        entry.add_ended(now, [rendezvous::key(target) as u32]);
        entry.trials = entry.trials.saturating_add(u32::from(failed));
        entry.changed_at = now;
        self.news.insert(request);
        let after = self.clear_if_answered(now, request);
        change(before, after)
    }

    /// Whether more targets ended under another request, the last of them within [`TRIAL_OVERLAP`]. At
    /// most [`MAX_ENDED`] count, so a crashing request is outdone for a few ends at most.
    fn is_outdone(&self, now: Time, request: Fingerprint) -> bool {
        let ended = self.entries.get(&request).map_or(0, |e| e.ended.len());
        self.entries.values().any(|e| {
            e.is_suspected() && e.ended.len() > ended && now.since(e.changed_at) <= TRIAL_OVERLAP
        })
    }

    /// Records that a target answered the request, which clears it.
    pub fn record_answer(&mut self, now: Time, request: Fingerprint) -> Option<QuarantineChange> {
        self.remember_answer(now, request, now);
        self.clear(now, request)
    }

    /// Records that a target answered the request at an earlier time, which clears it unless a target
    /// ended under it more than [`ANSWER_MEMORY_TIME`] later.
    pub fn record_earlier_answer(
        &mut self,
        now: Time,
        request: Fingerprint,
        at: Time,
    ) -> Option<QuarantineChange> {
        self.remember_answer(now, request, at);
        let before = self.entries.get(&request)?.level();
        let after = self.clear_if_answered(now, request);
        change(before, after)
    }

    fn remember_answer(&mut self, now: Time, request: Fingerprint, at: Time) {
        if now.since(at) > ANSWER_MEMORY_TIME {
            return;
        }
        if self.answers.len() >= MAX_ANSWERS && !self.answers.contains_key(&request) {
            self.answers
                .retain(|_, at| now.since(*at) <= ANSWER_MEMORY_TIME);
            let oldest = self.answers.iter().min_by_key(|(r, at)| (**at, **r));
            if self.answers.len() >= MAX_ANSWERS
                && let Some(oldest) = oldest.map(|(r, _)| *r)
            {
                self.answers.remove(&oldest);
            }
        }
        let last = self.answers.entry(request).or_insert(at);
        *last = at.max(*last);
    }

    /// Clears the request if it was answered shortly before the last target ended under it. Returns its
    /// level.
    fn clear_if_answered(&mut self, now: Time, request: Fingerprint) -> u8 {
        let Some(entry) = self.entries.get(&request) else {
            return 0;
        };
        let answered = self.answers.get(&request);
        if answered.is_some_and(|at| entry.changed_at <= *at + ANSWER_MEMORY_TIME) {
            self.clear(now, request);
        }
        self.entries.get(&request).map_or(0, Entry::level)
    }

    /// Starts the next round of a request, without evidence.
    fn clear(&mut self, now: Time, request: Fingerprint) -> Option<QuarantineChange> {
        let entry = self.entries.get_mut(&request)?;
        if entry.ended.is_empty() {
            return None;
        }
        let before = entry.level();
        if !entry.shared {
            self.entries.remove(&request);
            self.news.remove(&request);
            return change(before, 0);
        }
        entry.round = entry.round.saturating_add(1);
        entry.ended.clear();
        entry.suspected_at = None;
        entry.trials = 0;
        entry.changed_at = now;
        self.news.insert(request);
        change(before, 0)
    }

    /// Adds what a peer reports, and returns whether it is new here.
    pub fn merge(&mut self, now: Time, report: &Evidence) -> (bool, Option<QuarantineChange>) {
        let at = now - Duration::from_millis(report.age_ms);
        let known = self.entries.contains_key(&report.request);
        let says_nothing = report.round == 0 && report.ended.is_empty();
        if !known && (says_nothing || report.age_ms > millis(MEMORY_TIME)) {
            return (false, None);
        }
        self.make_room(now, report.request);
        let entry = self.entries.entry(report.request).or_insert(Entry::new(at));
        let (before, old) = (
            entry.level(),
            (entry.round, entry.ended.clone(), entry.trials),
        );
        if report.round > entry.round {
            *entry = Entry {
                round: report.round,
                ..Entry::new(at)
            };
        }
        if report.round == entry.round {
            entry.add_ended(now, report.ended.iter().copied());
            entry.trials = entry.trials.max(report.trials);
            entry.changed_at = entry.changed_at.max(at);
        }
        entry.shared = true;
        let new = !known || old != (entry.round, entry.ended.clone(), entry.trials);
        let after = self.clear_if_answered(now, report.request);
        (new, change(before, after))
    }

    /// Makes the evidence against a request news, to be told to other daemons as well.
    pub fn pass_on(&mut self, request: Fingerprint) {
        if self.entries.contains_key(&request) {
            self.news.insert(request);
        }
    }

    /// The evidence that changed here since the last call, to be told to other daemons. Some of it is
    /// due only a little later, so this is to be called regularly.
    pub fn take_news(&mut self, now: Time) -> Vec<Evidence> {
        let mut out = Vec::new();
        for request in std::mem::take(&mut self.news) {
            let Some(entry) = self.entries.get_mut(&request) else {
                continue;
            };
            if entry.is_due(now) {
                entry.shared = true;
                out.extend(self.report(now, request));
            } else {
                self.news.insert(request);
            }
        }
        out
    }

    /// All evidence that other daemons were told of, for one that may know less; what is most
    /// suspected and newest comes first.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<Evidence> {
        let mut shared: Vec<_> = self.entries.iter().filter(|(_, e)| e.shared).collect();
        shared.sort_by_key(|(request, e)| std::cmp::Reverse((e.level(), e.changed_at, **request)));
        let requests = shared.into_iter().map(|(request, _)| *request);
        requests.filter_map(|r| self.report(now, r)).collect()
    }

    /// The evidence against the quarantined requests.
    #[must_use]
    pub fn quarantined(&self, now: Time) -> Vec<Evidence> {
        let entries = self.entries.iter().filter(|(_, e)| e.is_quarantined());
        let requests = entries.map(|(request, _)| *request);
        requests.filter_map(|r| self.report(now, r)).collect()
    }

    /// Drops evidence that is too old.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, e| !e.is_expired(now));
        self.answers
            .retain(|_, at| now.since(*at) <= ANSWER_MEMORY_TIME);
    }

    /// Whether there is any evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn report(&self, now: Time, request: Fingerprint) -> Option<Evidence> {
        let entry = self.entries.get(&request)?;
        Some(Evidence {
            request,
            round: entry.round,
            ended: entry.ended.clone(),
            trials: entry.trials,
            age_ms: millis(now.since(entry.changed_at)),
        })
    }

    /// Drops the least important evidence if there is no room for another request: what is least
    /// suspected, and of that the oldest.
    fn make_room(&mut self, now: Time, request: Fingerprint) {
        if self.entries.len() < MAX_REQUESTS || self.entries.contains_key(&request) {
            return;
        }
        self.expire(now);
        while self.entries.len() >= MAX_REQUESTS {
            let least = self.entries.iter().min_by_key(|(request, entry)| {
                (
                    entry.level(),
                    entry.ended.len(),
                    entry.changed_at,
                    **request,
                )
            });
            let Some(request) = least.map(|(request, _)| *request) else {
                return;
            };
            self.entries.remove(&request);
            self.news.remove(&request);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// What a change of the level means.
fn change(before: u8, after: u8) -> Option<QuarantineChange> {
    match (before, after) {
        (0, 1) => Some(QuarantineChange::Suspected),
        (0 | 1, 2) => Some(QuarantineChange::Quarantined),
        (1 | 2, 0) => Some(QuarantineChange::Cleared),
        _ => None,
    }
}

/// Whether `me` makes a due trial in the given turn, out of the daemons that callers are sent to.
///
/// Daemons that know the same daemons agree; if they differ for a moment, a trial may be made twice.
#[must_use]
pub fn is_turn_of(
    me: NodeId,
    daemons: impl IntoIterator<Item = NodeId>,
    request: Fingerprint,
    turn: u64,
) -> bool {
    let ranked = rendezvous::top(daemons, request.key(), usize::MAX);
    let count = ranked.len().max(1) as u64;
    // The remainder is below the number of daemons.
    #[allow(clippy::cast_possible_truncation)]
    let at = (turn % count) as usize;
    ranked.get(at) == Some(&me)
}

/// Chooses the target of a trial by the ids of the usable targets of each service that the request may
/// use.
///
/// The last usable target of a service is left to other requests, so there may be none, unless
/// `lone_allowed`. Daemons that know the same targets and suspects choose the same one, so that trials
/// at several daemons at once end a single target. The targets that earlier ones of `suspects` choose are
/// avoided: a trial that shares its target with a crashing request fails with it.
///
/// ```
/// use rattanturn_core::{fingerprint::*, quarantine::trial_target};
/// let parts = RequestParts { method: "GET", host: "a", path: "/b", caller: b"", body: b"" };
/// let request = Fingerprint::of(&parts);
/// assert_eq!(trial_target(request, &[], &[vec!["i-1"], vec!["i-2"]], false), None);
/// let chosen = trial_target(request, &[], &[vec!["i-1"], vec!["i-2", "i-3"]], false);
/// assert!(chosen == Some("i-2") || chosen == Some("i-3"));
/// ```
#[must_use]
pub fn trial_target<'a>(
    request: Fingerprint,
    suspects: &[Fingerprint],
    services: &[Vec<&'a str>],
    lone_allowed: bool,
) -> Option<&'a str> {
    let with = |min: usize| -> Vec<(NodeId, &'a str)> {
        let targets = services.iter().filter(|s| s.len() >= min).flatten();
        let keyed = targets.map(|id| (NodeId(rendezvous::key(id)), *id));
        keyed.collect()
    };
    let mut all = with(2);
    if all.is_empty() && lone_allowed {
        all = with(1);
    }
    let mut free = all.clone();
    let mut choose = |request: Fingerprint| {
        if free.is_empty() {
            free.clone_from(&all);
        }
        let best = (0..free.len())
            .max_by_key(|i| (rendezvous::score(free[*i].0, request.key()), free[*i].1))?;
        Some(free.swap_remove(best).1)
    };
    for earlier in suspects.iter().take_while(|s| **s != request) {
        choose(*earlier);
    }
    choose(request)
}
