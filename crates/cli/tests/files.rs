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

fn text_of(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn a_faulty_file_and_an_unreadable_one_have_different_codes() {
    let folder = folder("codes");
    let (routes, pools) = (folder.join("routes.ini"), folder.join("pools.ini"));
    let missing = run(&["check", text_of(&routes), text_of(&pools)]);
    assert_eq!(missing.status.code(), Some(5));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("routes.ini"));
    fs::write(&routes, "[route:a]\npool = nowhere\n").unwrap();
    fs::write(&pools, "").unwrap();
    let faulty = run(&["check", text_of(&routes), text_of(&pools)]);
    assert_eq!(faulty.status.code(), Some(1));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_request_without_a_line_is_not_found() {
    let folder = folder("explain");
    let log = folder.join("a1.log");
    fs::write(&log, "not JSON\n{\"timestamp\":\"x\"}\n").unwrap();
    let absent = run(&["explain", "r1", text_of(&log)]);
    assert_eq!(absent.status.code(), Some(1));
    let unreadable = run(&["explain", "r1", text_of(&folder.join("none.log"))]);
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

#[test]
fn a_report_draws_what_the_logs_hold() {
    let folder = folder("report");
    let (log, page) = (folder.join("a1.log"), folder.join("page.html"));
    let line = |second: usize, outcome: &str, parts: usize| {
        format!(
            "{{\"timestamp\":\"2026-05-04T23:59:{second:02}.5Z\",\"fields\":{{\"message\":\"request\",\
             \"request\":\"r{second}\",\"route\":\"sweep<&>\",\"outcome\":\"{outcome}\",\
             \"parts\":{parts},\"of\":4,\"extra\":1,\"took_ms\":{second},\"stands_for\":1}}}}\n"
        )
    };
    let mut text = String::from("not a line of a daemon\n");
    text.extend((10..40).map(|s| line(s, "partial", 3)));
    text += &line(41, "not-run", 0);
    fs::write(&log, text).unwrap();
    let made = run(&["report", "--into", text_of(&page), text_of(&log)]);
    assert!(made.status.success(), "{made:?}");
    let html = fs::read_to_string(&page).unwrap();
    assert_eq!(html.matches("<svg").count(), 4, "no change was taken in");
    assert!(html.contains("<td>sweep&lt;&amp;&gt;<td>1<td>30"), "{html}");
    let empty = run(&["report", "--into", text_of(&page), text_of(&page)]);
    assert_eq!(empty.status.code(), Some(1));
    fs::remove_dir_all(folder).unwrap();
}
