//! Divides the memory for answers and request bodies among those that fill it.
//!
//! Each target is a user of the budget, and the targets of a service form a group; callers that send
//! requests are a group of their own. A group may hold as many bytes as are free, which is the dynamic
//! threshold of shared-memory switches, and a user [`USER_FACTOR`] times what its group may still take.
//! So nobody needs a fixed part, a faulty target leaves room for the others of its service, and a
//! service of which all targets are faulty leaves room for other services. The price is that a part of
//! the budget stays free.

use {
    crate::Time,
    slotmap::{SlotMap, new_key_type},
    std::time::Duration,
};

/// A user may hold this many times the bytes that its group may still take. One user alone gets two
/// fifths of the budget.
const USER_FACTOR: usize = 2;
/// A request of which nothing came for this long may be given up for others. A lost packet is sent
/// again within this time.
const STALL_TIME: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a group of users.
    pub struct GroupId;
    /// Identifies a user of a budget.
    pub struct UserId;
    /// Identifies a request that is being read.
    pub struct UploadId;
}

/// A number of bytes, and who holds how many of them.
///
/// ```
/// use rattanturn_core::byte_budget::ByteBudget;
/// let mut budget = ByteBudget::new(1_000);
/// let (faulty, sound) = (budget.add_group(), budget.add_group());
/// let (greedy, other) = (budget.add_user(faulty), budget.add_user(sound));
/// assert!(budget.try_take(greedy, 400));
/// assert!(!budget.try_take(greedy, 1));
/// assert!(budget.try_take(other, 200));
/// budget.release(greedy, 400);
/// assert_eq!(budget.held(), 200);
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    held: usize,
    /// Bytes that each group holds.
    groups: SlotMap<GroupId, usize>,
    users: SlotMap<UserId, User>,
}

#[derive(Clone, Copy, Debug)]
struct User {
    group: GroupId,
    held: usize,
}

impl ByteBudget {
    /// Makes a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            groups: SlotMap::with_key(),
            users: SlotMap::with_key(),
        }
    }

    /// Adds a group without users.
    pub fn add_group(&mut self) -> GroupId {
        self.groups.insert(0)
    }

    /// Removes a group whose users have been removed.
    pub fn remove_group(&mut self, group: GroupId) {
        self.groups.remove(group);
    }

    /// Adds a user that holds nothing.
    pub fn add_user(&mut self, group: GroupId) -> UserId {
        self.users.insert(User { group, held: 0 })
    }

    /// Removes a user; what it holds is free again.
    pub fn remove_user(&mut self, user: UserId) {
        self.release(user, usize::MAX);
        self.users.remove(user);
    }

    /// Takes bytes for a user; false if that would exceed its share or its group's, which takes
    /// nothing.
    pub fn try_take(&mut self, user: UserId, bytes: usize) -> bool {
        if !self.has_room(user, bytes) {
            return false;
        }
        if let Some(user) = self.users.get_mut(user)
            && let Some(group) = self.groups.get_mut(user.group)
        {
            user.held += bytes;
            *group += bytes;
            self.held += bytes;
        }
        true
    }

    /// Whether a user could take bytes now.
    #[must_use]
    pub fn has_room(&self, user: UserId, bytes: usize) -> bool {
        let Some(user) = self.users.get(user) else {
            return false;
        };
        let Some(group) = self.groups.get(user.group) else {
            return false;
        };
        let [own, shared, all] = [user.held, *group, self.held].map(|n| n.saturating_add(bytes));
        let free = self.limit.saturating_sub(all);
        let group_room = free.checked_sub(shared);
        group_room.is_some_and(|room| own <= USER_FACTOR.saturating_mul(room))
    }

    /// Most that one user can hold, while nobody else holds anything.
    #[must_use]
    pub fn largest_share(&self) -> usize {
        // `own <= USER_FACTOR * (limit - 2 * own)`
        self.limit / (2 * USER_FACTOR + 1) * USER_FACTOR
    }

    /// Gives bytes of a user back.
    pub fn release(&mut self, user: UserId, bytes: usize) {
        let Some(user) = self.users.get_mut(user) else {
            return;
        };
        let released = bytes.min(user.held);
        user.held -= released;
        self.held -= released;
        if let Some(group) = self.groups.get_mut(user.group) {
            *group -= released;
        }
    }

    /// Number of bytes that all users hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Number of bytes that a user holds.
    #[must_use]
    pub fn held_by(&self, user: UserId) -> usize {
        self.users.get(user).map_or(0, |u| u.held)
    }
}

/// Large requests that are being read, to find one that keeps memory without sending.
///
/// ```
/// use {rattanturn_core::{Time, byte_budget::Uploads}, std::time::Duration};
/// let mut uploads = Uploads::default();
/// let (silent, active) = (uploads.begin(Time::ZERO), uploads.begin(Time::ZERO));
/// let now = Time::ZERO + Duration::from_secs(3);
/// uploads.record_progress(active, now);
/// assert_eq!(uploads.take_stalled(now), Some(silent));
/// assert_eq!(uploads.take_stalled(now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    /// When each of them last sent something.
    open: SlotMap<UploadId, Time>,
}

impl Uploads {
    /// Adds a request that has become large.
    pub fn begin(&mut self, now: Time) -> UploadId {
        self.open.insert(now)
    }

    /// Records that more of a request came.
    pub fn record_progress(&mut self, id: UploadId, now: Time) {
        if let Some(progress) = self.open.get_mut(id) {
            *progress = now;
        }
    }

    /// Removes a request that was read as a whole, or given up.
    pub fn end(&mut self, id: UploadId) {
        self.open.remove(id);
    }

    /// Removes and returns the request that has been silent for the longest time; `None` if all of
    /// them have sent something a short time ago.
    pub fn take_stalled(&mut self, now: Time) -> Option<UploadId> {
        let (id, progress) = self.open.iter().min_by_key(|(_, progress)| **progress)?;
        if now.since(*progress) < STALL_TIME {
            return None;
        }
        self.open.remove(id);
        Some(id)
    }
}
