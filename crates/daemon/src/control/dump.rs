//! The state dump: this daemon's state as JSON, for operators and for the command-line tool, which
//! relies on the keys.

use {
    super::Control,
    crate::{clock, routing},
    rattanturn_core::membership::Member,
    std::{net::SocketAddr, sync::PoisonError},
};

impl Control {
    /// Builds the state dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        let member = |m: &Member| {
            serde_json::json!({
                "id": m.record.id.to_string(),
                "name": m.record.endpoints.name,
                "centre": m.record.endpoints.centre,
                "admin": SocketAddr::new(m.record.endpoints.gossip.ip(), m.record.endpoints.admin),
                "state": format!("{:?}", m.record.state),
                "tables": m.versions.tables,
                "panels": m.versions.voter_sets,
            })
        };
        let routing = self.routing.load();
        let now = clock::now();
        let unit = |u: &routing::Unit| {
            let mine = u.lease.as_ref().is_some_and(|c| c.usable(now));
            serde_json::json!({
                "unit": u.name,
                "centre": u.centre,
                "holder": u.holder.map(|h| h.to_string()),
                "mine": mine,
            })
        };
        let threads = self
            .gauges
            .thread_dumps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        serde_json::json!({
            "name": self.settings.name,
            "id": self.me.to_string(),
            "centre": self.settings.centre,
            "phase": format!("{:?}", self.phase),
            "tables": self.tables.version(),
            "panels": self.voter_sets.version(),
            "watching": !self.watches.is_empty(),
            "requests": self.gauges.open_requests(),
            "leases": self.leases.dump(),
            "control": self.usage.dump(),
            "members": self.membership.members().map(member).collect::<Vec<_>>(),
            "units": routing.units.iter().map(unit).collect::<Vec<_>>(),
            "threads": threads,
            "problems": self.problems(&routing),
        })
    }

    /// One line for each problem: no tables, or a service whose targets cannot be called.
    fn problems(&self, routing: &routing::Routing) -> Vec<String> {
        if self.tables.version() == 0 {
            return vec!["no tables are known yet: the platform has not been read".into()];
        }
        let mut out = Vec::new();
        for (pool, services) in &routing.services {
            let names = routing.tables.pools.get(pool).map(|p| &p.services);
            for (service, targets) in names.into_iter().flatten().zip(services) {
                let held = |t: &usize| routing.unit_of(*t).is_some_and(|u| u.holder.is_some());
                let why = if targets.is_empty() {
                    "all its targets are in data centres taken out"
                } else if !targets.iter().any(held) {
                    "no daemon is near its targets to hold them"
                } else {
                    continue;
                };
                out.push(format!("service {pool}/{}: {why}", service.name));
            }
        }
        out
    }
}
