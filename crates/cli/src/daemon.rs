//! Commands that ask daemons.

use {
    crate::{Failed, Failure, Outcome, flags},
    awc::Client,
    rattanturn_core::gather::trace,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::Path,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_ANSWER: usize = 64 << 20;

pub(crate) async fn query(flags: &flags::Query) -> Outcome {
    let url = format!("http://{}/query/{}", flags.daemon, flags.route);
    let mut request = client()
        .post(&url)
        .insert_header(("x-issued", unix_ms().to_string()));
    if let Some(id) = &flags.id {
        request = request.insert_header(("x-request-id", id.as_str()));
    }
    if let Some(ms) = flags.deadline_ms {
        request = request.insert_header(("x-deadline-ms", ms.to_string()));
    }
    let mut response = request
        .send_body(flags.body.clone())
        .await
        .map_err(|e| unanswered(&url, &e.to_string()))?;
    let body = response.body().limit(MAX_ANSWER).await;
    let body = body.map_err(|e| unanswered(&url, &e.to_string()))?;
    println!("{}", String::from_utf8_lossy(&body));
    if response.status().is_success() {
        return Ok(());
    }
    Err(Failed(
        Failure::Refused,
        format!("the daemon answered {}", response.status()),
    ))
}

pub(crate) async fn addresses(daemon: SocketAddr, centre: Option<&str>) -> Outcome {
    let path = format!("/addresses?centre={}", centre.unwrap_or(""));
    let answer = get(daemon, &path).await?;
    for address in answer["addresses"].as_array().into_iter().flatten() {
        println!("{}", address.as_str().unwrap_or(""));
    }
    println!("use for {} ms", answer["lifetime_ms"]);
    Ok(())
}

pub(crate) async fn state(admin: SocketAddr) -> Outcome {
    let state = get(admin, "/state").await?;
    println!("{state:#}");
    Ok(())
}

pub(crate) async fn status(admin: SocketAddr, json: bool) -> Outcome {
    let first = get(admin, "/state").await?;
    let mut rows = Vec::new();
    let mut problems: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in first["members"].as_array().into_iter().flatten() {
        let addr = member["admin"].as_str().and_then(|a| a.parse().ok());
        let state = match addr {
            Some(addr) if member["state"] != "Dead" => get(addr, "/state").await.ok(),
            _ => None,
        };
        let name = member["name"].as_str().unwrap_or("");
        let own = state.iter().filter_map(|s| s["problems"].as_array());
        for problem in own.flatten().filter_map(Value::as_str) {
            problems
                .entry(problem.into())
                .or_default()
                .push(name.into());
        }
        rows.push(row(member, state.as_ref()));
    }
    if json {
        println!(
            "{:#}",
            serde_json::json!({"daemons": rows, "problems": problems})
        );
        return Ok(());
    }
    println!(
        "{:<16} {:<16} {:<8} {:>7} {:>7} {:>6} {:>9}",
        "daemon", "data centre", "state", "tables", "panels", "units", "requests"
    );
    for row in rows {
        let text = |k: &str| {
            row[k]
                .as_str()
                .map_or_else(|| row[k].to_string(), Into::into)
        };
        println!(
            "{:<16} {:<16} {:<8} {:>7} {:>7} {:>6} {:>9}",
            text("name"),
            text("centre"),
            text("state"),
            text("tables"),
            text("panels"),
            text("units"),
            text("requests")
        );
    }
    for (problem, names) in problems {
        println!("{problem} (says {})", names.join(", "));
    }
    Ok(())
}

/// Replays a trace of one query.
pub(crate) fn replay(path: &Path) -> Outcome {
    let text = std::fs::read_to_string(path).map_err(|e| {
        Failed(
            Failure::Refused,
            format!("cannot read {}: {e}", path.display()),
        )
    })?;
    match trace::replay(&text) {
        Ok(report) => {
            println!("{report}");
            Ok(())
        }
        Err(error) => Err(Failed(
            Failure::Refused,
            format!("{}:{error}", path.display()),
        )),
    }
}

/// One daemon for the status table; what it says itself goes before what others heard.
fn row(member: &Value, own: Option<&Value>) -> Value {
    let pick = |key: &str| own.map_or_else(|| member[key].clone(), |o| o[key].clone());
    serde_json::json!({
        "name": member["name"],
        "centre": member["centre"],
        "state": if own.is_some() || member["state"] == "Dead" { member["state"].clone() } else { "silent".into() },
        "tables": pick("tables"),
        "panels": pick("panels"),
        "units": own.map_or(Value::Null, |o| o["leases"]["held"].clone()),
        "requests": own.map_or(Value::Null, |o| o["requests"].clone()),
    })
}

async fn get(addr: SocketAddr, path: &str) -> Result<Value, Failed> {
    let url = format!("http://{addr}{path}");
    let mut response = client()
        .get(&url)
        .send()
        .await
        .map_err(|e| unanswered(&url, &e.to_string()))?;
    let body = response.body().limit(MAX_ANSWER).await;
    let body = body.map_err(|e| unanswered(&url, &e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| unanswered(&url, &e.to_string()))
}

fn client() -> Client {
    Client::builder().timeout(TIMEOUT).finish()
}

fn unanswered(url: &str, why: &str) -> Failed {
    Failed(Failure::Unanswered, format!("{url} did not answer: {why}"))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
