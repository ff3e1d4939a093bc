//! Logs state changes of daemons, tells peers whether callers may be sent here, and maintains the
//! daemons' entries in the store.
//!
//! The entries tell how many daemons are deployed, and with how many cores each, also to a daemon
//! that just started and knows few peers.

use {
    crate::tier::{control::Control, register, view::Phase},
    rattanturn_core::{Time, membership::State},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::atomic::Ordering,
        time::Duration,
    },
};

/// Least time between two writes of this daemon's own entry.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(6);

impl Control {
    /// Logs each daemon whose state changed.
    pub(super) fn log_members(&mut self) {
        let mut states = BTreeMap::new();
        for member in self.membership.members() {
            let name = &member.record.endpoints.name;
            // After a restart the older run is listed as dead under the same name, so the newest
            // run is the one that is least dead.
            let newest: &mut State = states.entry(name.clone()).or_insert(State::Dead);
            *newest = (*newest).min(member.record.state);
        }
        for (name, state) in &states {
            if self.logged_states.get(name) != Some(state) {
                tracing::info!(daemon = %name, state = ?state, "daemon changed state");
            }
        }
        self.logged_states = states;
    }

    /// Has peers direct callers to other daemons while this one has lost the targets.
    pub(super) fn update_withdrawn(&mut self, now: Time) {
        let withdrawn = self.gauges.withdrawn.load(Ordering::Relaxed);
        if self.phase != Phase::Serving || withdrawn == self.withdrawn {
            return;
        }
        self.withdrawn = withdrawn;
        if withdrawn {
            tracing::info!("withdrawn: peers reach the targets and this daemon does not");
            self.membership.leave(now);
        } else {
            tracing::info!("advertised to callers again");
            self.membership.stay(now);
        }
    }

    /// Writes this daemon's entry at the start, and again while the store does not list it.
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
            actix_rt::spawn(register::write_entry(store, name, self.tier.cores));
        }
    }

    /// Removes the entries of daemons that are gone. Only primary readers do it.
    pub(super) fn remove_stale_entries(&mut self, now: Time) {
        if !self.reader_context.is_primary() {
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
