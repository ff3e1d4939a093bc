//! HTTP listener for operators.
//!
//! `GET /metrics` returns the metrics as Prometheus text, `GET /state` the state dump as JSON, and
//! `GET /ready` always answers 200. The listener runs on the control thread, so it answers even
//! while traffic threads are overloaded.

use {
    crate::control::{self, Event},
    actix_http::{Request, Response, body::BoxBody},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    rattanturn_http::{Limits, Server, response},
    std::{net::TcpListener, sync::OnceLock},
    tokio::sync::mpsc::UnboundedSender,
};

/// Maximum number of simultaneous connections.
const MAX_CONNECTIONS: usize = 64;

/// Upper bounds of the buckets of latency histograms, in seconds. Each is 1.5 to 2.5 times the one
/// before, from 1 ms to above 4 s, the longest timeout that users set for a route.
const LATENCY_BUCKETS_S: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.12, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
];

static METRICS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder at the first call and returns its handle; `None` if the embedding
/// program had installed another recorder before.
fn metrics_handle() -> Option<&'static PrometheusHandle> {
    METRICS
        .get_or_init(|| {
            let builder = PrometheusBuilder::new()
                .set_buckets(&LATENCY_BUCKETS_S)
                .ok()?;
            builder.install_recorder().ok()
        })
        .as_ref()
}

/// Serves operators on `listener`. The metrics recorder is installed first if there is none.
///
/// # Errors
///
/// Fails if the listener cannot be registered with the runtime.
pub(crate) fn spawn(
    listener: TcpListener,
    events: UnboundedSender<Event>,
) -> std::io::Result<Server> {
    metrics_handle();
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        ..Limits::default()
    };
    rattanturn_http::spawn(listener, limits, move |request| {
        let events = events.clone();
        async move { handle(&request, &events).await }
    })
}

async fn handle(request: &Request, events: &UnboundedSender<Event>) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => {
            let text = metrics_handle()
                .map(PrometheusHandle::render)
                .unwrap_or_default();
            response(
                200,
                &[("content-type", "text/plain; version=0.0.4".into())],
                text,
            )
        }
        "/state" => state(events).await,
        "/ready" => response(200, &[], "ready\n"),
        _ => response(404, &[], "no such path; use /metrics, /state or /ready\n"),
    }
}

async fn state(events: &UnboundedSender<Event>) -> Response<BoxBody> {
    match control::ask_state(events).await {
        Some(state) => response(
            200,
            &[("content-type", "application/json".into())],
            state.to_string(),
        ),
        None => response(503, &[], "control has ended\n"),
    }
}
