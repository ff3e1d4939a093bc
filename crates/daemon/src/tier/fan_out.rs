//! Runs one request against one or many services: calls, repeats, hedges and the cutoff.
//!
//! The decisions are those of [`rattanturn_core::gather`]; this module only carries them out.
//! Calls that lost against a hedge and calls still open at the end go on in the background until
//! their targets answer, because ending them would cost the connection; all of them end at once
//! when the caller leaves.

use {
    crate::{
        clock,
        tier::{
            connection::Answer,
            meters::Cause,
            traffic::Traffic,
            upstream::{Call, Outcome, Upstream},
        },
    },
    futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
    rattanturn_core::{
        Time,
        catalog::Route,
        gather::{Action, AttemptId, Counts, Cutoff, Gather, MissingReason, Part, Plan, Reply},
    },
    std::{rc::Rc, time::Duration},
};

/// All targets of a service are of one version here: the catalog names it.
const ONE_SNAPSHOT: u64 = 1;
/// A call is hedged after this multiple of its route's usual slow time: about twice the median.
const HEDGE_FACTOR: f64 = 1.6;
/// A call is hedged after this share of its route's goal at the latest, so that the second call
/// can still answer in time.
const HEDGE_GOAL_SHARE: f64 = 0.4;
/// Expected time, relative to the usual, of a target whose call is late.
const STALLED_RELATIVE_LATENCY: f64 = 6.0;

/// A request to run.
pub(crate) struct FanOut<'a> {
    pub(crate) route: &'a Route,
    pub(crate) services: &'a [String],
    pub(crate) call: Call,
    pub(crate) cutoff: Option<Cutoff>,
}

/// What came of it.
pub(crate) struct FanOutResult {
    /// The answers in the order of the services.
    pub(crate) answers: Vec<Option<Answer>>,
    /// Why each service without an answer has none.
    pub(crate) missing: Vec<MissingReason>,
    /// A target's own failure, if that is all that came.
    pub(crate) failure: Option<Answer>,
    /// Whether a call may have run.
    pub(crate) ran: bool,
    pub(crate) counts: Counts,
    /// What became of the calls for services without an answer.
    pub(crate) tried: String,
}

struct Ended {
    attempt: AttemptId,
    upstream: Option<Rc<Upstream>>,
    index: usize,
    sent: Time,
    outcome: Outcome,
}

/// A call as the log tells it.
struct Attempt {
    service: usize,
    index: usize,
    upstream: Option<Rc<Upstream>>,
    sent: Time,
    /// How it ended and after what time; `None` while it is open.
    end: Option<(String, Duration)>,
}

type Calls = FuturesUnordered<LocalBoxFuture<'static, Ended>>;

struct Run<'a> {
    traffic: &'a Rc<Traffic>,
    request: FanOut<'a>,
    calls: Calls,
    /// All calls so far.
    attempts: Vec<Attempt>,
    done: FanOutResult,
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
        done: FanOutResult {
            answers: vec![None; count],
            missing: Vec::new(),
            failure: None,
            ran: false,
            counts: Counts::default(),
            tried: String::new(),
        },
        finished: false,
    };
    let now = clock::now();
    let (mut gather, actions) = Gather::start(now, plan, &mut traffic.budgets.borrow_mut());
    run.act(actions);
    while !run.finished {
        let actions = tokio::select! {
            biased;
            Some(ended) = run.calls.next() => run.ended(&mut gather, ended),
            () = clock::sleep_until(gather.next_tick()) => {
                gather.tick(clock::now(), &mut traffic.budgets.borrow_mut())
            }
        };
        run.act(actions);
    }
    run.finish(gather)
}

fn plan(traffic: &Rc<Traffic>, request: &FanOut<'_>) -> Plan {
    let now = clock::now();
    let route = request.route;
    let late = traffic.slow_threshold(&route.name).mul_f64(HEDGE_FACTOR);
    let late = route
        .latency_goal
        .map_or(late, |goal| late.min(goal.mul_f64(HEDGE_GOAL_SHARE)));
    Plan {
        services: request
            .services
            .iter()
            .map(|s| traffic.order_targets(now, s))
            .collect(),
        hedge_delays: vec![late; request.services.len()],
        deadline: request.call.deadline,
        snapshot: ONE_SNAPSHOT,
        hedging: route.idempotent && route.max_attempts > 1,
        idempotent: route.idempotent,
        max_attempts: route.max_attempts as usize,
        cutoff: request.cutoff,
        budgets: request
            .services
            .iter()
            .map(|s| traffic.budget_index(s))
            .collect(),
    }
}

impl Run<'_> {
    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    attempt,
                    service,
                    target,
                    ..
                } => self.call(attempt, service, target),
                // The call goes on in the background.
                Action::Cancel(_) => {}
                Action::Finish => self.finished = true,
            }
        }
    }

    fn call(&mut self, attempt: AttemptId, service: usize, index: usize) {
        let now = clock::now();
        let cause = self.cause(service);
        self.traffic
            .meters
            .count_call(&self.request.services[service], cause);
        // A second call to a service means that the first one is late.
        for late in self.attempts.iter().filter(|a| a.service == service) {
            self.traffic
                .record_relative_latency(now, late.index, STALLED_RELATIVE_LATENCY);
        }
        let upstream = self.traffic.upstream(index);
        self.attempts.push(Attempt {
            service,
            index,
            upstream: upstream.clone(),
            sent: now,
            end: None,
        });
        let Some(upstream) = upstream else {
            let ended = Ended {
                attempt,
                upstream: None,
                index,
                sent: now,
                outcome: Outcome::NotRun(MissingReason::Unreachable),
            };
            self.calls.push(Box::pin(async move { ended }));
            return;
        };
        self.traffic.selector.borrow_mut().call_started(index);
        let call = self.request.call.clone();
        let traffic = self.traffic.clone();
        self.calls.push(Box::pin(async move {
            let open = Open(&traffic, index);
            let outcome = upstream.call(call).await;
            drop(open);
            Ended {
                attempt,
                upstream: Some(upstream),
                index,
                sent: now,
                outcome,
            }
        }));
    }

    /// Why the next call to a service is made.
    fn cause(&self, service: usize) -> Cause {
        let mut earlier = self.attempts.iter().filter(|a| a.service == service);
        match earlier.next_back() {
            None => Cause::First,
            Some(last) if last.end.is_none() => Cause::Hedge,
            Some(_) => Cause::Retry,
        }
    }

    fn ended(&mut self, gather: &mut Gather, ended: Ended) -> Vec<Action> {
        let now = clock::now();
        let took = now.since(ended.sent);
        let mut answer = None;
        if let Some(attempt) = self.attempts.get_mut(ended.attempt.0 as usize) {
            attempt.end = Some((ended.outcome.log_text(), took));
        }
        let reply = match ended.outcome {
            Outcome::Answered(a) if (200..300).contains(&a.status) => {
                if let Some(upstream) = &ended.upstream {
                    let route = &self.request.route.name;
                    self.traffic
                        .record_answer(now, route, upstream, ended.index, took, &a);
                }
                answer = Some(a);
                Reply::Done {
                    snapshot: ONE_SNAPSHOT,
                    body: Vec::new(),
                }
            }
            Outcome::Answered(a) => {
                self.done.ran = true;
                self.done.failure = Some(a);
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
                self.done.ran = true;
                self.traffic
                    .record_lost_call(now, ended.index, ended.upstream.as_deref(), &why);
                Reply::Failed
            }
        };
        let covered = gather.covered();
        let service = self
            .attempts
            .get(ended.attempt.0 as usize)
            .map(|a| a.service);
        let budgets = &mut self.traffic.budgets.borrow_mut();
        let actions = gather.reply(now, ended.attempt, reply, ONE_SNAPSHOT, budgets);
        if gather.covered() > covered
            && let Some(service) = service
        {
            self.done.ran = true;
            self.done.answers[service] = answer;
        }
        actions
    }

    fn finish(mut self, gather: Gather) -> FanOutResult {
        self.done.counts = gather.counts();
        let open = !self.calls.is_empty();
        self.done.ran |= open;
        self.done.tried = self.tried();
        self.done.missing = gather
            .into_parts()
            .into_iter()
            .filter_map(|p| match p {
                Part::Missing(why) => Some(why),
                Part::Covered(_) => None,
            })
            .collect();
        if open {
            let mut calls = self.calls;
            let traffic = self.traffic.clone();
            actix_rt::spawn(async move {
                while let Some(ended) = calls.next().await {
                    if let Outcome::Lost(why) = ended.outcome {
                        traffic.record_lost_call(
                            clock::now(),
                            ended.index,
                            ended.upstream.as_deref(),
                            &why,
                        );
                    }
                }
            });
        }
        self.done
    }
}

impl Run<'_> {
    /// The calls for services without an answer: service, target, end and time.
    fn tried(&self) -> String {
        let now = clock::now();
        let failed = self
            .attempts
            .iter()
            .filter(|a| self.done.answers[a.service].is_none());
        let words: Vec<String> = failed
            .map(|a| {
                let target = a.upstream.as_ref().map(|l| l.target.borrow().id.clone());
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
        words.join("; ")
    }
}

/// Counts a call as open until it ends or is dropped.
struct Open<'a>(&'a Rc<Traffic>, usize);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.selector.borrow_mut().call_ended(self.1);
    }
}

/// Time by which a request must have its final answer.
pub(crate) fn deadline(route: &Route, arrived: Time, patience: Option<Duration>) -> Time {
    arrived + patience.map_or(route.timeout, |p| p.min(route.timeout))
}
