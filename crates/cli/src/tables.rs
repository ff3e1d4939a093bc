//! Commands on the two tables.
//!
//! An edit is one conditional update of one object that holds both tables. A conflict shows who
//! came first and what changed; a lost answer is settled by reading back.

use {
    crate::{Failed, Failure, Outcome, flags, read_file},
    rattanturn_platform::objects::{ObjectClient, ReadOutcome, TABLES_KEY, WriteOutcome},
    rattanturn_tables::{Severity, TablesObject},
    similar::{ChangeTag, TextDiff},
    std::{
        fmt::Write as _,
        net::SocketAddr,
        path::Path,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Both tables as read from files.
struct Texts {
    routes: String,
    pools: String,
}

pub(crate) fn check(routes: &Path, pools: &Path) -> Outcome {
    let texts = read_files(routes, pools)?;
    checked(&texts, true)?;
    println!("both tables are fine");
    Ok(())
}

pub(crate) async fn show(platform: SocketAddr, into: Option<&Path>) -> Outcome {
    let (version, object) = fetch(&ObjectClient::new(platform)).await?;
    let Some(folder) = into else {
        println!(
            "; version {version} by {}\n; routes.ini\n{}",
            object.editor, object.routes
        );
        println!("; pools.ini\n{}", object.pools);
        return Ok(());
    };
    std::fs::create_dir_all(folder).map_err(|e| unwritable(folder, &e))?;
    for (name, text) in [("routes.ini", &object.routes), ("pools.ini", &object.pools)] {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| unwritable(&path, &e))?;
    }
    println!(
        "version {version} by {}; pass --base {version} to apply",
        object.editor
    );
    Ok(())
}

pub(crate) fn unwritable(path: &Path, error: &std::io::Error) -> Failed {
    Failed(
        Failure::Unreadable,
        format!("cannot write {}: {error}", path.display()),
    )
}

pub(crate) async fn diff(routes: &Path, pools: &Path, platform: SocketAddr) -> Outcome {
    let texts = read_files(routes, pools)?;
    let (version, object) = fetch(&ObjectClient::new(platform)).await?;
    println!("against version {version} by {}", object.editor);
    print!("{}", difference(&object, &texts));
    Ok(())
}

pub(crate) async fn apply(flags: &flags::Apply) -> Outcome {
    let texts = read_files(&flags.routes, &flags.pools)?;
    checked(&texts, !flags.allow_unknown)?;
    let platform = ObjectClient::new(flags.platform);
    let (present, previous) = present(&platform).await?;
    let base = flags.base.unwrap_or(present);
    let editor = flags.editor.clone().or_else(|| std::env::var("USER").ok());
    let made = TablesObject::new(&texts.routes, &texts.pools, previous.as_ref())
        .map_err(|f| Failed(Failure::Refused, f.to_string()))?;
    let editor = editor.unwrap_or_else(|| "unknown".into());
    let object = TablesObject {
        editor,
        written: unix_ms(),
        ..made
    };
    let body = serde_json::to_vec_pretty(&object)
        .map_err(|e| Failed(Failure::Refused, format!("cannot encode the tables: {e}")))?;
    match platform.write_settled(TABLES_KEY, base, &body).await {
        WriteOutcome::Done(version) => {
            println!("version {version} is accepted");
            Ok(())
        }
        WriteOutcome::Conflict => Err(conflict(&platform, base, &texts).await),
        WriteOutcome::Refused(why) => Err(Failed(
            Failure::Refused,
            format!("the platform refused the edit: {why}"),
        )),
        WriteOutcome::Ambiguous => Err(Failed(
            Failure::Unanswered,
            "the platform did not answer: the edit may have taken effect; see `rattanturn show`"
                .into(),
        )),
    }
}

async fn conflict(platform: &ObjectClient, base: u64, mine: &Texts) -> Failed {
    let text = match fetch(platform).await {
        Ok((version, object)) => format!(
            "another edit came first: version {version} by {} (yours was made on {base})\n{}\
             merge it and apply again with --base {version}",
            object.editor,
            difference(&object, mine)
        ),
        Err(Failed(_, why)) => format!("another edit came first; {why}"),
    };
    Failed(Failure::Conflict, text)
}

fn read_files(routes: &Path, pools: &Path) -> Result<Texts, Failed> {
    Ok(Texts {
        routes: read_file(routes)?,
        pools: read_file(pools)?,
    })
}

/// Checks both tables; with `strict`, unknown keys are refused too.
fn checked(texts: &Texts, strict: bool) -> Outcome {
    let findings = match rattanturn_tables::parse_tables(&texts.routes, &texts.pools) {
        Ok((_, warnings)) => warnings,
        Err(findings) => findings,
    };
    let refused = findings.has_errors() || (strict && !findings.list.is_empty());
    if refused {
        let errors = findings
            .list
            .iter()
            .filter(|f| f.severity == Severity::Error)
            .count();
        let warnings = findings.list.len() - errors;
        let text = format!("{findings}\n{errors} errors, {warnings} warnings; nothing was written");
        return Err(Failed(Failure::Refused, text));
    }
    if !findings.list.is_empty() {
        eprintln!("{findings}");
    }
    Ok(())
}

async fn fetch(platform: &ObjectClient) -> Result<(u64, TablesObject), Failed> {
    match platform.read(TABLES_KEY).await {
        ReadOutcome::Found(o) => serde_json::from_slice(&o.body)
            .map(|object| (o.version, object))
            .map_err(|e| Failed(Failure::Refused, format!("the object cannot be read: {e}"))),
        ReadOutcome::NotFound => Err(Failed(Failure::Absent, "there are no tables yet".into())),
        ReadOutcome::Unchanged | ReadOutcome::Unavailable => Err(Failed(
            Failure::Unanswered,
            "the platform does not answer".into(),
        )),
    }
}

/// The tables in the platform and their version; 0 if there are none.
async fn present(platform: &ObjectClient) -> Result<(u64, Option<TablesObject>), Failed> {
    match fetch(platform).await {
        Ok((version, object)) => Ok((version, Some(object))),
        Err(Failed(Failure::Absent, _)) => Ok((0, None)),
        Err(failed) => Err(failed),
    }
}

/// Changed lines from the tables in the platform to `mine`.
fn difference(theirs: &TablesObject, mine: &Texts) -> String {
    let pairs = [
        ("routes.ini", &theirs.routes, &mine.routes),
        ("pools.ini", &theirs.pools, &mine.pools),
    ];
    let mut out = String::new();
    for (name, old, new) in pairs {
        for change in TextDiff::from_lines(old, new).iter_all_changes() {
            let sign = match change.tag() {
                ChangeTag::Equal => continue,
                ChangeTag::Delete => '-',
                ChangeTag::Insert => '+',
            };
            let line = change
                .old_index()
                .or(change.new_index())
                .map_or(0, |i| i + 1);
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{name}:{line}: {sign} {}", change.value().trim_end());
        }
    }
    out
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
