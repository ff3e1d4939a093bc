//! Commands that send requests to daemons over HTTP, and the replay of query traces, which a daemon
//! includes in its state dump.

use {
    crate::{CommandResult, Error, ErrorKind, flags},
    awc::{Client, ClientResponse},
    rattanturn_core::gather::trace,
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::Path,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Longest wait for the head of an answer; reading its body is not limited in time.
const HTTP_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest accepted body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

pub(crate) async fn query(flags: &flags::Query) -> CommandResult {
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
        .map_err(|e| no_answer(&url, &e.to_string()))?;
    let body = read_body(&url, &mut response).await?;
    println!("{}", String::from_utf8_lossy(&body));
    if response.status().is_success() {
        return Ok(());
    }
    Err(Error(
        ErrorKind::Refused,
        format!("the daemon answered with status {}", response.status()),
    ))
}

pub(crate) async fn addresses(daemon: SocketAddr, centre: Option<&str>) -> CommandResult {
    let path = format!("/addresses?centre={}", centre.unwrap_or(""));
    let answer = get(daemon, &path).await?;
    for address in answer["addresses"].as_array().into_iter().flatten() {
        println!("{}", address.as_str().unwrap_or(""));
    }
    println!("valid for {} ms", answer["lifetime_ms"]);
    Ok(())
}

pub(crate) async fn state(admin: SocketAddr) -> CommandResult {
    let state = get(admin, "/state").await?;
    println!("{state:#}");
    Ok(())
}

/// Prints a row for each member that the daemon at `admin` knows. Each one that it does not
/// consider dead is asked for its own state, and a problem that several daemons report is printed
/// once.
pub(crate) async fn status(admin: SocketAddr, json: bool) -> CommandResult {
    let asked = get(admin, "/state").await?;
    let mut rows = Vec::new();
    let mut problems: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in asked["members"].as_array().into_iter().flatten() {
        let addr = member["admin"].as_str().and_then(|a| a.parse().ok());
        let state = match addr {
            Some(addr) if member["state"] != "Dead" => get(addr, "/state").await.ok(),
            _ => None,
        };
        let name = member["name"].as_str().unwrap_or("");
        let reported = state.iter().filter_map(|s| s["problems"].as_array());
        for problem in reported.flatten().filter_map(Value::as_str) {
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
        println!("{problem} (reported by {})", names.join(", "));
    }
    Ok(())
}

/// Prints a row for each account that has used its limit, or waited or was refused under overload, at
/// the daemon at `admin`.
pub(crate) async fn accounts(admin: SocketAddr) -> CommandResult {
    let state = get(admin, "/state").await?;
    let columns = [
        "account", "rate", "burst", "ran", "refused", "waited", "no_room", "leased", "unpaid",
        "owner", "tokens", "lent",
    ];
    println!("{}", account_row(columns.map(String::from)));
    for account in state["accounts"].as_array().into_iter().flatten() {
        println!("{}", account_row(columns.map(|c| cell(&account[c]))));
    }
    Ok(())
}

fn account_row(cells: [String; 12]) -> String {
    let [name, numbers @ ..] = cells;
    let numbers = numbers.map(|n| format!(" {n:>9}"));
    format!("{name:<20}{}", numbers.concat())
}

/// Text of a value; `-` if the daemon does not know it, and one decimal for what is not whole.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.1}", n.as_f64().unwrap_or_default()),
        other => other.to_string(),
    }
}

/// Replays the recorded trace of one query and checks the outcome that the trace states.
pub(crate) fn replay(path: &Path) -> CommandResult {
    let text = std::fs::read_to_string(path).map_err(|e| {
        Error(
            ErrorKind::Refused,
            format!("cannot read {}: {e}", path.display()),
        )
    })?;
    match trace::replay(&text) {
        Ok(report) => {
            println!("{report}");
            Ok(())
        }
        Err(error) => Err(Error(
            ErrorKind::Refused,
            format!("{}:{error}", path.display()),
        )),
    }
}

/// A daemon's row of the status table. Values that the daemon reports itself, in `state`, take
/// precedence over those of `member`, which the asked daemon learned by gossip and may be old.
fn row(member: &Value, state: Option<&Value>) -> Value {
    let newest = |key: &str| state.map_or_else(|| member[key].clone(), |s| s[key].clone());
    serde_json::json!({
        "name": member["name"],
        "centre": member["centre"],
        "state": if state.is_some() || member["state"] == "Dead" { member["state"].clone() } else { "silent".into() },
        "tables": newest("tables"),
        "panels": newest("panels"),
        "units": state.map_or(Value::Null, |s| s["leases"]["held"].clone()),
        "requests": state.map_or(Value::Null, |s| s["requests"].clone()),
    })
}

/// Fetches a JSON document from a daemon.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Result<Value, Error> {
    let url = format!("http://{addr}{path}");
    let mut response = client()
        .get(&url)
        .send()
        .await
        .map_err(|e| no_answer(&url, &e.to_string()))?;
    let body = read_body(&url, &mut response).await?;
    serde_json::from_slice(&body).map_err(|e| no_answer(&url, &e.to_string()))
}

/// Reads the body of an answer.
///
/// The client library takes a body for whole when the connection ends, whatever length was stated.
/// Daemons state the length of each answer, so that one that was cut can be told.
async fn read_body(url: &str, response: &mut ClientResponse) -> Result<Vec<u8>, Error> {
    let body = response.body().limit(MAX_BODY_BYTES).await;
    let body = body.map_err(|e| no_answer(url, &e.to_string()))?;
    let stated = response.headers().get("content-length");
    let stated = stated.and_then(|v| v.to_str().ok()?.trim().parse().ok());
    if stated != Some(body.len()) {
        return Err(no_answer(url, "the body does not have the stated length"));
    }
    Ok(body.to_vec())
}

fn client() -> Client {
    Client::builder().timeout(HTTP_TIMEOUT).finish()
}

fn no_answer(url: &str, why: &str) -> Error {
    Error(
        ErrorKind::NoAnswer,
        format!("no usable answer from {url}: {why}"),
    )
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
