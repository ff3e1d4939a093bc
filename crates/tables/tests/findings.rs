//! Findings about faulty tables and settings: all of them are reported at once, each with its line.

use rattanturn_tables::{Settings, Severity, parse_tables};

const POOLS: &str = "\
[data-centre a]
region = r
state = gone
[pool p]
slots = 0
connections = many
connect-time = 6
[pool q]
slots = 4
connections = 2
cold-calls = 9
[pool q]
slots = 1
[service p/one]
targets = a@127.0.0.1:9000, b@127.0.0.1:9001
[service p/two]
targets = a@127.0.0.1:9000, nonsense
[service z/three]
targets = a@127.0.0.1:9003
colour = red
";

const ROUTES: &str = "\
[route find]
kind = sideways
pool = nowhere
deadline = 9s
min-coverage = 2
[route bill]
kind = fan-out
pool = p
idempotent = no
";

#[test]
fn all_errors_in_both_tables_are_reported_with_their_lines() {
    let findings = parse_tables(ROUTES, POOLS).unwrap_err();
    let positions: Vec<(&str, usize)> = findings
        .list
        .iter()
        .map(|f| (f.file.as_str(), f.line))
        .collect();
    let expected = [
        ("pools.ini", 3),
        ("pools.ini", 5),
        ("pools.ini", 6),
        ("pools.ini", 7),
        ("pools.ini", 10),
        ("pools.ini", 11),
        ("pools.ini", 12),
        ("pools.ini", 8),
        ("pools.ini", 15),
        ("pools.ini", 17),
        ("pools.ini", 18),
        ("routes.ini", 2),
        ("routes.ini", 3),
        ("routes.ini", 4),
        ("routes.ini", 5),
        ("routes.ini", 9),
    ];
    for position in expected {
        assert!(
            positions.contains(&position),
            "no finding at {position:?}:\n{findings}"
        );
    }
    assert!(findings.list.iter().all(|f| !f.remedy.is_empty()));
}

#[test]
fn an_unknown_key_is_a_warning() {
    let findings = parse_tables(ROUTES, POOLS).unwrap_err();
    let colour = findings
        .list
        .iter()
        .find(|f| f.problem.contains("colour"))
        .unwrap();
    assert_eq!((colour.line, colour.severity), (20, Severity::Warning));
}

#[test]
fn a_syntax_error_is_reported_with_file_and_line() {
    let findings = parse_tables("", "[pool p\nslots = 1\n").unwrap_err();
    assert_eq!(findings.list[0].file, "pools.ini");
    assert!(findings.list[0].line >= 1);
}

#[test]
fn all_errors_in_settings_are_reported_with_their_lines() {
    let text = "[daemon]\nname = a1\nip = here\npeers = x\n[platform]\naddress = 1\n";
    let findings = Settings::parse("daemon.ini", text).unwrap_err();
    let lines: Vec<usize> = findings.list.iter().map(|f| f.line).collect();
    assert_eq!(lines.len(), 4, "{findings}");
    assert!(lines.contains(&3) && lines.contains(&4) && lines.contains(&6));
}

/// Guards against a daemon that does not start because a deployment's bound is a fraction.
#[test]
fn a_duration_may_be_a_decimal_number() {
    let settings = |limit: &str| {
        let text = format!(
            "[daemon]\nname = a1\ndata-centre = a\ndrain-limit = {limit}\n\
             [platform]\naddress = 127.0.0.1:7000\n"
        );
        Settings::parse("daemon.ini", &text).map(|(settings, _)| settings.drain_limit)
    };
    let ms = |text| settings(text).unwrap().as_millis();
    assert_eq!(
        ["7.5s", "6.0s", "6s", "1200.5ms", "0.1min"].map(ms),
        [7_500, 6_000, 6_000, 1_200, 6_000]
    );
    for wrong in [
        "7.5",
        "s",
        ".",
        "1.2.3s",
        "-1s",
        "1e3s",
        "99999999999999999999s",
        "18446744073709551615.5s",
    ] {
        assert!(settings(wrong).is_err(), "{wrong}");
    }
}

/// Guards against a daemon that starts without memory for answers, or not because its memory is a fraction.
#[test]
fn memory_is_a_positive_number() {
    let settings = |memory: &str| {
        let text = format!(
            "[daemon]\nname = a1\ndata-centre = a\n[platform]\naddress = 127.0.0.1:7000\n[tier]\n\
             front = 127.0.0.1:1\nready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n{memory}\n"
        );
        Settings::parse("daemon.ini", &text).map(|(s, _)| s.tier.unwrap().memory_bytes)
    };
    let bytes = ["", "memory-mb = 260", "memory-mb = 127.5"].map(|m| settings(m).unwrap());
    assert_eq!(bytes, [256_000_000, 260_000_000, 127_500_000]);
    for wrong in ["0", "-1", "NaN", "inf", "128MB"] {
        assert!(
            settings(&format!("memory-mb = {wrong}")).is_err(),
            "{wrong}"
        );
    }
}

/// A parser that stops at the first line that is not INI syntax would hide the findings about all
/// other lines.
#[test]
fn lines_that_are_not_ini_syntax_do_not_hide_other_findings() {
    let pools = "[data-centre a]\nregion = r\nstray words\n[pool p]\nslots = 0\n[broken\n";
    let findings = parse_tables(ROUTES, pools).unwrap_err();
    let problem_at = |line: usize| {
        let found = findings
            .list
            .iter()
            .find(|f| f.file == "pools.ini" && f.line == line);
        found.map(|f| f.problem.clone()).unwrap_or_default()
    };
    assert!(problem_at(3).starts_with("not INI"), "{findings}");
    assert!(problem_at(5).contains("zero"), "{findings}");
    assert!(problem_at(6).starts_with("not INI"), "{findings}");
    assert!(
        findings.list.iter().any(|f| f.file == "routes.ini"),
        "{findings}"
    );
}

/// Guards against a setting that is added without adding it to the example.
#[test]
fn the_example_settings_contain_every_key() {
    let text = include_str!("../../../examples/settings.ini");
    let (settings, findings) = Settings::parse("settings.ini", text).unwrap();
    assert!(findings.list.is_empty(), "{findings}");
    assert!(settings.tier.is_some() && settings.peer_port.is_some());
    for key in KEYS {
        let named = text.lines().any(|l| l.split(" =").next() == Some(key));
        assert!(named, "`{key}` is missing from examples/settings.ini");
    }
}

/// Every key of a daemon's settings.
const KEYS: [&str; 39] = [
    "name",
    "data-centre",
    "ip",
    "http-port",
    "admin-port",
    "metrics-port",
    "rpc-port",
    "advertised-rpc-port",
    "gossip-port",
    "peers",
    "peer-port",
    "threads",
    "drain-limit",
    "max-body",
    "holding",
    "shares",
    "peer-delay",
    "front",
    "ready",
    "directory",
    "cores",
    "memory-mb",
    "repeat-ratio",
    "repeat-slack",
    "config-limit",
    "evacuation-limit",
    "heartbeat",
    "target-gateway",
    "exposure",
    "exposure-slack",
    "rollback-limit",
    "strict-revoke",
    "revoke-limit",
    "quota-window",
    "quota-overshoot",
    "quota-slack",
    "address",
    "level",
    "format",
];
