//! Distribution of the shared objects, which are the tables and the voter sets.
//!
//! Every daemon reads the objects from the platform once, at its start. After that, only
//! [`WATCHERS`] daemons of each data centre watch the platform, so that its load does not grow with
//! the number of daemons. The others learn of a newer version from the versions in membership
//! messages and fetch it from the sender. While the platform is unreachable, the known versions
//! stay in use and still spread to daemons that start or were cut off.

use {
    crate::{
        clock,
        control::Event,
        traffic::rpc::{self, SharedObjects},
    },
    rattanturn_core::{Time, object_history::ObjectUpdate, rendezvous},
    rattanturn_platform::objects::{ObjectClient, ReadOutcome},
    rattanturn_wire::peer_capnp::peer,
    std::{fmt, net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// Key of the object that holds the voter sets.
pub(crate) const VOTERS_KEY: &str = "panels";
/// Number of daemons of each data centre that watch the platform.
pub(crate) const WATCHERS: usize = 2;
/// How long the platform keeps one watch request open if nothing changes.
const WATCH_DURATION: Duration = Duration::from_secs(10);
/// Backoff after the first watch without a usable answer; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Upper limit of the backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Timeout of fetching an object from a peer.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A version of a shared object, from the platform or from a peer.
#[derive(Clone, Debug)]
pub(crate) struct ObjectVersion {
    pub(crate) key: &'static str,
    pub(crate) version: u64,
    pub(crate) body: Vec<u8>,
}

/// Watches one object at the platform and reports each newer version than `known` to control.
///
/// Runs until the task is aborted or control has ended. `jitter_seed` must differ between daemons.
pub(crate) async fn watch(
    platform: ObjectClient,
    key: &'static str,
    known: u64,
    jitter_seed: u64,
    events: UnboundedSender<Event>,
) {
    let mut known = known;
    let mut backoff = MIN_BACKOFF;
    loop {
        match platform.watch(key, known, WATCH_DURATION).await {
            ReadOutcome::Found(object) => {
                known = known.max(object.version);
                backoff = MIN_BACKOFF;
                let found = ObjectVersion {
                    key,
                    version: object.version,
                    body: object.body,
                };
                if events.send(Event::ObjectVersion(found)).is_err() {
                    return;
                }
            }
            ReadOutcome::Unchanged => backoff = MIN_BACKOFF,
            ReadOutcome::NotFound | ReadOutcome::Unavailable => {
                // Jitter of up to the backoff itself keeps daemons from retrying at the same time.
                let jitter = rendezvous::key(&format!("{jitter_seed}{}", clock::unix_ms())) % 100;
                actix_rt::time::sleep(backoff + backoff * u32::try_from(jitter).unwrap_or(0) / 100)
                    .await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Fetches an object from a peer that has a newer version than `known`, and reports the result to
/// control. An older answer of the peer counts as a failure.
pub(crate) async fn fetch(
    from: SocketAddr,
    key: &'static str,
    known: u64,
    objects: SharedObjects,
    events: UnboundedSender<Event>,
) {
    let update = fetch_update(from, key, known, &objects);
    let event = match observe_fetch(from, key, known, update).await {
        Ok(found) => Event::ObjectVersion(found),
        Err(FetchError::SourceBusy) => Event::FetchRefused(key),
        Err(FetchError::Failed) => Event::FetchFailed(key),
    };
    // Sending fails only if the control thread has ended.
    let _ = events.send(event);
}

/// Waits for a fetch from a peer, but at most [`FETCH_TIMEOUT`]. Counts its outcome and logs a
/// failure; `known` is the version here.
///
/// # Errors
///
/// Nothing was fetched.
pub(crate) async fn observe_fetch<T>(
    from: SocketAddr,
    key: &'static str,
    known: u64,
    fetch: impl Future<Output = eyre::Result<T>>,
) -> Result<T, FetchError> {
    let started = clock::now();
    let result = tokio::time::timeout(FETCH_TIMEOUT, fetch).await;
    let (outcome, error) = match result {
        Ok(Ok(found)) => {
            count_fetch(key, "done");
            return Ok(found);
        }
        Ok(Err(error)) if error.is::<SourceBusy>() => {
            count_fetch(key, "busy");
            tracing::debug!(key, peer = %from, known, %error, "fetching later");
            return Err(FetchError::SourceBusy);
        }
        Ok(Err(error)) => ("failed", error),
        Err(_) => ("timeout", eyre::eyre!("no answer in time")),
    };
    count_fetch(key, outcome);
    let took_ms = clock::millis(clock::now().since(started));
    tracing::warn!(key, peer = %from, known, took_ms, %error, "cannot fetch from a peer");
    Err(FetchError::Failed)
}

/// Why nothing was fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchError {
    /// The peer has a newer version and sends it to others now.
    SourceBusy,
    /// The peer did not answer in time, or had nothing newer that can be used.
    Failed,
}

/// The peer has a newer version but sends it to others now.
#[derive(Debug)]
struct SourceBusy;

impl fmt::Display for SourceBusy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer sends the object to others now")
    }
}

impl std::error::Error for SourceBusy {}

/// Answers that `update` is there but cannot be sent now. A daemon of an older build takes it for the answer
/// of a peer without a newer version.
pub(crate) fn refuse_fetch(update: &ObjectUpdate, results: &mut peer::ObjectResults) {
    results.get().set_digest(update.digest);
}

fn count_fetch(key: &'static str, outcome: &'static str) {
    metrics::counter!("rattanturn_object_fetches_total", "key" => key, "outcome" => outcome)
        .increment(1);
}

/// Requests a patch for version `known`, and the whole object if the patch does not apply.
///
/// # Errors
///
/// The peer cannot be reached, or it has no newer version.
async fn fetch_update(
    from: SocketAddr,
    key: &'static str,
    known: u64,
    objects: &SharedObjects,
) -> eyre::Result<ObjectVersion> {
    for known in [known, 0] {
        let update = request_update(from, key, known).await?;
        metrics::counter!("rattanturn_object_fetched_bytes_total", "key" => key)
            .increment(update.data.len() as u64);
        let whole = objects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reconstruct(key, &update);
        if let Some(body) = whole {
            return Ok(ObjectVersion {
                key,
                version: update.version,
                body,
            });
        }
    }
    eyre::bail!("the object that the peer sent does not match its digest")
}

/// Requests the newest version of an object from a peer.
///
/// # Errors
///
/// The peer cannot be reached, or its version is not newer than `known`.
async fn request_update(
    from: SocketAddr,
    key: &'static str,
    known: u64,
) -> eyre::Result<ObjectUpdate> {
    let update = rpc::call_once(from, async |client| {
        let mut request = client.object_request();
        request.get().set_key(key);
        request.get().set_known(known);
        let response = request.send().promise.await?;
        let message = response.get()?;
        Ok(ObjectUpdate {
            version: message.get_version(),
            base: message.get_base(),
            data: message.get_body()?.into(),
            digest: message.get_digest(),
        })
    });
    let update = update.await?;
    if update.version == 0 && update.digest != 0 {
        return Err(SourceBusy.into());
    }
    eyre::ensure!(update.version > known, "the peer has no newer version");
    Ok(update)
}

/// Allows one fetch of an object at a time, so that a version that many peers offer is fetched
/// once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FetchSlot {
    /// When a fetch in progress times out; [`Time::ZERO`] if there is none.
    pub(crate) busy_until: Time,
}

impl FetchSlot {
    /// Returns true if no fetch is in progress; the caller must then start one.
    pub(crate) fn claim(&mut self, now: Time) -> bool {
        let free = now >= self.busy_until;
        if free {
            self.busy_until = now + FETCH_TIMEOUT;
        }
        free
    }
}
