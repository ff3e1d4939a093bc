//! Closes the oldest connections of a listener when they need too much of the VM's memory.
//!
//! [`rattanturn_core::connection_budget`] decides which ones; this module ends their tasks.

use {
    rattanturn_core::connection_budget::{ConnectionBudget, ConnectionId},
    std::{cell::RefCell, collections::HashMap, future::Future, rc::Rc},
    tokio::sync::Notify,
};

/// The connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimit(Rc<RefCell<Connections>>);

#[derive(Debug)]
struct Connections {
    budget: ConnectionBudget,
    /// Tells each connection that it is closed.
    open: HashMap<ConnectionId, Rc<Notify>>,
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub struct LimitedConnection {
    limit: ConnectionLimit,
    id: ConnectionId,
    closed: Rc<Notify>,
}

impl ConnectionLimit {
    /// Makes the limit of a listener on a VM with `memory` bytes.
    #[must_use]
    pub fn new(memory: u64) -> Self {
        Self(Rc::new(RefCell::new(Connections {
            budget: ConnectionBudget::new(memory),
            open: HashMap::new(),
        })))
    }

    /// Adds a connection; the oldest ones are closed if there is no room for it.
    #[must_use]
    pub fn open(&self) -> LimitedConnection {
        let mut connections = self.0.borrow_mut();
        let (id, closed) = connections.budget.open();
        let notify = Rc::<Notify>::default();
        connections.open.insert(id, notify.clone());
        connections.close(&closed);
        LimitedConnection {
            limit: self.clone(),
            id,
            closed: notify,
        }
    }
}

impl Connections {
    fn close(&mut self, ids: &[ConnectionId]) {
        for id in ids {
            if let Some(notify) = self.open.remove(id) {
                notify.notify_one();
            }
        }
    }
}

impl LimitedConnection {
    /// Counts `bytes` that the connection holds until it ends; the oldest connections, which may include this
    /// one, are closed if there is no room for them.
    pub fn add(&self, bytes: usize) {
        let mut connections = self.limit.0.borrow_mut();
        let closed = connections.budget.add(self.id, bytes);
        connections.close(&closed);
    }

    /// Runs the work of the connection until it ends or the connection is closed for others.
    pub async fn run(&self, work: impl Future) {
        tokio::select! {
            _ = work => {}
            () = self.closed.notified() => {}
        }
    }
}

impl Drop for LimitedConnection {
    fn drop(&mut self) {
        let mut connections = self.limit.0.borrow_mut();
        connections.open.remove(&self.id);
        connections.budget.close(self.id);
    }
}
