//! Evidence on roll-outs as datagrams.

use {
    rattanturn_core::{
        NodeId,
        rollout::{Call, Evidence, Outcome},
    },
    rattanturn_wire::{Datagram, decode, encode},
    std::time::Duration,
};

/// Guards against evidence that no other daemon can read, so that each decides by its own answers.
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
    assert_eq!(decode(&encode(&datagram)).unwrap(), datagram);
}
