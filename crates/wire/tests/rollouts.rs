//! Evidence on roll-outs in datagrams.

use {
    rattanturn_core::{
        NodeId,
        rollout::{Call, Evidence, Outcome},
    },
    rattanturn_wire::{Datagram, MAX_ROLLOUT_BYTES, decode, encode},
    std::time::Duration,
};

/// Guards against evidence that no other daemon can read, so that each judges a version by its own
/// answers.
#[test]
fn evidence_of_a_daemon_is_read_by_others() {
    let mut evidence = Evidence::new("a", "v2", 0);
    let call = Call {
        route: "search",
        target: "i-1",
        new: true,
        cold: false,
        outcome: Outcome::Failed,
        latency: Duration::from_millis(20),
        at_ms: 700,
    };
    evidence.record(NodeId(2), &call);
    for part in evidence.split(MAX_ROLLOUT_BYTES) {
        let sent = Datagram::Rollouts(NodeId(2), vec![part.clone()]);
        let Ok((Datagram::Rollouts(from, read), _)) = decode(&encode(&sent)) else {
            panic!("cannot be read: {sent:?}");
        };
        assert_eq!(from, NodeId(2));
        let mut merged = Evidence::new("a", "v2", 0);
        merged.merge(&read[0]);
        assert_eq!(merged.totals(), part.totals());
        assert_eq!(merged.totals().1.failed, 1);
    }
}

/// Guards against answers of the old version, or large ids, that are lost on the way.
#[test]
fn evidence_with_answers_survives_the_wire() {
    let mut evidence = Evidence::new("a", "v2", 1_000);
    for new in [false, true] {
        let call = Call {
            route: "search",
            target: "i-1",
            new,
            cold: false,
            outcome: Outcome::Failed,
            latency: Duration::from_millis(20),
            at_ms: 1_700,
        };
        evidence.record(NodeId(u64::MAX), &call);
    }
    let datagram = Datagram::Rollouts(NodeId(7), vec![evidence.of_node(NodeId(u64::MAX))]);
    assert_eq!(decode(&encode(&datagram)).unwrap().0, datagram);
}
