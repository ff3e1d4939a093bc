//! A call to a target, how far it got, and how it ended.

use {
    crate::tier::{accounts::Access, connection::Answer},
    actix_http::{RequestHead, header::HeaderValue},
    bytes::Bytes,
    rattanturn_core::{
        Time,
        fingerprint::{Fingerprint, RequestParts},
        gather::MissingReason,
    },
    std::{
        cell::{Cell, OnceCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// How a call ended.
pub(crate) enum Outcome {
    /// The target's complete answer to this request; its status may be an error.
    Answered(Answer),
    /// The call has certainly not run, for this reason, and may be retried.
    NotRun(MissingReason),
    /// The call may have run, but no usable answer came; the text says why.
    Lost(String),
    /// The target's process ended while it had the call, which may have run; the text says how the
    /// connection broke.
    TargetEnded(String),
}

impl Outcome {
    /// Short text for the log field `tried`.
    pub(crate) fn log_text(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotRun(why) => format!("not run ({why})"),
            Self::Lost(why) => format!("lost ({why})"),
            Self::TargetEnded(why) => format!("target ended ({why})"),
        }
    }
}

/// What is sent to a target.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) head: Rc<RequestHead>,
    pub(crate) body: Bytes,
    /// Request id that the answer must repeat.
    pub(crate) id: Option<Rc<str>>,
    pub(crate) deadline: Time,
    /// Name of the request's route.
    pub(crate) route: Rc<str>,
    /// Until when an answer is of use to the request: the deadline, or an earlier time from which it can
    /// do without.
    pub(crate) useful_until: Rc<Cell<Time>>,
    /// The call must not run twice. It gets a new connection: a request on a kept one that the
    /// target is just closing is lost, and it would not be known whether it ran.
    pub(crate) non_idempotent: bool,
    /// Set when it is first asked for; see [`Call::fingerprint`].
    pub(crate) identity: Rc<OnceCell<Fingerprint>>,
    /// The caller's right to the call; checked right before it is sent.
    pub(crate) access: Rc<Access>,
    /// Counts the calls of the request that a target may have run.
    pub(crate) calls_sent: Rc<Cell<u32>>,
    /// How far this attempt at the call got.
    pub(crate) progress: Rc<Progress>,
}

/// How far an attempt at a call got.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    pub(crate) stage: Cell<CallStage>,
    /// When the call got the right to a connection.
    pub(crate) permitted: Cell<Option<Time>>,
    /// Whether it has waited for a connection, or an earlier call of the request to the same service has.
    pub(crate) waited: Cell<bool>,
    /// Whether the call must not be written any more, because its request was answered.
    revoked: Cell<bool>,
    /// Ends the call's wait for a connection when it is revoked.
    wait_ended: Notify,
}

impl Progress {
    /// Keeps the call from being written, unless it was.
    pub(crate) fn revoke(&self) {
        self.revoked.set(true);
        self.wait_ended.notify_one();
    }

    /// Whether the call must not be written any more.
    pub(crate) fn revoked(&self) -> bool {
        self.revoked.get()
    }

    /// Completes when the call is revoked.
    pub(crate) async fn revocation(&self) {
        if !self.revoked() {
            self.wait_ended.notified().await;
        }
    }
}

/// Stage of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// It waits for another call to release its connection.
    #[default]
    Waiting,
    /// It has the right to a connection, which may still be opened.
    Connecting,
    /// It was written, so that the target may run it.
    Written,
}

impl Call {
    /// What the request has in common with other attempts of its caller.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let header = |name: &str| self.head.headers.get(name);
        let host = header("host").and_then(|h| h.to_str().ok());
        *self.identity.get_or_init(|| {
            Fingerprint::of(&RequestParts {
                method: self.head.method.as_str(),
                host: host.or_else(|| self.head.uri.host()).unwrap_or(""),
                path: self.head.uri.path_and_query().map_or("", |p| p.as_str()),
                caller: self.caller(),
                body: &self.body,
            })
        })
    }

    /// The caller's account, or its credentials where there are no accounts.
    fn caller(&self) -> &[u8] {
        if self.access.hides_caller() {
            return self.access.account().map_or(b"", |a| a.name.as_bytes());
        }
        let credentials = self.head.headers.get("authorization");
        credentials.map_or(b"", HeaderValue::as_bytes)
    }
}
