//! The callers of runs with stops. Each stays at one daemon, whatever its directory says, so that it
//! still sends while that daemon closes.
//!
//! Their requests may run for seconds, and they use connections in ways that a daemon may handle
//! badly while it stops: see [`Manner`]. The other callers of a run go on as usual beside them.

use {
    crate::{
        checks::{Request, RequestKind},
        connection::{Outcome, Pace, read_answer},
        runner::{ANSWER_SLACK, Runner},
        stop_checks::StopRequest,
    },
    actix_rt::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::operator::HOST,
    std::{
        net::SocketAddr,
        ops::Range,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpSocket, TcpStream},
    },
};

/// Connections that a caller with batches keeps open.
const BATCH_CONNECTIONS: usize = 8;
/// Most requests of a batch, and of a pipeline.
const MAX_BATCH: usize = 5;
const MAX_PIPELINE: usize = 3;
/// Time until a caller tries again to open a connection that was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How slow callers read: a large answer takes a second.
const PACE: Pace = Pace {
    bytes: 512 << 10,
    pause: Duration::from_millis(65),
};
/// Receive buffer of slow callers.
const SLOW_BUFFER_BYTES: u32 = 256 << 10;
/// Copies of a target's 192 bytes of records that make an answer of 7.9 MB: less than the 8 MB that
/// a daemon takes, and more than the 4 to 5 MB that a daemon can leave to the kernel's buffers.
const LARGE_COPIES: usize = 40_960;
/// Most slow callers, as many as five daemons have. All callers share a thread, which their answers
/// must not fill.
const MAX_SLOW_CALLERS: usize = 9;
/// Time that slow callers may take to read, beyond the limit of their request.
const SLOW_READING_TIME: Duration = Duration::from_secs(4);
/// One of this many daemons gets no long requests.
const BRIEF_INTERVAL: usize = 3;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Sends batches over connections that it keeps open, some of them unused for long.
    Batch,
    /// Sends requests that run for 0.2 to 5 s, with time limits of 0.5 to 8 s.
    Long,
    /// Shuts down its sending side after each request.
    HalfClose,
    /// Reads large answers slowly.
    SlowReader,
    /// Sends its next requests without waiting for the answer.
    Pipeline,
    /// Closes its connection before the answer.
    Leave,
}

impl Manner {
    const ALL: [Self; 7] = [
        Self::Batch,
        Self::Long,
        Self::HalfClose,
        Self::Long,
        Self::Pipeline,
        Self::SlowReader,
        Self::Leave,
    ];

    /// The same number without long requests, so that a daemon ends as soon as its answers are written.
    const BRIEF: [Self; 7] = [
        Self::Batch,
        Self::SlowReader,
        Self::HalfClose,
        Self::SlowReader,
        Self::Pipeline,
        Self::SlowReader,
        Self::Leave,
    ];

    /// The callers of a daemon.
    const fn of_daemon(daemon: usize) -> [Self; 7] {
        if daemon.is_multiple_of(BRIEF_INTERVAL) {
            Self::BRIEF
        } else {
            Self::ALL
        }
    }

    /// Most requests that the caller has open.
    const fn most_open(self) -> usize {
        match self {
            Self::Batch => MAX_BATCH,
            Self::Pipeline => MAX_PIPELINE,
            _ => 1,
        }
    }

    /// Time between two exchanges, in milliseconds.
    const fn think_ms(self) -> Range<u64> {
        match self {
            Self::Long => 20..200,
            Self::SlowReader => 500..2_000,
            _ => 100..500,
        }
    }

    /// Time that requests run beyond the targets' usual time, and the callers' limit, both in
    /// milliseconds.
    const fn times_ms(self) -> (Range<u64>, Range<u64>) {
        match self {
            Self::Long => (200..5_000, 500..8_000),
            Self::SlowReader => (0..200, 3_000..6_000),
            _ => (0..600, 2_000..6_000),
        }
    }
}

/// A request that is to be sent.
#[derive(Clone, Debug)]
struct Draft {
    id: String,
    kind: RequestKind,
    run_time: Duration,
    limit: Duration,
    copies: usize,
}

impl Draft {
    fn text(&self) -> String {
        let body = if self.kind.runs_once() { "letter" } else { "" };
        let method = if body.is_empty() { "GET" } else { "POST" };
        format!(
            "{method} {}run-{}/copies-{} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {}\r\n\
             x-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
            self.kind.route(),
            self.run_time.as_millis(),
            self.copies,
            self.id,
            self.limit.as_millis(),
            body.len()
        )
    }
}

/// An open connection to a daemon's process.
struct Link {
    stream: TcpStream,
    /// Bytes that were read behind the last answer.
    bytes: Vec<u8>,
    incarnation: u32,
    opened_at: Instant,
}

impl Link {
    /// Whether the daemon has closed it, as far as this end knows.
    fn has_ended(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        !matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

impl Runner {
    /// Starts the callers of a run with stops: at most `limit`, but one for each daemon at least.
    pub(crate) fn start_stop_callers(
        self: &Rc<Self>,
        limit: usize,
        mut rng: ChaCha8Rng,
    ) -> Vec<JoinHandle<()>> {
        let count = self.daemons.borrow().len();
        let mut callers = Vec::new();
        let mut slow = 0;
        let each = (limit / count.max(1)).clamp(1, Manner::ALL.len());
        for daemon in 0..count {
            for i in 0..each {
                // In turn, so that daemons with few callers differ in their manners.
                let manners = Manner::of_daemon(daemon);
                let mut manner = manners[(daemon * each + i) % manners.len()];
                if manner == Manner::SlowReader {
                    slow += 1;
                    if slow > MAX_SLOW_CALLERS {
                        manner = Manner::Batch;
                    }
                }
                self.checks.borrow_mut().callers += manner.most_open() as u64;
                let rng = ChaCha8Rng::seed_from_u64(rng.random());
                let caller = self.clone().stop_caller(daemon, manner, rng);
                callers.push(actix_rt::spawn(caller));
            }
        }
        callers
    }

    /// Sends requests to one daemon until the run is finished.
    async fn stop_caller(self: Rc<Self>, daemon: usize, manner: Manner, mut rng: ChaCha8Rng) {
        let mut links: Vec<Link> = Vec::new();
        while !self.finished.get() {
            sleep(Duration::from_millis(rng.random_range(manner.think_ms()))).await;
            links.retain(|link| !link.has_ended());
            let wanted = if manner == Manner::Batch {
                BATCH_CONNECTIONS
            } else {
                1
            };
            while links.len() < wanted
                && let Some(link) = self.open(daemon, manner).await
            {
                links.push(link);
            }
            if links.is_empty() {
                sleep(RECONNECT_PAUSE).await;
                continue;
            }
            let count = rng.random_range(1..=manner.most_open()).min(links.len());
            let mut running = Vec::new();
            for link in links.drain(..count) {
                let drafts = self.draft(manner, &mut rng);
                let leaves_after = Duration::from_millis(rng.random_range(0..300));
                let exchange = self
                    .clone()
                    .exchange(daemon, manner, link, drafts, leaves_after);
                running.push(actix_rt::spawn(exchange));
            }
            for exchange in running {
                // The join fails only if the task panicked or the runtime stopped. Used connections
                // come last, so that others stay unused for a while.
                links.extend(exchange.await.ok().flatten());
            }
        }
    }

    /// Draws the requests of one exchange: one, or several for a pipeline.
    fn draft(&self, manner: Manner, rng: &mut ChaCha8Rng) -> Vec<Draft> {
        let count = match manner {
            Manner::Pipeline => rng.random_range(2..=MAX_PIPELINE),
            _ => 1,
        };
        let (run, limit) = manner.times_ms();
        let mut draw = || {
            let number = self.next_id.get();
            self.next_id.set(number + 1);
            let large = manner == Manner::SlowReader;
            // A gathered answer, the last kind, has only a few records.
            let kinds = RequestKind::LONG.len() - usize::from(large);
            Draft {
                id: format!("s{number}"),
                kind: RequestKind::LONG[rng.random_range(0..kinds)],
                run_time: Duration::from_millis(rng.random_range(run.clone())),
                limit: Duration::from_millis(rng.random_range(limit.clone())),
                copies: if large { LARGE_COPIES } else { 1 },
            }
        };
        (0..count).map(|_| draw()).collect()
    }

    async fn open(&self, daemon: usize, manner: Manner) -> Option<Link> {
        let front = self.daemons.borrow()[daemon].front();
        let stream = timeout(CONNECT_TIMEOUT, connect(front, manner)).await;
        let daemons = self.daemons.borrow();
        let Ok(Ok(stream)) = stream else {
            let stops = &mut self.checks.borrow_mut().stops;
            stops.note_refused_connection(&daemons[daemon]);
            return None;
        };
        Some(Link {
            stream,
            bytes: Vec::new(),
            incarnation: daemons[daemon].incarnation,
            opened_at: Instant::now(),
        })
    }

    /// Sends requests over a connection and has their answers checked; returns the connection if it
    /// can be used again.
    async fn exchange(
        self: Rc<Self>,
        daemon: usize,
        manner: Manner,
        mut link: Link,
        drafts: Vec<Draft>,
        leaves_after: Duration,
    ) -> Option<Link> {
        let text: String = drafts.iter().map(Draft::text).collect();
        for draft in &drafts {
            let mut checks = self.checks.borrow_mut();
            checks.count_request(draft.kind);
            checks.note_once(draft.kind, &draft.id);
        }
        // If writing fails, the daemon did not get the whole request.
        link.stream.write_all(text.as_bytes()).await.ok()?;
        let written_at = Instant::now();
        match manner {
            Manner::HalfClose => link.stream.shutdown().await.ok()?,
            Manner::Leave => {
                sleep(leaves_after).await;
                return None;
            }
            _ => {}
        }
        let usable = self
            .read_answers(daemon, manner, &mut link, drafts, written_at)
            .await;
        (usable && manner != Manner::HalfClose).then_some(link)
    }

    /// Reads the answers to requests and has them checked; returns whether the connection stays open.
    async fn read_answers(
        &self,
        daemon: usize,
        manner: Manner,
        link: &mut Link,
        drafts: Vec<Draft>,
        written_at: Instant,
    ) -> bool {
        let pace = (manner == Manner::SlowReader).then_some(PACE);
        let reading = pace.map_or(Duration::ZERO, |_| SLOW_READING_TIME);
        let mut until = written_at + ANSWER_SLACK + reading;
        let (mut usable, mut behind_close) = (true, false);
        let mut next_at = written_at;
        for draft in drafts {
            // The answers of a pipeline come one after the other.
            until += draft.limit;
            let left = until.saturating_duration_since(Instant::now());
            let answer = read_answer(&mut link.stream, &mut link.bytes, pace);
            let outcome = timeout(left, answer).await.unwrap_or(Outcome::TimedOut);
            let announces = matches!(&outcome, Outcome::Answered(a) if a.ends_connection());
            let timed_out = matches!(outcome, Outcome::TimedOut);
            usable &= matches!(outcome, Outcome::Answered(_)) && !announces;
            self.check_exchange(&StopRequest {
                behind_close,
                next_at,
                manner,
                run_time: draft.run_time,
                limit: draft.limit,
                request: Request {
                    id: draft.id,
                    kind: draft.kind,
                    daemon,
                    incarnation: link.incarnation,
                    key: None,
                    sent_at: written_at,
                    opened_at: Some(link.opened_at),
                    written_at: Some(written_at),
                    copies: draft.copies,
                    outcome,
                },
            });
            behind_close |= announces;
            next_at = Instant::now();
            if timed_out {
                // A late answer must not be taken for that of the next request.
                return false;
            }
        }
        usable
    }

    fn check_exchange(&self, request: &StopRequest) {
        let (daemon, incarnation) = (request.request.daemon, request.request.incarnation);
        if request.request.outcome.status() == Some(200) {
            self.daemons.borrow_mut()[daemon].note_served(incarnation);
        }
        let env = self.environment.borrow();
        let daemon = &self.daemons.borrow()[daemon];
        let mut checks = self.checks.borrow_mut();
        checks.check_stop_request(&env, daemon, request);
    }
}

async fn connect(front: SocketAddr, manner: Manner) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if manner == Manner::SlowReader {
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
    }
    socket.connect(front).await
}
