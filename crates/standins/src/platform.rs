//! Stand-in for the platform's object API.

use {
    actix_http::{Method, Request, Response, body::BoxBody},
    actix_rt::time::sleep,
    rattanturn_http::{Limits, Server, header, parameter, read_body, response, spawn},
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

/// How the platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It answers nothing of use.
    Down,
    /// It answers after this time.
    Slow(Duration),
    /// Writes take effect but their answers are lost.
    LoseAnswers,
    /// Reads answer with the version before the newest.
    Past,
}

/// State shared by the stand-in and the test that steers it.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    mode: Mode,
    objects: BTreeMap<String, Vec<Vec<u8>>>,
    vms: Vec<SocketAddr>,
    calls: BTreeMap<&'static str, u64>,
}

impl State {
    /// Changes how the platform behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|i| i.mode = mode);
    }

    /// Sets the VM list.
    pub fn set_vms(&self, vms: Vec<SocketAddr>) {
        self.with(|i| i.vms = vms);
    }

    /// Calls so far, by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.with(|i| i.calls.clone())
    }

    /// Replaces an object as another operator would; returns its version.
    pub fn put(&self, key: &str, body: &[u8]) -> u64 {
        self.with(|i| {
            let versions = i.objects.entry(key.into()).or_default();
            versions.push(body.to_vec());
            versions.len() as u64
        })
    }

    /// An object's version and body.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.with(|i| {
            let versions = i.objects.get(key)?;
            Some((versions.len() as u64, versions.last()?.clone()))
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn count(&self, kind: &'static str) {
        self.with(|i| *i.calls.entry(kind).or_default() += 1);
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
            objects: BTreeMap::new(),
            vms: Vec::new(),
            calls: BTreeMap::new(),
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
    match mode {
        Mode::Down => return response(503, &[], "down"),
        Mode::Slow(d) => sleep(d).await,
        _ => {}
    }
    let path = request.path().to_owned();
    if path == "/vms" {
        state.count("vms");
        let vms = state
            .with(|i| serde_json::to_string(&i.vms))
            .unwrap_or_default();
        return response(200, &[("etag", "0".into())], vms);
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return response(404, &[], "no such path");
    };
    if *request.method() == Method::PUT {
        return write(&state, mode, key, &mut request).await;
    }
    read(&state, key, &request).await
}

async fn read(state: &State, key: &str, request: &Request) -> Response<BoxBody> {
    let number = |name| parameter(request, name).and_then(|v| v.parse::<u64>().ok());
    let after = number("after");
    state.count(if after.is_some() { "watch" } else { "read" });
    let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
    loop {
        let mode = state.with(|i| i.mode);
        if mode == Mode::Down {
            return response(503, &[], "down");
        }
        let past = usize::from(mode == Mode::Past);
        let found = state.with(|i| {
            let versions = i.objects.get(key)?;
            let version = versions.len().saturating_sub(past).max(1);
            Some((version as u64, versions[version - 1].clone()))
        });
        match (found, after) {
            (Some((version, body)), after) if after.is_none_or(|a| version > a) => {
                return response(200, &[("etag", version.to_string())], body);
            }
            (None, None) => return response(404, &[], "no such object"),
            _ if Instant::now() >= end => return response(304, &[], ""),
            _ => sleep(WATCH_POLL).await,
        }
    }
}

async fn write(state: &State, mode: Mode, key: &str, request: &mut Request) -> Response<BoxBody> {
    state.count("write");
    let Some(expected) = header(request, "if-match").and_then(|v| v.parse::<u64>().ok()) else {
        return response(428, &[], "if-match is missing");
    };
    let Ok(body) = read_body(request, MAX_OBJECT).await else {
        return response(413, &[], "too large");
    };
    let done = state.with(|i| {
        let versions = i.objects.entry(key.into()).or_default();
        if versions.len() as u64 == expected {
            versions.push(body);
            Ok(versions.len())
        } else {
            Err(versions.len())
        }
    });
    match done {
        _ if mode == Mode::LoseAnswers => response(500, &[], "lost"),
        Ok(version) => response(200, &[("etag", version.to_string())], ""),
        Err(version) => response(409, &[("etag", version.to_string())], ""),
    }
}
