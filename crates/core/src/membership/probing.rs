//! Direct and indirect probes, suspicion of members that do not answer, and their expiry.

use {
    super::{
        Envelope, Member, MemberRecord, Membership, MessageKind, PROBE_INTERVAL, State,
        message::record_digest,
    },
    crate::{NodeId, Time},
    rand::{RngExt, seq::SliceRandom},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time to wait for the answer to a direct probe before asking others for indirect probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of requests for an indirect probe. Each goes to a member chosen at random, so
/// several may go to the same one.
const INDIRECT_PROBERS: usize = 2;
/// A member is suspected for this many probe intervals times the binary logarithm of the member
/// count before it is declared dead. The logarithm leaves time for the suspicion to reach the
/// member and for its refutation to return.
const SUSPICION_FACTOR: u32 = 2;
/// Dead members are kept this long, so that an old record that arrives late does not revive them.
const DEAD_RETENTION: Duration = Duration::from_hours(1);
/// On average, one probe in this many goes to a dead member, to find out that a partition healed.
const DEAD_PROBE_ONE_IN: u64 = 10;

/// The direct probe whose answer is awaited.
pub(super) struct Probe {
    pub(super) target: NodeId,
    pub(super) number: u32,
    pub(super) sent: Time,
    /// Whether indirect probes were requested.
    pub(super) indirect: bool,
}

/// A probe that this daemon sent for another member.
pub(super) struct RelayedProbe {
    /// Gossip address of the member that asked for it.
    pub(super) origin: SocketAddr,
    /// Number that the asking member gave its probe.
    pub(super) number: u32,
    /// Number of the probe that this daemon sent.
    pub(super) own_number: u32,
    pub(super) sent: Time,
}

impl Membership {
    /// Drops the open probe and restarts the timeouts of suspects: this process could not receive
    /// their answers while it was paused.
    pub(super) fn reset_after_pause(&mut self, now: Time) {
        self.probe = None;
        for member in self.members.values_mut() {
            if member.record.state == State::Suspect {
                member.changed = now;
            }
        }
    }

    /// Probes a seed whose address no present member has. It may have started anew and know only others
    /// that did, while this daemon's group does not probe it.
    pub(super) fn probe_missing_seed(&mut self, out: &mut Vec<Envelope>) {
        let present =
            |seed: &SocketAddr| self.present().any(|m| m.record.endpoints.gossip == *seed);
        let missing: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| !present(s)).collect();
        if self.others().next().is_none() || missing.is_empty() {
            return;
        }
        let seed = missing[self.rng.random_range(0..missing.len())];
        self.last_number += 1;
        // Without pending gossip, which would count as sent although the seed may be gone.
        let message = self.message(MessageKind::Probe(self.last_number));
        out.push(Envelope { to: seed, message });
    }

    /// Probes the next member, or all seeds while no other member is known.
    pub(super) fn start_probe(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(target) = self.next_probe_target() else {
            // A seed that does not know this daemon answers with its list as well.
            self.last_sync = Some(now);
            for seed in self.seeds.clone() {
                self.last_number += 1;
                out.push(self.envelope(seed, MessageKind::Probe(self.last_number)));
            }
            return;
        };
        self.last_number += 1;
        let number = self.last_number;
        let to = self.members[&target].record.endpoints.gossip;
        self.probe = Some(Probe {
            target,
            number,
            sent: now,
            indirect: false,
        });
        let mut envelope = self.envelope(to, MessageKind::Probe(number));
        // A member can only refute its suspicion or death if it learns of it.
        if matches!(
            self.members[&target].record.state,
            State::Suspect | State::Dead
        ) {
            envelope
                .message
                .records
                .push(self.members[&target].record.clone());
        }
        out.push(envelope);
    }

    /// Picks the member to probe: now and then a dead one, else by turns the next in a shuffled round
    /// of the watched members and of all.
    ///
    /// A round visits every member once, which bounds the time until a failed one is probed.
    pub(super) fn next_probe_target(&mut self) -> Option<NodeId> {
        if self.rng.random_range(0..DEAD_PROBE_ONE_IN) == 0 {
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
        self.watched_turn = !self.watched_turn;
        if self.watched_turn
            && let Some(id) = self.next_watched()
        {
            return Some(id);
        }
        if let Some(id) = next_present(&mut self.probe_order, &self.members) {
            return Some(id);
        }
        let mut round: Vec<NodeId> = self.others().map(|m| m.record.id).collect();
        round.shuffle(&mut self.rng);
        self.probe_order = round.into();
        self.probe_order.pop_front()
    }

    /// The next watched member to probe. One that is already suspected is left to the round of all.
    fn next_watched(&mut self) -> Option<NodeId> {
        if let Some(id) = next_present(&mut self.watched_order, &self.members) {
            return Some(id);
        }
        let alive = |id: &NodeId| {
            let member = self.members.get(id);
            *id != self.me && member.is_some_and(|m| m.record.state == State::Alive)
        };
        let mut round: Vec<NodeId> = self.watched.iter().copied().filter(alive).collect();
        round.shuffle(&mut self.rng);
        self.watched_order = round.into();
        self.watched_order.pop_front()
    }

    /// Asks other members to probe the target once the direct probe timed out.
    pub(super) fn request_indirect_probes(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.indirect || now.since(probe.sent) < PROBE_TIMEOUT {
            return;
        }
        probe.indirect = true;
        let (target, number) = (probe.target, probe.number);
        let probers: Vec<SocketAddr> = self
            .others()
            .filter(|m| m.record.id != target && m.record.state != State::Suspect)
            .map(|m| m.record.endpoints.gossip)
            .collect();
        for _ in 0..INDIRECT_PROBERS.min(probers.len()) {
            let to = probers[self.rng.random_range(0..probers.len())];
            out.push(self.envelope(to, MessageKind::Indirect(number, target)));
        }
    }

    /// Suspects the target of the open probe: an answer, direct or relayed, would have closed it.
    pub(super) fn suspect_unanswered(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        if matches!(member.record.state, State::Alive | State::Leaving) {
            let mut record = member.record.clone();
            record.state = State::Suspect;
            self.store_and_gossip(now, record);
        }
    }

    /// Declares suspects dead that did not refute in time, and forgets those that died long ago.
    pub(super) fn expire_members(&mut self, now: Time) {
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let timeout = PROBE_INTERVAL * SUSPICION_FACTOR * (count.max(2).ilog2() + 1);
        let expired: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|m| m.record.state == State::Suspect && now.since(m.changed) > timeout)
            .map(|m| m.record.clone())
            .collect();
        for mut record in expired {
            record.state = State::Dead;
            self.store_and_gossip(now, record);
        }
        let gone: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.record.state == State::Dead && now.since(m.changed) > DEAD_RETENTION)
            .map(|m| m.record.id)
            .collect();
        for id in gone {
            if let Some(member) = self.members.remove(&id) {
                self.digest ^= record_digest(&member.record);
            }
        }
    }

    /// Passes the answer to a relayed probe on, and closes the open probe that it answers.
    pub(super) fn handle_ack(&mut self, number: u32, out: &mut Vec<Envelope>) {
        if let Some(i) = self.relays.iter().position(|r| r.own_number == number) {
            let relay = self.relays.swap_remove(i);
            out.push(self.envelope(relay.origin, MessageKind::Ack(relay.number)));
        }
        if self.probe.as_ref().is_none_or(|p| p.number != number) {
            return;
        }
        self.probe = None;
    }

    /// Probes `id` for the member at `origin`, which numbered its own probe `number`.
    pub(super) fn relay_probe(
        &mut self,
        now: Time,
        origin: SocketAddr,
        number: u32,
        id: NodeId,
        out: &mut Vec<Envelope>,
    ) {
        let Some(to) = self.members.get(&id).map(|m| m.record.endpoints.gossip) else {
            return;
        };
        self.last_number += 1;
        self.relays.push(RelayedProbe {
            origin,
            number,
            own_number: self.last_number,
            sent: now,
        });
        out.push(self.envelope(to, MessageKind::Probe(self.last_number)));
    }
}

/// Takes the next member that is not dead from a round.
fn next_present(
    order: &mut VecDeque<NodeId>,
    members: &BTreeMap<NodeId, Member>,
) -> Option<NodeId> {
    while let Some(id) = order.pop_front() {
        if members
            .get(&id)
            .is_some_and(|m| m.record.state != State::Dead)
        {
            return Some(id);
        }
    }
    None
}
