//! What traffic threads need to know, as one immutable value that control replaces.
//!
//! Targets are grouped into units by hash of their address, so that adding a service moves no
//! other target; the number of units of a pool and data centre is part of the tables object. A
//! unit is held by one daemon; the holder is derived from membership, without a vote, and takes effect only
//! under a lease.

use {
    arc_swap::ArcSwap,
    rattanturn_core::{
        NodeId, Time, addresses,
        lease::{LeaseTerm, UnitId},
        membership::{MemberRecord, State},
        rendezvous,
    },
    rattanturn_tables::{Pool, Tables},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
};

/// Shares of the request ids of non-idempotent requests.
pub(crate) const DEDUP_PARTITIONS: u64 = 16;

/// The routing value in force, shared with all traffic threads.
pub(crate) type SharedRouting = Arc<ArcSwap<Routing>>;

/// State of one lease, written by control and read by traffic right before each send.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    until: AtomicU64,
    start_ms: AtomicU64,
    closing: AtomicBool,
    handover_started: AtomicBool,
    handover_finished: AtomicBool,
    in_use: AtomicUsize,
    terms: Mutex<LeaseTerms>,
}

/// The tenure of a lease and the one that it directly follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseTerms {
    pub(crate) current: Option<LeaseTerm>,
    pub(crate) previous: Option<LeaseTerm>,
}

impl LeaseState {
    /// A cell that never lapses, for static shares.
    pub(crate) fn never_expiring() -> Self {
        let cell = Self::default();
        cell.until.store(u64::MAX, Ordering::Release);
        cell
    }

    pub(crate) fn set(&self, until: Time, start_ms: u64, terms: LeaseTerms) {
        *self.terms.lock().unwrap_or_else(PoisonError::into_inner) = terms;
        self.start_ms.store(start_ms, Ordering::Release);
        self.until.store(until.micros(), Ordering::Release);
    }

    /// Stops new work; what runs may end.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Lets new work in again.
    pub(crate) fn reopen(&self) {
        self.closing.store(false, Ordering::Release);
    }

    /// Whether new work has been stopped.
    pub(crate) fn closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Marks the unit's state as on its way to another daemon: this tenure takes no new work.
    pub(crate) fn start_handover(&self) {
        self.handover_started.store(true, Ordering::Release);
    }

    pub(crate) fn handover_started(&self) -> bool {
        self.handover_started.load(Ordering::Acquire)
    }

    /// Marks the hand-over as ended, so that the unit can be given back.
    pub(crate) fn finish_handover(&self) {
        self.handover_finished.store(true, Ordering::Release);
    }

    pub(crate) fn handover_finished(&self) -> bool {
        self.handover_finished.load(Ordering::Acquire)
    }

    pub(crate) fn terms(&self) -> LeaseTerms {
        *self.terms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn until(&self) -> Time {
        Time::from_micros(self.until.load(Ordering::Acquire))
    }

    /// When the tenure began, in milliseconds since 1970.
    pub(crate) fn start_ms(&self) -> u64 {
        self.start_ms.load(Ordering::Acquire)
    }

    /// Whether new work may start now.
    pub(crate) fn usable(&self, now: Time) -> bool {
        now < self.until() && !self.closing()
    }

    pub(crate) fn begin_use(&self) {
        self.in_use.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn end_use(&self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }

    pub(crate) fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Acquire)
    }
}

/// A daemon as a destination of RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Destination {
    pub(crate) id: NodeId,
    pub(crate) addr: SocketAddr,
    /// True if it runs in another data centre.
    pub(crate) other_centre: bool,
}

/// A unit of work that one daemon holds.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) id: UnitId,
    pub(crate) name: String,
    pub(crate) centre: Option<String>,
    /// Daemon that should hold it.
    pub(crate) holder: Option<NodeId>,
    /// Where calls for it go.
    pub(crate) destination: Option<Destination>,
    /// Lease, if this daemon holds or wants it.
    pub(crate) lease: Option<Arc<LeaseState>>,
}

/// A target as traffic sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetInfo {
    pub(crate) addr: SocketAddr,
    pub(crate) pool: String,
    pub(crate) unit: usize,
    /// True if its data centre is taken out.
    pub(crate) evacuated: bool,
}

/// Everything that traffic threads need to know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routing {
    pub(crate) version: u64,
    pub(crate) tables: Arc<Tables>,
    pub(crate) units: Vec<Unit>,
    /// Index of the first journal unit.
    pub(crate) first_partition: usize,
    /// Targets by their interned index.
    pub(crate) targets: HashMap<usize, TargetInfo>,
    pub(crate) by_addr: HashMap<SocketAddr, usize>,
    /// Services of each pool as lists of target indexes; taken-out targets are left out.
    pub(crate) services: BTreeMap<String, Vec<Vec<usize>>>,
    pub(crate) frontends: Vec<addresses::Frontend>,
    pub(crate) leaving: bool,
    /// First RPC port of this daemon.
    pub(crate) rpc_port: u16,
}

impl Routing {
    /// The unit that keeps the journal of a request id.
    pub(crate) fn dedup_unit(&self, request: &str) -> Option<&Unit> {
        let share = usize::try_from(rendezvous::key(request) % DEDUP_PARTITIONS).ok()?;
        self.units.get(self.first_partition + share)
    }

    /// All journal units.
    pub(crate) fn dedup_units(&self) -> &[Unit] {
        &self.units[self.first_partition.min(self.units.len())..]
    }

    pub(crate) fn unit_of(&self, target: usize) -> Option<&Unit> {
        self.units.get(self.targets.get(&target)?.unit)
    }
}

/// Gives addresses indexes that stay the same for the life of the process.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    indexes: HashMap<SocketAddr, usize>,
}

impl Interner {
    fn index(&mut self, addr: SocketAddr) -> usize {
        let next = self.indexes.len();
        *self.indexes.entry(addr).or_insert(next)
    }
}

/// What routing is derived from.
pub(crate) struct Inputs<'a> {
    pub(crate) me: NodeId,
    pub(crate) my_centre: &'a str,
    pub(crate) rpc_port: u16,
    pub(crate) version: u64,
    pub(crate) tables: &'a Arc<Tables>,
    /// Daemons that are not dead.
    pub(crate) present: &'a [&'a MemberRecord],
    pub(crate) leaving: bool,
    /// True under static shares: this daemon calls every target itself.
    pub(crate) static_shares: bool,
}

/// Derives routing; leases are attached by control.
pub(crate) fn derive(inputs: &Inputs<'_>, interner: &mut Interner) -> Routing {
    let mut out = Routing {
        version: inputs.version,
        tables: inputs.tables.clone(),
        leaving: inputs.leaving,
        rpc_port: inputs.rpc_port,
        frontends: frontends(inputs),
        ..Routing::default()
    };
    for pool in inputs.tables.pools.values() {
        add_pool(inputs, pool, interner, &mut out);
    }
    out.first_partition = out.units.len();
    for share in 0..DEDUP_PARTITIONS {
        // The index is part of the key so that shares spread over panels evenly.
        let name = format!("journal/{share}");
        out.units.push(unit(inputs, name, None));
    }
    out
}

fn add_pool(inputs: &Inputs<'_>, pool: &Pool, interner: &mut Interner, out: &mut Routing) {
    let centres: BTreeSet<&str> = pool
        .services
        .iter()
        .flat_map(|s| &s.targets)
        .map(|t| t.centre.as_str())
        .collect();
    let mut first = BTreeMap::new();
    for centre in centres {
        let count = inputs.tables.unit_count(pool, centre);
        first.insert(centre, (out.units.len(), count));
        for i in 0..count {
            let name = format!("{}/{centre}/{count}/{i}", pool.name);
            out.units.push(unit(inputs, name, Some(centre)));
        }
    }
    let mut services = Vec::new();
    for service in &pool.services {
        let mut usable = Vec::new();
        for target in &service.targets {
            let index = interner.index(target.addr);
            let (start, count) = first[target.centre.as_str()];
            let bucket = rendezvous::key(&target.addr.to_string()) % count as u64;
            let is_evacuated = inputs
                .tables
                .centres
                .get(&target.centre)
                .is_some_and(|c| c.evacuated);
            let info = TargetInfo {
                addr: target.addr,
                pool: pool.name.clone(),
                unit: start + usize::try_from(bucket).unwrap_or(0),
                evacuated: is_evacuated,
            };
            out.targets.insert(index, info);
            out.by_addr.insert(target.addr, index);
            if !is_evacuated {
                usable.push(index);
            }
        }
        services.push(usable);
    }
    out.services.insert(pool.name.clone(), services);
}

fn unit(inputs: &Inputs<'_>, name: String, centre: Option<&str>) -> Unit {
    let id = UnitId(rendezvous::key(&name));
    let holder = if inputs.static_shares {
        Some(inputs.me)
    } else {
        choose_holder(inputs, id, centre)
    };
    Unit {
        id,
        name,
        centre: centre.map(Into::into),
        holder,
        destination: holder.and_then(|h| destination(inputs, h, id)),
        lease: None,
    }
}

/// Picks the daemon that should hold a unit: in the unit's data centre if one is there.
fn choose_holder(inputs: &Inputs<'_>, id: UnitId, centre: Option<&str>) -> Option<NodeId> {
    let is_evacuated = |c: &str| inputs.tables.centres.get(c).is_some_and(|c| c.evacuated);
    let staying = || inputs.present.iter().filter(|r| r.state != State::Leaving);
    let near = staying().filter(|r| centre.is_some_and(|c| c == r.endpoints.centre));
    let inside = staying().filter(|r| !is_evacuated(&r.endpoints.centre));
    rendezvous::first(near.map(|r| r.id), id.0)
        .or_else(|| rendezvous::first(inside.map(|r| r.id), id.0))
        .or_else(|| rendezvous::first(staying().map(|r| r.id), id.0))
}

/// RPC address of the traffic thread that works on a unit.
fn destination(inputs: &Inputs<'_>, holder: NodeId, id: UnitId) -> Option<Destination> {
    let record = inputs.present.iter().find(|r| r.id == holder)?;
    let endpoints = &record.endpoints;
    let thread = u16::try_from(id.0 % u64::from(endpoints.threads.max(1))).unwrap_or(0);
    Some(Destination {
        id: holder,
        addr: SocketAddr::new(endpoints.gossip.ip(), endpoints.rpc + thread),
        other_centre: endpoints.centre != inputs.my_centre,
    })
}

fn frontends(inputs: &Inputs<'_>) -> Vec<addresses::Frontend> {
    let frontend = |r: &&MemberRecord| addresses::Frontend {
        capacity: 1.0,
        id: r.id,
        addr: SocketAddr::new(r.endpoints.gossip.ip(), r.endpoints.http),
        centre: r.endpoints.centre.clone(),
        accepting: matches!(r.state, State::Alive)
            && !inputs
                .tables
                .centres
                .get(&r.endpoints.centre)
                .is_some_and(|c| c.evacuated),
    };
    inputs.present.iter().map(frontend).collect()
}
