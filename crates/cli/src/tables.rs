//! Commands that check, show and edit the two tables, routes and pools.
//!
//! The platform's store keeps both tables in one object, so that an edit is a single conditional
//! update (compare and swap on the object's version) and the two never disagree. On a conflict the
//! command prints who made the other edit and how the tables differ. If the answer to an update is
//! lost, the object is read again to find out whether the update took effect.

use {
    crate::{CommandResult, Error, ErrorKind, flags, read_file},
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

/// Texts of both tables, as read from files.
struct TableTexts {
    routes: String,
    pools: String,
}

pub(crate) fn check(routes: &Path, pools: &Path) -> CommandResult {
    let texts = read_files(routes, pools)?;
    check_texts(&texts, true)?;
    println!("both tables are valid");
    Ok(())
}

pub(crate) async fn show(platform: SocketAddr, into: Option<&Path>) -> CommandResult {
    let (version, object) = fetch(&ObjectClient::new(platform)).await?;
    let Some(folder) = into else {
        println!(
            "; version {version} by {}\n; routes.ini\n{}",
            object.editor, object.routes
        );
        println!("; pools.ini\n{}", object.pools);
        return Ok(());
    };
    std::fs::create_dir_all(folder).map_err(|e| write_error(folder, &e))?;
    for (name, text) in [("routes.ini", &object.routes), ("pools.ini", &object.pools)] {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| write_error(&path, &e))?;
    }
    println!(
        "version {version} by {}; apply changes with --base {version}",
        object.editor
    );
    Ok(())
}

pub(crate) fn write_error(path: &Path, error: &std::io::Error) -> Error {
    Error(
        ErrorKind::FileAccess,
        format!("cannot write {}: {error}", path.display()),
    )
}

pub(crate) async fn diff(routes: &Path, pools: &Path, platform: SocketAddr) -> CommandResult {
    let texts = read_files(routes, pools)?;
    let (version, object) = fetch(&ObjectClient::new(platform)).await?;
    println!("changes from version {version} by {}", object.editor);
    print!("{}", changed_lines(&object, &texts));
    Ok(())
}

/// Checks both tables and writes them. It is a conflict if the platform's version is not `--base`
/// or, without that option, if the version changes between reading and writing.
pub(crate) async fn apply(flags: &flags::Apply) -> CommandResult {
    let texts = read_files(&flags.routes, &flags.pools)?;
    check_texts(&texts, !flags.allow_unknown)?;
    let platform = ObjectClient::new(flags.platform);
    let (newest, previous) = current(&platform).await?;
    let base = flags.base.unwrap_or(newest);
    let editor = flags.editor.clone().or_else(|| std::env::var("USER").ok());
    let tables = TablesObject::new(&texts.routes, &texts.pools, previous.as_ref())
        .map_err(|f| Error(ErrorKind::Refused, f.to_string()))?;
    let editor = editor.unwrap_or_else(|| "unknown".into());
    let object = TablesObject {
        editor,
        written: unix_ms(),
        ..tables
    };
    let body = serde_json::to_vec_pretty(&object)
        .map_err(|e| Error(ErrorKind::Refused, format!("cannot encode the tables: {e}")))?;
    match platform.write_settled(TABLES_KEY, base, &body).await {
        WriteOutcome::Done(version) => {
            println!("tables written as version {version}");
            Ok(())
        }
        WriteOutcome::Conflict => Err(conflict(&platform, base, &texts).await),
        WriteOutcome::Refused(why) => Err(Error(
            ErrorKind::Refused,
            format!("the platform refused the edit, nothing was written: {why}"),
        )),
        WriteOutcome::Ambiguous => Err(Error(
            ErrorKind::NoAnswer,
            "the platform did not answer: the edit may have taken effect; see `rattanturn show`"
                .into(),
        )),
    }
}

/// The error for an edit that is based on version `base` when the platform has another one.
async fn conflict(platform: &ObjectClient, base: u64, mine: &TableTexts) -> Error {
    let text = match fetch(platform).await {
        Ok((version, object)) => format!(
            "conflict: {} wrote version {version}, your edit is based on version {base}\n{}\
             merge your edit into version {version} and apply it with --base {version}",
            object.editor,
            changed_lines(&object, mine)
        ),
        Err(Error(_, why)) => format!("conflict with another edit, which cannot be shown: {why}"),
    };
    Error(ErrorKind::Conflict, text)
}

fn read_files(routes: &Path, pools: &Path) -> Result<TableTexts, Error> {
    Ok(TableTexts {
        routes: read_file(routes)?,
        pools: read_file(pools)?,
    })
}

/// Checks both tables; `strict` refuses warnings too, such as unknown keys. Warnings that are
/// accepted go to stderr.
fn check_texts(texts: &TableTexts, strict: bool) -> CommandResult {
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
        return Err(Error(ErrorKind::Refused, text));
    }
    if !findings.list.is_empty() {
        eprintln!("{findings}");
    }
    Ok(())
}

/// Reads the object that holds both tables.
async fn fetch(platform: &ObjectClient) -> Result<(u64, TablesObject), Error> {
    match platform.read(TABLES_KEY).await {
        ReadOutcome::Found(o) => serde_json::from_slice(&o.body)
            .map(|object| (o.version, object))
            .map_err(|e| Error(ErrorKind::Refused, format!("cannot decode the tables: {e}"))),
        ReadOutcome::NotFound => Err(Error(
            ErrorKind::NotFound,
            "the platform has no tables yet; write them with `rattanturn apply`".into(),
        )),
        ReadOutcome::Unchanged | ReadOutcome::Unavailable => Err(Error(
            ErrorKind::NoAnswer,
            "the platform did not answer".into(),
        )),
    }
}

/// Version and value of the tables in the platform; version 0, which an update has to name to
/// create them, if there are none.
async fn current(platform: &ObjectClient) -> Result<(u64, Option<TablesObject>), Error> {
    match fetch(platform).await {
        Ok((version, object)) => Ok((version, Some(object))),
        Err(Error(ErrorKind::NotFound, _)) => Ok((0, None)),
        Err(error) => Err(error),
    }
}

/// Lines that differ between two pairs of tables: with `-` those of `theirs`, from the platform,
/// with `+` those of `mine`. Equal lines are left out.
fn changed_lines(theirs: &TablesObject, mine: &TableTexts) -> String {
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
