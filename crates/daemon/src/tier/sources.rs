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
const OPERATORS_WATCH: Duration = Duration::from_millis(1_500);
/// Length of a watch on targets: there is nearly always something new.
const TARGETS_WATCH: Duration = Duration::from_millis(200);
/// Least time between two reads of the targets; a leaving target must get nothing after 3 s.
const TARGETS_INTERVAL: Duration = Duration::from_millis(700);
/// Least time between two reads of what operators write.
const OPERATORS_INTERVAL: Duration = Duration::from_millis(50);
/// Length of a watch on what daemons say of themselves; nothing depends on it within seconds.
const DAEMONS_WATCH: Duration = Duration::from_secs(10);
/// Failures in a row that end a session.
const MAX_FAILURES: u32 = 3;
/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// What the store told.
pub(crate) enum News {
    /// All objects of a kind.
    Listed(&'static str, Listing),
    /// Changes of a kind since the last news.
    Changed(&'static str, Changes),
    /// A call gave no result.
    Failed(&'static str, StoreError),
    /// The session has ended.
    Ended,
}

/// How a kind is followed.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    wait: Duration,
    interval: Duration,
}

const CATALOG: Kind = Kind {
    name: entries::CATALOG.0,
    wait: OPERATORS_WATCH,
    interval: OPERATORS_INTERVAL,
};
const EVACUATIONS: Kind = Kind {
    name: entries::EVACUATIONS,
    ..CATALOG
};
const TARGETS: Kind = Kind {
    name: entries::TARGETS,
    wait: TARGETS_WATCH,
    interval: TARGETS_INTERVAL,
};

const DAEMONS: Kind = Kind {
    name: objects::DAEMONS,
    wait: DAEMONS_WATCH,
    interval: TARGETS_INTERVAL,
};

/// Reads all kinds until one of them cannot be read or the task is dropped.
pub(crate) async fn session(store: Store, news: UnboundedSender<News>) {
    let mut known = None;
    match read(&store, CATALOG, &mut known).await {
        Ok(item) => {
            // A receiver that is gone ends the session below.
            let _ = news.send(item);
            tokio::select! {
                () = follow(&store, CATALOG, known, &news) => {}
                () = follow(&store, EVACUATIONS, None, &news) => {}
                () = follow(&store, TARGETS, None, &news) => {}
                () = follow(&store, DAEMONS, None, &news) => {}
            }
        }
        Err(error) => {
            let _ = news.send(News::Failed(CATALOG.name, error));
        }
    }
    let _ = news.send(News::Ended);
}

/// Follows one kind from a revision, or from a list, until it fails several times in a row.
async fn follow(store: &Store, kind: Kind, mut known: Option<u64>, news: &UnboundedSender<News>) {
    let mut failures = 0;
    while failures < MAX_FAILURES {
        let item = match read(store, kind, &mut known).await {
            Ok(item) => item,
            Err(StoreError::HistoryGone) => {
                known = None;
                continue;
            }
            Err(error) => News::Failed(kind.name, error),
        };
        let failed = matches!(item, News::Failed(..));
        if news.send(item).is_err() {
            return;
        }
        failures = if failed { failures + 1 } else { 0 };
        let pause = if failed {
            let jitter = rand::rng().random_range(0.5..1.0);
            (FIRST_PAUSE * (1 << failures)).mul_f64(jitter)
        } else {
            kind.interval
        };
        actix_rt::time::sleep(pause).await;
    }
}

async fn read(store: &Store, kind: Kind, known: &mut Option<u64>) -> Result<News, StoreError> {
    let Some(revision) = *known else {
        let list = store.list(kind.name).await?;
        *known = Some(list.revision);
        return Ok(News::Listed(kind.name, list));
    };
    let changes = store.watch(kind.name, revision, kind.wait).await?;
    *known = Some(changes.revision.max(revision));
    Ok(News::Changed(kind.name, changes))
}
