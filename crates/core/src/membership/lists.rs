//! Lists of all members: when a daemon requests one, and how many records it sends in them.

use {
    super::{Envelope, MemberRecord, Membership, Message, MessageKind},
    crate::{NodeId, Time},
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, time::Duration},
};

/// Minimum time between two lists that a daemon requests because digests differ.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// The same during [`JOIN_SYNC_PERIOD`], or if the sender of a message is unknown.
const JOIN_SYNC_INTERVAL: Duration = Duration::from_millis(400);
/// For this long after its first tick, a daemon requests lists more often: when many members start
/// at once, the first lists that it gets are incomplete.
const JOIN_SYNC_PERIOD: Duration = Duration::from_secs(5);
/// Records that a daemon sends in lists each second, about 110 kB: a small VM's link carries 2 MB/s,
/// which callers need as well.
const LIST_RECORDS_PER_SECOND: f64 = 1_500.0;
/// Records that may be saved up for lists: a few lists of a large deployment.
const LIST_RECORDS_BURST: f64 = 500.0;
/// Records that a daemon sends instead of a list once that budget is spent.
const SAMPLE_RECORDS: usize = 4;
/// Maximum number of records in one message of a list.
const RECORDS_PER_SYNC: usize = 12;

/// Limits the records that a daemon sends in lists.
#[derive(Default)]
pub(super) struct ListBudget {
    /// When the budget was last refilled.
    refilled: Time,
    /// Records that may still be sent; negative after a list that was longer than what was left.
    records: f64,
}

impl ListBudget {
    /// Withdraws `count` records if the budget is not spent.
    ///
    /// A list may overdraw it, so that a list longer than a second's budget can be sent at all.
    fn try_withdraw(&mut self, now: Time, count: usize) -> bool {
        let earned = now.since(self.refilled).as_secs_f64() * LIST_RECORDS_PER_SECOND;
        self.records = (self.records + earned).min(LIST_RECORDS_BURST);
        self.refilled = now;
        let allowed = self.records > 0.0;
        if allowed {
            // A list has far fewer than 2^32 records.
            self.records -= f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        }
        allowed
    }
}

impl Membership {
    /// Requests a member's list. A daemon that knows others sends its own list as well.
    pub(super) fn request_list(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Envelope>) {
        let mut request = self.message(MessageKind::Sync(true));
        self.add_own_record(&mut request);
        out.push(Envelope {
            to,
            message: request,
        });
        if self.uptime(now) >= JOIN_SYNC_PERIOD {
            self.send_list(now, to, out);
        }
    }

    /// Whether to request the list of a message's sender.
    ///
    /// A part of a list is no reason to request one: the other parts are on their way.
    pub(super) fn needs_list(&self, now: Time, message: &Message) -> bool {
        let knows_sender = self.members.contains_key(&message.from);
        if matches!(message.kind, MessageKind::Sync(false)) && knows_sender {
            return false;
        }
        if knows_sender && message.digest == self.digest {
            return false;
        }
        let Some(last) = self.last_sync else {
            return true;
        };
        let joins = !knows_sender || self.uptime(now) < JOIN_SYNC_PERIOD;
        let interval = if joins {
            JOIN_SYNC_INTERVAL
        } else {
            SYNC_INTERVAL
        };
        now.since(last) > interval
    }

    /// Adds this daemon's own record to a message for a member that may not know it.
    fn add_own_record(&self, message: &mut Message) {
        if message.records.iter().all(|r| r.id != self.me) {
            message.records.push(self.members[&self.me].record.clone());
        }
    }

    /// Answers the probe `number` of a member that just started, with the full list or, once the
    /// budget for lists is spent, with a few random records.
    pub(super) fn welcome(
        &mut self,
        now: Time,
        to: SocketAddr,
        number: u32,
        out: &mut Vec<Envelope>,
    ) {
        let mut message = self.message(MessageKind::Ack(number));
        self.add_own_record(&mut message);
        let mut list = Vec::new();
        if !self.send_list(now, to, &mut list) {
            let others: Vec<NodeId> = self.others().map(|m| m.record.id).collect();
            let sample = others.sample(&mut self.rng, SAMPLE_RECORDS);
            let records = sample.map(|id| self.members[id].record.clone());
            message.records.extend(records);
        }
        out.push(Envelope { to, message });
        out.append(&mut list);
    }

    /// Adds messages with the full list, unless the budget for lists is spent; whether it did. The
    /// own record comes first, so that the receiver knows the sender.
    pub(super) fn send_list(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Envelope>) -> bool {
        if !self.list_budget.try_withdraw(now, self.members.len()) {
            return false;
        }
        let mine = self.members[&self.me].record.clone();
        let others = self.members.values().filter(|m| m.record.id != self.me);
        let all: Vec<MemberRecord> = std::iter::once(mine)
            .chain(others.map(|m| m.record.clone()))
            .collect();
        for part in all.chunks(RECORDS_PER_SYNC) {
            let mut message = self.message(MessageKind::Sync(false));
            message.records = part.to_vec();
            out.push(Envelope { to, message });
        }
        true
    }
}
