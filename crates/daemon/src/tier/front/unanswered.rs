//! Notes how requests end that were read as a whole, also if their task is dropped.

use {
    crate::{
        clock,
        tier::{meters, request::Incoming, traffic::Traffic},
    },
    rattanturn_core::Time,
    rattanturn_platform::http::request_id,
    std::rc::Rc,
};

/// How a request that was read as a whole ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The whole answer was written.
    Answered,
    /// The connection broke before the answer.
    Reset,
    /// The connection broke while the answer was written.
    WriteFailed,
    /// The caller stopped reading its answer.
    Unread,
    /// The connection's task was dropped, because the process ends.
    Dropped,
}

impl RequestEnd {
    /// Value of the metric label and log field `end`.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Reset => "reset",
            Self::WriteFailed => "write-failed",
            Self::Unread => "unread",
            Self::Dropped => "dropped",
        }
    }
}

/// A request that was read and is not answered yet. It is logged and counted if it ends so.
pub(super) struct Unanswered {
    traffic: Rc<Traffic>,
    id: String,
    arrived: Time,
    ended: bool,
}

impl Unanswered {
    pub(super) fn new(traffic: &Rc<Traffic>, incoming: &Incoming) -> Self {
        Self {
            traffic: traffic.clone(),
            id: request_id(incoming.head()).unwrap_or("").to_owned(),
            arrived: incoming.arrived,
            ended: false,
        }
    }

    pub(super) fn end(mut self, end: RequestEnd) {
        self.record(end);
    }

    fn record(&mut self, end: RequestEnd) {
        self.ended = true;
        if end == RequestEnd::Answered {
            return;
        }
        meters::count_unanswered(end.as_str());
        let (now, stop) = (clock::now(), self.traffic.current_view().stop);
        tracing::info!(
            request = %self.id,
            end = end.as_str(),
            took_ms = clock::millis(now.since(self.arrived)),
            stop_left_ms = stop.map(|s| clock::millis(s.end_by().since(now))),
            "a request ended without an answer"
        );
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if !self.ended {
            self.record(RequestEnd::Dropped);
        }
    }
}
