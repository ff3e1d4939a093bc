//! Which large objects a daemon sends at the same time.
//!
//! After a change, many daemons fetch the same object from the few that have it, and each gives up after a
//! while. If all were answered at once, each would get so small a part of the link that none had the
//! object in time. So a daemon sends a few at a time and turns the others away. These fetch from whom they
//! hear of next, which by then is a daemon that has the object too. The price is that a daemon may have
//! to ask several others.

use {
    crate::Time,
    slotmap::{SlotMap, new_key_type},
    std::time::Duration,
};

/// Bytes that are sent at a time: a link of 20 Mbit/s sends them before the receivers give up.
const MAX_BYTES: usize = 4 << 20;
/// Largest object that is always sent.
const SMALL_BYTES: usize = 16 << 10;

new_key_type! {
    /// Identifies a transfer of [`Transfers`].
    pub struct TransferKey;
}

/// The transfers of one daemon.
///
/// ```
/// use {rattanturn_core::{Time, transfers::Transfers}, std::time::Duration};
/// let mut transfers = Transfers::new(Duration::from_secs(2));
/// let now = Time::from_millis(5);
/// let first = transfers.begin(now, 3 << 20).unwrap();
/// assert!(transfers.begin(now, 3 << 20).is_none());
/// transfers.end(first);
/// assert!(transfers.begin(now, 3 << 20).is_some());
/// ```
#[derive(Debug)]
pub struct Transfers {
    /// Time after which a receiver has given up.
    lifetime: Duration,
    /// When each open transfer began, and its size in bytes.
    open: SlotMap<TransferKey, (Time, usize)>,
}

impl Transfers {
    /// Starts without transfers. A receiver gives up after `lifetime`.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        let open = SlotMap::with_key();
        Self { lifetime, open }
    }

    /// Begins to send `bytes`; `None` if others are sent that have to end first. One object is always
    /// sent, whatever its size.
    pub fn begin(&mut self, now: Time, bytes: usize) -> Option<TransferKey> {
        let lifetime = self.lifetime;
        self.open
            .retain(|_, (began, _)| now.since(*began) < lifetime);
        let sent: usize = self.open.values().map(|(_, bytes)| bytes).sum();
        let has_room = bytes <= SMALL_BYTES || sent == 0 || sent + bytes <= MAX_BYTES;
        has_room.then(|| self.open.insert((now, bytes)))
    }

    /// Ends a transfer, which may have ended before.
    pub fn end(&mut self, transfer: TransferKey) {
        self.open.remove(transfer);
    }
}
