//! Traffic threads, which serve callers' requests and make the calls to targets.
//!
//! Every traffic thread is an event loop with its own connections. To avoid contention, the threads
//! share only the routing value, which control replaces as a whole, the shared objects and
//! [`Gauges`]. The price is that a call to a target of another thread goes over RPC, even within one
//! daemon.

mod answers;
mod caller_frontend;
mod calls;
mod holder;
mod once;
mod query;
pub(crate) mod rpc;
mod target_client;

use {
    crate::{
        clock,
        routing::SharedRouting,
        stop::stop_time,
        supervise::spawn_periodic,
        traffic::{
            caller_frontend::CallerFrontend, calls::Calls, holder::Holder, once::DedupOwner,
            query::Queries,
        },
    },
    actix_rt::Arbiter,
    rattanturn_core::{NodeId, Time, shutdown::StopSchedule},
    rattanturn_tables::{Settings, SlotPolicy},
    std::{
        net::TcpListener,
        rc::Rc,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Interval at which a thread stores its state for the state dump.
const DUMP_INTERVAL: Duration = Duration::from_millis(200);

/// State that the traffic threads of a daemon share with its control thread.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    /// Number of callers' requests whose answers are not written yet.
    open_requests: AtomicUsize,
    /// Number of other daemons' requests that are not answered yet.
    peer_requests: AtomicUsize,
    /// The times of the graceful stop, as soon as one begins.
    pub(crate) stop: watch::Sender<Option<StopSchedule>>,
    /// Number of threads that have closed their HTTP listener.
    closed_listeners: AtomicUsize,
    /// Number of deduplication tables here that are to be forwarded to their owners.
    pub(crate) foreign_tables: AtomicUsize,
    /// Latest state of each thread, for the state dump; null for a thread that has reported none.
    pub(crate) thread_dumps: Mutex<Vec<serde_json::Value>>,
}

impl Gauges {
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Number of answers that this daemon owes to other daemons, and of deduplication tables that it
    /// is to forward.
    pub(crate) fn owed_to_peers(&self) -> usize {
        let tables = self.foreign_tables.load(Ordering::Acquire);
        self.peer_requests.load(Ordering::Acquire) + tables
    }

    /// Whether all of so many threads have closed their listeners, so that no new connection is served.
    pub(crate) fn listeners_are_closed(&self, threads: usize) -> bool {
        self.closed_listeners.load(Ordering::Acquire) >= threads
    }

    /// Completes at a time of the stop's schedule.
    pub(crate) async fn stop_time(&self, time: fn(&StopSchedule) -> Time) {
        stop_time(self.stop.subscribe(), time).await;
    }
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequest(Arc<Gauges>);

impl OpenRequest {
    pub(crate) fn new(gauges: &Arc<Gauges>) -> Self {
        gauges.open_requests.fetch_add(1, Ordering::AcqRel);
        Self(gauges.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts another daemon's request as open until it is dropped.
pub(crate) struct PeerRequest(Arc<Gauges>);

impl PeerRequest {
    pub(crate) fn new(gauges: &Arc<Gauges>) -> Self {
        gauges.peer_requests.fetch_add(1, Ordering::AcqRel);
        Self(gauges.clone())
    }
}

impl Drop for PeerRequest {
    fn drop(&mut self) {
        self.0.peer_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a traffic thread needs to start.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) me: NodeId,
    /// Index of the thread, from 0.
    pub(crate) thread: u32,
    pub(crate) http: TcpListener,
    pub(crate) rpc: TcpListener,
    pub(crate) routing: SharedRouting,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) objects: rpc::SharedObjects,
}

/// Starts a traffic thread. If it fails to start, that is only logged.
pub(crate) fn spawn(start: Start) -> Arbiter {
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        if let Err(error) = run(start) {
            tracing::error!(%error, "traffic thread failed to start");
        }
    });
    arbiter
}

fn run(start: Start) -> std::io::Result<()> {
    let settings = &start.settings;
    let routing = start.routing.clone();
    let sharing_daemons =
        (settings.slot_policy == SlotPolicy::StaticShares).then_some(settings.sharing_daemons);
    let holder = Holder::new(routing.clone(), &settings.centre, sharing_daemons);
    let thread = (u64::from(start.thread), u64::from(settings.threads));
    let calls = Calls::new(
        start.me,
        thread,
        routing.clone(),
        holder.clone(),
        settings.peer_delay,
    );
    let dedup_owner = DedupOwner::new(routing.clone(), calls.clone(), start.gauges.clone());
    let queries = Queries::new(routing.clone(), calls.clone());
    let frontend = Rc::new(CallerFrontend::new(
        routing,
        settings.max_body as usize,
        queries,
        calls,
        dedup_owner.clone(),
        start.gauges.clone(),
    ));
    start.rpc.set_nonblocking(true)?;
    let rpc = tokio::net::TcpListener::from_std(start.rpc)?;
    let server = rpc::Server {
        holder: holder.clone(),
        dedup_owner: dedup_owner.clone(),
        objects: start.objects,
        gauges: start.gauges.clone(),
    };
    actix_rt::spawn(rpc::serve(rpc, server));
    let handler = {
        let frontend = frontend.clone();
        move |request| {
            let frontend = frontend.clone();
            async move { frontend.handle(request).await }
        }
    };
    let limits = rattanturn_http::Limits::default();
    let server = rattanturn_http::spawn(start.http, limits, handler)?;
    actix_rt::spawn(close_at_stop(server, start.gauges.clone()));
    let queues = holder.clone();
    spawn_periodic("queues", holder::TICK_INTERVAL, move || queues.tick());
    let tables = dedup_owner.clone();
    spawn_periodic("deduplication tables", holder::TICK_INTERVAL, move || {
        tables.tick();
    });
    let admission = frontend.clone();
    spawn_periodic("admission", holder::TICK_INTERVAL, move || admission.tick());
    let state = ThreadState {
        thread: start.thread,
        gauges: start.gauges,
        holder,
        dedup_owner,
        frontend,
        cpu: cpu_time::ThreadTime::now(),
    };
    spawn_periodic("state dump", DUMP_INTERVAL, move || {
        publish_dump(&state.gauges, state.thread as usize, state.dump());
    });
    Ok(())
}

/// What the state dump tells of a traffic thread.
struct ThreadState {
    thread: u32,
    gauges: Arc<Gauges>,
    holder: Holder,
    dedup_owner: DedupOwner,
    frontend: Rc<CallerFrontend>,
    cpu: cpu_time::ThreadTime,
}

impl ThreadState {
    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "thread": self.thread,
            "time_us": clock::now().micros(),
            "cpu_s": self.cpu.elapsed().as_secs_f64(),
            "targets": self.holder.dump(),
            "admission": self.frontend.dump(),
            "journal_entries": self.dedup_owner.len(),
            "traces": self.frontend.traces(),
        })
    }
}

/// Closes a thread's listener when the graceful stop wants it.
async fn close_at_stop(server: rattanturn_http::Server, gauges: Arc<Gauges>) {
    gauges.stop_time(StopSchedule::close_at).await;
    server.close().await;
    gauges.closed_listeners.fetch_add(1, Ordering::AcqRel);
}

/// Stores a thread's state for the state dump.
fn publish_dump(gauges: &Gauges, thread: usize, dump: serde_json::Value) {
    let mut dumps = gauges
        .thread_dumps
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if dumps.len() <= thread {
        dumps.resize(thread + 1, serde_json::Value::Null);
    }
    dumps[thread] = dump;
}
