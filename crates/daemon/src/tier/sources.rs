//! Reads the platform's store: configuration, targets and data centres taken out.
//!
//! Each kind is listed once and then watched. Targets write all the time, so their changes are
//! taken in at an interval rather than one by one, because each call is priced. A watch is kept
//! short: a connection that has fallen silent is found only by the watch's end.

use {
    rand::RngExt,
    rattanturn_platform::{Changes, Listing, Store, StoreError},
    std::time::Duration,
    tokio::sync::mpsc::UnboundedSender,
};

/// Length of a watch: configuration must be in force within 3 s, also over a silent connection.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What the store told.
pub(crate) enum News {
    /// All objects of a kind.
    Listed(&'static str, Listing),
    /// Changes of a kind since the last news.
    Changed(&'static str, Changes),
    /// The store gave no result.
    Away(&'static str, StoreError),
}

/// Follows one kind until the task is dropped; `interval` is the least time between two calls.
pub(crate) async fn follow(
    store: Store,
    kind: &'static str,
    interval: Duration,
    news: UnboundedSender<News>,
) {
    let mut pause = FIRST_PAUSE;
    let mut revision = None;
    loop {
        let result = match revision {
            None => store.list(kind).await.map(|l| {
                revision = Some(l.revision);
                News::Listed(kind, l)
            }),
            Some(known) => store.watch(kind, known, WATCH_TIME).await.map(|c| {
                revision = Some(c.revision.max(known));
                News::Changed(kind, c)
            }),
        };
        let item = match result {
            Ok(item) => item,
            Err(StoreError::HistoryGone) => {
                revision = None;
                continue;
            }
            Err(error) => News::Away(kind, error),
        };
        let failed = matches!(item, News::Away(..));
        if news.send(item).is_err() {
            return;
        }
        if failed {
            let jitter = rand::rng().random_range(0.5..1.0);
            actix_rt::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        } else {
            pause = FIRST_PAUSE;
            actix_rt::time::sleep(interval).await;
        }
    }
}
