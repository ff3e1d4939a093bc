//! A graceful stop, within the drain limit of the settings.
//!
//! First the daemon is no longer advertised to callers, but still serves requests, because callers
//! use the addresses that they know for a while. Shortly before the limit it closes its listeners
//! and finishes the requests that are open. It ends once none is left, and in any case a moment
//! before the limit.

use {
    crate::{
        clock,
        tier::{
            control::{Control, TICK, send},
            view::Phase,
        },
    },
    rattanturn_core::Time,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::{net::UdpSocket, sync::oneshot},
};

/// Time before the drain limit at which a stopping daemon closes its listeners.
const CLOSE_BEFORE_LIMIT: Duration = Duration::from_secs(2);
/// Time before the drain limit at which a stopping daemon ends even if requests are open. The
/// daemon may be killed at the limit.
const END_BEFORE_LIMIT: Duration = Duration::from_millis(400);

impl Control {
    /// Begins a graceful stop; `done` receives the number of requests left open, as text.
    pub(super) fn begin_stop(&mut self, done: oneshot::Sender<String>) {
        let now = clock::now();
        let (open, limit) = (self.open_requests(), self.settings.drain_limit);
        tracing::info!(
            open,
            ?limit,
            "stopping: this daemon is no longer advertised to callers"
        );
        self.phase = Phase::Leaving;
        self.stopping = Some((now, done));
        self.membership.leave(now);
        self.publish_view();
    }

    /// Advances a graceful stop that has begun; true when the daemon may end.
    pub(super) async fn advance_stop(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let Some((since, _)) = &self.stopping else {
            return false;
        };
        let limit = self.settings.drain_limit;
        let spent = now.since(*since);
        if spent >= limit.saturating_sub(CLOSE_BEFORE_LIMIT) && self.phase < Phase::Closing {
            tracing::info!(
                open = self.open_requests(),
                "stopping: new requests are refused"
            );
            self.phase = Phase::Closing;
            self.publish_view();
        }
        let open = self.open_requests();
        let over = spent >= limit.saturating_sub(END_BEFORE_LIMIT);
        let done = self.phase == Phase::Closing && open == 0;
        // Traffic sees the new phase, and control sees its gauges, only after a few ticks.
        let settled = spent >= limit.saturating_sub(CLOSE_BEFORE_LIMIT) + TICK * 10;
        if !(over || done && settled) {
            return false;
        }
        if open > 0 {
            tracing::warn!(open, "stopping: the time is up, open requests are ended");
        }
        let notices = self.membership.death_notice(now);
        send(socket, notices).await;
        if let Some((_, done)) = self.stopping.take() {
            // Sending fails only if the program no longer waits for the stop.
            let _ = done.send(format!("{open} requests left open"));
        }
        true
    }

    /// When a stop that has begun ends at the latest.
    pub(super) fn ends_at(&self) -> Option<Time> {
        let (since, _) = self.stopping.as_ref()?;
        let limit = self.settings.drain_limit;
        Some(*since + limit.saturating_sub(END_BEFORE_LIMIT))
    }

    fn open_requests(&self) -> usize {
        self.gauges.open_requests.load(Ordering::Acquire)
    }
}
