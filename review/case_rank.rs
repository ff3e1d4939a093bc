//! A version of the configuration with a route of a low rank.

use super::{
    Arrivals, DAEMON_START, Deployment, Record, Server, Store, configuration, request,
    wait_until_serving,
};
use std::{path::Path, thread, time::Duration};

const ZONES: [&str; 3] = ["asahiyama", "tokiwa", "kagura"];
/// `configApplyMs`.
const APPLY_MS: u64 = 3_000;
/// Time for which the version is watched.
const WATCH_MS: u64 = 15_000;
/// Ranks of the route that the version adds, with and without the disturbance.
const RANKS: [u32; 2] = [1_000, 3];

pub fn run(folder: &Path, disturbed: bool) -> Result<String, String> {
    let record = Record::new();
    let store = Store::spawn(&record)?;
    let arrivals = Arrivals::default();
    let service = vec!["mail-office".to_owned()];
    let first = configuration(&service);
    store.put("config", "main", &first);
    for (i, zone) in ZONES.iter().cycle().take(6).enumerate() {
        let id = format!("i-{i}");
        Server::spawn(
            (&id, &service[0], zone),
            Duration::from_millis(5),
            (&store, &record, &arrivals),
        )?;
    }
    let deployment = Deployment::new(3, &record)?;
    let mut daemons = Vec::new();
    for (number, zone) in (1..=3).zip(ZONES) {
        daemons.push(deployment.start(number, zone, store.addr)?);
    }
    for daemon in &daemons {
        wait_until_serving(daemon, "/mail-office/2f", &record)?;
    }
    record.sleep_until(DAEMON_START);
    let rank = RANKS[usize::from(!disturbed)];
    let added = format!(
        "\"routes\":[{{\"name\":\"r-nightly\",\"host\":\"desk.example\",\"pathPrefix\":\"/nightly/\",\
         \"type\":\"idempotent\",\"timeoutMs\":2000,\"latencyGoalMs\":200,\"priority\":{rank},\
         \"service\":\"mail-office\",\"maxAttempts\":2}},"
    );
    let second = first
        .replace("\"version\":7", "\"version\":8")
        .replace("\"routes\":[", &added);
    let confirmed = store.put("config", "main", &second);
    record.note(format!(
        "version 8, with a route of priority {rank}, is confirmed"
    ));
    let mut late = Vec::new();
    while record.now() < confirmed + WATCH_MS {
        for daemon in &daemons {
            let after = record.now() - confirmed;
            let (_, status) = request(
                daemon.front,
                "/nightly/2f",
                Duration::from_secs(2),
                &record,
                &daemon.name,
            );
            if after > APPLY_MS && status == 404 {
                late.push(after);
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.write(folder)?;
    let Some(last) = late.last() else {
        return Ok(format!(
            "KEPT: no request was refused by an old version later than {APPLY_MS} ms"
        ));
    };
    Ok(format!(
        "BROKEN: {} requests that were sent later than {APPLY_MS} ms after the confirmation got 404 on a route that \
         is there, the last one sent after {last} ms",
        late.len()
    ))
}
