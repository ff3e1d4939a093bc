//! The planned stop: withdrawn, then drained, then gone.
//!
//! A withdrawn daemon goes on accepting until every address answer that named it has expired,
//! and gives its units back meanwhile. Then its listeners close, and it ends once nothing runs.

use {
    super::Control,
    crate::clock,
    rattanturn_core::{Time, addresses},
    std::{sync::atomic::Ordering, time::Duration},
    tokio::{net::UdpSocket, sync::oneshot},
};

/// Time for news of a withdrawal to reach every daemon before its address answers expire.
const SPREAD_TIME: Duration = Duration::from_secs(2);

/// Phases of a daemon's life. Each is entered once, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Serving,
    /// Left out of new address answers; accepts until all earlier ones expired.
    Withdrawn(Time),
    /// Listeners are closed; what runs may end.
    Draining(Time),
}

impl Control {
    /// Begins the planned stop.
    pub(super) fn withdraw(&mut self, stopped: oneshot::Sender<String>) {
        let now = clock::now();
        if self.phase != Phase::Serving {
            return;
        }
        tracing::info!("withdrawn: new callers are sent elsewhere");
        self.phase = Phase::Withdrawn(now + SPREAD_TIME + addresses::ANSWER_TTL);
        self.stopped = Some(stopped);
        self.membership.leave(now);
    }

    /// Moves through the phases of the planned stop; true when the daemon may end.
    pub(super) async fn advance(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let requests = self.gauges.open_requests.load(Ordering::Acquire);
        match self.phase {
            Phase::Serving => false,
            Phase::Withdrawn(until) => {
                if now >= until {
                    tracing::info!("draining: no new connections");
                    self.gauges.listeners_closed.store(true, Ordering::Release);
                    self.phase = Phase::Draining(now + self.settings.drain_limit);
                }
                false
            }
            Phase::Draining(limit) => {
                let busy = requests + self.leases.in_use();
                let held = self.leases.len();
                if (busy > 0 || held > 0) && now < limit {
                    return false;
                }
                let left = format!("{requests} requests and {held} units were left");
                tracing::info!(%left, "stopped");
                let out = self.membership.death_notice(now);
                self.send_all(socket, out).await;
                if let Some(stopped) = self.stopped.take() {
                    let _ = stopped.send(left);
                }
                true
            }
        }
    }
}
