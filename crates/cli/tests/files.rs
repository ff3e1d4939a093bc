//! The command-line tool on files: exit codes tell a faulty file from one that cannot be read.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rattanturn"))
        .args(args)
        .output()
        .unwrap()
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rattanturn-{name}-{}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn a_faulty_file_and_an_unreadable_one_have_different_codes() {
    let folder = folder("codes");
    let (routes, pools) = (folder.join("routes.ini"), folder.join("pools.ini"));
    let missing = run(&["check", text(&routes), text(&pools)]);
    assert_eq!(missing.status.code(), Some(5));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("routes.ini"));
    fs::write(&routes, "[route:a]\npool = nowhere\n").unwrap();
    fs::write(&pools, "").unwrap();
    let faulty = run(&["check", text(&routes), text(&pools)]);
    assert_eq!(faulty.status.code(), Some(1));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_request_without_a_line_is_not_found() {
    let folder = folder("explain");
    let log = folder.join("a1.log");
    fs::write(&log, "not JSON\n{\"timestamp\":\"x\"}\n").unwrap();
    let absent = run(&["explain", "r1", text(&log)]);
    assert_eq!(absent.status.code(), Some(1));
    let unreadable = run(&["explain", "r1", text(&folder.join("none.log"))]);
    assert_eq!(unreadable.status.code(), Some(5));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn completions_know_all_commands_and_their_options() {
    let script = String::from_utf8(run(&["completions"]).stdout).unwrap();
    let commands = "check show diff apply query addresses state status explain worst";
    assert!(script.contains(commands), "{script}");
    let apply = "apply) words=\"--platform --base --editor --allow-unknown\"";
    assert!(script.contains(apply), "{script}");
}
