//! The counters of one daemon: answers by route, version and period.

use {
    super::Call,
    crate::rendezvous,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Length of a period, in milliseconds.
pub(super) const PERIOD_MS: u64 = 500;
/// Bad answers of one target within this time count once, in milliseconds.
const CORRELATED_MS: u64 = 100;
/// Most periods that are kept of a route at one daemon: 12 s. The test forgets older answers anyway.
const MAX_PERIODS: usize = 24;

/// Numbers of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct Counts {
    /// All answers, also lost ones.
    pub answers: u64,
    /// Answers that were failures or were lost.
    pub failed: u64,
    /// Other answers that were slow.
    pub slow: u64,
}

impl Counts {
    /// Number of bad answers.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.failed.saturating_add(self.slow)
    }

    pub(super) fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Takes the maximum of each number and returns whether one grew.
    fn raise(&mut self, other: Self) -> bool {
        let before = *self;
        self.answers = self.answers.max(other.answers);
        self.failed = self.failed.max(other.failed);
        self.slow = self.slow.max(other.slow);
        *self != before
    }
}

impl From<(u64, u64, u64)> for Counts {
    fn from((answers, failed, slow): (u64, u64, u64)) -> Self {
        Self {
            answers,
            failed,
            slow,
        }
    }
}

impl From<Counts> for (u64, u64, u64) {
    fn from(counts: Counts) -> Self {
        (counts.answers, counts.failed, counts.slow)
    }
}

/// Answers of one target of the new version within a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u8)", into = "(u64, u64, u64, u8)")]
pub(super) struct TargetCounts {
    pub(super) counts: Counts,
    /// Bit i is set if an answer was bad in the i-th [`CORRELATED_MS`] of the period.
    pub(super) slots: u8,
}

impl From<(u64, u64, u64, u8)> for TargetCounts {
    fn from((answers, failed, slow, slots): (u64, u64, u64, u8)) -> Self {
        let counts = Counts::from((answers, failed, slow));
        Self { counts, slots }
    }
}

impl From<TargetCounts> for (u64, u64, u64, u8) {
    fn from(target: TargetCounts) -> Self {
        let (answers, failed, slow) = target.counts.into();
        (answers, failed, slow, target.slots)
    }
}

/// Answers of one period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Period {
    #[serde(rename = "o", default, skip_serializing_if = "is_empty")]
    pub(super) old: Counts,
    /// By digest of the target's id.
    #[serde(rename = "n", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) new: BTreeMap<u32, TargetCounts>,
    /// As [`TargetCounts::slots`], of failures alone.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) failed_slots: BTreeMap<u32, u8>,
}

impl Period {
    /// Adds the answers that another daemon got in the same period.
    pub(super) fn add(&mut self, other: &Self) {
        self.old.add(other.old);
        for (id, theirs) in &other.new {
            let ours = self.new.entry(*id).or_default();
            ours.counts.add(theirs.counts);
            ours.slots |= theirs.slots;
        }
        for (id, slots) in &other.failed_slots {
            *self.failed_slots.entry(*id).or_default() |= slots;
        }
    }

    /// Takes over newer counters of the same daemon.
    fn raise(&mut self, other: &Self) -> bool {
        let mut grew = self.old.raise(other.old);
        for (id, theirs) in &other.new {
            let ours = self.new.entry(*id).or_default();
            grew |= ours.counts.raise(theirs.counts) || (theirs.slots & !ours.slots) != 0;
            ours.slots |= theirs.slots;
        }
        for (id, slots) in &other.failed_slots {
            let ours = self.failed_slots.entry(*id).or_default();
            grew |= (slots & !*ours) != 0;
            *ours |= slots;
        }
        grew
    }
}

/// Answers on one route at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Route {
    #[serde(rename = "o", default, skip_serializing_if = "is_empty")]
    pub(super) old: Counts,
    #[serde(rename = "n", default, skip_serializing_if = "is_empty")]
    pub(super) new: Counts,
    /// The newest [`MAX_PERIODS`], by number.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) periods: BTreeMap<u32, Period>,
}

impl Route {
    pub(super) fn count(&mut self, call: &Call<'_>, counts: Counts, since_ms: u64) {
        let age_ms = call.at_ms.saturating_sub(since_ms);
        let number = u32::try_from(age_ms / PERIOD_MS).unwrap_or(u32::MAX);
        let period = self.periods.entry(number).or_default();
        if call.new {
            self.new.add(counts);
            let key = target_key(call.target);
            let target = period.new.entry(key).or_default();
            target.counts.add(counts);
            let slot = 1 << (age_ms % PERIOD_MS / CORRELATED_MS);
            if counts.bad() > 0 {
                target.slots |= slot;
            }
            if counts.failed > 0 {
                *period.failed_slots.entry(key).or_default() |= slot;
            }
        } else {
            self.old.add(counts);
            period.old.add(counts);
        }
        self.forget();
    }

    pub(super) fn raise(&mut self, other: &Self) -> bool {
        let mut grew = self.old.raise(other.old) | self.new.raise(other.new);
        let newest = self.periods.keys().rev().nth(MAX_PERIODS - 1).copied();
        let kept = other.periods.iter();
        for (number, period) in kept.filter(|(n, _)| newest.is_none_or(|first| **n >= first)) {
            grew |= self.periods.entry(*number).or_default().raise(period);
        }
        self.forget();
        grew
    }

    fn forget(&mut self) {
        while self.periods.len() > MAX_PERIODS {
            self.periods.pop_first();
        }
    }
}

// serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
pub(super) fn is_empty(counts: &Counts) -> bool {
    *counts == Counts::default()
}

/// Digest of a target's id. Two targets with the same one count as one, which is harmless.
#[allow(clippy::cast_possible_truncation)]
fn target_key(target: &str) -> u32 {
    rendezvous::key(target) as u32
}
