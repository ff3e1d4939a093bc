//! Logs and counts how requests end.
//!
//! Only a sample of the complete answers is logged, because they are by far the most; all other
//! outcomes are logged always. The sample depends on the request's id alone, so all daemons choose
//! the same requests. The counts cover all requests.

use {
    super::Query,
    crate::{
        clock,
        tier::{
            ending::Stage,
            fan_out::FanOutResult,
            meters::{self, RequestOutcome},
            request::Reply,
        },
    },
    rattanturn_core::{gather::MissingReason, rendezvous},
    rattanturn_platform::http::request_id,
    std::{collections::BTreeMap, time::Duration},
};

/// One in this many complete answers is logged; all other outcomes are logged always.
const LOG_ONE_IN: u64 = 256;

/// What is logged of a request's calls.
#[derive(Default)]
pub(super) struct RequestSummary {
    /// Number of services that answered.
    pub(super) parts: usize,
    /// Number of services that were asked.
    pub(super) services: usize,
    /// Number of all calls.
    pub(super) calls: u32,
    /// Number of hedges and retries among the calls.
    pub(super) extra: u32,
    /// Reasons of the services without an answer.
    pub(super) missing: Vec<MissingReason>,
    /// The calls to services without an answer and how each ended.
    pub(super) tried: String,
    /// Whether too few of the services have a target that this daemon can reach, and a peer may run
    /// the request.
    pub(super) unreachable: bool,
    /// Whether a peer answered the request.
    pub(super) relayed: bool,
    /// Whether targets end when they run the request, as far as is known, so that it got no more than
    /// a trial.
    pub(super) suspected: bool,
}

impl RequestSummary {
    pub(super) fn new(result: &FanOutResult) -> Self {
        let counts = result.counts;
        Self {
            parts: result.answers.iter().flatten().count(),
            services: result.answers.len(),
            calls: counts.first + counts.hedges + counts.retries,
            extra: counts.hedges + counts.retries,
            missing: result.missing.clone(),
            tried: result.tried.clone(),
            unreachable: false,
            relayed: false,
            suspected: false,
        }
    }

    /// How often each reason occurs, as `reason:count,...`.
    fn missing_counts(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for reason in &self.missing {
            *counts.entry(reason.as_str()).or_default() += 1;
        }
        let texts: Vec<String> = counts.iter().map(|(r, n)| format!("{r}:{n}")).collect();
        texts.join(",")
    }
}

impl Query<'_> {
    /// Time from the request's arrival to the end of its caller's input.
    fn left_after(&self) -> Option<Duration> {
        let ended = self.incoming.ending.input_ended.get()?;
        Some(ended.since(self.incoming.arrived))
    }

    /// Counts the request, and logs it unless it is complete and not sampled.
    pub(super) fn log(&self, answer: &Reply, summary: &RequestSummary, version: u64) {
        let took = clock::now().since(self.incoming.arrived);
        let stage = self.incoming.ending.stage();
        let outcome = match answer.status {
            500.. if matches!(stage, Stage::InputEnded | Stage::CallerLeft) => {
                RequestOutcome::CallerLeft
            }
            200..=299 if summary.parts < summary.services => RequestOutcome::Partial,
            200..=299 => RequestOutcome::Complete,
            503 => RequestOutcome::NotRun,
            504 => RequestOutcome::TimedOut,
            _ => RequestOutcome::Failed,
        };
        self.traffic
            .meters
            .record_request(&self.route.name, outcome, took);
        meters::count_missing_parts(&summary.missing);
        let id = request_id(self.incoming.head()).unwrap_or("");
        let sampled = rendezvous::key(id).is_multiple_of(LOG_ONE_IN);
        if outcome == RequestOutcome::Complete && !sampled {
            return;
        }
        tracing::info!(
            request = id,
            route = %self.route.name,
            version,
            daemons = self.view.daemons.len(),
            outcome = outcome.as_str(),
            status = answer.status,
            parts = summary.parts,
            of = summary.services,
            missing = %summary.missing_counts(),
            tried = %summary.tried,
            read_ms = clock::millis(self.traffic.targets_age(clock::now())),
            calls = summary.calls,
            extra = summary.extra,
            relayed = summary.relayed,
            suspected = summary.suspected,
            account = self.account.as_ref().map(|a| a.name.as_str()),
            priority = self.account.as_ref().and_then(|a| a.priority),
            took_ms = clock::millis(took),
            left_ms = self.left_after().map(clock::millis),
            stands_for = if outcome == RequestOutcome::Complete { LOG_ONE_IN } else { 1 },
            "request"
        );
    }
}

/// Logs and counts a request whose future is dropped before its answer, because its connection broke.
/// One that is dropped by a panic, or with the process, is logged by its connection.
pub(super) struct CallerLeftLog<'a> {
    pub(super) query: &'a Query<'a>,
    pub(super) version: u64,
    pub(super) answered: bool,
}

impl Drop for CallerLeftLog<'_> {
    fn drop(&mut self) {
        if self.answered || self.query.incoming.ending.stage() != Stage::Reset {
            return;
        }
        let query = self.query;
        let took = clock::now().since(query.incoming.arrived);
        let outcome = RequestOutcome::CallerLeft;
        query
            .traffic
            .meters
            .record_request(&query.route.name, outcome, took);
        tracing::info!(
            request = request_id(query.incoming.head()).unwrap_or(""),
            route = %query.route.name,
            version = self.version,
            outcome = outcome.as_str(),
            took_ms = clock::millis(took),
            "request"
        );
    }
}

/// Logs and counts a request that was refused before its route was known.
pub(super) fn log_refused(request: Option<&str>, reason: &'static str) {
    meters::count_refused(reason);
    tracing::info!(request = request.unwrap_or(""), reason, "request refused");
}
