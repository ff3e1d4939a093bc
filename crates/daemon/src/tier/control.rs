//! Control of the tier: what the store and the peers tell becomes the view for traffic.
//!
//! Every daemon reads the store by itself and tells its peers which versions it knows. A daemon
//! that knows an older version fetches the newer one from the peer that has it.

use {
    crate::{
        admin, clock,
        control::{self, Event, objects},
        tier::{
            directory,
            peers::{self, CATALOG_KEY, FLEET_KEY, FleetObject},
            sources::{News, follow},
            view::{Gauges, Phase, Shared, View},
        },
        traffic::rpc::{Objects, Peers},
    },
    rattanturn_core::{
        NodeId, Time,
        addresses::Entry,
        catalog::Catalog,
        fleet::{Fleet, Target},
        membership::{Membership, Message, Place, Send, State, Versions},
    },
    rattanturn_platform::{Object, Store, entries},
    rattanturn_tables::{Settings, TierSettings},
    rattanturn_wire::{Datagram, decode, encode},
    serde_json::{Value, json},
    std::{
        collections::{BTreeSet, HashMap},
        net::{SocketAddr, TcpListener},
        sync::{Arc, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, oneshot},
    },
};

/// Interval of the control loop.
const TICK: Duration = Duration::from_millis(50);
/// Least time between two reads of the targets; a leaving target must get nothing after 3 s.
const TARGETS_INTERVAL: Duration = Duration::from_millis(700);
/// Least time between two reads of what operators write.
const OPERATORS_INTERVAL: Duration = Duration::from_millis(50);
/// A peer's targets are fetched once this daemon's own are this old.
const STALE: Duration = Duration::from_millis(1_600);
/// Time before a failed fetch from a peer is repeated.
const FETCH_PAUSE: Duration = Duration::from_millis(500);
/// A stopping daemon closes its listeners this long before its time is up.
const CLOSE_BEFORE_END: Duration = Duration::from_secs(2);
/// A stopping daemon ends this long before its time is up, whatever still runs.
const END_BEFORE_KILL: Duration = Duration::from_millis(400);
/// A dead daemon still counts as a user of targets' connections and rates for this time.
const COUNT_DEAD: Duration = Duration::from_secs(20);

/// What control is started with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) tier: TierSettings,
    pub(crate) me: NodeId,
    pub(crate) place: Place,
    pub(crate) gossip: std::net::UdpSocket,
    pub(crate) rpc: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) ready: TcpListener,
    pub(crate) directory: TcpListener,
    pub(crate) shared: Shared,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) gauges: Arc<Gauges>,
}

struct Control {
    settings: Settings,
    me: NodeId,
    front: SocketAddr,
    membership: Membership,
    catalog: Option<Arc<Catalog>>,
    fleet: Fleet,
    fleet_revision: u64,
    fleet_read: Time,
    out: BTreeSet<String>,
    away: HashMap<&'static str, u64>,
    phase: Phase,
    stopping: Option<(Time, oneshot::Sender<String>)>,
    published: (u64, u64, u64, BTreeSet<String>, Phase),
    shared: Shared,
    objects: Objects,
    peers: Peers,
    fetching: HashMap<&'static str, Time>,
    events: mpsc::UnboundedSender<Event>,
    gauges: Arc<Gauges>,
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
    let _ready = directory::serve(start.ready, start.shared.clone())?;
    let _directory = directory::serve(start.directory, start.shared.clone())?;
    actix_rt::spawn(peers::serve(start.rpc, objects.clone()));
    let (sender, mut news) = mpsc::unbounded_channel();
    let store = Store::open(start.settings.platform);
    let kinds = [
        (entries::CATALOG.0, OPERATORS_INTERVAL),
        (entries::OUTAGES, OPERATORS_INTERVAL),
        (entries::TARGETS, TARGETS_INTERVAL),
    ];
    for (kind, interval) in kinds {
        actix_rt::spawn(follow(store.clone(), kind, interval, sender.clone()));
    }
    let seeds = start
        .settings
        .peers
        .iter()
        .map(|p| SocketAddr::new(p.ip(), start.settings.peer_port.unwrap_or(p.port())));
    let mut control = Control {
        membership: Membership::new(start.me, start.place, seeds.collect(), start.me.0),
        settings: start.settings,
        me: start.me,
        front: start.tier.front,
        catalog: None,
        fleet: Fleet::default(),
        fleet_revision: 0,
        fleet_read: Time::ZERO,
        out: BTreeSet::new(),
        away: HashMap::new(),
        phase: Phase::Serving,
        stopping: None,
        published: (0, 0, 0, BTreeSet::new(), Phase::Serving),
        shared: start.shared,
        objects,
        peers: Peers::new(std::rc::Rc::new(|_| {}), Duration::ZERO),
        fetching: HashMap::new(),
        events: start.events,
        gauges: start.gauges,
    };
    let mut buffer = vec![0; control::MAX_DATAGRAM];
    let mut next = clock::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, from)) = received
                    && let Ok(Datagram::Gossip(message)) = decode(&buffer[..len])
                {
                    control.gossip(&socket, from, &message).await;
                }
            }
            Some(item) = news.recv() => control.news(item),
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
        self.compare(now, message.from, message.versions);
        send(socket, out).await;
    }

    /// Fetches what a peer knows in a newer version.
    fn compare(&mut self, now: Time, from: NodeId, theirs: Versions) {
        let Some(member) = self.membership.get(from) else {
            return;
        };
        let place = &member.fact.place;
        let rpc = SocketAddr::new(place.gossip.ip(), place.rpc);
        let version = self.catalog.as_ref().map_or(0, |c| c.version());
        let stale = now.since(self.fleet_read) > STALE || self.fleet_read == Time::ZERO;
        let wanted = [
            (CATALOG_KEY, theirs.tables > version, version),
            (
                FLEET_KEY,
                stale && theirs.panels > self.fleet_revision,
                self.fleet_revision,
            ),
        ];
        for (key, wanted, known) in wanted {
            let free = self.fetching.get(key).is_none_or(|until| now >= *until);
            if wanted && free {
                self.fetching.insert(key, now + FETCH_PAUSE);
                let (peers, events) = (self.peers.clone(), self.events.clone());
                let objects = self.objects.clone();
                actix_rt::spawn(objects::fetch(peers, rpc, key, known, objects, events));
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Found(found) if found.key == CATALOG_KEY => {
                match serde_json::from_slice(&found.body) {
                    Ok(spec) => self.take_catalog(&spec, "peer"),
                    Err(error) => tracing::warn!(%error, "a peer's configuration cannot be read"),
                }
            }
            Event::Found(found) => self.take_fleet(found.version, &found.body),
            Event::FetchFailed(key) => tracing::debug!(key, "a peer did not give what it has"),
            Event::Dump(send) => {
                // The asker may have left.
                let _ = send.send(self.dump());
            }
            Event::Stop(done) => self.withdraw(done),
            Event::Freeze(time) => std::thread::sleep(time),
            Event::Kill => {}
        }
    }

    fn news(&mut self, news: News) {
        let now = clock::now();
        match news {
            News::Listed(kind, list) => {
                self.regained(kind);
                self.listed(now, kind, list.objects);
                self.read(now, kind, list.revision);
            }
            News::Changed(kind, changes) => {
                self.regained(kind);
                for event in changes.events {
                    self.changed(now, kind, &event.object, event.removed);
                }
                self.read(now, kind, changes.revision);
            }
            News::Away(kind, error) => {
                let count = self.away.entry(kind).or_default();
                *count += 1;
                if *count == 1 {
                    tracing::warn!(kind, %error, "the store is lost");
                }
                if kind == entries::TARGETS && now.since(self.fleet_read) > STALE {
                    self.fleet.store_away(now);
                }
            }
        }
    }

    fn regained(&mut self, kind: &'static str) {
        if let Some(failures) = self.away.remove(kind) {
            tracing::info!(kind, failures, "the store is regained");
        }
    }

    fn listed(&mut self, now: Time, kind: &str, objects: Vec<Object>) {
        if kind == entries::TARGETS {
            self.fleet.store_back(now);
            let targets = objects
                .iter()
                .filter_map(|o| entries::target(&o.name, &o.spec));
            self.fleet.listed(now, targets.collect());
        } else if kind == entries::OUTAGES {
            self.take_out(objects.into_iter().map(|o| o.name).collect());
        } else {
            for object in &objects {
                self.changed(now, kind, object, false);
            }
        }
    }

    fn changed(&mut self, now: Time, kind: &str, object: &Object, removed: bool) {
        if kind == entries::TARGETS {
            self.fleet.store_back(now);
            if removed {
                self.fleet.lost(now, &object.name);
            } else if let Some(target) = entries::target(&object.name, &object.spec) {
                self.fleet.heard(now, target);
            } else {
                tracing::debug!(entry = %object.name, "an entry names no target to use");
            }
        } else if kind == entries::OUTAGES {
            let mut out = self.out.clone();
            if removed {
                out.remove(&object.name);
            } else {
                out.insert(object.name.clone());
            }
            self.take_out(out);
        } else if object.name == entries::CATALOG.1 && !removed {
            self.take_catalog(&object.spec, "store");
        }
    }

    fn take_out(&mut self, out: BTreeSet<String>) {
        if out != self.out {
            tracing::info!(?out, "data centres taken out");
            self.out = out;
        }
    }

    /// Notes that a kind was read, and offers peers what was read.
    fn read(&mut self, now: Time, kind: &str, revision: u64) {
        if kind != entries::TARGETS {
            return;
        }
        self.fleet.store_back(now);
        self.fleet_read = now;
        if revision > self.fleet_revision {
            self.fleet_revision = revision;
            self.offer_fleet();
        }
    }

    fn offer_fleet(&mut self) {
        let object = FleetObject {
            out: self.out.iter().cloned().collect(),
            targets: self.fleet.targets().cloned().collect(),
        };
        match serde_json::to_vec(&object) {
            Ok(body) => self.offer(FLEET_KEY, self.fleet_revision, body),
            Err(error) => tracing::error!(%error, "the targets cannot be written"),
        }
    }

    fn offer(&mut self, key: &str, version: u64, body: Vec<u8>) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.put(key, version, body);
        drop(objects);
        self.membership.set_versions(Versions {
            tables: self.catalog.as_ref().map_or(0, |c| c.version()),
            panels: self.fleet_revision,
        });
    }

    /// Takes a newer configuration; an older one never replaces it.
    fn take_catalog(&mut self, spec: &Value, from: &str) {
        let catalog = match entries::catalog(spec) {
            Ok(catalog) => catalog,
            Err(error) => {
                tracing::error!(%error, from, "a configuration cannot be read; the old one stays");
                return;
            }
        };
        let version = catalog.version();
        if self
            .catalog
            .as_ref()
            .is_some_and(|c| c.version() >= version)
        {
            return;
        }
        tracing::info!(version, from, "a newer configuration is in force");
        self.catalog = Some(Arc::new(catalog));
        self.offer(CATALOG_KEY, version, spec.to_string().into_bytes());
        self.publish();
    }

    fn take_fleet(&mut self, version: u64, body: &[u8]) {
        let now = clock::now();
        let stale = now.since(self.fleet_read) > STALE || self.fleet_read == Time::ZERO;
        if version <= self.fleet_revision || !stale {
            return;
        }
        match serde_json::from_slice::<FleetObject>(body) {
            Ok(object) => {
                self.fleet.store_back(now);
                self.fleet.listed(now, object.targets);
                self.take_out(object.out.into_iter().collect());
                self.fleet_revision = version;
                self.offer(FLEET_KEY, version, body.to_vec());
            }
            Err(error) => tracing::warn!(%error, "a peer's targets cannot be read"),
        }
    }

    async fn tick(&mut self, socket: &UdpSocket) -> bool {
        let now = clock::now();
        let out = self.membership.tick(now);
        send(socket, out).await;
        self.fleet.tick(now);
        self.publish();
        self.advance(now, socket).await
    }

    /// Hands traffic a new view if something changed.
    fn publish(&mut self) {
        let key = (
            self.catalog.as_ref().map_or(0, |c| c.version()),
            self.fleet.changes(),
            self.membership.changes(),
            self.out.clone(),
            self.phase,
        );
        if key == self.published {
            return;
        }
        self.published = key;
        let mut services: HashMap<String, Vec<Arc<Target>>> = HashMap::new();
        for target in self.fleet.targets() {
            if !target.leaving && !self.out.contains(&target.centre) {
                let list = services.entry(target.service.clone()).or_default();
                list.push(Arc::new(target.clone()));
            }
        }
        let now = clock::now();
        let counted = self
            .membership
            .members()
            .filter(|m| m.fact.state != State::Dead || now.since(m.changed) < COUNT_DEAD);
        let daemons = counted.map(|m| m.fact.id).collect();
        let entries = self.membership.present().map(|m| Entry {
            id: m.fact.id,
            addr: SocketAddr::new(m.fact.place.gossip.ip(), m.fact.place.http),
            centre: m.fact.place.centre.clone(),
            open: m.fact.state != State::Leaving
                && (m.fact.id != self.me || self.phase == Phase::Serving),
        });
        let view = View {
            catalog: self.catalog.clone(),
            services,
            entries: entries.collect(),
            daemons,
            me: self.me,
            phase: self.phase,
        };
        self.shared.store(Arc::new(view));
    }

    /// Begins a planned stop.
    fn withdraw(&mut self, done: oneshot::Sender<String>) {
        let now = clock::now();
        tracing::info!("withdrawn: no new caller is sent here");
        self.phase = Phase::Leaving;
        self.stopping = Some((now, done));
        self.membership.leave(now);
        self.publish();
    }

    /// Carries a planned stop on; true when the daemon may end.
    async fn advance(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let Some((since, _)) = &self.stopping else {
            return false;
        };
        let limit = self.settings.drain_limit;
        let spent = now.since(*since);
        if spent >= limit.saturating_sub(CLOSE_BEFORE_END) && self.phase < Phase::Closing {
            self.phase = Phase::Closing;
            self.publish();
        }
        let open = self.gauges.open.load(Ordering::Acquire);
        let over = spent >= limit.saturating_sub(END_BEFORE_KILL);
        let done = self.phase == Phase::Closing && open == 0;
        let long_closed = spent >= limit.saturating_sub(CLOSE_BEFORE_END) + TICK * 10;
        if !(over || done && long_closed) {
            return false;
        }
        let farewell = self.membership.farewell(now);
        send(socket, farewell).await;
        if let Some((_, done)) = self.stopping.take() {
            // The program that asked for the stop may be gone.
            let _ = done.send(format!("{open} requests left open"));
        }
        true
    }

    fn dump(&self) -> Value {
        let members: Vec<Value> = self
            .membership
            .members()
            .map(|m| json!({"name": m.fact.place.name, "state": format!("{:?}", m.fact.state)}))
            .collect();
        json!({
            "name": self.settings.name,
            "front": self.front,
            "phase": format!("{:?}", self.phase),
            "catalog": self.catalog.as_ref().map(|c| c.version()),
            "fleet_revision": self.fleet_revision,
            "targets": self.fleet.targets().count(),
            "out": self.out,
            "members": members,
            "store_failures": self.away,
            "open_requests": self.gauges.open.load(Ordering::Relaxed),
            "links": self.gauges.links.load(Ordering::Relaxed),
            "connections": self.gauges.connections.load(Ordering::Relaxed),
        })
    }
}

async fn send(socket: &UdpSocket, list: Vec<Send>) {
    for item in list {
        let bytes = encode(&Datagram::Gossip(item.message));
        // A lost datagram is repeated by membership.
        let _ = socket.send_to(&bytes, item.to).await;
    }
}
