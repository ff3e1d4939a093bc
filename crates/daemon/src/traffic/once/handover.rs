//! Hands the deduplication table of a partition to the partition's next owner.
//!
//! The table is sent once the lease is closing and no request runs; from then on no request starts
//! in this lease term. The receiver uses the table only if its own term directly follows this one.
//! Handing over is best effort: without the table, the next owner answers "unknown" to retries of
//! requests that were issued before its term.

use {
    super::{DedupOwner, read_outcome, write_outcome},
    crate::{
        clock,
        routing::{LeaseState, Unit},
        traffic::rpc,
    },
    rattanturn_core::{
        NodeId,
        dedup::{DedupEntry, DedupTable},
        lease::{LeaseTerm, UnitId},
    },
    rattanturn_wire::peer_capnp::{journal, journal_entry},
    std::{sync::Arc, time::Duration},
};

/// Timeout of sending a table. Until it is sent, the lease is not released, and nobody runs the
/// partition's requests.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

impl DedupOwner {
    /// Starts to hand over the tables of partitions that other daemons should own, and forwards
    /// tables that arrived here for another owner.
    pub(crate) fn tick(&self) {
        let routing = self.routing.load();
        for unit in routing.dedup_units() {
            if let Some(lease) = &unit.lease
                && lease.closing()
                && !lease.handover_started()
                && lease.in_use() == 0
            {
                lease.start_handover();
                self.hand_over(unit, lease.clone());
            }
            self.forward(unit);
        }
    }

    /// Forwards a table that was handed over to this daemon, if the partition has gone to yet
    /// another daemon in the meantime.
    fn forward(&self, unit: &Unit) {
        let Some(to) = unit.destination.filter(|d| !self.calls.is_local(*d)) else {
            return;
        };
        let Some((term, table)) = self
            .partitions
            .borrow_mut()
            .take_unused(clock::now(), unit.id)
        else {
            return;
        };
        let id = unit.id;
        actix_rt::spawn(async move {
            // If this fails, the owner has no table and answers "unknown" to retries.
            let _ = send(to.addr, id, term, &table).await;
        });
    }

    /// Takes a table that another daemon hands over.
    ///
    /// # Errors
    ///
    /// The message is malformed; the table is then dropped.
    pub(crate) fn receive(&self, message: journal::Reader<'_>) -> capnp::Result<()> {
        let term = LeaseTerm {
            holder: NodeId(message.get_holder()),
            number: message.get_number(),
        };
        let entries: capnp::Result<Vec<(String, DedupEntry)>> =
            message.get_entries()?.iter().map(read_entry).collect();
        let table = DedupTable::resume(message.get_since(), entries?);
        self.partitions
            .borrow_mut()
            .receive(clock::now(), UnitId(message.get_unit()), term, table);
        Ok(())
    }

    /// Sends a partition's table to its next owner, then lets the lease be released.
    fn hand_over(&self, unit: &Unit, lease: Arc<LeaseState>) {
        let (Some(to), Some(term)) = (unit.destination, lease.terms().current) else {
            lease.finish_handover();
            return;
        };
        let table = self
            .partitions
            .borrow_mut()
            .open(clock::now(), unit.id, &lease)
            .table
            .clone();
        let (id, local) = (unit.id, self.calls.is_local(to));
        actix_rt::spawn(async move {
            if !local && let Err(error) = send(to.addr, id, term, &table).await {
                tracing::warn!(%error, "dedup table not handed over; retries get \"unknown\"");
            }
            lease.finish_handover();
        });
    }
}

async fn send(
    to: std::net::SocketAddr,
    unit: UnitId,
    term: LeaseTerm,
    table: &DedupTable,
) -> eyre::Result<()> {
    let sent = rpc::call_once(to, async |client| {
        let mut request = client.hand_over_request();
        write_table(request.get().init_journal(), unit, term, table);
        request.send().promise.await?;
        Ok(())
    });
    tokio::time::timeout(HANDOVER_TIMEOUT, sent).await?
}

fn write_table(mut out: journal::Builder<'_>, unit: UnitId, term: LeaseTerm, table: &DedupTable) {
    out.set_unit(unit.0);
    out.set_holder(term.holder.0);
    out.set_number(term.number);
    out.set_since(table.since());
    let entries = table.entries();
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
    // No request runs during a handover. If an entry has no outcome all the same, the outcome was
    // lost.
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
