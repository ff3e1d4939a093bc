//! A stop keeps its order for every drain limit, and late requests are begun only if they can end.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        Time,
        hedge::CallLatency,
        shutdown::{LateRequest, StopSchedule, expected_wait},
    },
    std::time::Duration,
};

/// Longest generated drain limit and time of a stop's beginning, in microseconds: ten days.
const LONGEST_MICROS: u64 = 864_000_000_000;
/// Shortest limit whose times lie within it: each of its parts is a timer's resolution.
const SHORTEST_MICROS: u64 = 24_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn assert_ordered(stop: &StopSchedule) {
    assert!(stop.began() <= stop.close_at(), "{stop:?}");
    assert!(stop.close_at() < stop.answer_by(), "{stop:?}");
    assert!(stop.answer_by() < stop.end_by(), "{stop:?}");
    assert!(stop.end_by() < stop.exit_by(), "{stop:?}");
}

/// Guards against a daemon that refuses short requests for most of its stop because the first of the
/// few calls since its start was a long one.
#[test]
fn one_long_call_at_the_start_does_not_refuse_short_requests() {
    let mut latency = CallLatency::at(0.75);
    latency.record(ms(4_000));
    for _ in 0..9 {
        latency.record(ms(100));
    }
    let late = LateRequest {
        usual: latency.usual(),
        time_limit: ms(6_000),
        ..LateRequest::default()
    };
    assert!(late.fits(ms(3_000)), "{:?}", latency.usual());
}

/// Guards against a daemon that was started a short time ago and refuses requests for most of its stop,
/// because it takes twice their route's goal for their duration.
#[test]
fn requests_of_unknown_duration_are_served_while_their_goal_fits() {
    let late = LateRequest {
        goal: Some(ms(2_000)),
        time_limit: ms(6_000),
        ..LateRequest::default()
    };
    assert!(late.fits(ms(2_250)));
    assert!(!late.fits(ms(1_900)));
    assert!(
        !LateRequest {
            wait: ms(500),
            ..late
        }
        .fits(ms(2_250))
    );
}

#[test]
fn a_limit_below_two_seconds_does_not_close_at_once() {
    for limit in [ms(300), ms(1_000), ms(1_900)] {
        let stop = StopSchedule::new(Time::from_millis(50), limit);
        assert!(stop.close_at().since(stop.began()) >= limit / 2, "{stop:?}");
    }
}

#[test]
fn a_limit_of_zero_keeps_the_order_of_events() {
    assert_ordered(&StopSchedule::new(Time::ZERO, Duration::ZERO));
}

#[test]
fn a_limit_beyond_all_range_keeps_the_order_of_events() {
    assert_ordered(&StopSchedule::new(Time::from_millis(9), Duration::MAX));
}

#[test]
fn targets_at_work_until_the_last_sixth_are_not_given_up() {
    let limit = ms(6_000);
    let stop = StopSchedule::new(Time::ZERO, limit);
    assert!(stop.answer_by().since(stop.began()) > limit * 5 / 6);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_times_of_a_stop_are_in_order(began in 0..LONGEST_MICROS, limit in 0..LONGEST_MICROS) {
        let stop = StopSchedule::new(Time::from_micros(began), Duration::from_micros(limit));
        assert_ordered(&stop);
        let kill = Time::from_micros(began + limit.max(SHORTEST_MICROS));
        prop_assert!(stop.exit_by() < kill, "{stop:?}");
    }

    #[test]
    fn short_limits_are_in_order(limit in 0..10_000_000_u64) {
        let stop = StopSchedule::new(Time::ZERO, Duration::from_micros(limit));
        assert_ordered(&stop);
        prop_assert!(stop.exit_by() < Time::from_micros(limit.max(SHORTEST_MICROS)), "{stop:?}");
    }

    #[test]
    fn a_hurried_stop_is_in_order_and_never_later(
        began in 0..LONGEST_MICROS,
        limit in 0..10_000_000_u64,
        after in 0..20_000_000_u64,
    ) {
        let stop = StopSchedule::new(Time::from_micros(began), Duration::from_micros(limit));
        let now = Time::from_micros(began + after);
        let hurried = stop.hurried(now);
        assert_ordered(&hurried);
        prop_assert!(hurried.close_at() <= stop.close_at());
        prop_assert!(hurried.answer_by() <= stop.answer_by());
        prop_assert_eq!(hurried.end_by(), stop.end_by());
        prop_assert!(hurried.answer_by() <= now + ms(1));
    }

    #[test]
    fn more_time_never_turns_a_served_request_into_a_refused_one(
        usual in 0..10_000_u64,
        wait in 0..3_000_u64,
        services in 0..40_usize,
        time_limit in 0..10_000_u64,
        idempotent: bool,
        left in 0..10_000_u64,
        more in 0..10_000_u64,
    ) {
        let late = LateRequest {
            usual: Some(ms(usual)),
            goal: None,
            wait: ms(wait),
            services,
            time_limit: ms(time_limit),
            idempotent,
        };
        prop_assert!(!late.fits(ms(left)) || late.fits(ms(left + more)));
        let repeatable = LateRequest { idempotent: true, ..late };
        prop_assert!(!late.fits(ms(left)) || repeatable.fits(ms(left)));
    }
}

/// A request that must not be repeated, on a route that takes `usual`.
fn once(usual: u64) -> LateRequest {
    LateRequest {
        usual: Some(ms(usual)),
        services: 1,
        time_limit: ms(8_000),
        ..LateRequest::default()
    }
}

#[test]
fn requests_that_end_by_their_own_limit_are_not_refused() {
    let late = LateRequest {
        time_limit: ms(900),
        wait: ms(5_000),
        ..once(2_000)
    };
    assert!(late.fits(ms(900)) && !late.fits(ms(899)));
}

#[test]
fn requests_longer_than_what_is_left_are_refused() {
    for idempotent in [false, true] {
        let late = LateRequest {
            idempotent,
            ..once(1_500)
        };
        assert!(!late.fits(ms(1_499)));
    }
}

#[test]
fn a_request_that_must_not_be_repeated_gets_a_larger_margin() {
    let (late, left) = (once(400), ms(700));
    assert!(!late.fits(left));
    let repeatable = LateRequest {
        idempotent: true,
        ..late
    };
    assert!(repeatable.fits(left));
}

#[test]
fn short_requests_are_not_refused_while_seconds_are_left() {
    assert!(once(220).fits(ms(1_250)));
}

#[test]
fn a_request_that_waits_behind_others_is_refused_in_time() {
    let wait = expected_wait(ms(220), 10, 1);
    let late = LateRequest { wait, ..once(220) };
    assert!(!late.fits(ms(2_000)) && late.fits(ms(3_200)));
}

#[test]
fn a_request_to_many_services_is_as_slow_as_the_slowest() {
    let gather = LateRequest {
        idempotent: true,
        services: 16,
        ..once(500)
    };
    assert!(!gather.fits(ms(1_400)) && gather.fits(ms(1_501)));
}

#[test]
fn a_request_of_unknown_duration_runs_only_if_it_may_be_repeated() {
    let unknown = LateRequest {
        usual: None,
        ..once(0)
    };
    assert!(!unknown.fits(ms(5_000)));
    let repeatable = LateRequest {
        idempotent: true,
        ..unknown
    };
    assert!(repeatable.fits(ms(10)));
}

#[test]
fn no_request_is_begun_once_the_answers_are_due() {
    let unknown = LateRequest {
        idempotent: true,
        ..LateRequest::default()
    };
    assert!(!unknown.fits(ms(0)) && !once(0).fits(ms(0)));
}

#[test]
fn the_wait_for_a_connection_stays_in_range() {
    assert!(expected_wait(Duration::MAX, u32::MAX, 0) > ms(0));
    assert_eq!(expected_wait(Duration::ZERO, 7, 3), Duration::ZERO);
}
