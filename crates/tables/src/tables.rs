//! The operators' two tables, routes and pools: their types, parsing and checks.
//!
//! A value that is invalid on its own is replaced by a default while the check goes on, so that all
//! findings are reported together. Tables with an error are never returned.

use {
    crate::{
        finding::Findings,
        reader::{Reader, Section},
    },
    rattanturn_core::Priority,
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Deadline of a route that sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(500);
/// Ramp-up time of targets whose pool sets none.
const DEFAULT_COLD_RAMP: Duration = Duration::from_secs(5);
/// Longest deadline that a route may have; the grace periods of leases rely on it.
const MAX_DEADLINE: Duration = Duration::from_secs(5);

/// How a request is distributed over the services of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// Scatter-gather: the request goes to every service of the pool and the answers are merged.
    FanOut,
    /// The request goes to a single target of the pool.
    SingleRecord,
}

/// A type of request that callers can send.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Name, which callers give in the request path.
    pub name: String,
    /// How requests are distributed over the services of the pool.
    pub kind: RouteKind,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Priority under overload: requests of lower priority are delayed or refused first.
    pub priority: Priority,
    /// Longest time from the arrival of a request to its answer.
    pub deadline: Duration,
    /// Smallest share of services, from 0 to 1, that a merged answer must contain. Below it the
    /// request fails as incomplete.
    pub min_coverage: f64,
    /// Whether a request may run more than once, so that it can be retried and hedged.
    pub idempotent: bool,
    /// Whether slow calls are hedged, which only idempotent requests can be.
    pub hedging: bool,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentre {
    /// Name, as targets and daemons refer to it.
    pub name: String,
    /// Region that the data centre belongs to.
    pub region: String,
    /// Whether operators have evacuated the data centre (`state = out`): its targets get no new
    /// calls and its daemons are not offered to callers.
    #[serde(rename = "out")]
    pub evacuated: bool,
}

/// A target: an address that serves a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Name of the data centre that the target runs in.
    pub centre: String,
    /// Address that the target listens on.
    pub addr: SocketAddr,
}

/// A shard of a fan-out pool, or the only service of a single-record pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name, unique within the pool.
    pub name: String,
    /// Replicas of the service, all of which can answer the same requests.
    pub targets: Vec<Target>,
}

/// A group of services whose targets have the same limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Name that routes refer to.
    pub name: String,
    /// Number of calls that a warm target runs concurrently.
    pub slots: u32,
    /// Number of connections that a target accepts; at least `slots`.
    pub connections: u32,
    /// Time that it takes to set up a connection to a target.
    pub connect_time: Duration,
    /// Number of calls that a cold target runs concurrently; at most `slots`.
    pub cold_calls: u32,
    /// Time over which the number of concurrent calls grows to `slots` after a target has reported
    /// that it is warm.
    pub cold_ramp: Duration,
    /// Services, in the order of the table.
    pub services: Vec<Service>,
}

/// The contents of both tables, checked against each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tables {
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Data centres by name.
    pub centres: BTreeMap<String, DataCentre>,
    /// Recorded number of units, by `POOL/DATA-CENTRE`; empty if the tables were not read from
    /// their object.
    pub units: BTreeMap<String, usize>,
}

/// Parses both tables, checks them together and returns them with the warnings.
///
/// `routes` and `pools` are the texts of the two files.
///
/// # Errors
///
/// All findings, warnings included, if at least one of them is an error.
///
/// ```
/// let pools = "[data-centre a]\nregion = r\n\
///              [pool p]\nslots = 2\nconnections = 25\n\
///              [service p/one]\ntargets = a@127.0.0.1:9000\n";
/// let routes = "[route find]\nkind = fan-out\npool = p\n";
/// let (tables, warnings) = rattanturn_tables::parse_tables(routes, pools).unwrap();
/// assert_eq!(tables.pools["p"].services.len(), 1);
/// assert!(warnings.list.is_empty());
/// ```
pub fn parse_tables(routes: &str, pools: &str) -> Result<(Tables, Findings), Findings> {
    let mut findings = Findings::default();
    let mut out = Tables::default();
    match Reader::open("pools.ini", pools) {
        Ok(reader) => {
            read_pools(&reader, &mut out);
            findings.list.extend(reader.into_findings().list);
        }
        Err(e) => findings.list.extend(e.list),
    }
    match Reader::open("routes.ini", routes) {
        Ok(reader) => {
            read_routes(&reader, &mut out);
            findings.list.extend(reader.into_findings().list);
        }
        Err(e) => findings.list.extend(e.list),
    }
    if findings.has_errors() {
        Err(findings)
    } else {
        Ok((out, findings))
    }
}

fn read_pools(reader: &Reader<'_>, out: &mut Tables) {
    reader.unknown_sections(&["data-centre", "pool", "service"]);
    for section in reader.sections("data-centre") {
        let centre = read_centre(&section);
        out.centres.insert(centre.name.clone(), centre);
    }
    for section in reader.sections("pool") {
        let pool = read_pool(&section);
        out.pools.insert(pool.name.clone(), pool);
    }
    let mut addresses = BTreeMap::new();
    for section in reader.sections("service") {
        read_service(&section, out, &mut addresses);
    }
    for section in reader.sections("pool") {
        if out
            .pools
            .get(section.name())
            .is_some_and(|p| p.services.is_empty())
        {
            let remedy = format!("add a section [service {}/NAME]", section.name());
            section.problem("", "the pool has no service", &remedy);
        }
    }
}

fn read_centre(section: &Section<'_>) -> DataCentre {
    let centre = DataCentre {
        name: section.name().into(),
        region: section.required("region").into(),
        evacuated: section.choice("state", &[("in", false), ("out", true)], false),
    };
    section.unknown_keys();
    centre
}

fn read_pool(section: &Section<'_>) -> Pool {
    section.required("slots");
    section.required("connections");
    let pool = Pool {
        name: section.name().into(),
        slots: section.count("slots", 1),
        connections: section.count("connections", 1),
        connect_time: section.duration("connect-time", Duration::from_millis(1)),
        cold_calls: section.count("cold-calls", 1),
        cold_ramp: section.duration("cold-ramp", DEFAULT_COLD_RAMP),
        services: Vec::new(),
    };
    if pool.connections < pool.slots {
        section.problem(
            "connections",
            "fewer connections than slots",
            "raise `connections` or lower `slots`",
        );
    }
    if pool.cold_calls > pool.slots {
        section.problem(
            "cold-calls",
            "a cold target would get more calls than it has slots",
            "lower `cold-calls`",
        );
    }
    section.unknown_keys();
    pool
}

fn read_service(
    section: &Section<'_>,
    out: &mut Tables,
    addresses: &mut BTreeMap<SocketAddr, usize>,
) {
    let list = section.required("targets");
    let targets: Vec<Target> = list
        .split(',')
        .map(str::trim)
        .filter(|s| !s.is_empty())
        .filter_map(|s| read_target(section, s, out, addresses))
        .collect();
    section.unknown_keys();
    let Some((pool, name)) = section.name().split_once('/') else {
        section.problem(
            "",
            "the heading does not name a pool",
            "write [service POOL/NAME]",
        );
        return;
    };
    let Some(pool) = out.pools.get_mut(pool) else {
        let problem = format!("there is no pool `{pool}`");
        section.problem(
            "",
            &problem,
            "add a section for the pool or correct its name",
        );
        return;
    };
    if targets.is_empty() && !list.is_empty() {
        section.problem(
            "targets",
            "there is no valid target",
            "write DATA-CENTRE@IP:PORT, separated by commas",
        );
    }
    pool.services.push(Service {
        name: name.into(),
        targets,
    });
}

/// Reads `DATA-CENTRE@IP:PORT`. `addresses` has the section line of each address read so far, to
/// find one that two services share.
fn read_target(
    section: &Section<'_>,
    text: &str,
    out: &Tables,
    addresses: &mut BTreeMap<SocketAddr, usize>,
) -> Option<Target> {
    let parsed = text
        .split_once('@')
        .and_then(|(c, a)| Some((c.trim(), a.trim().parse().ok()?)));
    let Some((centre, addr)) = parsed else {
        section.problem(
            "targets",
            &format!("`{text}` is not a target"),
            "write DATA-CENTRE@IP:PORT",
        );
        return None;
    };
    if !out.centres.contains_key(centre) {
        let problem = format!("there is no data centre `{centre}`");
        section.problem(
            "targets",
            &problem,
            "add a section [data-centre NAME] or correct its name",
        );
    }
    if let Some(line) = addresses.insert(addr, section.line()) {
        let problem = format!("{addr} is also a target of the service at line {line}");
        section.problem(
            "targets",
            &problem,
            "list each target under one service only",
        );
    }
    Some(Target {
        centre: centre.into(),
        addr,
    })
}

fn read_routes(reader: &Reader<'_>, out: &mut Tables) {
    reader.unknown_sections(&["route"]);
    for section in reader.sections("route") {
        let route = read_route(&section, &out.pools);
        out.routes.insert(route.name.clone(), route);
    }
}

fn read_route(section: &Section<'_>, pools: &BTreeMap<String, Pool>) -> Route {
    let kinds = [
        ("fan-out", RouteKind::FanOut),
        ("single-record", RouteKind::SingleRecord),
    ];
    let priorities = [
        ("high", Priority::High),
        ("normal", Priority::Normal),
        ("low", Priority::Low),
    ];
    let bools = [("yes", true), ("no", false)];
    section.required("kind");
    let route = Route {
        name: section.name().into(),
        kind: section.choice("kind", &kinds, RouteKind::FanOut),
        pool: section.required("pool").into(),
        priority: section.choice("priority", &priorities, Priority::Normal),
        deadline: section.duration("deadline", DEFAULT_DEADLINE),
        min_coverage: section.parse("min-coverage", 1.0, "a share between 0 and 1"),
        idempotent: section.choice("idempotent", &bools, true),
        hedging: section.choice("hedging", &bools, true),
    };
    section.unknown_keys();
    check_route(section, &route, pools);
    route
}

fn check_route(section: &Section<'_>, route: &Route, pools: &BTreeMap<String, Pool>) {
    if !route.pool.is_empty() && !pools.contains_key(&route.pool) {
        let problem = format!("there is no pool `{}`", route.pool);
        section.problem(
            "pool",
            &problem,
            "add the pool to pools.ini or correct its name",
        );
    }
    if !(0.0..=1.0).contains(&route.min_coverage) {
        section.problem(
            "min-coverage",
            "`min-coverage` is not between 0 and 1",
            "write a share between 0 and 1",
        );
    }
    if route.deadline.is_zero() || route.deadline > MAX_DEADLINE {
        section.problem(
            "deadline",
            "`deadline` is not between 1us and 5s",
            "write a deadline of at most 5s",
        );
    }
    if !route.idempotent && route.kind == RouteKind::FanOut {
        section.problem(
            "idempotent",
            "a fan-out route cannot run requests at most once",
            "write kind = single-record or idempotent = yes",
        );
    }
    if !route.idempotent && route.hedging && section.text("hedging").is_some() {
        section.problem(
            "hedging",
            "requests that are not idempotent cannot be hedged",
            "write hedging = no",
        );
    }
}
