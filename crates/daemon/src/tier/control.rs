//! Control of the tier: what the store and the peers tell becomes the view for traffic.
//!
//! A few daemons read the store and tell the others at once when something changed that matters;
//! these fetch it from the peer that has it. Which ones read is decided by
//! [`rattanturn_core::readers`].

mod members;
mod problems;
mod shutdown;

use {
    crate::{
        admin, clock,
        control::{self, Event},
        tier::{
            directory,
            exchange::Exchange,
            knowledge::Knowledge,
            meters::GaugeValues,
            peers::{self, CATALOG_KEY, FLEET_KEY},
            register::Absent,
            sources::{News, session},
            view::{Gauges, Phase, SharedView, View},
        },
        traffic::rpc::Objects,
    },
    rattanturn_core::{
        NodeId, Time,
        addresses::{self, Frontend},
        discovery::Target,
        membership::{Endpoints, Envelope, Membership, Message, MessageKind, State, Versions},
        quota,
        readers::{self, ReaderRole},
    },
    rattanturn_platform::Store,
    rattanturn_tables::{Settings, TierSettings},
    rattanturn_wire::{Datagram, decode, encode},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
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

/// Interval of the control loop.
const TICK: Duration = Duration::from_millis(50);
/// A reader tells the others at least this often that it reads: less than what counts as stale.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(900);
/// Interval of setting the gauges; scrapes are seconds apart.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);
/// A dead daemon still counts as a user of targets' connections and rates for this time.
const COUNT_DEAD: Duration = Duration::from_secs(20);

/// What control is started with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) tier: TierSettings,
    pub(crate) me: NodeId,
    pub(crate) place: Endpoints,
    pub(crate) gossip: std::net::UdpSocket,
    pub(crate) rpc: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) ready: TcpListener,
    pub(crate) directory: TcpListener,
    pub(crate) shared: SharedView,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) gauges: Arc<Gauges>,
}

struct Control {
    settings: Settings,
    me: NodeId,
    front: SocketAddr,
    membership: Membership,
    knowledge: Knowledge,
    exchange: Exchange,
    reading: ReaderRole,
    place: readers::ReaderContext,
    /// Members and entries that `place` was made of.
    placed: (u64, usize),
    /// State of each daemon as last logged.
    states: BTreeMap<String, State>,
    announced: Time,
    /// When the gauges were last set.
    exported: Time,
    absent: Absent,
    cores: f64,
    registered: Option<Time>,
    store: Store,
    news: mpsc::UnboundedSender<News>,
    session: Option<JoinHandle<()>>,
    phase: Phase,
    stopping: Option<(Time, oneshot::Sender<String>)>,
    published: Published,
    shared: SharedView,
    gauges: Arc<Gauges>,
}

/// What the view in force was made of.
#[derive(Default, PartialEq)]
struct Published {
    version: u64,
    fleet: u64,
    members: u64,
    out: BTreeSet<String>,
    daemons: BTreeMap<String, f64>,
    phase: Phase,
}

impl Published {
    /// What a daemon's place in the fleet depends on.
    fn placed(&self) -> (u64, usize) {
        (self.members, self.daemons.len())
    }
}

/// Runs control until the daemon stops.
pub(crate) async fn run(
    start: Start,
    mut inbox: mpsc::UnboundedReceiver<Event>,
) -> std::io::Result<()> {
    start.gossip.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(start.gossip)?;
    let objects = Objects::default();
    let _admin = admin::spawn(start.admin, start.events.clone())?;
    let metrics = start.metrics.map(|m| admin::spawn(m, start.events.clone()));
    let _metrics = metrics.transpose()?;
    let _ready = directory::serve(start.ready, start.shared.clone())?;
    let _directory = directory::serve(start.directory, start.shared.clone())?;
    actix_rt::spawn(peers::serve(start.rpc, objects.clone()));
    let (sender, mut news) = mpsc::unbounded_channel();
    let port = start.settings.peer_port;
    let peers = start.settings.peers.iter();
    let seeds: Vec<SocketAddr> = peers
        .map(|p| SocketAddr::new(p.ip(), port.unwrap_or(p.port())))
        .collect();
    let first = seeds.is_empty() || seeds.contains(&start.place.gossip);
    let now = clock::now();
    let mut control = Control {
        membership: Membership::new(start.me, start.place, seeds, start.me.0),
        me: start.me,
        front: start.tier.front,
        knowledge: Knowledge::default(),
        exchange: Exchange::open(objects, start.events),
        reading: ReaderRole::new(now, first),
        place: readers::ReaderContext {
            primary: true,
            alive: 1,
            jitter: rand::random(),
        },
        placed: (0, 0),
        states: BTreeMap::new(),
        announced: Time::ZERO,
        exported: Time::ZERO,
        absent: Absent::default(),
        cores: start.tier.cores,
        registered: None,
        store: Store::new(start.settings.platform),
        news: sender,
        session: None,
        settings: start.settings,
        phase: Phase::Serving,
        stopping: None,
        published: Published::default(),
        shared: start.shared,
        gauges: start.gauges,
    };
    let mut buffer = vec![0; control::MAX_DATAGRAM];
    let mut next = clock::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, from)) = received {
                    if let Ok(Datagram::Gossip(message)) = decode(&buffer[..len]) {
                        control.gossip(&socket, from, &message).await;
                    } else {
                        tracing::debug!(%from, "dropped a datagram that cannot be read");
                    }
                }
            }
            Some(item) = news.recv() => control.news(&socket, item).await,
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
    async fn gossip(&mut self, socket: &UdpSocket, from: SocketAddr, message: &Message) {
        let now = clock::now();
        let out = self.membership.receive(now, from, message);
        self.compare(now, message);
        send(socket, out).await;
    }

    /// Notes what a peer knows in a newer version.
    fn compare(&mut self, now: Time, message: &Message) {
        let Some(member) = self.membership.get(message.from) else {
            return;
        };
        let place = &member.record.endpoints;
        let rpc = SocketAddr::new(place.gossip.ip(), place.rpc);
        let theirs = message.versions;
        if theirs.tables > self.knowledge.version() {
            self.exchange.want(CATALOG_KEY, rpc, theirs.tables);
        }
        if theirs.voter_sets > self.knowledge.revision {
            self.exchange.want(FLEET_KEY, rpc, theirs.voter_sets);
        } else if message.kind == MessageKind::ANNOUNCE && self.knowledge.revision > 0 {
            self.knowledge.confirmed(now, theirs.tables);
        }
        self.fetch();
    }

    fn fetch(&mut self) {
        let (version, revision) = (self.knowledge.version(), self.knowledge.revision);
        self.exchange.fetch(|key| match key {
            CATALOG_KEY => version,
            _ => revision,
        });
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Found(found) => {
                self.exchange.fetched(found.key);
                if found.key == CATALOG_KEY {
                    match serde_json::from_slice(&found.body) {
                        Ok(spec) => self.knowledge.take_catalog(&spec, "peer"),
                        Err(error) => {
                            tracing::warn!(%error, "a peer's configuration cannot be read");
                        }
                    }
                } else {
                    let now = clock::now();
                    self.knowledge.take_fleet(now, found.version, &found.body);
                }
                self.spread();
            }
            Event::FetchFailed(key) => {
                tracing::debug!(key, "a peer did not give what it has");
                self.exchange.failed(key);
            }
            Event::Dump(send) => {
                // The asker may have left.
                let _ = send.send(self.dump());
            }
            Event::Stop(done) => self.withdraw(done),
            Event::Freeze(time) => std::thread::sleep(time),
            Event::Kill => {}
        }
    }

    async fn news(&mut self, socket: &UdpSocket, news: News) {
        let now = clock::now();
        if matches!(news, News::Ended) {
            self.session = None;
            self.reading.session_failed(now, self.place);
            return;
        }
        let read = self.knowledge.read;
        self.knowledge.news(now, news);
        let version = self.published.version;
        let changed = self.spread() || self.knowledge.version() != version;
        let due = now.since(self.announced) >= ANNOUNCE_INTERVAL && self.knowledge.read > read;
        if changed || due {
            self.announced = now;
            let out = self.membership.announce();
            send(socket, out).await;
        }
    }

    /// Offers peers what is known; true if targets or outages changed.
    fn spread(&mut self) -> bool {
        let changed = self.knowledge.version_fleet();
        let (version, revision) = (self.knowledge.version(), self.knowledge.revision);
        self.exchange
            .offer(CATALOG_KEY, version, &self.knowledge.spec);
        self.exchange
            .offer(FLEET_KEY, revision, self.knowledge.fleet_object());
        self.membership.set_versions(Versions {
            tables: version,
            voter_sets: revision,
        });
        self.publish();
        changed
    }

    /// Begins or ends reading the store.
    fn decide_reading(&mut self, now: Time) {
        if self.placed != self.published.placed() {
            self.placed = self.published.placed();
            self.log_members();
            let frontends = self.frontends();
            let alive = frontends.iter().filter(|e| e.accepting);
            self.place.alive = alive.count();
            // The large ones, because each reader gives every change to all the others.
            let large = addresses::advertised(&frontends);
            self.place.primary = readers::is_primary_reader(self.me, large.iter().map(|e| e.id));
        }
        let wanted = self
            .reading
            .should_read(now, self.place, self.knowledge.read);
        if wanted && self.session.is_none() {
            let run = session(self.store.clone(), self.news.clone());
            self.session = Some(actix_rt::spawn(run));
        } else if !wanted && let Some(session) = self.session.take() {
            session.abort();
        }
    }

    async fn tick(&mut self, socket: &UdpSocket) -> bool {
        let now = clock::now();
        let out = self.membership.tick(now);
        send(socket, out).await;
        self.decide_reading(now);
        self.register(now);
        self.remove_absent(now);
        self.knowledge.fleet.tick(now);
        let read = self.knowledge.read.micros();
        self.gauges.read_micros.store(read, Ordering::Relaxed);
        self.fetch();
        self.spread();
        if now.since(self.exported) >= GAUGES_INTERVAL {
            self.exported = now;
            self.gauge_values(now).export();
        }
        self.advance(now, socket).await
    }

    fn gauge_values(&self, now: Time) -> GaugeValues {
        let peers = self.membership.present();
        let alive = peers.filter(|m| m.record.state == State::Alive && m.record.id != self.me);
        GaugeValues {
            targets_age: now.since(self.knowledge.read),
            config_age: now.since(self.knowledge.configured),
            config_version: self.knowledge.version(),
            targets: self.knowledge.fleet.targets().count(),
            peers: alive.count(),
            open_requests: self.gauges.open_requests.load(Ordering::Relaxed),
            connections: self.gauges.connections.load(Ordering::Relaxed),
            reads_store: self.session.is_some(),
        }
    }

    /// Daemons that callers may be sent to.
    fn frontends(&self) -> Vec<Frontend> {
        let cores = &self.knowledge.daemons;
        // A suspect is named only while there is nobody else: its death takes seconds to settle.
        let mut others = self.membership.present().filter(|m| m.record.id != self.me);
        let alive = others.any(|m| m.record.state == State::Alive) || self.phase == Phase::Serving;
        let takes_callers = |state| state == State::Alive || (state == State::Suspect && !alive);
        let frontends = self.membership.present().map(|m| Frontend {
            id: m.record.id,
            addr: SocketAddr::new(m.record.endpoints.gossip.ip(), m.record.endpoints.http),
            centre: m.record.endpoints.centre.clone(),
            accepting: takes_callers(m.record.state)
                && (m.record.id != self.me || self.phase == Phase::Serving),
            capacity: cores.get(&m.record.endpoints.name).copied().unwrap_or(0.0),
        });
        frontends.collect()
    }

    /// Hands traffic a new view if something changed.
    fn publish(&mut self) {
        let fresh = Published {
            version: self.knowledge.version(),
            fleet: self.knowledge.fleet.changes(),
            members: self.membership.changes(),
            out: self.knowledge.out.clone(),
            daemons: self.knowledge.daemons.clone(),
            phase: self.phase,
        };
        if fresh == self.published {
            return;
        }
        self.published = fresh;
        let mut services: HashMap<String, Vec<Arc<Target>>> = HashMap::new();
        for target in self.knowledge.fleet.targets() {
            if !target.leaving && !self.knowledge.out.contains(&target.centre) {
                let list = services.entry(target.service.clone()).or_default();
                list.push(Arc::new(target.clone()));
            }
        }
        let now = clock::now();
        let counted = self
            .membership
            .members()
            .filter(|m| m.record.state != State::Dead || now.since(m.changed) < COUNT_DEAD);
        let daemons: Vec<NodeId> = counted.map(|m| m.record.id).collect();
        let frontends = self.frontends();
        let named = addresses::advertised(&frontends);
        let recorded: Vec<f64> = self.knowledge.daemons.values().copied().collect();
        let view = View {
            sharing_daemons: quota::sharing_daemons(named.len(), &recorded),
            calling_daemons: quota::sharing_daemons(daemons.len(), &vec![1.0; recorded.len()]),
            advertised: named.iter().any(|e| e.id == self.me),
            catalog: self.knowledge.catalog.clone(),
            services,
            frontends,
            daemons,
            me: self.me,
            phase: self.phase,
        };
        self.shared.store(Arc::new(view));
    }

    fn dump(&self) -> Value {
        let members: Vec<Value> = self
            .membership
            .members()
            .map(|m| {
                let place = &m.record.endpoints;
                json!({
                    "name": place.name,
                    "centre": place.centre,
                    "admin": SocketAddr::new(place.gossip.ip(), place.admin),
                    "state": format!("{:?}", m.record.state),
                    "tables": m.versions.tables,
                    "panels": m.versions.voter_sets,
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "front": self.front,
            "phase": format!("{:?}", self.phase),
            "centre": self.settings.centre,
            "tables": self.knowledge.version(),
            "fleet_revision": self.knowledge.revision,
            "reads_store": self.session.is_some(),
            "targets": self.knowledge.fleet.targets().count(),
            "out": self.knowledge.out,
            "members": members,
            "problems": self.problems(),
            "store_failures": self.knowledge.failures,
            "requests": self.gauges.open_requests.load(Ordering::Relaxed),
            "links": self.gauges.upstreams.load(Ordering::Relaxed),
            "connections": self.gauges.connections.load(Ordering::Relaxed),
        })
    }
}

async fn send(socket: &UdpSocket, list: Vec<Envelope>) {
    for item in list {
        let bytes = encode(&Datagram::Gossip(item.message));
        // A lost datagram is repeated by membership.
        let _ = socket.send_to(&bytes, item.to).await;
    }
}
