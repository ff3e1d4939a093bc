//! The control thread: membership, leases, shared objects and the routing derived from them.

mod cost;
mod dump;
mod leases;
pub(crate) mod objects;
mod registrar;
mod shutdown;

use {
    crate::{
        clock,
        control::{
            cost::Cost,
            leases::Leases,
            objects::{FetchSlot, ObjectVersion, VOTERS_KEY, WATCHERS},
            shutdown::Phase,
        },
        routing::{self, Inputs, Interner, LeaseState, SharedRouting},
        traffic::{
            Gauges,
            rpc::{Peers, SharedObjects},
        },
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
/// Largest datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 8_192;

/// What reaches the control thread from its own tasks and from outside.
pub(crate) enum Event {
    ObjectVersion(ObjectVersion),
    FetchFailed(&'static str),
    Dump(oneshot::Sender<serde_json::Value>),
    Stop(oneshot::Sender<String>),
    /// Blocks the control thread, as a starved process would be; for tests.
    Freeze(Duration),
    /// Ends at once without a word to anyone, as a killed process would.
    Kill,
}

/// Asks control for a dump of its state; `None` if it has ended.
pub(crate) async fn ask_state(events: &mpsc::UnboundedSender<Event>) -> Option<serde_json::Value> {
    let (send, receive) = oneshot::channel();
    events.send(Event::Dump(send)).ok()?;
    receive.await.ok()
}

/// Asks control to stop gracefully; returns what was left undone.
pub(crate) async fn ask_stop(events: &mpsc::UnboundedSender<Event>) -> String {
    let (send, receive) = oneshot::channel();
    // A control thread that has ended has nothing left to do.
    let _ = events.send(Event::Stop(send));
    receive.await.unwrap_or_else(|_| "control had ended".into())
}

/// What the control thread is started with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) me: NodeId,
    pub(crate) place: Endpoints,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) routing: SharedRouting,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) objects: SharedObjects,
}

struct Control {
    settings: Settings,
    me: NodeId,
    membership: Membership,
    leases: Leases,
    tables: Versioned<Arc<Tables>>,
    panels: Versioned<VoterSets>,
    interner: Interner,
    routing: SharedRouting,
    gauges: Arc<Gauges>,
    objects: SharedObjects,
    platform: ObjectClient,
    peers: Peers,
    events: mpsc::UnboundedSender<Event>,
    watches: Vec<tokio::task::JoinHandle<()>>,
    fetching: [FetchSlot; 2],
    routed: (u64, u64),
    registrar: registrar::Registrar,
    phase: Phase,
    stopped: Option<oneshot::Sender<String>>,
    refused_tables: u64,
    cost: Cost,
}

/// Runs control until the daemon stops.
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
        start.place,
        start.routing,
        start.gauges,
        start.objects,
        events,
    );
    control.seed_from_platform();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = clock::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, from)) = received {
                    control.receive(&socket, from, &buffer[..len]).await;
                }
            }
            Some(event) = inbox.recv() => match event {
                Event::Kill => return Ok(()),
                event => control.event(event),
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
        place: Endpoints,
        routing: SharedRouting,
        gauges: Arc<Gauges>,
        objects: SharedObjects,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let membership = Membership::new(me, place, settings.peers.clone(), me.0);
        Self {
            me,
            membership,
            leases: Leases::new(me),
            tables: Versioned::default(),
            panels: Versioned::default(),
            interner: Interner::default(),
            routing,
            gauges,
            objects,
            platform: ObjectClient::new(settings.platform),
            peers: Peers::new(std::rc::Rc::new(|_| {}), Duration::ZERO),
            events,
            watches: Vec::new(),
            fetching: Default::default(),
            routed: (0, 0),
            registrar: registrar::Registrar::default(),
            phase: Phase::Serving,
            stopped: None,
            refused_tables: 0,
            cost: Cost::start(),
            settings,
        }
    }

    /// Adds the platform's VM list to the seeds; the list lags and only seeds.
    fn seed_from_platform(&self) {
        for key in [TABLES_KEY, VOTERS_KEY] {
            let (platform, events) = (self.platform.clone(), self.events.clone());
            actix_rt::spawn(async move {
                if let rattanturn_platform::objects::ReadOutcome::Found(o) =
                    platform.read(key).await
                {
                    let found = ObjectVersion {
                        key,
                        version: o.version,
                        body: o.body,
                    };
                    let _ = events.send(Event::ObjectVersion(found));
                }
            });
        }
    }

    async fn receive(&mut self, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
        let now = clock::now();
        self.cost.received(bytes.len());
        let Ok(datagram) = decode(bytes) else {
            tracing::debug!(%from, "dropped a datagram that cannot be read");
            return;
        };
        match datagram {
            Datagram::Gossip(message) => {
                let out = self.membership.receive(now, from, &message);
                self.compare(now, message.from, message.versions);
                self.send_all(socket, out).await;
            }
            Datagram::LeaseRequests(_, list) => {
                let panels = self.panels.value().cloned().unwrap_or_default();
                let votes = self.leases.vote(now, &panels, &list);
                if !votes.is_empty() {
                    self.send(socket, from, &Datagram::LeaseVotes(self.me, votes))
                        .await;
                }
            }
            Datagram::LeaseVotes(voter, list) => {
                if let Some(panels) = self.panels.value() {
                    self.leases.votes(now, panels, voter, &list);
                }
            }
        }
    }

    /// Fetches what a peer has in a newer version.
    fn compare(&mut self, now: Time, from: NodeId, theirs: Versions) {
        let Some(member) = self.membership.get(from) else {
            return;
        };
        let place = &member.record.endpoints;
        let rpc = SocketAddr::new(place.gossip.ip(), place.rpc);
        let wanted = [
            (TABLES_KEY, theirs.tables, self.tables.version()),
            (VOTERS_KEY, theirs.voter_sets, self.panels.version()),
        ];
        for (i, (key, version, known)) in wanted.into_iter().enumerate() {
            if version > known && self.fetching[i].claim(now) {
                let (peers, events) = (self.peers.clone(), self.events.clone());
                let objects = self.objects.clone();
                actix_rt::spawn(objects::fetch(peers, rpc, key, known, objects, events));
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::ObjectVersion(found) => self.found(&found),
            Event::FetchFailed(key) => {
                self.fetching[usize::from(key == VOTERS_KEY)].until = Time::ZERO;
            }
            Event::Dump(send) => {
                let _ = send.send(self.dump());
            }
            Event::Stop(send) => self.withdraw(send),
            Event::Freeze(time) => std::thread::sleep(time),
            Event::Kill => {}
        }
    }

    fn found(&mut self, found: &ObjectVersion) {
        self.fetching[usize::from(found.key == VOTERS_KEY)].until = Time::ZERO;
        let taken = if found.key == VOTERS_KEY {
            self.take_panels(found)
        } else {
            self.take_tables(found)
        };
        if !taken {
            return;
        }
        tracing::info!(
            object = found.key,
            version = found.version,
            "a newer version is in force"
        );
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(found.key, found.version, &found.body);
        drop(objects);
        self.membership.set_versions(Versions {
            tables: self.tables.version(),
            voter_sets: self.panels.version(),
        });
    }

    fn take_panels(&mut self, found: &ObjectVersion) -> bool {
        match serde_json::from_slice(&found.body) {
            Ok(panels) => self.panels.offer(found.version, panels) == OfferResult::Accepted,
            Err(error) => {
                tracing::error!(version = found.version, %error, "the panels object cannot be read");
                false
            }
        }
    }

    /// Takes newer tables; tables that do not pass the check are refused and the old ones stay.
    fn take_tables(&mut self, found: &ObjectVersion) -> bool {
        if found.version <= self.tables.version() || found.version == self.refused_tables {
            return false;
        }
        let checked = serde_json::from_slice::<TablesObject>(&found.body)
            .map_err(|e| e.to_string())
            .and_then(|o| o.parse().map_err(|f| f.to_string()));
        match checked {
            Ok((tables, warnings)) => {
                for warning in warnings.list {
                    tracing::warn!(version = found.version, %warning, "tables");
                }
                self.tables.offer(found.version, Arc::new(tables)) == OfferResult::Accepted
            }
            Err(findings) => {
                self.refused_tables = found.version;
                tracing::error!(version = found.version, %findings, "tables refused; the old ones stay");
                false
            }
        }
    }

    /// One turn of the loop; true when the daemon may end.
    async fn tick(&mut self, socket: &UdpSocket) -> bool {
        let now = clock::now();
        let out = self.membership.tick(now);
        self.send_all(socket, out).await;
        self.cost.export(&self.settings.name);
        self.route();
        self.assign_watches();
        if self.settings.slot_policy == SlotPolicy::Leased {
            let panels = self.panels.value().cloned().unwrap_or_default();
            let due = self.leases.tick(now, &panels);
            self.send_leases(socket, due).await;
            self.keep_panels(now);
        }
        self.advance(now, socket).await
    }

    async fn send_leases(&mut self, socket: &UdpSocket, due: leases::Outgoing) {
        for (voter, list) in due {
            let Some(to) = self
                .membership
                .get(voter)
                .map(|m| m.record.endpoints.gossip)
            else {
                continue;
            };
            for part in list.chunks(leases::PER_DATAGRAM) {
                self.send(socket, to, &Datagram::LeaseRequests(self.me, part.to_vec()))
                    .await;
            }
        }
    }

    /// Derives routing anew if membership or tables changed.
    fn route(&mut self) {
        let key = (self.membership.changes(), self.tables.version());
        if key == self.routed && !self.leases.take_released() {
            return;
        }
        self.routed = key;
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
            static_shares: is_static,
        };
        let mut routing = routing::derive(&inputs, &mut self.interner);
        if is_static {
            let cell = Arc::new(LeaseState::never_expiring());
            routing
                .units
                .iter_mut()
                .for_each(|u| u.lease = Some(cell.clone()));
        } else {
            self.leases.follow(&mut routing.units);
        }
        self.routing.store(Arc::new(routing));
    }

    /// Starts or ends watching the platform, by rank among the data centre's daemons.
    fn assign_watches(&mut self) {
        let centre = &self.settings.centre;
        let near = self
            .membership
            .present()
            .filter(|m| m.record.endpoints.centre == *centre && m.record.state == State::Alive);
        let ranked = rendezvous::top(
            near.map(|m| m.record.id),
            rendezvous::key("watch"),
            WATCHERS,
        );
        let watching = !self.watches.is_empty();
        if ranked.contains(&self.me) == watching {
            return;
        }
        for watch in self.watches.drain(..) {
            watch.abort();
        }
        if !watching {
            let known = [
                (TABLES_KEY, self.tables.version()),
                (VOTERS_KEY, self.panels.version()),
            ];
            for (key, version) in known {
                let (platform, events) = (self.platform.clone(), self.events.clone());
                let watch = objects::watch(platform, key, version, self.me.0, events);
                self.watches.push(actix_rt::spawn(watch));
            }
        }
    }

    fn keep_panels(&mut self, now: Time) {
        let members: Vec<_> = self.membership.present().cloned().collect();
        let panels = (self.panels.version(), self.panels.value());
        let first = rendezvous::first(
            members.iter().map(|m| m.record.id),
            rendezvous::key("registrar"),
        );
        if first != Some(self.me) || !self.registrar.due(now) {
            return;
        }
        let Some((version, body)) = registrar::next_panels(panels, &members) else {
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
        self.cost.sent(bytes.len());
        // A lost datagram is repeated by the protocol that sent it.
        let _ = socket.send_to(&bytes, to).await;
    }
}
