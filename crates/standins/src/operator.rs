//! Writes configurations into the store as the users' operators do.

use {
    crate::platform::State,
    serde_json::{Value, json},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Connections that a server accepts from all daemons together.
const MAX_CONNECTIONS: u32 = 30;

/// A configuration in the making.
#[derive(Clone, Debug, Default)]
pub struct ConfigBuilder {
    version: u64,
    routes: Vec<Value>,
    services: BTreeSet<String>,
}

impl ConfigBuilder {
    /// Adds a route over all of `services`.
    #[must_use]
    pub fn gather_route(mut self, prefix: &str, services: &[String], goal_ms: u64) -> Self {
        self.services.extend(services.iter().cloned());
        self.add_route(
            prefix,
            &json!({
                "type": "idempotent", "gather": services, "topK": 10, "minCoverage": 0.75,
                "latencyGoalMs": goal_ms, "timeoutMs": 2000, "maxAttempts": 2, "priority": 1,
            }),
        )
    }

    /// Adds a route to one server of a service.
    #[must_use]
    pub fn single_route(mut self, prefix: &str, service: &str, idempotent: bool) -> Self {
        self.services.insert(service.into());
        let kind = if idempotent {
            "idempotent"
        } else {
            "non_idempotent"
        };
        self.add_route(
            prefix,
            &json!({
                "type": kind, "service": service, "timeoutMs": 1500, "latencyGoalMs": 300,
                "maxAttempts": 2, "priority": 2,
            }),
        )
    }

    /// Adds a route that is split between two services.
    #[must_use]
    pub fn split_route(mut self, prefix: &str, weights: &[(&str, u32)]) -> Self {
        self.services.extend(weights.iter().map(|s| s.0.to_owned()));
        let weights: Vec<Value> = weights
            .iter()
            .map(|(service, weight)| json!({"service": service, "weight": weight}))
            .collect();
        self.add_route(
            prefix,
            &json!({
                "type": "idempotent", "split": weights, "timeoutMs": 1500, "maxAttempts": 2,
                "priority": 2,
            }),
        )
    }

    fn add_route(mut self, prefix: &str, fields: &Value) -> Self {
        let mut route = json!({"name": prefix, "host": HOST, "pathPrefix": prefix});
        if let (Some(route), Some(fields)) = (route.as_object_mut(), fields.as_object()) {
            route.extend(fields.clone());
        }
        self.routes.push(route);
        self
    }

    /// Drops the routes but keeps the services, for the next version.
    #[must_use]
    pub fn clear_routes(mut self) -> Self {
        self.routes.clear();
        self
    }

    /// Writes the configuration under a version of its own.
    pub fn write(&mut self, store: &State) {
        self.version += 3;
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|name| {
                json!({
                    "name": name, "healthPath": "/healthz", "maxConns": MAX_CONNECTIONS,
                    "warmupS": 3.0, "coldPerS": 0.0,
                })
            })
            .collect();
        let spec = json!({
            "version": self.version, "routes": self.routes, "services": services,
            "limits": {
                "headerBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        });
        store.write("config", "main", spec);
    }
}

/// Writes what a server says of itself.
pub fn register_target(store: &State, server: &crate::shard::State, state: &str, sequence: u64) {
    store.write(
        "servers",
        &server.config().id,
        server.entry(state, sequence),
    );
}

/// Writes what a server says of itself, with the address of a proxy before it.
pub fn register_target_at(
    store: &State,
    server: &crate::shard::State,
    state: &str,
    sequence: u64,
    addr: SocketAddr,
) {
    let mut entry = server.entry(state, sequence);
    entry["address"] = json!(addr);
    store.write("servers", &server.config().id, entry);
}

/// Removes a server's entry.
pub fn deregister_target(store: &State, server: &crate::shard::State) {
    store.remove("servers", &server.config().id);
}

/// Takes a data centre out or brings it back.
pub fn set_evacuated(store: &State, centre: &str, evacuated: bool) {
    if evacuated {
        store.write("evacuations", centre, json!({}));
    } else {
        store.remove("evacuations", centre);
    }
}
