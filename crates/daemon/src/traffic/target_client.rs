//! HTTP client of one target, with a bounded connection pool.
//!
//! Each call is sent at most once; retries are decided by the callers of this module. What matters
//! to them is whether a call may have run, so a failure to connect is told apart from every later
//! failure.
//!
//! An answer counts only if it names its call: a target may send a second copy of an earlier answer,
//! which arrives when the connection is in use again. The call is then lost, and so are the kept
//! connections, because each further answer on that one would be of an earlier call.
//!
//! The client library takes a body for whole when the connection ends, whatever length was stated. So
//! an answer of a call that ran counts only if its body has the stated length; one without a length,
//! for example in chunks, is lost, because nothing tells whether it was cut.

use {
    crate::clock,
    awc::{Client, ClientResponse, Connector, error::SendRequestError, http::StatusCode},
    rattanturn_core::Time,
    std::{cell::RefCell, net::SocketAddr, time::Duration},
};

/// Upper bound of the body of a target's answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Time beyond a call's deadline for which the client waits for the answer; also the time limit of
/// a cancellation.
const RESPONSE_GRACE: Duration = Duration::from_millis(400);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time limit for setting up a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a call says about itself besides its body.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    /// Names the call in a later [`TargetClient::cancel`].
    pub(crate) id: u64,
    /// Index version to answer from; 0 for any.
    pub(crate) snapshot: u64,
    /// The target refuses the call if it arrives later than this.
    pub(crate) deadline: Time,
    /// Set only for a call that is not idempotent.
    pub(crate) request_id: Option<String>,
}

/// How a target answered, or why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// The target ran the call.
    Ran,
    /// Not run: the target does not serve the snapshot.
    WrongSnapshot,
    /// Not run: the target is shutting down.
    Leaving,
    /// Not run: the target refused the call.
    Shed,
    /// The target stopped the call after a cancellation.
    Cancelled,
    /// Not run: no connection could be set up.
    NotSent,
    /// The call may or may not have run: its answer did not arrive or says nothing of it.
    Lost,
}

/// A target's answer, or the lack of one.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) kind: AnswerKind,
    /// Whether the target says that it is still warming up.
    pub(crate) cold: bool,
    /// Index version that the answer was made from.
    pub(crate) snapshot: u64,
    /// Index versions that the target serves.
    pub(crate) versions: Vec<u64>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    fn without_body(kind: AnswerKind) -> Self {
        Self {
            kind,
            cold: false,
            snapshot: 0,
            versions: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Client of one target.
pub(crate) struct TargetClient {
    addr: SocketAddr,
    centre: String,
    call_url: String,
    connections: u32,
    client: RefCell<Client>,
}

impl TargetClient {
    /// Connects on demand, with at most `connections` connections open at once. `centre` is this
    /// daemon's data centre, which calls name to the target.
    pub(crate) fn new(addr: SocketAddr, connections: u32, centre: &str) -> Self {
        let call_url = format!("http://{addr}/call");
        Self {
            addr,
            centre: centre.into(),
            call_url,
            connections,
            client: RefCell::new(new_client(connections)),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a call, without retrying, and waits for its answer until shortly after its deadline.
    pub(crate) async fn call(&self, head: &CallHead, body: Vec<u8>) -> Answer {
        let now = clock::now();
        let remaining = head.deadline.since(now);
        let client = self.client.borrow().clone();
        let mut request = client
            .post(&self.call_url)
            .timeout(remaining + RESPONSE_GRACE)
            .insert_header(("x-call-id", head.id.to_string()))
            .insert_header((
                "x-deadline",
                (clock::unix_ms() + clock::millis(remaining)).to_string(),
            ))
            .insert_header(("x-snapshot", head.snapshot.to_string()))
            .insert_header(("x-centre", self.centre.as_str()));
        if let Some(id) = &head.request_id {
            request = request
                .insert_header(("x-idempotent", "no"))
                .insert_header(("x-request-id", id.as_str()));
        }
        match request.send_body(body).await {
            Ok(response) if !names_call(&response, head.id) => {
                tracing::warn!(to = %self.addr, "an answer names another call; closed the connections");
                self.client.replace(new_client(self.connections));
                Answer::without_body(AnswerKind::Lost)
            }
            Ok(mut response) => read_answer(&mut response).await,
            Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => {
                Answer::without_body(AnswerKind::NotSent)
            }
            Err(_) => Answer::without_body(AnswerKind::Lost),
        }
    }

    /// Asks the target to stop a call; errors are ignored.
    pub(crate) async fn cancel(&self, id: u64) {
        let url = format!("http://{}/cancel/{id}", self.addr);
        // If the cancellation is lost, the target runs the call to its end, which costs its work
        // and nothing else.
        let client = self.client.borrow().clone();
        let _ = client.post(url).timeout(RESPONSE_GRACE).send().await;
    }
}

/// Creates a client with connections of its own.
fn new_client(connections: u32) -> Client {
    let connector = Connector::new()
        .limit(connections as usize)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .conn_lifetime(Duration::from_hours(1));
    Client::builder()
        .connector(connector)
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Whether an answer is to the call with this id.
fn names_call(response: &ClientResponse, id: u64) -> bool {
    let named = response.headers().get("x-call-id");
    let named = named.and_then(|v| v.to_str().ok());
    named.and_then(|v| v.parse().ok()) == Some(id)
}

async fn read_answer(response: &mut ClientResponse) -> Answer {
    let status = response.status();
    let text = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    };
    let state = text("x-state");
    let not_run = text("x-outcome") == "not-run";
    let kind = match status {
        StatusCode::OK => AnswerKind::Ran,
        StatusCode::GONE => AnswerKind::WrongSnapshot,
        _ if not_run && state == "leaving" => AnswerKind::Leaving,
        _ if not_run => AnswerKind::Shed,
        _ if text("x-outcome") == "cancelled" => AnswerKind::Cancelled,
        _ => AnswerKind::Lost,
    };
    let mut answer = Answer {
        kind,
        cold: state == "cold",
        snapshot: text("x-snapshot").parse().unwrap_or(0),
        versions: text("x-versions")
            .split(',')
            .filter_map(|v| v.parse().ok())
            .collect(),
        body: Vec::new(),
    };
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) if kind == AnswerKind::Ran && stated_length(response) != Some(body.len()) => {
            let stated = stated_length(response);
            tracing::warn!(?stated, read = body.len(), "an answer of a target was cut");
            answer.kind = AnswerKind::Lost;
        }
        Ok(body) => answer.body = body.to_vec(),
        Err(_) => answer.kind = AnswerKind::Lost,
    }
    answer
}

/// Length of the body as the answer's head states it.
fn stated_length(response: &ClientResponse) -> Option<usize> {
    let value = response.headers().get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}
