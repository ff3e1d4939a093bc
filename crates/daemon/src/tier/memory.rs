//! The memory of a traffic thread that holds answers.
//!
//! Bytes count from the moment they are read until the answer was written to its caller, so also
//! while an answer waits for the other parts of a query or for a caller that reads slowly. Who may
//! hold how much is decided by [`rattanturn_core::byte_budget`]: an answer counts for its target and
//! the target's service, or for all peers if a peer sent it.
//!
//! The first [`UNCOUNTED_BYTES`] of an answer or a request are free, so that small ones are served
//! whatever the others hold. The price is that these bytes are bounded only by the number of
//! connections, which the system limits.

use {
    crate::{clock, tier::meters},
    rattanturn_core::{
        Time,
        byte_budget::{ByteBudget, GroupId, UserId},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        pin::pin,
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Part of the VM's memory that answers and requests may hold. Buffers that grow take up to twice
/// their bytes, and the allocator and the rest of the daemon need room as well.
const BUDGET_FRACTION: f64 = 1.0 / 3.0;
/// Bytes of each answer and each request that do not count: those of a connection's first read.
pub(crate) const UNCOUNTED_BYTES: usize = 4 << 10;
/// Interval between log lines on refusals, of which there may be one for each request.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was refused for lack of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// A call was not sent, because its answer would have no room.
    Call,
    /// An answer was not read any further.
    Answer,
}

impl Refused {
    /// Value of the metric label `what`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Answer => "answer",
        }
    }
}

/// The budget of a traffic thread.
#[derive(Debug)]
pub(crate) struct Memory {
    budget: RefCell<ByteBudget>,
    groups: RefCell<HashMap<String, Weak<MemoryGroup>>>,
    /// Wakes the answers that wait for room.
    released: Notify,
    /// When a refusal was logged last, and the number of those since.
    logged: Cell<Option<Time>>,
    unlogged: Cell<u64>,
}

/// A service, the peers or the callers. It is removed with the last of its users.
#[derive(Debug)]
struct MemoryGroup {
    memory: Rc<Memory>,
    id: GroupId,
    name: String,
}

/// The answers of a target or of the peers, or the requests of callers.
#[derive(Debug)]
pub(crate) struct MemoryUser {
    group: Rc<MemoryGroup>,
    id: UserId,
    /// Name for the log.
    name: String,
}

/// Bytes that count for a user until they are dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    user: Rc<MemoryUser>,
    /// Bytes that are held, without the free ones.
    counted: usize,
}

impl Memory {
    /// Makes the budget of a VM with `memory` bytes.
    // The fraction of a memory size is far below the limits of the types.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub(crate) fn new(memory: u64) -> Rc<Self> {
        let limit = (memory as f64 * BUDGET_FRACTION) as usize;
        Rc::new(Self {
            budget: RefCell::new(ByteBudget::new(limit)),
            groups: RefCell::default(),
            released: Notify::new(),
            logged: Cell::default(),
            unlogged: Cell::default(),
        })
    }

    /// Adds a user to a group, who is removed with the last of its holds.
    pub(crate) fn add_user(self: &Rc<Self>, group: &str, name: &str) -> Rc<MemoryUser> {
        let group = self.group(group);
        let id = self.budget.borrow_mut().add_user(group.id);
        Rc::new(MemoryUser {
            group,
            id,
            name: name.to_owned(),
        })
    }

    fn group(self: &Rc<Self>, name: &str) -> Rc<MemoryGroup> {
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get(name).and_then(Weak::upgrade) {
            return group;
        }
        let group = Rc::new(MemoryGroup {
            memory: self.clone(),
            id: self.budget.borrow_mut().add_group(),
            name: name.to_owned(),
        });
        groups.insert(name.to_owned(), Rc::downgrade(&group));
        group
    }

    /// Number of bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.budget.borrow().held()
    }
}

impl MemoryUser {
    fn memory(&self) -> &Rc<Memory> {
        &self.group.memory
    }

    /// A hold of no bytes.
    pub(crate) fn hold(self: &Rc<Self>) -> Hold {
        Hold {
            user: self.clone(),
            counted: 0,
        }
    }

    /// Counts a refusal, and logs it unless one was logged a short time ago.
    fn record_refusal(&self, what: Refused) {
        meters::count_memory_refusal(what.as_str());
        let (memory, now) = (self.memory(), clock::now());
        if let Some(last) = memory.logged.get()
            && now.since(last) < LOG_INTERVAL
        {
            memory.unlogged.set(memory.unlogged.get() + 1);
            return;
        }
        memory.logged.set(Some(now));
        let budget = memory.budget.borrow();
        tracing::warn!(
            what = what.as_str(),
            group = %self.group.name,
            user = %self.name,
            user_bytes = budget.held_by(self.id),
            held_bytes = budget.held(),
            not_logged = memory.unlogged.take(),
            "refused for lack of memory"
        );
    }
}

impl Drop for MemoryUser {
    fn drop(&mut self) {
        self.memory().budget.borrow_mut().remove_user(self.id);
    }
}

impl Drop for MemoryGroup {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().remove_group(self.id);
        // Another group may have the name by now, which is still in use.
        let mut groups = self.memory.groups.borrow_mut();
        if groups
            .get(&self.name)
            .is_some_and(|g| g.strong_count() == 0)
        {
            groups.remove(&self.name);
        }
    }
}

impl Hold {
    /// Holds `bytes` altogether; false if there is no room for more, which changes nothing.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let mut budget = self.user.memory().budget.borrow_mut();
        if counted <= self.counted {
            budget.release(self.user.id, self.counted - counted);
            self.user.memory().released.notify_waiters();
        } else if !budget.try_take(self.user.id, counted - self.counted) {
            return false;
        }
        self.counted = counted;
        true
    }

    /// Holds no more than `bytes` from now on.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        if bytes.saturating_sub(UNCOUNTED_BYTES) < self.counted {
            self.resize(bytes);
        }
    }

    /// Holds `bytes` altogether or more; false if there is no room for more.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        bytes.saturating_sub(UNCOUNTED_BYTES) <= self.counted || self.resize(bytes)
    }

    /// Waits until there is room for `bytes` altogether; false if there is none by `until`.
    ///
    /// What is held beyond `kept` bytes is released meanwhile, so that holds which wait do not block
    /// each other.
    pub(crate) async fn wait_for_room(&mut self, bytes: usize, kept: usize, until: Time) -> bool {
        self.shrink(kept);
        let memory = self.user.memory().clone();
        let mut waited = pin!(clock::sleep_until(until));
        loop {
            let released = memory.released.notified();
            if self.grow(bytes) {
                return true;
            }
            tokio::select! {
                () = released => {}
                () = &mut waited => return false,
            }
        }
    }

    /// Counts and logs that there was no room.
    pub(crate) fn record_refusal(&self, what: Refused) {
        self.user.record_refusal(what);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut budget = self.user.memory().budget.borrow_mut();
        if self.counted > 0 {
            budget.release(self.user.id, self.counted);
            self.user.memory().released.notify_waiters();
        }
    }
}
