//! A graceful stop, within the drain limit of the settings.
//!
//! First the daemon is no longer advertised to callers. It still accepts requests until every
//! address answer that named it has expired, as far as the limit leaves time for that, and releases
//! the leases of its units meanwhile. Then it closes its listeners, and ends as soon as no answer is
//! owed, no lease is held, and the deduplication tables that others handed over to it meanwhile are
//! forwarded. Requests that are still open a while before the limit get their final answers, and the
//! daemon ends in any case; see [`rattanturn_core::shutdown`] for the times.

use {
    super::{Control, TICK},
    crate::{clock, traffic::Gauges},
    rattanturn_core::{Time, addresses, shutdown::StopSchedule},
    std::time::Duration,
    tokio::{
        net::UdpSocket,
        sync::{Notify, oneshot},
    },
};

/// Time for gossip to tell every daemon that this one leaves; until then, they may still name it in
/// address answers.
const GOSSIP_DELAY: Duration = Duration::from_secs(2);

/// Phases of a daemon, each entered once and in this order. Their names are written into the state
/// dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Serving,
    /// No longer advertised to callers; accepts requests until the listeners close.
    Withdrawn(StopSchedule),
    /// Listeners are closed; work in progress may end.
    Draining(StopSchedule),
}

/// The times of a stop that begins now: the listeners close at the latest when no caller uses this
/// daemon's address any more.
pub(crate) fn stop_schedule(began: Time, limit: Duration) -> StopSchedule {
    let expired = began + GOSSIP_DELAY + addresses::ANSWER_TTL;
    StopSchedule::new(began, limit).closing_by(expired)
}

/// Stops gracefully in place of control, which has ended: what is open gets its answers as in any
/// other stop. Returns a text that says how many requests were left.
///
/// Peers are not told, for which control is needed, but they have missed its messages since it ended.
/// The leases lapse.
pub(crate) async fn stop_without_control(
    gauges: &Gauges,
    threads: usize,
    asked: StopSchedule,
    hurried: &Notify,
) -> String {
    tracing::error!(
        open = gauges.open_requests(),
        "stopping without the control thread, which has ended"
    );
    // Traffic keeps to the times of a stop that control had begun.
    let mut schedule = gauges.stop.borrow().unwrap_or(asked);
    loop {
        gauges.stop.send_replace(Some(schedule));
        let now = clock::now();
        let owed = gauges.open_requests() + gauges.owed_to_peers();
        let finished = gauges.listeners_are_closed(threads) && owed == 0;
        if finished || now >= schedule.end_by() {
            return format!("{} requests were left", gauges.open_requests());
        }
        tokio::select! {
            () = hurried.notified() => schedule = schedule.closing_by(clock::now()),
            () = clock::sleep_until(now + TICK) => {}
        }
    }
}

impl Control {
    /// Begins the graceful stop that was asked for at `began`; `reply` receives a text that says what
    /// was left undone.
    ///
    /// A stop that has begun is not begun again: `reply` is then dropped.
    pub(super) fn begin_stop(&mut self, began: Time, reply: oneshot::Sender<String>) {
        if self.phase != Phase::Serving {
            return;
        }
        let limit = self.settings.drain_limit;
        tracing::info!(
            open = self.gauges.open_requests(),
            ?limit,
            "stopping: this daemon is no longer advertised to callers"
        );
        let schedule = stop_schedule(began, limit);
        self.phase = Phase::Withdrawn(schedule);
        self.gauges.stop.send_replace(Some(schedule));
        self.stop_reply = Some(reply);
        self.membership.leave(clock::now());
    }

    /// Closes the listeners of a daemon that stops at once.
    ///
    /// Open requests are not given up, because the daemon ends by itself once they are done.
    pub(super) fn hurry_stop(&mut self) {
        if let Phase::Withdrawn(schedule) = &mut self.phase {
            *schedule = schedule.closing_by(clock::now());
            self.gauges.stop.send_replace(Some(*schedule));
        }
    }

    /// Whether this daemon has answered all its callers in a graceful stop, so that it gives up the units
    /// that no other daemon could take over before.
    pub(super) fn has_retired(&self) -> bool {
        let threads = self.settings.threads as usize;
        matches!(self.phase, Phase::Draining(_))
            && self.gauges.listeners_are_closed(threads)
            && self.gauges.open_requests() == 0
    }

    /// Advances a graceful stop that has begun; true when the daemon may end.
    pub(super) async fn advance_stop(&mut self, now: Time, socket: &UdpSocket) -> bool {
        match self.phase {
            Phase::Serving => false,
            Phase::Withdrawn(schedule) => {
                if now >= schedule.close_at() {
                    tracing::info!("draining: the listeners are closed");
                    self.phase = Phase::Draining(schedule);
                }
                false
            }
            Phase::Draining(schedule) => {
                let closed = self
                    .gauges
                    .listeners_are_closed(self.settings.threads as usize);
                let requests = self.gauges.open_requests();
                let owed = self.gauges.owed_to_peers();
                let busy = requests + self.leases.in_use() + owed;
                let held = self.leases.len();
                if (!closed || busy > 0 || held > 0) && now < schedule.end_by() {
                    return false;
                }
                let left = format!("{requests} requests and {held} units were left");
                tracing::info!(%left, owed, "stopped");
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
