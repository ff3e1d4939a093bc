use {
    super::StopRequest,
    crate::{
        checks::{Checks, Request, RequestKind},
        connection::{Answer, Outcome},
        daemons::{Daemon, DaemonSetup},
        environment::Environment,
        stop_callers::Manner,
    },
    rustix::process::Signal,
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        time::{Duration, Instant},
    },
};

/// Refused requests of a test, more than the 5 that a calm stop may cost.
const REFUSALS: usize = 6;

/// Daemons whose processes have ended at once, but count as running until they are looked at.
struct Fixture {
    env: Environment,
    checks: Checks,
    daemons: Vec<Daemon>,
}

impl Fixture {
    async fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("soak-checks-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let setup = DaemonSetup {
            program: Path::new("true"),
            folder: &folder,
            subnet: (200, 1),
            settings: "",
        };
        let store = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let create = |number| {
            let mut daemon = Daemon::create(&setup, number, "a", store).unwrap();
            daemon.start().unwrap();
            daemon.note_served(daemon.incarnation);
            daemon
        };
        let daemons = (0..2).map(create).collect();
        std::fs::remove_dir_all(&folder).unwrap();
        let mut checks = Checks::default();
        checks.stops.calm = true;
        Self {
            env: Environment::spawn(1).await.unwrap(),
            checks,
            daemons,
        }
    }

    /// Lets a daemon answer a request with a status, as soon as it is sent.
    fn answer(&mut self, daemon: usize, status: u16) {
        let (now, incarnation) = (Instant::now(), self.daemons[daemon].incarnation);
        let answer = Answer {
            status,
            headers: BTreeMap::new(),
            body: Vec::new(),
        };
        let request = StopRequest {
            manner: Manner::Batch,
            run_time: Duration::ZERO,
            limit: Duration::from_secs(4),
            next_at: now,
            behind_close: false,
            request: Request {
                id: "s1".into(),
                kind: RequestKind::Long,
                daemon,
                incarnation,
                key: None,
                sent_at: now,
                opened_at: Some(now),
                written_at: Some(now),
                copies: 1,
                outcome: Outcome::Answered(answer),
            },
        };
        let daemon = &self.daemons[daemon];
        self.checks.check_stop_request(&self.env, daemon, &request);
    }

    /// The violations found, when all requests have ended.
    fn violations(mut self) -> Vec<String> {
        self.checks.report_stops();
        self.checks.violations
    }
}

/// Runs a test of the checks in a runtime, which the stand-ins need.
fn with_fixture(name: &str, test: impl FnOnce(&mut Fixture)) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let mut fixture = Fixture::new(name).await;
        test(&mut fixture);
        fixture.violations()
    })
}

fn refuse_all(fixture: &mut Fixture, daemon: usize) {
    for _ in 0..REFUSALS {
        fixture.answer(daemon, 503);
        let stops = &mut fixture.checks.stops;
        stops.note_refused_connection(&fixture.daemons[daemon]);
    }
}

/// Guards against refusals after a second SIGINT, which closes the listeners, that count as those of
/// a calm stop.
#[test]
fn refusals_after_a_second_interrupt_are_excused() {
    let found = with_fixture("excused", |fixture| {
        fixture.daemons[0].signal(Signal::INT);
        fixture.daemons[0].signal(Signal::INT);
        refuse_all(fixture, 0);
    });
    assert_eq!(found, Vec::<String>::new());
}

#[test]
fn refusals_before_a_second_interrupt_count() {
    let found = with_fixture("before", |fixture| {
        fixture.daemons[0].signal(Signal::INT);
        refuse_all(fixture, 0);
        fixture.daemons[0].signal(Signal::INT);
    });
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn refusals_at_another_daemon_and_after_a_second_sigterm_count() {
    let found = with_fixture("other", |fixture| {
        fixture.daemons[0].signal(Signal::INT);
        fixture.daemons[0].signal(Signal::INT);
        fixture.daemons[1].signal(Signal::TERM);
        fixture.daemons[1].signal(Signal::TERM);
        refuse_all(fixture, 1);
    });
    assert_eq!(found.len(), 2, "{found:?}");
}

/// Guards against a check that takes a 502 for an answer as good as any other.
#[test]
fn a_lost_answer_before_the_final_answers_is_found() {
    let found = with_fixture("lost", |fixture| {
        fixture.answer(0, 502);
        fixture.daemons[1].signal(Signal::TERM);
        fixture.answer(1, 502);
    });
    assert_eq!(found.len(), 2, "{found:?}");
}
