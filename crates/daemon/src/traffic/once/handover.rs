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
        routing::{Destination, LeaseState, Unit},
        traffic::rpc,
    },
    rattanturn_core::{
        NodeId,
        dedup::{DedupEntry, DedupTable},
        lease::{LeaseTerm, UnitId},
        partitions::{ARRIVAL_TIMEOUT, HANDOVER_TIMEOUT},
    },
    rattanturn_wire::peer_capnp::{journal, journal_entry},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Pause before a table is sent again, which is long enough to learn that its next owner has ended.
const SEND_RETRY_DELAY: Duration = Duration::from_millis(50);

impl DedupOwner {
    /// Starts to hand over the tables of partitions that other daemons should own, and forwards
    /// tables that arrived here for another owner.
    pub(crate) fn tick(&self) {
        let routing = self.routing.load();
        // The tables of the others are on other threads.
        let units = routing.dedup_units().iter();
        for unit in units.filter(|u| self.calls.owns(u.id)) {
            if let Some(lease) = &unit.lease
                && self.may_hand_over(unit, lease)
                && lease.start_handover()
            {
                self.hand_over(unit.id, lease.clone());
            }
            self.forward(unit);
        }
        self.partitions.borrow_mut().expire(clock::now());
        self.publish_foreign_tables();
    }

    /// Tells control how many tables are here that belong to other daemons, which a stop must not end
    /// before they are forwarded.
    fn publish_foreign_tables(&self) {
        let (routing, partitions) = (self.routing.load(), self.partitions.borrow());
        let foreign = |u: &&Unit| u.destination.is_some_and(|d| !self.calls.is_local(d));
        let units = routing.dedup_units().iter().filter(foreign);
        let waiting = units.filter(|u| partitions.has_received(u.id)).count();
        let count = waiting + self.sending.get();
        let before = self.foreign_tables.replace(count);
        // The sum over all threads; a decrease wraps around.
        let change = count.wrapping_sub(before);
        self.gauges
            .foreign_tables
            .fetch_add(change, Ordering::AcqRel);
    }

    /// Whether the table of a partition is to be handed over now. Nothing is handed over without a lease
    /// term, and the table of the previous term is awaited if it is probably on its way here. A lease is
    /// closed a moment before the routing names the next owner.
    fn may_hand_over(&self, unit: &Unit, lease: &LeaseState) -> bool {
        let is_here = unit.destination.is_some_and(|d| self.calls.is_local(d));
        let is_closing = lease.closing() && !lease.handover_started();
        let due = !is_here && is_closing && lease.in_use() == 0;
        let (terms, start_ms) = lease.term();
        if !due || terms.current.is_none() {
            return false;
        }
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(start_ms));
        let now = clock::now();
        let mut partitions = self.partitions.borrow_mut();
        partitions.open(now, unit.id, terms, start_ms);
        age >= ARRIVAL_TIMEOUT || !partitions.expects_table(now, unit.id)
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
        let (id, this) = (unit.id, self.clone());
        self.sending.set(self.sending.get() + 1);
        actix_rt::spawn(async move {
            if let Err(error) = send(to.addr, id, term, &table).await {
                tracing::warn!(%error, to = %to.addr, "dedup table not forwarded; it is tried again");
                let mut partitions = this.partitions.borrow_mut();
                partitions.put_back(clock::now(), id, term, table);
            }
            this.sending.set(this.sending.get() - 1);
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
        self.publish_foreign_tables();
        Ok(())
    }

    /// Sends a partition's table to its next owner, then lets the lease be released.
    fn hand_over(&self, id: UnitId, lease: Arc<LeaseState>) {
        let table = self.partitions.borrow_mut().hand_over(id);
        let (Some(term), Some(table)) = (lease.term().0.current, table) else {
            lease.finish_handover();
            return;
        };
        tracing::debug!(
            unit = id.0,
            ?term,
            entries = table.len(),
            "handing over a dedup table"
        );
        let this = self.clone();
        actix_rt::spawn(async move {
            let sent = this.send_until_taken(id, term, &table);
            if tokio::time::timeout(HANDOVER_TIMEOUT, sent).await.is_err() {
                tracing::warn!("dedup table not handed over in time; retries get \"unknown\"");
            }
            lease.finish_handover();
        });
    }

    /// Sends a table to the owner that routing names, or to the next one if that daemon has ended.
    async fn send_until_taken(&self, id: UnitId, term: LeaseTerm, table: &DedupTable) {
        loop {
            let owner = self.destination(id).filter(|d| !self.calls.is_local(*d));
            let Some(to) = owner else {
                return;
            };
            match send(to.addr, id, term, table).await {
                Ok(()) => return,
                Err(error) => {
                    tracing::info!(%error, to = %to.addr, "dedup table not taken; it is sent again");
                }
            }
            actix_rt::time::sleep(SEND_RETRY_DELAY).await;
        }
    }

    /// Where the next owner of a partition is reached.
    fn destination(&self, id: UnitId) -> Option<Destination> {
        let routing = self.routing.load();
        let mut units = routing.dedup_units().iter();
        units.find(|u| u.id == id)?.destination
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
