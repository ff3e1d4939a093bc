//! Digests by which two daemons find out in which targets they differ.
//!
//! The targets are divided among [`BUCKETS`] buckets by a hash of their ids. A daemon sends the
//! digests of its buckets, about 1 kB, and gets the targets of those that differ. The cost of a
//! change is therefore the same whichever state the receiver had before, also if it came from
//! another reader, and it needs no history of earlier states. In return, a changed target brings
//! the others of its bucket along.

use crate::rendezvous;

/// Number of buckets. A target of a deployment with 12,000 comes with about 100 others.
pub const BUCKETS: usize = 128;

/// Bucket of the target with this id.
#[must_use]
pub fn bucket(id: &str) -> usize {
    // The remainder is below `BUCKETS`.
    #[allow(clippy::cast_possible_truncation)]
    let index = (rendezvous::key(id) % BUCKETS as u64) as usize;
    index
}

/// Digest of the targets in each bucket.
///
/// ```
/// use rattanturn_core::buckets::{BucketDigests, bucket};
/// let (mut ours, theirs) = (BucketDigests::default(), BucketDigests::default());
/// ours.toggle("i-1", 7);
/// assert_eq!(ours.differing(theirs.as_slice()), [bucket("i-1")]);
/// ours.toggle("i-1", 7);
/// assert_eq!(ours.total(), theirs.total());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketDigests([u64; BUCKETS]);

impl Default for BucketDigests {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

impl BucketDigests {
    /// Adds a target with the digest of its content to its bucket, or removes it again.
    pub fn toggle(&mut self, id: &str, digest: u64) {
        self.0[bucket(id)] ^= digest;
    }

    /// The digests in the order of the buckets.
    #[must_use]
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Indexes of the buckets whose digests differ from `other`; missing ones count as 0, the digest
    /// of an empty bucket.
    #[must_use]
    pub fn differing(&self, other: &[u64]) -> Vec<usize> {
        let theirs = |i: usize| other.get(i).copied().unwrap_or(0);
        let digests = self.0.iter().enumerate();
        let differ = digests.filter(|(i, d)| **d != theirs(*i));
        differ.map(|(i, _)| i).collect()
    }

    /// One digest of all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        let bytes: Vec<u8> = self.0.iter().flat_map(|d| d.to_le_bytes()).collect();
        rendezvous::digest(&bytes)
    }
}
