//! How long calls to a target usually take, and until when a call that waits may still be sent.
//!
//! Calls get the connections to a target in their order. While a target cannot keep up with them, the
//! wait grows until calls are sent just before the time by which their answers are of use. All of the
//! target's work is then lost, and stays lost until the load falls well below what the target can do.
//! A call that has waited is therefore not sent once it has less time left than calls usually take, so
//! that the connection goes to a later call, which can be answered in time. A call that is known to
//! come too late does not wait at all.
//!
//! A call that finds a free connection is always sent, however little time it has. So an estimate that
//! is too high is corrected as soon as no call waits.

use {
    crate::{Time, moving_average::MovingAverage, shutdown::expected_wait},
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest call in the recent average, which follows a change of the target's speed
/// within some ten calls.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of the newest call in the long average. The calls that were open in a pause of the target
/// hardly change it.
const LONG_WEIGHT: f64 = 0.02;

/// Averages of the times of some calls, in seconds.
#[derive(Clone, Copy, Debug)]
struct Averages {
    recent: MovingAverage,
    long: MovingAverage,
}

impl Default for Averages {
    fn default() -> Self {
        Self {
            recent: MovingAverage::new(RECENT_WEIGHT),
            long: MovingAverage::new(LONG_WEIGHT),
        }
    }
}

impl Averages {
    fn record(&mut self, took: Duration) {
        self.recent.record(took.as_secs_f64());
        self.long.record(took.as_secs_f64());
    }

    /// The lower average: after a pause the long one, after a slow phase the recent one.
    fn usual(self) -> Option<Duration> {
        let usual = self.recent.get()?.min(self.long.get()?);
        Some(Duration::from_secs_f64(usual))
    }
}

/// Times for which the calls to one target held a connection.
///
/// ```
/// use {rattanturn_core::{Time, call_times::CallTimes}, std::time::Duration};
/// let mut times = CallTimes::default();
/// let useful_until = Time::from_millis(1_000);
/// assert_eq!(times.send_by("r", useful_until), useful_until);
/// times.record_answer("r", Duration::from_millis(200));
/// assert_eq!(times.send_by("r", useful_until), Time::from_millis(800));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    all: Averages,
    routes: HashMap<String, Averages>,
}

impl CallTimes {
    /// Records a call that ran and was answered with success.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// let mut times = CallTimes::default();
    /// times.record_answer("r", Duration::from_millis(20));
    /// assert_eq!(times.usual("r"), Some(Duration::from_millis(20)));
    /// assert_eq!(times.usual("other"), None);
    /// ```
    pub fn record_answer(&mut self, route: &str, took: Duration) {
        self.record_other(took);
        self.record_route(route, took);
    }

    /// Records a call that held a connection but does not tell how long calls of its route take, such
    /// as one that the target refused.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// let mut times = CallTimes::default();
    /// times.record_other(Duration::from_millis(1));
    /// assert_eq!(times.recent(), Duration::from_millis(1));
    /// assert_eq!(times.usual("r"), None);
    /// ```
    pub fn record_other(&mut self, took: Duration) {
        self.all.record(took);
    }

    /// Records a call that was given up after it had held a connection for `took`. Its answer would
    /// have taken longer, so the estimates of its route never fall by it.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// let mut times = CallTimes::default();
    /// times.record_answer("r", Duration::from_millis(200));
    /// times.record_timeout("r", Duration::from_millis(150));
    /// assert_eq!(times.usual("r"), Some(Duration::from_millis(200)));
    /// ```
    pub fn record_timeout(&mut self, route: &str, took: Duration) {
        self.record_other(took);
        let usual = self.usual(route).unwrap_or_default();
        self.record_route(route, took.max(usual));
    }

    fn record_route(&mut self, route: &str, took: Duration) {
        if let Some(known) = self.routes.get_mut(route) {
            known.record(took);
        } else {
            let known = self.routes.entry(route.to_owned());
            known.or_default().record(took);
        }
    }

    /// Average time of the last calls; zero before the first one.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// assert_eq!(CallTimes::default().recent(), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn recent(&self) -> Duration {
        let recent = self.all.recent.get();
        recent.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    /// Expected wait of a call behind `waiting` others for one of `connections` that are all in use, if the
    /// target last answered `silent` ago. While it answers nothing, its calls hold their connections at
    /// least for that long.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// let ms = Duration::from_millis;
    /// let mut times = CallTimes::default();
    /// times.record_answer("r", ms(20));
    /// assert_eq!(times.expected_wait(ms(5), 1, 2), ms(20));
    /// assert_eq!(times.expected_wait(ms(500), 1, 2), ms(500));
    /// ```
    #[must_use]
    pub fn expected_wait(&self, silent: Duration, waiting: u32, connections: u32) -> Duration {
        expected_wait(self.recent().max(silent), waiting, connections)
    }

    /// Time that a call of the route usually takes, rather too low than too high; `None` if none was
    /// answered yet.
    ///
    /// ```
    /// use {rattanturn_core::call_times::CallTimes, std::time::Duration};
    /// let ms = Duration::from_millis;
    /// let mut times = CallTimes::default();
    /// (0..200).for_each(|_| times.record_answer("r", ms(10)));
    /// (0..9).for_each(|_| times.record_answer("r", ms(1_000)));
    /// assert!(times.usual("r") < Some(ms(200)));
    /// (0..30).for_each(|_| times.record_answer("r", ms(10)));
    /// assert!(times.usual("r") < Some(ms(50)));
    /// ```
    #[must_use]
    pub fn usual(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).and_then(|known| known.usual())
    }

    /// Last time at which a call of the route that has waited may be sent, if its answer is of use
    /// until `useful_until`.
    ///
    /// ```
    /// use rattanturn_core::{Time, call_times::CallTimes};
    /// let until = Time::from_millis(5);
    /// assert_eq!(CallTimes::default().send_by("r", until), until);
    /// ```
    #[must_use]
    pub fn send_by(&self, route: &str, useful_until: Time) -> Time {
        useful_until - self.usual(route).unwrap_or_default()
    }

    /// Whether a call that would wait behind `waiting` others for one of `connections` gets one too
    /// late to be answered by `useful_until`.
    ///
    /// ```
    /// use {rattanturn_core::{Time, call_times::CallTimes}, std::time::Duration};
    /// let mut times = CallTimes::default();
    /// times.record_answer("r", Duration::from_millis(200));
    /// let until = Time::from_millis(1_000);
    /// assert!(!times.waits_too_long("r", Time::ZERO, until, 3, 1));
    /// assert!(times.waits_too_long("r", Time::ZERO, until, 4, 1));
    /// ```
    #[must_use]
    pub fn waits_too_long(
        &self,
        route: &str,
        now: Time,
        useful_until: Time,
        waiting: u32,
        connections: u32,
    ) -> bool {
        let held = self.all.usual().unwrap_or_default();
        now + expected_wait(held, waiting, connections) > self.send_by(route, useful_until)
    }
}
