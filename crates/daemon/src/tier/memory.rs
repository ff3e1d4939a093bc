//! The memory of a traffic thread that holds answers and callers' requests.
//!
//! Bytes count from the moment they are read until the answer was written to its caller, so also
//! while an answer waits for the other parts of a query or for a caller that reads slowly. Who may
//! hold how much is decided by [`rattanturn_core::byte_budget`]: an answer counts for its target and
//! the target's service, or for all peers if a peer sent it, and requests count for all callers together.
//!
//! The first [`UNCOUNTED_BYTES`] of an answer or a request are free, so that small ones are served
//! whatever the others hold. The price is that these bytes are bounded only by the number of
//! connections, which the system limits.

use {
    crate::{clock, tier::meters},
    rattanturn_core::{
        Time,
        byte_budget::{ByteBudget, GroupId, UploadId, Uploads, UserId},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        pin::pin,
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::{sync::Notify, task::yield_now},
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
    /// A caller's request was not read any further.
    Request,
    /// A caller's request was given up for others, because it had stalled.
    StalledRequest,
}

impl Refused {
    /// Value of the metric label `what`.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Answer => "answer",
            Self::Request => "request",
            Self::StalledRequest => "stalled-request",
        }
    }
}

/// The budget of a traffic thread.
#[derive(Debug)]
pub(crate) struct Memory {
    budget: RefCell<ByteBudget>,
    groups: RefCell<HashMap<String, Weak<MemoryGroup>>>,
    uploads: RefCell<Uploads>,
    /// Tells a request that is being read that it was given up.
    evictions: RefCell<HashMap<UploadId, Rc<Notify>>>,
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
            uploads: RefCell::default(),
            evictions: RefCell::default(),
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

    /// Gives the request up that has been silent for the longest time; false if none has stalled. Its
    /// memory is free once its task has run.
    fn evict_stalled(&self) -> bool {
        let stalled = self.uploads.borrow_mut().take_stalled(clock::now());
        let evicted = stalled.and_then(|id| self.evictions.borrow_mut().remove(&id));
        evicted.inspect(|notify| notify.notify_one()).is_some()
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

    /// Largest answer that there can ever be room for.
    pub(crate) fn largest_answer(&self) -> usize {
        self.memory().budget.borrow().largest_share() + UNCOUNTED_BYTES
    }

    /// Whether there is room for an answer of `bytes` now.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        counted == 0 || self.memory().budget.borrow().has_room(self.id, counted)
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

    /// Waits until there is room for `bytes` altogether; false if there is none by `until`, and at once
    /// if there can never be.
    ///
    /// What is held beyond `kept` bytes is released meanwhile, so that holds which wait do not block
    /// each other.
    pub(crate) async fn wait_for_room(&mut self, bytes: usize, kept: usize, until: Time) -> bool {
        if bytes > self.user.largest_answer() {
            return false;
        }
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

/// A caller's request while it is being read. Once it has stalled, it may be given up for others.
pub(crate) struct Upload {
    hold: RefCell<Hold>,
    /// Set once any of its bytes count.
    id: Cell<Option<UploadId>>,
    evicted: Rc<Notify>,
}

/// There is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

impl Upload {
    /// Begins a request of `callers`.
    pub(crate) fn begin(callers: &Rc<MemoryUser>) -> Self {
        Self {
            hold: RefCell::new(callers.hold()),
            id: Cell::default(),
            evicted: Rc::default(),
        }
    }

    /// Counts `bytes` that have been read altogether. Requests that have stalled make room.
    ///
    /// # Errors
    ///
    /// There is no room, and no request has stalled.
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), NoRoom> {
        if bytes <= UNCOUNTED_BYTES {
            return Ok(());
        }
        self.record_progress();
        while !self.hold.borrow_mut().grow(bytes) {
            if !self.memory().evict_stalled() {
                return Err(NoRoom);
            }
            // The task of the stalled request runs meanwhile.
            yield_now().await;
        }
        Ok(())
    }

    fn record_progress(&self) {
        let memory = self.memory();
        let (mut uploads, now) = (memory.uploads.borrow_mut(), clock::now());
        if let Some(id) = self.id.get() {
            return uploads.record_progress(id, now);
        }
        let id = uploads.begin(now);
        self.id.set(Some(id));
        let mut evictions = memory.evictions.borrow_mut();
        evictions.insert(id, self.evicted.clone());
    }

    /// Completes when the request is to be given up for others.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Ends the reading. The bytes of the request count until the hold is dropped.
    pub(crate) fn finish(self, bytes: usize) -> Hold {
        let empty = self.hold.borrow().user.hold();
        let mut hold = self.hold.replace(empty);
        hold.shrink(bytes);
        hold
    }

    /// Counts and logs that the request was refused.
    pub(crate) fn record_refusal(&self, what: Refused) {
        self.hold.borrow().record_refusal(what);
    }

    fn memory(&self) -> Rc<Memory> {
        self.hold.borrow().user.memory().clone()
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(id) = self.id.get() {
            let memory = self.memory();
            memory.uploads.borrow_mut().end(id);
            memory.evictions.borrow_mut().remove(&id);
        }
    }
}
