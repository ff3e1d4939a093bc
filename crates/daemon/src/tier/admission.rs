//! Orders the requests of a daemon under overload, where the configuration names accounts.
//!
//! [`rattanturn_core::fair_queue`] decides; this module holds the requests that wait. All requests of
//! a daemon run on one traffic thread, so the state needs no lock.

use {
    crate::{
        clock,
        tier::{
            meters,
            quota::{OverloadEvent, SharedQuotas},
            traffic::Traffic,
            upstream::{Outcome, Upstream},
        },
    },
    rattanturn_core::{
        Time,
        accounts::Account,
        catalog::{Destination, Route},
        fair_queue::{Dispatch, End, FairQueue, Finished, Report, Request, Ticket, Verdict},
        gather::MissingReason,
        line_limit::LineLimit,
    },
    std::{
        cell::RefCell,
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Most log lines in a second on refusals, and on limits that begin or end.
const MAX_LOG_LINES: u32 = 3;
/// Part of a route's timeout that counts as its latency goal if it has none.
const GOAL_PART: u32 = 2;

/// The requests of one daemon that run or wait.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    quotas: Arc<SharedQuotas>,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    queue: FairQueue,
    /// Tells each waiting request what was decided.
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    /// Pools whose limit has been logged.
    limited: HashSet<String>,
    refusal_lines: LineLimit,
    limit_lines: LineLimit,
}

/// What was decided about a waiting request.
#[derive(Clone, Copy, Debug)]
enum Decision {
    Start,
    /// It may be sent again after this time.
    Refuse(Duration),
}

/// What decides about a request's turn.
#[derive(Clone, Copy)]
pub(crate) struct Entry<'a> {
    services: &'a [String],
    /// How many of the services must answer.
    needed: usize,
    pool: &'a str,
    /// Empty for a request without an account.
    account: &'a str,
    priority: u64,
    arrived: Time,
    goal: Duration,
}

impl<'a> Entry<'a> {
    /// The entry of a request to `services`, which `needed` of them can answer.
    pub(crate) fn new(
        route: &'a Route,
        services: &'a [String],
        account: Option<&'a Account>,
        arrived: Time,
        deadline: Time,
    ) -> Self {
        let needed = match &route.destination {
            Destination::Single(_) | Destination::Split(_) | Destination::Unknown => 1,
            Destination::Gather(gather) => gather.min_shards(),
        };
        let goal = route.latency_goal.unwrap_or(route.timeout / GOAL_PART);
        Self {
            services,
            needed,
            // Routes over the same services share their capacity.
            pool: services.iter().min().map_or("", String::as_str),
            account: account.map_or("", |a| a.name.as_str()),
            priority: account.map_or(route.priority, |a| a.priority_on(route.priority)),
            arrived,
            goal: goal.min(deadline.since(arrived)),
        }
    }
}

/// The services that a route may ask.
pub(crate) fn services(route: &Route) -> Vec<String> {
    match &route.destination {
        Destination::Single(service) => vec![service.clone()],
        Destination::Split(shares) => shares.iter().map(|s| s.service.clone()).collect(),
        Destination::Gather(gather) => gather.services.clone(),
        Destination::Unknown => Vec::new(),
    }
}

impl AdmissionQueue {
    pub(crate) fn new(quotas: Arc<SharedQuotas>) -> Self {
        Self {
            quotas,
            state: RefCell::new(State {
                queue: FairQueue::default(),
                waiting: HashMap::new(),
                limited: HashSet::new(),
                refusal_lines: LineLimit::new(MAX_LOG_LINES),
                limit_lines: LineLimit::new(MAX_LOG_LINES),
            }),
        }
    }

    /// Waits until the request may start. Dropping the future takes it out of the queue.
    ///
    /// # Errors
    ///
    /// It has not run and may be sent again after this time.
    pub(crate) async fn admit<'a>(&'a self, entry: &'a Entry<'a>) -> Result<Turn<'a>, Duration> {
        match self.wait_for_turn(entry).await {
            Decision::Start => Ok(Turn {
                queue: self,
                entry,
                started: clock::now(),
                end: End::Unknown,
            }),
            Decision::Refuse(after) => {
                self.record_refusal(entry);
                Err(after)
            }
        }
    }

    async fn wait_for_turn(&self, entry: &Entry<'_>) -> Decision {
        let now = clock::now();
        let request = Request {
            pool: entry.pool,
            account: entry.account,
            priority: entry.priority,
            arrived: entry.arrived,
            goal: entry.goal,
        };
        let (ticket, until, receiver) = {
            let mut state = self.state.borrow_mut();
            let (verdict, displaced) = state.queue.submit(now, request);
            state.perform(displaced);
            match verdict {
                Verdict::Start => return Decision::Start,
                Verdict::Refuse(after) => return Decision::Refuse(after),
                Verdict::Wait(ticket, until) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    (ticket, until, receiver)
                }
            }
        };
        self.quotas
            .record_overload(entry.account, OverloadEvent::Waited);
        let mut place = Place {
            queue: self,
            entry,
            ticket,
            receiver,
            decided: false,
        };
        let decision = tokio::select! {
            biased;
            decision = &mut place.receiver => decision.ok(),
            () = clock::sleep_until(until) => None,
        };
        place.decided = true;
        decision.unwrap_or_else(|| self.expire(ticket))
    }

    fn expire(&self, ticket: Ticket) -> Decision {
        let mut state = self.state.borrow_mut();
        state.waiting.remove(&ticket);
        Decision::Refuse(state.queue.expire(ticket).unwrap_or_default())
    }

    fn finish(&self, entry: &Entry<'_>, started: Time, end: End<'_>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let dispatch = state.queue.finish(
            now,
            Finished {
                pool: entry.pool,
                started,
                goal: entry.goal,
                end,
            },
        );
        state.perform(dispatch);
        state.log_limit(now, entry.pool);
    }

    fn record_refusal(&self, entry: &Entry<'_>) {
        self.quotas
            .record_overload(entry.account, OverloadEvent::Refused);
        let line = self.state.borrow_mut().refusal_lines.admit(clock::now());
        if let Some(left_out) = line {
            tracing::warn!(
                account = entry.account,
                priority = entry.priority,
                pool = entry.pool,
                left_out,
                "a request was refused because its targets are overloaded"
            );
        }
    }

    /// Exports the numbers of waiting requests and of limited pools.
    pub(crate) fn publish_gauges(&self) {
        let state = self.state.borrow();
        let limits = state.queue.pools().filter_map(|(.., limit)| limit);
        meters::set_overload(state.queue.waiting(), limits.count());
    }
}

impl State {
    fn perform(&mut self, dispatch: Dispatch) {
        let starts = dispatch.start.into_iter().map(|t| (t, Decision::Start));
        let refusals = dispatch.refuse.into_iter();
        let refusals = refusals.map(|(t, after)| (t, Decision::Refuse(after)));
        for (ticket, decision) in starts.chain(refusals) {
            if let Some(sender) = self.waiting.remove(&ticket) {
                // The receiver lives as long as its place, which removes the sender when it ends.
                let _ = sender.send(decision);
            }
        }
    }

    /// Logs when a pool's limit begins or ends.
    fn log_limit(&mut self, now: Time, pool: &str) {
        let limit = self.queue.limit(pool);
        if limit.is_some() == self.limited.contains(pool) {
            return;
        }
        if limit.is_some() {
            self.limited.insert(pool.to_owned());
        } else {
            self.limited.remove(pool);
        }
        let Some(left_out) = self.limit_lines.admit(now) else {
            return;
        };
        if let Some(limit) = limit {
            tracing::warn!(
                pool,
                limit,
                left_out,
                "targets are overloaded; requests are limited"
            );
        } else {
            tracing::info!(pool, left_out, "requests are not limited any more");
        }
    }
}

/// A request's place in the queue. Dropping it before the decision, because the caller left, takes
/// the request out, or ends its turn if that was just given.
struct Place<'a> {
    queue: &'a AdmissionQueue,
    entry: &'a Entry<'a>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Decision>,
    decided: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        {
            let mut state = self.queue.state.borrow_mut();
            state.waiting.remove(&self.ticket);
            state.queue.cancel(self.ticket);
        }
        if let Ok(Decision::Start) = self.receiver.try_recv() {
            self.queue.finish(self.entry, clock::now(), End::Unknown);
        }
    }
}

/// A request's right to run. Dropping it lets the next one start.
pub(crate) struct Turn<'a> {
    queue: &'a AdmissionQueue,
    entry: &'a Entry<'a>,
    started: Time,
    end: End<'a>,
}

impl Turn<'_> {
    /// Ends the turn with the status of an answer for which this daemon called targets.
    pub(crate) fn end(mut self, status: u16) {
        // The targets of a lost answer may have free slots.
        if status != 502 {
            self.end = End::Observed {
                services: self.entry.services,
                needed: self.entry.needed,
                answered: !matches!(status, 503 | 504),
            };
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.queue.finish(self.entry, self.started, self.end);
    }
}

impl Traffic {
    /// Notes what the end of a call tells about its target's load.
    pub(crate) fn record_load(&self, upstream: &Upstream, outcome: &Outcome) {
        let view = self.current_view();
        let accounts = view.catalog.as_ref().and_then(|c| c.accounts());
        if accounts.is_none() {
            return;
        }
        let report = match outcome {
            Outcome::Answered(answer) => answer.head.load.map(|load| Report::Load {
                waiting: load.waiting,
                slots: load.slots,
            }),
            Outcome::NotRun(MissingReason::Busy) => Some(Report::Busy),
            Outcome::NotRun(_) | Outcome::Lost(_) | Outcome::TargetEnded(_) => None,
        };
        if let Some(report) = report {
            let service = &upstream.target.borrow().service;
            let queue = &mut self.admission.state.borrow_mut().queue;
            queue.report(clock::now(), service, report);
        }
    }
}
