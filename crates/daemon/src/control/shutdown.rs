//! A graceful stop.
//!
//! First the daemon is no longer advertised to callers. It still accepts requests until every
//! address answer that named it has expired, and releases the leases of its units meanwhile. Then
//! it closes its listeners, and ends as soon as no work is in progress and no lease is held. It
//! waits for that for at most the drain limit of the settings, counted from when the listeners
//! close.

use {
    super::Control,
    crate::clock,
    rattanturn_core::{Time, addresses},
    std::{sync::atomic::Ordering, time::Duration},
    tokio::{net::UdpSocket, sync::oneshot},
};

/// Time for gossip to tell every daemon that this one leaves; until then, they may still name it in
/// address answers.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);

/// Phases of a daemon, each entered once and in this order. Their names are written into the state
/// dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Serving,
    /// No longer advertised to callers; accepts requests until the given time, when all earlier
    /// address answers have expired.
    Withdrawn(Time),
    /// Listeners are closed; work in progress may end until the given time.
    Draining(Time),
}

impl Control {
    /// Begins a graceful stop; `reply` receives a text that says what was left undone.
    ///
    /// A stop that has begun is not begun again: `reply` is then dropped.
    pub(super) fn begin_stop(&mut self, reply: oneshot::Sender<String>) {
        let now = clock::now();
        if self.phase != Phase::Serving {
            return;
        }
        tracing::info!("stopping: this daemon is no longer advertised to callers");
        self.phase = Phase::Withdrawn(now + GOSSIP_DELAY + addresses::ANSWER_TTL);
        self.stop_reply = Some(reply);
        self.membership.leave(now);
    }

    /// Advances a graceful stop that has begun; true when the daemon may end.
    pub(super) async fn advance_stop(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let requests = self.gauges.open_requests.load(Ordering::Acquire);
        match self.phase {
            Phase::Serving => false,
            Phase::Withdrawn(until) => {
                if now >= until {
                    tracing::info!("draining: the listeners are closed");
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
                if let Some(reply) = self.stop_reply.take() {
                    // Sending fails only if the program no longer waits for the stop.
                    let _ = reply.send(left);
                }
                true
            }
        }
    }
}
