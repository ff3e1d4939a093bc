//! Deduplication of non-idempotent requests by request id, so that a retry does not run a request
//! a second time.
//!
//! The request ids are divided into partitions. One daemon at a time owns a partition, by lease,
//! and keeps the outcomes of its requests in memory. This needs no storage, but the table of an
//! owner that fails is lost.
//!
//! A caller stamps each request with the time when it first issued it, and sends retries with the
//! same stamp. An owner runs a request that it has no entry of only if the stamp is later than the
//! start of its lease term, with a margin for clock skew: no earlier owner can have run such a
//! request. If the previous owner handed its table over, the start of the earliest term that the
//! table covers counts instead. For an older request the owner reports "unknown" and runs nothing,
//! and likewise for one that is older than [`RETENTION_MS`], whose entry may have been dropped.

use std::collections::BTreeMap;

/// Largest tolerated difference between the clocks of callers and daemons, in milliseconds.
pub const MAX_SKEW_MS: u64 = 1_000;
/// Time for which an outcome is kept, counted from the stamp of its request, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;

/// How a non-idempotent request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and this is the target's answer.
    Ran(Vec<u8>),
    /// It did not run, for the reason given: the target reported so, or nothing was sent to it.
    NotRun(String),
    /// It may or may not have run, for example because the target's answer was lost.
    Unknown,
}

/// What the owner must do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now and call [`DedupTable::finish`] afterwards.
    Run,
    /// Wait for the outcome: an earlier attempt is still running.
    Running,
    /// Answer with this outcome of an earlier attempt.
    Ended(Outcome),
    /// Answer that it may have run: it is too old for this table to tell.
    Unknown,
    /// Reject it for the reason given, which callers see.
    Refused(&'static str),
}

/// What the table remembers of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DedupEntry {
    /// When the caller first issued it, by the caller's clock, in milliseconds since 1970.
    pub issued: u64,
    /// Digest of its content, to detect an id that is used for two different requests.
    pub digest: u64,
    /// How it ended; `None` while it is running.
    pub outcome: Option<Outcome>,
}

/// The deduplication table of one partition of the request ids.
///
/// All times are wall-clock times in milliseconds since 1970.
///
/// ```
/// use rattanturn_core::dedup::{DedupTable, Outcome, Verdict};
/// let mut table = DedupTable::open(10_000);
/// assert_eq!(table.begin(20_000, 20_000, "r1", 5), Verdict::Run);
/// table.finish("r1", Outcome::Ran(b"done".to_vec()));
/// let retry = table.begin(20_500, 20_000, "r1", 5);
/// assert_eq!(retry, Verdict::Ended(Outcome::Ran(b"done".to_vec())));
/// ```
#[derive(Clone, Debug)]
pub struct DedupTable {
    since: u64,
    entries: BTreeMap<String, DedupEntry>,
}

impl DedupTable {
    /// Creates an empty table for a lease term that begins at `since`.
    #[must_use]
    pub fn open(since: u64) -> Self {
        Self {
            since,
            entries: BTreeMap::new(),
        }
    }

    /// Continues a table that another daemon handed over; it covers requests issued after `since`.
    ///
    /// The caller must check that the new lease term directly follows that of the other daemon.
    #[must_use]
    pub fn resume(since: u64, entries: impl IntoIterator<Item = (String, DedupEntry)>) -> Self {
        Self {
            since,
            entries: entries.into_iter().collect(),
        }
    }

    /// Merges the table of the previous owner, which arrived after this one was created.
    ///
    /// Where both have an entry, that of this table stays. The caller must check that the lease
    /// term of this table directly follows that of the other.
    pub fn merge_earlier(&mut self, earlier: Self) {
        self.since = self.since.min(earlier.since);
        for (id, entry) in earlier.entries {
            self.entries.entry(id).or_insert(entry);
        }
    }

    /// Start of the first of the consecutive lease terms that this table covers.
    #[must_use]
    pub fn since(&self) -> u64 {
        self.since
    }

    /// The remembered requests with their ids, in the order of the ids.
    #[must_use]
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&str, &DedupEntry)> {
        self.entries.iter().map(|(id, entry)| (id.as_str(), entry))
    }

    /// Number of requests remembered, running ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides what to do with a request that arrives at `now` and was stamped `issued`.
    ///
    /// `digest` is the digest of its content. [`Verdict::Run`] adds an entry, so until
    /// [`Self::finish`] is called, retries get [`Verdict::Running`].
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

    /// Whether an attempt at a request has begun.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Records how a request ended; does nothing if `id` is not in the table.
    ///
    /// The entry of a request that did not run is removed, so that a retry can run it.
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
