//! Reads the platform's store: configuration, evacuations, targets, registered daemons and quarantined
//! requests.
//!
//! A read session lists each kind of object once and then watches it with long polls. Targets write
//! to the store all the time, so their changes are read in batches at an interval, because each
//! call to the store is billed; a change can be late by that interval. A session ends when calls
//! for one kind fail several times in a row, and the control loop decides when the next one starts.
//! It starts with a single call, so that retrying is cheap while the store is down.

use {
    crate::supervise::unless_panicked,
    rand::RngExt,
    rattanturn_core::{readers, watch_position::WatchPosition},
    rattanturn_platform::{
        Changes, Listing, Store, StoreError, WATCH_ANSWER_TIME, entries, objects,
    },
    rattanturn_tables::TierSettings,
    std::time::Duration,
    tokio::sync::mpsc::UnboundedSender,
};

/// Length of a long poll for targets. It is short because there is nearly always a change.
pub(crate) const TARGETS_POLL_TIME: Duration = Duration::from_millis(200);
/// Pause between two polls for targets. A leaving target must get no request after 3 s.
pub(crate) const TARGETS_POLL_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two polls for what operators write.
const OPERATOR_POLL_PAUSE: Duration = Duration::from_millis(50);
/// Length of a long poll for what daemons write. Nothing depends on it within seconds.
const DAEMONS_POLL_TIME: Duration = Duration::from_secs(10);
/// Number of consecutive failed calls for one kind that ends a session.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Base of the backoff: the pause after `n` consecutive failures is this times 2^n, before jitter.
const BACKOFF_BASE: Duration = Duration::from_millis(150);

/// A result of reading the store.
pub(crate) enum StoreEvent {
    /// All objects of a kind.
    Listed(&'static str, Listing),
    /// Changes of a kind since the last list or changes.
    Changed(&'static str, Changes),
    /// A call for a kind failed.
    Failed(&'static str, StoreError),
    /// The session has ended and sends nothing more.
    SessionEnded,
}

/// A kind of object and how often it is polled.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    poll_time: Duration,
    poll_pause: Duration,
}

const TARGETS: Kind = Kind {
    name: entries::TARGETS,
    poll_time: TARGETS_POLL_TIME,
    poll_pause: TARGETS_POLL_PAUSE,
};
const DAEMONS: Kind = Kind {
    name: objects::DAEMONS,
    poll_time: DAEMONS_POLL_TIME,
    poll_pause: TARGETS_POLL_PAUSE,
};
const QUARANTINE: Kind = Kind {
    name: objects::QUARANTINE,
    ..DAEMONS
};

/// A kind that operators write, whose changes must be applied everywhere within `limit`.
fn operator_kind(name: &'static str, limit: Duration) -> Kind {
    Kind {
        name,
        poll_time: readers::poll_time(limit, WATCH_ANSWER_TIME),
        poll_pause: OPERATOR_POLL_PAUSE,
    }
}

/// Runs a read session until one kind cannot be read, it panics or the task is dropped.
pub(crate) async fn session(
    store: Store,
    tier: Box<TierSettings>,
    events: UnboundedSender<StoreEvent>,
) {
    let reading = read_store(store, tier, events.clone());
    unless_panicked("store reading", reading).await;
    // Control starts the next session. If it has ended, nobody needs one.
    let _ = events.send(StoreEvent::SessionEnded);
}

async fn read_store(store: Store, tier: Box<TierSettings>, events: UnboundedSender<StoreEvent>) {
    let catalog = operator_kind(entries::CATALOG.0, tier.config_limit);
    let evacuations = operator_kind(entries::EVACUATIONS, tier.evacuation_limit);
    let rollouts = tier
        .rollouts
        .map(|r| operator_kind(entries::ROLLOUTS, r.rollback_limit));
    let mut position = None;
    match poll(&store, catalog, &mut position).await {
        Ok(event) => {
            // If the receiver is gone, `watch_kind` ends the session.
            let _ = events.send(event);
            tokio::select! {
                () = watch_kind(&store, catalog, position, &events) => {}
                () = watch_kind(&store, evacuations, None, &events) => {}
                () = watch_optional(&store, rollouts, &events) => {}
                () = watch_kind(&store, TARGETS, None, &events) => {}
                () = watch_kind(&store, DAEMONS, None, &events) => {}
                () = watch_kind(&store, QUARANTINE, None, &events) => {}
            }
        }
        Err(error) => {
            let _ = events.send(StoreEvent::Failed(catalog.name, error));
        }
    }
}

/// Like [`watch_kind`] for a kind that the settings may not ask for.
async fn watch_optional(store: &Store, kind: Option<Kind>, events: &UnboundedSender<StoreEvent>) {
    match kind {
        Some(kind) => watch_kind(store, kind, None, events).await,
        None => std::future::pending().await,
    }
}

/// Polls one kind until calls fail several times in a row. It starts with the changes after
/// `position`, or with a list if there is none.
async fn watch_kind(
    store: &Store,
    kind: Kind,
    mut position: Option<WatchPosition>,
    events: &UnboundedSender<StoreEvent>,
) {
    let mut failures = 0;
    while failures < MAX_CONSECUTIVE_FAILURES {
        let event = match poll(store, kind, &mut position).await {
            Ok(event) => event,
            Err(StoreError::HistoryGone) => {
                position = None;
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
            (BACKOFF_BASE * (1 << failures)).mul_f64(jitter)
        } else {
            kind.poll_pause
        };
        actix_rt::time::sleep(pause).await;
    }
}

/// Makes one call: a list while `position` is unknown, else a long poll. Updates `position`.
async fn poll(
    store: &Store,
    kind: Kind,
    position: &mut Option<WatchPosition>,
) -> Result<StoreEvent, StoreError> {
    let Some(last) = *position else {
        let list = store.list(kind.name).await?;
        *position = Some(list.position);
        return Ok(StoreEvent::Listed(kind.name, list));
    };
    let wait = kind.poll_time;
    let changes = store.watch(kind.name, last.revision, wait).await?;
    *position = last.advance(changes.position);
    if position.is_none() {
        let now = changes.position;
        tracing::warn!(
            kind = kind.name,
            ?last,
            ?now,
            "the store came back from an older copy; listing it again"
        );
        return Err(StoreError::HistoryGone);
    }
    Ok(StoreEvent::Changed(kind.name, changes))
}
