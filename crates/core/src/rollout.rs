//! Roll-outs: moves the requests of a service to targets of another version, or back.

use std::time::Duration;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the service.
    pub service: String,
    /// Version that its targets shall have.
    pub version: String,
    /// Time within which the roll-out must have ended.
    pub duration: Duration,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// The new version gets this fraction of the service's requests, from 0 to 1.
    Running {
        /// Fraction of the requests.
        share: f64,
    },
    /// The new version serves all requests; its predecessor is gone.
    Done,
    /// The new version proved bad and gets no request.
    Reverted,
}

/// What the daemons keep about a roll-out in the store, beside the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Version of the order that it belongs to.
    pub version: String,
    /// How far the roll-out has come.
    pub state: State,
    /// When the first status of the order was written, in Unix milliseconds.
    pub since_ms: u64,
    /// When the state last changed, in Unix milliseconds.
    pub step_ms: u64,
    /// Why it changed.
    pub reason: String,
}

/// An order with its status.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// The status; `None` if no daemon has written one since the order.
    pub status: Option<Status>,
    /// Revision of the object that holds both.
    pub revision: u64,
}
