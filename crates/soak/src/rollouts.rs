//! Roll-outs of new versions, good and bad ones, and the checks on who gets them.
//!
//! A run has two orders: one while faults are injected, and one after the last fault. The checks
//! count only requests that came to a connected daemon: see [`Daemon::was_connected`].

use {
    crate::{
        checks::{Checks, RequestKind, to_f64},
        daemons::Daemon,
        environment::{Environment, ONCE_SERVICE, SHARD_COUNT, spawn_target},
        runner::Runner,
    },
    actix_rt::time::sleep,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::{
        calls::Call,
        operator::order_rollout,
        shard::{Flaw, TargetConfig},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The daemons' settings for roll-outs.
pub(crate) const SETTINGS: &str = "exposure = 0.1\nexposure-slack = 50\nrollback-limit = 5s\n";
const EXPOSURE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_LIMIT: Duration = Duration::from_secs(5);
/// Number of bad answers after which a version must be given up within that time.
const ROLLBACK_COUNT: usize = 50;
/// Version that orders name.
const NEW_VERSION: &str = "v2";
/// Time limit of an order.
const DURATION: Duration = Duration::from_secs(12);
/// Time beyond it in which the daemons may still end an order, if faults lasted until the limit.
const END_SLACK: Duration = Duration::from_secs(5);
/// Time from the end of an order without success until its targets are gone. It is longer than
/// [`ROLLBACK_LIMIT`], so that a daemon that goes on to use them is found.
const REMOVAL_DELAY: Duration = Duration::from_secs(8);
/// Additional callers during the order after the faults. With them, a bad version that is not given
/// up has its 50 bad answers early enough for the check of the 5 s after it.
pub(crate) const RUSH_CALLERS: usize = 3;
/// Latest begin of the order that runs beside faults.
const MAX_START_MS: u64 = 3_000;

/// An order that is to be given.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) start: Duration,
    service: String,
    /// How its version is bad; `None` for a good one.
    flaw: Option<Flaw>,
    /// Additional callers meanwhile.
    rush: usize,
    /// The only daemon that callers use meanwhile, so that most others know nothing of the version.
    focus: Option<usize>,
}

/// Draws the order beside the faults and the one after them, for two different services.
pub(crate) fn draw_plans(rng: &mut ChaCha8Rng, daemons: usize) -> [Plan; 2] {
    let shard = format!("shard-{}", rng.random_range(0..SHARD_COUNT));
    let mut services = [ONCE_SERVICE.to_owned(), shard];
    if rng.random() {
        services.reverse();
    }
    let mut plans = services.map(|service| Plan {
        start: Duration::from_millis(rng.random_range(0..MAX_START_MS)),
        flaw: draw_flaw(rng, &service),
        service,
        rush: 0,
        focus: None,
    });
    plans[1].rush = RUSH_CALLERS;
    plans[1].focus = Some(rng.random_range(0..daemons));
    plans
}

fn draw_flaw(rng: &mut ChaCha8Rng, service: &str) -> Option<Flaw> {
    let kind = RequestKind::of_service(service)?;
    Some(match rng.random_range(0..6) {
        0 => return None,
        1 => Flaw::Failures,
        2 => Flaw::Slowness,
        3 => Flaw::Later(Duration::from_millis(rng.random_range(1_000..6_000))),
        4 => Flaw::UnderLoad(2),
        _ => Flaw::Route(kind.path(1)),
    })
}

/// An order that was given, and what was seen of it.
#[derive(Debug)]
pub(crate) struct Order {
    service: String,
    flaw: Option<Flaw>,
    given_at: Instant,
    reverted_at: Option<Instant>,
    /// When the targets of its version lost their flaw.
    healed_at: Option<Instant>,
    /// Requests that reached the service until the time limit.
    reached: BTreeSet<String>,
    /// Calls that the new version got.
    calls: Vec<Call>,
}

/// What is known of orders and of the requests since the first one.
#[derive(Default)]
pub(crate) struct OrderChecks {
    orders: Vec<Order>,
    /// Daemon of each request and when it was sent, only if there are orders.
    pub(crate) sent: BTreeMap<String, (usize, Instant)>,
}

impl Runner {
    /// Gives an order, plays the operator until it is over, and removes what is no longer used.
    pub(crate) async fn carry_out(self: Rc<Self>, plan: Plan) {
        sleep(plan.start).await;
        self.log_fault(&format!("order for {}, flaw {:?}", plan.service, plan.flaw));
        let store = self.environment.borrow().store.clone();
        let old = self.environment.borrow().targets_of(&plan.service);
        let given_at = Instant::now();
        order_rollout(&store, &plan.service, NEW_VERSION, DURATION.as_secs_f64());
        let number = self.checks.borrow().orders.orders.len();
        self.checks.borrow_mut().orders.orders.push(Order {
            service: plan.service.clone(),
            flaw: plan.flaw.clone(),
            given_at,
            reverted_at: None,
            healed_at: None,
            reached: BTreeSet::new(),
            calls: Vec::new(),
        });
        let new = match self.start_version(&plan, old.len()).await {
            Ok(new) => new,
            Err(error) => return self.checks.borrow_mut().add_violation(error.to_string()),
        };
        self.focus.set(plan.focus);
        let kind = RequestKind::of_service(&plan.service);
        let until = given_at + DURATION;
        for kind in (0..plan.rush).filter_map(|_| kind) {
            actix_rt::spawn(self.clone().rush(kind, plan.focus, until));
        }
        let state = || -> String {
            let status = store.status("rollouts", &plan.service);
            status["state"].as_str().unwrap_or("none").to_owned()
        };
        while given_at.elapsed() < DURATION + END_SLACK
            && !matches!(state().as_str(), "done" | "reverted")
        {
            sleep(Duration::from_millis(20)).await;
        }
        let end = state();
        self.log_fault(&format!("order for {} is {end}", plan.service));
        match end.as_str() {
            "done" => self.environment.borrow_mut().retire(&old),
            "reverted" => {
                let reverted_at = Some(Instant::now());
                self.checks.borrow_mut().orders.orders[number].reverted_at = reverted_at;
                sleep(REMOVAL_DELAY).await;
                self.environment.borrow_mut().retire(&new);
            }
            _ => {}
        }
        // What follows may use the version for good.
        sleep(DURATION.saturating_sub(given_at.elapsed())).await;
        for target in &new {
            self.environment.borrow().targets[*target]
                .state
                .set_flaw(None);
        }
        self.focus.set(None);
        let mut checks = self.checks.borrow_mut();
        let name = format!("{:?}", plan.flaw);
        let name = name.trim_start_matches("Some(").split(['(', ')']).next();
        checks.count_outcome(format!("{} version {end}", name.unwrap_or("")));
        checks.orders.orders[number].healed_at = Some(Instant::now());
    }

    /// Starts the targets of an order's version and announces them; returns their indices.
    async fn start_version(&self, plan: &Plan, count: usize) -> eyre::Result<Vec<usize>> {
        let mut new = Vec::new();
        let threads = self.environment.borrow().threads();
        for centre in crate::environment::CENTRES.iter().take(count) {
            let config = TargetConfig {
                id: format!("{}-{NEW_VERSION}-{centre}", plan.service),
                service: plan.service.clone(),
                centre: (*centre).into(),
                service_time: crate::environment::SERVICE_TIME,
                version: NEW_VERSION.into(),
            };
            let target = spawn_target(&threads, config).await?;
            target.state.set_flaw(plan.flaw.clone());
            // Lets it record its calls.
            let _ = target.state.take_calls();
            let mut env = self.environment.borrow_mut();
            env.targets.push(target);
            new.push(env.targets.len() - 1);
            env.announce(new[new.len() - 1], "ready");
        }
        Ok(new)
    }
}

impl Checks {
    /// Notes a call for the order of its service, if there is one.
    pub(crate) fn note_call(&mut self, target: &TargetConfig, call: &Call) {
        let all = self.orders.orders.iter_mut();
        for order in all.filter(|o| o.service == target.service && call.at >= o.given_at) {
            if call.at < order.given_at + DURATION {
                order.reached.insert(call.id.clone());
            }
            if target.version == NEW_VERSION {
                order.calls.push(call.clone());
            }
        }
    }

    /// Checks who got the new versions, and that each order has one end.
    pub(crate) fn check_orders(&mut self, env: &Environment, daemons: &[Daemon]) {
        for order in std::mem::take(&mut self.orders.orders) {
            let text = format!("order for {}, flaw {:?}", order.service, order.flaw);
            let statuses = env.store.statuses("rollouts", &order.service);
            let states = statuses.iter().filter_map(|s| s["state"].as_str());
            let ends: BTreeSet<&str> = states.filter(|s| *s != "running").collect();
            if ends.len() != 1 {
                self.add_violation(format!("{text}: expected one final state, got {ends:?}"));
            }
            let connected = |call: &&Call| {
                let sent = self.orders.sent.get(&call.id);
                sent.is_some_and(|(d, at)| daemons[*d].was_connected(*at, call.at))
            };
            let used: Vec<&Call> = order.calls.iter().filter(connected).collect();
            let sent_after = |limit: Instant| -> BTreeSet<&str> {
                let late = used.iter().filter(|c| {
                    let sent = self.orders.sent.get(&c.id);
                    sent.is_some_and(|(_, at)| *at > limit)
                        && order.healed_at.is_none_or(|healed| c.at < healed)
                });
                late.map(|c| c.id.as_str()).collect()
            };
            let mut errors = Vec::new();
            if let Some(at) = order.reverted_at {
                let late = sent_after(at + ROLLBACK_LIMIT);
                if !late.is_empty() {
                    errors.push(format!("requests {late:?} later than 5 s after its end"));
                }
            }
            let mut bad: Vec<Instant> = order.calls.iter().filter_map(|c| c.flawed_at).collect();
            bad.sort();
            // A version whose flaw never showed, for example because it had no load, was a good one.
            if !bad.is_empty() {
                if let Some(at) = bad.get(ROLLBACK_COUNT - 1) {
                    let late = sent_after(*at + ROLLBACK_LIMIT).len();
                    if late > 0 {
                        errors.push(format!(
                            "{late} requests later than 5 s after its 50th bad answer"
                        ));
                    }
                }
                let within = used.iter().filter(|c| c.at < order.given_at + DURATION);
                let exposed: BTreeSet<&str> = within.map(|c| c.id.as_str()).collect();
                let all = order.reached.len();
                let bound = to_f64(all as u64) * EXPOSURE + EXPOSURE_SLACK;
                if to_f64(exposed.len() as u64) > bound {
                    errors.push(format!(
                        "{} of {all} requests, {bound} allowed",
                        exposed.len()
                    ));
                }
            }
            for error in errors {
                self.add_violation(format!("{text}: {NEW_VERSION} got {error}"));
            }
        }
    }
}
