//! Calls that a target received, for tests that ask for them.

use std::time::Instant;

/// A call that arrived at a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its head had arrived.
    pub at: Instant,
    /// Id of the request.
    pub id: String,
    /// Header lines, `name: value`, with bytes that are not UTF-8 replaced.
    pub headers: Vec<String>,
    /// Whether the request ran; false if a fault refused it.
    pub ran: bool,
    /// When its answer was due, if the target's flaw made it a bad one.
    pub flawed_at: Option<Instant>,
}

impl Call {
    pub(crate) fn new(id: String, headers: Vec<String>, ran: bool) -> Self {
        Self {
            at: Instant::now(),
            id,
            headers,
            ran,
            flawed_at: None,
        }
    }

    /// Values of a header, in any spelling of its name, also with `_` for `-`.
    #[must_use]
    pub fn header(&self, name: &str) -> Vec<&str> {
        let pairs = self.headers.iter().filter_map(|l| l.split_once(": "));
        pairs
            .filter(|(n, _)| n.replace('_', "-").eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
            .collect()
    }
}

/// Calls since they were last taken; empty until they are taken for the first time.
#[derive(Debug, Default)]
pub(crate) struct CallLog(Option<Vec<Call>>);

impl CallLog {
    pub(crate) fn add(&mut self, call: Call) {
        if let Some(calls) = &mut self.0 {
            calls.push(call);
        }
    }

    pub(crate) fn take(&mut self) -> Vec<Call> {
        self.0.replace(Vec::new()).unwrap_or_default()
    }
}
