//! Outcomes of non-idempotent requests by request id, so that a repeat is not run again.
//!
//! One daemon holds each share of the request ids by lease and keeps their outcomes in memory.
//! The caller stamps a request with the time it was first issued and keeps the stamp on
//! repeats. A journal answers for requests issued after its own tenure began, with a margin
//! for clock skew; for older ones that it has no entry of, it says "unknown" and runs nothing.

use std::collections::BTreeMap;

/// Clock difference between callers and daemons that is tolerated.
pub const MAX_SKEW_MS: u64 = 1_000;
/// Time an outcome is kept.
pub const RETENTION_MS: u64 = 600_000;

/// How a non-idempotent request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran; the target's answer.
    Ran(Vec<u8>),
    /// It was not run, by the target's own word or because nothing was sent.
    NotRun(String),
    /// It may have run.
    Unknown,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now; call [`DedupTable::finish`] afterwards.
    Run,
    /// The first attempt still runs; wait for its outcome.
    Running,
    /// It ended before; this was its outcome.
    Ended(Outcome),
    /// Whether it ran is not known here.
    Unknown,
    /// It is not run, for the reason given.
    Refused(&'static str),
}

/// What is remembered of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DedupEntry {
    /// When it was issued, by the caller's clock.
    pub issued: u64,
    /// Tells its content apart from other requests.
    pub digest: u64,
    /// How it ended; `None` while it runs.
    pub outcome: Option<Outcome>,
}

/// The journal of one share of the request ids. Times are wall-clock milliseconds.
///
/// ```
/// use rattanturn_core::dedup::{DedupTable, Outcome, Verdict};
/// let mut journal = DedupTable::open(10_000);
/// assert_eq!(journal.begin(20_000, 20_000, "r1", 5), Verdict::Run);
/// journal.finish("r1", Outcome::Ran(b"done".to_vec()));
/// let again = journal.begin(20_500, 20_000, "r1", 5);
/// assert_eq!(again, Verdict::Ended(Outcome::Ran(b"done".to_vec())));
/// ```
#[derive(Clone, Debug)]
pub struct DedupTable {
    since: u64,
    entries: BTreeMap<String, DedupEntry>,
}

impl DedupTable {
    /// Opens an empty journal whose tenure begins at `since`.
    #[must_use]
    pub fn open(since: u64) -> Self {
        Self {
            since,
            entries: BTreeMap::new(),
        }
    }

    /// Goes on with a journal that another daemon handed over; its tenure counts from `since`.
    ///
    /// The caller makes sure that no other tenure came in between.
    #[must_use]
    pub fn resume(since: u64, entries: impl IntoIterator<Item = (String, DedupEntry)>) -> Self {
        Self {
            since,
            entries: entries.into_iter().collect(),
        }
    }

    /// Adds a journal that arrived after this one was opened in its place; entries made here stay.
    ///
    /// The caller makes sure that this journal's tenure directly follows the other's.
    pub fn merge_earlier(&mut self, earlier: Self) {
        self.since = self.since.min(earlier.since);
        for (id, entry) in earlier.entries {
            self.entries.entry(id).or_insert(entry);
        }
    }

    /// Start of the first of the unbroken tenures that this journal covers.
    #[must_use]
    pub fn since(&self) -> u64 {
        self.since
    }

    /// All that is remembered, by request id.
    #[must_use]
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&str, &DedupEntry)> {
        self.entries.iter().map(|(id, entry)| (id.as_str(), entry))
    }

    /// Number of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A request arrives; `digest` tells its content apart from other requests.
    pub fn begin(&mut self, now: u64, issued: u64, id: &str, digest: u64) -> Verdict {
        self.expire(now);
        if let Some(entry) = self.entries.get(id) {
            if entry.digest != digest || entry.issued != issued {
                return Verdict::Refused("the request id was used for another request");
            }
            return entry
                .outcome
                .clone()
                .map_or(Verdict::Running, Verdict::Ended);
        }
        if issued > now + MAX_SKEW_MS {
            return Verdict::Refused(
                "the request is stamped in the future; set the caller's clock",
            );
        }
        if issued < self.since + MAX_SKEW_MS || issued + RETENTION_MS <= now + MAX_SKEW_MS {
            return Verdict::Unknown;
        }
        let entry = DedupEntry {
            issued,
            digest,
            outcome: None,
        };
        self.entries.insert(id.into(), entry);
        Verdict::Run
    }

    /// Records how a request ended.
    ///
    /// A request that was not run is forgotten, so that the caller may send it again.
    pub fn finish(&mut self, id: &str, outcome: Outcome) {
        if matches!(outcome, Outcome::NotRun(_)) {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.outcome = Some(outcome);
        }
    }

    fn expire(&mut self, now: u64) {
        self.entries
            .retain(|_, e| e.outcome.is_none() || e.issued + RETENTION_MS > now);
    }
}
