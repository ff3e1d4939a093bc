//! An evacuated data centre, and a daemon that is restarted while its link loses single packets.

use super::{
    Arrivals, Deployment, Link, Record, Server, Store, configuration, request, wait_until_serving,
};
use std::{
    collections::HashMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const EVACUATED: &str = "asahiyama";
const ZONES: [&str; 3] = ["asahiyama", "tokiwa", "kagura"];
/// `evacuateMs`.
const EVACUATE_MS: u64 = 5_000;
/// Number of restarts. In each, the opening packet of one of the connections to the store is lost.
const RESTARTS: usize = 48;

pub fn run(folder: &Path, disturbed: bool) -> Result<String, String> {
    let record = Record::new();
    let store = Store::spawn(&record)?;
    let arrivals = Arrivals::default();
    let service = vec!["mail-office".to_owned()];
    store.put("config", "main", &configuration(&service));
    for (i, zone) in ZONES.iter().cycle().take(6).enumerate() {
        let id = format!("i-{i}");
        Server::spawn(
            (&id, &service[0], zone),
            Duration::from_millis(5),
            (&store, &record, &arrivals),
        )?;
    }
    let deployment = Deployment::new(3, &record)?;
    let link = Link::spawn(store.addr, &record)?;
    let calm = [
        deployment.start(1, ZONES[0], store.addr)?,
        deployment.start(2, ZONES[1], store.addr)?,
    ];
    let mut restarted = deployment.start(3, ZONES[2], link.addr)?;
    let path = "/mail-office/2f";
    for daemon in calm.iter().chain([&restarted]) {
        wait_until_serving(daemon, path, &record)?;
    }
    let evacuated = store.put("evacuations", EVACUATED, "{}");
    record.note(format!("the evacuation of {EVACUATED} is confirmed"));

    let sent: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for daemon in &calm {
        for _ in 0..4 {
            let (front, name) = (daemon.front, daemon.name.clone());
            let (record, sent, over) = (record.clone(), sent.clone(), over.clone());
            clients.push(thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let at = record.now();
                    let (id, _) = request(front, path, Duration::from_secs(2), &record, &name);
                    sent.lock().unwrap().insert(id, at);
                    thread::sleep(Duration::from_millis(30));
                }
            }));
        }
    }
    record.sleep_until(evacuated + EVACUATE_MS + 1_000);
    for number in 0..RESTARTS {
        if disturbed {
            restarted.kill();
            // The first two connections read the configuration and write the daemon's entry.
            link.lose(2 + number % 3);
            restarted.restart()?;
        }
        thread::sleep(Duration::from_millis(1_300));
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.write(folder)?;
    let sent = sent.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|a| {
        a.zone == EVACUATED && a.at > evacuated + EVACUATE_MS && sent.contains_key(&a.request)
    });
    let late: Vec<_> = late.collect();
    let Some(first) = late.first() else {
        return Ok(format!(
            "KEPT: no request reached {EVACUATED}; {} requests were sent",
            sent.len()
        ));
    };
    Ok(format!(
        "BROKEN: {} of {} requests that the daemons which nothing disturbed took reached {EVACUATED} later than \
         {EVACUATE_MS} ms after its evacuation was confirmed; the first, {}, {} ms after it",
        late.len(),
        sent.len(),
        first.request,
        first.at - evacuated
    ))
}
