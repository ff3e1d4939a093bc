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
    assert_eq!(decode(&bytes).unwrap().0, datagram);
}

/// Daemons of older builds send this form, and newer ones may add fields.
#[test]
fn evidence_of_older_and_newer_builds_is_read() {
    let old = r#"{"from":7,"evidence":[{"request":"000102030405060708090a0b0c0d0e0f","round":1,"ended":[3,4],"trials":1,"age_ms":5}]}"#;
    let new = old.replace("\"age_ms\":5", "\"age_ms\":5,\"later\":{}");
    let read = decode(old.as_bytes()).unwrap().0;
    assert_eq!(decode(new.as_bytes()).unwrap().0, read);
    assert_eq!(encode(&read), old.as_bytes());
}
