//! HTTP client of one target, with a bounded number of kept connections.

use {
    crate::clock,
    awc::{Client, Connector, error::SendRequestError, http::StatusCode},
    rattanturn_core::Time,
    std::{net::SocketAddr, time::Duration},
};

/// Largest partial answer, in bytes.
const MAX_ANSWER: usize = 1 << 20;
/// Time after a call's deadline at which its connection is given up.
const LATE_LIMIT: Duration = Duration::from_millis(400);
/// Time that an unused connection is kept.
const KEEP_WARM: Duration = Duration::from_mins(1);
/// Time for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallHead {
    pub(crate) id: u64,
    pub(crate) snapshot: u64,
    pub(crate) deadline: Time,
    pub(crate) request_id: Option<String>,
}

/// What a target said, or that it said nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    Ran,
    WrongSnapshot,
    Leaving,
    Shed,
    Cancelled,
    /// No byte of the call left.
    NotSent,
    /// The call may have run.
    Lost,
}

/// A target's answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) kind: AnswerKind,
    pub(crate) cold: bool,
    pub(crate) snapshot: u64,
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
    client: Client,
}

impl TargetClient {
    /// At most `connections` are open at once; `centre` is this daemon's data centre.
    pub(crate) fn new(addr: SocketAddr, connections: u32, centre: &str) -> Self {
        let connector = Connector::new()
            .limit(connections as usize)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_WARM)
            .conn_lifetime(Duration::from_hours(1));
        let client = Client::builder()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish();
        let call_url = format!("http://{addr}/call");
        Self {
            addr,
            centre: centre.into(),
            call_url,
            client,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a call once and waits for its answer.
    pub(crate) async fn call(&self, head: &CallHead, body: Vec<u8>) -> Answer {
        let now = clock::now();
        let remaining = head.deadline.since(now);
        let mut request = self
            .client
            .post(&self.call_url)
            .timeout(remaining + LATE_LIMIT)
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
            Ok(mut response) => read_answer(&mut response).await,
            Err(SendRequestError::Connect(_) | SendRequestError::Url(_)) => {
                Answer::without_body(AnswerKind::NotSent)
            }
            Err(_) => Answer::without_body(AnswerKind::Lost),
        }
    }

    /// Asks the target to stop a call.
    pub(crate) async fn cancel(&self, id: u64) {
        let url = format!("http://{}/cancel/{id}", self.addr);
        // A lost cancellation costs the target the rest of the call and nothing else.
        let _ = self.client.post(url).timeout(LATE_LIMIT).send().await;
    }
}

async fn read_answer(response: &mut awc::ClientResponse) -> Answer {
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
    match response.body().limit(MAX_ANSWER).await {
        Ok(body) => answer.body = body.to_vec(),
        Err(_) => answer.kind = AnswerKind::Lost,
    }
    answer
}
