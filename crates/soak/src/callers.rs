//! The callers of a run: they ask for addresses, keep connections, and judge each answer.

use {
    crate::{
        checks::{Kind, Sent},
        connection::{Connection, Ended},
        play::{Play, SLACK},
        world::CENTRES,
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

/// A caller's pause between two requests, in milliseconds.
const THINK_MS: u64 = 60;
/// Time of the directory's answer.
const LIFETIME: Duration = Duration::from_secs(2);
/// A daemon that is gone may be named this long: the platform's rules for 60 VMs or fewer.
const NAMED_DEAD: Duration = Duration::from_secs(7);

impl Play {
    /// One caller until the run is over.
    pub(crate) async fn call(self: Rc<Self>, mut rng: ChaCha8Rng) {
        let mut connection = Connection::default();
        let (mut addresses, mut known) = (Vec::new(), Instant::now());
        while !self.over.get() {
            sleep(Duration::from_millis(rng.random_range(1..THINK_MS))).await;
            if addresses.is_empty() || known.elapsed() > LIFETIME {
                addresses = self.resolve(&mut rng).await;
                known = Instant::now();
            }
            if addresses.is_empty() {
                continue;
            }
            let to = addresses[rng.random_range(0..addresses.len())];
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            if let Some(daemon) = self.at(to) {
                let ended = self.ask(&mut connection, daemon, kind).await;
                if !matches!(ended, Some(status) if status < 500) {
                    addresses.retain(|a| *a != to);
                }
            }
        }
    }

    fn at(&self, front: SocketAddr) -> Option<usize> {
        self.daemons
            .borrow()
            .iter()
            .position(|d| d.front() == front)
    }

    /// Sends one request and judges its end; the status if there is an answer.
    async fn ask(&self, connection: &mut Connection, daemon: usize, kind: Kind) -> Option<u16> {
        let number = self.next_id.get();
        self.next_id.set(number + 1);
        let id = format!("q{number}");
        let (front, incarnation) = {
            let daemons = self.daemons.borrow();
            (daemons[daemon].front(), daemons[daemon].incarnation)
        };
        self.checks.borrow_mut().count(kind);
        let begun = Instant::now();
        let body = if kind == Kind::Once { "once" } else { "" };
        let limit = kind.limit() + SLACK;
        let ended = connection.ask(front, kind.path(), &id, body, limit).await;
        let sent = Sent {
            id,
            kind,
            daemon,
            incarnation,
            begun,
            opened: connection.opened,
            ended,
        };
        let daemons = self.daemons.borrow();
        let world = self.world.borrow();
        self.checks
            .borrow_mut()
            .judge(&world, &daemons[daemon], &sent);
        match sent.ended {
            Ended::Answered(answer) => Some(answer.status),
            _ => None,
        }
    }

    /// Asks some daemon for addresses; those that have long been gone must not be named.
    async fn resolve(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let from = {
            let daemons = self.daemons.borrow();
            let running: Vec<usize> = (0..daemons.len()).filter(|i| daemons[*i].runs()).collect();
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
        let Ended::Answered(answer) = connection.ask(directory, &path, "resolve", "", limit).await
        else {
            return Vec::new();
        };
        if answer.status != 200 {
            return Vec::new();
        }
        let Some(named) = parse_addresses(&answer.body) else {
            let text = format!("{from} answers {:?}", String::from_utf8_lossy(&answer.body));
            self.checks.borrow_mut().fail(text);
            return Vec::new();
        };
        self.judge_named(from, &named);
        named
    }

    fn judge_named(&self, from: usize, named: &[SocketAddr]) {
        let now = Instant::now();
        let Some(long_ago) = now.checked_sub(NAMED_DEAD) else {
            return;
        };
        let daemons = self.daemons.borrow();
        if daemons[from].disturbed(long_ago, now) {
            return;
        }
        for gone in daemons.iter().filter(|d| d.gone_since(long_ago)) {
            if named.contains(&gone.front()) {
                let text = format!("{} names {}, long gone", daemons[from].name, gone.name);
                self.checks.borrow_mut().fail(text);
            }
        }
    }
}
