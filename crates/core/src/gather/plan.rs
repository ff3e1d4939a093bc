//! Inputs and outputs of a query: its plan, the replies to its calls, the actions it requests, its
//! budgets and its answer.

use {
    crate::{Time, hedge::Budget},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Number of an attempt within its query, counted from 0 in the order of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Why a service is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissingReason {
    /// No answer arrived before the query's deadline or cutoff, or too little time was left for a
    /// call.
    Deadline,
    /// Its targets, or the connections to them, had no capacity for the call.
    Busy,
    /// Its targets limit their rate, and this daemon's share of it is used up.
    Limited,
    /// Its targets could not be reached or are shutting down.
    Unreachable,
    /// Its target went out of use before the call was sent.
    Withdrawn,
    /// No daemon that holds its targets could be found.
    NoHolder,
    /// Its targets do not serve the snapshot that the query asked for.
    Snapshot,
    /// A call may have run, but it failed or its answer was lost.
    Failed,
    /// It has no targets, because their data centres are evacuated.
    Evacuated,
    /// Targets end when they run the request, so none is called.
    Quarantined,
    /// Targets are overloaded, and other requests are more urgent or of accounts that ask for less.
    Overload,
    /// The request's caller was refused before the call was sent, for example because its key was
    /// revoked.
    Unauthorized,
    /// The daemon has no memory left for the answers of its targets.
    Memory,
}

impl MissingReason {
    /// Name of the reason in answers, metric labels and traces.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Busy => "busy",
            Self::Limited => "limited",
            Self::Unreachable => "unreachable",
            Self::Withdrawn => "withdrawn",
            Self::NoHolder => "no-holder",
            Self::Snapshot => "snapshot",
            Self::Failed => "failed",
            Self::Evacuated => "out",
            Self::Quarantined => "quarantined",
            Self::Overload => "overload",
            Self::Unauthorized => "unauthorized",
            Self::Memory => "memory",
        }
    }
}

impl fmt::Display for MissingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The target answered.
    Done {
        /// Index version that the target answered from.
        snapshot: u64,
        /// The target's part of the final answer.
        body: Vec<u8>,
    },
    /// The target does not serve the requested snapshot and did not run the call.
    WrongSnapshot,
    /// The call certainly did not run, so that a retry is always safe.
    NotRun(MissingReason),
    /// Like `NotRun`, and its target got no work by it: the call was not sent, or the target answered that
    /// it leaves. Such a call does not keep the query from targets that it has not tried.
    Unsent(MissingReason),
    /// The call may have run, but it failed or its answer was lost; it is retried only if the plan
    /// is idempotent.
    Failed,
    /// Like `Failed`, because the target's process ended while it had the call.
    Ended,
}

/// What a query calls and within which limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Targets of each service in the order to try them, without those in evacuated data centres.
    ///
    /// A service without targets is missing as [`MissingReason::Evacuated`]. A target may occur
    /// more than once.
    pub services: Vec<Vec<usize>>,
    /// Time after which an open call of a service is hedged, one for each service.
    pub hedge_delays: Vec<Duration>,
    /// Time at which the answer is final, even if services are missing.
    pub deadline: Time,
    /// Index version to ask for; with [`crate::snapshot::ANY`] it is that of the first answer.
    pub snapshot: u64,
    /// Whether slow calls are hedged; false for calls that must not run twice.
    pub hedging: bool,
    /// Whether a call that may have run is retried.
    pub idempotent: bool,
    /// Limit on the calls for one service on one snapshot: the first, its retries and its hedge. A call
    /// that ended as [`MissingReason::Withdrawn`] does not count, as far as there is one for each target.
    /// Targets that were not tried yet are called while fewer calls than this were other than
    /// [`Reply::Unsent`].
    pub max_attempts: usize,
    /// From this number of targets on that ended while they had calls of the query, services whose
    /// target ended are not called again until another one has answered: the query itself may have
    /// ended them. See [`max_ended`].
    pub max_ended: usize,
    /// When to finish early with enough parts; `None` waits for all of them or the deadline.
    pub cutoff: Option<Cutoff>,
    /// Number of the budget in [`Budgets`] that each service draws on; empty if all use number 0.
    pub budgets: Vec<usize>,
}

/// The usual value of [`Plan::max_ended`] for a query over this number of services.
///
/// Other services of a fan-out soon tell whether targets can answer it. With a single one, only a
/// second call can tell.
#[must_use]
pub fn max_ended(services: usize) -> usize {
    if services > 1 { 1 } else { 2 }
}

/// When an incomplete answer now is better than a complete one later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cutoff {
    /// Time from which an incomplete answer may be given.
    pub at: Time,
    /// Number of services that the answer must cover at least.
    pub min_parts: usize,
}

/// What the caller of [`super::Gather`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call and pass its end to [`super::Gather::reply`].
    Call {
        /// Identifies the call in the reply and in a later [`Action::Cancel`].
        attempt: AttemptId,
        /// Index of the service in the plan.
        service: usize,
        /// Target to call, one of the service's in the plan.
        target: usize,
        /// Index version to ask for.
        snapshot: u64,
    },
    /// The query no longer needs this call and ignores its reply. Cancelling it is optional.
    Cancel(AttemptId),
    /// The answer is final; take it with [`super::Gather::into_parts`].
    Finish,
}

/// Budgets for extra calls, which are all calls but the first one for a service.
#[derive(Clone, Copy, Debug)]
pub struct BudgetPair {
    /// For hedges.
    pub hedge: Budget,
    /// For retries after a refusal or failure.
    pub retry: Budget,
}

impl Default for BudgetPair {
    /// Both together allow extra calls for a tenth of the first calls, beyond their bursts.
    fn default() -> Self {
        Self {
            hedge: Budget::new(0.07, 10.0),
            retry: Budget::new(0.03, 10.0),
        }
    }
}

impl BudgetPair {
    /// Withdraws one retry, from the hedge budget if the retry budget is empty: a hedge may turn
    /// out to be unnecessary, but without the retry the service is missing from the answer.
    pub fn try_withdraw_retry(&mut self) -> bool {
        self.retry.try_withdraw() || self.hedge.try_withdraw()
    }
}

/// Budgets that queries of one thread share, by the numbers in [`Plan::budgets`].
#[derive(Clone, Debug)]
pub struct Budgets {
    pairs: Vec<BudgetPair>,
    initial: BudgetPair,
}

impl Default for Budgets {
    fn default() -> Self {
        Self::new(BudgetPair::default())
    }
}

impl Budgets {
    /// Creates budgets that start as a copy of `initial`, whatever their number.
    #[must_use]
    pub fn new(initial: BudgetPair) -> Self {
        Self {
            pairs: vec![initial],
            initial,
        }
    }

    /// The budgets of one number, created on first use.
    ///
    /// All numbers up to the highest in use take memory, so they should be dense.
    pub fn pair(&mut self, number: usize) -> &mut BudgetPair {
        if number >= self.pairs.len() {
            self.pairs.resize(number + 1, self.initial);
        }
        &mut self.pairs[number]
    }

    /// Sets the burst of all hedge budgets and of all retry budgets, including future ones.
    pub fn set_bursts(&mut self, hedge: f64, retry: f64) {
        for pair in &mut self.pairs {
            pair.hedge.set_burst(hedge);
            pair.retry.set_burst(retry);
        }
        // Budgets of a new number start full.
        self.initial.hedge = self.initial.hedge.with_burst(hedge);
        self.initial.retry = self.initial.retry.with_burst(retry);
    }

    /// The budgets of number 0, the only ones that a recorded query uses.
    #[must_use]
    pub fn first(&self) -> BudgetPair {
        self.pairs[0]
    }
}

/// Number of calls that a query made, by their cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// First calls, one for each service with targets and again after each restart.
    pub first: u32,
    /// Calls made while an earlier call for the same service was slow.
    pub hedges: u32,
    /// Calls made after a refusal or failure.
    pub retries: u32,
    /// Number of times that the whole query restarted on a newer snapshot.
    pub restarts: u32,
}

/// One service's part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The body of the service's answer.
    Covered(Vec<u8>),
    /// The service gave no usable answer, for this reason.
    Missing(MissingReason),
}

/// Counts missing parts by their reason, for metrics and logs.
///
/// ```
/// use rattanturn_core::gather::{MissingReason, Part, count_by_reason};
/// let parts = [Part::Missing(MissingReason::Busy), Part::Covered(vec![])];
/// assert_eq!(count_by_reason(&parts)[&MissingReason::Busy], 1);
/// ```
#[must_use]
pub fn count_by_reason(parts: &[Part]) -> BTreeMap<MissingReason, usize> {
    let mut out = BTreeMap::new();
    for part in parts {
        if let Part::Missing(reason) = part {
            *out.entry(*reason).or_default() += 1;
        }
    }
    out
}
