//! Typed client of the platform's object API.
//!
//! The API holds named objects with versions. A write names the version it replaces (0 for a
//! new object) and is refused if another came first. The API is slow, down or ambiguous at
//! times, so each of these is an outcome here and not an error to be swallowed. Every call is
//! counted by kind, because the API's rates grow more slowly than the fleet.
//!
//! Protocol: `GET /objects/KEY` answers 200 with the version in `etag`, or 404.
//! `GET /objects/KEY?after=N&wait-ms=M` answers once the version exceeds N, or 304.
//! `PUT /objects/KEY` with `if-match: N` answers 200 with the new version in `etag`, or 409
//! with the present one. `GET /vms` answers a JSON list of gossip addresses.

use {
    awc::{Client, http::StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// Key of the object that holds both tables.
pub const TABLES_KEY: &str = "tables";
/// Time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest object, in bytes.
const MAX_OBJECT: usize = 1 << 20;

/// An object at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its version, raised by one with each update.
    pub version: u64,
    /// Its value.
    pub body: Vec<u8>,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The object, perhaps from the past.
    Found(Object),
    /// There is no such object.
    Absent,
    /// A watch ended without a newer version.
    Unchanged,
    /// The platform did not answer.
    Down,
}

/// Outcome of a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// It took effect; the object's new version.
    Done(u64),
    /// Another update came first; nothing was written.
    Conflict,
    /// The answer was lost: the update may have taken effect. Read back to settle it.
    Ambiguous,
    /// The platform refused it before anything was written.
    Refused(String),
}

/// A client for use on one thread.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    addr: SocketAddr,
}

impl Platform {
    /// Prepares a client; nothing is sent yet.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        let client = Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_default_headers()
            .finish();
        Self { client, addr }
    }

    /// Reads an object.
    pub async fn read(&self, key: &str) -> Read {
        self.get("read", &format!("/objects/{key}"), CALL_TIMEOUT)
            .await
    }

    /// Waits until an object's version exceeds `after`, at most `wait`.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Read {
        let path = format!("/objects/{key}?after={after}&wait-ms={}", wait.as_millis());
        self.get("watch", &path, wait + CALL_TIMEOUT).await
    }

    /// Replaces an object that is at `version`; 0 creates it.
    pub async fn write(&self, key: &str, version: u64, body: Vec<u8>) -> Write {
        count("write");
        let request = self
            .client
            .put(self.url(&format!("/objects/{key}")))
            .insert_header(("if-match", version.to_string()));
        // Once the request may have left, a lost answer leaves its effect open.
        let Ok(response) = request.send_body(body).await else {
            return Write::Ambiguous;
        };
        match response.status() {
            StatusCode::OK => version_of(&response).map_or(Write::Ambiguous, Write::Done),
            StatusCode::CONFLICT => Write::Conflict,
            status if status.is_client_error() => Write::Refused(status.to_string()),
            _ => Write::Ambiguous,
        }
    }

    /// Replaces an object and settles an ambiguous answer by reading back.
    ///
    /// The body has to be unlike any other writer's, for example by naming its editor and time,
    /// so that reading it back proves whose update took effect.
    pub async fn write_settled(&self, key: &str, version: u64, body: &[u8]) -> Write {
        let write = self.write(key, version, body.to_vec()).await;
        if write != Write::Ambiguous {
            return write;
        }
        match self.read(key).await {
            Read::Found(o) if o.version == version + 1 && o.body == body => Write::Done(o.version),
            Read::Found(o) if o.version > version => Write::Conflict,
            _ => Write::Ambiguous,
        }
    }

    /// Gossip addresses of the VMs that the platform lists; the list lags.
    pub async fn vms(&self) -> Option<Vec<SocketAddr>> {
        match self.get("vms", "/vms", CALL_TIMEOUT).await {
            Read::Found(o) => serde_json::from_slice(&o.body).ok(),
            _ => None,
        }
    }

    async fn get(&self, kind: &'static str, path: &str, timeout: Duration) -> Read {
        count(kind);
        let request = self.client.get(self.url(path)).timeout(timeout);
        let Ok(mut response) = request.send().await else {
            return Read::Down;
        };
        match response.status() {
            StatusCode::NOT_FOUND => return Read::Absent,
            StatusCode::NOT_MODIFIED => return Read::Unchanged,
            StatusCode::OK => {}
            _ => return Read::Down,
        }
        let Some(version) = version_of(&response) else {
            return Read::Down;
        };
        match response.body().limit(MAX_OBJECT).await {
            Ok(body) => Read::Found(Object {
                version,
                body: body.to_vec(),
            }),
            Err(_) => Read::Down,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

fn version_of<S>(response: &awc::ClientResponse<S>) -> Option<u64> {
    response.headers().get("etag")?.to_str().ok()?.parse().ok()
}

fn count(kind: &'static str) {
    metrics::counter!("rattanturn_objects_calls_total", "kind" => kind).increment(1);
}
