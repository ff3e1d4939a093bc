//! The callers of a run: they resolve addresses, keep their connections alive, and have each answer
//! checked.

use {
    crate::{
        accounts::PROBE,
        checks::{Request, RequestKind},
        connection::{Connection, Outcome},
        environment::CENTRES,
        runner::{ANSWER_SLACK, Runner},
    },
    actix_rt::time::sleep,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_platform::caller::{parse_addresses, resolve_path},
    rattanturn_standins::operator::HOST,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Upper bound of a caller's think time between two requests, exclusive.
const MAX_THINK_MS: u64 = 60;
/// Time between two requests of a caller that stays at one daemon.
const LOYAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two requests of an additional caller.
const RUSH_PAUSE: Duration = Duration::from_millis(5);
/// Time for which a caller uses the addresses that a directory returned.
const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Longest time for which a directory may still return the address of a dead daemon. The platform's
/// rules set it for sites of 60 VMs or fewer.
const MAX_STALE_TIME: Duration = Duration::from_secs(7);

impl Runner {
    /// Sends requests of random kinds as one caller until the run is finished.
    pub(crate) async fn caller(self: Rc<Self>, account: usize, mut rng: ChaCha8Rng) {
        let mut connection = Connection::default();
        let (mut addresses, mut resolved_at) = (Vec::new(), Instant::now());
        while !self.finished.get() {
            sleep(Duration::from_millis(rng.random_range(1..MAX_THINK_MS))).await;
            if addresses.is_empty() || resolved_at.elapsed() > ADDRESS_TTL {
                addresses = self.resolve(&mut rng).await;
                resolved_at = Instant::now();
            }
            if addresses.is_empty() {
                continue;
            }
            let to = addresses[rng.random_range(0..addresses.len())];
            let focus = self.focus.get();
            let to = focus.map_or(to, |d| self.daemons.borrow()[d].front());
            let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
            if let Some(daemon) = self.daemon_at(to) {
                connection.key = self.draw_key(account, &mut rng);
                let status = self.send_request(&mut connection, daemon, kind).await;
                if !matches!(status, Some(code) if code < 500) {
                    addresses.retain(|a| *a != to);
                }
            }
        }
    }

    /// Draws the key of a request, if callers have keys.
    fn draw_key(&self, account: usize, rng: &mut ChaCha8Rng) -> Option<String> {
        let book = self.accounts.as_ref()?;
        Some(book.borrow().draw_key(account, rng))
    }

    /// Sends requests to one daemon on one connection, with one key until it is refused, so that it
    /// is revoked while the connection is open.
    pub(crate) async fn loyal_caller(self: Rc<Self>, daemon: usize, account: usize) {
        let Some(book) = &self.accounts else { return };
        let mut connection = Connection::default();
        while !self.finished.get() {
            sleep(LOYAL_INTERVAL).await;
            let key = connection.key.take();
            let key = key.unwrap_or_else(|| book.borrow().oldest_key(account));
            connection.key = Some(key);
            let kind = RequestKind::Single;
            if self.send_request(&mut connection, daemon, kind).await == Some(401) {
                connection.key = None;
            }
        }
    }

    /// Sends requests of a kind to one daemon, or to all in turn, with short pauses until an instant.
    pub(crate) async fn rush(
        self: Rc<Self>,
        kind: RequestKind,
        daemon: Option<usize>,
        until: Instant,
    ) {
        let key = self.accounts.as_ref().map(|b| b.borrow().oldest_key(PROBE));
        let count = self.daemons.borrow().len();
        let mut connections: Vec<Connection> = (0..count).map(|_| Connection::default()).collect();
        let mut next = 0;
        while Instant::now() < until {
            let daemon = daemon.unwrap_or(next % count);
            connections[daemon].key.clone_from(&key);
            self.send_request(&mut connections[daemon], daemon, kind)
                .await;
            next += 1;
            sleep(RUSH_PAUSE).await;
        }
    }

    /// Index of the daemon that accepts requests at an address.
    fn daemon_at(&self, front: SocketAddr) -> Option<usize> {
        self.daemons
            .borrow()
            .iter()
            .position(|d| d.front() == front)
    }

    /// Sends one request and checks its outcome; returns the status if there was an answer.
    async fn send_request(
        &self,
        connection: &mut Connection,
        daemon: usize,
        kind: RequestKind,
    ) -> Option<u16> {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("q{number}");
        let path = kind.path(if self.has_orders { number } else { 0 });
        let (front, incarnation) = {
            let daemons = self.daemons.borrow();
            (daemons[daemon].front(), daemons[daemon].incarnation)
        };
        self.checks.borrow_mut().count_request(kind);
        if let Some(key) = &connection.key {
            self.checks.borrow_mut().note_key(&id, key);
        }
        let sent_at = Instant::now();
        let body = if kind == RequestKind::Once {
            "once"
        } else {
            ""
        };
        let limit = kind.limit() + ANSWER_SLACK;
        if self.has_orders {
            let sent = &mut self.checks.borrow_mut().orders.sent;
            sent.insert(id.clone(), (daemon, sent_at));
        }
        let outcome = connection.send(front, &path, &id, body, limit).await;
        let request = Request {
            id,
            kind,
            daemon,
            incarnation,
            key: connection.key.clone(),
            sent_at,
            opened_at: connection.opened_at,
            written_at: connection.written_at,
            copies: 1,
            outcome,
        };
        let daemons = self.daemons.borrow();
        let env = self.environment.borrow();
        self.checks
            .borrow_mut()
            .check_request(&env, &daemons[daemon], &request);
        request.outcome.status()
    }

    /// Asks a random daemon's directory for the addresses that callers should use, and checks them;
    /// empty if there is no usable answer.
    async fn resolve(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let from = {
            let daemons = self.daemons.borrow();
            let running: Vec<usize> = (0..daemons.len())
                .filter(|i| daemons[*i].is_running())
                .collect();
            if running.is_empty() {
                return Vec::new();
            }
            running[rng.random_range(0..running.len())]
        };
        let directory = self.daemons.borrow()[from].directory();
        let centre = CENTRES[rng.random_range(0..CENTRES.len())];
        let path = resolve_path(HOST, centre);
        let mut connection = Connection::default();
        let limit = Duration::from_secs(1);
        let Outcome::Answered(answer) = connection
            .send(directory, &path, "resolve", "", limit)
            .await
        else {
            return Vec::new();
        };
        if answer.status != 200 {
            return Vec::new();
        }
        let Some(listed) = parse_addresses(&answer.body) else {
            let text = format!(
                "d{from}: expected an address list from its directory, got {:?}",
                String::from_utf8_lossy(&answer.body)
            );
            self.checks.borrow_mut().add_violation(text);
            return Vec::new();
        };
        self.check_addresses(from, &listed);
        listed
    }

    /// Checks that a directory does not return addresses of daemons that have long been dead. A
    /// directory whose own daemon had an outage in that time may not know better yet.
    fn check_addresses(&self, from: usize, listed: &[SocketAddr]) {
        let now = Instant::now();
        let Some(past) = now.checked_sub(MAX_STALE_TIME) else {
            return;
        };
        let daemons = self.daemons.borrow();
        if daemons[from].had_outage(past, now) {
            return;
        }
        for dead in daemons.iter().filter(|d| d.down_since(past)) {
            if listed.contains(&dead.front()) {
                let text = format!(
                    "{}: its directory returned the address of {}, which has been dead too long",
                    daemons[from].name, dead.name
                );
                self.checks.borrow_mut().add_violation(text);
            }
        }
    }
}
