//! The tier on the users' platform: callers' requests go straight from any daemon to targets.
//!
//! One control thread reads the store, follows its peers and answers the directory; one traffic
//! thread serves callers. Nothing is kept on a VM and no daemon owns anything, so any set of
//! daemons serves as soon as it has read the store or heard a peer.

mod connection;
mod control;
mod directory;
mod fan_out;
mod front;
mod knowledge;
mod meters;
mod peer_sync;
mod peers;
mod query;
mod register;
mod sources;
mod traffic;
mod upstream;
mod view;

use {
    crate::{clock, control::Event},
    actix_rt::Arbiter,
    eyre::Context,
    rattanturn_core::membership::Endpoints,
    rattanturn_tables::{Settings, TierSettings},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::mpsc,
    view::{Gauges, SharedView, View},
};

/// How often the traffic thread tells control what it holds.
const GAUGES_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon of the tier.
pub struct Tier {
    control: Arbiter,
    traffic: Arbiter,
    events: mpsc::UnboundedSender<Event>,
    addresses: TierAddresses,
}

/// Addresses that a daemon of the tier listens on.
#[derive(Clone, Copy, Debug)]
pub struct TierAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For the platform's question whether it takes callers.
    pub ready: SocketAddr,
    /// For callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For monitoring, if the settings name a port and it was free.
    pub metrics: Option<SocketAddr>,
    /// For other daemons.
    pub gossip: SocketAddr,
}

impl Tier {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound; the error names it and its address.
    pub fn spawn(settings: Settings, tier: TierSettings) -> eyre::Result<Self> {
        let on = |port| SocketAddr::new(settings.ip, port);
        let front = crate::listen("callers", tier.front)?;
        let ready = crate::listen("readiness", tier.ready)?;
        let directory = crate::listen("the directory", tier.directory)?;
        let admin = crate::listen("operators", on(settings.admin_port))?;
        let metrics = settings.metrics_port.and_then(|port| {
            let bound = crate::listen("monitoring", on(port));
            let warn = |error| tracing::warn!(%error, "metrics are served on admin-port only");
            bound.map_err(warn).ok()
        });
        let rpc = crate::listen("daemons", on(settings.rpc_port))?;
        let gossip_at = on(settings.gossip_port);
        let gossip = UdpSocket::bind(gossip_at)
            .wrap_err_with(|| format!("gossip-port: cannot bind UDP {gossip_at}"))?;
        let endpoints = Endpoints {
            name: settings.name.clone(),
            centre: settings.centre.clone(),
            gossip: gossip.local_addr()?,
            http: front.local_addr()?.port(),
            admin: admin.local_addr()?.port(),
            rpc: rpc.local_addr()?.port(),
            threads: 1,
        };
        let me = crate::identity(&settings.name, endpoints.gossip);
        let shared: SharedView = Arc::new(arc_swap::ArcSwap::from_pointee(View::default()));
        let gauges: Arc<Gauges> = Arc::default();
        let (events, inbox) = mpsc::unbounded_channel();
        let addresses = TierAddresses {
            front: front.local_addr()?,
            ready: ready.local_addr()?,
            directory: directory.local_addr()?,
            admin: admin.local_addr()?,
            metrics: metrics.as_ref().and_then(|m| m.local_addr().ok()),
            gossip: endpoints.gossip,
        };
        let start = control::Start {
            settings,
            tier,
            me,
            endpoints,
            gossip,
            rpc,
            admin,
            metrics,
            ready,
            directory,
            shared: shared.clone(),
            events: events.clone(),
            gauges: gauges.clone(),
        };
        let control = Arbiter::new();
        control.spawn_fn(move || {
            actix_rt::spawn(async move {
                if let Err(error) = control::run(start, inbox).await {
                    tracing::error!(%error, "control ended");
                }
            });
        });
        let traffic = Arbiter::new();
        traffic.spawn_fn(move || {
            let traffic = traffic::Traffic::new(shared, gauges, &tier);
            let counted = traffic.clone();
            actix_rt::spawn(async move {
                loop {
                    counted.publish_gauges();
                    clock::sleep_until(clock::now() + GAUGES_INTERVAL).await;
                }
            });
            actix_rt::spawn(async move {
                if let Err(error) = front::serve(front, traffic).await {
                    tracing::error!(%error, "callers are not served");
                }
            });
        });
        Ok(Self {
            control,
            traffic,
            events,
            addresses,
        })
    }

    /// Addresses that it listens on.
    #[must_use]
    pub fn addresses(&self) -> TierAddresses {
        self.addresses
    }

    /// Dump of its state; `None` if it has ended.
    pub async fn state(&self) -> Option<serde_json::Value> {
        crate::control::ask_state(&self.events).await
    }

    /// Stops gracefully: withdrawn, drained, gone. Returns what was left undone.
    pub async fn stop(self) -> String {
        let left = crate::control::ask_stop(&self.events).await;
        self.end();
        left
    }

    /// Ends at once without a word to anyone, as a killed process would.
    pub fn kill(self) {
        // A control thread that has ended has nothing left to end.
        let _ = self.events.send(Event::Kill);
        self.end();
    }

    fn end(self) {
        self.control.stop();
        self.traffic.stop();
    }
}
