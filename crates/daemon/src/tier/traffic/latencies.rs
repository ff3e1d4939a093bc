//! How long calls take: by route, and of each target relative to its route.

use {
    super::Traffic,
    crate::tier::{connection::Answer, upstream::Upstream},
    rattanturn_core::{Time, hedge::CallLatency},
    std::time::Duration,
};

/// Quantile of a route's call latencies above which a call counts as slow. When a sixth of the
/// targets are slow at once, a higher one would follow them, and their calls would not be hedged.
const SLOW_QUANTILE: f64 = 0.75;
/// Weight of the newest answer in a target's relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.25;
/// Highest relative latency that one answer counts with, so that an outlier soon fades.
const MAX_RELATIVE_LATENCY: f64 = 8.0;

impl Traffic {
    /// Latency above which a call of the route counts as slow.
    pub(crate) fn slow_threshold(&self, route: &str) -> Duration {
        let latencies = self.latencies.borrow();
        latencies.get(route).map_or_else(
            || CallLatency::at(SLOW_QUANTILE).slow_threshold(),
            CallLatency::slow_threshold,
        )
    }

    /// Time for which a call of the route is expected to hold a connection; `None` if none was
    /// answered yet.
    pub(crate) fn usual_held(&self, route: &str) -> Option<Duration> {
        let held = self.held.borrow();
        held.get(route).and_then(CallLatency::usual)
    }

    /// Records for how long an answered call of the route held a connection.
    pub(crate) fn record_held(&self, route: &str, held: Duration) {
        let mut all = self.held.borrow_mut();
        let known = all.entry(route.into());
        known
            .or_insert_with(|| CallLatency::at(SLOW_QUANTILE))
            .record(held);
    }

    /// Updates the latency estimates of the route and of the target that answered.
    pub(crate) fn record_answer(
        &self,
        now: Time,
        route: &str,
        upstream: &Upstream,
        index: usize,
        took: Duration,
        answer: &Answer,
    ) {
        let relative_latency = {
            let mut latencies = self.latencies.borrow_mut();
            let latency = latencies
                .entry(route.into())
                .or_insert_with(|| CallLatency::at(SLOW_QUANTILE));
            latency.record(took).min(MAX_RELATIVE_LATENCY)
        };
        upstream.relative_latency.set(
            upstream.relative_latency.get() * (1.0 - RELATIVE_LATENCY_WEIGHT)
                + relative_latency * RELATIVE_LATENCY_WEIGHT,
        );
        // The target's queue, in calls that wait for each of its slots.
        let queue = answer
            .head
            .load
            .map_or(0.0, |l| f64::from(l.waiting) / f64::from(l.slots.max(1)));
        self.record_relative_latency(now, index, upstream.relative_latency.get() + queue);
    }

    /// Sets the relative latency that is expected of the target's next call.
    pub(crate) fn record_relative_latency(&self, now: Time, index: usize, relative_latency: f64) {
        self.selector
            .borrow_mut()
            .record_relative_latency(now, index, relative_latency);
    }
}
