//! A graceful stop, within the drain limit of the settings.
//!
//! First the daemon is no longer advertised to callers, but still serves requests, because callers
//! use the addresses that they know for a while. Then it closes its listeners and finishes the
//! requests that are open. It ends once traffic has closed the listener and owes no answer, and in
//! any case a moment before the limit; see [`rattanturn_core::shutdown`] for the times.
//!
//! Traffic says itself that its listener is closed and that each connection was read for the last time,
//! and only after it has stored the number of its open requests. However late the two threads see each
//! other's news, the stop does not end while a request is open that was taken before.
//!
//! If the control thread has ended, by a panic or an error, the program runs the stop in its place, on
//! the last view that control published.

use {
    crate::{
        clock,
        tier::{
            control::{Control, TICK, send},
            view::{Gauges, Phase, SharedView},
        },
    },
    rattanturn_core::{Time, shutdown::StopSchedule},
    std::sync::Arc,
    tokio::{
        net::UdpSocket,
        sync::{Notify, oneshot},
    },
};

impl Control {
    /// Begins the graceful stop that was asked for at `began`; `done` receives the number of requests
    /// left open, as text. A stop that has begun is not begun again: `done` is then dropped.
    pub(super) fn begin_stop(&mut self, began: Time, done: oneshot::Sender<String>) {
        if self.stopping.is_some() {
            return;
        }
        let (open, limit) = (self.open_requests(), self.settings.drain_limit);
        tracing::info!(
            open,
            ?limit,
            "stopping: this daemon is no longer advertised to callers"
        );
        self.phase = Phase::Leaving;
        self.stopping = Some((StopSchedule::new(began, limit), done));
        self.membership.leave(clock::now());
        self.publish_view();
    }

    /// Ends a stop that has begun as soon as all open requests have got their final answers, which are
    /// due at once.
    pub(super) fn hurry_stop(&mut self) {
        let Some((schedule, _)) = &mut self.stopping else {
            return;
        };
        *schedule = schedule.hurried(clock::now());
        if self.phase < Phase::Closing {
            self.close_listeners();
        } else {
            self.publish_view();
        }
    }

    /// Advances a graceful stop that has begun; true when the daemon may end.
    pub(super) async fn advance_stop(&mut self, now: Time, socket: &UdpSocket) -> bool {
        let Some((schedule, _)) = &self.stopping else {
            return false;
        };
        let schedule = *schedule;
        if now >= schedule.close_at() && self.phase < Phase::Closing {
            self.close_listeners();
        }
        let over = now >= schedule.end_by();
        let finished = self.phase == Phase::Closing && self.gauges.is_finished();
        if !over && !finished {
            return false;
        }
        let open = self.open_requests();
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

    fn close_listeners(&mut self) {
        tracing::info!(
            open = self.open_requests(),
            "stopping: new requests are refused"
        );
        self.phase = Phase::Closing;
        self.publish_view();
    }

    fn open_requests(&self) -> usize {
        self.gauges.open_requests()
    }
}

/// Stops gracefully in place of control, which has ended: what is open gets its answers as in any
/// other stop. Returns the number of requests left open, as text.
///
/// Callers get no new address of this daemon from it. Its peers are not told, for which control is
/// needed, but they have missed its messages since control ended.
pub(crate) async fn stop_without_control(
    shared: &SharedView,
    gauges: &Gauges,
    asked: StopSchedule,
    hurried: &Notify,
) -> String {
    tracing::error!(
        open = gauges.open_requests(),
        "stopping without the control thread, which has ended"
    );
    // Traffic keeps to the times of a stop that control had begun.
    let mut schedule = shared.load().stop.unwrap_or(asked);
    loop {
        let now = clock::now();
        let closing = now >= schedule.close_at();
        publish(shared, closing, schedule);
        let open = gauges.open_requests();
        if now >= schedule.end_by() && open > 0 {
            tracing::warn!(open, "stopping: the time is up, open requests are ended");
        }
        if now >= schedule.end_by() || (closing && gauges.is_finished()) {
            return format!("{open} requests left open");
        }
        tokio::select! {
            () = hurried.notified() => schedule = schedule.hurried(clock::now()),
            () = clock::sleep_until(now + TICK) => {}
        }
    }
}

/// Publishes the state of a stop in place of control, if it has changed.
fn publish(shared: &SharedView, closing: bool, schedule: StopSchedule) {
    let view = shared.load();
    let due = if closing {
        Phase::Closing
    } else {
        Phase::Leaving
    };
    let phase = view.phase.max(due);
    if view.phase != phase || view.stop != Some(schedule) {
        shared.store(Arc::new(view.stopping(phase, schedule)));
    }
}
