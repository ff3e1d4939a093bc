//! Edits the simulated object store as the platform's operators and targets do: writes
//! configurations, target entries and evacuations.
//!
//! The edits go straight into the state of the store and not over its HTTP interface, so they
//! succeed even while the store simulates an outage.

use {
    crate::platform::State,
    serde_json::{Value, json},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Host name of all routes, which requests must carry in their `Host` header.
pub const HOST: &str = "desk.example";
/// Number of connections that each target accepts from all daemons together, if not set.
const MAX_CONNECTIONS: u32 = 30;

/// Builder of the configuration object, which holds the routes and their services.
#[derive(Clone, Debug, Default)]
pub struct ConfigBuilder {
    version: u64,
    routes: Vec<Value>,
    services: BTreeSet<String>,
    /// Requests a second that each cold target takes; 0 sets no limit.
    cold_rate: f64,
    /// `None` leaves the list of accounts out.
    accounts: Option<Value>,
    /// `None` stands for [`MAX_CONNECTIONS`].
    max_connections: Option<u32>,
}

impl ConfigBuilder {
    /// Adds an idempotent scatter-gather route: each request is sent to one target of every service
    /// in `services`.
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

    /// Adds a route whose requests go to one target of `service`.
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

    /// Adds an idempotent route that distributes its requests over several services in proportion
    /// to their weights.
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

    /// Lets requests to the route that was added last need no key.
    #[must_use]
    pub fn public(mut self) -> Self {
        if let Some(route) = self.routes.last_mut() {
            route["public"] = json!(true);
        }
        self
    }

    /// Sets the time limit and the latency goal of the route that was added last.
    #[must_use]
    pub fn limits(mut self, timeout_ms: u64, goal_ms: u64) -> Self {
        if let Some(route) = self.routes.last_mut() {
            route["timeoutMs"] = json!(timeout_ms);
            route["latencyGoalMs"] = json!(goal_ms);
        }
        self
    }

    /// Sets a field of the route that was added last, in the platform's format.
    #[must_use]
    pub fn field(mut self, name: &str, value: Value) -> Self {
        if let Some(route) = self.routes.last_mut() {
            route[name] = value;
        }
        self
    }

    /// Sets the number of connections that each target accepts from all daemons together.
    #[must_use]
    pub fn max_connections(mut self, count: u32) -> Self {
        self.max_connections = Some(count);
        self
    }

    /// Sets the list of accounts in the platform's format, or leaves it out.
    #[must_use]
    pub fn accounts(mut self, list: Option<Value>) -> Self {
        self.accounts = list;
        self
    }

    /// Sets how many requests a second each cold target takes from all daemons together.
    #[must_use]
    pub fn cold_rate(mut self, rate: f64) -> Self {
        self.cold_rate = rate;
        self
    }

    /// Removes all routes but keeps the services, so that the next version can define other routes
    /// for the same targets.
    #[must_use]
    pub fn clear_routes(mut self) -> Self {
        self.routes.clear();
        self
    }

    /// Writes the configuration to the store under a new version.
    ///
    /// The version is unrelated to the object's revision in the store, and consecutive versions are
    /// not consecutive numbers.
    pub fn write(&mut self, store: &State) {
        self.version += 3;
        let max_connections = self.max_connections.unwrap_or(MAX_CONNECTIONS);
        let services: Vec<Value> = self
            .services
            .iter()
            .map(|name| {
                json!({
                    "name": name, "healthPath": "/healthz", "maxConns": max_connections,
                    "warmupS": 3.0, "coldPerS": self.cold_rate,
                })
            })
            .collect();
        let mut spec = json!({
            "version": self.version, "routes": self.routes, "services": services,
            "limits": {
                "headerBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        });
        if let Some(list) = &self.accounts {
            spec["tenants"] = list.clone();
        }
        store.write("config", "main", spec);
    }
}

/// Writes a target's entry to the store, with the address at which it listens.
///
/// `state` is `ready` or `draining`. `sequence` must grow with each entry of the same target;
/// daemons ignore an entry with a smaller one as outdated.
pub fn register_target(store: &State, target: &crate::shard::State, state: &str, sequence: u64) {
    store.write("servers", &target.id(), target.entry(state, sequence));
}

/// Like [`register_target`], but with the address `addr`, for example of a proxy in front of the
/// target.
pub fn register_target_at(
    store: &State,
    target: &crate::shard::State,
    state: &str,
    sequence: u64,
    addr: SocketAddr,
) {
    let mut entry = target.entry(state, sequence);
    entry["address"] = json!(addr);
    store.write("servers", &target.id(), entry);
}

/// Removes a target's entry from the store; the target itself keeps running.
pub fn deregister_target(store: &State, target: &crate::shard::State) {
    store.remove("servers", &target.id());
}

/// Marks a data centre as evacuated in the store, or removes the mark.
pub fn set_evacuated(store: &State, centre: &str, evacuated: bool) {
    if evacuated {
        store.write("evacuations", centre, json!({}));
    } else {
        store.remove("evacuations", centre);
    }
}

/// Orders to move a service to targets of `version` within `duration_s` seconds, or replaces the order.
pub fn order_rollout(store: &State, service: &str, version: &str, duration_s: f64) {
    let spec = json!({"service": service, "targetVersion": version, "durationS": duration_s});
    store.write("rollouts", service, spec);
}
