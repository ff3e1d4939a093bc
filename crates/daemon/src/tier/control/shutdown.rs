//! A planned stop: withdrawn, then closed, then ended.

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

/// A stopping daemon closes its listeners this long before its time is up.
const CLOSE_BEFORE_END: Duration = Duration::from_secs(2);
/// A stopping daemon ends this long before its time is up, whatever still runs.
const END_BEFORE_KILL: Duration = Duration::from_millis(400);
impl Control {
    /// Begins a planned stop.
    pub(super) fn begin_stop(&mut self, done: oneshot::Sender<String>) {
        let now = clock::now();
        tracing::info!("withdrawn: no new caller is sent here");
        self.phase = Phase::Leaving;
        self.stopping = Some((now, done));
        self.membership.leave(now);
        self.publish_view();
    }

    /// Carries a planned stop on; true when the daemon may end.
    pub(super) async fn advance_stop(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let Some((since, _)) = &self.stopping else {
            return false;
        };
        let limit = self.settings.drain_limit;
        let spent = now.since(*since);
        if spent >= limit.saturating_sub(CLOSE_BEFORE_END) && self.phase < Phase::Closing {
            self.phase = Phase::Closing;
            self.publish_view();
        }
        let open = self.gauges.open_requests.load(Ordering::Acquire);
        let over = spent >= limit.saturating_sub(END_BEFORE_KILL);
        let done = self.phase == Phase::Closing && open == 0;
        let long_closed = spent >= limit.saturating_sub(CLOSE_BEFORE_END) + TICK * 10;
        if !(over || done && long_closed) {
            return false;
        }
        let notices = self.membership.death_notice(now);
        send(socket, notices).await;
        if let Some((_, done)) = self.stopping.take() {
            // The program that asked for the stop may be gone.
            let _ = done.send(format!("{open} requests left open"));
        }
        true
    }
}
