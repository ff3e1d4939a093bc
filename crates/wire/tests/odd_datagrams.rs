//! Datagrams that cannot be read, as a whole or in part.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        NodeId,
        discovery::Target,
        membership::{Endpoints, MemberRecord, Message, MessageKind, State, Versions},
    },
    rattanturn_wire::{Datagram, decode, encode, items::Items},
};

const SOUND: &str = r#"{"request":"000102030405060708090a0b0c0d0e0f","round":1,"ended":[3,4],"trials":1,"age_ms":5}"#;

/// All reports of a datagram were lost because of one.
#[test]
fn an_odd_report_hides_only_itself() {
    let deep = format!("{}{}", "[".repeat(2_000), "]".repeat(2_000));
    let big = SOUND.replace("\"age_ms\":5", "\"age_ms\":1e400");
    let negative = SOUND.replace("\"round\":1", "\"round\":-1");
    for odd in ["null", "7", "{}", &deep, &big, &negative] {
        let bytes = format!(r#"{{"from":7,"evidence":[{SOUND},{odd},{SOUND}]}}"#);
        let Ok((Datagram::Evidence(_, list), odd)) = decode(bytes.as_bytes()) else {
            panic!("cannot be read: {}", &bytes[..bytes.len().min(200)]);
        };
        assert_eq!((list.len(), odd.len()), (2, 1));
    }
    for kind in ["rollouts", "borrow", "lent", "returned"] {
        let bytes = format!(r#"{{"from":7,"{kind}":[null]}}"#);
        assert!(decode(bytes.as_bytes()).is_ok(), "{kind}");
    }
}

fn member(id: u64, gossip: &str, state: State) -> MemberRecord {
    MemberRecord {
        id: NodeId(id),
        state,
        incarnation: 1,
        endpoints: Endpoints {
            name: format!("d{id}"),
            centre: "a".into(),
            gossip: gossip.parse().unwrap(),
            http: 1,
            admin: 2,
            rpc: 3,
            threads: 1,
        },
    }
}

/// A message was dropped as a whole because of one record, with its sender's answer to a probe.
#[test]
fn an_odd_member_hides_only_itself() {
    let message = Message {
        from: NodeId(1),
        kind: MessageKind::Ack(9),
        digest: 5,
        versions: Versions::default(),
        records: vec![
            member(2, "127.0.0.1:7000", State::Alive),
            member(3, "127.0.0.1:7999", State::Alive),
            member(4, "127.0.0.1:7002", State::Leaving),
        ],
    };
    let bytes = encode(&Datagram::Gossip(message.clone()));
    let at = bytes.windows(4).position(|w| w == b"7999").unwrap();
    let mut damaged = bytes;
    damaged[at] = b'x';
    let (Datagram::Gossip(read), odd) = decode(&damaged).unwrap() else {
        panic!("not a membership message");
    };
    assert_eq!((read.kind, read.from), (message.kind, message.from));
    assert_eq!(
        read.records,
        [message.records[0].clone(), message.records[2].clone()]
    );
    assert_eq!(odd[0].id, Some(NodeId(3).to_string()));
}

/// Such a target went out of use without a word, as if the sender had left it out.
#[test]
fn an_odd_target_is_named_if_its_id_can_be_read() {
    let sound = r#"{"id":"i-1","service":"s","addr":"127.0.0.1:80","centre":"a","slots":3,"leaving":false,"cold_left":{"secs":0,"nanos":0},"born":1,"beat":2}"#;
    let deep = format!("{}{}", "[".repeat(2_000), "]".repeat(2_000));
    let list = [
        sound.to_owned(),
        sound.replace("i-1", "port").replace(":80", ":70000"),
        sound.replace("i-1", "slots").replace(":3", ":1e400"),
        sound.replace("i-1", "deep").replace("false", &deep),
        sound.replace("\"i-1\"", "7"),
        "null".into(),
    ];
    let text = format!("[{}]", list.join(","));
    let items: Items<Target> = serde_json::from_str(&text).unwrap();
    assert_eq!(items.readable.len(), 1);
    let named: Vec<Option<&str>> = items.unreadable.iter().map(|o| o.id.as_deref()).collect();
    assert_eq!(
        named,
        [Some("port"), Some("slots"), Some("deep"), None, None]
    );
}

fn valid() -> Vec<Vec<u8>> {
    let json = format!(r#"{{"from":7,"evidence":[{SOUND}]}}"#);
    let votes = encode(&Datagram::LeaseVotes(NodeId(3), vec![]));
    vec![json.into_bytes(), votes]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(47),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        // Only that it returns is checked.
        let _ = decode(&bytes);
        let _ = decode(&[b"{", &*bytes].concat());
    }

    #[test]
    fn damaged_datagrams_never_panic(
        which in 0..2_usize,
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = valid().remove(which);
        for (at, byte) in damage {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let _ = decode(&bytes);
        let _ = decode(&bytes[..cut.index(bytes.len())]);
    }
}
