//! Which entries of the store that cannot be used are logged.
//!
//! An unusable entry is read again with each list, and a broken writer may renew it several times a
//! second or leave thousands. So each entry is logged once, and the number of logged ones is bounded. The
//! price is that an entry that was sound meanwhile is not logged again.

use {crate::rendezvous, std::collections::HashSet};

/// Most entries that are logged one by one; a few hundred lines do not fill a disk.
const MAX_LOGGED: usize = 256;
/// Longest text of an entry that is logged, in characters: its value may be a megabyte.
const MAX_TEXT_CHARS: usize = 200;

/// What to log about an unusable entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The entry, which is new.
    Entry,
    /// That further entries are not logged.
    Omission,
    /// Nothing.
    Nothing,
}

/// The unusable entries that were logged.
///
/// ```
/// use rattanturn_core::unusable_entries::{UnusableEntries, Report};
/// let mut unusable = UnusableEntries::default();
/// assert_eq!(unusable.report("targets", "i-1"), Report::Entry);
/// assert_eq!(unusable.report("targets", "i-1"), Report::Nothing);
/// assert_eq!(unusable.report("targets", "i-2"), Report::Entry);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnusableEntries {
    /// Digests of the entries' kinds and names.
    logged: HashSet<u64>,
    omitted: bool,
}

impl UnusableEntries {
    /// Records an unusable entry and returns what to log about it. `id` tells it from others of its kind.
    pub fn report(&mut self, kind: &str, id: &str) -> Report {
        let digest = rendezvous::key(&format!("{kind}/{id}"));
        if self.logged.contains(&digest) {
            return Report::Nothing;
        }
        if self.logged.len() < MAX_LOGGED {
            self.logged.insert(digest);
            return Report::Entry;
        }
        if std::mem::replace(&mut self.omitted, true) {
            Report::Nothing
        } else {
            Report::Omission
        }
    }
}

/// The start of a text that is long enough for the log.
///
/// ```
/// use rattanturn_core::unusable_entries::shorten;
/// assert_eq!(shorten("port"), "port");
/// assert!(shorten(&"é".repeat(1_000_000)).len() < 1_000);
/// ```
#[must_use]
pub fn shorten(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_TEXT_CHARS);
    end.map_or(text, |(at, _)| &text[..at])
}
