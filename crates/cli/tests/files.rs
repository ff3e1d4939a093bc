//! The commands that read local files: exit codes, completions and the HTML report.

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

fn create_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("rattanturn-{name}-{}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

fn path_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn check_exits_with_1_for_an_invalid_table_and_5_for_an_unreadable_file() {
    let folder = create_folder("codes");
    let (routes, pools) = (folder.join("routes.ini"), folder.join("pools.ini"));
    let missing = run(&["check", path_str(&routes), path_str(&pools)]);
    assert_eq!(missing.status.code(), Some(5));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("routes.ini"));
    fs::write(&routes, "[route:a]\npool = nowhere\n").unwrap();
    fs::write(&pools, "").unwrap();
    let invalid = run(&["check", path_str(&routes), path_str(&pools)]);
    assert_eq!(invalid.status.code(), Some(1));
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against an explanation that gives only the reason's name.
#[test]
fn explain_says_why_a_request_was_refused_under_overload() {
    let line = r#"{"timestamp":"2026-05-04T18:11:12.5Z","fields":{"message":"request","request":"r1","route":"a","outcome":"not-run","status":503,"missing":"overload:1"}}"#;
    let log = [("d0".to_owned(), line.to_owned())];
    let text = rattanturn_cli::explain::explain("r1", &log).unwrap();
    assert!(
        text.contains("nothing has run: targets were overloaded"),
        "{text}"
    );
}

/// Guards against a line without route and outcome that is explained as a failed request.
#[test]
fn explain_says_how_a_request_ended_without_an_answer() {
    let line = |fields: &str| {
        format!(r#"{{"timestamp":"2026-05-04T18:11:12.5Z","fields":{{{fields}}}}}"#) + "\n"
    };
    let text = line(r#""message":"stopping: new requests are refused","open":2"#)
        + &line(
            r#""message":"a request ended without an answer","request":"r1","end":"dropped","took_ms":2400,"stop_left_ms":0"#,
        )
        + &line(
            r#""message":"a request ended without an answer","request":"r2","end":"input-ended","took_ms":3"#,
        );
    let log = [("d0".to_owned(), text)];
    let dropped = rattanturn_cli::explain::explain("r1", &log).unwrap();
    let how = "the daemon's process ended after 2400 ms; the daemon was stopping and had 0 ms left";
    assert!(dropped.contains(how), "{dropped}");
    assert!(
        dropped.contains("new requests are refused open=2"),
        "{dropped}"
    );
    assert!(
        !dropped.contains("route") && !dropped.contains("r2"),
        "{dropped}"
    );
    let left = rattanturn_cli::explain::explain("r2", &log).unwrap();
    assert!(
        left.contains("closed the connection or its sending side after 3 ms;"),
        "{left}"
    );
    assert_eq!(rattanturn_cli::explain::most_severe(10, &log), ["r1", "r2"]);
    let page = rattanturn_cli::report::report(&log).unwrap();
    let (plots, changes) = page.split_once("State changes of the daemons").unwrap();
    assert!(plots.contains("ended without an answer"), "{plots}");
    assert!(!changes.contains("ended without an answer"), "{changes}");
}

#[test]
fn explain_exits_with_1_for_an_unknown_request_and_5_for_an_unreadable_file() {
    let folder = create_folder("explain");
    let log = folder.join("a1.log");
    fs::write(&log, "not JSON\n{\"timestamp\":\"x\"}\n").unwrap();
    let absent = run(&["explain", "r1", path_str(&log)]);
    assert_eq!(absent.status.code(), Some(1));
    let unreadable = run(&["explain", "r1", path_str(&folder.join("none.log"))]);
    assert_eq!(unreadable.status.code(), Some(5));
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn completions_list_all_commands_and_their_options() {
    let script = String::from_utf8(run(&["completions"]).stdout).unwrap();
    let commands =
        "check show diff apply query addresses state status accounts explain worst report rollouts";
    assert!(script.contains(commands), "{script}");
    let apply = "apply) words=\"--platform --base --editor --allow-unknown\"";
    assert!(script.contains(apply), "{script}");
}

#[test]
fn report_plots_and_counts_the_requests_and_escapes_their_routes() {
    let folder = create_folder("report");
    let (log, page) = (folder.join("a1.log"), folder.join("page.html"));
    let line = |second: usize, outcome: &str, parts: usize| {
        format!(
            "{{\"timestamp\":\"2026-05-04T23:59:{second:02}.5Z\",\"fields\":{{\"message\":\"request\",\
             \"request\":\"r{second}\",\"route\":\"sweep<&>\",\"outcome\":\"{outcome}\",\
             \"parts\":{parts},\"of\":4,\"extra\":1,\"took_ms\":{second},\"stands_for\":1}}}}\n"
        )
    };
    let mut text = String::from("a line of another program\n");
    text.extend((10..40).map(|s| line(s, "partial", 3)));
    text += &line(41, "not-run", 0);
    fs::write(&log, text).unwrap();
    let output = run(&["report", "--into", path_str(&page), path_str(&log)]);
    assert!(output.status.success(), "{output:?}");
    let html = fs::read_to_string(&page).unwrap();
    assert_eq!(
        html.matches("<svg").count(),
        4,
        "one plot is empty: the log has no state changes"
    );
    assert!(html.contains("<td>sweep&lt;&amp;&gt;<td>1<td>30"), "{html}");
    let empty = run(&["report", "--into", path_str(&page), path_str(&page)]);
    assert_eq!(empty.status.code(), Some(1));
    fs::remove_dir_all(folder).unwrap();
}
