//! Hands a journal to the daemon that is about to hold its share.
//!
//! The journal leaves once the share is closed and nothing runs; from then on this tenure takes
//! no new request. The receiver uses it only if its own tenure directly follows this one.

use {
    super::{DedupOwner, read_outcome, write_outcome},
    crate::{
        clock,
        routing::{LeaseState, Unit},
        traffic::rpc::Peers,
    },
    rattanturn_core::{
        NodeId,
        dedup::{DedupEntry, DedupTable},
        lease::{LeaseTerm, UnitId},
    },
    rattanturn_wire::peer_capnp::{journal, journal_entry},
    std::sync::Arc,
};

impl DedupOwner {
    /// Starts to hand over journals whose shares have moved to other daemons.
    pub(crate) fn tick(&self) {
        let routing = self.routing.load();
        for unit in routing.dedup_units() {
            if let Some(cell) = &unit.lease
                && cell.closing()
                && !cell.handover_started()
                && cell.in_use() == 0
            {
                cell.start_handover();
                self.hand_over(unit, cell.clone());
            }
            self.forward(unit);
        }
    }

    /// Passes on a received journal whose share has moved on before this daemon held it.
    fn forward(&self, unit: &Unit) {
        let Some(to) = unit.destination.filter(|d| !self.calls.is_local(*d)) else {
            return;
        };
        let Some((tenure, journal)) = self.shares.borrow_mut().take_unused(clock::now(), unit.id)
        else {
            return;
        };
        let (id, calls) = (unit.id, self.calls.clone());
        actix_rt::spawn(async move {
            // The holder answers "unknown" without it.
            let _ = send(calls.peers(), to.addr, id, tenure, &journal).await;
        });
    }

    /// Takes a journal from another daemon.
    pub(crate) fn receive(&self, message: journal::Reader<'_>) -> capnp::Result<()> {
        let tenure = LeaseTerm {
            holder: NodeId(message.get_holder()),
            number: message.get_number(),
        };
        let entries: capnp::Result<Vec<(String, DedupEntry)>> =
            message.get_entries()?.iter().map(read_entry).collect();
        let journal = DedupTable::resume(message.get_since(), entries?);
        self.shares
            .borrow_mut()
            .receive(clock::now(), UnitId(message.get_unit()), tenure, journal);
        Ok(())
    }

    fn hand_over(&self, unit: &Unit, cell: Arc<LeaseState>) {
        let (Some(to), Some(tenure)) = (unit.destination, cell.terms().current) else {
            cell.finish_handover();
            return;
        };
        let journal = self
            .shares
            .borrow_mut()
            .open(clock::now(), unit.id, &cell)
            .journal
            .clone();
        let (id, calls) = (unit.id, self.calls.clone());
        actix_rt::spawn(async move {
            if !calls.is_local(to)
                && let Err(error) = send(calls.peers(), to.addr, id, tenure, &journal).await
            {
                tracing::warn!(%error, "a journal was not handed over; repeats get \"unknown\"");
            }
            cell.finish_handover();
        });
    }
}

async fn send(
    peers: &Peers,
    to: std::net::SocketAddr,
    unit: UnitId,
    tenure: LeaseTerm,
    journal: &DedupTable,
) -> eyre::Result<()> {
    let client = peers.client(to).await?;
    let mut request = client.hand_over_request();
    write_journal(request.get().init_journal(), unit, tenure, journal);
    let sent = request.send().promise.await;
    peers.forget_disconnected(to, sent.map(|_| ()))
}

fn write_journal(
    mut out: journal::Builder<'_>,
    unit: UnitId,
    tenure: LeaseTerm,
    journal: &DedupTable,
) {
    out.set_unit(unit.0);
    out.set_holder(tenure.holder.0);
    out.set_number(tenure.number);
    out.set_since(journal.since());
    let entries = journal.entries();
    let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    let mut list = out.init_entries(count);
    for (i, (id, entry)) in (0..count).zip(entries) {
        write_entry(list.reborrow().get(i), id, entry);
    }
}

fn write_entry(mut out: journal_entry::Builder<'_>, id: &str, entry: &DedupEntry) {
    out.set_id(id);
    out.set_issued(entry.issued);
    out.set_digest(entry.digest);
    // Nothing runs at hand-over; an entry without an outcome would be one that got lost.
    let outcome = entry
        .outcome
        .clone()
        .unwrap_or(rattanturn_core::dedup::Outcome::Unknown);
    write_outcome(out.init_result(), &outcome);
}

fn read_entry(m: journal_entry::Reader<'_>) -> capnp::Result<(String, DedupEntry)> {
    let entry = DedupEntry {
        issued: m.get_issued(),
        digest: m.get_digest(),
        outcome: Some(read_outcome(m.get_result()?)?),
    };
    Ok((m.get_id()?.to_str()?.into(), entry))
}
