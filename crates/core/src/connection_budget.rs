//! Bounds the memory of a listener's connections by closing the oldest ones.
//!
//! It is for listeners whose clients connect for one short exchange, such as lookups and fetches between
//! daemons: the oldest connection is then the one that most likely waits for nothing. Refusing new
//! connections would let a few hundred silent clients lock all others out. The price is that a flood of
//! connections also closes slow clients', who have to come again.

use std::collections::BTreeMap;

/// Memory of one connection without its messages, in bytes: its task, its buffers and its socket.
const CONNECTION_BYTES: usize = 16 << 10;
/// The connections of one listener get the VM's memory divided by this.
const MEMORY_DIVISOR: u64 = 16;
/// Fewest connections that fit, also on a VM that is too small for them.
const MIN_CONNECTIONS: usize = 64;
/// Most connections, whatever the memory. They take descriptors as well, which callers need.
const MAX_CONNECTIONS: usize = 4_096;

/// Identifies a connection; a later one has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The open connections of a listener and their bytes.
///
/// ```
/// use rattanturn_core::connection_budget::ConnectionBudget;
/// let mut budget = ConnectionBudget::new(16 << 20);
/// let connections: Vec<_> = (0..64).map(|_| budget.open().0).collect();
/// // The 65th has no room until the oldest is closed.
/// let (newest, closed) = budget.open();
/// assert_eq!(closed, [connections[0]]);
/// budget.close(connections[1]);
/// assert_eq!(budget.add(newest, 1_000), []);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    limit: usize,
    held: usize,
    next: u64,
    /// Bytes of each open connection.
    open: BTreeMap<ConnectionId, usize>,
}

impl ConnectionBudget {
    /// Makes the budget of a listener on a VM with `memory` bytes.
    #[must_use]
    pub fn new(memory: u64) -> Self {
        let part = usize::try_from(memory / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self {
            limit: part.max(MIN_CONNECTIONS * CONNECTION_BYTES),
            held: 0,
            next: 0,
            open: BTreeMap::new(),
        }
    }

    /// Adds a connection; returns it and the connections to close for it.
    pub fn open(&mut self) -> (ConnectionId, Vec<ConnectionId>) {
        let id = ConnectionId(self.next);
        self.next += 1;
        self.open.insert(id, 0);
        (id, self.add(id, CONNECTION_BYTES))
    }

    /// Adds bytes that a connection holds until it is closed; returns the connections to close for
    /// them. The connection itself is among them if it is the oldest.
    pub fn add(&mut self, id: ConnectionId, bytes: usize) -> Vec<ConnectionId> {
        let Some(held) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        *held = held.saturating_add(bytes);
        self.held = self.held.saturating_add(bytes);
        let mut closed = Vec::new();
        while (self.held > self.limit || self.open.len() > MAX_CONNECTIONS)
            && let Some((oldest, bytes)) = self.open.pop_first()
        {
            self.held = self.held.saturating_sub(bytes);
            closed.push(oldest);
        }
        closed
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(bytes) = self.open.remove(&id) {
            self.held = self.held.saturating_sub(bytes);
        }
    }

    /// Bytes of all open connections.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }
}
