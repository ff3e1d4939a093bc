//! The operators' two tables, routes and pools.

use {
    crate::{
        finding::Findings,
        reader::{Reader, Section},
    },
    rattanturn_core::Priority,
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const DEFAULT_DEADLINE: Duration = Duration::from_millis(500);
const DEFAULT_COLD_RAMP: Duration = Duration::from_secs(5);
/// Longest deadline a route may have; lease grace periods rely on it.
const MAX_DEADLINE: Duration = Duration::from_secs(5);

/// How a request uses the services of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// The request goes to every service of the pool and the answers are merged.
    FanOut,
    /// The request goes to one target of the pool.
    SingleRecord,
}

/// One kind of request that callers may send.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Name in the request path.
    pub name: String,
    /// Fan-out search or single record.
    pub kind: RouteKind,
    /// Name of the pool that serves it.
    pub pool: String,
    /// Order under overload.
    pub priority: Priority,
    /// Longest time from arrival to answer.
    pub deadline: Duration,
    /// Share of services, 0 to 1, below which an answer is refused as incomplete.
    pub min_coverage: f64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether slow calls are hedged.
    pub hedging: bool,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentre {
    /// Name used by targets and daemons.
    pub name: String,
    /// Region the data centre lies in.
    pub region: String,
    /// True when operators have taken it out.
    #[serde(rename = "out")]
    pub evacuated: bool,
}

/// One target: an address that serves a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Data centre it stands in.
    pub centre: String,
    /// Address it listens on.
    pub addr: SocketAddr,
}

/// A shard of a fan-out pool, or the one replicated service of a single-record pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name within the pool.
    pub name: String,
    /// Replicas.
    pub targets: Vec<Target>,
}

/// Services of one shape.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Name that routes refer to.
    pub name: String,
    /// Calls that a warm target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Cost of setting up one connection.
    pub connect_time: Duration,
    /// Calls that a cold target bears at once.
    pub cold_calls: u32,
    /// Time over which a target that reports itself warm is brought to its full slots.
    pub cold_ramp: Duration,
    /// Services by name, in the order of the table.
    pub services: Vec<Service>,
}

/// Both tables, checked and joined.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tables {
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Data centres by name.
    pub centres: BTreeMap<String, DataCentre>,
    /// Number of units by `POOL/DATA-CENTRE`, as the platform's object records them.
    pub units: BTreeMap<String, usize>,
}

/// Parses and checks both tables together.
///
/// Returns the tables and the warnings.
///
/// # Errors
///
/// All findings, when at least one of them is an error.
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
            "a cold target would get more than its slots",
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
        section.problem("", "the heading names no pool", "write [service POOL/NAME]");
        return;
    };
    let Some(pool) = out.pools.get_mut(pool) else {
        let problem = format!("there is no pool `{pool}`");
        section.problem("", &problem, "add the pool's section or mend the name");
        return;
    };
    if targets.is_empty() && !list.is_empty() {
        section.problem(
            "targets",
            "no usable target",
            "write DATA-CENTRE@IP:PORT, separated by commas",
        );
    }
    pool.services.push(Service {
        name: name.into(),
        targets,
    });
}

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
            "add a section [data-centre NAME] or mend the name",
        );
    }
    if let Some(line) = addresses.insert(addr, section.line()) {
        let problem = format!("{addr} also serves the service at line {line}");
        section.problem("targets", &problem, "give each target to one service");
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
            "add the pool to pools.ini or mend the name",
        );
    }
    if !(0.0..=1.0).contains(&route.min_coverage) {
        section.problem(
            "min-coverage",
            "outside 0 to 1",
            "write a share between 0 and 1",
        );
    }
    if route.deadline.is_zero() || route.deadline > MAX_DEADLINE {
        section.problem(
            "deadline",
            "outside 1us to 5s",
            "write a deadline of at most 5s",
        );
    }
    if !route.idempotent && route.kind == RouteKind::FanOut {
        section.problem(
            "idempotent",
            "a fan-out cannot run at most once",
            "use kind = single-record",
        );
    }
    if !route.idempotent && route.hedging && section.text("hedging").is_some() {
        section.problem(
            "hedging",
            "a request that is not idempotent is never hedged",
            "write hedging = no",
        );
    }
}
