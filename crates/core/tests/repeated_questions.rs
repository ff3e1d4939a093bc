//! Questions for tokens that are asked again, because they or their answers may have been lost.

use {
    rattanturn_core::{
        NodeId, Time,
        allowance::{ASK_AGAIN, Ask, Borrower, Grant, Limit, Owner, Rules, Standing, Take},
    },
    std::time::Duration,
};

const RULES: Rules = Rules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const LIMIT: Limit = Limit {
    rate: 10.0,
    burst: 10.0,
};

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

/// Guards against tokens that are lost because the owner refuses a question and lends for its repetition.
#[test]
fn tokens_for_a_repeated_question_count_after_a_refusal() {
    let mut borrower = Borrower::new(RULES, Time::ZERO);
    assert_eq!(borrower.take(ms(9), "a", LIMIT, true), Take::Wait);
    let seq = borrower.asks(ms(9))[0].seq;
    assert_eq!(borrower.asks(ms(29))[0].seq, seq);
    borrower.refused(ms(30), "a", seq, Duration::from_millis(5));
    borrower.granted(ms(31), "a", seq, 1, RULES.life());
    borrower.end_wait("a");
    let take = borrower.take(ms(31), "a", LIMIT, false);
    assert!(matches!(take, Take::Run(_)), "{take:?}");
}

/// Guards against credits that stay unpaid, and so refuse requests, because no request waits for the
/// answer that was lost.
#[test]
fn unpaid_credits_are_asked_for_until_they_are_paid() {
    let mut borrower = Borrower::new(RULES, Time::ZERO);
    borrower.set_fraction(1.0);
    let started = ms(6_000);
    let take = borrower.take(started, "a", LIMIT, true);
    assert!(matches!(take, Take::Run(_)), "{take:?}");
    let (mut now, mut asked, mut seq) = (started, 0, 0);
    while borrower.has_open_asks() && asked < 5 {
        for ask in borrower.asks(now) {
            (asked, seq) = (asked + 1, ask.seq);
        }
        now = now + ASK_AGAIN;
    }
    assert_eq!((asked, now), (5, started + ASK_AGAIN * 6));
    borrower.granted(now, "a", seq, 1, RULES.life());
    assert!(borrower.asks(now).is_empty() && !borrower.has_open_asks());
}

/// Guards against tokens that are lent for a question that the borrower has given up, and are lost.
#[test]
fn question_that_arrives_after_a_later_one_gets_no_tokens() {
    let mut owner = Owner::new(NodeId(1), RULES, Time::ZERO);
    let all = Standing {
        alive: 2,
        registered: 2,
    };
    owner.set_daemons(ms(6_000), &[NodeId(1)]);
    owner.set_standing(ms(6_000), all);
    let mut lend = |seq: u32| {
        let ask = Ask {
            account: "a".into(),
            tokens: 1,
            seq,
        };
        owner.lend_to(ms(6_100), LIMIT, NodeId(2), &ask)
    };
    assert_eq!(lend(u32::MAX), Grant::Lent(1));
    assert_eq!(lend(0), Grant::Lent(1));
    assert_eq!(lend(u32::MAX), Grant::Outdated);
    assert_eq!(lend(0), Grant::Lent(1));
}
