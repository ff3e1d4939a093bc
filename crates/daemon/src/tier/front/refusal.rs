//! Why requests cannot be read, and what their callers are told.

use {
    crate::tier::{
        memory::{NoRoom, Refused, Upload},
        meters,
        request::{RETRY_AFTER, Reply},
    },
    std::{io, time::Duration},
};

/// Why a request could not be read.
pub(super) enum ReadError {
    /// The connection broke or was closed by the caller.
    Ended,
    /// The connection is to be closed because it is idle.
    Idle,
    /// The request is not read any further, and gets an answer.
    Refused(Refusal),
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        Self::Ended
    }
}

/// The answer to a request that was not read as a whole, so that it has not run.
pub(super) struct Refusal {
    /// Value of the metric label and log field `reason`.
    reason: &'static str,
    pub(super) answer: Reply,
}

impl Refusal {
    /// Logs and counts the refusal. The request's id is not known.
    pub(super) fn record(&self) {
        let reason = self.reason;
        meters::count_refused(reason);
        let why = String::from_utf8_lossy(&self.answer.body);
        tracing::info!(reason, why = why.trim_end(), "request refused");
    }
}

/// Refuses a request that is invalid, too large or too slow.
pub(super) fn refuse<T>(status: u16, text: &'static str) -> Result<T, ReadError> {
    let reason = match status {
        408 => "too-slow",
        413 | 431 => "too-large",
        _ => "unreadable",
    };
    let answer = Reply::text(status, text);
    Err(ReadError::Refused(Refusal { reason, answer }))
}

/// Refuses a request that was not read in time before the end of a stop.
pub(super) fn refuse_for_stop<T>() -> Result<T, ReadError> {
    let text = "this daemon stops; the request was not read\n";
    Err(ReadError::Refused(Refusal {
        reason: "closing",
        answer: Reply::not_run(text, Duration::ZERO),
    }))
}

/// Refuses a request that there is no memory for.
pub(super) fn refuse_for_memory<T>() -> Result<T, ReadError> {
    let text = "too many large requests are open\n";
    Err(ReadError::Refused(Refusal {
        reason: "no-memory",
        answer: Reply::not_run(text, RETRY_AFTER),
    }))
}

/// Counts what has been read of a request.
///
/// # Errors
///
/// There is no memory for it.
pub(super) async fn count(upload: &Upload, bytes: usize) -> Result<(), ReadError> {
    let Err(NoRoom) = upload.grow(bytes).await else {
        return Ok(());
    };
    upload.record_refusal(Refused::Request);
    refuse_for_memory()
}
