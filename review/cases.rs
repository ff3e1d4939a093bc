// The cases. Each returns whether its rule was broken.

fn run_case(case: &str, stage: Stage) -> bool {
    match case {
        "stop" => stop(stage),
        "failback" => failback(stage),
        "leaving" => leaving(stage),
        "gone" => gone(stage),
        "quota" => quota(stage),
        _ => cannot_run("there is no such case"),
    }
}

fn addresses(text: &str) -> Vec<SocketAddr> {
    text.split('"').filter_map(|part| part.parse().ok()).collect()
}

/// A daemon gets SIGTERM. A caller that still knows it sends its next batch on the connections that it
/// keeps open to it.
fn stop(mut stage: Stage) -> bool {
    const TIMEOUT: u64 = 8_000;
    const GRACE: u64 = 6_000;
    const SLACK: u64 = 200;
    const BATCH: usize = 36;
    let record = stage.record.clone();
    let config = |id: &str, zone: &str| ServerConfig {
        id: id.into(),
        service: "mail".into(),
        zone: zone.into(),
        slots: 6,
        work: ms(220),
        cold_limit: None,
    };
    let servers = [stage.server(101, config("i-1", "a")), stage.server(102, config("i-2", "b"))];
    stage.config(1, &route("letter", "mail", "non_idempotent", TIMEOUT, 800), &service("mail", 110, 0.0));
    stage.start_daemons(2);
    let leaving = stage.daemons[0].front();
    // The caller keeps an answer of the directory for three times its 2 s.
    let answer = resolve(SocketAddr::from((stage.daemons[1].ip, DIRECTORY)));
    record.say(&format!("the caller asks the directory: {answer}"));
    if !addresses(&answer).contains(&leaving) {
        cannot_run("the directory does not name the daemon");
    }
    let resolved = Instant::now();
    let second = resolved + ms(3_900);
    let clients: Vec<_> = (0..BATCH)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || {
                let mut client = Client::new(&record, &format!("c{i}"), leaving);
                let first = client.send("POST", &format!("/letter/1-{i}"), "a letter", ms(TIMEOUT));
                thread::sleep(second.saturating_duration_since(Instant::now()));
                let later = client.send("POST", &format!("/letter/2-{i}"), "a letter", ms(TIMEOUT));
                [first, later]
            })
        })
        .collect();
    // After the first batch, which takes less than half a second.
    thread::sleep((resolved + ms(700)).saturating_duration_since(Instant::now()));
    let term = record.now();
    if stage.trouble {
        record.say(&format!("SIGTERM to {}", stage.daemons[0].name));
        stage.daemons[0].signal(SIGTERM);
    }
    let attempts: Vec<Attempt> = clients.into_iter().filter_map(|c| c.join().ok()).flatten().collect();
    let mut lost = 0;
    for attempt in &attempts {
        let mut found = Vec::new();
        let run = find(&servers, &attempt.id, &mut found).first().cloned();
        let took = attempt.ended - attempt.sent;
        let after = attempt.sent as i64 - term as i64;
        let is_cut = matches!(attempt.end, End::Cut(_));
        let at_server = match &run {
            None => "never reached a server".to_owned(),
            Some(a) => format!("reached a server at {}, answered there at {:?}", a.at, a.answered),
        };
        record.line(&format!("{}: sent {after} ms after the signal, {} after {took} ms, {at_server}", attempt.id, attempt.text()));
        // The span of the rule, and its excuses: the time limit, and a server that was at work in the
        // last sixth of `graceS` on a request sent within 3 s of the signal.
        let in_span = attempt.ended <= term + GRACE + 1_000;
        let excused = took >= TIMEOUT || (run.is_some() && after <= 3_000);
        lost += u32::from(is_cut && in_span && !excused && (run.is_some() || took > SLACK));
    }
    let served = attempts.iter().filter(|a| a.status() == 200).count();
    record.say(&format!("{} requests, {served} answered with 200, {lost} read and ended without an answer", attempts.len()));
    lost > 0
}

/// An evacuation ends, and the servers of the zone have become cold shortly before.
fn failback(mut stage: Stage) -> bool {
    const COLD_PER_S: f64 = 6.0;
    const BOUND: usize = 14; // coldPerS x coldOvershoot (1.5) + coldSlack (5)
    let record = stage.record.clone();
    let config = |id: &str, zone: &str| ServerConfig {
        id: id.into(),
        service: "desk".into(),
        zone: zone.into(),
        slots: 3,
        work: ms(9),
        cold_limit: Some(BOUND * 2),
    };
    let servers = [stage.server(101, config("i-1", "a")), stage.server(102, config("i-2", "b"))];
    stage.config(1, &route("letter", "desk", "non_idempotent", 8_000, 200), &service("desk", 31, COLD_PER_S));
    stage.start_daemons(2);
    let done = Arc::new(AtomicBool::new(false));
    let writers = writers(&stage, 60, ms(400), &done);
    thread::sleep(ms(1_000));
    record.say("zone a is evacuated");
    stage.store.put("evacuations", "a", "{}");
    thread::sleep(ms(8_000));
    let since = record.now();
    if stage.trouble {
        record.say("server i-1 becomes cold for 3 s");
        *lock(&servers[0].cold_until) = Some(Instant::now() + ms(3_000));
    }
    thread::sleep(ms(300));
    record.say("the evacuation ends");
    stage.store.remove("evacuations", "a");
    thread::sleep(ms(5_000));
    done.store(true, Ordering::SeqCst);
    let attempts = finish(writers);
    let is_cold = |at: &u64| stage.trouble && *at >= since && *at < since + 3_000;
    let cold: Vec<u64> = lock(&servers[0].arrivals).iter().map(|a| a.at).filter(is_cold).collect();
    let in_second = |at: u64| cold.iter().filter(|t| **t >= at && **t < at + 1_000).count();
    let most = cold.iter().map(|at| in_second(*at)).max().unwrap_or(0);
    let failed: Vec<&Attempt> = attempts.iter().filter(|a| a.status() != 200).collect();
    record.say(&format!("most requests in a second at the cold server: {most}, bound {BOUND}"));
    let crashes = servers[0].crashes.load(Ordering::SeqCst);
    record.say(&format!("it crashed {crashes} times; {} requests, {} not served", attempts.len(), failed.len()));
    most > BOUND
}

/// Clients that send letters to the daemons in turn until `done`; each waits for its answer and a pause.
fn writers(
    stage: &Stage,
    count: usize,
    pause: Duration,
    done: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<Vec<Attempt>>> {
    let fronts: Vec<SocketAddr> = stage.daemons.iter().map(Daemon::front).collect();
    let writer = |i: usize| {
        let (record, done, front) = (stage.record.clone(), done.clone(), fronts[i % fronts.len()]);
        thread::spawn(move || {
            let mut client = Client::new(&record, &format!("c{i}"), front);
            let mut all = Vec::new();
            thread::sleep(ms(7 * i as u64));
            while !done.load(Ordering::SeqCst) {
                let path = format!("/letter/{i}-{}", all.len());
                all.push(client.send("POST", &path, "a letter", ms(8_000)));
                thread::sleep(pause);
            }
            all
        })
    };
    (0..count).map(writer).collect()
}

fn finish(writers: Vec<thread::JoinHandle<Vec<Attempt>>>) -> Vec<Attempt> {
    writers.into_iter().filter_map(|c| c.join().ok()).flatten().collect()
}

/// A server leaves while the store is down, and says so in its answers.
fn leaving(mut stage: Stage) -> bool {
    const DRAIN_MS: u64 = 3_000;
    const DOWN_MS: u64 = 4_500;
    let record = stage.record.clone();
    let config = |id: &str, zone: &str| ServerConfig {
        id: id.into(),
        service: "mail".into(),
        zone: zone.into(),
        slots: 6,
        work: ms(220),
        cold_limit: None,
    };
    let servers: Vec<_> = (0..7)
        .map(|i| stage.server(101 + i, config(&format!("m-{i}"), ["a", "b"][usize::from(i) % 2])))
        .collect();
    stage.config(1, &route("letter", "mail", "non_idempotent", 8_000, 800), &service("mail", 110, 0.0));
    stage.start_daemons(2);
    let done = Arc::new(AtomicBool::new(false));
    let writers = writers(&stage, 16, ms(80), &done);
    thread::sleep(ms(2_000));
    if stage.trouble {
        record.say("the store is down");
        stage.store.set_down(true);
        thread::sleep(ms(300));
    }
    record.say("server m-0 leaves: it writes no entry any more, and says so in its answers");
    servers[0].silent.store(true, Ordering::SeqCst);
    servers[0].leaving.store(true, Ordering::SeqCst);
    if stage.trouble {
        thread::sleep(ms(DOWN_MS - 300));
        // Its lease has run out meanwhile.
        stage.store.remove("servers", "m-0");
        stage.store.set_down(false);
        record.say("the store is back");
        thread::sleep(ms(1_000));
    } else {
        stage.store.remove("servers", "m-0");
        thread::sleep(ms(DOWN_MS + 700));
    }
    record.say("server m-0 exits");
    servers[0].stop();
    thread::sleep(ms(1_000));
    done.store(true, Ordering::SeqCst);
    let attempts = finish(writers);
    // When each daemon first passed on an answer that says so.
    let mut told: HashMap<SocketAddr, u64> = HashMap::new();
    for attempt in &attempts {
        if let End::Answer(answer) = &attempt.end
            && answer.header("server-leaving") == "1"
        {
            let at = told.entry(attempt.to).or_insert(attempt.ended);
            *at = attempt.ended.min(*at);
        }
    }
    let (mut late, mut lost) = (0, 0);
    for attempt in &attempts {
        let reached = lock(&servers[0].arrivals).iter().any(|a| a.id == attempt.id);
        let after = told.get(&attempt.to).map(|at| attempt.sent as i64 - *at as i64);
        let is_late = reached && after.is_some_and(|ms| ms > DRAIN_MS as i64);
        late += u32::from(is_late);
        lost += u32::from(is_late && attempt.status() != 200);
        if is_late {
            record.line(&format!("{}: sent {after:?} ms after {} had passed that on, reached m-0, {}", attempt.id, attempt.to, attempt.text()));
        }
    }
    record.say(&format!("{} requests; late at m-0: {late}, of these not answered with 200: {lost}", attempts.len()));
    late > 0
}

/// A server leaves without a word while the store is down, and its entry lapses. Other servers are
/// replaced one after the other.
fn gone(mut stage: Stage) -> bool {
    const DRAIN_MS: u64 = 3_000;
    const STABLE_MS: u64 = 4_000;
    const DOWN_MS: u64 = 4_500;
    let record = stage.record.clone();
    let config = |id: &str, service: &str, zone: &str| ServerConfig {
        id: id.into(),
        service: service.into(),
        zone: zone.into(),
        slots: 6,
        work: ms(if service == "mail" { 220 } else { 28 }),
        cold_limit: None,
    };
    let zone = |i: u8| ["a", "b", "c"][usize::from(i) % 3];
    let mail: Vec<_> = (0..3)
        .map(|i| stage.server(101 + i, config(&format!("m-{i}"), "mail", zone(i))))
        .collect();
    // Two shards of seven servers each.
    let shard = |i: u8| ["desk", "roll"][usize::from(i) % 2];
    let mut desk: Vec<_> = (0..14)
        .map(|i| stage.server(111 + i, config(&format!("d-{i}"), shard(i), zone(i))))
        .collect();
    let routes = [
        route("letter", "mail", "non_idempotent", 8_000, 800),
        route("desk", "desk", "idempotent", 2_000, 200),
        route("roll", "roll", "idempotent", 2_000, 200),
    ];
    let services = [service("mail", 110, 0.0), service("desk", 31, 0.0), service("roll", 31, 0.0)];
    stage.config(1, &routes.join(","), &services.join(","));
    stage.start_daemons(3);
    let done = Arc::new(AtomicBool::new(false));
    let writers = writers(&stage, 6, ms(60), &done);
    thread::sleep(ms(2_000));
    if stage.trouble {
        record.say("the store is down");
        stage.store.set_down(true);
    }
    thread::sleep(ms(500));
    record.say("server m-0 leaves and writes nothing any more; it goes on serving");
    mail[0].silent.store(true, Ordering::SeqCst);
    if stage.trouble {
        // The leases of all servers run out; those that live write their entries again.
        for server in mail.iter().chain(&desk) {
            stage.store.remove("servers", &server.config.id);
        }
        thread::sleep(ms(DOWN_MS - 500));
        stage.store.set_down(false);
        record.say("the store is back");
    } else {
        stage.store.remove("servers", "m-0");
    }
    let back = record.now();
    thread::sleep(ms(1_000));
    // A release of both shards: of each, three servers are replaced, one a second; the new one starts
    // first.
    for i in 0..6u8 {
        desk.push(stage.server(131 + i, config(&format!("e-{i}"), shard(i), zone(i))));
        thread::sleep(ms(250));
        *lock(&desk[usize::from(i)].state) = "draining";
        desk[usize::from(i)].announce();
        thread::sleep(ms(250));
    }
    // Once the store is stable, the server makes sure that it has no entry any more.
    thread::sleep(ms((back + STABLE_MS + 100).saturating_sub(record.now())));
    let had = stage.store.remove("servers", "m-0");
    let confirmed = record.now();
    record.say(&format!("the store confirms that m-0 has no entry (it had one: {had})"));
    let due = confirmed + DRAIN_MS;
    thread::sleep(ms(DRAIN_MS + 6_000));
    record.say("server m-0 exits");
    mail[0].stop();
    thread::sleep(ms(500));
    done.store(true, Ordering::SeqCst);
    let attempts = finish(writers);
    let late: Vec<u64> = lock(&mail[0].arrivals).iter().map(|a| a.at).filter(|at| *at > due).collect();
    let failed = attempts.iter().filter(|a| a.status() != 200).count();
    record.say(&format!(
        "{} requests, {failed} not answered with 200; at m-0 later than {DRAIN_MS} ms after that: {} (the last {:?} ms after)",
        attempts.len(), late.len(), late.last().map(|at| at - confirmed)
    ));
    !late.is_empty()
}

/// All daemons are killed twice while a tenant sends far more than its quota.
fn quota(mut stage: Stage) -> bool {
    const DAEMONS: u8 = 8;
    const WINDOW_MS: u64 = 5_000;
    const BOUND: f64 = (0.5 * 5.0 + 1.0) * 1.1 + 20.0;
    let record = stage.record.clone();
    let config = |id: &str, zone: &str| ServerConfig {
        id: id.into(),
        service: "mail".into(),
        zone: zone.into(),
        slots: 6,
        work: ms(10),
        cold_limit: None,
    };
    let servers: Vec<_> = (0..4)
        .map(|i| stage.server(101 + i, config(&format!("m-{i}"), ["a", "b", "c"][usize::from(i) % 3])))
        .collect();
    stage.tenants = ",\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"ratePerS\":0.5,\"burst\":1.0,\"priority\":1}]";
    stage.config(1, &route("letter", "mail", "idempotent", 8_000, 800), &service("mail", 550, 0.0));
    stage.start_daemons(DAEMONS);
    let done = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = stage.daemons.iter().map(Daemon::front).collect();
    let clients: Vec<_> = (0..40)
        .map(|i| {
            let (record, done, front) = (record.clone(), done.clone(), fronts[i % fronts.len()]);
            thread::spawn(move || {
                let mut client = Client::new(&record, &format!("c{i}"), front);
                client.key = Some("k1");
                let mut all = Vec::new();
                while !done.load(Ordering::SeqCst) {
                    all.push(client.send("GET", &format!("/letter/{i}-{}", all.len()), "", ms(2_000)));
                    thread::sleep(ms(30));
                }
                all
            })
        })
        .collect();
    thread::sleep(ms(6_000));
    if stage.trouble {
        stage.kill_all(ms(300));
        thread::sleep(ms(1_700));
        stage.kill_all(ms(300));
        thread::sleep(ms(5_000));
    } else {
        thread::sleep(ms(7_300));
    }
    done.store(true, Ordering::SeqCst);
    let sent: HashMap<String, u64> = finish(clients).into_iter().map(|a| (a.id, a.sent)).collect();
    // When each request that ran was sent, and when it arrived.
    let mut runs: Vec<(u64, u64)> = Vec::new();
    for server in &servers {
        let arrivals = lock(&server.arrivals);
        let ran = arrivals.iter().filter(|a| a.ran.is_some());
        runs.extend(ran.filter_map(|a| Some((*sent.get(&a.id)?, a.at))));
    }
    let in_window = |from: u64| runs.iter().filter(|(s, at)| *s >= from && *at < from + WINDOW_MS).count();
    let most = runs.iter().map(|(s, _)| (in_window(*s), *s)).max().unwrap_or((0, 0));
    record.say(&format!("{} requests, {} ran; most in {WINDOW_MS} ms: {}, from {}; bound {BOUND}", sent.len(), runs.len(), most.0, most.1));
    most.0 as f64 > BOUND
}
