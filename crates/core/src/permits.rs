//! Permits for the connections to a target, given in the order in which they were asked for.

use std::collections::VecDeque;

/// Identifies one that waits for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// A limited number of permits, and those that wait for one.
///
/// A permit that becomes free belongs at once to the one that has waited longest, so that a later
/// one cannot take it in between.
///
/// ```
/// use rattanturn_core::permits::Permits;
/// let mut permits = Permits::new(1);
/// assert!(permits.take().is_ok());
/// let first = permits.take().unwrap_err();
/// let second = permits.take().unwrap_err();
/// assert_eq!(permits.release(), [first]);
/// permits.cancel(second);
/// assert_eq!((permits.in_use(), permits.waiting()), (1, 0));
/// ```
#[derive(Clone, Debug)]
pub struct Permits {
    limit: u32,
    in_use: u32,
    waiting: VecDeque<Ticket>,
    next: u64,
}

impl Permits {
    /// Makes `limit` permits.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            in_use: 0,
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// None is free. The ticket waits for one until it is returned by another call, or cancelled.
    pub fn take(&mut self) -> Result<(), Ticket> {
        if self.has_free() {
            self.in_use += 1;
            return Ok(());
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.push_back(ticket);
        Err(ticket)
    }

    /// Gives a permit back; returns the tickets that get one now.
    #[must_use]
    pub fn release(&mut self) -> Vec<Ticket> {
        self.in_use = self.in_use.saturating_sub(1);
        self.grant()
    }

    /// Changes the number of permits; returns the tickets that get one now. Permits above a lowered
    /// limit stay in use until they are given back.
    #[must_use]
    pub fn set_limit(&mut self, limit: u32) -> Vec<Ticket> {
        self.limit = limit;
        self.grant()
    }

    /// Ends the wait of a ticket, unless it has a permit.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Number of permits, of which more may be in use after it was lowered.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of permits in use, with those that were given to tickets.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of tickets that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether a permit is free.
    #[must_use]
    pub fn has_free(&self) -> bool {
        self.in_use < self.limit
    }

    /// Number of `idle` connections that stay open when a call that has a permit opens a new one: the new
    /// one takes the place of another, and the limit must have room for all of them.
    ///
    /// ```
    /// use rattanturn_core::permits::Permits;
    /// let mut permits = Permits::new(8);
    /// assert!(permits.take().is_ok());
    /// assert_eq!(permits.kept_idle(6), 5);
    /// assert!(permits.set_limit(3).is_empty());
    /// assert_eq!(permits.kept_idle(6), 2);
    /// ```
    #[must_use]
    pub fn kept_idle(&self, idle: usize) -> usize {
        let room = self.limit.saturating_sub(self.in_use);
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        idle.saturating_sub(1).min(room)
    }

    fn grant(&mut self) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while self.has_free()
            && let Some(ticket) = self.waiting.pop_front()
        {
            self.in_use += 1;
            granted.push(ticket);
        }
        granted
    }
}
