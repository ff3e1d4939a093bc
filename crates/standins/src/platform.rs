//! Stand-in for the platform's object store, served over HTTP on loopback.
//!
//! Objects are at `/v1/objects/KIND/NAME`, and one revision counter covers all kinds. Lists are
//! paged, watches wait for the changes after a revision, and writes can be conditional on the
//! object's revision. A test can make the store fail in the ways of [`Mode`], discard its history of
//! changes, after which clients have to list again, and let it come back from an older copy.
//!
//! All versions of all objects stay in memory until the stand-in is dropped, and each poll of a
//! watch scans them all, which is fast enough for tests only.

mod serving;

use {
    rattanturn_http::{Limits, Server, spawn},
    serde_json::Value,
    serving::{encode, handle, handle_or_hang},
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Kind of the objects that the daemons and the command-line tool keep in the store.
const OWN_KIND: &str = "rattanturn";

/// How the store treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers normally.
    Up,
    /// Applies nothing and answers every request with status 200 and a body that is not JSON.
    /// Watches that are already waiting end this way too.
    Down,
    /// Applies nothing and answers every request with status 503.
    Busy,
    /// Handles each request only after this delay.
    Slow(Duration),
    /// Handles writes and removals but answers all of them with a body that is not JSON, so that
    /// their outcome is unknown to the client. Reads work normally.
    LoseAnswers,
    /// Reads and lists return the version before the newest of each object that has several, and
    /// watches report no changes.
    Stale,
}

/// State of the store, shared by its HTTP server and the test that controls it.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
}

#[derive(Clone, Debug)]
struct Version {
    revision: u64,
    /// The object's value, or `None` if this change removed the object.
    spec: Option<Value>,
    /// What answers hold in place of the value: bytes that need not be JSON.
    raw: Option<Vec<u8>>,
    /// What was written to the object's path `status`; null before.
    status: Value,
    /// Revision at which the object was created, in place of a time.
    created: u64,
}

#[derive(Debug)]
struct Inner {
    mode: Mode,
    /// Number of times that the store came back from an older copy.
    era: u64,
    /// Revision of the last change of any object.
    revision: u64,
    /// Watches from below this revision fail, because the changes up to it are discarded.
    history_start: u64,
    /// All versions of each object, oldest first, by kind and name.
    objects: BTreeMap<(String, String), Vec<Version>>,
    call_counts: BTreeMap<&'static str, u64>,
    /// Kinds of object that calls have named.
    called_kinds: BTreeSet<String>,
    /// Kind of object whose calls hang on the listener of [`Platform::spawn_hanging`].
    hung_kind: Option<&'static str>,
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: Option<Value>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let present = self.newest(kind, name);
        let version = Version {
            revision,
            spec,
            raw: None,
            status: present.map_or(Value::Null, |v| v.status.clone()),
            created: present.map_or(revision, |v| v.created),
        };
        let versions = self.objects.entry((kind.into(), name.into())).or_default();
        versions.push(version);
        revision
    }

    /// Writes the status of an object that exists. One that changes nothing makes no new revision.
    fn write_status(&mut self, kind: &str, name: &str, status: Value) {
        let Some(present) = self.newest(kind, name).cloned() else {
            return;
        };
        if present.status == status {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let versions = self.objects.entry((kind.into(), name.into())).or_default();
        versions.push(Version {
            revision,
            status,
            ..present
        });
    }

    /// The version of an object that reads return in the current mode.
    fn read(&self, kind: &str, name: &str) -> Option<Version> {
        let versions = self.objects.get(&(kind.into(), name.into()))?;
        let skipped = usize::from(self.mode == Mode::Stale);
        let index = versions.len().saturating_sub(skipped).max(1) - 1;
        versions.get(index).filter(|v| v.spec.is_some()).cloned()
    }

    /// The newest version of an object, whatever the mode.
    fn newest(&self, kind: &str, name: &str) -> Option<&Version> {
        let versions = self.objects.get(&(kind.into(), name.into()))?;
        versions.last().filter(|v| v.spec.is_some())
    }

    fn names(&self, kind: &str) -> Vec<String> {
        let of_kind = self.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Changes of objects of a kind after a revision, oldest first, as a watch reports them.
    fn changes(&self, kind: &str, after: u64) -> Vec<Vec<u8>> {
        let mut out: Vec<(u64, Vec<u8>)> = Vec::new();
        for ((k, name), versions) in &self.objects {
            for v in versions.iter().filter(|v| k == kind && v.revision > after) {
                let start = format!("{{\"deleted\":{},\"object\":", v.spec.is_none());
                out.push((
                    v.revision,
                    [start.as_bytes(), &encode(name, v), b"}"].concat(),
                ));
            }
        }
        out.sort_by_key(|e| e.0);
        out.into_iter().map(|e| e.1).collect()
    }
}

impl State {
    /// Sets how the store treats requests from now on; it starts in [`Mode::Up`].
    pub fn set_mode(&self, mode: Mode) {
        self.with(|i| i.mode = mode);
    }

    /// Leaves calls for objects of a kind without an answer on listeners of
    /// [`Platform::spawn_hanging`]; `None` answers them again.
    pub fn hang(&self, kind: Option<&'static str>) {
        self.with(|i| i.hung_kind = kind);
    }

    /// Discards the history of changes up to now: watches from an earlier revision are answered
    /// with status 410.
    pub fn compact(&self) {
        self.with(|i| i.history_start = i.revision);
    }

    /// Revision of the last change of any object.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.with(|i| i.revision)
    }

    /// Lets the store come back from a copy made at `revision`: later changes are lost, and their
    /// revisions are given out again. All answers then carry the next era.
    pub fn restore(&self, revision: u64) {
        self.with(|i| {
            for versions in i.objects.values_mut() {
                versions.retain(|v| v.revision <= revision);
            }
            i.objects.retain(|_, versions| !versions.is_empty());
            i.revision = revision;
            i.history_start = i.history_start.min(revision);
            i.era += 1;
        });
    }

    /// Number of requests so far by operation: `read`, `list`, `watch`, `write` or `remove`.
    ///
    /// Requests that arrived in [`Mode::Down`] or [`Mode::Busy`] are not counted.
    #[must_use]
    pub fn call_counts(&self) -> BTreeMap<&'static str, u64> {
        self.with(|i| i.call_counts.clone())
    }

    /// Writes an object whatever the mode and its present revision; returns its new revision.
    ///
    /// Unlike a write over HTTP, it makes a new version even if `spec` equals the present value.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        self.with(|i| i.write(kind, name, Some(spec)))
    }

    /// Like [`Self::write`], with a value of any bytes, which need not be JSON.
    pub fn write_bytes(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        self.with(|i| {
            let revision = i.write(kind, name, Some(Value::Null));
            let versions = i.objects.get_mut(&(kind.into(), name.into()));
            if let Some(newest) = versions.and_then(|v| v.last_mut()) {
                newest.raw = Some(spec.into());
            }
            revision
        })
    }

    /// Writes the status of an object that exists, whatever the mode.
    pub fn set_status(&self, kind: &str, name: &str, status: Value) {
        self.with(|i| i.write_status(kind, name, status));
    }

    /// Newest status of an object, whatever the mode; null if there is none.
    #[must_use]
    pub fn status(&self, kind: &str, name: &str) -> Value {
        self.with(|i| {
            i.newest(kind, name)
                .map_or(Value::Null, |v| v.status.clone())
        })
    }

    /// All statuses that an object has had, oldest first, without repetitions and nulls.
    #[must_use]
    pub fn statuses(&self, kind: &str, name: &str) -> Vec<Value> {
        let mut all: Vec<Value> = self.with(|i| {
            let versions = i.objects.get(&(kind.into(), name.into()));
            let versions = versions.into_iter().flatten();
            versions.map(|v| v.status.clone()).collect()
        });
        all.retain(|status| !status.is_null());
        all.dedup();
        all
    }

    /// Whether any call has named objects of this kind.
    #[must_use]
    pub fn was_called_for(&self, kind: &str) -> bool {
        self.with(|i| i.called_kinds.contains(kind))
    }

    /// Removes an object whatever the mode; watches report the removal.
    pub fn remove(&self, kind: &str, name: &str) {
        self.with(|i| i.write(kind, name, None));
    }

    /// Writes one of the objects that daemons and the command-line tool keep in the store, as a
    /// concurrent operator would; returns its new version.
    ///
    /// # Panics
    ///
    /// Panics if `body` is not JSON.
    pub fn put(&self, key: &str, body: &[u8]) -> u64 {
        let spec = serde_json::from_slice(body).expect("the body of an object must be JSON");
        self.write(OWN_KIND, key, spec)
    }

    /// Newest version and body of one of the objects that daemons and the command-line tool keep in
    /// the store, whatever the mode; the body is indented JSON.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        self.with(|i| {
            let newest = i.newest(OWN_KIND, key)?;
            let body = serde_json::to_vec_pretty(newest.spec.as_ref()?).ok()?;
            Some((newest.revision, body))
        })
    }

    /// Spec and status of all versions of all objects, except those of the kinds in `except`.
    #[must_use]
    pub fn contents(&self, except: &[&str]) -> Vec<String> {
        self.with(|i| {
            let objects = i.objects.iter();
            let objects = objects.filter(|((kind, _), _)| !except.contains(&kind.as_str()));
            let versions = objects.flat_map(|(_, versions)| versions);
            let text = |v: &Version| format!("{:?} {}", v.spec, v.status);
            versions.map(text).collect()
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn count(&self, kind: &'static str) {
        self.with(|i| *i.call_counts.entry(kind).or_default() += 1);
    }
}

/// A running stand-in of the store; it stops when this is dropped.
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

impl Platform {
    /// Starts an empty store on a free loopback port. It runs on the current thread, which needs an
    /// `actix_rt` runtime.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    pub fn spawn() -> io::Result<Self> {
        let inner = Inner {
            mode: Mode::Up,
            era: 1,
            revision: 0,
            history_start: 0,
            objects: BTreeMap::new(),
            call_counts: BTreeMap::new(),
            called_kinds: BTreeSet::new(),
            hung_kind: None,
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

    /// Starts a second listener for the objects of `state`, on which calls for the kind named with
    /// [`State::hang`] get no answer, also those that wait already.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    pub fn spawn_hanging(state: Arc<State>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = state.clone();
        let server = spawn(listener, Limits::default(), move |r| {
            handle_or_hang(shared.clone(), r)
        })?;
        Ok(Self { server, state })
    }

    /// Address at which the store serves HTTP.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the store, which can be read and changed from any thread.
    #[must_use]
    pub fn state(&self) -> Arc<State> {
        self.state.clone()
    }
}
