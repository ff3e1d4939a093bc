//! A table with a dozen mistakes is refused with a dozen findings, each with its line.

use rattanturn_tables::{Settings, Severity, tables};

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
fn every_mistake_is_reported_with_its_line() {
    let findings = tables(ROUTES, POOLS).unwrap_err();
    let places: Vec<(&str, usize)> = findings
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
    for place in expected {
        assert!(
            places.contains(&place),
            "no finding at {place:?}:\n{findings}"
        );
    }
    assert!(findings.list.iter().all(|f| !f.remedy.is_empty()));
}

#[test]
fn an_unknown_key_is_a_warning() {
    let findings = tables(ROUTES, POOLS).unwrap_err();
    let colour = findings
        .list
        .iter()
        .find(|f| f.problem.contains("colour"))
        .unwrap();
    assert_eq!((colour.line, colour.severity), (20, Severity::Warning));
}

#[test]
fn a_syntax_error_names_its_line() {
    let findings = tables("", "[pool p\nslots = 1\n").unwrap_err();
    assert_eq!(findings.list[0].file, "pools.ini");
    assert!(findings.list[0].line >= 1);
}

#[test]
fn settings_report_all_findings() {
    let text = "[daemon]\nname = a1\nip = here\npeers = x\n[platform]\naddress = 1\n";
    let findings = Settings::parse("daemon.ini", text).unwrap_err();
    let lines: Vec<usize> = findings.list.iter().map(|f| f.line).collect();
    assert_eq!(lines.len(), 4, "{findings}");
    assert!(lines.contains(&3) && lines.contains(&4) && lines.contains(&6));
}
