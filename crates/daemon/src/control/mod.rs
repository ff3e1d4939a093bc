//! The control thread: membership, leases, shared objects, and the routing computed from them.
//!
//! One event loop owns this state, so it needs no locks, except for the little that it shares with
//! the traffic threads. It does no work for callers' requests: traffic threads read the routing that
//! it publishes, and membership does not slow them down.

mod counters;
mod dump;
mod leases;
pub(crate) mod objects;
mod registrar;
mod shutdown;

use {
    crate::{
        clock,
        control::{
            counters::Usage,
            leases::Leases,
            objects::{FetchSlot, ObjectVersion, VOTERS_KEY, WATCHERS},
            shutdown::Phase,
        },
        datagram::send_datagram,
        routing::{self, Inputs, Interner, LeaseState, SharedRouting},
        supervise::restarted,
        traffic::{Gauges, rpc::SharedObjects},
        unusable_log::UnusableLog,
    },
    rattanturn_core::{
        NodeId, Time,
        membership::{Endpoints, Envelope, MemberRecord, Membership, State, Versions},
        rendezvous,
        versioned::{OfferResult, Versioned},
        voter_sets::VoterSets,
    },
    rattanturn_platform::objects::{ObjectClient, TABLES_KEY},
    rattanturn_tables::{Settings, SlotPolicy, Tables, TablesObject},
    rattanturn_wire::{Datagram, decode, encode},
    std::{
        net::SocketAddr,
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, oneshot},
    },
};

/// Interval of the control loop.
const TICK: Duration = Duration::from_millis(25);
/// Maximum size of a datagram. A larger one would be truncated on receipt and fail to decode.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 8_192;

/// What the control thread receives from its own tasks, from operators and from the program.
pub(crate) enum Event {
    /// A version of a shared object was read; it need not be newer than the known one.
    ObjectVersion(ObjectVersion),
    /// Fetching the object with this key from a peer failed.
    FetchFailed(&'static str),
    /// A peer has a newer version of the object with this key and sends it to others now.
    FetchRefused(&'static str),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Requests a graceful stop at the given time; the reply says what was left undone.
    Stop(Time, oneshot::Sender<String>),
    /// Asks for a graceful stop that has begun to end soon.
    Hurry,
    /// Blocks the control thread for a time, for tests of a process that gets no CPU time.
    Freeze(Duration),
    /// Ends control at once like a killed process: peers are not notified.
    Kill,
}

/// Requests the state dump from control; `None` if control has ended.
pub(crate) async fn ask_state(events: &mpsc::UnboundedSender<Event>) -> Option<serde_json::Value> {
    let (send, receive) = oneshot::channel();
    events.send(Event::Dump(send)).ok()?;
    receive.await.ok()
}

/// Requests a graceful stop, which begins with this call and not when its end is first waited for.
/// The receiver gets a text that says what was left undone.
pub(crate) fn ask_stop(events: &mpsc::UnboundedSender<Event>) -> oneshot::Receiver<String> {
    let (send, receive) = oneshot::channel();
    // Sending fails only if control has ended; receiving then fails as well.
    let _ = events.send(Event::Stop(clock::now(), send));
    receive
}

pub(crate) use shutdown::{stop_schedule, stop_without_control};

/// Arguments of [`run`].
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) me: NodeId,
    pub(crate) endpoints: Endpoints,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) routing: SharedRouting,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) objects: SharedObjects,
}

/// State of the control thread.
struct Control {
    settings: Settings,
    me: NodeId,
    membership: Membership,
    leases: Leases,
    tables: Versioned<Arc<Tables>>,
    voter_sets: Versioned<VoterSets>,
    interner: Interner,
    routing: SharedRouting,
    gauges: Arc<Gauges>,
    objects: SharedObjects,
    platform: ObjectClient,
    events: mpsc::UnboundedSender<Event>,
    /// Tasks that watch the platform; empty unless this daemon is one of the watchers.
    watches: Vec<tokio::task::JoinHandle<()>>,
    /// Fetches of the tables and of the voter sets, in this order.
    fetches: [FetchSlot; 2],
    /// Count of membership changes and version of the tables that the routing was computed from, and
    /// whether this daemon had retired.
    routed_from: (u64, u64, bool),
    registrar: registrar::Registrar,
    phase: Phase,
    /// Receives the result of a graceful stop that has begun.
    stop_reply: Option<oneshot::Sender<String>>,
    /// Version of the tables that were found invalid last, so that each is reported once.
    refused_tables: u64,
    unusable: UnusableLog,
    usage: Usage,
}

/// Runs control until the daemon stops.
///
/// `events` is the sender of `inbox`, for the tasks that control starts.
///
/// # Errors
///
/// Fails if the gossip socket cannot be registered with the runtime.
pub(crate) async fn run(
    start: Start,
    events: mpsc::UnboundedSender<Event>,
    mut inbox: mpsc::UnboundedReceiver<Event>,
) -> std::io::Result<()> {
    start.socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(start.socket)?;
    let mut control = Control::new(
        start.settings,
        start.me,
        start.endpoints,
        start.routing,
        start.gauges,
        start.objects,
        events,
    );
    control.read_objects();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = clock::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, from)) = received {
                    control.handle_datagram(&socket, from, &buffer[..len]).await;
                }
            }
            Some(event) = inbox.recv() => match event {
                Event::Kill => return Ok(()),
                event => control.handle_event(event),
            },
            () = clock::sleep_until(next) => {
                next = clock::now() + TICK;
                if control.tick(&socket).await {
                    return Ok(());
                }
            }
        }
    }
}

impl Control {
    #[allow(clippy::too_many_arguments)]
    fn new(
        settings: Settings,
        me: NodeId,
        endpoints: Endpoints,
        routing: SharedRouting,
        gauges: Arc<Gauges>,
        objects: SharedObjects,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let membership = Membership::new(me, endpoints, settings.peers.clone(), me.0);
        Self {
            me,
            membership,
            leases: Leases::new(me),
            tables: Versioned::default(),
            voter_sets: Versioned::default(),
            interner: Interner::default(),
            routing,
            gauges,
            objects,
            platform: ObjectClient::new(settings.platform),
            events,
            watches: Vec::new(),
            fetches: Default::default(),
            routed_from: (0, 0, false),
            registrar: registrar::Registrar::default(),
            phase: Phase::Serving,
            stop_reply: None,
            refused_tables: 0,
            unusable: UnusableLog::default(),
            usage: Usage::start(),
            settings,
        }
    }

    /// Starts reading the shared objects from the platform, so that this daemon need not wait for a
    /// peer to offer them.
    fn read_objects(&self) {
        for key in [TABLES_KEY, VOTERS_KEY] {
            let (platform, events) = (self.platform.clone(), self.events.clone());
            actix_rt::spawn(async move {
                if let rattanturn_platform::objects::ReadOutcome::Found(o) =
                    platform.read(key).await
                {
                    let object = ObjectVersion {
                        key,
                        version: o.version,
                        body: o.body,
                    };
                    let _ = events.send(Event::ObjectVersion(object));
                }
            });
        }
    }

    async fn handle_datagram(&mut self, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
        let now = clock::now();
        self.usage.record_received(bytes.len());
        let Ok((datagram, unreadable)) = decode(bytes) else {
            tracing::debug!(%from, "dropped a datagram that cannot be decoded");
            return;
        };
        self.unusable.note_items("peer-datagram", &unreadable);
        match datagram {
            Datagram::Gossip(message) => {
                let out = self.membership.receive(now, from, &message);
                self.fetch_newer(now, message.from, message.versions);
                self.send_all(socket, out).await;
            }
            Datagram::LeaseRequests(_, list) => {
                let sets = self.voter_sets.value().cloned().unwrap_or_default();
                let votes = self.leases.vote(now, &sets, &list);
                if !votes.is_empty() {
                    self.send(socket, from, &Datagram::LeaseVotes(self.me, votes))
                        .await;
                }
            }
            Datagram::LeaseVotes(voter, list) => {
                if let Some(sets) = self.voter_sets.value() {
                    self.leases.count_votes(now, sets, voter, &list);
                }
            }
            Datagram::Evidence(..)
            | Datagram::Rollouts(..)
            | Datagram::Borrow(..)
            | Datagram::Lent(..)
            | Datagram::Returned(..) => {
                tracing::debug!(%from, "dropped a datagram that is for the tier");
            }
        }
    }

    /// Starts fetching the shared objects of which a peer has a newer version.
    fn fetch_newer(&mut self, now: Time, from: NodeId, theirs: Versions) {
        let Some(member) = self.membership.get(from) else {
            return;
        };
        let endpoints = &member.record.endpoints;
        let rpc = SocketAddr::new(endpoints.gossip.ip(), endpoints.rpc);
        let objects = [
            (TABLES_KEY, theirs.tables, self.tables.version()),
            (VOTERS_KEY, theirs.voter_sets, self.voter_sets.version()),
        ];
        for (i, (key, version, known)) in objects.into_iter().enumerate() {
            if version > known && self.fetches[i].claim(now) {
                let (objects, events) = (self.objects.clone(), self.events.clone());
                actix_rt::spawn(objects::fetch(rpc, key, known, objects, events));
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ObjectVersion(object) => self.apply_object(&object),
            Event::FetchFailed(key) | Event::FetchRefused(key) => {
                self.fetches[usize::from(key == VOTERS_KEY)].busy_until = Time::ZERO;
            }
            Event::Dump(send) => {
                // Sending fails only if the operator's connection was closed meanwhile.
                let _ = send.send(self.dump());
            }
            Event::Stop(began, send) => self.begin_stop(began, send),
            Event::Hurry => self.hurry_stop(),
            Event::Freeze(time) => std::thread::sleep(time),
            Event::Kill => {}
        }
    }

    /// Applies a version of a shared object if it is newer, and offers it to peers.
    fn apply_object(&mut self, object: &ObjectVersion) {
        self.fetches[usize::from(object.key == VOTERS_KEY)].busy_until = Time::ZERO;
        let applied = if object.key == VOTERS_KEY {
            self.apply_voter_sets(object)
        } else {
            self.apply_tables(object)
        };
        if !applied {
            return;
        }
        tracing::info!(
            object = object.key,
            version = object.version,
            "applied a newer version of a shared object"
        );
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(object.key, object.version, &object.body);
        drop(objects);
        self.membership.set_versions(Versions {
            tables: self.tables.version(),
            voter_sets: self.voter_sets.version(),
            digest: 0,
        });
    }

    /// Applies newer voter sets; returns whether it did.
    fn apply_voter_sets(&mut self, object: &ObjectVersion) -> bool {
        match serde_json::from_slice(&object.body) {
            Ok(sets) => self.voter_sets.offer(object.version, sets) == OfferResult::Accepted,
            Err(error) => {
                tracing::error!(version = object.version, %error, "cannot parse the voter sets; the old ones stay in use");
                false
            }
        }
    }

    /// Applies newer tables; returns whether it did. Invalid tables are logged and not applied.
    fn apply_tables(&mut self, object: &ObjectVersion) -> bool {
        if object.version <= self.tables.version() || object.version == self.refused_tables {
            return false;
        }
        let checked = serde_json::from_slice::<TablesObject>(&object.body)
            .map_err(|e| e.to_string())
            .and_then(|o| o.parse().map_err(|f| f.to_string()));
        match checked {
            Ok((tables, warnings)) => {
                for warning in warnings.list {
                    tracing::warn!(version = object.version, %warning, "the tables have a warning");
                }
                self.tables.offer(object.version, Arc::new(tables)) == OfferResult::Accepted
            }
            Err(findings) => {
                self.refused_tables = object.version;
                tracing::error!(version = object.version, %findings, "the tables are invalid; the old ones stay in use");
                false
            }
        }
    }

    /// Does what is due every [`TICK`]; returns true when the daemon may end.
    async fn tick(&mut self, socket: &UdpSocket) -> bool {
        let now = clock::now();
        let out = self.membership.tick(now);
        self.send_all(socket, out).await;
        self.usage.export(&self.settings.name);
        self.update_routing();
        self.update_watches();
        if self.settings.slot_policy == SlotPolicy::Leased {
            let sets = self.voter_sets.value().cloned().unwrap_or_default();
            let due = self.leases.tick(now, &sets);
            self.send_lease_requests(socket, due).await;
            self.update_voter_sets(now);
        }
        self.advance_stop(now, socket).await
    }

    /// Sends lease requests, several in a datagram. Voters that are not known members are skipped.
    async fn send_lease_requests(&mut self, socket: &UdpSocket, due: leases::OutgoingRequests) {
        for (voter, list) in due {
            let Some(to) = self
                .membership
                .get(voter)
                .map(|m| m.record.endpoints.gossip)
            else {
                continue;
            };
            for part in list.chunks(leases::MAX_PER_DATAGRAM) {
                self.send(socket, to, &Datagram::LeaseRequests(self.me, part.to_vec()))
                    .await;
            }
        }
    }

    /// Computes and publishes the routing if membership or tables changed, if this daemon retires, or
    /// if a lease was released, whose state must no longer be in the routing.
    fn update_routing(&mut self) {
        let retired = self.has_retired();
        let key = (self.membership.changes(), self.tables.version(), retired);
        if key == self.routed_from && !self.leases.take_released() {
            return;
        }
        self.routed_from = key;
        let Some(tables) = self.tables.value().cloned() else {
            return;
        };
        let present: Vec<&MemberRecord> = self.membership.present().map(|m| &m.record).collect();
        let is_static = self.settings.slot_policy == SlotPolicy::StaticShares;
        let inputs = Inputs {
            me: self.me,
            my_centre: &self.settings.centre,
            rpc_port: self
                .membership
                .get(self.me)
                .map_or(0, |m| m.record.endpoints.rpc),
            version: self.tables.version(),
            tables: &tables,
            present: &present,
            leaving: self.phase != Phase::Serving,
            retired,
            static_shares: is_static,
        };
        let mut routing = routing::derive(&inputs, &mut self.interner);
        if is_static {
            let lease = Arc::new(LeaseState::never_expiring());
            routing
                .units
                .iter_mut()
                .for_each(|u| u.lease = Some(lease.clone()));
        } else {
            self.leases.apply_routing(&mut routing.units);
        }
        self.routing.store(Arc::new(routing));
    }

    /// Starts or stops watching the platform.
    ///
    /// Of the live daemons of each data centre, [`WATCHERS`] watch, chosen by rendezvous hashing.
    fn update_watches(&mut self) {
        let centre = &self.settings.centre;
        let alive = self
            .membership
            .present()
            .filter(|m| m.record.endpoints.centre == *centre && m.record.state == State::Alive);
        let watchers = rendezvous::top(
            alive.map(|m| m.record.id),
            rendezvous::key("watch"),
            WATCHERS,
        );
        let watching = !self.watches.is_empty();
        if watchers.contains(&self.me) == watching {
            return;
        }
        for watch in self.watches.drain(..) {
            watch.abort();
        }
        if !watching {
            let known = [
                (TABLES_KEY, self.tables.version()),
                (VOTERS_KEY, self.voter_sets.version()),
            ];
            for (key, version) in known {
                let (platform, events) = (self.platform.clone(), self.events.clone());
                let me = self.me.0;
                let watch = restarted("store watch", move || {
                    objects::watch(platform.clone(), key, version, me, events.clone())
                });
                self.watches.push(actix_rt::spawn(watch));
            }
        }
    }

    /// Starts writing the next voter sets if that is due and this daemon is chosen to do it.
    fn update_voter_sets(&mut self, now: Time) {
        let members: Vec<_> = self.membership.present().cloned().collect();
        let current = (self.voter_sets.version(), self.voter_sets.value());
        let first = rendezvous::first(
            members.iter().map(|m| m.record.id),
            rendezvous::key("registrar"),
        );
        if first != Some(self.me) || !self.registrar.due(now) {
            return;
        }
        let Some((version, body)) = registrar::next_voter_sets(current, &members) else {
            return;
        };
        let (platform, events) = (self.platform.clone(), self.events.clone());
        actix_rt::spawn(registrar::write(platform, version, body, events));
    }

    async fn send_all(&mut self, socket: &UdpSocket, list: Vec<Envelope>) {
        for item in list {
            self.send(socket, item.to, &Datagram::Gossip(item.message))
                .await;
        }
    }

    async fn send(&mut self, socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
        let bytes = encode(datagram);
        self.usage.record_sent(bytes.len());
        send_datagram(socket, &bytes, to).await;
    }
}
