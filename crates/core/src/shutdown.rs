//! The times of a graceful stop, and which requests are still begun during it.
//!
//! A daemon that is asked to stop is killed once its drain limit has passed. Callers learn only after
//! a while that it is leaving, so it serves on at first. Then it closes its listeners, gives every
//! request that is still open its final answer, and ends. All times are fractions of the limit, so
//! that a short limit keeps the same order of events.
//!
//! A request that is open when the final answers are due is given up, and its caller does not learn
//! whether it ran. A request that is refused before it starts costs its caller little, because
//! another daemon serves it at once, but it does cost something. [`LateRequest::fits`] weighs the two.
//! Its inputs are estimates of a daemon that knows only its own calls:
//!
//! - A request whose time limit ends before the final answers are due is always served. The stop
//!   cannot take anything from it.
//! - A request that may be repeated is served if it is as likely as not to be done in time. One that
//!   must not be repeated needs twice the time, because a caller that is told that it may have run
//!   can neither repeat it nor rely on it.
//! - A request that waits for a connection starts later. The wait follows from the number of calls in
//!   front of it and from the time for which calls hold a connection.
//! - A request to several services is as slow as the slowest of its calls, so it needs more time than
//!   one call. That some routes do without the slowest parts is not counted, because it depends on
//!   which parts these are.
//! - A request that another daemon passes on is treated like all others. That daemon tries the next
//!   one if it is refused, but like a caller it cannot repeat what may have run.
//! - A request that waits for its turn under overload is not known to be late when it arrives. It is
//!   checked once more when it has its connection, right before it is sent.

use {crate::Time, std::time::Duration};

/// Parts that a drain limit is divided into. The times below count them.
const LIMIT_PARTS: u32 = 24;
/// Parts of the limit after which the listeners close. Answers that name the daemon expire before
/// that, and as much as a third of the limit is left for requests that are open.
const CLOSE_PART: u32 = 16;
/// Parts of the limit after which open requests get their final answers. A target that is at work
/// until the last sixth of the limit still answers in time.
const ANSWER_PART: u32 = 21;
/// Parts of the limit after which the daemon ends. Two parts are left to write answers over slow
/// links, and one to end before the process is killed.
const END_PART: u32 = 23;
/// Half parts of the limit after which the process exits, whatever of its log is not written.
const EXIT_HALF_PART: u32 = 47;
/// Shortest limit that is divided. Each part is then a millisecond, the resolution of the timers.
const MIN_LIMIT: Duration = Duration::from_millis(24);
/// Longest limit that is divided; it only keeps the arithmetic in range.
const MAX_LIMIT: Duration = Duration::from_hours(24 * 365);

/// When a stopping daemon does what.
///
/// ```
/// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
/// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(6));
/// assert_eq!(stop.close_at(), Time::from_millis(4_000));
/// assert_eq!(stop.answer_by(), Time::from_millis(5_250));
/// assert_eq!(stop.end_by(), Time::from_millis(5_750));
/// assert_eq!(stop.exit_by(), Time::from_millis(5_875));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    began: Time,
    close_at: Time,
    answer_by: Time,
    end_by: Time,
    exit_by: Time,
}

impl StopSchedule {
    /// The schedule of a stop that began at `began` and may last for `limit`.
    ///
    /// A limit below 24 ms counts as 24 ms, so that the times differ also then.
    #[must_use]
    pub fn new(began: Time, limit: Duration) -> Self {
        let part = limit.clamp(MIN_LIMIT, MAX_LIMIT) / LIMIT_PARTS;
        Self {
            began,
            close_at: began + part * CLOSE_PART,
            answer_by: began + part * ANSWER_PART,
            end_by: began + part * END_PART,
            exit_by: began + part * EXIT_HALF_PART / 2,
        }
    }

    /// The schedule of the same stop if it is to end as soon as the open requests have got their
    /// final answers, which are due at once.
    ///
    /// The end stays as it was, because callers may read their answers slowly; the daemon ends before it
    /// once nothing is open.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(6));
    /// let hurried = stop.hurried(Time::from_millis(1_000));
    /// assert_eq!(hurried.close_at(), Time::from_millis(1_000));
    /// assert_eq!(hurried.answer_by(), Time::from_millis(1_001));
    /// assert_eq!(hurried.end_by(), stop.end_by());
    /// ```
    #[must_use]
    pub fn hurried(&self, now: Time) -> Self {
        let close_at = self.close_at.min(now.max(self.began));
        // At least a millisecond later, the resolution of the timers.
        let soon = now.max(close_at) + Duration::from_millis(1);
        let answer_by = self.answer_by.min(soon);
        Self {
            close_at,
            answer_by,
            ..*self
        }
    }

    /// The schedule of the same stop if its listeners close at `time`, unless they close before.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(24));
    /// let early = stop.closing_by(Time::from_millis(7_000));
    /// assert_eq!(early.close_at(), Time::from_millis(7_000));
    /// assert_eq!(early.answer_by(), stop.answer_by());
    /// assert_eq!(stop.closing_by(Time::from_millis(20_000)), stop);
    /// ```
    #[must_use]
    pub fn closing_by(&self, time: Time) -> Self {
        Self {
            close_at: self.close_at.min(time.max(self.began)),
            ..*self
        }
    }

    /// When the daemon was asked to stop.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let began = Time::from_millis(700);
    /// assert_eq!(StopSchedule::new(began, Duration::from_secs(6)).began(), began);
    /// ```
    #[must_use]
    pub fn began(&self) -> Time {
        self.began
    }

    /// When the listeners close. Requests that are read later are refused.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(3));
    /// assert_eq!(stop.close_at(), Time::from_millis(2_000));
    /// ```
    #[must_use]
    pub fn close_at(&self) -> Time {
        self.close_at
    }

    /// When every request that is still open gets its final answer.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(24));
    /// assert_eq!(stop.answer_by(), Time::from_millis(21_000));
    /// ```
    #[must_use]
    pub fn answer_by(&self) -> Time {
        self.answer_by
    }

    /// When the daemon ends, whatever is still open.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(24));
    /// assert_eq!(stop.end_by(), Time::from_millis(23_000));
    /// ```
    #[must_use]
    pub fn end_by(&self) -> Time {
        self.end_by
    }

    /// When the process exits, after the daemon's end, also if its log is not written.
    ///
    /// ```
    /// use {rattanturn_core::{Time, shutdown::StopSchedule}, std::time::Duration};
    /// let stop = StopSchedule::new(Time::ZERO, Duration::from_secs(24));
    /// assert_eq!(stop.exit_by(), Time::from_millis(23_500));
    /// ```
    #[must_use]
    pub fn exit_by(&self) -> Time {
        self.exit_by
    }
}

/// Multiple of the usual duration that a request which must not be repeated needs. If durations are
/// distributed exponentially, one in 16 lasts longer than twice their 75% quantile. A larger multiple
/// refuses more requests that would be served, for which callers pay as well.
const SAFE_MULTIPLE: f64 = 2.0;
/// Quotient of the 75% quantile and the mean of exponentially distributed durations, which is ln 4.
/// The slowest of `n` calls is by `ln n` means slower than one call.
const QUANTILE_MEANS: f64 = 2.0 * std::f64::consts::LN_2;

/// A request that arrives while the daemon is about to stop, as far as it is known before it starts.
///
/// ```
/// use {rattanturn_core::shutdown::LateRequest, std::time::Duration};
/// let ms = Duration::from_millis;
/// let late = LateRequest { usual: Some(ms(1_500)), time_limit: ms(8_000), ..LateRequest::default() };
/// assert!(!late.fits(ms(1_750)));
/// assert!(late.fits(ms(4_500)));
/// let repeatable = LateRequest { idempotent: true, ..late };
/// assert!(repeatable.fits(ms(1_750)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LateRequest {
    /// 75% quantile of the times for which its route's calls hold a connection; `None` if none is
    /// known.
    pub usual: Option<Duration>,
    /// Time in which the route is to answer, if it has such a goal; it stands for a duration that is not
    /// known.
    pub goal: Option<Duration>,
    /// Expected wait until a connection to a target is free for it, see [`expected_wait`].
    pub wait: Duration,
    /// Number of services that it asks at the same time; 0 counts as 1.
    pub services: usize,
    /// Time until it is answered in any case.
    pub time_limit: Duration,
    /// Whether it may be run again.
    pub idempotent: bool,
}

impl LateRequest {
    /// Whether the request is begun if the final answers are due after `left`.
    ///
    /// A request of which only the goal is known is begun if as much time is left: most requests end
    /// before their goal, so it needs no margin. One of which nothing is known is begun if it may be run
    /// again. None is begun once the
    /// answers are due.
    ///
    /// ```
    /// use {rattanturn_core::shutdown::LateRequest, std::time::Duration};
    /// let ms = Duration::from_millis;
    /// let late = LateRequest { usual: Some(ms(220)), time_limit: ms(8_000), ..LateRequest::default() };
    /// assert!(late.fits(ms(700)));
    /// assert!(!LateRequest { wait: ms(300), ..late }.fits(ms(700)));
    /// assert!(LateRequest { time_limit: ms(600), ..late }.fits(ms(650)));
    /// ```
    #[must_use]
    pub fn fits(&self, left: Duration) -> bool {
        if left.is_zero() {
            return false;
        }
        if self.time_limit <= left {
            return true;
        }
        let Some(usual) = self.usual else {
            let enough = |goal: Duration| goal + self.wait <= left;
            return self.goal.map_or(self.idempotent, enough);
        };
        let services = u32::try_from(self.services.max(1)).unwrap_or(u32::MAX);
        let slowest = f64::from(services).ln() / QUANTILE_MEANS;
        let multiple = if self.idempotent { 1.0 } else { SAFE_MULTIPLE };
        let needed = usual.as_secs_f64() * (multiple + slowest) + self.wait.as_secs_f64();
        needed <= left.as_secs_f64()
    }
}

/// Expected wait of a call for a connection, if `waiting` calls wait in front of it for one of
/// `connections` that are all in use, and calls hold a connection for `held` on average.
///
/// ```
/// use {rattanturn_core::shutdown::expected_wait, std::time::Duration};
/// let held = Duration::from_millis(200);
/// assert_eq!(expected_wait(held, 0, 1), Duration::from_millis(200));
/// assert_eq!(expected_wait(held, 9, 5), Duration::from_millis(400));
/// ```
#[must_use]
pub fn expected_wait(held: Duration, waiting: u32, connections: u32) -> Duration {
    let ends = f64::from(waiting.saturating_add(1)) / f64::from(connections.max(1));
    held.min(MAX_LIMIT).mul_f64(ends)
}
