//! Parses the JSON log lines of daemons from files that may hold other lines too.
//!
//! A line that is not a daemon's is skipped without an error: operators pass files as their log
//! collector left them, with prefixes and with lines of other programs.

use {
    serde_json::Value,
    std::{collections::BTreeMap, time::UNIX_EPOCH},
};

/// One line of a daemon's log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Name of the log that the line comes from.
    pub(crate) source: String,
    /// Time of the line, in seconds since the Unix epoch.
    pub(crate) time: f64,
    /// Time of the line as the daemon wrote it, in RFC 3339.
    pub(crate) timestamp: String,
    /// The event's fields, with its text under `message`.
    pub(crate) fields: BTreeMap<String, Value>,
}

impl Line {
    fn parse(source: &str, text: &str) -> Option<Self> {
        // A log collector may have put a prefix before the JSON object.
        let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let timestamp = json.get("timestamp")?.as_str()?.to_owned();
        let fields = json.get("fields")?.as_object()?;
        let time = humantime::parse_rfc3339(&timestamp).ok()?;
        Some(Self {
            source: source.into(),
            time: time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64(),
            timestamp,
            fields: fields.clone().into_iter().collect(),
        })
    }

    /// Value of a text field; empty if the field is absent or not a text.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    /// Value of a number field; 0 if the field is absent or not a whole number.
    pub(crate) fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether the line reports the outcome of a request.
    pub(crate) fn is_request(&self) -> bool {
        self.text("message") == "request"
    }

    /// Whether the line reports a request that was refused before a route was chosen for it.
    pub(crate) fn is_refusal(&self) -> bool {
        self.text("message") == "request refused"
    }

    /// Whether the line reports a request that was read as a whole and got no answer. There may be
    /// a line with its outcome too.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.text("message") == "a request ended without an answer"
    }

    /// Whether the line reports a state change of a daemon: every line that is not about a request.
    pub(crate) fn is_state_change(&self) -> bool {
        !self.is_request() && !self.is_refusal() && !self.is_unanswered()
    }
}

/// Lines of all logs, in order of time. Each log is a name and its text.
pub(crate) fn read(logs: &[(String, String)]) -> Vec<Line> {
    let parse = |(source, text): &(String, String)| {
        let lines = text.lines().filter_map(|l| Line::parse(source, l));
        lines.collect::<Vec<_>>()
    };
    let mut lines: Vec<Line> = logs.iter().flat_map(parse).collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    lines
}
