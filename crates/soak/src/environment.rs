//! What stands around the daemons: the store, the targets, and the proxies before them.

use {
    crate::proxy::Proxy,
    rattanturn_standins::{
        operator::{Operator, announce_at, withdraw},
        platform::{self, Platform},
        shard::{self, Shape},
    },
    std::{sync::Arc, time::Duration},
};

/// Data centres; each has one replica of each service.
pub(crate) const CENTRES: [&str; 3] = ["a", "b", "c"];
/// Shards of the gathered route.
pub(crate) const SHARD_COUNT: usize = 5;
/// Service of requests that may run once only.
pub(crate) const ONCE_SERVICE: &str = "once";
/// Services that the route `/one/` is given one after another.
pub(crate) const SINGLE_SERVICES: [&str; 5] =
    ["single-0", "single-1", "single-2", "single-3", "single-4"];
/// Goal of the gathered route.
const LATENCY_GOAL_MS: u64 = 250;
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// A target, the proxy before it, and what the store says of it.
pub(crate) struct Target {
    pub(crate) state: Arc<shard::State>,
    pub(crate) proxy: Proxy,
    sequence: u64,
}

/// The surroundings.
pub(crate) struct Environment {
    platform: Platform,
    pub(crate) store: Arc<platform::State>,
    pub(crate) targets: Vec<Target>,
    pub(crate) shards: Vec<String>,
    operator: Operator,
}

impl Environment {
    pub(crate) async fn spawn() -> eyre::Result<Self> {
        let platform = Platform::spawn()?;
        let shards: Vec<String> = (0..SHARD_COUNT).map(|i| format!("shard-{i}")).collect();
        let mut targets = Vec::new();
        let names = shards.iter().map(String::as_str);
        for service in names.chain([ONCE_SERVICE]).chain(SINGLE_SERVICES) {
            for centre in CENTRES {
                let state = shard::spawn(Shape {
                    id: format!("{service}-{centre}"),
                    service: service.into(),
                    centre: centre.into(),
                    work: SERVICE_TIME,
                })
                .await?;
                let proxy = Proxy::spawn(state.addr()).await?;
                targets.push(Target {
                    state,
                    proxy,
                    sequence: 0,
                });
            }
        }
        let mut environment = Self {
            store: platform.state(),
            platform,
            targets,
            shards,
            operator: Operator::default(),
        };
        for i in 0..environment.targets.len() {
            environment.announce(i, "ready");
        }
        environment.write_config(0);
        Ok(environment)
    }

    /// Starts a proxy before the store for one daemon.
    pub(crate) async fn spawn_store_proxy(&self) -> eyre::Result<Proxy> {
        Ok(Proxy::spawn(self.platform.addr()).await?)
    }

    /// Puts a configuration into the store that gives `/one/` to a service.
    pub(crate) fn write_config(&mut self, number: usize) {
        let operator = std::mem::take(&mut self.operator).next();
        self.operator = operator
            .gather("/all/", &self.shards, LATENCY_GOAL_MS)
            .single("/one/", SINGLE_SERVICES[number], true)
            .single("/once/", ONCE_SERVICE, false);
        self.operator.write(&self.store);
    }

    /// Writes what a target says of itself.
    pub(crate) fn announce(&mut self, target: usize, state: &str) {
        let target = &mut self.targets[target];
        target.sequence += 1;
        let (server, addr) = (&target.state, target.proxy.addr);
        announce_at(&self.store, server, state, target.sequence, addr);
    }

    /// Removes a target's entry.
    pub(crate) fn remove_target(&mut self, target: usize) {
        withdraw(&self.store, &self.targets[target].state);
    }

    /// Makes all targets of a target's service take `factor` times as long.
    pub(crate) fn slow_service(&self, target: usize, factor: f64) {
        let service = &self.targets[target].state.shape().service;
        let all = self.targets.iter().map(|t| &t.state);
        all.filter(|s| s.shape().service == *service)
            .for_each(|s| s.set_slow(factor));
    }

    /// A target by its id.
    pub(crate) fn find_target(&self, id: &str) -> Option<&Arc<shard::State>> {
        let mut all = self.targets.iter().map(|t| &t.state);
        all.find(|s| s.shape().id == id)
    }

    /// How often a request ran at targets whose service begins with `prefix`.
    pub(crate) fn run_count(&self, prefix: &str, id: &str) -> u32 {
        let of = self.targets.iter().map(|t| &t.state);
        of.filter(|s| s.shape().service.starts_with(prefix))
            .map(|s| s.runs(id))
            .sum()
    }
}
