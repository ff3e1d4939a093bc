//! Exchanges tokens of accounts with other daemons.
//!
//! Questions go out as soon as a request needs a token, and repeat until they are answered; lost
//! datagrams need no other handling. All accounts with the same owner share a datagram.

use {
    super::{Control, DEAD_MEMBER_GRACE},
    crate::{
        clock,
        datagram::send_datagram,
        planted::{WHOLE_LIMIT, is_planted},
        tier::{meters, view::View},
    },
    rattanturn_core::{
        NodeId, Time, addresses,
        allowance::{ASK_AGAIN, Ask, Lent, Limit, Returned, Standing, owner_of},
        catalog::Catalog,
        membership::State,
        quota,
    },
    rattanturn_wire::{Datagram, encode},
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::net::UdpSocket,
};

/// Largest datagram; it then fits into a packet.
const MAX_BYTES: usize = 1_200;
/// Size of a datagram without its list, and of an item without the account's name, with the longest
/// numbers.
const FRAME_BYTES: usize = 64;
const ITEM_BYTES: usize = 140;
/// A daemon that has heard of no other one for this time counts itself as cut off. It is less than
/// others need to choose a new owner and to have it lend.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// What control keeps for the exchange.
#[derive(Debug, Default)]
pub(super) struct QuotaExchange {
    /// When the last datagram of another daemon came in.
    pub(super) heard_at: Time,
    /// When owners are asked again.
    pub(super) ask_at: Option<Time>,
    view: Option<Arc<View>>,
    standing: Standing,
}

impl Control {
    /// Asks owners for tokens, and notes when to ask those again that have not answered by then.
    pub(super) async fn send_asks(&mut self, socket: &UdpSocket) {
        for (owner, asks) in self.quotas.asks() {
            let wrap = |part: &[Ask]| Datagram::Borrow(self.me, part.to_vec());
            self.send_tokens(socket, owner, &asks, |a| a.account.len(), wrap)
                .await;
        }
        let is_open = self.quotas.has_open_asks();
        self.quota_exchange.ask_at = is_open.then(|| clock::now() + ASK_AGAIN);
    }

    /// Answers another daemon's questions.
    pub(super) async fn receive_asks(&self, socket: &UdpSocket, from: NodeId, asks: &[Ask]) {
        let catalog = self.cluster.catalog.clone();
        let answers = self.quotas.answer(from, asks, limits(catalog.as_deref()));
        let wrap = |part: &[Lent]| Datagram::Lent(self.me, part.to_vec());
        self.send_tokens(socket, from, &answers, |l| l.account.len(), wrap)
            .await;
    }

    /// Takes in an owner's answers, and asks for what is missing.
    pub(super) async fn receive_tokens(&mut self, socket: &UdpSocket, answers: &[Lent]) {
        self.quotas.accept(answers);
        self.send_asks(socket).await;
    }

    /// Periodic work on quotas.
    pub(super) async fn update_quotas(&mut self, socket: &UdpSocket, now: Time) {
        let catalog = self.cluster.catalog.clone();
        if catalog.as_ref().is_none_or(|c| c.accounts().is_none()) {
            return;
        }
        let view = self.shared.load_full();
        let standing = self.standing(now);
        let knows_others = standing.alive > 1 || !self.cluster.daemons.is_empty();
        let exchange = &mut self.quota_exchange;
        // A daemon that has just started owns nothing until it has read who is registered or hears a
        // peer: it would take itself for the only one.
        if exchange.view.is_none() && !knows_others {
            return;
        }
        let same = exchange
            .view
            .as_ref()
            .is_some_and(|v| Arc::ptr_eq(v, &view));
        if !same || exchange.standing != standing {
            exchange.standing = standing;
            exchange.view = Some(view.clone());
            let advertised = addresses::advertised(&view.frontends);
            let mut ids: Vec<NodeId> = advertised.iter().map(|f| f.id).collect();
            if is_planted(WHOLE_LIMIT) {
                ids = vec![self.me];
            }
            let recorded: Vec<f64> = self.cluster.daemons.values().copied().collect();
            let own = self.cluster.daemons.get(&self.settings.name).copied();
            let (sharing, calling) = (view.sharing_daemons, view.calling_daemons);
            let part = quota::credit_fraction(sharing, calling, own, &recorded);
            self.quotas.set_daemons(&ids, part, standing);
        }
        self.quotas.tick(limits(catalog.as_deref()));
        self.send_asks(socket).await;
        for (owner, list) in self.quotas.returns() {
            let wrap = |part: &[Returned]| Datagram::Returned(self.me, part.to_vec());
            self.send_tokens(socket, owner, &list, |r| r.account.len(), wrap)
                .await;
        }
    }

    /// How many of the daemons this one reaches.
    fn standing(&self, now: Time) -> Standing {
        let members = self.membership.members();
        let recent = members
            .filter(|m| m.record.state != State::Dead || now.since(m.changed) < DEAD_MEMBER_GRACE);
        let named = recent.map(|m| {
            let name = m.record.endpoints.name.as_str();
            (name, m.record.state == State::Alive)
        });
        let (alive, known) = count_daemons(named);
        let silent = now.since(self.quota_exchange.heard_at) > SILENCE_LIMIT;
        Standing {
            alive: if silent { 1 } else { alive.max(1) },
            registered: known.max(self.cluster.daemons.len()),
        }
    }

    /// The accounts in use, for the state dump.
    pub(super) fn dump_accounts(&self) -> Vec<Value> {
        let view = self.shared.load_full();
        let advertised = addresses::advertised(&view.frontends);
        let ids: Vec<NodeId> = advertised.iter().map(|f| f.id).collect();
        let name = |id: NodeId| {
            let member = self.membership.get(id)?;
            Some(member.record.endpoints.name.clone())
        };
        let owner = |account: &str| owner_of(account, &ids).and_then(name).unwrap_or_default();
        let catalog = self.cluster.catalog.clone();
        self.quotas.dump(limits(catalog.as_deref()), owner)
    }

    /// Sends a list to a daemon, in as many datagrams as it needs.
    async fn send_tokens<T>(
        &self,
        socket: &UdpSocket,
        to: NodeId,
        list: &[T],
        name_len: impl Fn(&T) -> usize,
        wrap: impl Fn(&[T]) -> Datagram,
    ) {
        let Some(member) = self.membership.get(to) else {
            return;
        };
        let addr = member.record.endpoints.gossip;
        let mut rest = list;
        while !rest.is_empty() {
            let mut bytes = FRAME_BYTES;
            let fits = |item: &&T| {
                bytes += ITEM_BYTES + name_len(item);
                bytes <= MAX_BYTES
            };
            let count = rest.iter().take_while(fits).count().max(1);
            let (part, later) = rest.split_at(count);
            rest = later;
            let encoded = encode(&wrap(part));
            meters::count_token_datagram(encoded.len());
            send_datagram(socket, &encoded, addr).await;
        }
    }

    /// Notes that another daemon was heard.
    pub(super) fn note_heard(&mut self) {
        self.quota_exchange.heard_at = clock::now();
    }
}

/// The limits of accounts by name.
fn limits(catalog: Option<&Catalog>) -> impl Fn(&str) -> Option<Limit> {
    move |name| Limit::of(catalog?.accounts()?.get(name)?)
}

/// Numbers of the alive daemons and of all, from the names of members and whether these are alive. A
/// daemon that restarted has a new identity under its old name and counts once: counted twice, daemons
/// that all restarted would be half of themselves and lend from the margin only.
fn count_daemons<'a>(members: impl Iterator<Item = (&'a str, bool)>) -> (usize, usize) {
    let mut names = BTreeMap::new();
    for (name, alive) in members {
        *names.entry(name).or_insert(false) |= alive;
    }
    let alive = names.values().filter(|alive| **alive).count();
    (alive, names.len())
}

#[cfg(test)]
mod tests {
    use super::count_daemons;

    /// Guards against accounts that are refused far below their limits after all daemons restarted.
    #[test]
    fn restarted_daemons_count_once() {
        let before = [("d0", false), ("d1", false), ("d2", false)];
        let after = [("d0", true), ("d1", true), ("d3", false)];
        let members = before.into_iter().chain(after);
        assert_eq!(count_daemons(members), (2, 4));
    }
}
