//! Recent versions of shared objects, and the updates that bring other daemons to the newest one.
//!
//! An update is the whole object or a patch. The tables are hundreds of kilobytes long in a large
//! deployment, and an edit changes a few of their lines. So a daemon whose version is still kept
//! here gets a line-based patch, if that is smaller than the object. The update carries the digest
//! of the result; where the patched object does not match it, the daemon fetches the whole object.

use {
    crate::rendezvous,
    diffy::{DiffOptions, Patch, apply_bytes},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Number of older versions of an object that are kept as bases of patches.
const MAX_OLDER_VERSIONS: usize = 8;

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Version {
    number: u64,
    /// Shared with the previous version if both have the same bytes.
    body: Arc<[u8]>,
}

/// The newest version of an object, for a daemon with an older one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectUpdate {
    /// Version of the object that the update leads to.
    pub version: u64,
    /// Version that the patch in `data` applies to; 0 if `data` is the whole object.
    pub base: u64,
    /// A line-based patch or the whole object, see `base`.
    pub data: Vec<u8>,
    /// Digest of the whole object of `version`; a patched object must match it.
    pub digest: u64,
}

/// The newest version of each object by its key, and up to eight older ones.
///
/// ```
/// use rattanturn_core::object_history::ObjectHistory;
/// let (mut ours, mut theirs) = (ObjectHistory::default(), ObjectHistory::default());
/// ours.put("tables", 1, b"a\nb\n");
/// theirs.put("tables", 1, b"a\nb\n");
/// ours.put("tables", 2, b"a\nc\n");
/// let update = ours.update_since("tables", 1).unwrap();
/// assert_eq!(theirs.reconstruct("tables", &update).unwrap(), b"a\nc\n");
/// ```
#[derive(Debug, Default)]
pub struct ObjectHistory {
    objects: HashMap<String, VecDeque<Version>>,
}

impl ObjectHistory {
    /// Adds version `number` of an object, which must be newer than those added before.
    pub fn put(&mut self, key: &str, number: u64, body: &[u8]) {
        let versions = self.objects.entry(key.into()).or_default();
        let same = versions.front().filter(|v| *v.body == *body);
        let body = same.map_or_else(|| Arc::from(body), |v| v.body.clone());
        versions.push_front(Version { number, body });
        versions.truncate(MAX_OLDER_VERSIONS + 1);
    }

    /// Returns the update for a daemon that has version `known`, or `None` if there is no newer
    /// version. 0 as `known` returns the whole object.
    #[must_use]
    pub fn update_since(&self, key: &str, known: u64) -> Option<ObjectUpdate> {
        let versions = self.objects.get(key)?;
        let newest = versions.front().filter(|v| v.number > known)?;
        let digest = rendezvous::digest(&newest.body);
        let version = newest.number;
        if let Some(base) = versions.iter().find(|v| v.number == known) {
            // The base is known to be the same, so a patch needs no lines of context.
            let mut options = DiffOptions::new();
            let patch = options
                .set_context_len(0)
                .create_patch_bytes(&base.body, &newest.body);
            let data = patch.to_bytes();
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

    /// Returns the whole object that `update` leads to.
    ///
    /// `None` means that the base of the patch is not kept here, that the patch does not apply, or
    /// that the result has another digest. The caller should then ask for the whole object.
    #[must_use]
    pub fn reconstruct(&self, key: &str, update: &ObjectUpdate) -> Option<Vec<u8>> {
        if update.base == 0 {
            return Some(update.data.clone());
        }
        let versions = self.objects.get(key)?;
        let base = versions.iter().find(|v| v.number == update.base)?;
        let patch = Patch::from_bytes(&update.data).ok()?;
        let body = apply_bytes(&base.body, &patch).ok()?;
        (rendezvous::digest(&body) == update.digest).then_some(body)
    }
}
