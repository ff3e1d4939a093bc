//! Answers of daemons that break off.

use std::{
    io::{Read, Write},
    net::TcpListener,
    process::Command,
    thread,
};

/// Guards against a part of an answer that is printed as a whole one, with exit code 0.
#[test]
fn a_query_whose_answer_is_cut_fails() {
    let whole = "HTTP/1.1 200 OK\r\nx-outcome: ran\r\ncontent-length: 16\r\n\r\n0123456789abcdef";
    for sent in 0..=whole.len() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap().to_string();
        let daemon = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = Vec::new();
            // Closing a connection with unread input would reset it.
            while !request.ends_with(b"\r\n\r\nbody") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                request.push(byte[0]);
            }
            stream.write_all(&whole.as_bytes()[..sent]).unwrap();
        });
        let run = Command::new(env!("CARGO_BIN_EXE_rattanturn"))
            .args(["query", "search", "body", "--daemon", &at])
            .output()
            .unwrap();
        daemon.join().unwrap();
        let code = run.status.code();
        let text = String::from_utf8_lossy(&run.stdout);
        assert_eq!(code == Some(0), sent == whole.len(), "{sent}: {text}");
    }
}
