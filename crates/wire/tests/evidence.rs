//! Datagrams with evidence against crashing requests.

use {
    rattanturn_core::{
        NodeId,
        fingerprint::{Fingerprint, RequestParts},
        quarantine::Evidence,
    },
    rattanturn_wire::{Datagram, decode, encode},
};

/// Payload of a UDP datagram that no Ethernet link fragments.
const PACKET_BYTES: usize = 1_472;
/// Most reports that a daemon puts into a datagram.
const MAX_REPORTS: u32 = 8;

#[test]
fn a_full_datagram_with_evidence_fits_into_a_packet_and_is_read_again() {
    let report = |n: u32| Evidence {
        request: Fingerprint::of(&RequestParts {
            method: "GET",
            host: "desk.example",
            path: &format!("/{n}"),
            caller: b"",
            body: b"",
        }),
        round: u32::MAX,
        ended: (u32::MAX - 3..=u32::MAX).collect(),
        trials: 1_000,
        age_ms: 3_600_000,
    };
    let datagram = Datagram::Evidence(NodeId(u64::MAX), (0..MAX_REPORTS).map(report).collect());
    let bytes = encode(&datagram);
    assert!(bytes.len() <= PACKET_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode(&bytes).unwrap(), datagram);
}
