//! Metrics of the tier, served on the operators' listener.
//!
//! Labels are the names of routes and services from the configuration. The handles of the metrics
//! are cached by name, so that a request costs no lookup in the recorder. The cache is bounded:
//! beyond [`MAX_LABEL_VALUES`] names, new ones count as `other`, so that configurations with ever
//! new names cannot exhaust the memory.

use {
    metrics::{Counter, Histogram, counter, gauge, histogram},
    rattanturn_core::{gather::MissingReason, membership::MessageKind, rollout},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Largest number of routes, and of services, that are counted by name. It is a few times the
/// number in the largest deployment; each name takes some kilobytes.
const MAX_LABEL_VALUES: usize = 512;
/// Label value for all names beyond [`MAX_LABEL_VALUES`].
const OTHER_LABEL: &str = "other";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Answered with all parts.
    Complete,
    /// Answered without some parts, which the route allows.
    Partial,
    /// Refused with status 503; no call has run, so the caller may retry.
    NotRun,
    /// No answer, or too few parts, by the deadline: status 504.
    TimedOut,
    /// Any other status: a call failed, or the request itself is not acceptable.
    Failed,
    /// The caller disconnected before its answer.
    CallerLeft,
}

impl RequestOutcome {
    const ALL: [Self; 6] = [
        Self::Complete,
        Self::Partial,
        Self::NotRun,
        Self::TimedOut,
        Self::Failed,
        Self::CallerLeft,
    ];

    /// Value of the metric label and log field `outcome`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Partial => "partial",
            Self::NotRun => "not-run",
            Self::TimedOut => "late",
            Self::Failed => "failed",
            Self::CallerLeft => "caller-left",
        }
    }
}

/// Why a call to a target was made. The order is that of [`ServiceMeters`]' counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The first call to the service for a request.
    First,
    /// An earlier call had no answer yet.
    Hedge,
    /// The previous call has ended without an answer that can be used.
    Retry,
}

impl Cause {
    /// Value of the metric label `cause`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

struct RouteMeters {
    outcomes: [Counter; RequestOutcome::ALL.len()],
    latency: Histogram,
}

impl RouteMeters {
    fn new(route: &str) -> Self {
        let outcome = |outcome: RequestOutcome| counter!("rattanturn_requests_total", "route" => route.to_owned(), "outcome" => outcome.as_str());
        Self {
            outcomes: RequestOutcome::ALL.map(outcome),
            latency: histogram!("rattanturn_request_seconds", "route" => route.to_owned()),
        }
    }
}

struct ServiceMeters {
    calls: [Counter; 3],
}

impl ServiceMeters {
    fn new(service: &str) -> Self {
        let call = |cause: Cause| counter!("rattanturn_target_calls_total", "service" => service.to_owned(), "cause" => cause.as_str());
        Self {
            calls: [Cause::First, Cause::Hedge, Cause::Retry].map(call),
        }
    }
}

/// Cached metric handles of one traffic thread.
#[derive(Default)]
pub(crate) struct Meters {
    routes: RefCell<HashMap<String, Rc<RouteMeters>>>,
    services: RefCell<HashMap<String, Rc<ServiceMeters>>>,
}

impl Meters {
    /// Counts a request that has ended, and records its latency.
    pub(crate) fn record_request(&self, route: &str, outcome: RequestOutcome, took: Duration) {
        let meters = get_or_create(&self.routes, route, RouteMeters::new);
        meters.outcomes[outcome as usize].increment(1);
        meters.latency.record(took.as_secs_f64());
    }

    /// Counts a call to a target of a service.
    pub(crate) fn count_call(&self, service: &str, cause: Cause) {
        let meters = get_or_create(&self.services, service, ServiceMeters::new);
        meters.calls[cause as usize].increment(1);
    }
}

/// The handles for `name`, or those for [`OTHER_LABEL`] if there are too many names.
fn get_or_create<T>(
    all: &RefCell<HashMap<String, Rc<T>>>,
    name: &str,
    make: fn(&str) -> T,
) -> Rc<T> {
    let mut all = all.borrow_mut();
    if let Some(known) = all.get(name) {
        return known.clone();
    }
    let name = if all.len() < MAX_LABEL_VALUES {
        name
    } else {
        OTHER_LABEL
    };
    let meters = all
        .entry(name.to_owned())
        .or_insert_with(|| Rc::new(make(name)));
    meters.clone()
}

/// Counts the parts that are missing from an answer, by reason.
pub(crate) fn count_missing_parts(list: &[MissingReason]) {
    for reason in list {
        counter!("rattanturn_parts_missing_total", "reason" => reason.as_str()).increment(1);
    }
}

/// Counts a request that was read and ended without an answer.
pub(crate) fn count_unanswered(end: &'static str) {
    counter!("rattanturn_unanswered_requests_total", "end" => end).increment(1);
}

/// Counts a request whose task panicked.
pub(crate) fn count_panic() {
    counter!("rattanturn_panicked_requests_total").increment(1);
}

/// Counts a request that was refused before it got a route; `reason` becomes the metric label.
pub(crate) fn count_refused(reason: &'static str) {
    counter!("rattanturn_refused_total", "reason" => reason).increment(1);
}

/// Counts what was refused for lack of memory.
pub(crate) fn count_memory_refusal(what: &'static str) {
    counter!("rattanturn_memory_refusals_total", "what" => what).increment(1);
}

/// Sets the number of bytes of answers and requests that are held in memory.
// Exact up to 2^53 bytes.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn set_held_bytes(bytes: usize) {
    gauge!("rattanturn_held_bytes").set(bytes as f64);
}

/// Counts a call to a target that had stated a rate limit.
pub(crate) fn count_limited_call(cause: Cause) {
    counter!("rattanturn_limited_target_calls_total", "cause" => cause.as_str()).increment(1);
}

/// Counts a target that ended while it had a call, by the cause of the call.
pub(crate) fn count_ended_target(cause: Cause) {
    counter!("rattanturn_ended_target_calls_total", "cause" => cause.as_str()).increment(1);
}

/// Counts a request that was refused because it ends the targets that run it.
pub(crate) fn count_quarantine_refusal() {
    counter!("rattanturn_quarantine_refusals_total").increment(1);
}

/// Counts a request whose open calls were stopped because it became suspected.
pub(crate) fn count_recall() {
    counter!("rattanturn_quarantine_recalls_total").increment(1);
}

/// Counts a trial of a suspected or quarantined request.
pub(crate) fn count_trial() {
    counter!("rattanturn_quarantine_trials_total").increment(1);
}

/// Counts a datagram with evidence against requests that was sent to another daemon.
pub(crate) fn count_evidence_datagram(bytes: usize) {
    counter!("rattanturn_peer_datagrams_total", "direction" => "sent", "kind" => "evidence")
        .increment(1);
    counter!("rattanturn_peer_datagram_bytes_total", "direction" => "sent", "kind" => "evidence")
        .increment(bytes as u64);
}

/// Counts a request of an account; `outcome` is `taken` or `refused` for one that took a token of the
/// account's quota or got none, `waited` or `no-room` for one that waited or was refused under
/// overload. The caller bounds the number of accounts.
pub(crate) fn count_account(account: String, outcome: &'static str) {
    counter!("rattanturn_account_requests_total", "account" => account, "outcome" => outcome)
        .increment(1);
}

/// Counts a datagram that asks for tokens of accounts or answers such a question.
pub(crate) fn count_token_datagram(bytes: usize) {
    counter!("rattanturn_peer_datagrams_total", "direction" => "sent", "kind" => "tokens")
        .increment(1);
    counter!("rattanturn_peer_datagram_bytes_total", "direction" => "sent", "kind" => "tokens")
        .increment(bytes as u64);
}

/// Sets the numbers of requests that wait and of groups of services whose requests are limited, because
/// targets are overloaded.
pub(crate) fn set_overload(waiting: usize, limited: usize) {
    let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    gauge!("rattanturn_requests_waiting").set(count(waiting));
    gauge!("rattanturn_overloaded_pools").set(count(limited));
}

/// Sets the number of requests that are refused because they end the targets that run them.
pub(crate) fn set_quarantined_requests(count: usize) {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    gauge!("rattanturn_quarantined_requests").set(f64::from(count));
}

/// Sets the number of targets whose last answer stated a rate limit.
pub(crate) fn set_limited_targets(count: usize) {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    gauge!("rattanturn_limited_targets").set(f64::from(count));
}

/// Counts a target that said in an answer that it leaves.
pub(crate) fn count_withdrawn_target() {
    counter!("rattanturn_targets_withdrawn_total").increment(1);
}

/// Sets the number of targets that have said in an answer that they leave and are still known.
pub(crate) fn set_withdrawn_targets(count: usize) {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    gauge!("rattanturn_withdrawn_targets").set(f64::from(count));
}

/// Sets the number of targets that this daemon cannot reach.
pub(crate) fn set_unreachable_targets(count: usize) {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    gauge!("rattanturn_targets_unreachable").set(f64::from(count));
}

/// Counts a request that was passed on to a peer, by what the peer did.
pub(crate) fn count_relay(outcome: &'static str) {
    counter!("rattanturn_relays_total", "outcome" => outcome).increment(1);
}

/// Counts a datagram between daemons by what it is for; `direction` is `sent` or `received`.
pub(crate) fn count_datagram(direction: &'static str, kind: MessageKind, bytes: usize) {
    let kind = match kind {
        MessageKind::ANNOUNCE => "announce",
        MessageKind::Probe(_) | MessageKind::Indirect(..) => "probe",
        MessageKind::Ack(_) => "ack",
        MessageKind::Sync(_) => "members",
    };
    counter!("rattanturn_peer_datagrams_total", "direction" => direction, "kind" => kind)
        .increment(1);
    counter!("rattanturn_peer_datagram_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes as u64);
}

/// Sets the time since this daemon itself last read a kind of object from the store.
pub(crate) fn set_read_age(kind: &'static str, age: Duration) {
    gauge!("rattanturn_store_read_age_seconds", "kind" => kind).set(age.as_secs_f64());
}

/// Gauges that the control thread exports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GaugeValues {
    /// Time since targets were last read or confirmed, by this daemon or a reader.
    pub(crate) targets_age: Duration,
    /// Time since the configuration was last read or confirmed, by this daemon or a reader.
    pub(crate) config_age: Duration,
    /// Version of the current configuration; 0 if none is known.
    pub(crate) config_version: u64,
    /// Known targets.
    pub(crate) targets: usize,
    /// Other daemons that are alive.
    pub(crate) peers: usize,
    /// Requests of callers that are open.
    pub(crate) open_requests: usize,
    /// Connections to targets.
    pub(crate) connections: usize,
    /// Whether this daemon reads the store itself.
    pub(crate) reads_store: bool,
}

impl GaugeValues {
    /// Sets the gauges in the recorder.
    #[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
    pub(crate) fn export(&self) {
        gauge!("rattanturn_targets_age_seconds").set(self.targets_age.as_secs_f64());
        gauge!("rattanturn_configuration_age_seconds").set(self.config_age.as_secs_f64());
        gauge!("rattanturn_configuration_version").set(self.config_version as f64);
        gauge!("rattanturn_targets").set(self.targets as f64);
        gauge!("rattanturn_peers").set(self.peers as f64);
        gauge!("rattanturn_requests_open").set(self.open_requests as f64);
        gauge!("rattanturn_target_connections").set(self.connections as f64);
        gauge!("rattanturn_reads_store").set(f64::from(u8::from(self.reads_store)));
    }
}

/// Counts an answer of a service that is being rolled out, by the version of its target.
pub(crate) fn count_version_answer(service: &str, version: &str, outcome: rollout::Outcome) {
    let outcome = match outcome {
        rollout::Outcome::Answered => "answered",
        rollout::Outcome::Failed => "failed",
        rollout::Outcome::NotRun => "not-run",
    };
    counter!(
        "rattanturn_version_answers_total",
        "service" => service.to_owned(),
        "version" => version.to_owned(),
        "outcome" => outcome
    )
    .increment(1);
}
