//! Probes: whom to ask, whom to ask for help, and when a silent member counts as dead.

use {
    super::{
        Envelope, MemberRecord, Membership, MessageKind, PROBE_INTERVAL, State,
        message::record_digest,
    },
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
    pub(super) fn reset_after_pause(&mut self, now: Time) {
        self.probe = None;
        for member in self.members.values_mut() {
            if member.record.state == State::Suspect {
                member.changed = now;
            }
        }
    }

    pub(super) fn start_probe(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(target) = self.next_target() else {
            for seed in self.seeds.clone() {
                self.number += 1;
                out.push(self.send(seed, MessageKind::Probe(self.number)));
            }
            return;
        };
        self.number += 1;
        let number = self.number;
        let to = self.members[&target].record.endpoints.gossip;
        self.probe = Some(Probe {
            target,
            number,
            sent: now,
            helped: false,
        });
        let mut send = self.send(to, MessageKind::Probe(number));
        // The accused must hear the accusation to refute it.
        if matches!(
            self.members[&target].record.state,
            State::Suspect | State::Dead
        ) {
            send.message
                .records
                .push(self.members[&target].record.clone());
        }
        out.push(send);
    }

    pub(super) fn next_target(&mut self) -> Option<NodeId> {
        if self.rng.random_range(0..DEAD_PROBE) == 0 {
            let dead: Vec<NodeId> = self
                .members
                .values()
                .filter(|m| m.record.state == State::Dead)
                .map(|m| m.record.id)
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
                .is_some_and(|m| m.record.state != State::Dead)
            {
                return Some(id);
            }
        }
        let mut round: Vec<NodeId> = self.others().map(|m| m.record.id).collect();
        round.shuffle(&mut self.rng);
        self.order = round.into();
        self.order.pop_front()
    }

    pub(super) fn ask_helpers(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.helped || now.since(probe.sent) < PROBE_TIMEOUT {
            return;
        }
        probe.helped = true;
        let (target, number) = (probe.target, probe.number);
        let helpers: Vec<SocketAddr> = self
            .others()
            .filter(|m| m.record.id != target && m.record.state != State::Suspect)
            .map(|m| m.record.endpoints.gossip)
            .collect();
        for _ in 0..HELPERS.min(helpers.len()) {
            let to = helpers[self.rng.random_range(0..helpers.len())];
            out.push(self.send(to, MessageKind::Indirect(number, target)));
        }
    }

    pub(super) fn fail_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if matches!(member.record.state, State::Alive | State::Leaving) {
            let mut record = member.record.clone();
            record.state = State::Suspect;
            self.set(now, record);
        }
    }

    /// Declares suspects dead that did not refute, and forgets the long dead.
    pub(super) fn expire_members(&mut self, now: Time) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let patience = PROBE_INTERVAL * SUSPICION_INTERVALS * (count.max(2).ilog2() + 1);
        let expired: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|m| m.record.state == State::Suspect && now.since(m.changed) > patience)
            .map(|m| m.record.clone())
            .collect();
        for mut record in expired {
            record.state = State::Dead;
            self.set(now, record);
        }
        let gone: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.record.state == State::Dead && now.since(m.changed) > KEEP_DEAD)
            .map(|m| m.record.id)
            .collect();
        for id in gone {
            if let Some(member) = self.members.remove(&id) {
                self.digest ^= record_digest(&member.record);
            }
        }
    }

    pub(super) fn acked(&mut self, number: u32, out: &mut Vec<Envelope>) {
        if let Some(i) = self.relays.iter().position(|r| r.mine == number) {
            let relay = self.relays.swap_remove(i);
            out.push(self.send(relay.asker, MessageKind::Ack(relay.number)));
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
        out: &mut Vec<Envelope>,
    ) {
        let Some(to) = self.members.get(&id).map(|m| m.record.endpoints.gossip) else {
            return;
        };
        self.number += 1;
        self.relays.push(Relay {
            asker,
            number,
            mine: self.number,
            sent: now,
        });
        out.push(self.send(to, MessageKind::Probe(self.number)));
    }
}
