//! Reads the platform's store: configuration, targets and data centres taken out.
//!
//! A session lists each kind once and then watches it. Targets write all the time, so their
//! changes are taken in at an interval rather than one by one, because each call is priced. A
//! session ends when a kind cannot be read several times in a row; when the next one begins is
//! control's decision. It begins with one call, so that trying costs little while the store is
//! down.

use {
    rand::RngExt,
    rattanturn_platform::{Changes, Listing, Store, StoreError, entries, objects},
    std::time::Duration,
    tokio::sync::mpsc::UnboundedSender,
};

/// Length of a watch on what operators write. A connection that has fallen silent is found by
/// the end of its watch, and a configuration must be in force within 3 s.
const OPERATOR_WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Length of a watch on targets: there is nearly always something new.
const TARGETS_WATCH_TIME: Duration = Duration::from_millis(200);
/// Least time between two reads of the targets; a leaving target must get nothing after 3 s.
const TARGETS_READ_INTERVAL: Duration = Duration::from_millis(700);
/// Least time between two reads of what operators write.
const OPERATOR_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Length of a watch on what daemons say of themselves; nothing depends on it within seconds.
const DAEMONS_WATCH_TIME: Duration = Duration::from_secs(10);
/// Failures in a row that end a session.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Pause after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// What the store told.
pub(crate) enum StoreEvent {
    /// All objects of a kind.
    Listed(&'static str, Listing),
    /// Changes of a kind since the last events.
    Changed(&'static str, Changes),
    /// A call gave no result.
    Failed(&'static str, StoreError),
    /// The session has ended.
    SessionEnded,
}

/// How a kind is followed.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    watch_time: Duration,
    read_interval: Duration,
}

const CATALOG: Kind = Kind {
    name: entries::CATALOG.0,
    watch_time: OPERATOR_WATCH_TIME,
    read_interval: OPERATOR_READ_INTERVAL,
};
const EVACUATIONS: Kind = Kind {
    name: entries::EVACUATIONS,
    ..CATALOG
};
const TARGETS: Kind = Kind {
    name: entries::TARGETS,
    watch_time: TARGETS_WATCH_TIME,
    read_interval: TARGETS_READ_INTERVAL,
};

const DAEMONS: Kind = Kind {
    name: objects::DAEMONS,
    watch_time: DAEMONS_WATCH_TIME,
    read_interval: TARGETS_READ_INTERVAL,
};

/// Reads all kinds until one of them cannot be read or the task is dropped.
pub(crate) async fn session(store: Store, events: UnboundedSender<StoreEvent>) {
    let mut revision = None;
    match poll(&store, CATALOG, &mut revision).await {
        Ok(event) => {
            // A receiver that is gone ends the session below.
            let _ = events.send(event);
            tokio::select! {
                () = watch_kind(&store, CATALOG, revision, &events) => {}
                () = watch_kind(&store, EVACUATIONS, None, &events) => {}
                () = watch_kind(&store, TARGETS, None, &events) => {}
                () = watch_kind(&store, DAEMONS, None, &events) => {}
            }
        }
        Err(error) => {
            let _ = events.send(StoreEvent::Failed(CATALOG.name, error));
        }
    }
    let _ = events.send(StoreEvent::SessionEnded);
}

/// Follows one kind from a revision, or from a list, until it fails several times in a row.
async fn watch_kind(
    store: &Store,
    kind: Kind,
    mut revision: Option<u64>,
    events: &UnboundedSender<StoreEvent>,
) {
    let mut failures = 0;
    while failures < MAX_CONSECUTIVE_FAILURES {
        let event = match poll(store, kind, &mut revision).await {
            Ok(event) => event,
            Err(StoreError::HistoryGone) => {
                revision = None;
                continue;
            }
            Err(error) => StoreEvent::Failed(kind.name, error),
        };
        let failed = matches!(event, StoreEvent::Failed(..));
        if events.send(event).is_err() {
            return;
        }
        failures = if failed { failures + 1 } else { 0 };
        let pause = if failed {
            let jitter = rand::rng().random_range(0.5..1.0);
            (INITIAL_BACKOFF * (1 << failures)).mul_f64(jitter)
        } else {
            kind.read_interval
        };
        actix_rt::time::sleep(pause).await;
    }
}

async fn poll(
    store: &Store,
    kind: Kind,
    revision: &mut Option<u64>,
) -> Result<StoreEvent, StoreError> {
    let Some(last) = *revision else {
        let list = store.list(kind.name).await?;
        *revision = Some(list.revision);
        return Ok(StoreEvent::Listed(kind.name, list));
    };
    let changes = store.watch(kind.name, last, kind.watch_time).await?;
    *revision = Some(changes.revision.max(last));
    Ok(StoreEvent::Changed(kind.name, changes))
}
