//! The state dump, as JSON for people and for the command-line tool.

use {
    super::Control,
    crate::{clock, routing},
    rattanturn_core::membership::Member,
    std::{
        net::SocketAddr,
        sync::{PoisonError, atomic::Ordering},
    },
};

impl Control {
    pub(super) fn dump(&self) -> serde_json::Value {
        let member = |m: &Member| {
            serde_json::json!({
                "id": m.fact.id.to_string(),
                "name": m.fact.place.name,
                "centre": m.fact.place.centre,
                "admin": SocketAddr::new(m.fact.place.gossip.ip(), m.fact.place.admin),
                "state": format!("{:?}", m.fact.state),
                "tables": m.versions.tables,
                "panels": m.versions.panels,
            })
        };
        let routing = self.routing.load();
        let now = clock::now();
        let unit = |u: &routing::Unit| {
            let mine = u.cell.as_ref().is_some_and(|c| c.usable(now));
            serde_json::json!({
                "unit": u.name,
                "centre": u.centre,
                "holder": u.holder.map(|h| h.to_string()),
                "mine": mine,
            })
        };
        let threads = self
            .gauges
            .dumps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        serde_json::json!({
            "name": self.settings.name,
            "id": self.me.to_string(),
            "centre": self.settings.centre,
            "phase": format!("{:?}", self.phase),
            "tables": self.tables.version(),
            "panels": self.panels.version(),
            "watching": !self.watches.is_empty(),
            "requests": self.gauges.requests.load(Ordering::Acquire),
            "leases": self.leases.dump(),
            "control": self.cost.dump(),
            "members": self.membership.members().map(member).collect::<Vec<_>>(),
            "units": routing.units.iter().map(unit).collect::<Vec<_>>(),
            "threads": threads,
        })
    }
}
