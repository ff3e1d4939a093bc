//! Which index version a query asks for.
//!
//! Targets name the versions that they can serve on their answers. A query asks every service
//! for the newest version that each service can serve somewhere; if there is none, for the one
//! that covers most services.

use std::collections::{BTreeMap, BTreeSet};

/// Asks a target for its newest version; the first answer settles the query's version.
pub const ANY: u64 = 0;

/// Versions that targets are known to serve.
///
/// ```
/// use rattanturn_core::snapshot::ServedVersions;
/// let mut book = ServedVersions::default();
/// book.record(0, &[6, 7]);
/// book.record(1, &[6]);
/// assert_eq!(book.choose(&[vec![0], vec![1]]), 6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    serves: BTreeMap<usize, Vec<u64>>,
}

impl ServedVersions {
    /// Records the versions named on an answer of `target`; returns true if they changed.
    pub fn record(&mut self, target: usize, versions: &[u64]) -> bool {
        if versions.is_empty() || self.serves.get(&target).is_some_and(|v| v == versions) {
            return false;
        }
        self.serves.insert(target, versions.to_vec());
        true
    }

    /// Tells whether `target` may serve `version`; a target not heard yet may.
    #[must_use]
    pub fn may_serve(&self, target: usize, version: u64) -> bool {
        version == ANY
            || self
                .serves
                .get(&target)
                .is_none_or(|v| v.contains(&version))
    }

    /// Chooses the version for a query; each service lists its targets.
    #[must_use]
    pub fn choose(&self, services: &[Vec<usize>]) -> u64 {
        let versions: BTreeSet<u64> = services
            .iter()
            .flatten()
            .filter_map(|t| self.serves.get(t))
            .flatten()
            .copied()
            .collect();
        let covered = |v: u64| {
            services
                .iter()
                .filter(|s| s.iter().any(|t| self.may_serve(*t, v)))
                .count()
        };
        versions
            .into_iter()
            .max_by_key(|v| (covered(*v), *v))
            .unwrap_or(ANY)
    }
}
