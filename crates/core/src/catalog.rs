//! The operators' routes and services, joined by name.
//!
//! A catalog is one version of the whole configuration. Requests keep the catalog that they
//! began with, so an answer never mixes the shards of two versions.

use std::{collections::HashMap, time::Duration};

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// One target of a service.
    Single(String),
    /// One target of one of several services, in the proportion of their weights.
    Split(Vec<WeightedService>),
    /// One target of each of several services, merged.
    Gather(Gather),
}

/// A service's part of a split route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight.
    pub weight: f64,
}

/// A route over all shards of an index.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Names of the services, one for each shard.
    pub services: Vec<String>,
    /// Number of records of the answer.
    pub top_k: usize,
    /// Least share of the shards that an answer covers, 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Least number of shards that an answer covers.
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

/// One kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it belongs to, in lower case.
    pub host: String,
    /// Start of its paths.
    pub prefix: String,
    /// A request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_goal: Option<Duration>,
    /// Targets of one service that a request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub destination: Destination,
}

/// What the targets of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that a target accepts from all daemons together.
    pub connections: Option<u32>,
    /// Time that a target is cold after its start.
    pub warmup_time: Duration,
    /// Requests a second that a cold target bears, from all daemons together.
    pub cold_rate: Option<f64>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Length of a request's head, in bytes.
    pub header_bytes: usize,
    /// Length of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time for sending the head.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
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

/// One version of routes and services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<String, Vec<Route>>,
    services: HashMap<String, Service>,
    limits: CallerLimits,
}

impl Catalog {
    /// Joins routes and services.
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
        }
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix of `path` among those of `host`.
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

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// What is known of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Bounds on what a caller may send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
