//! The state dump for operators.
//!
//! It is made on the control thread, so that its parts are of the same moment. Control does nothing
//! else meanwhile, so targets are counted and not listed.

use {
    super::Control,
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::atomic::Ordering},
};

impl Control {
    /// The state dump: what this daemon knows, reads and serves now.
    pub(super) fn dump(&self) -> Value {
        let members: Vec<Value> = self
            .membership
            .members()
            .map(|m| {
                let endpoints = &m.record.endpoints;
                json!({
                    "name": endpoints.name,
                    "centre": endpoints.centre,
                    "admin": SocketAddr::new(endpoints.gossip.ip(), endpoints.admin),
                    "state": format!("{:?}", m.record.state),
                    "tables": m.versions.tables,
                    "panels": m.versions.voter_sets,
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "front": self.front,
            "phase": format!("{:?}", self.phase),
            "centre": self.settings.centre,
            "tables": self.cluster.config_version(),
            "fleet_revision": self.cluster.revision,
            "reads_store": self.read_session.is_some(),
            "targets": self.cluster.targets.targets().count(),
            "leaving": self.gauges.withdrawn_targets.load(Ordering::Relaxed),
            "targets_lost": self.gauges.targets_lost.load(Ordering::Relaxed),
            "out": self.cluster.evacuations.centres(),
            "rollouts": self.rollouts_dump(),
            "members": members,
            "problems": self.problems(),
            "accounts": self.dump_accounts(),
            "store_failures": self.cluster.failures,
            "requests": self.gauges.open_requests.load(Ordering::Relaxed),
            "links": self.gauges.upstreams.load(Ordering::Relaxed),
            "connections": self.gauges.connections.load(Ordering::Relaxed),
        })
    }
}
