//! Requests that were read end with an answer, also when the caller shuts down its sending side, the
//! listener is closed, or the handler panics.

use {
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::{
        System,
        net::TcpStream,
        time::{sleep, timeout},
    },
    rattanturn_http::{Limits, Server, connection, each_waiting, response},
    std::{
        io::{self, ErrorKind, Read, Write},
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::atomic::Ordering,
        time::Duration,
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// Time that the handler takes.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Longest wait for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(2);

async fn handle(request: Request) -> Response<BoxBody> {
    sleep(RUN_TIME).await;
    assert_ne!(request.path(), "/panic", "a planted panic");
    response(200, &[], "done")
}

fn spawn() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rattanturn_http::spawn(listener, Limits::default(), handle).unwrap()
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
}

/// Sends a request and returns the status; 0 without an answer.
async fn ask(addr: SocketAddr, path: &str, half_close: bool) -> u16 {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request(path).as_bytes()).await.unwrap();
    if half_close {
        stream.shutdown().await.unwrap();
    }
    let mut answer = String::new();
    // Without an answer, the text stays empty.
    let _ = timeout(ANSWER_TIME, stream.read_to_string(&mut answer)).await;
    status(&answer)
}

fn status(answer: &str) -> u16 {
    answer.get(9..12).map_or(0, |s| s.parse().unwrap())
}

/// Guards against an end of input that is taken for a caller that left.
#[test]
fn half_closed_callers_get_their_answers() {
    System::new().block_on(async {
        let server = spawn();
        assert_eq!(ask(server.addr(), "/", true).await, 200);
    });
}

/// Guards against a closed connection, and against connections that stay counted.
#[test]
fn a_request_that_panics_is_answered() {
    System::new().block_on(async {
        let server = spawn();
        assert_eq!(ask(server.addr(), "/panic", false).await, 500);
        assert_eq!(ask(server.addr(), "/", false).await, 200);
        sleep(RUN_TIME).await;
        assert_eq!(server.counts().open.load(Ordering::Relaxed), 0);
    });
}

/// Guards against a reset of requests that run, or wait to be accepted, when the listener is closed.
#[test]
fn requests_sent_before_the_listener_closes_are_answered() {
    System::new().block_on(async {
        let server = spawn();
        let addr = server.addr();
        let running = actix_rt::spawn(ask(addr, "/", false));
        sleep(RUN_TIME / 2).await;
        // The listener's thread does not run meanwhile, so the connections wait in its queue.
        let waiting: Vec<_> = (0..20)
            .map(|_| {
                let mut stream = std::net::TcpStream::connect(addr).unwrap();
                stream.write_all(request("/").as_bytes()).unwrap();
                stream
            })
            .collect();
        drop(server);
        assert_eq!(running.await.unwrap(), 200);
        let answers = actix_rt::task::spawn_blocking(|| {
            let read = |mut stream: std::net::TcpStream| {
                stream.set_read_timeout(Some(ANSWER_TIME)).unwrap();
                let mut answer = String::new();
                // Without an answer, the text stays empty.
                let _ = stream.read_to_string(&mut answer);
                status(&answer)
            };
            waiting.into_iter().map(read).collect::<Vec<_>>()
        });
        assert_eq!(answers.await.unwrap(), [200; 20]);
        assert!(TcpStream::connect(addr).await.is_err());
    });
}

/// Guards against a process that ends while an answer is still being written.
#[test]
fn a_value_is_kept_until_a_slow_client_has_read_the_answer() {
    const BODY_BYTES: usize = 16 << 20;
    System::new().block_on(async {
        let open = Rc::new(());
        let kept = open.clone();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = rattanturn_http::spawn(listener, Limits::default(), move |request| {
            connection(&request)
                .unwrap()
                .keep_until_written(kept.clone());
            async { response(200, &[], vec![b'x'; BODY_BYTES]) }
        });
        let server = server.unwrap();
        let mut stream = TcpStream::connect(server.addr()).await.unwrap();
        let unused = Rc::strong_count(&open);
        stream.write_all(request("/").as_bytes()).await.unwrap();
        stream.read_exact(&mut [0; 1024]).await.unwrap();
        sleep(RUN_TIME).await;
        assert_eq!(Rc::strong_count(&open), unused + 1);
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.unwrap();
        assert!(rest.len() >= BODY_BYTES - 1024);
        assert_eq!(Rc::strong_count(&open), unused);
    });
}

/// Guards against connections that are cut with a request, or stay open, when a listener closes.
#[test]
fn a_closing_listener_serves_requests_and_closes_idle_connections() {
    System::new().block_on(async {
        let server = spawn();
        let addr = server.addr();
        let mut idle = TcpStream::connect(addr).await.unwrap();
        let mut used = TcpStream::connect(addr).await.unwrap();
        used.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .unwrap();
        // Its second request is sent while the first one runs.
        used.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            .await
            .unwrap();
        sleep(RUN_TIME / 4).await;
        let partial = actix_rt::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
            sleep(RUN_TIME).await;
            stream.write_all(b"host: h\r\n\r\n").await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            status(&answer)
        });
        sleep(RUN_TIME / 4).await;
        server.close().await;
        let mut answers = String::new();
        let read = used.read_to_string(&mut answers);
        timeout(ANSWER_TIME, read).await.unwrap().unwrap();
        assert_eq!(answers.matches("200 OK").count(), 2);
        let end = timeout(ANSWER_TIME, idle.read(&mut [0])).await;
        assert_eq!(end.unwrap().unwrap(), 0);
        assert_eq!(partial.await.unwrap(), 200);
    });
}

/// Guards against connections that are reset because another one in the queue had failed.
#[test]
fn a_failed_connection_does_not_end_the_last_accepts() {
    let accept_all = |results: Vec<io::Result<u32>>| {
        let mut results = results.into_iter();
        let mut served = Vec::new();
        let end = each_waiting(
            || results.next().unwrap_or(Err(ErrorKind::WouldBlock.into())),
            |number| {
                if number == 0 {
                    return Err(ErrorKind::InvalidInput.into());
                }
                served.push(number);
                Ok(())
            },
        );
        (served, end.is_ok())
    };
    let aborted = || Err(ErrorKind::ConnectionAborted.into());
    let queue = vec![Ok(1), aborted(), Ok(0), Ok(2)];
    assert_eq!(accept_all(queue), (vec![1, 2], true));
    let endless = (0..10_000).map(|_| aborted()).collect();
    assert_eq!(accept_all(endless), (vec![], false));
}

/// A listener with a limit for heads, and what a client gets that sends `input` in parts.
async fn send_heads(max_head: usize, parts: &[Vec<u8>]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let limits = Limits {
        max_head: Some(max_head),
        ..Limits::default()
    };
    let server =
        rattanturn_http::spawn(listener, limits, |_| async { response(200, &[], "") }).unwrap();
    let mut stream = TcpStream::connect(server.addr()).await.unwrap();
    for part in parts {
        stream.write_all(part).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    stream.shutdown().await.unwrap();
    let mut answers = String::new();
    let read = timeout(ANSWER_TIME, stream.read_to_string(&mut answers)).await;
    read.unwrap().unwrap();
    answers
}

/// A request whose head has this many bytes.
fn request_of(bytes: usize) -> Vec<u8> {
    let mut head = b"GET / HTTP/1.1\r\nhost: h\r\nx-long: ".to_vec();
    head.resize(bytes - 4, b'x');
    [head, b"\r\n\r\n".to_vec()].concat()
}

/// Guards against heads beyond the limit that are kept, and against others that are refused.
#[test]
fn only_heads_beyond_the_limit_are_refused() {
    const MAX_HEAD: usize = 4_096;
    System::new().block_on(async {
        let ok = |answers: &str| answers.matches("HTTP/1.1 200").count();
        let largest = request_of(MAX_HEAD);
        let answers = send_heads(MAX_HEAD, std::slice::from_ref(&largest)).await;
        assert_eq!(ok(&answers), 1, "at the limit: {answers}");
        // Several on one connection, together and one after the other.
        let pipelined = request_of(600).repeat(40);
        let answers = send_heads(MAX_HEAD, &[pipelined, largest.clone(), largest]).await;
        assert_eq!(ok(&answers), 42, "below the limit: {answers}");
        let answers = send_heads(MAX_HEAD, &[request_of(600), request_of(MAX_HEAD + 1)]).await;
        assert_eq!(ok(&answers), 1, "before the long one: {answers}");
        assert_eq!(answers.matches("HTTP/1.1 431").count(), 1, "{answers}");
        let answers = send_heads(MAX_HEAD, &[request_of(1_000_000)]).await;
        assert_eq!(status(&answers), 431, "a very long one: {answers}");
    });
}

/// Guards against silent connections that lock other clients out, or are kept without a bound.
#[test]
fn silent_connections_make_room_for_others() {
    System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let limits = Limits {
            vm_memory: Some(0),
            max_connections: 64,
            ..Limits::default()
        };
        let server = rattanturn_http::spawn(listener, limits, handle).unwrap();
        let mut silent = Vec::new();
        for _ in 0..500 {
            silent.push(TcpStream::connect(server.addr()).await.unwrap());
        }
        assert_eq!(ask(server.addr(), "/", false).await, 200);
        let open = server.counts().open.load(Ordering::Relaxed);
        assert!(open <= 64, "{open} are open");
        // The newest ones stay.
        let mut newest = silent.pop().unwrap();
        newest.write_all(request("/").as_bytes()).await.unwrap();
        let mut answer = String::new();
        newest.read_to_string(&mut answer).await.unwrap();
        assert_eq!(status(&answer), 200);
    });
}
