//! Probes: whom to ask, whom to ask for help, and when a silent member counts as dead.

use {
    super::{Fact, Membership, PROBE_INTERVAL, Purpose, Send, State, message::fact_digest},
    crate::{NodeId, Time},
    rand::{RngExt, seq::SliceRandom},
    std::{net::SocketAddr, time::Duration},
};

/// Time a direct probe may take before others are asked.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Members asked to probe on behalf.
const HELPERS: usize = 2;
/// Suspicion lasts this many intervals, times the logarithm of the member count.
const SUSPICION_INTERVALS: u32 = 2;
/// Dead members are kept this long, to refuse late news of them.
const KEEP_DEAD: Duration = Duration::from_hours(1);
/// One probe in this many goes to a dead member, to find healed partitions.
const DEAD_PROBE: u64 = 10;

pub(super) struct Probe {
    pub(super) target: NodeId,
    pub(super) number: u32,
    pub(super) sent: Time,
    pub(super) helped: bool,
}

pub(super) struct Relay {
    pub(super) asker: SocketAddr,
    pub(super) number: u32,
    pub(super) mine: u32,
    pub(super) sent: Time,
}

impl Membership {
    /// Drops what this process could not have heard while it was paused.
    pub(super) fn forgive(&mut self, now: Time) {
        self.probe = None;
        for member in self.members.values_mut() {
            if member.fact.state == State::Suspect {
                member.changed = now;
            }
        }
    }

    pub(super) fn start_probe(&mut self, now: Time, out: &mut Vec<Send>) {
        let Some(target) = self.next_target() else {
            for seed in self.seeds.clone() {
                self.number += 1;
                out.push(self.send(seed, Purpose::Probe(self.number)));
            }
            return;
        };
        self.number += 1;
        let number = self.number;
        let to = self.members[&target].fact.place.gossip;
        self.probe = Some(Probe {
            target,
            number,
            sent: now,
            helped: false,
        });
        let mut send = self.send(to, Purpose::Probe(number));
        // The accused must hear the accusation to refute it.
        if matches!(
            self.members[&target].fact.state,
            State::Suspect | State::Dead
        ) {
            send.message.facts.push(self.members[&target].fact.clone());
        }
        out.push(send);
    }

    pub(super) fn next_target(&mut self) -> Option<NodeId> {
        if self.rng.random_range(0..DEAD_PROBE) == 0 {
            let dead: Vec<NodeId> = self
                .members
                .values()
                .filter(|m| m.fact.state == State::Dead)
                .map(|m| m.fact.id)
                .collect();
            if !dead.is_empty() {
                return Some(dead[self.rng.random_range(0..dead.len())]);
            }
        }
        for _ in 0..=self.order.len() {
            let Some(id) = self.order.pop_front() else {
                break;
            };
            if self
                .members
                .get(&id)
                .is_some_and(|m| m.fact.state != State::Dead)
            {
                return Some(id);
            }
        }
        let mut round: Vec<NodeId> = self.others().map(|m| m.fact.id).collect();
        round.shuffle(&mut self.rng);
        self.order = round.into();
        self.order.pop_front()
    }

    pub(super) fn ask_helpers(&mut self, now: Time, out: &mut Vec<Send>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.helped || now.since(probe.sent) < PROBE_TIMEOUT {
            return;
        }
        probe.helped = true;
        let (target, number) = (probe.target, probe.number);
        let helpers: Vec<SocketAddr> = self
            .others()
            .filter(|m| m.fact.id != target && m.fact.state != State::Suspect)
            .map(|m| m.fact.place.gossip)
            .collect();
        for _ in 0..HELPERS.min(helpers.len()) {
            let to = helpers[self.rng.random_range(0..helpers.len())];
            out.push(self.send(to, Purpose::Indirect(number, target)));
        }
    }

    pub(super) fn fail_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if matches!(member.fact.state, State::Alive | State::Leaving) {
            let mut fact = member.fact.clone();
            fact.state = State::Suspect;
            self.set(now, fact);
        }
    }

    /// Declares suspects dead that did not refute, and forgets the long dead.
    pub(super) fn bury(&mut self, now: Time) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let patience = PROBE_INTERVAL * SUSPICION_INTERVALS * (count.max(2).ilog2() + 1);
        let expired: Vec<Fact> = self
            .members
            .values()
            .filter(|m| m.fact.state == State::Suspect && now.since(m.changed) > patience)
            .map(|m| m.fact.clone())
            .collect();
        for mut fact in expired {
            fact.state = State::Dead;
            self.set(now, fact);
        }
        let gone: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.fact.state == State::Dead && now.since(m.changed) > KEEP_DEAD)
            .map(|m| m.fact.id)
            .collect();
        for id in gone {
            if let Some(member) = self.members.remove(&id) {
                self.digest ^= fact_digest(&member.fact);
            }
        }
    }

    pub(super) fn acked(&mut self, number: u32, out: &mut Vec<Send>) {
        if let Some(i) = self.relays.iter().position(|r| r.mine == number) {
            let relay = self.relays.swap_remove(i);
            out.push(self.send(relay.asker, Purpose::Ack(relay.number)));
        }
        if self.probe.as_ref().is_none_or(|p| p.number != number) {
            return;
        }
        self.probe = None;
    }

    pub(super) fn relay(
        &mut self,
        now: Time,
        asker: SocketAddr,
        number: u32,
        id: NodeId,
        out: &mut Vec<Send>,
    ) {
        let Some(to) = self.members.get(&id).map(|m| m.fact.place.gossip) else {
            return;
        };
        self.number += 1;
        self.relays.push(Relay {
            asker,
            number,
            mine: self.number,
            sent: now,
        });
        out.push(self.send(to, Purpose::Probe(self.number)));
    }
}
