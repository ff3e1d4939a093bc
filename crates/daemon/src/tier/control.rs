//! The control loop of the tier: follows the store and the peers, and publishes the view for traffic.
//!
//! Only a few daemons read the store; they are chosen by [`rattanturn_core::readers`]. A reader
//! announces new versions as soon as it reads a relevant change, to the daemons that
//! [`rattanturn_core::dissemination`] names, and these fetch what they lack from it. An announcement
//! confirms that the store holds nothing newer, so a reader whose calls fail sends its versions
//! without one. Every membership
//! message carries the versions too, so a daemon that misses an announcement catches up with the next
//! message.

mod dump;
mod evidence;
mod members;
mod problems;
mod publish;
mod quotas;
mod rollouts;
mod shutdown;
mod stored_evidence;

use {
    self::{
        evidence::EvidenceExchange, publish::ViewInputs, quotas::QuotaExchange,
        rollouts::RolloutControl, stored_evidence::StoredRequests,
    },
    crate::{
        admin, clock,
        control::{self, Event},
        datagram::send_datagram,
        stop::sleep_until,
        tier::{
            directory,
            knowledge::ClusterState,
            meters::{self, GaugeValues},
            peer_sync::PeerSync,
            peers::{self, CATALOG_KEY, KnownTargets, TARGETS_KEY, TargetsEvent},
            quarantine::SharedQuarantine,
            quota::SharedQuotas,
            register::StaleEntries,
            rollouts::SharedRollouts,
            sources::{StoreEvent, session},
            view::{Gauges, Phase, SharedView},
        },
        traffic::rpc::SharedObjects,
    },
    rattanturn_core::{
        NodeId, Time, addresses,
        dissemination::{self, Peer},
        membership::{Endpoints, Envelope, Membership, Message, MessageKind, State, Versions},
        readers::{self, ReaderRole},
        shutdown::StopSchedule,
    },
    rattanturn_platform::Store,
    rattanturn_tables::{Settings, TierSettings},
    rattanturn_wire::{Datagram, decode, encode},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, oneshot},
        task::JoinHandle,
    },
};

pub(crate) use shutdown::stop_without_control;

/// Interval of the control loop.
const TICK: Duration = Duration::from_millis(50);
/// Longest time between two announcements of a daemon that reads the store. It is shorter than
/// [`readers::STALE_AFTER`], so that the other daemons do not start to read as well.
pub(crate) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(900);
/// Shortest time between two announcements that a daemon passes on without a change.
const RELAY_INTERVAL: Duration = Duration::from_millis(300);
/// A daemon that got an announcement from another data centre within this time passes on what it
/// fetches to its own data centre. Readers announce more often.
const RELAY_ROLE_TIME: Duration = Duration::from_secs(2);
/// How long a daemon that hears of a newer version from another data centre, other than by an
/// announcement, waits for a daemon of its own data centre to announce it.
const NEAR_FETCH_WAIT: Duration = Duration::from_millis(400);
/// Interval of exporting the gauges; scrapes are seconds apart.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);
/// A daemon that died still counts among those that share targets' connections and rates for this
/// time.
const DEAD_MEMBER_GRACE: Duration = Duration::from_secs(20);

/// Arguments of [`run`].
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) tier: TierSettings,
    pub(crate) me: NodeId,
    pub(crate) endpoints: Endpoints,
    pub(crate) gossip: std::net::UdpSocket,
    pub(crate) rpc: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) ready: TcpListener,
    pub(crate) directory: TcpListener,
    pub(crate) shared: SharedView,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) rollouts: Arc<SharedRollouts>,
    pub(crate) quotas: Arc<SharedQuotas>,
}

struct Control {
    settings: Settings,
    me: NodeId,
    /// Address for callers, for the state dump.
    front: SocketAddr,
    membership: Membership,
    cluster: ClusterState,
    peer_sync: PeerSync,
    reader_role: ReaderRole,
    reader_context: readers::ReaderContext,
    /// [`ViewInputs::reader_inputs`] when `reader_context` was last updated.
    reader_inputs: (u64, u64),
    /// State of each daemon, by its name, as last logged.
    logged_states: BTreeMap<String, State>,
    /// When this daemon last announced what it had read.
    last_announced: Time,
    /// When this daemon last passed an announcement on, and when it last got one to pass on.
    last_relayed: Time,
    relay_since: Option<Time>,
    /// When this daemon last raised the revision of its state because a peer gave it to another.
    last_raised: Time,
    /// When the gauges were last exported.
    gauges_set: Time,
    stale_entries: StaleEntries,
    tier: TierSettings,
    /// When this daemon last wrote its own entry to the store.
    last_registered: Option<Time>,
    store: Store,
    store_events: mpsc::UnboundedSender<StoreEvent>,
    /// Task that reads the store while this daemon is a reader.
    read_session: Option<JoinHandle<()>>,
    phase: Phase,
    /// Whether peers were told not to direct callers here, because this daemon lost the targets.
    withdrawn: bool,
    /// Times of a graceful stop that has begun, and the channel that reports its end.
    stopping: Option<(StopSchedule, oneshot::Sender<String>)>,
    /// Inputs of the view that is published in `shared`.
    view_inputs: ViewInputs,
    shared: SharedView,
    gauges: Arc<Gauges>,
    quarantine: Arc<SharedQuarantine>,
    evidence: EvidenceExchange,
    quotas: Arc<SharedQuotas>,
    quota_exchange: QuotaExchange,
    stored: StoredRequests,
    rollouts: RolloutControl,
    shared_rollouts: Arc<SharedRollouts>,
}

/// Runs the control loop until the daemon stops.
///
/// # Errors
///
/// Fails if a listener or the gossip socket cannot be registered with the runtime.
pub(crate) async fn run(
    start: Start,
    mut inbox: mpsc::UnboundedReceiver<Event>,
) -> std::io::Result<()> {
    start.gossip.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(start.gossip)?;
    let objects = SharedObjects::default();
    let _admin = admin::spawn(start.admin, start.events.clone())?;
    let metrics = start.metrics.map(|m| admin::spawn(m, start.events.clone()));
    let _metrics = metrics.transpose()?;
    let memory = start.tier.memory_bytes;
    let _ready = directory::serve(start.ready, memory, start.shared.clone())?;
    let _directory = directory::serve(start.directory, memory, start.shared.clone())?;
    let (sender, mut store_events) = mpsc::unbounded_channel();
    let (targets, mut targets_events) = mpsc::unbounded_channel();
    let port = start.settings.peer_port;
    let peers = start.settings.peers.iter();
    let seeds: Vec<SocketAddr> = peers
        .map(|p| SocketAddr::new(p.ip(), port.unwrap_or(p.port())))
        .collect();
    let is_seed = seeds.is_empty() || seeds.contains(&start.endpoints.gossip);
    let now = clock::now();
    let mut control = Control {
        membership: Membership::new(start.me, start.endpoints, seeds, start.me.0),
        me: start.me,
        front: start.tier.front,
        cluster: ClusterState::new(start.tier.rollouts.is_some()),
        peer_sync: PeerSync::new(objects.clone(), start.events, targets.clone()),
        reader_role: ReaderRole::new(now, is_seed),
        reader_context: readers::ReaderContext {
            rank: 0,
            alive: 1,
            peer_has_newer: false,
            jitter: rand::random(),
        },
        reader_inputs: (0, 0),
        logged_states: BTreeMap::new(),
        last_announced: Time::ZERO,
        last_relayed: Time::ZERO,
        relay_since: None,
        last_raised: Time::ZERO,
        gauges_set: Time::ZERO,
        stale_entries: StaleEntries::default(),
        tier: start.tier,
        last_registered: None,
        store: Store::new(start.settings.platform),
        store_events: sender,
        read_session: None,
        settings: start.settings,
        phase: Phase::Serving,
        withdrawn: false,
        stopping: None,
        view_inputs: ViewInputs::default(),
        shared: start.shared,
        gauges: start.gauges,
        quarantine: start.quarantine,
        evidence: EvidenceExchange::default(),
        quotas: start.quotas,
        quota_exchange: QuotaExchange::default(),
        stored: StoredRequests::default(),
        rollouts: RolloutControl::default(),
        shared_rollouts: start.rollouts,
    };
    let quarantine = control.quarantine.clone();
    let quotas = control.quotas.clone();
    actix_rt::spawn(peers::serve(start.rpc, memory, objects, targets));
    let mut buffer = vec![0; control::MAX_DATAGRAM_BYTES];
    let mut next = clock::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, from)) = received {
                    control.receive(&socket, from, &buffer[..len]).await;
                }
            }
            () = quarantine.wait_news() => control.send_evidence_news(&socket).await,
            () = quotas.wait_news() => control.send_asks(&socket).await,
            () = sleep_until(control.quota_exchange.ask_at) => control.send_asks(&socket).await,
            Some(event) = store_events.recv() => control.handle_store_event(&socket, event).await,
            Some(event) = targets_events.recv() => {
                control.handle_targets_event(&socket, event).await;
            }
            Some(event) = inbox.recv() => match event {
                Event::Kill => return Ok(()),
                event => control.handle_event(&socket, event).await,
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
    async fn receive(&mut self, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
        let Ok((datagram, unreadable)) = decode(bytes) else {
            tracing::debug!(%from, "dropped a datagram that cannot be decoded");
            return;
        };
        self.cluster
            .unusable
            .note_items("peer-datagram", &unreadable);
        match datagram {
            Datagram::Gossip(message) => {
                meters::count_datagram("received", message.kind, bytes.len());
                self.receive_gossip(socket, from, &message).await;
            }
            Datagram::Evidence(from, reports) => {
                self.receive_evidence(socket, from, &reports).await;
            }
            Datagram::Rollouts(from, parts) => self.receive_rollout_evidence(from, &parts),
            Datagram::Borrow(from, asks) => self.receive_asks(socket, from, &asks).await,
            Datagram::Lent(_, answers) => self.receive_tokens(socket, &answers).await,
            Datagram::Returned(from, list) => self.quotas.take_back(from, &list),
            Datagram::LeaseRequests(..) | Datagram::LeaseVotes(..) => {
                tracing::debug!(%from, "dropped a datagram that is not for the tier");
            }
        }
    }

    async fn receive_gossip(&mut self, socket: &UdpSocket, from: SocketAddr, message: &Message) {
        let now = clock::now();
        self.note_heard();
        let out = self.membership.receive(now, from, message);
        self.compare_versions(now, message);
        send(socket, out).await;
        let known = self.membership.get(message.from).is_some();
        if message.kind == MessageKind::ANNOUNCE && known && !self.is_near(message.from) {
            self.relay_announcement(socket, now).await;
        }
    }

    /// Passes on an announcement that came from another data centre, if it told nothing new. If it
    /// did, what is fetched because of it is announced once it is here: an announcement confirms the
    /// receivers' state, so it must not be sent by a daemon whose own state is older.
    async fn relay_announcement(&mut self, socket: &UdpSocket, now: Time) {
        self.relay_since = Some(now);
        let confirmed = self.cluster.targets_read == now && !self.peer_sync.has_newer();
        if confirmed && now.since(self.last_relayed) >= RELAY_INTERVAL {
            self.relay(socket, now).await;
        }
    }

    /// Whether a daemon runs in this daemon's data centre.
    fn is_near(&self, id: NodeId) -> bool {
        let member = self.membership.get(id);
        member.is_some_and(|m| m.record.endpoints.centre == self.settings.centre)
    }

    /// Announces to this daemon's data centre, in a large deployment.
    async fn relay(&mut self, socket: &UdpSocket, now: Time) {
        self.last_relayed = now;
        let audience = self.audience(dissemination::relay_audience);
        send_to_all(socket, self.membership.announcement(), &audience).await;
    }

    /// Addresses of the daemons that `choose` names among all others.
    fn audience(&self, choose: fn(&str, &[Peer<'_>]) -> Vec<NodeId>) -> Vec<SocketAddr> {
        let others = self.membership.present().filter(|m| m.record.id != self.me);
        let peers = others.map(|m| Peer {
            id: m.record.id,
            centre: &m.record.endpoints.centre,
            alive: m.record.state == State::Alive,
            capacity: self.capacity(&m.record.endpoints.name),
        });
        let chosen = choose(&self.settings.centre, &peers.collect::<Vec<_>>());
        let members = chosen.iter().filter_map(|id| self.membership.get(*id));
        members.map(|m| m.record.endpoints.gossip).collect()
    }

    /// Processor cores of a registered daemon; 0 if unknown.
    fn capacity(&self, name: &str) -> f64 {
        self.cluster.daemons.get(name).copied().unwrap_or(0.0)
    }

    /// Fetches from the sender of a message what it has in a newer version.
    fn compare_versions(&mut self, now: Time, message: &Message) {
        let Some(member) = self.membership.get(message.from) else {
            return;
        };
        let endpoints = &member.record.endpoints;
        let rpc = SocketAddr::new(endpoints.gossip.ip(), endpoints.rpc);
        let versions = message.versions;
        let announced = message.kind == MessageKind::ANNOUNCE;
        let wait = if announced || self.is_near(message.from) {
            Duration::ZERO
        } else {
            NEAR_FETCH_WAIT
        };
        if versions.tables > self.cluster.seen_version() {
            let version = versions.tables;
            self.peer_sync.note_newer(CATALOG_KEY, rpc, version, wait);
        }
        // In the tier, `voter_sets` carries the revision of the targets.
        let same = versions.digest != 0 && versions.digest == self.cluster.digest();
        if same && versions.voter_sets > self.cluster.revision {
            self.cluster.adopt_revision(versions.voter_sets);
            self.share_state();
        }
        self.settle_conflict(now, versions);
        if versions.voter_sets > self.cluster.revision {
            let revision = versions.voter_sets;
            self.peer_sync.note_newer(TARGETS_KEY, rpc, revision, wait);
        } else if announced && self.cluster.revision > 0 {
            self.cluster.confirm_read(now);
        }
        if announced {
            self.cluster.confirm_config(now, versions.tables);
        }
        self.fetch_newer();
    }

    /// Raises the revision if a peer has another state of the same one, so that the peer fetches this
    /// daemon's state. Only a daemon that reads the store does: what it may not know yet, it reads.
    fn settle_conflict(&mut self, now: Time, versions: Versions) {
        let reads = self.read_session.is_some() && self.cluster.is_read_complete();
        let digests = (versions.digest, self.cluster.digest());
        let differs = digests.0 != digests.1 && digests.0 != 0 && digests.1 != 0;
        let due = now.since(self.last_raised) > readers::STALE_AFTER;
        if reads && differs && due && versions.voter_sets == self.cluster.revision {
            self.last_raised = now;
            self.cluster.raise_revision();
            self.share_state();
        }
    }

    fn fetch_newer(&mut self) {
        let (version, revision) = (self.cluster.seen_version(), self.cluster.revision);
        let known = || KnownTargets {
            revision,
            digests: self.cluster.targets.digests().as_slice().to_vec(),
            daemons: self.cluster.daemons_digest,
        };
        self.peer_sync.start_fetches(version, revision, known);
    }

    /// Answers a peer's request for targets, or applies what this daemon has fetched.
    async fn handle_targets_event(&mut self, socket: &UdpSocket, event: TargetsEvent) {
        match event {
            TargetsEvent::Requested(request) => {
                let reply =
                    self.cluster
                        .reply_to_peer(clock::now(), &request.digests, request.daemons);
                // Sending fails only if the peer's connection was closed meanwhile.
                let _ = request.reply.send(reply);
            }
            TargetsEvent::Fetched(reply) => {
                self.peer_sync.fetch_succeeded(TARGETS_KEY);
                if self.cluster.apply_targets(clock::now(), &reply) {
                    self.share_fetched(socket).await;
                }
            }
            TargetsEvent::FetchFailed => self.peer_sync.fetch_failed(TARGETS_KEY),
        }
    }

    /// Shares what was fetched from a peer, also with the own data centre if the peer announced it
    /// to this daemon.
    async fn share_fetched(&mut self, socket: &UdpSocket) {
        self.share_state();
        let now = clock::now();
        if self
            .relay_since
            .is_some_and(|at| now.since(at) < RELAY_ROLE_TIME)
        {
            self.relay(socket, now).await;
        }
    }

    async fn handle_event(&mut self, socket: &UdpSocket, event: Event) {
        match event {
            Event::ObjectVersion(object) => {
                match serde_json::from_slice(&object.body) {
                    Ok(spec) => {
                        self.peer_sync.fetch_succeeded(object.key);
                        let version = object.version;
                        self.cluster.apply_fetched_catalog(version, &spec);
                    }
                    Err(error) => {
                        self.peer_sync.fetch_failed(object.key);
                        tracing::warn!(%error, "cannot parse a peer's configuration");
                    }
                }
                self.share_fetched(socket).await;
            }
            Event::FetchFailed(key) => self.peer_sync.fetch_failed(key),
            Event::FetchRefused(key) => self.peer_sync.fetch_refused(key),
            Event::Dump(send) => {
                // Sending fails only if the operator's connection was closed meanwhile.
                let _ = send.send(self.dump());
            }
            Event::Stop(began, done) => self.begin_stop(began, done),
            Event::Hurry => self.hurry_stop(),
            Event::Freeze(time) => std::thread::sleep(time),
            Event::Kill => {}
        }
    }

    /// Applies a result of reading the store, and announces new versions to all other daemons.
    async fn handle_store_event(&mut self, socket: &UdpSocket, event: StoreEvent) {
        let now = clock::now();
        if matches!(event, StoreEvent::SessionEnded) {
            self.read_session = None;
            self.reader_role.session_failed(now, self.reader_context);
            return;
        }
        let Some(event) = self.apply_stored_evidence(event) else {
            return;
        };
        let read = self.cluster.targets_read;
        self.cluster.apply_event(now, event);
        let version = self.view_inputs.version;
        let changed = self.share_state() || self.cluster.config_version() != version;
        let complete = self.cluster.is_read_complete();
        let due = complete
            && now.since(self.last_announced) >= ANNOUNCE_INTERVAL
            && self.cluster.targets_read > read;
        if changed || due {
            self.last_announced = now;
            let audience = self.audience(dissemination::reader_audience);
            let message = if complete {
                self.membership.announcement()
            } else {
                self.membership.versions_notice()
            };
            send_to_all(socket, message, &audience).await;
        }
    }

    /// Makes the current state available to peers and to traffic; true if the targets, the
    /// evacuated data centres or the registered daemons changed.
    fn share_state(&mut self) -> bool {
        let changed = self.cluster.update_revision();
        let (version, revision) = (self.cluster.config_version(), self.cluster.revision);
        self.peer_sync
            .publish(CATALOG_KEY, version, &self.cluster.catalog_spec);
        self.membership.set_versions(Versions {
            tables: version,
            voter_sets: revision,
            digest: self.cluster.digest(),
        });
        self.publish_view();
        changed
    }

    /// Starts or stops reading the store, as the role of this daemon requires.
    fn update_reading(&mut self, now: Time) {
        if self.reader_inputs != self.view_inputs.reader_inputs() {
            self.reader_inputs = self.view_inputs.reader_inputs();
            self.log_members();
            let frontends = self.frontends();
            let alive = frontends.iter().filter(|e| e.accepting);
            self.reader_context.alive = alive.count();
            self.reader_context.rank = readers::reading_rank(self.me, &frontends);
            self.membership.watch(addresses::watched(&frontends));
        }
        self.reader_context.peer_has_newer = self.peer_sync.has_newer();
        let wanted =
            self.reader_role
                .should_read(now, self.reader_context, self.cluster.targets_read);
        if wanted && self.read_session.is_none() {
            self.cluster.begin_reading();
            let events = self.store_events.clone();
            let reading = session(self.store.clone(), Box::new(self.tier), events);
            self.read_session = Some(actix_rt::spawn(reading));
        } else if !wanted && let Some(session) = self.read_session.take() {
            session.abort();
        }
    }

    /// Does the periodic work; true when the daemon may end.
    async fn tick(&mut self, socket: &UdpSocket) -> bool {
        let now = clock::now();
        let out = self.membership.tick(now);
        send(socket, out).await;
        self.update_reading(now);
        self.update_withdrawn(now);
        self.register_self(now);
        self.remove_stale_entries(now);
        self.cluster.targets.tick(now);
        let read = self.cluster.targets_read.micros();
        // What was read at this time has been published as a view before.
        self.gauges.read_micros.store(read, Ordering::Release);
        let config_read = self.cluster.config_read.micros();
        self.gauges
            .config_micros
            .store(config_read, Ordering::Relaxed);
        let read = self.cluster.rollouts.last_read().micros();
        self.gauges.rollouts_micros.store(read, Ordering::Relaxed);
        self.fetch_newer();
        self.share_state();
        self.tick_rollouts(socket, now).await;
        self.send_evidence_news(socket).await;
        self.repeat_evidence(socket, now).await;
        self.update_quotas(socket, now).await;
        if now.since(self.gauges_set) >= GAUGES_INTERVAL {
            self.gauges_set = now;
            self.gauge_values(now).export();
            for (kind, read) in &self.cluster.own_reads {
                meters::set_read_age(kind, now.since(*read));
            }
        }
        self.advance_stop(now, socket).await
    }

    fn gauge_values(&self, now: Time) -> GaugeValues {
        let peers = self.membership.present();
        let alive = peers.filter(|m| m.record.state == State::Alive && m.record.id != self.me);
        GaugeValues {
            targets_age: now.since(self.cluster.targets_read),
            config_age: now.since(self.cluster.config_read),
            config_version: self.cluster.config_version(),
            targets: self.cluster.targets.targets().count(),
            peers: alive.count(),
            open_requests: self.gauges.open_requests.load(Ordering::Relaxed),
            connections: self.gauges.connections.load(Ordering::Relaxed),
            reads_store: self.read_session.is_some(),
        }
    }
}

async fn send_to_all(socket: &UdpSocket, message: Message, audience: &[SocketAddr]) {
    let kind = message.kind;
    let bytes = encode(&Datagram::Gossip(message));
    for to in audience {
        meters::count_datagram("sent", kind, bytes.len());
        send_datagram(socket, &bytes, *to).await;
    }
}

async fn send(socket: &UdpSocket, list: Vec<Envelope>) {
    for item in list {
        let kind = item.message.kind;
        let bytes = encode(&Datagram::Gossip(item.message));
        meters::count_datagram("sent", kind, bytes.len());
        send_datagram(socket, &bytes, item.to).await;
    }
}
