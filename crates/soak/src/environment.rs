//! The stand-ins that daemons talk to: the store, the targets, and a proxy in front of each.
//!
//! The targets announce the addresses of their proxies, so daemons reach them only through a proxy
//! that can inject network faults. Each daemon has a proxy of its own for the store.

use {
    crate::{
        accounts::{self, Accounts},
        standin_threads::StandinThreads,
    },
    rattanturn_standins::{
        operator::{ConfigBuilder, deregister_target, register_target_at},
        platform::{self, Platform},
        proxy::Proxy,
        shard::{self, TargetConfig},
    },
    serde_json::json,
    std::{
        future::pending,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// Data centres; each has one target of each service.
pub(crate) const CENTRES: [&str; 3] = ["a", "b", "c"];
/// Shards of the scatter-gather route `/all/`, each a service of its own.
pub(crate) const SHARD_COUNT: usize = 5;
/// Service of the route `/once/`, whose requests must not run twice.
pub(crate) const ONCE_SERVICE: &str = "once";
/// Services of the route `/one/`; configuration number `i` gives it the one at index `i`.
pub(crate) const SINGLE_SERVICES: [&str; 5] =
    ["single-0", "single-1", "single-2", "single-3", "single-4"];
/// Services of the routes `/long/`, `/letter/` (whose requests must not run twice) and `/wide/` (a
/// scatter-gather) of runs with stops. Their requests may run for seconds.
pub(crate) const LONG_SERVICE: &str = "long";
pub(crate) const LETTER_SERVICE: &str = "letter";
pub(crate) const WIDE_SERVICES: [&str; 3] = ["wide-0", "wide-1", "wide-2"];
/// Daemons for which each of these services has one more target in each data centre: long requests
/// hold their slots, and each daemon has callers of its own.
const DAEMONS_PER_TARGET: usize = 5;
/// Connections that a target accepts for each daemon of a run with more daemons than usual.
const CONNECTIONS_PER_DAEMON: u32 = 6;
/// Time limit and latency goal of the routes of runs with stops.
pub(crate) const LONG_LIMIT: Duration = Duration::from_secs(8);
pub(crate) const LONG_GOAL: Duration = Duration::from_secs(2);
/// Latency goal of the scatter-gather route.
const LATENCY_GOAL_MS: u64 = 250;
/// Time that a target needs for one request.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(8);

/// Lets a proxy listen on a free port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A target and the proxy in front of it.
pub(crate) struct Target {
    pub(crate) state: Arc<shard::State>,
    pub(crate) proxy: Proxy,
    /// Whether it has left for good, so that it is not announced again.
    retired: bool,
    /// Number of its last announcement; daemons take a higher one as newer.
    sequence: u64,
}

/// The stand-ins of a run.
pub(crate) struct Environment {
    threads: Rc<StandinThreads>,
    /// Where the store serves.
    store_addr: SocketAddr,
    pub(crate) store: Arc<platform::State>,
    /// By service, then by data centre.
    pub(crate) targets: Vec<Target>,
    /// Names of the services of the shards.
    pub(crate) shards: Vec<String>,
    config: ConfigBuilder,
    /// Whether there are the routes and targets of runs with stops.
    has_long: bool,
}

impl Environment {
    /// Starts the store and all targets, `in_centre` of each service in each data centre, and
    /// announces the targets.
    pub(crate) async fn spawn(in_centre: usize) -> eyre::Result<Self> {
        let threads = Rc::new(StandinThreads::start());
        let (store_addr, store) = threads.run(spawn_store).await?;
        let shards: Vec<String> = (0..SHARD_COUNT).map(|i| format!("shard-{i}")).collect();
        let mut targets = Vec::new();
        let names = shards.iter().map(String::as_str);
        for service in names.chain([ONCE_SERVICE]).chain(SINGLE_SERVICES) {
            for i in 0..CENTRES.len() * in_centre {
                let (centre, round) = (CENTRES[i % CENTRES.len()], i / CENTRES.len());
                let suffix = if round == 0 {
                    String::new()
                } else {
                    format!("-{round}")
                };
                let config = TargetConfig {
                    id: format!("{service}-{centre}{suffix}"),
                    service: service.into(),
                    centre: centre.into(),
                    service_time: SERVICE_TIME,
                    version: "v1".into(),
                };
                targets.push(spawn_target(&threads, config).await?);
            }
        }
        let mut environment = Self {
            threads,
            store_addr,
            store,
            targets,
            shards,
            config: ConfigBuilder::default(),
            has_long: false,
        };
        for i in 0..environment.targets.len() {
            environment.announce(i, "ready");
        }
        Ok(environment)
    }

    /// Adds the targets and routes of runs with stops, behind the others.
    pub(crate) async fn add_long_targets(&mut self, daemons: u8) -> eyre::Result<()> {
        self.has_long = true;
        let in_centre = 1 + usize::from(daemons).div_ceil(DAEMONS_PER_TARGET);
        if usize::from(daemons) > DAEMONS_PER_TARGET {
            let count = CONNECTIONS_PER_DAEMON * u32::from(daemons);
            self.config = std::mem::take(&mut self.config).max_connections(count);
        }
        for service in [LONG_SERVICE, LETTER_SERVICE].iter().chain(&WIDE_SERVICES) {
            for i in 0..CENTRES.len() * in_centre {
                let config = TargetConfig {
                    id: format!("{service}-{i}"),
                    service: (*service).into(),
                    centre: CENTRES[i % CENTRES.len()].into(),
                    service_time: SERVICE_TIME,
                    version: "v1".into(),
                };
                self.targets
                    .push(spawn_target(&self.threads, config).await?);
                self.announce(self.targets.len() - 1, "ready");
            }
        }
        Ok(())
    }

    /// The threads on which further stand-ins are started.
    pub(crate) fn threads(&self) -> Rc<StandinThreads> {
        self.threads.clone()
    }

    /// Indices of the targets of a service.
    pub(crate) fn targets_of(&self, service: &str) -> Vec<usize> {
        let is_of = |i: &usize| self.targets[*i].state.config().service == service;
        (0..self.targets.len()).filter(is_of).collect()
    }

    /// Removes the entries of targets and stops them for good.
    pub(crate) fn retire(&mut self, targets: &[usize]) {
        for i in targets {
            self.remove_target(*i);
            self.targets[*i].retired = true;
            self.targets[*i].state.stop();
        }
    }

    /// Starts a proxy in front of the store, for one daemon.
    pub(crate) async fn spawn_store_proxy(&self) -> eyre::Result<Proxy> {
        self.spawn_proxy(ANY_PORT, self.store_addr).await
    }

    /// Starts a proxy for `server` that listens at `at`.
    pub(crate) async fn spawn_proxy(
        &self,
        at: SocketAddr,
        server: SocketAddr,
    ) -> eyre::Result<Proxy> {
        let bind = async move || Ok(Proxy::bind(at, server).await?);
        self.threads.run(bind).await
    }

    /// Lets the targets record their calls from now on, if asked for.
    pub(crate) fn record_calls(&self, on: bool) {
        for target in self.targets.iter().filter(|_| on) {
            // Nothing was recorded before.
            let _ = target.state.take_calls();
        }
    }

    /// Lets the open connections to all targets fall silent.
    pub(crate) fn silence_targets(&self) {
        self.targets.iter().for_each(|t| t.proxy.silence_open());
    }

    /// Writes a configuration into the store; `number` selects the service of the route `/one/`.
    pub(crate) fn write_config(&mut self, number: usize, accounts: Option<&Accounts>) {
        let list = accounts.map(|accounts| {
            let all = accounts::listed(accounts).map(|(name, keys, rate)| {
                let rate = rate.unwrap_or(0.0);
                json!({"name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate})
            });
            all.collect()
        });
        let config = std::mem::take(&mut self.config).clear_routes();
        let config = config.accounts(list);
        self.config = config
            .gather_route("/all/", &self.shards, LATENCY_GOAL_MS)
            .single_route("/one/", SINGLE_SERVICES[number], true)
            .single_route("/once/", ONCE_SERVICE, false);
        if self.has_long {
            self.add_long_routes();
        }
        self.config.write(&self.store);
    }

    /// Adds the routes of runs with stops, which need no key.
    fn add_long_routes(&mut self) {
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let (limit, goal) = (millis(LONG_LIMIT), millis(LONG_GOAL));
        let wide = WIDE_SERVICES.map(str::to_owned);
        self.config = std::mem::take(&mut self.config)
            .single_route("/long/", LONG_SERVICE, true)
            .limits(limit, goal)
            .public()
            .single_route("/letter/", LETTER_SERVICE, false)
            .limits(limit, goal)
            .public()
            .gather_route("/wide/", &wide, goal)
            .limits(limit, goal)
            .public();
    }

    /// Writes a target's entry in the store, with its state (`ready` or `draining`) and the address
    /// of its proxy.
    pub(crate) fn announce(&mut self, target: usize, state: &str) {
        let target = &mut self.targets[target];
        if target.retired {
            return;
        }
        target.sequence += 1;
        let (server, addr) = (&target.state, target.proxy.addr);
        register_target_at(&self.store, server, state, target.sequence, addr);
    }

    /// Removes a target's entry from the store.
    pub(crate) fn remove_target(&mut self, target: usize) {
        deregister_target(&self.store, &self.targets[target].state);
    }

    /// Multiplies the service time of all targets of the given target's service by `factor`.
    pub(crate) fn slow_service(&self, target: usize, factor: f64) {
        let service = &self.targets[target].state.config().service;
        let all = self.targets.iter().map(|t| &t.state);
        all.filter(|s| s.config().service == *service)
            .for_each(|s| s.set_slow(factor));
    }

    /// The target with an id.
    pub(crate) fn find_target(&self, id: &str) -> Option<&Arc<shard::State>> {
        let mut all = self.targets.iter().map(|t| &t.state);
        all.find(|s| s.config().id == id)
    }

    /// How often a request ran, at all targets whose service's name begins with `prefix`.
    pub(crate) fn run_count(&self, prefix: &str, id: &str) -> u32 {
        let of = self.targets.iter().map(|t| &t.state);
        of.filter(|s| s.config().service.starts_with(prefix))
            .map(|s| s.runs(id))
            .sum()
    }
}

/// Starts the store, which serves as long as its thread runs; returns its address and state.
async fn spawn_store() -> eyre::Result<(SocketAddr, Arc<platform::State>)> {
    let store = Platform::spawn()?;
    let handle = (store.addr(), store.state());
    actix_rt::spawn(async move {
        pending::<()>().await;
        drop(store);
    });
    Ok(handle)
}

/// Starts a target, which is not announced yet.
pub(crate) async fn spawn_target(
    threads: &StandinThreads,
    config: TargetConfig,
) -> eyre::Result<Target> {
    let start = async move || {
        let state = shard::spawn(config).await?;
        let proxy = Proxy::bind(ANY_PORT, state.addr()).await?;
        Ok(Target {
            state,
            proxy,
            retired: false,
            sequence: 0,
        })
    };
    threads.run(start).await
}
