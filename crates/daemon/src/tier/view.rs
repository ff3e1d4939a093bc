//! What control hands to traffic: one immutable value after another.

use {
    arc_swap::ArcSwap,
    rattanturn_core::{NodeId, addresses::Frontend, catalog::Catalog, discovery::Target},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize},
        },
    },
};

/// The view in force, shared between threads.
pub(crate) type SharedView = Arc<ArcSwap<View>>;

/// Life of a daemon, as traffic must know it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Takes callers.
    #[default]
    Serving,
    /// Withdrawn from the directory; still takes requests and ends kept connections with them.
    Leaving,
    /// Takes no request any more and finishes those that run.
    Closing,
}

/// Configuration, targets and daemons at one moment.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The configuration; `None` until one is known.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Usable targets by service.
    pub(crate) services: HashMap<String, Vec<Arc<Target>>>,
    /// Daemons that callers may be sent to.
    pub(crate) frontends: Vec<Frontend>,
    /// Number of daemons that share what targets allow.
    pub(crate) sharing_daemons: usize,
    /// Number of daemons that may call a target at all.
    pub(crate) calling_daemons: usize,
    /// Whether callers are sent to this daemon.
    pub(crate) advertised: bool,
    /// All daemons that may call targets.
    pub(crate) daemons: Vec<NodeId>,
    /// This daemon.
    pub(crate) me: NodeId,
    pub(crate) phase: Phase,
}

impl View {
    /// Whether callers can be served.
    pub(crate) fn ready(&self) -> bool {
        self.phase == Phase::Serving && self.catalog.is_some() && !self.services.is_empty()
    }
}

/// What one thread tells the other, readable from any thread.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    /// Requests that are being served.
    pub(crate) open_requests: AtomicUsize,
    /// Targets that it calls.
    pub(crate) upstreams: AtomicUsize,
    /// Connections to them.
    pub(crate) connections: AtomicUsize,
    /// When targets were last read or confirmed, in microseconds of the daemon's clock.
    pub(crate) read_micros: AtomicU64,
}
