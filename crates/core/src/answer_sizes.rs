//! How much memory a call needs for its answer, before the answer says so.
//!
//! A call whose answer finds no room ran for nothing, so calls are held back while there is no room for
//! an answer of the size that their route usually has. Only a call that must not run twice takes the
//! memory in advance: others would keep requests with small answers from being sent, and can be repeated
//! if there is no room for their answers.

use std::collections::HashMap;

/// Weight of the newest answer in the expected size of a route's answers.
const SIZE_WEIGHT: f64 = 0.25;
/// Factor of the expected size for which a call needs room: answers differ a little, and their framing
/// counts as well.
const SIZE_MARGIN: f64 = 1.125;

/// Room that there must be for a call before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRoom {
    /// It is sent in any case.
    None,
    /// There must be room for this many bytes, which the call does not take.
    Free(usize),
    /// The call takes this many bytes.
    Taken(usize),
}

/// Sizes of the recent answers of each route that has large ones.
///
/// ```
/// use rattanturn_core::answer_sizes::{AnswerSizes, CallRoom};
/// let mut sizes = AnswerSizes::new(4_096);
/// sizes.record("search", 1_000);
/// assert_eq!(sizes.room("search", true, 1_000_000), CallRoom::None);
/// sizes.record("export", 80_000);
/// assert_eq!(sizes.room("export", true, 1_000_000), CallRoom::Free(90_000));
/// assert_eq!(sizes.room("export", false, 1_000_000), CallRoom::Taken(90_000));
/// sizes.record("export", 0);
/// assert_eq!(sizes.room("export", true, 1_000_000), CallRoom::Free(67_500));
/// assert_eq!(sizes.room("export", true, 50_000), CallRoom::Free(50_000));
/// ```
#[derive(Clone, Debug)]
pub struct AnswerSizes {
    /// Answers of up to this many bytes need no room.
    small: usize,
    /// Mean size of the recent answers of each route, in bytes.
    means: HashMap<String, f64>,
}

impl AnswerSizes {
    /// Knows no route. Answers of up to `small` bytes need no room.
    #[must_use]
    pub fn new(small: usize) -> Self {
        Self {
            small,
            means: HashMap::new(),
        }
    }

    /// Takes the size of an answer into account for the next calls of its route.
    // Sizes are far below 2^53 bytes.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(&mut self, route: &str, bytes: usize) {
        if let Some(mean) = self.means.get_mut(route) {
            *mean += (bytes as f64 - *mean) * SIZE_WEIGHT;
        } else if bytes > self.small {
            // Most routes have no larger answers, and need no entry.
            self.means.insert(route.to_owned(), bytes as f64);
        }
    }

    /// Room for a call of a route. `may_repeat` tells whether it may run twice, and `largest` is the most
    /// that there can ever be room for: a call is sent while nothing is held, however large its answer
    /// may be, as the mean would not change otherwise.
    // The mean of sizes that are bounded.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[must_use]
    pub fn room(&self, route: &str, may_repeat: bool, largest: usize) -> CallRoom {
        let Some(mean) = self.means.get(route) else {
            return CallRoom::None;
        };
        let expected = ((mean * SIZE_MARGIN) as usize).min(largest);
        if may_repeat {
            CallRoom::Free(expected)
        } else {
            CallRoom::Taken(expected)
        }
    }
}
