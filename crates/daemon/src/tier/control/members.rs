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
const REGISTER_PAUSE: Duration = Duration::from_secs(6);
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
            if self.states.get(name) != Some(state) {
                tracing::info!(daemon = %name, state = ?state, "daemon");
            }
        }
        self.states = states;
    }

    /// Writes the own entry at the start, and again if it is missing.
    pub(super) fn register(&mut self, now: Time) {
        let name = &self.settings.name;
        let due = match self.registered {
            None => true,
            Some(at) => {
                let known = self.knowledge.revision > 0;
                let present = self.knowledge.daemons.contains_key(name);
                known && !present && now.since(at) > REGISTER_PAUSE
            }
        };
        if due {
            self.registered = Some(now);
            let (store, name) = (self.store.clone(), name.clone());
            actix_rt::spawn(register::register(store, name, self.cores));
        }
    }

    /// Removes entries of daemons that are gone; the readers do it for all.
    pub(super) fn remove_absent(&mut self, now: Time) {
        if !self.place.primary {
            return;
        }
        let alive: BTreeSet<&str> = self
            .membership
            .present()
            .map(|m| m.record.endpoints.name.as_str())
            .collect();
        let entries = self.knowledge.daemons.keys();
        for name in self.absent.due(now, entries, |n| alive.contains(n)) {
            actix_rt::spawn(register::remove(self.store.clone(), name));
        }
    }
}
