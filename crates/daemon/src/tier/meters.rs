//! Counters and histograms of the tier, served on the operators' address.
//!
//! Labels are names that operators chose. Handles are kept by name, so a request costs no lookup
//! in the recorder; beyond [`MAX_NAMES`] further names count as `other`, so that a storm of new
//! routes cannot grow the process without end.

use {
    metrics::{Counter, Histogram, counter, gauge, histogram},
    rattanturn_core::gather::MissingReason,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Routes, and services, that are counted by name: a few times the largest deployment's number,
/// some kilobytes each.
const MAX_NAMES: usize = 512;
/// Name that counts all further ones.
const OTHER: &str = "other";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Answered with all parts.
    Whole,
    /// Answered with enough parts.
    Partial,
    /// Refused; nothing has run.
    NotRun,
    /// No answer, or too few parts, by the deadline.
    Late,
    /// Failed, or refused for what it asks.
    Failed,
    /// The caller left before its answer.
    Left,
}

impl Ending {
    const ALL: [Self; 6] = [
        Self::Whole,
        Self::Partial,
        Self::NotRun,
        Self::Late,
        Self::Failed,
        Self::Left,
    ];

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Partial => "partial",
            Self::NotRun => "not-run",
            Self::Late => "late",
            Self::Failed => "failed",
            Self::Left => "caller-left",
        }
    }
}

/// Why a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    First,
    /// An earlier call was late.
    Hedge,
    /// An earlier call did not run or failed.
    Retry,
}

struct RouteMeters {
    endings: [Counter; Ending::ALL.len()],
    seconds: Histogram,
}

impl RouteMeters {
    fn named(route: &str) -> Self {
        let ending = |ending: Ending| counter!("rattanturn_requests_total", "route" => route.to_owned(), "outcome" => ending.as_str());
        Self {
            endings: Ending::ALL.map(ending),
            seconds: histogram!("rattanturn_request_seconds", "route" => route.to_owned()),
        }
    }
}

struct ServiceMeters {
    calls: [Counter; 3],
}

impl ServiceMeters {
    fn named(service: &str) -> Self {
        let call = |cause: &'static str| counter!("rattanturn_target_calls_total", "service" => service.to_owned(), "cause" => cause);
        Self {
            calls: ["first", "hedge", "retry"].map(call),
        }
    }
}

/// The meters of one traffic thread.
#[derive(Default)]
pub(crate) struct Meters {
    routes: RefCell<HashMap<String, Rc<RouteMeters>>>,
    services: RefCell<HashMap<String, Rc<ServiceMeters>>>,
}

impl Meters {
    /// Counts the end of a request.
    pub(crate) fn request(&self, route: &str, ending: Ending, took: Duration) {
        let meters = named(&self.routes, route, RouteMeters::named);
        meters.endings[ending as usize].increment(1);
        meters.seconds.record(took.as_secs_f64());
    }

    /// Counts a call to a target of a service.
    pub(crate) fn call(&self, service: &str, cause: Cause) {
        let meters = named(&self.services, service, ServiceMeters::named);
        meters.calls[cause as usize].increment(1);
    }
}

/// The meters of a name, or those of all names beyond the bound.
fn named<T>(all: &RefCell<HashMap<String, Rc<T>>>, name: &str, make: fn(&str) -> T) -> Rc<T> {
    let mut all = all.borrow_mut();
    if let Some(known) = all.get(name) {
        return known.clone();
    }
    let name = if all.len() < MAX_NAMES { name } else { OTHER };
    let meters = all
        .entry(name.to_owned())
        .or_insert_with(|| Rc::new(make(name)));
    meters.clone()
}

/// Counts parts that an answer lacks.
pub(crate) fn missing(list: &[MissingReason]) {
    for reason in list {
        counter!("rattanturn_parts_missing_total", "reason" => reason.as_str()).increment(1);
    }
}

/// Counts a request that was refused before its route was known to be of use.
pub(crate) fn refused(reason: &'static str) {
    counter!("rattanturn_refused_total", "reason" => reason).increment(1);
}

/// What control knows, as gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Levels {
    /// Time since targets were read or confirmed.
    pub(crate) age: Duration,
    /// Time since the configuration was read or confirmed.
    pub(crate) configured: Duration,
    /// Version of the configuration in force.
    pub(crate) version: u64,
    /// Targets known.
    pub(crate) targets: usize,
    /// Other daemons that are alive.
    pub(crate) peers: usize,
    /// Requests that run.
    pub(crate) open: usize,
    /// Connections to targets.
    pub(crate) connections: usize,
    /// Whether this daemon reads the store itself.
    pub(crate) reads: bool,
}

impl Levels {
    /// Sets the gauges.
    #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
    pub(crate) fn export(&self) {
        gauge!("rattanturn_targets_age_seconds").set(self.age.as_secs_f64());
        gauge!("rattanturn_configuration_age_seconds").set(self.configured.as_secs_f64());
        gauge!("rattanturn_configuration_version").set(self.version as f64);
        gauge!("rattanturn_targets").set(self.targets as f64);
        gauge!("rattanturn_peers").set(self.peers as f64);
        gauge!("rattanturn_requests_open").set(self.open as f64);
        gauge!("rattanturn_target_connections").set(self.connections as f64);
        gauge!("rattanturn_reads_store").set(f64::from(u8::from(self.reads)));
    }
}
