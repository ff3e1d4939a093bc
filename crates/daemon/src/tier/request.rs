//! A caller's request, the fan-out that is made of it, and the answer.
//!
//! The modules that read, run, relay and answer requests all use these types and call one another.
//! The types are here so that none of these modules has to be imported for a type alone, which made
//! their imports circular. The price is that a type is apart from the code that makes its values.

use {
    crate::tier::{
        ending::Ending,
        memory::Hold,
        upstream::{Call, Progress},
    },
    actix_http::{Request, RequestHead, header::HeaderMap},
    bytes::Bytes,
    rattanturn_core::{Time, accounts::Denial, catalog::Route, gather::Cutoff},
    rattanturn_platform::http::{key_challenge, retry_after},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Time after which callers are told to retry a refused request, if nothing better is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request as read from a caller's connection.
pub(crate) struct Incoming {
    pub(crate) request: Request,
    pub(crate) body: Bytes,
    /// When the request's first byte had been read.
    pub(crate) arrived: Time,
    /// What ends the request before its deadline.
    pub(crate) ending: Ending,
    /// Memory of the body.
    pub(crate) _hold: Hold,
}

impl Incoming {
    pub(crate) fn head(&self) -> &RequestHead {
        self.request.head()
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory of a target's or peer's answer, until it is written.
    pub(crate) hold: Option<Rc<Hold>>,
}

impl Reply {
    /// An answer of the daemon itself rather than of a target.
    pub(crate) fn text(status: u16, text: &'static str) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from_static(text.as_bytes()),
            hold: None,
        }
    }

    /// Answer to a request that is refused for its key. It has not run.
    pub(crate) fn denied(denial: Denial) -> Self {
        let text = match denial {
            Denial::NoKey => "a key is required: authorization: bearer KEY\n",
            Denial::AmbiguousKey => "the request has several authorization headers that differ\n",
            Denial::UnknownKey => "the key is not known\n",
            Denial::Unconfirmed => {
                return Self::not_run("keys cannot be checked at the moment\n", RETRY_AFTER);
            }
        };
        let mut reply = Self::text(401, text);
        let (name, value) = key_challenge();
        reply.headers.insert(name, value);
        reply
    }

    /// A 503 answer, which states that the request has not run and may be retried after a time.
    pub(crate) fn not_run(text: &'static str, after: Duration) -> Self {
        Self::text(503, text).with_retry_after(after)
    }

    /// Adds the time after which the request may be retried.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        let (name, value) = retry_after(after);
        self.headers.insert(name, value);
        self
    }
}

/// A request to run: the same call to every service.
pub(crate) struct FanOut<'a> {
    pub(crate) route: &'a Route,
    pub(crate) services: &'a [String],
    pub(crate) call: Call,
    /// When an incomplete answer is final; `None` waits for all services until the deadline.
    pub(crate) cutoff: Option<Cutoff>,
    /// How many targets of each service may be called.
    pub(crate) max_attempts: u32,
    /// The only target that may be called, if a single call decides about the request, see
    /// [`rattanturn_core::quarantine`].
    pub(crate) trial: Option<usize>,
    /// What ends the request before its deadline.
    pub(crate) ending: &'a Ending,
    /// Gets each call that is begun.
    pub(crate) begun: &'a RefCell<Vec<BegunCall>>,
}

/// A call that was begun for a request.
pub(crate) struct BegunCall {
    pub(crate) service: usize,
    pub(crate) started: Time,
    pub(crate) progress: Rc<Progress>,
}
