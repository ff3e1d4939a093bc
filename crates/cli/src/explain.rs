//! Explains from the daemons' logs how a request ended and why.
//!
//! A daemon logs one line for each request that failed and for a sample of the others, with the
//! outcome of the request and of its calls to targets. An explanation adds what the same daemon
//! logged shortly before: changes of its configuration, its targets, its peers and the store.
//! Nothing but the logs is needed, so a request can be explained after its daemon has stopped; in
//! return, a request that was not logged cannot be explained.

use {
    crate::log_lines::{Line, read},
    std::fmt::Write,
};

/// State changes that were logged at most this long before a request began are listed with it.
const CONTEXT_SECONDS: f64 = 5.0;

/// Explains a request in a few lines of text; `None` if no log mentions it.
///
/// Each log is a name and its text. A request that several daemons logged, because it was sent
/// again, has one paragraph for each of its lines, in order of time.
///
/// ```
/// use rattanturn_cli::explain::explain;
/// let line = r#"{"timestamp":"2026-05-04T18:11:12.5Z","fields":{"message":"request",
///     "request":"r1","route":"sweep","outcome":"partial","status":200,"parts":3,"of":4,
///     "missing":"deadline:1","tried":"s3 at i-7: open after 170 ms","took_ms":173}}"#;
/// let text = explain("r1", &[("a1".into(), line.replace('\n', ""))]).unwrap();
/// assert!(text.contains("3 of 4 parts") && text.contains("s3 at i-7"));
/// ```
#[must_use]
pub fn explain(id: &str, logs: &[(String, String)]) -> Option<String> {
    let lines = read(logs);
    let mut out = String::new();
    for request in lines.iter().filter(|l| l.text("request") == id) {
        write_request(&mut out, request, &lines);
    }
    (!out.is_empty()).then_some(out)
}

/// Ids of the requests with the most severe failures, at most `count`, the most severe first.
///
/// Requests that may have run or that the daemon dropped without an answer come first, then those that timed out, those that
/// did not run, those whose caller disconnected, and partial answers. Within each group fewer
/// answered parts come first, then longer requests. Each log is a name and its text.
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
    let mut failures: Vec<&Line> = lines
        .iter()
        .filter(|l| l.is_unanswered() || l.is_request() && l.text("outcome") != "whole")
        .collect();
    failures.sort_by_key(|l| (severity(l), std::cmp::Reverse(l.number("took_ms"))));
    let mut out: Vec<String> = Vec::new();
    for line in failures {
        let id = line.text("request");
        if out.len() < count && !id.is_empty() && !out.iter().any(|o| o == id) {
            out.push(id.to_owned());
        }
    }
    out
}

/// Sort key of a failed request, lower for a more severe failure: the rank of its outcome, then
/// the percentage of its parts that were answered.
fn severity(request: &Line) -> (u8, u64) {
    let rank = match request.text("outcome") {
        _ if matches!(request.text("end"), "dropped" | "write-failed") => 0,
        _ if request.is_unanswered() => 3,
        "failed" => 0,
        "late" => 1,
        "not-run" => 2,
        "caller-left" => 3,
        _ => 4,
    };
    let answered = request.number("parts") * 100 / request.number("of").max(1);
    (rank, answered)
}

fn write_request(out: &mut String, request: &Line, lines: &[Line]) {
    // Writing to a string cannot fail.
    if request.is_refusal() {
        let (source, reason) = (&request.source, request.text("reason"));
        let _ = writeln!(
            out,
            "request {} at {source}: refused before it was routed ({reason}); nothing has run",
            request.text("request")
        );
        return;
    }
    if request.is_unanswered() {
        let _ = writeln!(
            out,
            "request {} at {}: {}",
            request.text("request"),
            request.source,
            unanswered_sentence(request)
        );
        write_context(out, request, lines);
        return;
    }
    let took = u32::try_from(request.number("took_ms")).unwrap_or(u32::MAX);
    let _ = writeln!(
        out,
        "request {} on route {} at {}, configuration version {}: {}",
        request.text("request"),
        request.text("route"),
        request.source,
        request.number("version"),
        outcome_sentence(request)
    );
    write_context(out, request, lines);
    if request.text("outcome") == "caller-left" {
        return;
    }
    let _ = writeln!(
        out,
        "  calls: {} in total, {} extra (retries and hedges); the target list was {} ms old",
        request.number("calls"),
        request.number("extra"),
        request.number("read_ms")
    );
    for call in request.text("tried").split("; ").filter(|c| !c.is_empty()) {
        let _ = writeln!(out, "    {call}");
    }
    let _ = writeln!(out, "  answered at {} after {took} ms", request.timestamp);
}

/// Writes the state changes that the daemon logged shortly before a request and while it ran.
fn write_context(out: &mut String, request: &Line, lines: &[Line]) {
    let took = u32::try_from(request.number("took_ms")).unwrap_or(u32::MAX);
    let start = request.time - f64::from(took) / 1e3;
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "  state changes that the daemon logged shortly before and during the request:"
    );
    let context = lines.iter().filter(|l| {
        let in_time = l.time >= start - CONTEXT_SECONDS && l.time <= request.time;
        l.source == request.source && in_time && l.is_state_change()
    });
    for line in context {
        let _ = writeln!(out, "    {} {}", line.timestamp, message_and_fields(line));
    }
}

/// How a request that was read got no answer, as the end of a sentence.
fn unanswered_sentence(request: &Line) -> String {
    let stopping = request.fields.contains_key("stop_left_ms");
    let how = match request.text("end") {
        "input-ended" => "its caller closed the connection or its sending side",
        "reset" => "its connection broke",
        "write-failed" => "its connection broke while the answer was written",
        "dropped" if stopping => "the daemon's process ended",
        "dropped" => "the daemon dropped it without a stop (look for a panic)",
        other => other,
    };
    let stop = if stopping {
        let left = request.number("stop_left_ms");
        format!("; the daemon was stopping and had {left} ms left")
    } else {
        String::new()
    };
    let took = request.number("took_ms");
    format!("read as a whole, no answer: {how} after {took} ms{stop}; it may have run")
}

/// How a request ended, as the end of a sentence.
fn outcome_sentence(request: &Line) -> String {
    let (parts, of) = (request.number("parts"), request.number("of"));
    let missing = request.text("missing");
    let status = request.number("status");
    match request.text("outcome") {
        "whole" => format!("answered {status} with all {of} parts"),
        "partial" => format!("answered with {parts} of {of} parts; missing: {missing}"),
        "not-run" if missing.contains("overload:") => format!(
            "refused with {status}, nothing has run: targets were overloaded, and other requests were more \
             urgent or of accounts that asked for less"
        ),
        "not-run" => format!("refused with {status}, nothing has run; reasons: {missing}"),
        "late" => format!(
            "timed out with {status}, {parts} of {of} parts arrived in time; missing: {missing}"
        ),
        "caller-left" => {
            // Where the connection broke, the request ended with it.
            let left = match request.number("left_ms") {
                0 => request.number("took_ms"),
                left => left,
            };
            format!("its caller disconnected after {left} ms; some of its calls may have run")
        }
        _ => format!("failed with {status}; it may have run; reasons: {missing}"),
    }
}

/// A line's message, followed by its other fields as `key=value`.
fn message_and_fields(line: &Line) -> String {
    let mut out = line.text("message").to_owned();
    for (key, value) in line.fields.iter().filter(|(k, _)| *k != "message") {
        let _ = write!(out, " {key}={value}");
    }
    out
}
