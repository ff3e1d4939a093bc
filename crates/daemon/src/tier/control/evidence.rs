//! Exchanges evidence against crashing requests with other daemons.
//!
//! News goes out at once, along the same paths as what is read from the store. Datagrams may be lost,
//! so each daemon that has evidence also tells a random other one every [`REPEAT_INTERVAL`], and a few
//! daemons tell one that has just appeared. A repetition is a single datagram, so a daemon's cost does
//! not grow with the deployment.

use {
    super::Control,
    crate::{datagram::send_datagram, tier::meters},
    rand::seq::IteratorRandom,
    rattanturn_core::{
        NodeId, Time, dissemination, membership::State, quarantine::Evidence, rendezvous,
    },
    rattanturn_wire::{Datagram, encode},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    tokio::net::UdpSocket,
};

/// Interval at which a daemon repeats its evidence to one other.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of daemons that tell a new one what they know.
const GREETERS: usize = 3;
/// Most reports in one datagram, which then fits into a packet.
const MAX_REPORTS: usize = 8;

/// What control keeps for the exchange.
#[derive(Debug, Default)]
pub(super) struct EvidenceExchange {
    repeated_at: Time,
    /// Number of reports that the next repetition skips, so that all are repeated in turn.
    skip: usize,
    /// Daemons that were alive at the last check.
    known: BTreeSet<NodeId>,
}

impl Control {
    /// Tells other daemons the news of this one.
    pub(super) async fn send_evidence_news(&mut self, socket: &UdpSocket) {
        let news = self.quarantine.take_news();
        if !news.is_empty() {
            let audience = self.audience(dissemination::reader_audience);
            self.send_evidence(socket, &news, &audience).await;
        }
    }

    /// Takes over evidence of another daemon, and passes on to this data centre what is new and came from
    /// another one.
    pub(super) async fn receive_evidence(
        &mut self,
        socket: &UdpSocket,
        from: NodeId,
        reports: &[Evidence],
    ) {
        let known = self.membership.get(from).is_some();
        if self.quarantine.merge(reports) && known && !self.is_near(from) {
            let audience = self.audience(dissemination::relay_audience);
            self.send_evidence(socket, reports, &audience).await;
        }
    }

    /// Repeats the evidence to a random daemon, and tells those that have just appeared.
    pub(super) async fn repeat_evidence(&mut self, socket: &UdpSocket, now: Time) {
        if now.since(self.evidence.repeated_at) < REPEAT_INTERVAL {
            return;
        }
        self.evidence.repeated_at = now;
        self.quarantine.maintain();
        self.store_evidence();
        let alive: Vec<(NodeId, SocketAddr)> = self
            .membership
            .present()
            .filter(|m| m.record.state == State::Alive)
            .map(|m| (m.record.id, m.record.endpoints.gossip))
            .collect();
        let ids: BTreeSet<NodeId> = alive.iter().map(|(id, _)| *id).collect();
        let before = std::mem::replace(&mut self.evidence.known, ids.clone());
        let reports = self.quarantine.reports();
        if reports.is_empty() {
            return;
        }
        let greets = |new: NodeId| {
            let old = before.iter().copied().filter(|id| ids.contains(id));
            rendezvous::top(old, new.0, GREETERS).contains(&self.me)
        };
        let new = alive
            .iter()
            .filter(|(id, _)| !before.contains(id) && greets(*id));
        let new: Vec<SocketAddr> = new.map(|(_, addr)| *addr).collect();
        self.send_evidence(socket, &reports, &new).await;
        let others = alive.iter().filter(|(id, _)| *id != self.me);
        if let Some((_, addr)) = others.choose(&mut rand::rng()) {
            let start = self.evidence.skip % reports.len();
            self.evidence.skip = start + MAX_REPORTS;
            let end = reports.len().min(start + MAX_REPORTS);
            self.send_evidence(socket, &reports[start..end], &[*addr])
                .await;
        }
    }

    async fn send_evidence(
        &self,
        socket: &UdpSocket,
        reports: &[Evidence],
        audience: &[SocketAddr],
    ) {
        for part in reports.chunks(MAX_REPORTS) {
            let bytes = encode(&Datagram::Evidence(self.me, part.to_vec()));
            for to in audience {
                meters::count_evidence_datagram(bytes.len());
                send_datagram(socket, &bytes, *to).await;
            }
        }
    }
}
