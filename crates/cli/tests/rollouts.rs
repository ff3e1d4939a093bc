//! The command `rollouts` against a stand-in for a daemon's operators' address.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
};

/// Answers one request with a state dump.
fn daemon(dump: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
            head.push(byte[0]);
        }
        assert!(head.starts_with(b"GET /state "));
        let length = dump.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all((head + dump).as_bytes()).unwrap();
    });
    addr
}

fn run(dump: &'static str) -> Output {
    let addr = daemon(dump).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_rattanturn"));
    command
        .args(["rollouts", "--admin", &addr])
        .output()
        .unwrap()
}

/// Guards against a roll-out that is not shown because another build left a field out.
#[test]
fn a_line_is_printed_for_each_rollout() {
    let output = run(r#"{"rollouts":[
        {"service":"huvo11a","version":"v2","phase":"running","share":0.08,
         "old":{"answers":920,"bad":3},"new":{"answers":80,"bad":1},"reason":"first step"},
        {"service":"huvo12a","version":"v7","phase":"reverted"}]}"#);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(
        lines[1].join(" "),
        "huvo11a v2 running 8.0% 3 of 920 1 of 80 first step"
    );
    assert_eq!(lines[2].join(" "), "huvo12a v7 reverted - - - -");
    assert!(output.status.success());
}

/// Guards against an empty table where the daemon does not take part in roll-outs.
#[test]
fn a_daemon_without_rollouts_is_told_apart_from_one_that_has_none() {
    let none = run(r#"{"rollouts":[]}"#);
    assert_eq!(none.status.code(), Some(0));
    let older = run("{}");
    assert_eq!(older.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&older.stderr).contains("exposure"));
}
