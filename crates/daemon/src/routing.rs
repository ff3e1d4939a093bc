//! The routing table of the traffic threads: one immutable value that control replaces as a whole,
//! so that reading it takes no lock.
//!
//! The targets of a pool in a data centre are divided into units, and one daemon holds each unit. A
//! target's unit follows from the hash of its address, so adding a service moves no other target.
//! The number of units is part of the tables object, because all daemons must use the same.
//!
//! Each daemon computes the holder of a unit from its own view of the membership, without a vote.
//! Daemons whose views differ may compute different holders for a while. That is safe, because a
//! holder uses the unit's targets only under a lease; other daemons answer that they do not hold
//! it.

use {
    arc_swap::ArcSwap,
    rattanturn_core::{
        NodeId, Time, addresses,
        lease::{LeaseTerms, UnitId},
        membership::{MemberRecord, State},
        rendezvous,
    },
    rattanturn_tables::{Pool, Tables},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering},
        },
    },
};

#[cfg(test)]
mod tests;

/// Number of partitions of the ids of non-idempotent requests. Each partition is a unit whose
/// holder keeps its deduplication table.
pub(crate) const DEDUP_PARTITIONS: u64 = 16;

/// The current routing; control replaces it and all traffic threads read it.
pub(crate) type SharedRouting = Arc<ArcSwap<Routing>>;

/// State of one lease, shared between control, which sets it, and traffic, which reads it right
/// before each send and counts the work in progress.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    /// Expiry time in microseconds; 0 if the lease is not held.
    until: AtomicU64,
    handover: AtomicU8,
    in_use: AtomicUsize,
    /// The terms, and when the current one began, in milliseconds since 1970. Locked while `until`
    /// changes with them.
    term: Mutex<(LeaseTerms, u64)>,
}

/// Values of [`LeaseState::handover`]: new work may start.
const OPEN: u8 = 0;
/// New work is stopped; the unit can be opened again.
const CLOSING: u8 = 1;
/// The unit's deduplication table is being handed over.
const HANDING_OVER: u8 = 2;
/// The handover has ended.
const HANDED_OVER: u8 = 3;

impl LeaseState {
    /// A lease that is always held, for [`rattanturn_tables::SlotPolicy::StaticShares`].
    pub(crate) fn never_expiring() -> Self {
        let lease = Self::default();
        lease.until.store(u64::MAX, Ordering::Release);
        lease
    }

    /// Stores the outcome of a renewal or, with zeros, of a release.
    ///
    /// `start_ms` is when the current term began, in milliseconds since 1970.
    pub(crate) fn set(&self, until: Time, start_ms: u64, terms: LeaseTerms) {
        let mut term = self.lock_term();
        *term = (terms, start_ms);
        self.until.store(until.micros(), Ordering::Release);
    }

    /// Stops new work; work in progress continues.
    pub(crate) fn close(&self) {
        self.change_handover(OPEN, CLOSING);
    }

    /// Allows new work again, unless a handover has started. Returns whether new work is allowed.
    pub(crate) fn reopen(&self) -> bool {
        self.change_handover(CLOSING, OPEN);
        !self.closing()
    }

    /// Whether new work is stopped.
    pub(crate) fn closing(&self) -> bool {
        self.handover.load(Ordering::Acquire) != OPEN
    }

    /// Marks that the unit's deduplication table is being sent to another daemon. From then on no
    /// new work may start in the current term, as the receiver would not know of it. Returns false if
    /// the unit was opened again meanwhile, or the handover had started before.
    pub(crate) fn start_handover(&self) -> bool {
        self.change_handover(CLOSING, HANDING_OVER)
    }

    /// Whether a handover was started.
    pub(crate) fn handover_started(&self) -> bool {
        self.handover.load(Ordering::Acquire) >= HANDING_OVER
    }

    /// Marks the handover as ended, successfully or not, so that control can release the lease.
    pub(crate) fn finish_handover(&self) {
        self.change_handover(HANDING_OVER, HANDED_OVER);
    }

    /// Whether [`Self::finish_handover`] was called.
    pub(crate) fn handover_finished(&self) -> bool {
        self.handover.load(Ordering::Acquire) == HANDED_OVER
    }

    fn change_handover(&self, from: u8, to: u8) -> bool {
        let order = Ordering::AcqRel;
        let changed = self
            .handover
            .compare_exchange(from, to, order, Ordering::Acquire);
        changed.is_ok()
    }

    /// The terms, and when the current one began, in milliseconds since 1970.
    pub(crate) fn term(&self) -> (LeaseTerms, u64) {
        *self.lock_term()
    }

    /// The same if new work may start at `now`.
    pub(crate) fn usable_term(&self, now: Time) -> Option<(LeaseTerms, u64)> {
        let term = self.lock_term();
        self.usable(now).then_some(*term)
    }

    fn lock_term(&self) -> MutexGuard<'_, (LeaseTerms, u64)> {
        self.term.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the lease expires unless it is renewed; [`Time::ZERO`] if it is not held.
    pub(crate) fn until(&self) -> Time {
        Time::from_micros(self.until.load(Ordering::Acquire))
    }

    /// Whether new work may start at `now`: the lease is held and not closed.
    pub(crate) fn usable(&self, now: Time) -> bool {
        now < self.until() && !self.closing()
    }

    /// Counts a piece of work as in progress, which delays the release of the lease. Each call
    /// needs one call of [`Self::end_use`].
    pub(crate) fn begin_use(&self) {
        self.in_use.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn end_use(&self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }

    /// Number of pieces of work in progress.
    pub(crate) fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Acquire)
    }
}

/// A traffic thread of a daemon, as the destination of RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Destination {
    pub(crate) id: NodeId,
    pub(crate) addr: SocketAddr,
    /// True if the daemon runs in another data centre than this one.
    pub(crate) other_centre: bool,
}

/// A unit: a group of targets, or a partition of the ids of non-idempotent requests.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    /// Hash of `name`.
    pub(crate) id: UnitId,
    pub(crate) name: String,
    /// Data centre of the targets; `None` for a partition of request ids.
    pub(crate) centre: Option<String>,
    /// Daemon that should hold the unit; it may not have the lease yet.
    pub(crate) holder: Option<NodeId>,
    /// RPC address of the holder's thread that works on the unit.
    pub(crate) destination: Option<Destination>,
    /// State of the lease if this daemon holds or requests it; `None` otherwise.
    pub(crate) lease: Option<Arc<LeaseState>>,
}

/// What traffic needs to know of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetInfo {
    pub(crate) addr: SocketAddr,
    pub(crate) pool: String,
    /// Index in [`Routing::units`].
    pub(crate) unit: usize,
    /// True if its data centre is evacuated: the target gets no calls.
    pub(crate) evacuated: bool,
}

/// Everything that traffic threads need to route requests and calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routing {
    /// Version of the tables; 0 before the first.
    pub(crate) version: u64,
    pub(crate) tables: Arc<Tables>,
    /// Units of targets, followed by one unit for each partition of request ids.
    pub(crate) units: Vec<Unit>,
    /// Index in `units` of the first partition.
    pub(crate) first_partition: usize,
    /// Targets by the index that [`Interner`] gave them.
    pub(crate) targets: HashMap<usize, TargetInfo>,
    /// Indexes of targets by address.
    pub(crate) by_addr: HashMap<SocketAddr, usize>,
    /// Target indexes of each service, by pool and in the order of the pool's services. Targets in
    /// evacuated data centres are omitted.
    pub(crate) services: BTreeMap<String, Vec<Vec<usize>>>,
    /// Daemons that are not dead, and whether each accepts callers, for address answers.
    pub(crate) frontends: Vec<addresses::Frontend>,
    /// True while this daemon shuts down.
    pub(crate) leaving: bool,
    /// RPC port of this daemon's first traffic thread; the other threads use the following ports.
    pub(crate) rpc_port: u16,
}

impl Routing {
    /// The unit whose holder deduplicates the request; `None` before the first tables are known.
    pub(crate) fn dedup_unit(&self, request: &str) -> Option<&Unit> {
        let partition = usize::try_from(rendezvous::key(request) % DEDUP_PARTITIONS).ok()?;
        self.units.get(self.first_partition + partition)
    }

    /// The units of all partitions of request ids.
    pub(crate) fn dedup_units(&self) -> &[Unit] {
        &self.units[self.first_partition.min(self.units.len())..]
    }

    /// The unit of a target, which is given by its index.
    pub(crate) fn unit_of(&self, target: usize) -> Option<&Unit> {
        self.units.get(self.targets.get(&target)?.unit)
    }
}

/// Assigns indexes to target addresses. An address keeps its index for the life of the process, so
/// traffic can keep state by index while the tables change. Indexes are never reused.
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

/// Inputs of [`derive`].
pub(crate) struct Inputs<'a> {
    pub(crate) me: NodeId,
    pub(crate) my_centre: &'a str,
    /// RPC port of this daemon's first traffic thread.
    pub(crate) rpc_port: u16,
    /// Version of `tables`.
    pub(crate) version: u64,
    pub(crate) tables: &'a Arc<Tables>,
    /// All daemons that are not dead, this one included.
    pub(crate) present: &'a [&'a MemberRecord],
    /// True while this daemon shuts down.
    pub(crate) leaving: bool,
    /// True once this daemon has finished its callers' requests in a stop, and gives up all units.
    pub(crate) retired: bool,
    /// True under [`rattanturn_tables::SlotPolicy::StaticShares`]: this daemon calls every target
    /// itself and holds all units.
    pub(crate) static_shares: bool,
}

/// Computes the routing from membership and tables. All leases are `None`; control attaches them.
pub(crate) fn derive(inputs: &Inputs<'_>, interner: &mut Interner) -> Routing {
    let mut out = Routing {
        version: inputs.version,
        tables: inputs.tables.clone(),
        leaving: inputs.leaving,
        rpc_port: inputs.rpc_port,
        frontends: frontends(inputs),
        ..Routing::default()
    };
    let holders = possible_holders(inputs);
    for pool in inputs.tables.pools.values() {
        add_pool(inputs, &holders, pool, interner, &mut out);
    }
    out.first_partition = out.units.len();
    for share in 0..DEDUP_PARTITIONS {
        // The unit's id, and with it the voter set, is a hash of this name. The index in the name
        // spreads the partitions over the voter sets.
        let name = format!("journal/{share}");
        out.units.push(unit(inputs, &holders, name, None));
    }
    out
}

/// The daemons that may hold units: those that are not shutting down. If all are, those that still
/// serve go on, because no other daemon can take their units over.
fn possible_holders<'a>(inputs: &Inputs<'a>) -> Vec<&'a MemberRecord> {
    let present = || inputs.present.iter().copied();
    let staying: Vec<_> = present().filter(|r| r.state != State::Leaving).collect();
    if !staying.is_empty() {
        return staying;
    }
    present()
        .filter(|r| r.id != inputs.me || !inputs.retired)
        .collect()
}

fn add_pool(
    inputs: &Inputs<'_>,
    holders: &[&MemberRecord],
    pool: &Pool,
    interner: &mut Interner,
    out: &mut Routing,
) {
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
            out.units.push(unit(inputs, holders, name, Some(centre)));
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

fn unit(
    inputs: &Inputs<'_>,
    holders: &[&MemberRecord],
    name: String,
    centre: Option<&str>,
) -> Unit {
    let id = UnitId(rendezvous::key(&name));
    let holder = if inputs.static_shares {
        Some(inputs.me)
    } else {
        choose_holder(inputs, holders, id, centre)
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

/// Chooses the daemon that should hold a unit, by rendezvous hashing among the possible holders: those
/// of the unit's data centre if there are any, else those outside evacuated data centres, else all.
fn choose_holder(
    inputs: &Inputs<'_>,
    holders: &[&MemberRecord],
    id: UnitId,
    centre: Option<&str>,
) -> Option<NodeId> {
    let is_evacuated = |c: &str| inputs.tables.centres.get(c).is_some_and(|c| c.evacuated);
    let holders = || holders.iter();
    let near = holders().filter(|r| centre.is_some_and(|c| c == r.endpoints.centre));
    let not_evacuated = holders().filter(|r| !is_evacuated(&r.endpoints.centre));
    rendezvous::first(near.map(|r| r.id), id.0)
        .or_else(|| rendezvous::first(not_evacuated.map(|r| r.id), id.0))
        .or_else(|| rendezvous::first(holders().map(|r| r.id), id.0))
}

/// Where to send calls for a unit. The unit's id selects one of the holder's traffic threads, each
/// of which listens on its own port.
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
        suspect: r.state == State::Suspect,
        closes_at: None,
        accepting: matches!(r.state, State::Alive)
            && !inputs
                .tables
                .centres
                .get(&r.endpoints.centre)
                .is_some_and(|c| c.evacuated),
    };
    inputs.present.iter().map(frontend).collect()
}
