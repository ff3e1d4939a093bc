//! Runs one request against one or several services, with retries, hedges and the cutoff.
//!
//! [`rattanturn_core::gather`] decides which calls to make and when the answer is final; this
//! module makes the calls and reports how they end. A call whose service has answered through a
//! hedge, or that is open when the answer is final, goes on in the background until its target
//! answers, because cancelling it would close its connection. One that was not written by then is never
//! written, so that an answer which says that the request did not run stays true. A request that is
//! cut short, see [`crate::tier::ending`], ends with the answers that are there. If the caller left,
//! its calls are cancelled, except one that must not run twice.

mod waiting;

use {
    crate::{
        clock,
        tier::{
            connection::Answer,
            ending::Stage,
            meters::{self, Cause},
            request::{BegunCall, FanOut},
            rollouts::NO_TARGET,
            traffic::Traffic,
            upstream::{Call, CallStage, Outcome, Progress, Upstream},
        },
    },
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    rattanturn_core::{
        Time,
        catalog::Route,
        gather::{Action, AttemptId, Counts, Gather, MissingReason, Part, Plan, Reply, max_ended},
    },
    std::{rc::Rc, time::Duration},
};

/// Snapshot of every call: in the tier all targets of a service have the same version, which the
/// catalog determines.
const ONE_SNAPSHOT: u64 = 1;
/// A call is hedged after this multiple of its route's slow threshold, which makes about twice the
/// median latency.
const HEDGE_FACTOR: f64 = 1.6;
/// A call is hedged after this fraction of its route's latency goal at the latest, so that the
/// second call can still answer within the goal.
const HEDGE_GOAL_FRACTION: f64 = 0.4;
/// Relative latency that is assumed for a target that refused a call as busy, or whose call was
/// followed by a hedge or retry.
const STALLED_RELATIVE_LATENCY: f64 = 6.0;

/// Result of a request.
pub(crate) struct FanOutResult {
    /// Successful answers in the order of the services.
    pub(crate) answers: Vec<Option<Answer>>,
    /// Reasons of the services without an answer, in their order.
    pub(crate) missing: Vec<MissingReason>,
    /// The last answer of a target with a status other than 2xx.
    pub(crate) failure: Option<Answer>,
    /// Whether any call may have run.
    pub(crate) ran: bool,
    /// Numbers of first calls, hedges and retries.
    pub(crate) counts: Counts,
    /// Log text on the calls to services without an answer.
    pub(crate) tried: String,
}

/// A call that ended.
struct EndedCall {
    attempt: AttemptId,
    cause: Cause,
    upstream: Option<Rc<Upstream>>,
    index: usize,
    sent: Time,
    outcome: Outcome,
}

/// A call with what the log needs.
struct Attempt {
    service: usize,
    index: usize,
    upstream: Option<Rc<Upstream>>,
    /// Why the call was not sent; `None` if it was.
    refusal: Option<MissingReason>,
    sent: Time,
    /// How the call ended and after what time; `None` while it is open.
    end: Option<(String, Duration)>,
    progress: Rc<Progress>,
}

impl Attempt {
    fn is_open_at(&self, stage: CallStage) -> bool {
        self.end.is_none() && self.refusal.is_none() && self.progress.stage.get() == stage
    }
}

type Calls = FuturesUnordered<LocalBoxFuture<'static, EndedCall>>;

/// A request that runs.
struct Run<'a> {
    traffic: &'a Rc<Traffic>,
    request: FanOut<'a>,
    calls: Calls,
    /// All calls so far, at the index that is their [`AttemptId`].
    attempts: Vec<Attempt>,
    result: FanOutResult,
    /// Whether slow calls are hedged, and after what time they would be.
    hedges: bool,
    hedge_delay: Duration,
    /// How far the request has been cut short.
    stage: Stage,
    /// Whether open calls are cancelled when the answer is final.
    cancels: bool,
    finished: bool,
}

/// Runs a request until its answer is final.
pub(crate) async fn run(traffic: &Rc<Traffic>, request: FanOut<'_>) -> FanOutResult {
    let count = request.services.len();
    let plan = plan(traffic, &request);
    let mut run = Run {
        traffic,
        request,
        calls: FuturesUnordered::new(),
        attempts: Vec::with_capacity(count),
        result: FanOutResult {
            answers: vec![None; count],
            missing: Vec::new(),
            failure: None,
            ran: false,
            counts: Counts::default(),
            tried: String::new(),
        },
        hedges: plan.hedging,
        hedge_delay: plan.hedge_delays.first().copied().unwrap_or_default(),
        stage: Stage::Running,
        cancels: false,
        finished: false,
    };
    let now = clock::now();
    let (mut gather, actions) = Gather::start(now, plan, &mut traffic.budgets.borrow_mut());
    run.perform(actions);
    while !run.finished {
        let due = run.next_tick(&gather);
        let actions = tokio::select! {
            biased;
            Some(ended) = run.calls.next() => run.handle_end(&mut gather, ended),
            stage = run.request.ending.next_stage(run.stage) => run.cut_short(&mut gather, stage),
            () = clock::sleep_until(due) => run.tick(&mut gather),
        };
        run.perform(actions);
    }
    run.finish(gather)
}

fn plan(traffic: &Rc<Traffic>, request: &FanOut<'_>) -> Plan {
    let now = clock::now();
    let route = request.route;
    let delay = traffic.slow_threshold(&route.name).mul_f64(HEDGE_FACTOR);
    let delay = route
        .latency_goal
        .map_or(delay, |goal| delay.min(goal.mul_f64(HEDGE_GOAL_FRACTION)));
    Plan {
        services: request
            .services
            .iter()
            .map(|s| match request.trial {
                Some(target) => vec![target],
                None => traffic.order_targets(now, s, request.max_attempts),
            })
            .collect(),
        hedge_delays: vec![delay; request.services.len()],
        deadline: request.call.deadline,
        snapshot: ONE_SNAPSHOT,
        hedging: route.idempotent && request.max_attempts > 1 && request.trial.is_none(),
        idempotent: route.idempotent,
        max_attempts: request.max_attempts as usize,
        max_ended: if request.trial.is_some() {
            1
        } else {
            max_ended(request.services.len())
        },
        cutoff: request.cutoff,
        budgets: request
            .services
            .iter()
            .map(|s| traffic.budget_index(s))
            .collect(),
    }
}

impl Run<'_> {
    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    attempt,
                    service,
                    target,
                    ..
                } => self.start_call(attempt, service, target),
                // The call goes on in the background, see the module.
                Action::Cancel(_) => {}
                Action::Finish => self.finished = true,
            }
        }
    }

    fn start_call(&mut self, attempt: AttemptId, service: usize, index: usize) {
        let now = clock::now();
        let cause = self.cause(service);
        // The target's version may have been reverted since the request arrived.
        let view = self.traffic.view();
        let upstream = self.traffic.upstream(index);
        let withheld = |u: &Upstream| view.uses_rollouts && self.traffic.is_withheld(now, u);
        let refusal = match &upstream {
            None if index == NO_TARGET => Some(MissingReason::Unreachable),
            None => Some(MissingReason::Withdrawn),
            Some(u) if withheld(u) || self.traffic.is_withdrawn(now, u, index) => {
                Some(MissingReason::Withdrawn)
            }
            // A caller that may have left waits for no connection.
            Some(u) if self.input_ended() && !u.has_free_connection() => Some(MissingReason::Busy),
            Some(u) if !u.has_cold_room(now) || !u.try_take_slot(now) => {
                Some(MissingReason::Limited)
            }
            Some(_) => None,
        };
        let progress = Rc::<Progress>::default();
        // A further call to a service means that the earlier ones were slow or failed.
        for earlier in self.attempts.iter().filter(|a| a.service == service) {
            let waited = progress.waited.get() || earlier.progress.waited.get();
            progress.waited.set(waited);
            if earlier.refusal.is_none() {
                self.traffic
                    .record_relative_latency(now, earlier.index, STALLED_RELATIVE_LATENCY);
            }
        }
        self.attempts.push(Attempt {
            service,
            index,
            upstream: upstream.clone(),
            refusal,
            sent: now,
            end: None,
            progress: progress.clone(),
        });
        let (Some(upstream), None) = (upstream, refusal) else {
            let ended = EndedCall {
                attempt,
                cause,
                upstream: None,
                index,
                sent: now,
                outcome: Outcome::NotRun(refusal.unwrap_or(MissingReason::Unreachable)),
            };
            self.calls.push(Box::pin(async move { ended }));
            return;
        };
        self.request.begun.borrow_mut().push(BegunCall {
            service,
            started: now,
            progress: progress.clone(),
        });
        self.traffic
            .meters
            .count_call(&self.request.services[service], cause);
        if upstream.is_limited() {
            meters::count_limited_call(cause);
        }
        self.traffic.selector.borrow_mut().call_started(index);
        let mut call = self.request.call.clone();
        call.progress = progress;
        let traffic = self.traffic.clone();
        self.calls.push(Box::pin(async move {
            let open = OpenCall(&traffic, index);
            let outcome = upstream.call(call).await;
            drop(open);
            traffic.record_load(&upstream, &outcome);
            EndedCall {
                attempt,
                cause,
                upstream: Some(upstream),
                index,
                sent: now,
                outcome,
            }
        }));
    }

    fn input_ended(&self) -> bool {
        self.request.ending.stage() >= Stage::InputEnded
    }

    /// Goes on as far as the request's new stage allows it.
    fn cut_short(&mut self, gather: &mut Gather, stage: Stage) -> Vec<Action> {
        self.stage = stage;
        let mut actions = gather.stop_calls();
        actions.extend(self.revoke_waiting(gather));
        let written = self.attempts.iter();
        let written = written.filter(|a| a.is_open_at(CallStage::Written)).count();
        let goes_on = !self.request.route.idempotent && written > 0;
        match stage {
            Stage::Running | Stage::InputEnded => return actions,
            Stage::CallerLeft if goes_on => return actions,
            Stage::CallerLeft | Stage::Reset => self.cancels = true,
            Stage::Stopped => {}
        }
        let now = clock::now();
        gather.shorten_deadline(now);
        actions.extend(gather.tick(now, &mut self.traffic.budgets.borrow_mut()));
        actions
    }

    /// Cause of the next call to a service, for the metrics.
    fn cause(&self, service: usize) -> Cause {
        let mut earlier = self.attempts.iter().filter(|a| a.service == service);
        match earlier.next_back() {
            None => Cause::First,
            Some(last) if last.end.is_none() => Cause::Hedge,
            Some(_) => Cause::Retry,
        }
    }

    fn handle_end(&mut self, gather: &mut Gather, ended: EndedCall) -> Vec<Action> {
        let now = clock::now();
        let took = now.since(ended.sent);
        let mut answer = None;
        let route = &self.request.route.name;
        self.traffic
            .record_version(route, ended.upstream.as_deref(), &ended.outcome, took);
        let mut permitted = None;
        if let Some(attempt) = self.attempts.get_mut(ended.attempt.0 as usize) {
            attempt.end = Some((ended.outcome.log_text(), took));
            permitted = attempt.progress.permitted.get();
        }
        let reply = match ended.outcome {
            Outcome::Answered(a) if (200..300).contains(&a.status) => {
                if let Some(upstream) = &ended.upstream {
                    let route = &self.request.route.name;
                    self.traffic
                        .record_answer(now, route, upstream, ended.index, took, &a);
                }
                if let Some(at) = permitted {
                    self.traffic.record_held(route, now.since(at));
                }
                record_survivor(self.traffic, &self.request.call);
                answer = Some(a);
                Reply::Done {
                    snapshot: ONE_SNAPSHOT,
                    body: Vec::new(),
                }
            }
            Outcome::Answered(a) => {
                self.result.ran = true;
                self.result.failure = Some(a);
                Reply::Failed
            }
            Outcome::NotRun(why) => {
                if why == MissingReason::Unreachable {
                    self.traffic.selector.borrow_mut().failed(now, ended.index);
                } else if why == MissingReason::Busy {
                    self.traffic.record_relative_latency(
                        now,
                        ended.index,
                        STALLED_RELATIVE_LATENCY,
                    );
                }
                Reply::NotRun(why)
            }
            Outcome::Lost(why) => {
                self.result.ran = true;
                self.traffic
                    .record_lost_call(now, ended.index, ended.upstream.as_deref(), &why);
                Reply::Failed
            }
            Outcome::TargetEnded(why) => {
                self.result.ran = true;
                let call = &self.request.call;
                let (index, upstream) = (ended.index, ended.upstream.as_deref());
                self.traffic.record_lost_call(now, index, upstream, &why);
                record_ended_target(
                    self.traffic,
                    upstream,
                    call,
                    ended.cause,
                    self.request.trial.is_some(),
                );
                Reply::Ended
            }
        };
        let covered = gather.covered();
        let service = self
            .attempts
            .get(ended.attempt.0 as usize)
            .map(|a| a.service);
        let budgets = &mut self.traffic.budgets.borrow_mut();
        let actions = gather.reply(now, ended.attempt, reply, ONE_SNAPSHOT, budgets);
        self.request.call.useful_until.set(gather.useful_until());
        if gather.covered() > covered
            && let Some(service) = service
        {
            self.result.ran = true;
            self.result.answers[service] = answer;
        }
        actions
    }

    fn finish(mut self, gather: Gather) -> FanOutResult {
        self.result.counts = gather.counts();
        let written = |a: &Attempt| a.is_open_at(CallStage::Written);
        self.result.ran |= self.attempts.iter().any(written);
        self.attempts.iter().for_each(|a| a.progress.revoke());
        self.result.tried = self.describe_attempts();
        self.result.missing = gather
            .into_parts()
            .into_iter()
            .filter_map(|p| match p {
                Part::Missing(why) => Some(why),
                Part::Covered(_) => None,
            })
            .collect();
        // What the answer does without must not keep targets busy for a caller that may have left.
        let cancels = self.cancels || (self.input_ended() && self.request.route.idempotent);
        if !self.calls.is_empty() && !cancels {
            let mut calls = self.calls;
            let (traffic, call) = (self.traffic.clone(), self.request.call.clone());
            let trial = self.request.trial.is_some();
            let route = self.request.route.name.clone();
            actix_rt::spawn(async move {
                while let Some(ended) = calls.next().await {
                    let upstream = ended.upstream.as_deref();
                    let took = clock::now().since(ended.sent);
                    traffic.record_version(&route, upstream, &ended.outcome, took);
                    match ended.outcome {
                        Outcome::TargetEnded(why) => {
                            traffic.record_lost_call(clock::now(), ended.index, upstream, &why);
                            record_ended_target(&traffic, upstream, &call, ended.cause, trial);
                        }
                        Outcome::Lost(why) => {
                            traffic.record_lost_call(clock::now(), ended.index, upstream, &why);
                        }
                        Outcome::Answered(a) if (200..300).contains(&a.status) => {
                            record_survivor(&traffic, &call);
                        }
                        Outcome::Answered(_) | Outcome::NotRun(_) => {}
                    }
                }
            });
        }
        self.result
    }
}

impl Run<'_> {
    /// Describes the calls to services without an answer: service, target, end and duration.
    fn describe_attempts(&self) -> String {
        let now = clock::now();
        let failed = self
            .attempts
            .iter()
            .filter(|a| self.result.answers[a.service].is_none());
        let texts: Vec<String> = failed
            .map(|a| {
                let target = a.upstream.as_ref().map(|u| u.target.borrow().id.clone());
                let (end, took) = a
                    .end
                    .clone()
                    .unwrap_or_else(|| ("open".into(), now.since(a.sent)));
                format!(
                    "{} at {}: {end} after {} ms",
                    self.request.services[a.service],
                    target.unwrap_or_default(),
                    clock::millis(took)
                )
            })
            .collect();
        texts.join("; ")
    }
}

/// Records that a target has run a request and lives.
fn record_survivor(traffic: &Traffic, call: &Call) {
    if traffic.quarantine.is_active() {
        traffic.quarantine.record_answer(call.fingerprint());
    } else {
        traffic.answers.record(clock::now(), call);
    }
}

/// Records, logs and counts a target that ended while it had a call.
fn record_ended_target(
    traffic: &Traffic,
    upstream: Option<&Upstream>,
    call: &Call,
    cause: Cause,
    trial: bool,
) {
    meters::count_ended_target(cause);
    let Some(upstream) = upstream else {
        return;
    };
    let target = upstream.target.borrow();
    // A target may start again under its id.
    let run = format!("{}/{}", target.id, target.incarnation);
    traffic
        .quarantine
        .record_end(call.fingerprint(), &run, trial);
    tracing::info!(
        request = call.id.as_deref().unwrap_or(""),
        fingerprint = %call.fingerprint(),
        to = %target.id,
        service = %target.service,
        cause = cause.as_str(),
        "a target ended while it had a call"
    );
}

/// Counts a call as open at its target until it ends or is cancelled.
struct OpenCall<'a>(&'a Rc<Traffic>, usize);

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.selector.borrow_mut().call_ended(self.1);
    }
}

/// Deadline of a request: the route's timeout, or the caller's if that is shorter.
pub(crate) fn deadline(route: &Route, arrived: Time, caller_timeout: Option<Duration>) -> Time {
    arrived + caller_timeout.map_or(route.timeout, |p| p.min(route.timeout))
}
