//! The routes and services that operators configure.
//!
//! A catalog is one immutable version of the whole configuration. A request uses the same catalog
//! from start to end, so its answer never mixes shards of two versions. The price is that a change
//! does not affect requests that are already running.

use {
    crate::accounts::Accounts,
    std::{collections::HashMap, time::Duration},
};

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// To one target of the named service.
    Single(String),
    /// To one target of one of several services, chosen in proportion to their weights.
    Split(Vec<WeightedService>),
    /// To one target of each of several services, whose answers are merged.
    Gather(Gather),
    /// Unknown, as the configuration names none that can be used: the requests are refused.
    Unknown,
}

/// A service among those that the requests of a route are divided between.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A scatter-gather over all shards of an index.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Names of the services, one for each shard.
    pub services: Vec<String>,
    /// Number of records in the merged answer.
    pub top_k: usize,
    /// Smallest fraction of the shards that an answer must cover, from 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Smallest number of shards that an answer must cover, at least 1 if there are any.
    ///
    /// ```
    /// use rattanturn_core::catalog::Gather;
    /// let services = (0..20).map(|i| format!("s{i}")).collect();
    /// assert_eq!(Gather { services, top_k: 10, min_coverage: 0.89 }.min_shards(), 18);
    /// ```
    #[must_use]
    pub fn min_shards(&self) -> usize {
        let count = u32::try_from(self.services.len()).unwrap_or(u32::MAX);
        let enough = |n: &u32| f64::from(*n) / f64::from(count) >= self.min_coverage;
        (1..=count).find(enough).unwrap_or(count) as usize
    }
}

/// How the requests with one path prefix of one host are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in the settings, logs and metrics.
    pub name: String,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// Path prefix of its requests; the longest matching prefix of a host wins.
    pub prefix: String,
    /// Whether a request may safely run more than once, so that it can be retried and hedged.
    pub idempotent: bool,
    /// Longest time from the arrival of a request until it is answered.
    pub timeout: Duration,
    /// Time within which an answer is worth most, if the operators set one. It limits the hedge
    /// delay and decides from when an incomplete answer is preferred to a later complete one.
    pub latency_goal: Option<Duration>,
    /// Largest number of targets of one service that a request is sent to, at least 1.
    pub max_attempts: u32,
    /// Rank under overload, of any size; 0 is the most urgent.
    pub priority: u64,
    /// Whether its requests need no key where the configuration names accounts.
    pub public: bool,
    /// Where its requests go.
    pub destination: Destination,
}

/// Settings that all targets of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, which routes refer to.
    pub name: String,
    /// Largest number of connections to a target from all daemons together; `None` for no limit.
    pub connections: Option<u32>,
    /// Time after its start during which a target is cold.
    pub warmup_time: Duration,
    /// Requests per second that a cold target may get from all daemons together; `None` for no
    /// limit.
    pub cold_rate: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request's head.
    pub header_time: Duration,
    /// Longest time that a caller may take to send a request's body, and longest time that a
    /// connection may stay idle between requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}

/// One version of the routes, services and caller limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<String, Service>,
    limits: CallerLimits,
    accounts: Option<Accounts>,
}

impl Catalog {
    /// Creates a catalog; routes may refer to services that are not in `services`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            hosts,
            services,
            limits,
            accounts: None,
        }
    }

    /// Adds the accounts of callers. Without them, requests need no key.
    #[must_use]
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// The accounts of callers; `None` if the configuration names none.
    #[must_use]
    pub fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_ref()
    }

    /// Version of the stored configuration that it was read from.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: the one of `host` whose prefix of `path` is the longest.
    ///
    /// The case of `host` does not matter and its port is ignored.
    ///
    /// ```
    /// use {rattanturn_core::catalog::*, std::time::Duration};
    /// let route = |prefix: &str| Route {
    ///     name: prefix.into(),
    ///     host: "h".into(),
    ///     prefix: prefix.into(),
    ///     idempotent: true,
    ///     timeout: Duration::from_secs(1),
    ///     latency_goal: None,
    ///     max_attempts: 1,
    ///     priority: 0,
    ///     public: false,
    ///     destination: Destination::Single("s".into()),
    /// };
    /// let routes = vec![route("/a/"), route("/a/b/")];
    /// let catalog = Catalog::new(1, routes, vec![], CallerLimits::default());
    /// assert_eq!(catalog.route("H:80", "/a/b/c").unwrap().prefix, "/a/b/");
    /// assert!(catalog.route("h", "/b/").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// The settings of a service, if it is configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Limits on the requests and connections of callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
