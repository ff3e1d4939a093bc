//! The tier on the users' platform, in which every daemon calls targets directly.
//!
//! A control thread reads the platform's store, exchanges state with other daemons and answers
//! callers that look up addresses. A traffic thread serves callers. State is kept in memory only
//! and no daemon owns any of it, so a daemon can serve as soon as it has read the store or fetched
//! the state from a peer, whichever other daemons run. The price is that no owner grants a
//! target's capacity on demand: each daemon uses a fixed quota of it.

mod accounts;
mod admission;
mod connection;
mod control;
mod directory;
pub(crate) mod ending;
mod fan_out;
mod front;
mod knowledge;
mod known_rollouts;
mod memory;
mod meters;
mod peer_sync;
mod peers;
mod permits;
mod quarantine;
mod query;
mod quota;
mod register;
mod relay;
mod request;
mod rollouts;
mod sources;
mod traffic;
mod upstream;
mod view;

use {
    crate::{
        StopHandle, clock,
        control::Event,
        stop::{ended, until_exit},
        supervise,
    },
    actix_rt::Arbiter,
    eyre::Context,
    quarantine::SharedQuarantine,
    quota::SharedQuotas,
    rattanturn_core::{membership::Endpoints, shutdown::StopSchedule},
    rattanturn_tables::{Settings, TierSettings},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
    view::{Gauges, SharedView, View},
};

/// Interval at which the traffic thread updates the gauges that control reads.
const GAUGES_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon of the tier.
pub struct Tier {
    control: Arbiter,
    traffic: Arbiter,
    events: mpsc::UnboundedSender<Event>,
    addresses: TierAddresses,
    /// What a stop needs if control has ended.
    shared: SharedView,
    gauges: Arc<Gauges>,
    drain_limit: Duration,
    hurried: Arc<Notify>,
}

/// Addresses that a daemon of the tier listens on.
#[derive(Clone, Copy, Debug)]
pub struct TierAddresses {
    /// HTTP requests of callers.
    pub front: SocketAddr,
    /// The platform's readiness checks.
    pub ready: SocketAddr,
    /// Callers that look up the addresses of daemons.
    pub directory: SocketAddr,
    /// Operators: state dump and metrics.
    pub admin: SocketAddr,
    /// Monitoring, with the same paths as `admin`; `None` if the settings name no port for it or
    /// the port could not be bound.
    pub metrics: Option<SocketAddr>,
    /// Membership messages of other daemons, over UDP.
    pub gossip: SocketAddr,
    /// Calls of other daemons (RPC).
    pub rpc: SocketAddr,
}

impl Tier {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound; the error names the listener and its address. The
    /// metrics listener is optional: if it cannot be bound, the daemon logs a warning and starts.
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
            gossip: settings.advertised_gossip(gossip.local_addr()?),
            http: front.local_addr()?.port(),
            admin: admin.local_addr()?.port(),
            rpc: settings
                .advertised_rpc_port
                .unwrap_or(rpc.local_addr()?.port()),
            threads: 1,
        };
        let me = crate::identity(&settings.name, endpoints.gossip);
        let shared: SharedView = Arc::new(arc_swap::ArcSwap::from_pointee(View::default()));
        let gauges: Arc<Gauges> = Arc::default();
        let quarantine: Arc<SharedQuarantine> = Arc::default();
        let rollouts: Arc<rollouts::SharedRollouts> = Arc::default();
        let quotas = Arc::new(SharedQuotas::new(me, tier.quotas));
        let (events, inbox) = mpsc::unbounded_channel();
        let addresses = TierAddresses {
            front: front.local_addr()?,
            ready: ready.local_addr()?,
            directory: directory.local_addr()?,
            admin: admin.local_addr()?,
            metrics: metrics.as_ref().and_then(|m| m.local_addr().ok()),
            gossip: gossip.local_addr()?,
            rpc: rpc.local_addr()?,
        };
        let (centre, drain_limit) = (endpoints.centre.clone(), settings.drain_limit);
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
            quarantine: quarantine.clone(),
            rollouts: rollouts.clone(),
            quotas: quotas.clone(),
        };
        let control = Arbiter::new();
        control.spawn_fn(move || supervise::spawn_control(control::run(start, inbox)));
        let states = traffic::SharedStates {
            quarantine,
            quotas,
            rollouts,
        };
        let traffic = Arbiter::new();
        let (view, counts) = (shared.clone(), gauges.clone());
        traffic.spawn_fn(move || {
            let traffic = traffic::Traffic::new(view, counts, states, &tier, centre);
            let reporter = traffic.clone();
            supervise::spawn_periodic("gauges", GAUGES_INTERVAL, move || {
                reporter.publish_gauges();
            });
            let judge = traffic.clone();
            supervise::spawn_periodic("reach", GAUGES_INTERVAL, move || judge.watch_reach());
            actix_rt::spawn(async move {
                if let Err(error) = front::serve(front, traffic.clone()).await {
                    tracing::error!(%error, "cannot start the listener for callers");
                }
                traffic.listener_closed();
            });
        });
        Ok(Self {
            control,
            traffic,
            events,
            addresses,
            shared,
            gauges,
            drain_limit,
            hurried: Arc::default(),
        })
    }

    /// Addresses that the daemon listens on, with the ports that the system chose for port 0.
    #[must_use]
    pub fn addresses(&self) -> TierAddresses {
        self.addresses
    }

    /// The state dump for operators; `None` if the control thread has ended.
    pub async fn state(&self) -> Option<serde_json::Value> {
        crate::control::ask_state(&self.events).await
    }

    /// Waits until control has ended. Unless that was asked for, it ended by a panic or an error, and
    /// traffic goes on with a view that becomes older and older.
    pub async fn control_ended(&self) {
        self.events.closed().await;
    }

    /// Stops gracefully: the daemon is no longer advertised, finishes its requests, and ends at
    /// the drain limit at the latest. Returns a text that says how many requests were left open.
    ///
    /// The stop begins with the call, before the future is polled. If control has ended, it goes on
    /// without control. A thread that does not run when the time is up is left behind.
    pub fn stop(self) -> impl Future<Output = String> {
        let schedule = StopSchedule::new(clock::now(), self.drain_limit);
        let reply = crate::control::ask_stop(&self.events);
        async move {
            let done = async {
                if let Ok(left) = reply.await {
                    return left;
                }
                let (shared, gauges) = (&self.shared, &self.gauges);
                control::stop_without_control(shared, gauges, schedule, &self.hurried).await
            };
            let left = until_exit(schedule, done).await.unwrap_or_else(|| {
                let open = self.gauges.open_requests();
                tracing::error!(open, "stopping: the time is up, and control does not run");
                format!("{open} requests left open")
            });
            self.control.stop();
            self.traffic.stop();
            // The requests that are still open are logged when their tasks are dropped.
            if until_exit(schedule, ended(self.traffic)).await.is_none() {
                tracing::error!("stopping: the time is up, and the traffic thread does not run");
            }
            left
        }
    }

    /// A handle that hurries the graceful stop, which takes the daemon itself.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            events: self.events.clone(),
            hurried: self.hurried.clone(),
        }
    }

    /// Ends at once like a killed process: peers are not notified and requests are dropped.
    pub fn kill(self) {
        // Sending fails only if the control thread has already ended.
        let _ = self.events.send(Event::Kill);
        self.control.stop();
        self.traffic.stop();
    }
}
