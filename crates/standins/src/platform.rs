//! Stand-in for the platform's object store.
//!
//! Protocol: objects of `/v1/objects/KIND` with one revision counter; lists in pages, watches
//! from a revision, conditional writes. It can be down, slow, behind or lose its answers, and it
//! can drop its history.

use {
    actix_http::{Method, Request, Response, body::BoxBody},
    actix_rt::time::sleep,
    rattanturn_http::{Limits, Server, query_parameter, read_body, response, spawn},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

const MAX_OBJECT: usize = 1 << 20;
const WATCH_POLL: Duration = Duration::from_millis(10);
/// Objects on a page of a list.
const PAGE: usize = 50;
/// Kind of the product's own objects.
const OWN_KIND: &str = "rattanturn";

/// How the platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It answers nothing of use, and nothing is done.
    Down,
    /// It turns every call away and says so.
    Busy,
    /// It answers after this time.
    Slow(Duration),
    /// Writes take effect but their answers are lost.
    LoseAnswers,
    /// Reads answer with the version before the newest.
    Stale,
}

/// State shared by the stand-in and the test that steers it.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
}

#[derive(Clone, Debug)]
struct Version {
    revision: u64,
    /// `None` if this change removed the object.
    spec: Option<Value>,
}

#[derive(Debug)]
struct Inner {
    mode: Mode,
    revision: u64,
    /// Changes up to this revision are no longer told.
    floor: u64,
    objects: BTreeMap<(String, String), Vec<Version>>,
    call_counts: BTreeMap<&'static str, u64>,
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: Option<Value>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let versions = self.objects.entry((kind.into(), name.into())).or_default();
        versions.push(Version { revision, spec });
        revision
    }

    /// The object as this mode shows it.
    fn read(&self, kind: &str, name: &str) -> Option<Version> {
        let versions = self.objects.get(&(kind.into(), name.into()))?;
        let past = usize::from(self.mode == Mode::Stale);
        let index = versions.len().saturating_sub(past).max(1) - 1;
        versions.get(index).filter(|v| v.spec.is_some()).cloned()
    }

    fn newest(&self, kind: &str, name: &str) -> Option<&Version> {
        let versions = self.objects.get(&(kind.into(), name.into()))?;
        versions.last().filter(|v| v.spec.is_some())
    }

    fn names(&self, kind: &str) -> Vec<String> {
        let of_kind = self.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Changes of a kind after a revision, in order.
    fn changes(&self, kind: &str, after: u64) -> Vec<Value> {
        let mut out: Vec<(u64, Value)> = Vec::new();
        for ((k, name), versions) in &self.objects {
            for v in versions.iter().filter(|v| k == kind && v.revision > after) {
                let event = json!({"deleted": v.spec.is_none(), "object": shown(name, v)});
                out.push((v.revision, event));
            }
        }
        out.sort_by_key(|e| e.0);
        out.into_iter().map(|e| e.1).collect()
    }
}

fn shown(name: &str, version: &Version) -> Value {
    json!({
        "meta": {"name": name, "revision": version.revision, "finalizers": [], "deleting": false},
        "spec": version.spec,
        "status": null,
    })
}

impl State {
    /// Changes how the platform behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|i| i.mode = mode);
    }

    /// Drops the history, so that watches have to begin anew.
    pub fn compact(&self) {
        self.with(|i| i.floor = i.revision);
    }

    /// Calls so far, by kind.
    #[must_use]
    pub fn call_counts(&self) -> BTreeMap<&'static str, u64> {
        self.with(|i| i.call_counts.clone())
    }

    /// Writes an object as operators and targets do; returns its revision.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        self.with(|i| i.write(kind, name, Some(spec)))
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.with(|i| i.write(kind, name, None));
    }

    /// Replaces one of the product's own objects as another operator would; returns its version.
    ///
    /// # Panics
    ///
    /// The body is not JSON.
    pub fn put(&self, key: &str, body: &[u8]) -> u64 {
        let spec = serde_json::from_slice(body).expect("own objects are JSON");
        self.write(OWN_KIND, key, spec)
    }

    /// Version and body of one of the product's own objects.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.with(|i| {
            let newest = i.newest(OWN_KIND, key)?;
            let body = serde_json::to_vec_pretty(newest.spec.as_ref()?).ok()?;
            Some((newest.revision, body))
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn count(&self, kind: &'static str) {
        self.with(|i| *i.call_counts.entry(kind).or_default() += 1);
    }
}

/// A running stand-in.
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

impl Platform {
    /// Starts a stand-in on a free loopback port, on this thread.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub fn spawn() -> io::Result<Self> {
        let inner = Inner {
            mode: Mode::Up,
            revision: 0,
            floor: 0,
            objects: BTreeMap::new(),
            call_counts: BTreeMap::new(),
        };
        let state = Arc::new(State {
            inner: Mutex::new(inner),
        });
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = state.clone();
        let server = spawn(listener, Limits::default(), move |r| {
            handle(shared.clone(), r)
        })?;
        Ok(Self { server, state })
    }

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its state, to steer it from any thread.
    #[must_use]
    pub fn state(&self) -> Arc<State> {
        self.state.clone()
    }
}

async fn handle(state: Arc<State>, mut request: Request) -> Response<BoxBody> {
    let mode = state.with(|i| i.mode);
    if let Mode::Slow(time) = mode {
        sleep(time).await;
    }
    if mode == Mode::Down {
        return lost();
    }
    if mode == Mode::Busy {
        return response(503, &[], "busy");
    }
    let path = request.path().to_owned();
    let Some(path) = path.strip_prefix("/v1/objects/") else {
        return response(404, &[], "no such path");
    };
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (path, None),
    };
    match (request.method().clone(), name) {
        (Method::GET, Some(name)) => read(&state, kind, name),
        (Method::GET, None) if query_parameter(&request, "watch").is_some() => {
            watch(&state, kind, &request).await
        }
        (Method::GET, None) => list(&state, kind, &request),
        (Method::POST | Method::PUT, name) => {
            let name = name.map(ToOwned::to_owned);
            let answer = write(&state, kind, name, &mut request).await;
            lose(mode, answer)
        }
        (Method::DELETE, Some(name)) => {
            state.count("remove");
            let gone = state.with(|i| {
                let present = i.newest(kind, name).is_some();
                present.then(|| i.write(kind, name, None))
            });
            let status = if gone.is_some() { 200 } else { 404 };
            lose(mode, response(status, &[], "{}"))
        }
        _ => response(405, &[], "no such call"),
    }
}

fn lose(mode: Mode, answer: Response<BoxBody>) -> Response<BoxBody> {
    if mode == Mode::LoseAnswers {
        return lost();
    }
    answer
}

/// An answer that cannot be read stands for one that never comes.
fn lost() -> Response<BoxBody> {
    response(200, &[], "lost")
}

fn answer(status: u16, body: &Value) -> Response<BoxBody> {
    let json = ("content-type", "application/json".to_owned());
    response(status, &[json], body.to_string())
}

fn read(state: &State, kind: &str, name: &str) -> Response<BoxBody> {
    state.count("read");
    match state.with(|i| i.read(kind, name)) {
        Some(version) => answer(200, &shown(name, &version)),
        None => answer(404, &json!({"error": "no such object"})),
    }
}

fn list(state: &State, kind: &str, request: &Request) -> Response<BoxBody> {
    state.count("list");
    let after = query_parameter(request, "after").unwrap_or("");
    let (items, more, revision) = state.with(|i| {
        let names = i.names(kind);
        let later = names.iter().filter(|n| n.as_str() > after);
        let found: Vec<Value> = later
            .filter_map(|n| Some(shown(n, &i.read(kind, n)?)))
            .collect();
        let more = found.len() > PAGE;
        let page: Vec<Value> = found.into_iter().take(PAGE).collect();
        (page, more, i.revision)
    });
    let body = json!({"items": items, "hasMore": more, "storeRevision": revision});
    answer(200, &body)
}

async fn watch(state: &State, kind: &str, request: &Request) -> Response<BoxBody> {
    state.count("watch");
    let number = |name| query_parameter(request, name).and_then(|v| v.parse::<u64>().ok());
    let after = number("watch").unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    loop {
        let (mode, floor, revision, events) =
            state.with(|i| (i.mode, i.floor, i.revision, i.changes(kind, after)));
        if mode == Mode::Down {
            return lost();
        }
        if after < floor {
            return response(410, &[], "this history is gone");
        }
        if !(events.is_empty() || mode == Mode::Stale) || Instant::now() >= end {
            let events = if mode == Mode::Stale {
                Vec::new()
            } else {
                events
            };
            let told = if mode == Mode::Stale { after } else { revision };
            return answer(200, &json!({"events": events, "storeRevision": told}));
        }
        sleep(WATCH_POLL).await;
    }
}

async fn write(
    state: &State,
    kind: &str,
    name: Option<String>,
    request: &mut Request,
) -> Response<BoxBody> {
    state.count("write");
    let Ok(body) = read_body(request, MAX_OBJECT).await else {
        return response(413, &[], "too large");
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return response(400, &[], "not JSON");
    };
    let create = name.is_none();
    let named = body.pointer("/meta/name").and_then(Value::as_str);
    let Some(name) = name.or_else(|| named.map(ToOwned::to_owned)) else {
        return response(400, &[], "no name");
    };
    let expected = body.pointer("/meta/revision").and_then(Value::as_u64);
    state.with(|i| {
        let present = i.newest(kind, &name).cloned();
        match (&present, create, expected) {
            (Some(v), true, _) => return answer(409, &shown(&name, v)),
            (None, false, _) => return answer(404, &json!({"error": "no such object"})),
            (Some(v), false, Some(e)) if e != v.revision => return answer(409, &shown(&name, v)),
            _ => {}
        }
        let spec = body.get("spec").cloned();
        if present.as_ref().is_none_or(|v| v.spec != spec) {
            i.write(kind, &name, Some(spec.unwrap_or(Value::Null)));
        }
        let newest = i.newest(kind, &name).cloned();
        newest.map_or_else(
            || response(500, &[], ""),
            |v| answer(200, &shown(&name, &v)),
        )
    })
}
