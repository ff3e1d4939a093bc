//! Tells the story of one request from the log lines of the daemons.
//!
//! A request's own line says what became of it and of its calls. Around it stand the lines that
//! say what the daemon came to believe shortly before: configuration, targets, peers, the store.

use {
    crate::log_lines::{Line, read},
    std::fmt::Write,
};

/// Lines from this long before a request began are part of its story, in seconds.
const BEFORE_S: f64 = 5.0;

/// The story of a request from the logs; `None` if no log has a line of it.
///
/// Each log is a name and its lines.
///
/// ```
/// use rattanturn_cli::explain::explain;
/// let line = r#"{"timestamp":"2026-05-04T18:11:12.5Z","fields":{"message":"request",
///     "request":"r1","route":"sweep","outcome":"partial","status":200,"parts":3,"of":4,
///     "missing":"deadline:1","tried":"s3 at i-7: open after 170 ms","took_ms":173}}"#;
/// let story = explain("r1", &[("a1".into(), line.replace('\n', ""))]).unwrap();
/// assert!(story.contains("3 of 4 parts") && story.contains("s3 at i-7"));
/// ```
#[must_use]
pub fn explain(id: &str, logs: &[(String, String)]) -> Option<String> {
    let lines = read(logs);
    let mut out = String::new();
    for request in lines.iter().filter(|l| l.text("request") == id) {
        tell(&mut out, request, &lines);
    }
    (!out.is_empty()).then_some(out)
}

/// Ids of the requests that went worst, the worst first: unknown outcomes, then those without an
/// answer, then those with the fewest parts, the slowest first.
///
/// Each log is a name and its lines.
///
/// ```
/// use rattanturn_cli::explain::most_severe;
/// let line = |id: &str, outcome: &str| format!(
///     r#"{{"timestamp":"2026-05-04T18:11:12.5Z","fields":{{"message":"request","request":"{id}","outcome":"{outcome}"}}}}"#);
/// let log = [line("a", "whole"), line("b", "not-run"), line("c", "failed")].join("\n");
/// assert_eq!(most_severe(10, &[("d0".into(), log)]), ["c", "b"]);
/// ```
#[must_use]
pub fn most_severe(count: usize, logs: &[(String, String)]) -> Vec<String> {
    let lines = read(logs);
    let mut bad: Vec<&Line> = lines
        .iter()
        .filter(|l| l.is_request() && l.text("outcome") != "whole")
        .collect();
    bad.sort_by_key(|l| (severity(l), std::cmp::Reverse(l.number("took_ms"))));
    let mut out: Vec<String> = Vec::new();
    for line in bad {
        let id = line.text("request");
        if out.len() < count && !id.is_empty() && !out.iter().any(|o| o == id) {
            out.push(id.to_owned());
        }
    }
    out
}

/// Rank of a request by how badly it ended, the worst first; then parts answered, in percent.
fn severity(request: &Line) -> (u8, u64) {
    let rank = match request.text("outcome") {
        "failed" => 0,
        "late" => 1,
        "not-run" => 2,
        "caller-left" => 3,
        _ => 4,
    };
    let answered = request.number("parts") * 100 / request.number("of").max(1);
    (rank, answered)
}

fn tell(out: &mut String, request: &Line, lines: &[Line]) {
    // Writing to a string cannot fail.
    if request.is_refusal() {
        let (source, reason) = (&request.source, request.text("reason"));
        let _ = writeln!(
            out,
            "request {} at {source}: refused before it had a route ({reason}); nothing has run",
            request.text("request")
        );
        return;
    }
    let took = u32::try_from(request.number("took_ms")).unwrap_or(u32::MAX);
    let begun = request.time - f64::from(took) / 1e3;
    let _ = writeln!(
        out,
        "request {} on route {} at {}, configuration {}: {}",
        request.text("request"),
        request.text("route"),
        request.source,
        request.number("version"),
        verdict(request)
    );
    let _ = writeln!(out, "  what the daemon came to believe before:");
    let near = lines.iter().filter(|l| {
        let in_time = l.time >= begun - BEFORE_S && l.time <= request.time;
        l.source == request.source && in_time && !l.is_request() && !l.is_refusal()
    });
    for line in near {
        let _ = writeln!(out, "    {} {}", line.stamp, words(line));
    }
    if request.text("outcome") == "caller-left" {
        return;
    }
    let _ = writeln!(
        out,
        "  its calls: {} in all, {} beyond the first of each service; targets were read {} ms before",
        request.number("calls"),
        request.number("extra"),
        request.number("read_ms")
    );
    for call in request.text("tried").split("; ").filter(|c| !c.is_empty()) {
        let _ = writeln!(out, "    {call}");
    }
    let _ = writeln!(out, "  answered {} after {took} ms", request.stamp);
}

/// What became of a request, in a sentence.
fn verdict(request: &Line) -> String {
    let (parts, of) = (request.number("parts"), request.number("of"));
    let missing = request.text("missing");
    let status = request.number("status");
    match request.text("outcome") {
        "whole" => format!("answered {status}, all of {of} parts"),
        "partial" => format!("answered with {parts} of {of} parts; missing for: {missing}"),
        "not-run" => format!("refused with {status}, nothing has run; reasons: {missing}"),
        "late" => format!("given up with {status}: {parts} of {of} parts in time; {missing}"),
        "caller-left" => {
            let took = request.number("took_ms");
            format!("its caller left after {took} ms; its calls were ended, some may have run")
        }
        _ => format!("failed with {status}; it may have run; reasons: {missing}"),
    }
}

fn words(line: &Line) -> String {
    let mut out = line.text("message").to_owned();
    for (key, value) in line.fields.iter().filter(|(k, _)| *k != "message") {
        let _ = write!(out, " {key}={value}");
    }
    out
}
