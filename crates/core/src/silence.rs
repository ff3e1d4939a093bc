//! Notices that no target answers any more, sooner than by the deadlines of calls.
//!
//! When a daemon's network to the targets is cut, connections often hang: nothing tells that they are
//! dead. Single targets stand still for some hundred milliseconds now and then, but not all of those
//! that are called at the same time. So the silence of several targets while none answers is reason
//! to probe some; if no probe succeeds either, the daemon has lost its targets.

use {crate::Time, std::time::Duration};

/// Time without an answer after which targets are probed. Servers that stand still do so at their own
/// times each, and answers of the others arrive more often than this.
const SILENT_TIME: Duration = Duration::from_millis(200);
/// Number of targets that must have been silent for so long: a few that fail together are no sign of
/// a cut.
const MIN_SILENT: usize = 4;
/// A longer gap between two checks means that this process was paused, and answers may be unread.
const MAX_CHECK_GAP: Duration = Duration::from_millis(150);

/// Silence of the targets of one traffic thread.
///
/// ```
/// use rattanturn_core::{Time, silence::Silence};
/// let mut silence = Silence::default();
/// for at in (0..1_000).step_by(50).map(Time::from_millis) {
///     let silent = silence.check(at, Time::from_millis(400), |limit| if limit >= Time::from_millis(450) { 20 } else { 0 });
///     assert_eq!(silent, at >= Time::from_millis(650), "{at}");
/// }
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    last_check: Time,
    /// Nothing before this time counts.
    since: Time,
}

impl Silence {
    /// Whether to probe targets, because none has answered for a while although some were called.
    ///
    /// `heard` is the time of the last answer of any target, and `waiting` counts the targets with a
    /// call that has been waiting since the given time or longer. To be called every 50 ms.
    pub fn check(&mut self, now: Time, heard: Time, waiting: impl Fn(Time) -> usize) -> bool {
        if now.since(self.last_check) > MAX_CHECK_GAP {
            self.since = now;
        }
        self.last_check = now;
        let quiet = now.since(heard.max(self.since)) >= SILENT_TIME;
        quiet && waiting(now - SILENT_TIME) >= MIN_SILENT
    }

    /// Starts anew, for example after a probe succeeded.
    pub fn reset(&mut self, now: Time) {
        self.since = now;
    }
}
