//! Whether a request may run, and the trials of requests that targets have ended under.

use {
    super::{Query, RequestSummary},
    crate::{
        clock,
        tier::{
            ending::Stage,
            meters,
            quarantine::TrialPermit,
            request::{RETRY_AFTER, Reply},
            upstream::Upstream,
        },
    },
    rattanturn_core::{
        addresses,
        catalog::{Destination, Gather},
        fingerprint::Fingerprint,
        quarantine::{Recall, Verdict, is_turn_of, trial_target},
    },
    rattanturn_platform::http::request_id,
    std::{future, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Interval of checking whether a request that no target may be risked for can run.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the targets of a service must accept a connection before one of them gets a trial.
/// Other daemons may have seen some of them end.
const TRIAL_PROBE_TIME: Duration = Duration::from_millis(50);

/// Whether a request may run.
pub(super) enum Admission<'a> {
    Run,
    /// With a single call to this target, while no other copy is on trial. `None` if this daemon
    /// reaches no target at all.
    Trial(TrialPermit<'a>, Option<TrialPlace>),
    /// Not before this time has passed.
    Refuse(Duration),
}

/// How a request runs.
pub(super) enum Mode {
    /// At all its services.
    All,
    /// At all its services once one target has answered it.
    Trial(Option<TrialPlace>),
}

/// Target of a trial.
#[derive(Debug)]
pub(super) struct TrialPlace {
    service: String,
    /// Index of the target's upstream.
    target: usize,
}

/// A usable target that a trial may go to.
struct Candidate {
    place: TrialPlace,
    id: String,
    upstream: Rc<Upstream>,
}

impl Query<'_> {
    /// Decides whether the request may run. Waits while another copy of it is on trial, and while it is
    /// suspected and a trial would go to the last usable target of a service.
    pub(super) async fn admit(&self) -> Admission<'_> {
        let quarantine = &self.traffic.quarantine;
        if !quarantine.is_active() {
            return Admission::Run;
        }
        let request = self.call().fingerprint();
        loop {
            match quarantine.verdict(request) {
                Verdict::Clear => return Admission::Run,
                Verdict::Refuse { wait } => return Admission::Refuse(wait),
                Verdict::TrialDue { turn, wait } if !self.has_turn(request, turn) => {
                    return Admission::Refuse(wait);
                }
                Verdict::Trial | Verdict::TrialDue { .. } => {}
            }
            let left = self.deadline.since(clock::now());
            match timeout(left, self.traffic.trials.start_or_wait(request)).await {
                Ok(Some(permit)) => {
                    let mut candidates = self.candidates();
                    if candidates.iter().all(Vec::is_empty) {
                        return Admission::Trial(permit, None);
                    }
                    let place = self.choose_target(request, &mut candidates).await;
                    if place.is_some() {
                        return Admission::Trial(permit, place);
                    }
                }
                Ok(None) => continue,
                Err(_) => return Admission::Refuse(RETRY_AFTER),
            }
            if left <= TRIAL_CHECK_INTERVAL {
                return Admission::Refuse(RETRY_AFTER);
            }
            actix_rt::time::sleep(TRIAL_CHECK_INTERVAL).await;
        }
    }

    /// Completes when the open calls of the request are to be stopped, which is done by dropping them: it
    /// has become suspected. Never completes for a request that must not run twice, and only once.
    pub(super) async fn recalled(&self) {
        if !self.route.idempotent || self.recalled.get() {
            return future::pending().await;
        }
        loop {
            self.traffic.evidence.notified().await;
            let request = self.call().fingerprint();
            while let Recall::Wait(time) = self.traffic.quarantine.recall(request) {
                actix_rt::time::sleep(time).await;
            }
            if self.traffic.quarantine.recall(request) == Recall::Stop {
                tracing::info!(
                    request = request_id(self.incoming.head()).unwrap_or(""),
                    fingerprint = %request,
                    "stopped the open calls of a request that targets ended under"
                );
                meters::count_recall();
                self.recalled.set(true);
                return;
            }
        }
    }

    /// Refuses to run a stopped request again if the budgets of its services allow no further calls, or
    /// if its caller may have left.
    pub(super) fn refuse_rerun(&self, admission: &Admission) -> Option<(Reply, RequestSummary)> {
        if !self.recalled.get() || matches!(admission, Admission::Refuse(_)) {
            return None;
        }
        if self.incoming.ending.stage() > Stage::Running {
            return Some(self.after_recall(Self::quarantined(RETRY_AFTER)));
        }
        let mut budgets = self.traffic.budgets.borrow_mut();
        let services = self.services().into_iter();
        let refused = services
            .filter(|s| {
                let pair = budgets.pair(self.traffic.budget_index(s));
                !pair.try_withdraw_retry()
            })
            .count();
        (refused > 0).then(|| self.after_recall(Self::quarantined(RETRY_AFTER)))
    }

    /// The answer to a request whose calls may have been stopped: these may have run.
    pub(super) fn after_recall(&self, done: (Reply, RequestSummary)) -> (Reply, RequestSummary) {
        let (answer, summary) = done;
        if answer.status == 503 && self.recalled.get() {
            let text = "targets crashed while they ran this request\n";
            return (Reply::text(502, text), summary);
        }
        (answer, summary)
    }

    /// Whether it is this daemon's turn to try a quarantined request.
    fn has_turn(&self, request: Fingerprint, turn: u64) -> bool {
        let daemons = addresses::advertised(&self.view.frontends);
        is_turn_of(self.view.me, daemons.iter().map(|f| f.id), request, turn)
    }

    /// The usable targets of each service that the request may be sent to.
    fn candidates(&self) -> Vec<Vec<Candidate>> {
        let now = clock::now();
        let of_service = |service: &String| -> Vec<Candidate> {
            let targets = self.traffic.common_targets(now, service);
            let candidates = targets.into_iter().filter_map(|target| {
                let upstream = self.traffic.upstream(target)?;
                let id = upstream.target.borrow().id.clone();
                let service = service.clone();
                upstream.is_available().then_some(Candidate {
                    place: TrialPlace { service, target },
                    id,
                    upstream,
                })
            });
            candidates.collect()
        };
        self.services().into_iter().map(of_service).collect()
    }

    /// All services that the request may be sent to.
    fn services(&self) -> Vec<&String> {
        match &self.route.destination {
            Destination::Single(service) => vec![service],
            Destination::Split(shares) => shares.iter().map(|s| &s.service).collect(),
            Destination::Gather(gather) => gather.services.iter().collect(),
            Destination::Unknown => Vec::new(),
        }
    }

    /// Chooses the target of a trial out of services whose targets all accept connections.
    async fn choose_target(
        &self,
        request: Fingerprint,
        services: &mut [Vec<Candidate>],
    ) -> Option<TrialPlace> {
        let suspects = self.traffic.quarantine.suspects();
        let lone_allowed = self.traffic.quarantine.may_try_lone_target(request);
        loop {
            let ids = services.iter().map(|s| s.iter().map(|c| &*c.id).collect());
            let ids: Vec<Vec<&str>> = ids.collect();
            let chosen = trial_target(request, &suspects, &ids, lone_allowed)?.to_owned();
            let service = services
                .iter_mut()
                .find(|s| s.iter().any(|c| c.id == chosen))?;
            let probes = service
                .iter()
                .map(|c| c.upstream.accepts_connection(TRIAL_PROBE_TIME));
            let mut accepts = futures::future::join_all(probes).await.into_iter();
            let before = service.len();
            service.retain(|candidate| {
                let accepts = accepts.next().unwrap_or(false);
                if !accepts {
                    candidate.upstream.mark_down();
                }
                accepts
            });
            if service.len() == before {
                let at = service.iter().position(|c| c.id == chosen)?;
                return Some(service.swap_remove(at).place);
            }
        }
    }

    /// Runs the request at the target of a trial, and at all shards of a gather route if that succeeds.
    pub(super) async fn run_trial(&self, place: Option<&TrialPlace>) -> (Reply, RequestSummary) {
        let Some(place) = place else {
            return Self::unreachable();
        };
        match &self.route.destination {
            Destination::Gather(gather) => self.gather_after_trial(gather, place).await,
            _ => self.single(&place.service, Some(place.target)).await,
        }
    }

    async fn gather_after_trial(
        &self,
        gather: &Gather,
        place: &TrialPlace,
    ) -> (Reply, RequestSummary) {
        if let Some(refusal) = self.refusal(&gather.services, gather.min_shards()) {
            return refusal;
        }
        let (answer, summary) = self.single(&place.service, Some(place.target)).await;
        if (200..300).contains(&answer.status) {
            let (answer, summary) = self.gather(gather).await;
            // The trial ran, so the answer must not say otherwise.
            let out = match answer.status {
                503 => Reply::text(502, "only one shard could take the request\n"),
                _ => answer,
            };
            return (out, summary);
        }
        // What the shard answered is not an answer to the whole request.
        let out = match answer.status {
            503 => answer,
            504 => Reply::text(504, "too few shards answered in time\n"),
            _ => Reply::text(502, "a shard's answer was lost\n"),
        };
        (out, summary)
    }
}
