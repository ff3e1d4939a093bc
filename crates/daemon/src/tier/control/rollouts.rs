//! Decides on roll-outs and exchanges the evidence that the decisions need.
//!
//! The first daemons of the reading order get the evidence of all. Those of them that read the store
//! decide; each writes under the condition that the object did not change, so they need no leader. A
//! write without an answer is settled by the next read.

use {
    super::Control,
    crate::{
        clock,
        datagram::send_datagram,
        tier::{known_rollouts::KnownOrder, rollouts::since_ms, sources::StoreEvent},
    },
    rattanturn_core::{
        NodeId, Time, membership, readers,
        rollout::{self, Evidence, Limits, Rollout, Situation, State, Status, Verdict, verdict},
    },
    rattanturn_platform::{
        Changes, Event, Object, Store, StoreError,
        entries::{ROLLOUTS, encode_status},
    },
    rattanturn_wire::{Datagram, MAX_ROLLOUT_BYTES, encode},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::mpsc::UnboundedSender},
};

/// Interval of deciding about the running orders.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of sending evidence while it changes.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval of sending evidence after a bad answer.
const BAD_EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of daemons that get evidence and may decide: the primary readers and one that reads in
/// their place.
const DECIDERS: usize = 3;
/// Time after which a write that did not change the object is tried again; its call takes at most
/// 0.8 s.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// What control keeps for roll-outs.
#[derive(Debug, Default)]
pub(super) struct RolloutControl {
    decided_at: Time,
    sent_at: Time,
    /// Revision that the last write for each service was based on, and its time.
    writes: BTreeMap<String, (u64, Time)>,
    /// Orders for services that are not configured, by name and revision, that were logged.
    warned: BTreeSet<(String, u64)>,
}

impl Control {
    /// Sends evidence and decides, where it is due.
    pub(super) async fn tick_rollouts(&mut self, socket: &UdpSocket, now: Time) {
        if self.tier.rollouts.is_none() {
            return;
        }
        self.send_rollout_evidence(socket, now).await;
        if now.since(self.rollouts.decided_at) >= DECISION_INTERVAL {
            self.rollouts.decided_at = now;
            let orders = self.cluster.rollouts.orders();
            self.shared_rollouts.retain(|s| orders.contains_key(s));
            self.decide_rollouts(now);
        }
    }

    /// Takes over evidence on the orders that are known here.
    pub(super) fn receive_rollout_evidence(&self, from: NodeId, parts: &[Evidence]) {
        let now = clock::now();
        for part in parts {
            let order = self.cluster.rollouts.orders().get(&part.service);
            if let Some(order) = order.filter(|o| is_about(part, &o.current)) {
                self.shared_rollouts.merge(now, from, &order.current, part);
            }
        }
    }

    async fn send_rollout_evidence(&mut self, socket: &UdpSocket, now: Time) {
        let (changed, bad) = self.shared_rollouts.news();
        let interval = if bad {
            BAD_EVIDENCE_INTERVAL
        } else {
            EVIDENCE_INTERVAL
        };
        if !changed || now.since(self.rollouts.sent_at) < interval {
            return;
        }
        self.rollouts.sent_at = now;
        let deciders = self.deciders();
        for evidence in self.shared_rollouts.take_news(self.me) {
            for part in evidence.split(MAX_ROLLOUT_BYTES) {
                let bytes = encode(&Datagram::Rollouts(self.me, vec![part]));
                for to in &deciders {
                    send_datagram(socket, &bytes, *to).await;
                }
            }
        }
    }

    /// Addresses of the daemons that get evidence, without this one.
    fn deciders(&self) -> Vec<SocketAddr> {
        let order = readers::reading_ranks(&self.frontends());
        let others = order.into_iter().take(DECIDERS).filter(|id| *id != self.me);
        let members = others.filter_map(|id: NodeId| self.membership.get(id));
        members.map(|m| m.record.endpoints.gossip).collect()
    }

    fn decide_rollouts(&mut self, now: Time) {
        if self.reader_context.rank >= DECIDERS || self.read_session.is_none() {
            return;
        }
        let mut writes = Vec::new();
        let mut unknown = Vec::new();
        for (service, order) in self.cluster.rollouts.orders() {
            let Some(catalog) = &self.cluster.catalog else {
                return;
            };
            if catalog.service(service).is_none() {
                unknown.push((service.clone(), order.read.revision));
                continue;
            }
            let last = self.rollouts.writes.get(service);
            let pending = |(revision, at): &(u64, Time)| {
                *revision == order.read.revision && now.since(*at) < WRITE_RETRY
            };
            if last.is_some_and(pending) {
                continue;
            }
            if let Some(status) = self.next_status(now, order) {
                writes.push((service.clone(), order.read.revision, status));
            }
        }
        self.warn_unknown(unknown);
        for (service, revision, status) in writes {
            self.write_status(now, &service, revision, &status);
        }
    }

    fn next_status(&self, now: Time, order: &KnownOrder) -> Option<Status> {
        let evidence = self.shared_rollouts.evidence(&order.read);
        let (old_slots, new_slots) = self.slots(&order.read);
        let read = self.cluster.own_reads.get(ROLLOUTS).copied();
        let is_alive = |id| {
            let member = self.membership.get(id);
            member.is_some_and(|m| m.record.state == membership::State::Alive)
        };
        let unheard = self.shared_rollouts.silent(now, &order.read, is_alive);
        rollout::next(&Situation {
            now_ms: clock::unix_ms(),
            seen_for: now.since(order.first_seen),
            from_start: order.from_start,
            silent: now.since(read?).max(unheard),
            rollout: &order.read,
            known: order.known_final.as_ref(),
            evidence: &evidence,
            old_slots,
            new_slots,
            limits: self.limits()?,
        })
    }

    fn limits(&self) -> Option<Limits> {
        let settings = self.tier.rollouts?;
        Some(Limits {
            exposure: settings.exposure,
            slack: settings.slack,
            rollback: settings.rollback_limit,
            evacuation: self.tier.evacuation_limit,
        })
    }

    /// Slots of the usable targets of the old versions and of the new one.
    fn slots(&self, rollout: &Rollout) -> (u32, u32) {
        let order = &rollout.order;
        let (mut old, mut new) = (0_u32, 0_u32);
        let targets = self.cluster.targets.targets().filter(|t| {
            t.service == order.service
                && !t.leaving
                && !self.cluster.evacuations.contains(&t.centre)
        });
        for target in targets {
            if target.version == order.version {
                new = new.saturating_add(target.slots);
            } else if self
                .cluster
                .rollouts
                .allows(&target.service, &target.version)
            {
                old = old.saturating_add(target.slots);
            }
        }
        (old, new)
    }

    /// Warns once of orders for services that are not configured.
    fn warn_unknown(&mut self, unknown: Vec<(String, u64)>) {
        let unknown: BTreeSet<(String, u64)> = unknown.into_iter().collect();
        for (name, _) in unknown.difference(&self.rollouts.warned) {
            tracing::warn!(
                kind = ROLLOUTS,
                %name,
                field = "service",
                problem = "is not configured",
                "ignored an order"
            );
        }
        self.rollouts.warned = unknown;
    }

    fn write_status(&mut self, now: Time, service: &str, revision: u64, status: &Status) {
        self.rollouts.writes.insert(service.into(), (revision, now));
        let known = self.cluster.rollouts.objects().find(|o| o.name == service);
        let Some(object) = known.cloned() else {
            return;
        };
        let object = Object {
            status: encode_status(status),
            ..object
        };
        let (store, events) = (self.store.clone(), self.store_events.clone());
        actix_rt::spawn(write(store, revision, object, events));
    }

    /// The roll-outs for the state dump.
    pub(super) fn rollouts_dump(&self) -> Vec<Value> {
        let orders = self.cluster.rollouts.orders();
        orders.values().map(|o| self.rollout_dump(o)).collect()
    }

    fn rollout_dump(&self, order: &KnownOrder) -> Value {
        let rollout = &order.current;
        let evidence = self.shared_rollouts.evidence(rollout);
        let (old, new) = evidence.totals();
        let (old_slots, new_slots) = self.slots(rollout);
        let (state, share) = match rollout.current_state() {
            None => ("ordered", 0.0),
            Some(State::Running { share }) => ("running", share),
            Some(State::Done) => ("done", 1.0),
            Some(State::Reverted) => ("reverted", 0.0),
        };
        let verdict = match verdict(&evidence) {
            Verdict::Open => "open".to_owned(),
            Verdict::Good => "good".to_owned(),
            Verdict::Bad { route } => format!("bad on {route}"),
        };
        json!({
            "service": rollout.order.service,
            "version": rollout.order.version,
            "state": state,
            "share": share,
            "reason": rollout.status.as_ref().map(|s| &s.reason),
            "since_ms": since_ms(rollout),
            "step_ms": rollout.status.as_ref().map(|s| s.step_ms),
            "duration_s": rollout.order.duration.as_secs_f64(),
            "verdict": verdict,
            "old": {"answers": old.answers, "bad": old.bad(), "slots": old_slots},
            "new": {"answers": new.answers, "bad": new.bad(), "slots": new_slots},
        })
    }
}

/// Whether evidence is about this order.
fn is_about(evidence: &Evidence, rollout: &Rollout) -> bool {
    evidence.version == rollout.order.version && evidence.since_ms == since_ms(rollout)
}

/// Writes a status and reports the object as it is then, if the store tells it.
async fn write(store: Store, revision: u64, object: Object, events: UnboundedSender<StoreEvent>) {
    let written = store.write_status(ROLLOUTS, &object.name, revision, &object.status);
    let present = match written.await {
        Ok(0) => return,
        Ok(revision) => Object { revision, ..object },
        Err(StoreError::Conflict(Some(present))) => *present,
        Err(error) => {
            tracing::info!(%error, service = %object.name, "cannot write the status of a roll-out");
            return;
        }
    };
    let event = Event {
        object: present,
        removed: false,
    };
    let changes = Changes {
        events: vec![event],
        ..Changes::default()
    };
    // Sending fails only if the control thread has ended.
    let _ = events.send(StoreEvent::Changed(ROLLOUTS, changes));
}
