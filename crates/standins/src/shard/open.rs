//! The requests that are open at a target.

use super::State;

/// Counts a request as open until it is dropped.
pub(super) struct OpenRequest<'a>(&'a State);

impl<'a> OpenRequest<'a> {
    pub(super) fn new(state: &'a State) -> Self {
        state.with(|i| {
            i.open += 1;
            i.most_open = i.most_open.max(i.open);
        });
        Self(state)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.with(|i| i.open -= 1);
    }
}

impl State {
    /// Most requests that were open at the same time since this was last called.
    #[must_use]
    pub fn take_most_open(&self) -> u32 {
        self.with(|i| std::mem::replace(&mut i.most_open, i.open))
    }
}
