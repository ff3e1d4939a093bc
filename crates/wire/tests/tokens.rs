//! Datagrams with tokens of accounts.

use {
    rattanturn_core::{
        NodeId,
        allowance::{Ask, Lent},
    },
    rattanturn_wire::{Datagram, decode, encode},
};

fn ask() -> Ask {
    Ask {
        account: "ralo620".into(),
        tokens: 3,
        seq: 9,
    }
}

#[test]
fn questions_and_answers_are_read_again() {
    let lent = Lent {
        account: "ralo620".into(),
        tokens: 2,
        seq: 9,
        life_ms: 200,
        retry_ms: 0,
    };
    let borrow = Datagram::Borrow(NodeId(u64::MAX), vec![ask()]);
    for datagram in [borrow, Datagram::Lent(NodeId(2), vec![lent])] {
        assert_eq!(decode(&encode(&datagram)).unwrap().0, datagram);
    }
}

/// Guards the names on the wire, by which builds of different age understand each other.
#[test]
fn a_question_has_the_documented_form() {
    let bytes = encode(&Datagram::Borrow(NodeId(4), vec![ask()]));
    let json: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
    let expected = serde_json::json!({
        "from": 4, "borrow": [{"account": "ralo620", "tokens": 3, "seq": 9}]
    });
    assert_eq!(json, expected);
}

/// A newer build may add fields and kinds. The fields must not hide what is known, and the kinds must
/// not be taken for another one.
#[test]
fn unknown_fields_are_ignored_and_unknown_kinds_refused() {
    let text = r#"{"later":[1],"from":4,"borrow":[{"account":"a","tokens":1,"seq":2,"x":{}}]}"#;
    let datagram = decode(text.as_bytes()).unwrap().0;
    assert!(matches!(datagram, Datagram::Borrow(NodeId(4), list) if list.len() == 1));
    for text in [
        r#"{"from":4,"later":[]}"#,
        r#"{"from":4}"#,
        r#"{"borrow":[]}"#,
        "{",
    ] {
        assert!(decode(text.as_bytes()).is_err(), "{text}");
    }
}
