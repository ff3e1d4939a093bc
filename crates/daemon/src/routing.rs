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
pub(crate) const JOURNALS: u64 = 16;

/// The routing value in force, shared with all traffic threads.
pub(crate) type Shared = Arc<ArcSwap<Routing>>;

/// State of one lease, written by control and read by traffic right before each send.
#[derive(Debug, Default)]
pub(crate) struct LeaseCell {
    until: AtomicU64,
    since_unix: AtomicU64,
    closing: AtomicBool,
    exported: AtomicBool,
    handed: AtomicBool,
    in_use: AtomicUsize,
    tenures: Mutex<Tenures>,
}

/// The tenure of a lease and the one that it directly follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tenures {
    pub(crate) present: Option<LeaseTerm>,
    pub(crate) previous: Option<LeaseTerm>,
}

impl LeaseCell {
    /// A cell that never lapses, for static shares.
    pub(crate) fn forever() -> Self {
        let cell = Self::default();
        cell.until.store(u64::MAX, Ordering::Release);
        cell
    }

    pub(crate) fn set(&self, until: Time, since_unix: u64, tenures: Tenures) {
        *self.tenures.lock().unwrap_or_else(PoisonError::into_inner) = tenures;
        self.since_unix.store(since_unix, Ordering::Release);
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
    pub(crate) fn export(&self) {
        self.exported.store(true, Ordering::Release);
    }

    pub(crate) fn exported(&self) -> bool {
        self.exported.load(Ordering::Acquire)
    }

    /// Marks the hand-over as ended, so that the unit can be given back.
    pub(crate) fn hand_over(&self) {
        self.handed.store(true, Ordering::Release);
    }

    pub(crate) fn handed(&self) -> bool {
        self.handed.load(Ordering::Acquire)
    }

    pub(crate) fn tenures(&self) -> Tenures {
        *self.tenures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn until(&self) -> Time {
        Time::from_micros(self.until.load(Ordering::Acquire))
    }

    /// When the tenure began, in milliseconds since 1970.
    pub(crate) fn since_unix(&self) -> u64 {
        self.since_unix.load(Ordering::Acquire)
    }

    /// Whether new work may start now.
    pub(crate) fn usable(&self, now: Time) -> bool {
        now < self.until() && !self.closing()
    }

    pub(crate) fn enter(&self) {
        self.in_use.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn leave(&self) {
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
    pub(crate) far: bool,
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
    pub(crate) cell: Option<Arc<LeaseCell>>,
}

/// A target as traffic sees it.
#[derive(Clone, Debug)]
pub(crate) struct TargetInfo {
    pub(crate) addr: SocketAddr,
    pub(crate) pool: String,
    pub(crate) unit: usize,
    /// True if its data centre is taken out.
    pub(crate) out: bool,
}

/// Everything that traffic threads need to know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routing {
    pub(crate) version: u64,
    pub(crate) tables: Arc<Tables>,
    pub(crate) units: Vec<Unit>,
    /// Index of the first journal unit.
    pub(crate) journals: usize,
    /// Targets by their interned index.
    pub(crate) targets: HashMap<usize, TargetInfo>,
    pub(crate) by_addr: HashMap<SocketAddr, usize>,
    /// Services of each pool as lists of target indexes; taken-out targets are left out.
    pub(crate) services: BTreeMap<String, Vec<Vec<usize>>>,
    pub(crate) entries: Vec<addresses::Frontend>,
    pub(crate) leaving: bool,
    /// First RPC port of this daemon.
    pub(crate) rpc_port: u16,
}

impl Routing {
    /// The unit that keeps the journal of a request id.
    pub(crate) fn journal_unit(&self, request: &str) -> Option<&Unit> {
        let share = usize::try_from(rendezvous::key(request) % JOURNALS).ok()?;
        self.units.get(self.journals + share)
    }

    /// All journal units.
    pub(crate) fn journal_units(&self) -> &[Unit] {
        &self.units[self.journals.min(self.units.len())..]
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
    pub(crate) alone: bool,
}

/// Derives routing; leases are attached by control.
pub(crate) fn derive(inputs: &Inputs<'_>, interner: &mut Interner) -> Routing {
    let mut out = Routing {
        version: inputs.version,
        tables: inputs.tables.clone(),
        leaving: inputs.leaving,
        rpc_port: inputs.rpc_port,
        entries: entries(inputs),
        ..Routing::default()
    };
    for pool in inputs.tables.pools.values() {
        add_pool(inputs, pool, interner, &mut out);
    }
    out.journals = out.units.len();
    for share in 0..JOURNALS {
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
            let is_out = inputs
                .tables
                .centres
                .get(&target.centre)
                .is_some_and(|c| c.evacuated);
            let info = TargetInfo {
                addr: target.addr,
                pool: pool.name.clone(),
                unit: start + usize::try_from(bucket).unwrap_or(0),
                out: is_out,
            };
            out.targets.insert(index, info);
            out.by_addr.insert(target.addr, index);
            if !is_out {
                usable.push(index);
            }
        }
        services.push(usable);
    }
    out.services.insert(pool.name.clone(), services);
}

fn unit(inputs: &Inputs<'_>, name: String, centre: Option<&str>) -> Unit {
    let id = UnitId(rendezvous::key(&name));
    let holder = if inputs.alone {
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
        cell: None,
    }
}

/// Picks the daemon that should hold a unit: in the unit's data centre if one is there.
fn choose_holder(inputs: &Inputs<'_>, id: UnitId, centre: Option<&str>) -> Option<NodeId> {
    let is_out = |c: &str| inputs.tables.centres.get(c).is_some_and(|c| c.evacuated);
    let staying = || inputs.present.iter().filter(|f| f.state != State::Leaving);
    let near = staying().filter(|f| centre.is_some_and(|c| c == f.endpoints.centre));
    let inside = staying().filter(|f| !is_out(&f.endpoints.centre));
    rendezvous::first(near.map(|f| f.id), id.0)
        .or_else(|| rendezvous::first(inside.map(|f| f.id), id.0))
        .or_else(|| rendezvous::first(staying().map(|f| f.id), id.0))
}

/// RPC address of the traffic thread that works on a unit.
fn destination(inputs: &Inputs<'_>, holder: NodeId, id: UnitId) -> Option<Destination> {
    let fact = inputs.present.iter().find(|f| f.id == holder)?;
    let place = &fact.endpoints;
    let thread = u16::try_from(id.0 % u64::from(place.threads.max(1))).unwrap_or(0);
    Some(Destination {
        id: holder,
        addr: SocketAddr::new(place.gossip.ip(), place.rpc + thread),
        far: place.centre != inputs.my_centre,
    })
}

fn entries(inputs: &Inputs<'_>) -> Vec<addresses::Frontend> {
    let entry = |f: &&MemberRecord| addresses::Frontend {
        capacity: 1.0,
        id: f.id,
        addr: SocketAddr::new(f.endpoints.gossip.ip(), f.endpoints.http),
        centre: f.endpoints.centre.clone(),
        accepting: matches!(f.state, State::Alive)
            && !inputs
                .tables
                .centres
                .get(&f.endpoints.centre)
                .is_some_and(|c| c.evacuated),
    };
    inputs.present.iter().map(entry).collect()
}
