//! Answers the store's calls over HTTP.

use {
    super::{Mode, State, Version},
    actix_http::{
        Method, Request, Response,
        body::BoxBody,
        header::{HeaderName, HeaderValue},
    },
    actix_rt::time::sleep,
    percent_encoding::percent_decode_str,
    rattanturn_http::{query_parameter, read_body, response},
    serde_json::{Value, json},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest body of a write.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which a waiting watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of objects on one page of a list.
const PAGE_SIZE: usize = 50;
/// Header of all answers: how often the store has come back from an older copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// An object as answers hold it.
pub(super) fn encode(name: &str, version: &Version) -> Vec<u8> {
    let meta = json!({
        "name": name, "revision": version.revision, "created": version.created,
        "finalizers": [], "deleting": false,
    });
    let spec = version.raw.clone();
    let spec = spec.unwrap_or_else(|| json!(version.spec).to_string().into_bytes());
    let start = format!("{{\"meta\":{meta},\"spec\":");
    let end = format!(",\"status\":{}}}", version.status);
    [start.as_bytes(), &spec, end.as_bytes()].concat()
}

/// A list with these elements.
fn encode_list(elements: &[Vec<u8>]) -> Vec<u8> {
    [b"[", &*elements.join(&b','), b"]"].concat()
}

pub(super) async fn handle_or_hang(state: Arc<State>, request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let response = handle(state.clone(), request).await;
    let hung = state.with(|i| i.hung_kind);
    if hung.is_some_and(|kind| path.starts_with(&format!("/v1/objects/{kind}"))) {
        std::future::pending::<()>().await;
    }
    response
}

pub(super) async fn handle(state: Arc<State>, request: Request) -> Response<BoxBody> {
    let mut response = answer_request(&state, request).await;
    let era = HeaderValue::from(state.with(|i| i.era));
    response.headers_mut().insert(ERA, era);
    response
}

async fn answer_request(state: &State, mut request: Request) -> Response<BoxBody> {
    let mode = state.with(|i| i.mode);
    if let Mode::Slow(time) = mode {
        sleep(time).await;
    }
    if mode == Mode::Down {
        return unreadable_answer();
    }
    if mode == Mode::Busy {
        return response(503, &[], "busy");
    }
    let path = request.path().to_owned();
    let Some(path) = path.strip_prefix("/v1/objects/") else {
        return response(404, &[], "no such path");
    };
    let (kind, path) = match path.split_once('/') {
        Some((kind, path)) => (kind, Some(path)),
        None => (path, None),
    };
    let status = path.and_then(|p| p.strip_suffix("/status"));
    let name = status.or(path).map(decode_name);
    let name = name.as_deref();
    state.with(|i| i.called_kinds.insert(kind.to_owned()));
    match (request.method().clone(), name) {
        (Method::GET, Some(name)) => read(state, kind, name),
        (Method::GET, None) if query_parameter(&request, "watch").is_some() => {
            watch(state, kind, &request).await
        }
        (Method::GET, None) => list(state, kind, &request),
        (Method::PUT, Some(name)) if status.is_some() => {
            let answer = write_status(state, kind, name, &mut request).await;
            lose_answer(mode, answer)
        }
        (Method::POST | Method::PUT, name) => {
            let name = name.map(ToOwned::to_owned);
            let answer = write(state, kind, name, &mut request).await;
            lose_answer(mode, answer)
        }
        (Method::DELETE, Some(name)) => {
            state.count("remove");
            let removed = state.with(|i| {
                let present = i.newest(kind, name).is_some();
                present.then(|| i.write(kind, name, None))
            });
            let status = if removed.is_some() { 200 } else { 404 };
            lose_answer(mode, response(status, &[], "{}"))
        }
        _ => response(405, &[], "no such call"),
    }
}

/// Replaces the answer of a write or a removal in [`Mode::LoseAnswers`].
fn lose_answer(mode: Mode, answer: Response<BoxBody>) -> Response<BoxBody> {
    if mode == Mode::LoseAnswers {
        return unreadable_answer();
    }
    answer
}

/// An answer that is not JSON. Clients treat it like a missing answer, but without waiting for a
/// timeout.
fn unreadable_answer() -> Response<BoxBody> {
    response(200, &[], "lost")
}

fn answer(status: u16, body: &Value) -> Response<BoxBody> {
    answer_bytes(status, body.to_string().into_bytes())
}

fn answer_bytes(status: u16, body: Vec<u8>) -> Response<BoxBody> {
    let json = ("content-type", "application/json".to_owned());
    response(status, &[json], body)
}

/// A name that stands percent-encoded in a path or a query.
fn decode_name(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn read(state: &State, kind: &str, name: &str) -> Response<BoxBody> {
    state.count("read");
    match state.with(|i| i.read(kind, name)) {
        Some(version) => answer_bytes(200, encode(name, &version)),
        None => answer(404, &json!({"error": "no such object"})),
    }
}

fn list(state: &State, kind: &str, request: &Request) -> Response<BoxBody> {
    state.count("list");
    let after = decode_name(query_parameter(request, "after").unwrap_or(""));
    let (items, more, revision) = state.with(|i| {
        let names = i.names(kind);
        let later = names.iter().filter(|n| **n > after);
        let found: Vec<Vec<u8>> = later
            .filter_map(|n| Some(encode(n, &i.read(kind, n)?)))
            .collect();
        let more = found.len() > PAGE_SIZE;
        let page: Vec<Vec<u8>> = found.into_iter().take(PAGE_SIZE).collect();
        (page, more, i.revision)
    });
    let end = format!(",\"hasMore\":{more},\"storeRevision\":{revision}}}");
    let items = encode_list(&items);
    let body = [b"{\"items\":", &*items, end.as_bytes()];
    answer_bytes(200, body.concat())
}

async fn watch(state: &State, kind: &str, request: &Request) -> Response<BoxBody> {
    state.count("watch");
    let number = |name| query_parameter(request, name).and_then(|v| v.parse::<u64>().ok());
    let after = number("watch").unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    loop {
        let (mode, history_start, revision, events) =
            state.with(|i| (i.mode, i.history_start, i.revision, i.changes(kind, after)));
        if mode == Mode::Down {
            return unreadable_answer();
        }
        if after < history_start || after > revision {
            return response(410, &[], "this history is gone");
        }
        if !(events.is_empty() || mode == Mode::Stale) || Instant::now() >= end {
            let events = if mode == Mode::Stale {
                Vec::new()
            } else {
                events
            };
            let reported = if mode == Mode::Stale { after } else { revision };
            let end = format!(",\"storeRevision\":{reported}}}");
            let events = encode_list(&events);
            let body = [b"{\"events\":", &*events, end.as_bytes()];
            return answer_bytes(200, body.concat());
        }
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

async fn write(
    state: &State,
    kind: &str,
    name: Option<String>,
    request: &mut Request,
) -> Response<BoxBody> {
    state.count("write");
    let Ok(body) = read_body(request, MAX_BODY_BYTES).await else {
        return response(413, &[], "too large");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return response(400, &[], "not JSON");
    };
    let create = name.is_none();
    let body_name = body.pointer("/meta/name").and_then(Value::as_str);
    let Some(name) = name.or_else(|| body_name.map(ToOwned::to_owned)) else {
        return response(400, &[], "no name");
    };
    // A write without a revision is unconditional.
    let expected = body.pointer("/meta/revision").and_then(Value::as_u64);
    state.with(|i| {
        let present = i.newest(kind, &name).cloned();
        match (&present, create, expected) {
            (Some(v), true, _) => return answer_bytes(409, encode(&name, v)),
            (None, false, _) => return answer(404, &json!({"error": "no such object"})),
            (Some(v), false, Some(e)) if e != v.revision => {
                return answer_bytes(409, encode(&name, v));
            }
            _ => {}
        }
        let spec = body.get("spec").cloned();
        // A write that changes nothing does not make a new revision.
        if present.as_ref().is_none_or(|v| v.spec != spec) {
            i.write(kind, &name, Some(spec.unwrap_or(Value::Null)));
        }
        let newest = i.newest(kind, &name).cloned();
        newest.map_or_else(
            || response(500, &[], ""),
            |v| answer_bytes(200, encode(&name, &v)),
        )
    })
}

/// Writes the status of an object, conditionally if the body names a revision.
async fn write_status(
    state: &State,
    kind: &str,
    name: &str,
    request: &mut Request,
) -> Response<BoxBody> {
    state.count("write");
    let Ok(body) = read_body(request, MAX_BODY_BYTES).await else {
        return response(413, &[], "too large");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return response(400, &[], "not JSON");
    };
    let expected = body.pointer("/meta/revision").and_then(Value::as_u64);
    let status = body.get("status").cloned().unwrap_or_default();
    state.with(|i| {
        let Some(present) = i.newest(kind, name).cloned() else {
            return answer(404, &json!({"error": "no such object"}));
        };
        if expected.is_some_and(|e| e != present.revision) {
            return answer_bytes(409, encode(name, &present));
        }
        i.write_status(kind, name, status);
        let newest = i.newest(kind, name).cloned().unwrap_or(present);
        answer_bytes(200, encode(name, &newest))
    })
}
