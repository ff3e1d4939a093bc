//! The rattanturn daemon as a library, so that tests and demos can run many daemons in a process.
//!
//! [`Daemon`] serves the routes and pools of the tables: one daemon at a time holds the lease of a
//! group of targets. [`Tier`] is the variant for the users' platform, in which every daemon calls
//! all targets. Both have a control thread for membership and state, and traffic threads for
//! callers' requests. Control publishes each new state as one immutable value, which traffic
//! threads read without locks.

mod admin;
mod clock;
mod control;
mod datagram;
mod planted;
mod routing;
pub mod stderr;
mod stop;
mod supervise;
mod tier;
mod traffic;
mod unusable_log;

use {
    crate::{
        control::Event,
        routing::{Routing, SharedRouting},
        traffic::Gauges,
    },
    actix_rt::Arbiter,
    arc_swap::ArcSwap,
    eyre::{Context, ensure},
    rattanturn_core::{NodeId, membership::Endpoints, rendezvous},
    rattanturn_tables::Settings,
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
};

pub use tier::{Tier, TierAddresses};

/// Connections that may wait to be accepted. The system drops the attempt to connect beyond that, and
/// the caller's system repeats it only a second later. Daemons have some 4,000 descriptors.
const ACCEPT_QUEUE: i32 = 4_096;

/// A running daemon; [`Self::stop`] and [`Self::kill`] end it.
pub struct Daemon {
    addresses: Addresses,
    control: Arbiter,
    traffic: Vec<Arbiter>,
    events: mpsc::UnboundedSender<Event>,
    gauges: Arc<Gauges>,
    drain_limit: Duration,
    hurried: Arc<Notify>,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP requests of callers.
    pub http: SocketAddr,
    /// Operators: state dump and metrics.
    pub admin: SocketAddr,
    /// Membership and lease messages of other daemons, over UDP.
    pub gossip: SocketAddr,
    /// Calls of other daemons (RPC) to the first traffic thread.
    pub rpc: SocketAddr,
}

impl Daemon {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound, with an error that names the listener and its address,
    /// or if the settings do not give each traffic thread an RPC port.
    pub fn spawn(settings: Settings) -> eyre::Result<Self> {
        let ip = settings.ip;
        let http = listen("callers", SocketAddr::new(ip, settings.http_port))?;
        let admin = listen("operators", SocketAddr::new(ip, settings.admin_port))?;
        let rpc = listen_rpc(&settings)?;
        let gossip_at = SocketAddr::new(ip, settings.gossip_port);
        let gossip = UdpSocket::bind(gossip_at)
            .wrap_err_with(|| format!("gossip-port: cannot bind UDP {gossip_at}"))?;
        let endpoints = Endpoints {
            name: settings.name.clone(),
            centre: settings.centre.clone(),
            gossip: settings.advertised_gossip(gossip.local_addr()?),
            http: http.local_addr()?.port(),
            admin: admin.local_addr()?.port(),
            rpc: settings
                .advertised_rpc_port
                .unwrap_or(rpc[0].local_addr()?.port()),
            threads: u16::try_from(settings.threads).wrap_err("threads: must be at most 65535")?,
        };
        let addresses = Addresses {
            http: http.local_addr()?,
            admin: admin.local_addr()?,
            gossip: gossip.local_addr()?,
            rpc: rpc[0].local_addr()?,
        };
        let me = identity(&settings.name, endpoints.gossip);
        let routing: SharedRouting = Arc::new(ArcSwap::from_pointee(Routing::default()));
        let gauges: Arc<Gauges> = Arc::default();
        let objects = traffic::rpc::SharedObjects::default();
        let mut arbiters = Vec::new();
        for (thread, rpc) in (0..).zip(rpc) {
            arbiters.push(traffic::spawn(traffic::Start {
                settings: settings.clone(),
                me,
                thread,
                http: http.try_clone()?,
                rpc,
                routing: routing.clone(),
                gauges: gauges.clone(),
                objects: objects.clone(),
            }));
        }
        let (events, inbox) = mpsc::unbounded_channel();
        let drain_limit = settings.drain_limit;
        let start = control::Start {
            settings,
            me,
            endpoints,
            socket: gossip,
            routing,
            gauges: gauges.clone(),
            objects,
        };
        let control = Arbiter::new();
        let (sender, admin_events) = (events.clone(), events.clone());
        control.spawn_fn(move || {
            supervise::spawn_control(async move {
                let _admin = admin::spawn(admin, admin_events)?;
                control::run(start, sender, inbox).await
            });
        });
        Ok(Self {
            addresses,
            control,
            traffic: arbiters,
            events,
            gauges,
            drain_limit,
            hurried: Arc::default(),
        })
    }

    /// Addresses that the daemon listens on, with the ports that the system chose for port 0.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The state dump for operators; `None` if the control thread has ended.
    pub async fn state(&self) -> Option<serde_json::Value> {
        control::ask_state(&self.events).await
    }

    /// Stops gracefully: the daemon is no longer advertised, then closes its listeners, and ends
    /// once its requests are finished and its leases released, a moment before the drain limit at the
    /// latest. Returns a text that says how many requests and units were left.
    ///
    /// The stop begins with the call, before the future is polled. If control has ended, it goes on
    /// without control. A thread that does not run when the time is up is left behind.
    pub fn stop(self) -> impl Future<Output = String> {
        let asked = control::stop_schedule(clock::now(), self.drain_limit);
        let reply = control::ask_stop(&self.events);
        async move {
            let done = async {
                if let Ok(left) = reply.await {
                    return left;
                }
                let threads = self.traffic.len();
                control::stop_without_control(&self.gauges, threads, asked, &self.hurried).await
            };
            let left = stop::until_exit(asked, done).await.unwrap_or_else(|| {
                let open = self.gauges.open_requests();
                tracing::error!(open, "the time of the stop is up, and control does not run");
                format!("{open} requests were left")
            });
            self.end();
            left
        }
    }

    /// Waits until control has ended. Unless that was asked for, it ended by a panic or an error, and
    /// the leases of this daemon's units lapse.
    pub async fn control_ended(&self) {
        self.events.closed().await;
    }

    /// A handle that hurries the graceful stop, which takes the daemon itself.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            events: self.events.clone(),
            hurried: self.hurried.clone(),
        }
    }

    /// Blocks the control thread for `time`, for tests of a process that gets no CPU time. Traffic
    /// threads go on.
    pub fn freeze(&self, time: Duration) {
        // Sending fails only if the control thread has ended.
        let _ = self.events.send(Event::Freeze(time));
    }

    /// Ends at once like a killed process: peers are not notified and requests are dropped.
    pub fn kill(self) {
        // Sending fails only if the control thread has ended.
        let _ = self.events.send(Event::Kill);
        self.end();
    }

    fn end(self) {
        self.control.stop();
        for arbiter in self.traffic {
            arbiter.stop();
        }
    }
}

/// Hurries a daemon's graceful stop. Made before the stop, by [`Daemon::stop_handle`] or
/// [`Tier::stop_handle`].
#[derive(Clone)]
pub struct StopHandle {
    events: mpsc::UnboundedSender<Event>,
    /// Hurries a stop that goes on without control.
    hurried: Arc<Notify>,
}

impl StopHandle {
    /// Has a stop that has begun end soon; without one, nothing happens.
    ///
    /// A daemon of the tier gives all open requests their final answers at once. A [`Daemon`] closes
    /// its listeners at once and ends when its open requests have ended by themselves; those that
    /// have not get their final answers before the drain limit.
    pub fn hurry(&self) {
        self.hurried.notify_one();
        // Sending fails only if the stop or control has ended.
        let _ = self.events.send(Event::Hurry);
    }

    /// Blocks the control thread for `time`, for tests of a process that gets no CPU time. Traffic
    /// threads go on.
    pub fn freeze(&self, time: Duration) {
        // Sending fails only if the control thread has ended.
        let _ = self.events.send(Event::Freeze(time));
    }
}

/// Binds a TCP listener; `what` names it in the error.
fn listen(what: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = bind(addr);
    listener.wrap_err_with(|| format!("listener for {what}: cannot bind TCP {addr}"))
}

/// Binds a TCP listener with a queue of [`ACCEPT_QUEUE`] connections.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    // The port may have connections in TIME-WAIT of an earlier run.
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(ACCEPT_QUEUE)?;
    Ok(socket.into())
}

/// Binds one RPC listener for each traffic thread, on consecutive ports. Other daemons know only
/// the first port and the number of threads.
fn listen_rpc(settings: &Settings) -> eyre::Result<Vec<TcpListener>> {
    let threads = u16::try_from(settings.threads).wrap_err("threads: must be at most 65535")?;
    ensure!(
        settings.rpc_port != 0 || threads == 1,
        "rpc-port: must not be 0 if there is more than one traffic thread"
    );
    (0..threads)
        .map(|i| {
            let port = settings.rpc_port.checked_add(i);
            let port =
                port.ok_or_else(|| eyre::eyre!("rpc-port: too high for {threads} threads"))?;
            listen("daemons", SocketAddr::new(settings.ip, port))
        })
        .collect()
}

/// Makes a random identity for this run of the daemon, so that a restarted daemon, which has
/// forgotten its leases and votes, is not taken for its earlier run.
fn identity(name: &str, gossip: SocketAddr) -> NodeId {
    let run = rand::random::<u64>();
    NodeId(rendezvous::key(&format!("{name} {gossip} {run}")))
}
