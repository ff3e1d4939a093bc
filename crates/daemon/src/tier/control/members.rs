//! Daemons: their states in the log, and their entries in the store.

use {
    crate::tier::{control::Control, register},
    rattanturn_core::{Time, membership::State},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A missing entry of this daemon's own is written again after this time.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(6);
impl Control {
    /// One line for each daemon that is seen in a new state.
    pub(super) fn log_members(&mut self) {
        let mut states = BTreeMap::new();
        for member in self.membership.members() {
            let name = &member.record.endpoints.name;
            // A daemon that started again has an older run that is dead.
            let newest: &mut State = states.entry(name.clone()).or_insert(State::Dead);
            *newest = (*newest).min(member.record.state);
        }
        for (name, state) in &states {
            if self.logged_states.get(name) != Some(state) {
                tracing::info!(daemon = %name, state = ?state, "daemon");
            }
        }
        self.logged_states = states;
    }

    /// Writes the own entry at the start, and again if it is missing.
    pub(super) fn register_self(&mut self, now: Time) {
        let name = &self.settings.name;
        let due = match self.last_registered {
            None => true,
            Some(at) => {
                let known = self.cluster.revision > 0;
                let present = self.cluster.daemons.contains_key(name);
                known && !present && now.since(at) > REGISTER_RETRY_INTERVAL
            }
        };
        if due {
            self.last_registered = Some(now);
            let (store, name) = (self.store.clone(), name.clone());
            actix_rt::spawn(register::write_entry(store, name, self.cores));
        }
    }

    /// Removes entries of daemons that are gone; the readers do it for all.
    pub(super) fn remove_stale_entries(&mut self, now: Time) {
        if !self.reader_context.primary {
            return;
        }
        let alive: BTreeSet<&str> = self
            .membership
            .present()
            .map(|m| m.record.endpoints.name.as_str())
            .collect();
        let entries = self.cluster.daemons.keys();
        for name in self.stale_entries.due(now, entries, |n| alive.contains(n)) {
            actix_rt::spawn(register::remove_entry(self.store.clone(), name));
        }
    }
}
