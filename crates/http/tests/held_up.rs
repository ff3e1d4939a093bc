//! A listener closes while handlers hold up its thread.

use {
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::System,
    rattanturn_http::{Limits, response},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc,
        thread,
        time::Duration,
    },
};

/// Time for which a request for [`HOLDING`] holds up the thread.
const HOLD_TIME: Duration = Duration::from_millis(400);
const HOLDING: &str = "/hold";
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

async fn handle(request: Request) -> Response<BoxBody> {
    if request.path() == HOLDING {
        thread::sleep(HOLD_TIME);
    }
    response(200, &[], "done")
}

/// Starts a listener that closes once told to; its thread is held up right after that.
fn spawn(close: tokio::sync::oneshot::Receiver<()>) -> SocketAddr {
    let (send, receive) = mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let server = rattanturn_http::spawn(listener, Limits::default(), handle).unwrap();
            send.send(server.addr()).unwrap();
            close.await.unwrap();
            let hold = async { thread::sleep(HOLD_TIME) };
            tokio::join!(server.close(), hold);
            actix_rt::time::sleep(ANSWER_TIME).await;
        });
    });
    receive.recv().unwrap()
}

/// Sends a request.
fn send(stream: &mut TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
}

/// Guards against a request that is never read because its connection is closed as unused.
#[test]
fn requests_that_arrive_while_the_thread_is_held_up_at_the_closing_are_answered() {
    let (close, closing) = tokio::sync::oneshot::channel();
    let addr = spawn(closing);
    let mut holding = TcpStream::connect(addr).unwrap();
    let mut late = TcpStream::connect(addr).unwrap();
    thread::sleep(HOLD_TIME / 4);
    close.send(()).unwrap();
    thread::sleep(HOLD_TIME / 4);
    // It is read when the closing goes on, and holds up the thread before that.
    send(&mut holding, HOLDING);
    thread::sleep(HOLD_TIME);
    send(&mut late, "/late");
    late.set_read_timeout(Some(ANSWER_TIME)).unwrap();
    let mut answer = String::new();
    // An error leaves the text empty.
    let _ = late.read_to_string(&mut answer);
    assert_eq!(answer.get(9..12), Some("200"), "{answer:?}");
}
