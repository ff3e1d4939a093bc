//! Selection of the snapshot (index version) that a query asks for.
//!
//! Each answer of a target lists the versions that the target can serve. A query asks for the
//! newest version that at least one target of every service can serve. If there is none, it asks
//! for the version that covers the most services, because an incomplete answer is better than one
//! that mixes versions.

use std::collections::{BTreeMap, BTreeSet};

/// Stands for no particular version: a target answers from its newest one, and the version of the
/// first answer becomes that of the query.
pub const ANY: u64 = 0;

/// Versions that targets serve, as known from their answers. Targets are named by their index.
///
/// ```
/// use rattanturn_core::snapshot::ServedVersions;
/// let mut served = ServedVersions::default();
/// served.record(0, &[6, 7]);
/// served.record(1, &[6]);
/// assert_eq!(served.choose(&[vec![0], vec![1]]), 6);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServedVersions {
    by_target: BTreeMap<usize, Vec<u64>>,
}

impl ServedVersions {
    /// Records the versions that an answer of `target` lists; returns true if they changed.
    ///
    /// An answer without versions changes nothing.
    pub fn record(&mut self, target: usize, versions: &[u64]) -> bool {
        if versions.is_empty() || self.by_target.get(&target).is_some_and(|v| v == versions) {
            return false;
        }
        self.by_target.insert(target, versions.to_vec());
        true
    }

    /// Whether `target` may serve `version`: it lists the version, has not answered yet, or
    /// `version` is [`ANY`].
    #[must_use]
    pub fn may_serve(&self, target: usize, version: u64) -> bool {
        version == ANY
            || self
                .by_target
                .get(&target)
                .is_none_or(|v| v.contains(&version))
    }

    /// Chooses the version for a query to `services`, each given by its targets.
    ///
    /// Returns [`ANY`] if none of the targets has listed a version yet.
    #[must_use]
    pub fn choose(&self, services: &[Vec<usize>]) -> u64 {
        let versions: BTreeSet<u64> = services
            .iter()
            .flatten()
            .filter_map(|t| self.by_target.get(t))
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
