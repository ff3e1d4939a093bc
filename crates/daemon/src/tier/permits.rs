//! The right to a connection of a pool, which calls wait for in their order.

use {
    rattanturn_core::permits::{Permits, Ticket},
    std::{cell::RefCell, collections::HashMap},
    tokio::sync::oneshot,
};

/// The permits of one pool, each for a connection in use or being opened.
pub(crate) struct ConnectionPermits {
    permits: RefCell<Permits>,
    /// Wakes the calls that wait.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<()>>>,
}

/// Right to one connection. Dropping it gives it to the call that has waited longest.
pub(crate) struct ConnectionPermit<'a>(&'a ConnectionPermits);

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// A call's place among those that wait. Dropping it ends the wait, and gives a permit back that came
/// meanwhile.
struct Place<'a> {
    permits: &'a ConnectionPermits,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self
            .permits
            .waiting
            .borrow_mut()
            .remove(&self.ticket)
            .is_some()
        {
            self.permits.permits.borrow_mut().cancel(self.ticket);
        } else if self.granted.try_recv().is_ok() {
            self.permits.release();
        }
    }
}

impl ConnectionPermits {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            permits: RefCell::new(Permits::new(limit)),
            waiting: RefCell::default(),
        }
    }

    /// Waits for a permit.
    pub(crate) async fn acquire(&self) -> ConnectionPermit<'_> {
        let taken = self.permits.borrow_mut().take();
        if let Err(ticket) = taken {
            let (send, granted) = oneshot::channel();
            self.waiting.borrow_mut().insert(ticket, send);
            let mut place = Place {
                permits: self,
                ticket,
                granted,
            };
            // The sender is kept until the ticket has a permit.
            let _ = (&mut place.granted).await;
        }
        ConnectionPermit(self)
    }

    /// Sets the number of permits.
    pub(crate) fn set_limit(&self, limit: u32) {
        let granted = self.permits.borrow_mut().set_limit(limit);
        self.wake(granted);
    }

    pub(crate) fn limit(&self) -> u32 {
        self.permits.borrow().limit()
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.permits.borrow().in_use()
    }

    /// Number of calls that wait.
    pub(crate) fn waiting(&self) -> u32 {
        self.permits.borrow().waiting()
    }

    pub(crate) fn has_free(&self) -> bool {
        self.permits.borrow().has_free()
    }

    /// Number of `idle` connections that stay open when a call that has a permit opens a new one.
    pub(crate) fn kept_idle(&self, idle: usize) -> usize {
        self.permits.borrow().kept_idle(idle)
    }

    fn release(&self) {
        let granted = self.permits.borrow_mut().release();
        self.wake(granted);
    }

    fn wake(&self, granted: Vec<Ticket>) {
        for ticket in granted {
            if let Some(send) = self.waiting.borrow_mut().remove(&ticket) {
                // The receiver lives as long as its place, which removes the sender.
                let _ = send.send(());
            }
        }
    }
}
