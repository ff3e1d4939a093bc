//! What the control thread and the traffic thread share.
//!
//! Control publishes an immutable [`View`] whenever something changes, so traffic reads it without
//! locks and sees a consistent state throughout a request. [`Gauges`] carry single numbers, which
//! may be some milliseconds old.

use {
    arc_swap::ArcSwap,
    rattanturn_core::{
        NodeId, addresses::Frontend, catalog::Catalog, discovery::Target, rollout::Rollout,
        shutdown::StopSchedule,
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
};

/// The current view, which the control thread replaces and the traffic thread reads.
pub(crate) type SharedView = Arc<ArcSwap<View>>;

/// Phase of a daemon's life; each is entered once, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts callers and is advertised to them, if it is large enough.
    #[default]
    Serving,
    /// No longer advertised; still accepts requests, and closes each kept-alive connection after
    /// its next request.
    Leaving,
    /// Accepts no new requests and finishes the open ones.
    Closing,
}

/// Configuration, targets and daemons as known at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// The configuration; `None` until one is known.
    pub(crate) catalog: Option<Arc<Catalog>>,
    /// Usable targets by service: neither leaving nor in an evacuated data centre.
    pub(crate) services: HashMap<String, Vec<Arc<Target>>>,
    /// Names of the evacuated data centres.
    pub(crate) evacuated: BTreeSet<String>,
    /// Roll-outs by service. The targets in `services` are those whose versions may be called.
    pub(crate) rollouts: HashMap<String, Arc<Rollout>>,
    /// Whether the settings ask for roll-outs.
    pub(crate) uses_rollouts: bool,
    /// All present daemons, with whether each accepts callers; address lookups choose among them.
    pub(crate) frontends: Vec<Frontend>,
    /// Number of daemons that share targets' connections and the retry slack: the advertised ones,
    /// or the large ones among the registered if these are more. While none is registered, a default
    /// number takes their place.
    pub(crate) sharing_daemons: usize,
    /// Number of daemons that may call a target: those in `daemons`, or the registered ones if
    /// these are more, with the same default.
    pub(crate) calling_daemons: usize,
    /// Whether this daemon is advertised to callers.
    pub(crate) advertised: bool,
    /// Whether callers come to this daemon because it is advertised, or was when its stop began:
    /// they leave a stopping daemon only by and by. It keeps its part of what daemons share.
    pub(crate) takes_callers: bool,
    /// All known daemons, including those that died a short time ago; they share cold
    /// targets' request rates.
    pub(crate) daemons: Vec<NodeId>,
    /// Identity of this daemon.
    pub(crate) me: NodeId,
    /// Phase of this daemon.
    pub(crate) phase: Phase,
    /// Times of the graceful stop; `None` while the daemon serves.
    pub(crate) stop: Option<StopSchedule>,
}

impl Gauges {
    /// Requests that are open, until their answers are written and their connections done with them.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Whether traffic has closed its listener and owes no answer.
    pub(crate) fn is_finished(&self) -> bool {
        // The order matters: the numbers are current once the listener is closed.
        self.listener_closed.load(Ordering::Acquire) && self.open_requests() == 0
    }
}

impl View {
    /// Whether this daemon can serve callers: a configuration and a usable target are known, and
    /// the daemon is not stopping.
    pub(crate) fn ready(&self) -> bool {
        self.phase == Phase::Serving && self.catalog.is_some() && !self.services.is_empty()
    }

    /// The same view of a daemon that stops, which is no longer advertised.
    pub(crate) fn stopping(&self, phase: Phase, stop: StopSchedule) -> Self {
        let mut view = Self {
            advertised: false,
            phase,
            stop: Some(stop),
            ..self.clone()
        };
        let own = view.frontends.iter_mut().filter(|f| f.id == self.me);
        own.for_each(|f| {
            f.accepting = false;
            f.closes_at = Some(stop.close_at());
        });
        view
    }
}

/// Numbers that one thread sets and the other reads.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    /// Open requests of callers. Traffic raises it when the first byte of a request was read, and
    /// lowers it when the answer is written and the connection is done with it.
    pub(crate) open_requests: AtomicUsize,
    /// Whether the listener for callers is closed and no connection can get a further request; those
    /// that came before count as open. Set by traffic.
    pub(crate) listener_closed: AtomicBool,
    /// Targets that traffic can call; set by traffic.
    pub(crate) upstreams: AtomicUsize,
    /// Targets that have said in an answer that they leave; set by traffic.
    pub(crate) withdrawn_targets: AtomicUsize,
    /// Whether most targets are out of reach; set by traffic.
    pub(crate) targets_lost: AtomicBool,
    /// Whether callers should be directed to other daemons, because this one has lost the targets
    /// and its peers have not; set by traffic.
    pub(crate) withdrawn: AtomicBool,
    /// Connections to targets; set by traffic.
    pub(crate) connections: AtomicUsize,
    /// When targets were last read or confirmed, in microseconds of the daemon's clock; set by
    /// control.
    pub(crate) read_micros: AtomicU64,
    /// The same for the configuration; 0 if it was never read or confirmed.
    pub(crate) config_micros: AtomicU64,
    /// When the roll-outs were last read or confirmed, in microseconds of the daemon's clock; set by
    /// control.
    pub(crate) rollouts_micros: AtomicU64,
}
