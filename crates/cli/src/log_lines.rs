//! The daemons' log lines, read from files that may hold other lines too.

use {
    serde_json::Value,
    std::{collections::BTreeMap, time::UNIX_EPOCH},
};

/// A line of a daemon's log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Name of the log that it stands in.
    pub(crate) source: String,
    /// Seconds since 1970.
    pub(crate) time: f64,
    pub(crate) stamp: String,
    pub(crate) fields: BTreeMap<String, Value>,
}

impl Line {
    fn parse(source: &str, text: &str) -> Option<Self> {
        // Other programs may have put something before the line.
        let json: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let stamp = json.get("timestamp")?.as_str()?.to_owned();
        let fields = json.get("fields")?.as_object()?;
        let time = humantime::parse_rfc3339(&stamp).ok()?;
        Some(Self {
            source: source.into(),
            time: time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64(),
            stamp,
            fields: fields.clone().into_iter().collect(),
        })
    }

    pub(crate) fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    pub(crate) fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether it tells how a request ended.
    pub(crate) fn is_request(&self) -> bool {
        self.text("message") == "request"
    }

    /// Whether it tells that a request was refused before it had a route.
    pub(crate) fn is_refusal(&self) -> bool {
        self.text("message") == "request refused"
    }
}

/// All lines of all logs in order of time; each log is a name and its text.
pub(crate) fn read(logs: &[(String, String)]) -> Vec<Line> {
    let parse = |(source, text): &(String, String)| {
        let lines = text.lines().filter_map(|l| Line::parse(source, l));
        lines.collect::<Vec<_>>()
    };
    let mut lines: Vec<Line> = logs.iter().flat_map(parse).collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    lines
}
