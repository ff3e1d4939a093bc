//! Answers address lookups of callers and readiness checks of the platform.

use {
    crate::{clock, tier::view::SharedView},
    actix_http::{Request, Response, body::BoxBody},
    rattanturn_core::{addresses, rendezvous},
    rattanturn_http::{Limits, Server, query_parameter, response, spawn},
    rattanturn_platform::http::{READY_PATH, RESOLVE_CENTRE_PARAM, RESOLVE_PATH, resolve_body},
    std::{io, net::TcpListener, time::Duration},
};

/// Time for which callers may use an answer. The platform allows five seconds at most; with a
/// shorter time callers stop using a stopping daemon sooner.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Largest head of a request. A lookup takes some hundred bytes, and as many heads as there are
/// connections are in memory at once.
const MAX_HEAD_BYTES: usize = 4 << 10;

/// Serves readiness checks and address lookups on one listener of a VM with `memory` bytes.
pub(crate) fn serve(listener: TcpListener, memory: u64, shared: SharedView) -> io::Result<Server> {
    let limits = Limits {
        vm_memory: Some(memory),
        max_head: Some(MAX_HEAD_BYTES),
        ..Limits::default()
    };
    spawn(listener, limits, move |request| {
        let answer = answer(&request, &shared);
        async move { answer }
    })
}

fn answer(request: &Request, shared: &SharedView) -> Response<BoxBody> {
    let view = shared.load();
    match request.path() {
        READY_PATH if view.ready() => response(200, &[], ""),
        READY_PATH => response(503, &[], "not ready\n"),
        RESOLVE_PATH => {
            let centre = query_parameter(request, RESOLVE_CENTRE_PARAM).unwrap_or("");
            let tie_break = rendezvous::key(&format!("{:?}", request.peer_addr()));
            let chosen = addresses::choose(&view.frontends, centre, tie_break, clock::now());
            if chosen.addrs.is_empty() {
                return response(503, &[], "no daemon takes callers\n");
            }
            let json = ("content-type", "application/json".to_owned());
            let ttl = chosen.ttl.min(ANSWER_TTL);
            response(200, &[json], resolve_body(&chosen.addrs, ttl))
        }
        _ => response(404, &[], "no such path\n"),
    }
}
