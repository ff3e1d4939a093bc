//! Recent versions of shared objects, and the updates that bring other daemons to the newest one.
//!
//! An update is the whole object or a patch. The tables are hundreds of kilobytes long in a large
//! deployment, and an edit changes a few of their lines. So a daemon whose version is still kept
//! here gets a line-based patch, if that is smaller than the object. The update carries the digest
//! of the result; where the patched object does not match it, the daemon fetches the whole object.
//!
//! Many daemons have the same older version when a new one comes. The update for it is made once and
//! kept until the next version, which costs as much memory as the patch.

use {
    crate::{line_patch, rendezvous},
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
    digest: u64,
    /// Update that leads from this version to the newest one, once a daemon has asked for it.
    update: Option<ObjectUpdate>,
}

/// The newest version of an object, for a daemon with an older one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectUpdate {
    /// Version of the object that the update leads to.
    pub version: u64,
    /// Version that the patch in `data` applies to; 0 if `data` is the whole object.
    pub base: u64,
    /// A line-based patch or the whole object, see `base`.
    pub data: Arc<[u8]>,
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
        for older in versions.iter_mut() {
            older.update = None;
        }
        let same = versions.front().filter(|v| *v.body == *body);
        let body = same.map_or_else(|| Arc::from(body), |v| v.body.clone());
        versions.push_front(Version {
            number,
            digest: rendezvous::digest(&body),
            body,
            update: None,
        });
        versions.truncate(MAX_OLDER_VERSIONS + 1);
    }

    /// Returns the update for a daemon that has version `known`, or `None` if there is no newer
    /// version. 0 as `known` returns the whole object.
    #[must_use]
    pub fn update_since(&mut self, key: &str, known: u64) -> Option<ObjectUpdate> {
        let versions = self.objects.get_mut(key)?;
        let newest = versions.front().filter(|v| v.number > known)?;
        let whole = ObjectUpdate {
            version: newest.number,
            base: 0,
            data: newest.body.clone(),
            digest: newest.digest,
        };
        let Some(base) = versions.iter_mut().find(|v| v.number == known) else {
            return Some(whole);
        };
        let update = base.update.get_or_insert_with(|| {
            let patch = line_patch::create(&base.body, &whole.data);
            patch.map_or(whole.clone(), |patch| ObjectUpdate {
                base: known,
                data: patch.into(),
                ..whole
            })
        });
        Some(update.clone())
    }

    /// Returns the whole object that `update` leads to.
    ///
    /// `None` means that the base of the patch is not kept here, that the patch does not apply, or
    /// that the result has another digest. The caller should then ask for the whole object.
    #[must_use]
    pub fn reconstruct(&self, key: &str, update: &ObjectUpdate) -> Option<Vec<u8>> {
        if update.base == 0 {
            return Some(update.data.to_vec());
        }
        let versions = self.objects.get(key)?;
        let base = versions.iter().find(|v| v.number == update.base)?;
        let body = line_patch::apply(&base.body, &update.data)?;
        (rendezvous::digest(&body) == update.digest).then_some(body)
    }
}
