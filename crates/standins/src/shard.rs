//! Stand-in for a target on the users' platform: one server of a shard or of a plain service.
//!
//! It answers any request over HTTP/1.1 with a signature and records of 16 bytes, and echoes the
//! request's id. It can pause, refuse, lose its answers, cut them off, send them without a length
//! or twice, and end its work when its caller leaves. It counts what ran.

use {
    actix_http::{
        Request,
        h1::{Codec, Message, MessageType},
    },
    actix_rt::time::sleep,
    bytes::BytesMut,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    tokio_util::codec::Decoder,
};

/// Records in one answer.
const RECORDS: usize = 12;
/// Length of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// What a server does with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It is sent whole.
    #[default]
    None,
    /// The request runs and the connection is closed without an answer.
    Lost,
    /// The answer breaks off in its body.
    Truncated,
    /// It has no length and ends with its connection.
    Unframed,
    /// A second answer to the same request follows.
    Duplicated,
    /// The request is refused and has not run.
    Refused,
    /// The request fails after it has run.
    Failed,
    /// Nothing is ever sent.
    Silent,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub centre: String,
    /// Time of one request.
    pub service_time: Duration,
}

/// What went through a server.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Runs of each request by its id.
    pub runs: BTreeMap<String, u32>,
    /// Requests that arrived, also those refused.
    pub arrivals: u64,
    /// Requests whose caller left before the answer.
    pub abandoned: u64,
    /// When the last request arrived.
    pub last_arrival: Option<Instant>,
    /// Least and greatest time that a request gave, in milliseconds.
    pub deadline_range: Option<(u64, u64)>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    slowdown: f64,
    paused_until: Option<Instant>,
    counters: Counters,
    answer_count: u64,
}

/// State shared by the stand-in and the test that steers it.
#[derive(Debug)]
pub struct State {
    config: TargetConfig,
    addr: SocketAddr,
    inner: Mutex<Inner>,
}

impl State {
    /// What the server is.
    #[must_use]
    pub fn config(&self) -> &TargetConfig {
        &self.config
    }

    /// Changes what it does with answers.
    pub fn set_fault(&self, fault: Fault) {
        self.with(|i| i.fault = fault);
    }

    /// Makes every request take `factor` times as long.
    pub fn set_slow(&self, factor: f64) {
        self.with(|i| i.slowdown = factor);
    }

    /// Stands still for a time.
    pub fn pause(&self, time: Duration) {
        self.with(|i| i.paused_until = Some(Instant::now() + time));
    }

    /// What went through so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.with(|i| i.counters.clone())
    }

    /// How often a request ran.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.with(|i| i.counters.runs.get(id).copied().unwrap_or(0))
    }

    /// Requests that arrived, also those refused.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.with(|i| i.counters.arrivals)
    }

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What it writes into the store about itself.
    #[must_use]
    pub fn entry(&self, state: &str, sequence: u64) -> Value {
        json!({
            "service": self.config.service,
            "address": self.addr,
            "zone": self.config.centre,
            "version": "v1",
            "maxConcurrency": 3,
            "state": state,
            "warmupLeftMs": 0,
            "seq": sequence,
            "born": 1,
        })
    }

    /// The records of its answers, in no order.
    #[must_use]
    pub fn records(&self) -> Vec<u8> {
        let record = |i: usize| {
            let text = format!("{:03}{}", (i * 7919) % 1000, self.config.id);
            format!("{text:_<RECORD_BYTES$}").into_bytes()[..RECORD_BYTES].to_vec()
        };
        (0..RECORDS).flat_map(record).collect()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Starts a server on a free loopback port, on this thread, until the thread ends.
///
/// # Errors
///
/// No port could be bound.
pub async fn spawn(config: TargetConfig) -> io::Result<Arc<State>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let state = Arc::new(State {
        config,
        addr: listener.local_addr()?,
        inner: Mutex::new(Inner {
            slowdown: 1.0,
            ..Inner::default()
        }),
    });
    let shared = state.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let state = shared.clone();
            actix_rt::spawn(async move {
                // A caller that leaves ends its connection.
                let _ = serve(&state, stream).await;
            });
        }
    });
    Ok(state)
}

async fn serve(state: &State, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut codec, mut buffer) = (Codec::default(), BytesMut::new());
    loop {
        let Some(request) = read_request(&mut stream, &mut codec, &mut buffer).await? else {
            return Ok(());
        };
        let text = |name: &str| -> String {
            let value = request
                .head()
                .headers
                .get(name)
                .and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, target) = (text("x-request-id"), text("x-target-instance"));
        let deadline: u64 = text("x-deadline-ms").parse().unwrap_or(0);
        if !target.is_empty() && target != state.config.id {
            stream
                .write_all(&head(421, &id, "x-instance-id", "other", Some(0)))
                .await?;
            continue;
        }
        let (fault, wait) = state.with(|i| record_arrival(i, &state.config, deadline));
        if fault == Fault::Refused {
            stream
                .write_all(&head(503, &id, "x-not-executed", "1", Some(0)))
                .await?;
            continue;
        }
        state.with(|i| *i.counters.runs.entry(id.clone()).or_default() += 1);
        let left = tokio::select! {
            () = sleep(wait) => false,
            read = stream.read_buf(&mut buffer) => matches!(read, Ok(0) | Err(_)),
        };
        if left {
            state.with(|i| i.counters.abandoned += 1);
            return Ok(());
        }
        if !answer(state, &mut stream, &id, fault).await? {
            return Ok(());
        }
    }
}

fn record_arrival(inner: &mut Inner, config: &TargetConfig, deadline: u64) -> (Fault, Duration) {
    let now = Instant::now();
    inner.counters.arrivals += 1;
    inner.counters.last_arrival = Some(now);
    let (low, high) = inner
        .counters
        .deadline_range
        .unwrap_or((deadline, deadline));
    inner.counters.deadline_range = Some((low.min(deadline), high.max(deadline)));
    let pause = inner
        .paused_until
        .map_or(Duration::ZERO, |t| t.saturating_duration_since(now));
    (
        inner.fault,
        config.service_time.mul_f64(inner.slowdown) + pause,
    )
}

/// Sends an answer; false if the connection ends with it.
async fn answer(state: &State, stream: &mut TcpStream, id: &str, fault: Fault) -> io::Result<bool> {
    let number = state.with(|i| {
        i.answer_count += 1;
        i.answer_count
    });
    let seal = format!("{}.{number}", state.config.id);
    let body = state.records();
    let status = if fault == Fault::Failed { 500 } else { 200 };
    let whole = [
        head(status, id, "x-server-seal", &seal, Some(body.len())),
        body.clone(),
    ]
    .concat();
    match fault {
        Fault::Lost => return Ok(false),
        Fault::Silent => std::future::pending().await,
        Fault::Truncated => {
            stream.write_all(&whole[..whole.len() - 20]).await?;
            return Ok(false);
        }
        Fault::Unframed => {
            let open = head(status, id, "x-server-seal", &seal, None);
            stream.write_all(&[open, body].concat()).await?;
            stream.shutdown().await?;
            return Ok(false);
        }
        Fault::Duplicated => stream.write_all(&[whole.clone(), whole].concat()).await?,
        Fault::None | Fault::Refused | Fault::Failed => stream.write_all(&whole).await?,
    }
    Ok(true)
}

fn head(status: u16, id: &str, name: &str, value: &str, length: Option<usize>) -> Vec<u8> {
    let length = length.map_or("connection: close\r\n".into(), |l| {
        format!("content-length: {l}\r\n")
    });
    format!(
        "HTTP/1.1 {status} Status\r\nx-request-id: {id}\r\n{name}: {value}\r\n\
         x-server-load: 1,0,3\r\n{length}\r\n"
    )
    .into_bytes()
}

/// Reads a request and drops its body; `None` if the caller ended the connection.
async fn read_request(
    stream: &mut TcpStream,
    codec: &mut Codec,
    buffer: &mut BytesMut,
) -> io::Result<Option<Request>> {
    let mut request = None;
    loop {
        match codec.decode(buffer).map_err(io::Error::other)? {
            Some(Message::Item(head)) if codec.message_type() == MessageType::None => {
                return Ok(Some(head));
            }
            Some(Message::Item(head)) => request = Some(head),
            Some(Message::Chunk(Some(_))) => {}
            Some(Message::Chunk(None)) => return Ok(request),
            None => {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}
