//! Roll-outs: moves the requests of a service to targets of another version, or back.
//!
//! The new version gets a small share of the requests first. Its answers are compared with those of
//! the old version ([`Evidence`], [`verdict`]), and the share grows or falls to zero ([`next`]).
//! The only stored state is the [`Status`] beside the operator's [`Order`]. Daemons decide without a
//! leader: each writes under the condition that the object did not change, so one write wins.
//!
//! A small share exposes few requests to a bad version, and shows its faults late. So a version that
//! fails only under load is found by concentrating the share on few targets ([`carriers`]) and by a
//! short step at half of the requests, and one that fails only under all requests is found too late
//! to keep the limit on exposure if the service has many requests.

mod budget;
mod counters;
mod evidence;
mod latencies;
mod share;
mod steps;
mod verdict;

pub use {
    counters::Counts,
    evidence::{Call, Evidence, Outcome, RouteCounts, is_overdue},
    share::{
        CONTACT_LIMIT, ShareCredit, Use, allowed, applied_share, carriers, choose, established,
    },
    steps::{CANARY_FRACTION, Limits, STALE_AFTER, Situation, next, observe_final},
    verdict::{Verdict, verdict},
};

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
    /// Versions that earlier orders of the same object left without success, oldest first; they
    /// get no request. It is stored as `reverted` and may be absent.
    pub reverted: Vec<String>,
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

impl Order {
    /// Name of the field of the stored object that makes the order invalid, if one does. Nothing is
    /// done for an invalid order. Whether the service is configured is for the caller to check.
    ///
    /// ```
    /// use {rattanturn_core::rollout::Order, std::time::Duration};
    /// let order = Order { service: "a".into(), version: "v2".into(), duration: Duration::ZERO };
    /// assert_eq!(order.invalid_field(), Some("durationS"));
    /// ```
    #[must_use]
    pub fn invalid_field(&self) -> Option<&'static str> {
        if self.service.is_empty() {
            Some("service")
        } else if self.version.is_empty() {
            Some("targetVersion")
        } else {
            self.duration.is_zero().then_some("durationS")
        }
    }
}

impl Rollout {
    /// The state that the order has come to; `None` if no daemon has written one since the order.
    #[must_use]
    pub fn current_state(&self) -> Option<State> {
        let status = self.status.as_ref();
        let own = status.filter(|s| s.version == self.order.version);
        own.map(|s| s.state)
    }

    /// Whether an earlier order left this version without success.
    fn is_barred(&self, version: &str) -> bool {
        let Some(status) = &self.status else {
            return false;
        };
        let left = status.version == version && status.state != State::Done;
        left || status.reverted.iter().any(|v| v == version)
    }
}
