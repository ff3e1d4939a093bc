//! A version of the configuration that changes the time-outs of all routes.

use super::{
    Arrivals, DAEMON_START, Daemon, Deployment, Record, Server, Store, read_message, request,
    wait_until_serving,
};
use std::{
    fmt::Write as _,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const ZONES: [&str; 3] = ["asahiyama", "tokiwa", "kagura"];
pub const DAEMONS: u8 = 12;
/// Routes beside the first and the last one. The configuration stays below `maxValueBytes`.
const ROUTES: u64 = 6_000;
const MAX_VALUE_BYTES: usize = 1_048_576;
/// `configApplyMs`.
const APPLY_MS: u64 = 3_000;
/// Time for which each version is watched.
const WATCH_MS: u64 = 25_000;

/// A version with one route of its own. The time-outs of the others begin at `timeout`.
pub fn version(number: u64, timeout: u64) -> String {
    let mut out = format!("{{\"version\":{number},\"routes\":[");
    let mut add = |name: &str, path: &str, timeout: u64, end: &str| {
        let _ = write!(
            out,
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"/{path}/\",\"type\":\"idempotent\",\
             \"timeoutMs\":{timeout},\"latencyGoalMs\":200,\"priority\":1,\"service\":\"mail-office\",\
             \"maxAttempts\":2}}{end}"
        );
    };
    add("r-first", "mail-office", 2_000, ",");
    for i in 0..ROUTES {
        add(&format!("r-{i}"), &format!("v{i}"), timeout + i % 7, ",");
    }
    add("r-last", &format!("new{number}"), 2_000, "");
    out.push_str(
        "],\"services\":[{\"name\":\"mail-office\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"warmupS\":3.0,\
         \"coldPerS\":0.0}],\"limits\":{\"headerBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}",
    );
    out
}

/// An answer to a request on the route that a version adds.
struct Probe {
    daemon: String,
    /// Milliseconds from the confirmation until the request was sent.
    after: u64,
    status: u16,
}

pub fn run(folder: &Path, disturbed: bool) -> Result<String, String> {
    let record = Record::new();
    let store = Store::spawn(&record)?;
    let arrivals = Arrivals::default();
    store.put("config", "main", &version(7, 3_000));
    for (i, zone) in ZONES.iter().cycle().take(9).enumerate() {
        let id = format!("i-{i}");
        Server::spawn(
            (&id, "mail-office", zone),
            Duration::from_millis(5),
            (&store, &record, &arrivals),
        )?;
    }
    let deployment = Deployment::new(DAEMONS, &record)?;
    let mut daemons = Vec::new();
    for (number, zone) in (1..=DAEMONS).zip(ZONES.iter().cycle()) {
        daemons.push(deployment.start(number, zone, store.addr)?);
    }
    for daemon in &daemons {
        wait_until_serving(daemon, "/mail-office/2f", &record)?;
    }
    record.sleep_until(DAEMON_START);

    let probes: Arc<Mutex<Vec<Probe>>> = Arc::default();
    let mut longest = (0, String::new());
    for number in [8, 9] {
        // Without the disturbance, the version only adds its own route.
        let timeout = if disturbed {
            3_000 + 100 * number
        } else {
            3_000
        };
        let body = version(number, timeout);
        if body.len() > MAX_VALUE_BYTES {
            return Err("the configuration is too large".into());
        }
        let bytes = body.len();
        let confirmed = store.put("config", "main", &body);
        record.note(format!("version {number} of {bytes} bytes is confirmed"));
        let mut threads = Vec::new();
        for daemon in &daemons {
            threads.push(probe(daemon, (number, confirmed), &record, &probes));
        }
        let checks: Vec<_> = daemons
            .iter()
            .map(|d| check_readiness(d, deployment.readiness(d), confirmed, &record))
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        for (daemon, check) in daemons.iter().zip(checks) {
            let waited = check.join().unwrap_or(0);
            if waited > longest.0 {
                longest = (waited, daemon.name.clone());
            }
        }
    }
    record.write(folder)?;
    let probes = probes.lock().unwrap();
    let late: Vec<&Probe> = probes
        .iter()
        .filter(|p| p.after > APPLY_MS && p.status == 404)
        .collect();
    let last = late.iter().map(|p| p.after).max().unwrap_or(0);
    let mut names: Vec<&str> = late.iter().map(|p| p.daemon.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let readiness = format!(
        "the longest wait for a readiness answer was {} ms, at {}",
        longest.0, longest.1
    );
    if late.is_empty() {
        return Ok(format!(
            "KEPT: no request was refused by an old version later than {APPLY_MS} ms; {readiness}"
        ));
    }
    Ok(format!(
        "BROKEN: {} requests that were sent later than {APPLY_MS} ms after the confirmation got 404 on a route that \
         is there, at {} of {DAEMONS} daemons, the last one sent after {last} ms; {readiness}",
        late.len(),
        names.len()
    ))
}

/// Asks a daemon every 50 ms for the route that a version adds.
fn probe(
    daemon: &Daemon,
    (number, confirmed): (u64, u64),
    record: &Record,
    probes: &Arc<Mutex<Vec<Probe>>>,
) -> thread::JoinHandle<()> {
    let (front, name, record, probes) = (
        daemon.front,
        daemon.name.clone(),
        record.clone(),
        probes.clone(),
    );
    thread::spawn(move || {
        let path = format!("/new{number}/2f");
        while record.now() < confirmed + WATCH_MS {
            let after = record.now() - confirmed;
            let (_, status) = request(front, &path, Duration::from_secs(2), &record, &name);
            probes.lock().unwrap().push(Probe {
                daemon: name.clone(),
                after,
                status,
            });
            thread::sleep(Duration::from_millis(50));
        }
    })
}

/// Asks for readiness once a second, as the platform does; returns the longest wait for an answer.
fn check_readiness(
    daemon: &Daemon,
    at: SocketAddr,
    confirmed: u64,
    record: &Record,
) -> thread::JoinHandle<u64> {
    let (name, record) = (daemon.name.clone(), record.clone());
    thread::spawn(move || {
        let mut longest = 0;
        while record.now() < confirmed + WATCH_MS {
            let asked = Instant::now();
            let answer =
                TcpStream::connect_timeout(&at, Duration::from_secs(1)).and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
                    stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n")?;
                    read_message(&mut BufReader::new(stream))
                });
            let status = answer.ok().flatten().map_or(0, |m| m.status());
            let waited = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
            if waited > 500 || status != 200 {
                record.note(format!("readiness of {name}: {status} after {waited} ms"));
            }
            longest = longest.max(waited);
            thread::sleep(Duration::from_secs(1));
        }
        longest
    })
}
