//! Accounts of callers: lookup by key, findings, admission, and the time that large lists take.

use {
    cpu_time::ThreadTime,
    rattanturn_core::{
        Time,
        accounts::{Account, Accounts, Credential, Denial, Finding, KeyHasher, admit},
        line_limit::LineLimit,
    },
    std::time::Duration,
};

/// Number of accounts in the timed test, with [`KEYS_EACH`] keys each.
const MANY: usize = 10_000;
const KEYS_EACH: usize = 2;
/// Longest processor time to build the accounts of the timed test; it takes some milliseconds.
const BUILD_TIME: Duration = Duration::from_millis(500);
/// Longest mean processor time of a lookup, which takes about a microsecond.
const LOOKUP_TIME: Duration = Duration::from_micros(20);

fn account(name: &str) -> Account {
    Account {
        name: name.into(),
        ..Account::default()
    }
}

fn build(list: Vec<(Account, Vec<String>)>) -> Result<Accounts, Vec<Finding>> {
    Accounts::new(KeyHasher::new([7; 32]), list)
}

fn two() -> Accounts {
    let keys = |list: &[&str]| list.iter().map(|k| (*k).to_owned()).collect();
    build(vec![
        (account("a"), keys(&["a1", "a2"])),
        (account("b"), keys(&["b1"])),
    ])
    .unwrap()
}

/// Guards against a key that is found by a part of it, in another case or with blanks around it.
#[test]
fn only_a_whole_key_is_found() {
    let accounts = two();
    for (key, name) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        assert_eq!(accounts.find(key.as_bytes()).unwrap().name, name);
    }
    for key in [&b""[..], b"a", b"a11", b"A1", b" a1", b"a1\0", b"\xff\xfe"] {
        assert!(accounts.find(key).is_none(), "{key:?}");
    }
}

/// Guards against a configuration that would serve one caller as another or that has no clear meaning.
#[test]
fn each_finding_names_account_and_field_but_no_key() {
    let key = || vec!["secret-key".to_owned()];
    let rate = |rate| Account {
        rate: Some(rate),
        ..account("x")
    };
    let burst = Account {
        burst: -1.0,
        ..account("x")
    };
    let cases = [
        (
            vec![(account("x"), key()), (account("y"), key())],
            "\"y\"",
            "keys",
        ),
        (vec![(account("x"), vec![String::new()])], "\"x\"", "keys"),
        (vec![(account(""), key())], "number 1", "name"),
        (vec![(account("x\n"), key())], "\"x\\n\"", "name"),
        (
            vec![(account("x"), key()), (account("x"), vec![])],
            "\"x\"",
            "name",
        ),
        (vec![(rate(-1.0), key())], "\"x\"", "rate"),
        (vec![(rate(f64::NAN), key())], "\"x\"", "rate"),
        (vec![(burst, key())], "\"x\"", "burst"),
    ];
    for (list, name, field) in cases {
        let findings = build(list).unwrap_err();
        let first = &findings[0];
        assert_eq!((first.account.as_str(), first.field), (name, field));
        assert!(!format!("{findings:?} {first}").contains("secret-key"));
    }
}

#[test]
fn an_account_may_list_a_key_twice_or_have_none() {
    let list = vec![
        (account("x"), vec!["k".into(), "k".into()]),
        (account("y"), vec![]),
    ];
    assert_eq!(build(list).unwrap().iter().count(), 2);
}

/// Guards against a key or the secret in a debug print, which may reach a log.
#[test]
fn debug_prints_contain_neither_keys_nor_hashes() {
    let hasher = KeyHasher::new([7; 32]);
    let text = format!("{:?} {hasher:?}", two());
    let hash = format!("{:?}", hasher.hash(b"a1"));
    assert!(!text.contains("a1") && !text.contains(&hash) && !text.contains("7, 7"));
}

#[test]
fn admission_follows_key_route_and_confirmation() {
    let accounts = two();
    let decide = |stated, public, confirmed| {
        let found = admit(&accounts, stated, public, confirmed);
        found.map(|a| a.map(|a| a.name.clone()))
    };
    let (good, bad) = (Credential::Key(b"a1"), Credential::Key(b"zz"));
    let a = Some("a".to_owned());
    assert_eq!(decide(good, false, true), Ok(a.clone()));
    assert_eq!(decide(bad, false, true), Err(Denial::UnknownKey));
    assert_eq!(decide(Credential::Missing, false, true), Err(Denial::NoKey));
    let ambiguous = decide(Credential::Ambiguous, false, true);
    assert_eq!(ambiguous, Err(Denial::AmbiguousKey));
    assert_eq!(decide(good, false, false), Err(Denial::Unconfirmed));
    assert_eq!(decide(good, true, true), Ok(a));
    for stated in [bad, Credential::Missing, Credential::Ambiguous] {
        assert_eq!(decide(stated, true, true), Ok(None));
    }
    assert_eq!(decide(good, true, false), Ok(None), "it may be revoked");
}

/// Guards against a configuration with many accounts that stalls the control thread.
#[test]
fn large_lists_are_built_and_searched_quickly() {
    let key = |i: usize, k: usize| format!("key-{i}-{k}");
    let keys = |i| (0..KEYS_EACH).map(|k| key(i, k)).collect();
    let list: Vec<_> = (0..MANY)
        .map(|i| (account(&format!("n{i}")), keys(i)))
        .collect();
    let start = ThreadTime::now();
    let accounts = build(list).unwrap();
    let built = start.elapsed();
    let start = ThreadTime::now();
    for i in 0..MANY {
        assert!(accounts.find(key(i, i % KEYS_EACH).as_bytes()).is_some());
    }
    let each = start.elapsed() / u32::try_from(MANY).unwrap();
    println!("{MANY} accounts: built in {built:?}, {each:?} for a lookup");
    assert!(
        built < BUILD_TIME && each < LOOKUP_TIME,
        "{built:?} {each:?}"
    );
}

/// Guards against a log that callers with wrong keys can fill.
#[test]
fn lines_are_bounded_and_those_left_out_are_counted() {
    let mut limit = LineLimit::new(3);
    let (mut written, mut left_out) = (0, 0);
    for ms in 0..10_000 {
        if let Some(n) = limit.admit(Time::from_micros(1 + ms * 1_000)) {
            written += 1;
            left_out += n;
        }
    }
    assert!(written <= 33, "{written}");
    assert!(left_out >= 10_000 - written - 1_000, "{left_out}");
}
