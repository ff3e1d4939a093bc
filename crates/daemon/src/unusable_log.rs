//! Counts and logs what this daemon reads and cannot use, each entry once.

use {
    rattanturn_core::unusable_entries::{Report, UnusableEntries, shorten},
    rattanturn_wire::items::UnreadableItem,
};

/// Entries that cannot be used, as far as they were logged.
#[derive(Debug, Default)]
pub(crate) struct UnusableLog(UnusableEntries);

impl UnusableLog {
    /// Counts an entry of the store that cannot be used, and logs it unless it was logged before.
    pub(crate) fn note_entry(&mut self, kind: &'static str, name: Option<&str>, problem: &str) {
        match self.record(kind, name, problem) {
            Report::Entry => {
                let (name, problem) = (name.map(shorten), shorten(problem));
                tracing::warn!(kind, ?name, problem, "an entry of the store cannot be used");
            }
            Report::Omission => {
                tracing::warn!("further entries of the store that cannot be used are not logged");
            }
            Report::Nothing => {}
        }
    }

    /// Like [`Self::note_entry`] for what could not be read of a peer's message. What its items name
    /// stays as it is known.
    pub(crate) fn note_items(&mut self, kind: &'static str, unreadable: &[UnreadableItem]) {
        for item in unreadable {
            let name = item.id.as_deref();
            match self.record(kind, name, &item.problem) {
                Report::Entry => {
                    let (name, problem) = (name.map(shorten), shorten(&item.problem));
                    tracing::warn!(
                        kind,
                        ?name,
                        problem,
                        "an item that a peer sent cannot be read"
                    );
                }
                Report::Omission => {
                    tracing::warn!("further items that cannot be read are not logged");
                }
                Report::Nothing => {}
            }
        }
    }

    fn record(&mut self, kind: &'static str, name: Option<&str>, problem: &str) -> Report {
        metrics::counter!("rattanturn_odd_entries_total", "kind" => kind).increment(1);
        self.0.report(kind, name.unwrap_or(problem))
    }
}
