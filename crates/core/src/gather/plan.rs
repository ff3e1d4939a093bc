//! What a query is given, what it asks for and what comes of it.

use {
    crate::{Time, hedge::Budget},
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Number of an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Why a service is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissingReason {
    /// No answer came in time.
    Deadline,
    /// Its targets were busy.
    Busy,
    /// Its targets could not be reached or leave.
    Unreachable,
    /// No daemon holds its targets.
    NoHolder,
    /// Its targets cannot serve the snapshot.
    Snapshot,
    /// Its targets failed.
    Failed,
    /// All its targets are in data centres that were taken out.
    Evacuated,
}

impl MissingReason {
    /// The reason in the words of the answer.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Busy => "busy",
            Self::Unreachable => "unreachable",
            Self::NoHolder => "no-holder",
            Self::Snapshot => "snapshot",
            Self::Failed => "failed",
            Self::Evacuated => "out",
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
    /// The target answered from `snapshot`.
    Done {
        /// Index version that the answer was made from.
        snapshot: u64,
        /// The partial answer.
        body: Vec<u8>,
    },
    /// The target cannot serve the snapshot; nothing ran.
    WrongSnapshot,
    /// The call was not run.
    NotRun(MissingReason),
    /// The call may have run and its answer is lost.
    Failed,
}

/// What a query may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Targets of each service in the order to try them, leaving out those taken out.
    pub services: Vec<Vec<usize>>,
    /// Time after which each service's call counts as late.
    pub hedge_delays: Vec<Duration>,
    /// Time by which the answer must be given.
    pub deadline: Time,
    /// Index version to ask for; [`crate::snapshot::ANY`] lets the first answer settle it.
    pub snapshot: u64,
    /// Whether late calls are hedged.
    pub hedging: bool,
    /// Whether a call that may have run may be repeated.
    pub idempotent: bool,
    /// Calls for one service on one snapshot, at most.
    pub max_attempts: usize,
    /// When an answer with enough parts is given without the others.
    pub cutoff: Option<Cutoff>,
    /// Budget that each service draws on; an empty list is one budget for all.
    pub budgets: Vec<usize>,
}

/// When an incomplete answer is worth more than a later whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cutoff {
    /// When.
    pub at: Time,
    /// Least number of services that it must cover.
    pub min_parts: usize,
}

/// What the embedding program has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Call {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Index of the service in the plan.
        service: usize,
        /// Target to call.
        target: usize,
        /// Index version to ask for.
        snapshot: u64,
    },
    /// Cancel a call.
    Cancel(AttemptId),
    /// The answer is final; take it with [`super::Gather::into_parts`].
    Finish,
}

/// Budgets of calls beyond the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct BudgetPair {
    /// For hedges.
    pub hedge: Budget,
    /// For calls repeated after a refusal or failure.
    pub retry: Budget,
}

impl Default for BudgetPair {
    /// Together at most a tenth of the first attempts.
    fn default() -> Self {
        Self {
            hedge: Budget::new(0.07, 10.0),
            retry: Budget::new(0.03, 10.0),
        }
    }
}

impl BudgetPair {
    /// Takes a repeat; it may use what is saved up for hedges, because it is surely needed.
    pub(super) fn take_retry(&mut self) -> bool {
        self.retry.try_withdraw() || self.hedge.try_withdraw()
    }
}

/// Budgets that all queries of one thread share, by the numbers that plans name.
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
    /// Each number begins with `initial`.
    #[must_use]
    pub fn new(initial: BudgetPair) -> Self {
        Self {
            pairs: vec![initial],
            initial,
        }
    }

    /// The budgets of one number.
    pub fn pair(&mut self, number: usize) -> &mut BudgetPair {
        if number >= self.pairs.len() {
            self.pairs.resize(number + 1, self.initial);
        }
        &mut self.pairs[number]
    }

    /// Sets how many calls beyond the first may be saved up for hedges and for repeats.
    pub fn set_bursts(&mut self, hedge: f64, retry: f64) {
        for pair in &mut self.pairs {
            pair.hedge.set_burst(hedge);
            pair.retry.set_burst(retry);
        }
        // A number that is new begins with all of it saved up.
        self.initial.hedge = self.initial.hedge.with_burst(hedge);
        self.initial.retry = self.initial.retry.with_burst(retry);
    }

    /// The first budgets, for recording.
    #[must_use]
    pub fn first(&self) -> BudgetPair {
        self.pairs[0]
    }
}

/// Calls that a query made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// First attempts.
    pub first: u32,
    /// Hedges.
    pub hedges: u32,
    /// Repeats after a refusal or failure.
    pub retries: u32,
    /// Times the query was asked again on another snapshot.
    pub restarts: u32,
}

/// One service's place in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Its partial answer.
    Covered(Vec<u8>),
    /// It is missing.
    Missing(MissingReason),
}

/// Counts the reasons of missing parts, for metrics and logs.
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
