//! Traffic threads: callers' requests in, calls to targets out.
//!
//! Every traffic thread is an event loop of its own with its own connections. It shares nothing
//! with the others but the routing value that control replaces and a few counters.

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
        routing::Shared,
        traffic::{
            caller_frontend::CallerFrontend, calls::Calls, holder::Holder, once::DedupOwner,
            query::Queries,
        },
    },
    actix_rt::Arbiter,
    rattanturn_core::NodeId,
    rattanturn_tables::{Settings, SlotPolicy},
    std::{
        net::TcpListener,
        rc::Rc,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
};

/// State of traffic threads that control reads.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    /// Requests of callers under way.
    pub(crate) open_requests: AtomicUsize,
    /// Set when the daemon stops: listeners close.
    pub(crate) listeners_closed: AtomicBool,
    /// Latest state of each thread, for the state dump.
    pub(crate) thread_dumps: Mutex<Vec<serde_json::Value>>,
}

/// What a traffic thread is started with.
pub(crate) struct Start {
    pub(crate) settings: Settings,
    pub(crate) me: NodeId,
    pub(crate) thread: u32,
    pub(crate) http: TcpListener,
    pub(crate) rpc: TcpListener,
    pub(crate) routing: Shared,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) objects: rpc::SharedObjects,
}

/// Starts a traffic thread.
pub(crate) fn spawn(start: Start) -> Arbiter {
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            if let Err(error) = run(start).await {
                tracing::error!(%error, "a traffic thread could not start");
            }
        });
    });
    arbiter
}

async fn run(start: Start) -> std::io::Result<()> {
    let settings = &start.settings;
    let routing = start.routing.clone();
    let shares =
        (settings.slot_policy == SlotPolicy::StaticShares).then_some(settings.sharing_daemons);
    let holder = Holder::new(routing.clone(), &settings.centre, shares);
    let thread = (u64::from(start.thread), u64::from(settings.threads));
    let calls = Calls::new(
        start.me,
        thread,
        routing.clone(),
        holder.clone(),
        settings.peer_delay,
    );
    let keeper = DedupOwner::new(routing.clone(), calls.clone());
    let queries = Queries::new(routing.clone(), calls.clone());
    let entry = Rc::new(CallerFrontend::new(
        routing,
        settings.max_body as usize,
        queries,
        calls,
        keeper.clone(),
        start.gauges.clone(),
    ));
    start.rpc.set_nonblocking(true)?;
    let rpc = tokio::net::TcpListener::from_std(start.rpc)?;
    actix_rt::spawn(rpc::serve(
        rpc,
        holder.clone(),
        keeper.clone(),
        start.objects,
    ));
    let handler = {
        let entry = entry.clone();
        move |request| {
            let entry = entry.clone();
            async move { entry.handle(request).await }
        }
    };
    let mut server = Some(rattanturn_http::spawn(
        start.http,
        rattanturn_http::Limits::default(),
        handler,
    )?);
    let cpu = cpu_time::ThreadTime::now();
    let mut ticks = 0_u64;
    loop {
        actix_rt::time::sleep(holder::TICK_INTERVAL).await;
        holder.tick();
        keeper.tick();
        entry.tick();
        if start.gauges.listeners_closed.load(Ordering::Acquire) {
            server.take();
        }
        ticks += 1;
        if ticks.is_multiple_of(20) {
            let dump = serde_json::json!({
                "thread": start.thread,
                "time_us": clock::now().micros(),
                "cpu_s": cpu.elapsed().as_secs_f64(),
                "targets": holder.dump(),
                "admission": entry.dump(),
                "journal_entries": keeper.len(),
                "traces": entry.traces(),
            });
            publish(&start.gauges, start.thread as usize, dump);
        }
    }
}

fn publish(gauges: &Gauges, thread: usize, dump: serde_json::Value) {
    let mut dumps = gauges
        .thread_dumps
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if dumps.len() <= thread {
        dumps.resize(thread + 1, serde_json::Value::Null);
    }
    dumps[thread] = dump;
}
