//! The command `rollouts`: a table of the roll-outs in a daemon's state dump.
//!
//! The dump's list `rollouts` has an object for each: `service`, `version`, `phase`, `share` (0 to
//! 1), `old` and `new` (each with `answers` and `bad`) and `reason`. What an older or newer daemon
//! leaves out is shown as `-`.

use {
    crate::{CommandResult, Error, ErrorKind, daemon},
    serde_json::Value,
    std::{fmt::Write, net::SocketAddr},
};

/// What is shown where the dump has no value.
const ABSENT: &str = "-";

/// Prints the roll-outs that the daemon at `admin` knows.
pub(crate) async fn rollouts(admin: SocketAddr) -> CommandResult {
    let state = daemon::get(admin, "/state").await?;
    match state["rollouts"].as_array() {
        Some(list) => {
            print!("{}", table(list));
            Ok(())
        }
        None => Err(Error(
            ErrorKind::NotFound,
            "the daemon has no roll-outs in its state dump: it is an older build, or its settings \
             have no exposure"
                .into(),
        )),
    }
}

fn table(rollouts: &[Value]) -> String {
    let mut out = line(
        ["service", "version", "phase", "share", "old bad", "new bad"],
        "reason",
    );
    for one in rollouts {
        let share = one["share"].as_f64();
        let share = share.map_or(ABSENT.into(), |s| format!("{:.1}%", s * 100.0));
        let (old, new) = (answers(&one["old"]), answers(&one["new"]));
        let [service, version, phase] = ["service", "version", "phase"].map(|k| text(&one[k]));
        out += &line(
            [service, version, phase, &share, &old, &new],
            text(&one["reason"]),
        );
    }
    out
}

fn line(columns: [&str; 6], reason: &str) -> String {
    let [service, version, phase, share, old, new] = columns;
    let mut out = String::new();
    // Writing into a string does not fail.
    let _ = writeln!(
        out,
        "{service:<16} {version:<12} {phase:<9} {share:>6} {old:>15} {new:>15}  {reason}"
    );
    out
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or(ABSENT)
}

/// Bad answers of all answers.
fn answers(version: &Value) -> String {
    match (version["bad"].as_u64(), version["answers"].as_u64()) {
        (Some(bad), Some(all)) => format!("{bad} of {all}"),
        _ => ABSENT.into(),
    }
}
