//! What ends a request before its deadline: the caller's end of input, or the end of a stop.
//!
//! The connection and the request share an [`Ending`]. Both run in one task, and the connection polls
//! the request again after each change, so the request needs no waker of its own. The price is that
//! nothing outside of that task can wait for a change.

use {
    rattanturn_core::Time,
    std::{cell::Cell, future::poll_fn, rc::Rc, task::Poll, time::Duration},
};

/// Time after the end of a caller's input for which idempotent work goes on. A caller that only shut
/// down its sending side waits for the answer, and one that left cannot be told from it. The
/// deployment counts targets that are still at work 500 ms after their caller left; the rest of that
/// time is for the networks to both sides.
pub(crate) const HALF_CLOSED_TIME: Duration = Duration::from_millis(250);

/// How far a request has been cut short. Each stage includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// It runs until its deadline.
    #[default]
    Running,
    /// The caller has sent all that it will send, or has left. No further calls are made.
    InputEnded,
    /// The caller counts as having left. Only a call that must not run twice goes on.
    CallerLeft,
    /// The daemon ends, so the request is to be answered at once with what is there.
    Stopped,
    /// The connection broke, so that no answer can be sent.
    Reset,
}

/// The stage of one request, and what is known about its calls.
#[derive(Debug, Default)]
pub(crate) struct Ending {
    stage: Cell<Stage>,
    /// When the caller's input ended.
    pub(crate) input_ended: Cell<Option<Time>>,
    /// Number of calls that were written to a target's connection, without those of which the target
    /// said that it has not run them.
    pub(crate) calls_sent: Rc<Cell<u32>>,
    /// Whether the request was written to a peer's connection, and the peer has not said since that
    /// it has not run it.
    pub(crate) was_relayed: Cell<bool>,
}

impl Ending {
    /// The current stage.
    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Enters a stage, unless a later one has been entered.
    pub(crate) fn enter(&self, stage: Stage) {
        self.stage.set(self.stage.get().max(stage));
    }

    /// Whether the request may have run, here or at a peer.
    pub(crate) fn may_have_run(&self) -> bool {
        self.calls_sent.get() > 0 || self.was_relayed.get()
    }

    /// Completes when a stage after `last` has been entered.
    pub(crate) async fn next_stage(&self, last: Stage) -> Stage {
        let poll = || match self.stage() {
            stage if stage > last => Poll::Ready(stage),
            _ => Poll::Pending,
        };
        poll_fn(|_| poll()).await
    }

    /// Completes when the request is to be answered with what is known. A request that must not run
    /// twice goes on after its caller left once it may have run.
    pub(crate) async fn over(&self, idempotent: bool) -> Stage {
        poll_fn(|_| match self.stage() {
            Stage::Running | Stage::InputEnded => Poll::Pending,
            Stage::CallerLeft if !idempotent && self.may_have_run() => Poll::Pending,
            stage => Poll::Ready(stage),
        })
        .await
    }
}
