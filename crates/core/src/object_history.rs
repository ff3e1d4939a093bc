//! Shared objects in the form in which daemons pass them on: whole, or as a patch.
//!
//! Edits touch a few lines of tables that are hundreds of kilobytes long at the target size, so a
//! daemon that asks with a version that is still remembered gets a patch by lines. The digest of
//! the result is sent along; if it does not come out, the whole object is fetched.

use {
    crate::rendezvous,
    diffy::{Patch, apply_bytes, create_patch_bytes},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Older versions of an object that patches can start from.
const OLDER_KEPT: usize = 8;

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Version {
    number: u64,
    /// Shared with the version before if nothing changed between them.
    body: Arc<[u8]>,
}

/// A newer version for a daemon that asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectUpdate {
    /// The newest version.
    pub version: u64,
    /// Version that `data` is a patch to; 0 if it is the whole object.
    pub base: u64,
    /// Patch or whole object.
    pub data: Vec<u8>,
    /// Digest of the whole object.
    pub digest: u64,
}

/// The newest version of each object, and some older ones.
///
/// ```
/// use rattanturn_core::object_history::ObjectHistory;
/// let (mut ours, mut theirs) = (ObjectHistory::default(), ObjectHistory::default());
/// ours.put("tables", 1, b"a\nb\n");
/// theirs.put("tables", 1, b"a\nb\n");
/// ours.put("tables", 2, b"a\nc\n");
/// let newer = ours.update_since("tables", 1).unwrap();
/// assert_eq!(theirs.reconstruct("tables", &newer).unwrap(), b"a\nc\n");
/// ```
#[derive(Debug, Default)]
pub struct ObjectHistory {
    objects: HashMap<String, VecDeque<Version>>,
}

impl ObjectHistory {
    /// Adds a newer version.
    pub fn put(&mut self, key: &str, number: u64, body: &[u8]) {
        let versions = self.objects.entry(key.into()).or_default();
        let same = versions.front().filter(|v| *v.body == *body);
        let body = same.map_or_else(|| Arc::from(body), |v| v.body.clone());
        versions.push_front(Version { number, body });
        versions.truncate(OLDER_KEPT + 1);
    }

    /// What a daemon that knows version `known` has to be sent, if there is something newer.
    #[must_use]
    pub fn update_since(&self, key: &str, known: u64) -> Option<ObjectUpdate> {
        let versions = self.objects.get(key)?;
        let newest = versions.front().filter(|v| v.number > known)?;
        let digest = rendezvous::digest(&newest.body);
        let version = newest.number;
        if let Some(old) = versions.iter().find(|v| v.number == known) {
            let data = create_patch_bytes(&old.body, &newest.body).to_bytes();
            if data.len() < newest.body.len() {
                return Some(ObjectUpdate {
                    version,
                    base: known,
                    data,
                    digest,
                });
            }
        }
        Some(ObjectUpdate {
            version,
            base: 0,
            data: newest.body.to_vec(),
            digest,
        })
    }

    /// The whole object that `newer` stands for; `None` if the patch does not fit.
    #[must_use]
    pub fn reconstruct(&self, key: &str, newer: &ObjectUpdate) -> Option<Vec<u8>> {
        if newer.base == 0 {
            return Some(newer.data.clone());
        }
        let versions = self.objects.get(key)?;
        let old = versions.iter().find(|v| v.number == newer.base)?;
        let patch = Patch::from_bytes(&newer.data).ok()?;
        let body = apply_bytes(&old.body, &patch).ok()?;
        (rendezvous::digest(&body) == newer.digest).then_some(body)
    }
}
