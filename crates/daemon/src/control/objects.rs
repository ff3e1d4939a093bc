//! Shared objects: the tables and the panels, from the platform and from peers.
//!
//! A few daemons of each data centre watch the platform; the others learn of a newer version
//! from the versions carried on membership messages and fetch it from the daemon that has it.
//! While the platform is down, what is known stays in force and still spreads.

use {
    crate::{
        clock,
        control::Event,
        traffic::rpc::{Peers, SharedObjects},
    },
    rattanturn_core::{Time, object_history::ObjectUpdate, rendezvous},
    rattanturn_platform::objects::{ObjectClient, ReadOutcome},
    std::{net::SocketAddr, sync::PoisonError, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

/// Key of the panels object.
pub(crate) const VOTERS_KEY: &str = "panels";
/// Daemons of a data centre that watch the platform.
pub(crate) const WATCHERS: usize = 2;
/// Length of one watch.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// Pause after the platform did not answer, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time for fetching an object from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// A version of an object from somewhere.
#[derive(Clone, Debug)]
pub(crate) struct ObjectVersion {
    pub(crate) key: &'static str,
    pub(crate) version: u64,
    pub(crate) body: Vec<u8>,
}

/// Watches one object at the platform until the task is dropped.
pub(crate) async fn watch(
    platform: ObjectClient,
    key: &'static str,
    known: u64,
    spread: u64,
    events: UnboundedSender<Event>,
) {
    let mut known = known;
    let mut pause = FIRST_PAUSE;
    loop {
        match platform.watch(key, known, WATCH_TIME).await {
            ReadOutcome::Found(object) => {
                known = known.max(object.version);
                pause = FIRST_PAUSE;
                let found = ObjectVersion {
                    key,
                    version: object.version,
                    body: object.body,
                };
                if events.send(Event::ObjectVersion(found)).is_err() {
                    return;
                }
            }
            ReadOutcome::Unchanged => pause = FIRST_PAUSE,
            ReadOutcome::NotFound | ReadOutcome::Unavailable => {
                // Jitter keeps the watchers apart when the platform comes back.
                let jitter = rendezvous::key(&format!("{spread}{}", clock::unix_ms())) % 100;
                actix_rt::time::sleep(pause + pause * u32::try_from(jitter).unwrap_or(0) / 100)
                    .await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Fetches an object from a peer that has a newer version than `known`.
pub(crate) async fn fetch(
    peers: Peers,
    from: SocketAddr,
    key: &'static str,
    known: u64,
    objects: SharedObjects,
    events: UnboundedSender<Event>,
) {
    let found = tokio::time::timeout(FETCH_TIMEOUT, patched(&peers, from, key, known, &objects));
    let event = match found.await {
        Ok(Ok(Some(found))) => Event::ObjectVersion(found),
        _ => Event::FetchFailed(key),
    };
    // The control thread may be gone.
    let _ = events.send(event);
}

/// Asks for a patch first, and for the whole object if the patch does not fit.
async fn patched(
    peers: &Peers,
    from: SocketAddr,
    key: &'static str,
    known: u64,
    objects: &SharedObjects,
) -> eyre::Result<Option<ObjectVersion>> {
    for known in [known, 0] {
        let Some(newer) = ask(peers, from, key, known).await? else {
            return Ok(None);
        };
        metrics::counter!("rattanturn_object_fetched_bytes_total", "key" => key)
            .increment(newer.data.len() as u64);
        let whole = objects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reconstruct(key, &newer);
        if let Some(body) = whole {
            return Ok(Some(ObjectVersion {
                key,
                version: newer.version,
                body,
            }));
        }
    }
    Ok(None)
}

async fn ask(
    peers: &Peers,
    from: SocketAddr,
    key: &'static str,
    known: u64,
) -> eyre::Result<Option<ObjectUpdate>> {
    let client = peers.client(from).await?;
    let mut request = client.object_request();
    request.get().set_key(key);
    request.get().set_known(known);
    let response = request.send().promise.await;
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            peers.forget_disconnected(from, Err(error))?;
            return Ok(None);
        }
    };
    let message = response.get()?;
    let newer = ObjectUpdate {
        version: message.get_version(),
        base: message.get_base(),
        data: message.get_body()?.to_vec(),
        digest: message.get_digest(),
    };
    Ok((newer.version > known).then_some(newer))
}

/// A fetch under way, so that one version is not fetched many times at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FetchSlot {
    pub(crate) until: Time,
}

impl FetchSlot {
    /// Claims the fetch if none is under way.
    pub(crate) fn claim(&mut self, now: Time) -> bool {
        let free = now >= self.until;
        if free {
            self.until = now + FETCH_TIMEOUT;
        }
        free
    }
}
