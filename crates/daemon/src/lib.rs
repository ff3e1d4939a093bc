//! The rattanturn daemon as a library: start it, ask for its state, stop it.
//!
//! One thread runs control (membership, leases, shared objects); traffic threads run callers'
//! requests. Control hands traffic one immutable routing value after another.

mod admin;
mod clock;
mod control;
mod routing;
mod tier;
mod traffic;

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
    std::{
        net::{SocketAddr, TcpListener, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::mpsc,
};

pub use tier::{Tier, TierAddresses};

/// A running daemon.
pub struct Daemon {
    addresses: Addresses,
    control: Arbiter,
    traffic: Vec<Arbiter>,
    events: mpsc::UnboundedSender<Event>,
    gauges: Arc<Gauges>,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub http: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other daemons: membership and leases.
    pub gossip: SocketAddr,
}

impl Daemon {
    /// Binds a daemon's listeners and starts its threads.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound; the error names it and its address.
    pub fn spawn(settings: Settings) -> eyre::Result<Self> {
        let ip = settings.ip;
        let http = listen("callers", SocketAddr::new(ip, settings.http_port))?;
        let admin = listen("operators", SocketAddr::new(ip, settings.admin_port))?;
        let rpc = listen_rpc(&settings)?;
        let gossip_at = SocketAddr::new(ip, settings.gossip_port);
        let gossip = UdpSocket::bind(gossip_at)
            .wrap_err_with(|| format!("gossip-port: cannot bind UDP {gossip_at}"))?;
        let place = Endpoints {
            name: settings.name.clone(),
            centre: settings.centre.clone(),
            gossip: gossip.local_addr()?,
            http: http.local_addr()?.port(),
            admin: admin.local_addr()?.port(),
            rpc: rpc[0].local_addr()?.port(),
            threads: u16::try_from(settings.threads).wrap_err("threads: too many")?,
        };
        let addresses = Addresses {
            http: http.local_addr()?,
            admin: admin.local_addr()?,
            gossip: place.gossip,
        };
        let me = identity(&settings.name, place.gossip);
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
        let start = control::Start {
            settings,
            me,
            place,
            socket: gossip,
            routing,
            gauges: gauges.clone(),
            objects,
        };
        let control = Arbiter::new();
        let (sender, admin_events) = (events.clone(), events.clone());
        control.spawn_fn(move || {
            actix_rt::spawn(async move {
                let _admin = match admin::spawn(admin, admin_events) {
                    Ok(server) => server,
                    Err(error) => {
                        tracing::error!(%error, "the operators' listener could not start");
                        return;
                    }
                };
                if let Err(error) = control::run(start, sender, inbox).await {
                    tracing::error!(%error, "control ended");
                }
            });
        });
        Ok(Self {
            addresses,
            control,
            traffic: arbiters,
            events,
            gauges,
        })
    }

    /// Addresses that it listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Dump of its state; `None` if it has ended.
    pub async fn state(&self) -> Option<serde_json::Value> {
        control::ask_state(&self.events).await
    }

    /// Stops gracefully: withdrawn, drained, gone. Returns what was left undone.
    pub async fn stop(self) -> String {
        let left = control::ask_stop(&self.events).await;
        self.end();
        left
    }

    /// Blocks control for a time, as a starved process would be; traffic goes on. For tests.
    pub fn freeze(&self, time: Duration) {
        let _ = self.events.send(Event::Freeze(time));
    }

    /// Ends at once without a word to anyone, as a killed process would.
    pub fn kill(self) {
        let _ = self.events.send(Event::Kill);
        self.gauges
            .listeners_closed
            .store(true, std::sync::atomic::Ordering::Release);
        self.end();
    }

    fn end(self) {
        self.control.stop();
        for arbiter in self.traffic {
            arbiter.stop();
        }
    }
}

fn listen(what: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).wrap_err_with(|| format!("listener for {what}: cannot bind TCP {addr}"))
}

/// Binds one RPC listener for each traffic thread, on consecutive ports.
fn listen_rpc(settings: &Settings) -> eyre::Result<Vec<TcpListener>> {
    let threads = u16::try_from(settings.threads).wrap_err("threads: too many")?;
    ensure!(
        settings.rpc_port != 0 || threads == 1,
        "rpc-port: name a port when there is more than one traffic thread"
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

/// Identity of this run: another run of the same daemon has another.
fn identity(name: &str, gossip: SocketAddr) -> NodeId {
    let run = rand::random::<u64>();
    NodeId(rendezvous::key(&format!("{name} {gossip} {run}")))
}
