//! Requests that reach a stopping daemon whose traffic thread is held up again and again.
//!
//! The writer of the test's log subscriber holds the thread up, so that the daemon needs no hook.

use {
    actix_rt::{System, time::sleep},
    rattanturn_daemon::Tier,
    rattanturn_tables::Settings,
    std::{
        io::{self, ErrorKind, Write},
        net::{self, SocketAddr},
        sync::{
            OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Settings of a daemon on free ports whose platform does not answer, so that it refuses each request
/// with a line of its log.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 12s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n";
/// Time after which the daemon closes its listener.
const CLOSING_TIME: Duration = Duration::from_secs(8);
/// Id of a request whose log line holds up the thread.
const HOLDING: &str = "holding";
/// Time for which each of these requests holds up the thread.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Number of these requests. Each is sent while the one before holds up the thread.
const HOLD_COUNT: usize = 6;
/// Other requests, and the interval between two.
const LATE_COUNT: u32 = 180;
const LATE_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a request may cross the close of its connection, by the platform's rules.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Connections for the requests that hold up the thread, and how many of these were sent.
static HOLDING_CONNECTIONS: OnceLock<Vec<net::TcpStream>> = OnceLock::new();
static HELD: AtomicUsize = AtomicUsize::new(0);

/// Writer of log lines that is slow at some lines.
struct SlowWriter;

impl Write for SlowWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if String::from_utf8_lossy(line).contains(HOLDING) {
            send_holding();
            std::thread::sleep(HOLD_TIME);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends the next request that holds up the thread.
fn send_holding() {
    let connections = HOLDING_CONNECTIONS.get().map_or(&[][..], Vec::as_slice);
    if let Some(mut stream) = connections.get(HELD.fetch_add(1, Ordering::Relaxed)) {
        // An error means that the daemon has closed the connection.
        let _ = stream.write_all(request(HOLDING).as_bytes());
    }
}

fn request(id: &str) -> String {
    format!("GET / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n\r\n")
}

/// Sends a request at a time, unless its connection has ended. Returns the time from the request to the
/// end of its connection if there was no answer.
async fn send_at(at: Instant, mut stream: TcpStream, id: String) -> Option<Duration> {
    sleep(at.saturating_duration_since(Instant::now())).await;
    let read = stream.try_read(&mut [0]);
    if !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock) {
        return None;
    }
    // An error means that the connection ended at that moment.
    stream.write_all(request(&id).as_bytes()).await.ok()?;
    let written = Instant::now();
    let read = stream.read(&mut [0; 64]).await;
    (!matches!(read, Ok(n) if n > 0)).then(|| written.elapsed())
}

/// Guards against a request that is never read because the daemon closes its connection as unused.
#[test]
fn requests_that_arrive_while_the_thread_is_held_up_at_the_closing_are_answered() {
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| SlowWriter)
        .init();
    System::new().block_on(async {
        let (settings, _) = Settings::parse("test", SETTINGS).unwrap();
        let tier = settings.tier.unwrap();
        let daemon = Tier::spawn(settings, tier).unwrap();
        let front: SocketAddr = daemon.addresses().front;
        let holding = (0..HOLD_COUNT).map(|_| net::TcpStream::connect(front).unwrap());
        HOLDING_CONNECTIONS.set(holding.collect()).unwrap();
        let mut late = Vec::new();
        for _ in 0..LATE_COUNT {
            late.push(TcpStream::connect(front).await.unwrap());
        }
        sleep(HOLD_TIME).await;
        let closing = Instant::now() + CLOSING_TIME;
        let stop = actix_rt::spawn(daemon.stop());
        // The second of the requests that hold up the thread does so when the listener is to close.
        sleep(CLOSING_TIME.saturating_sub(HOLD_TIME * 3 / 2)).await;
        send_holding();
        let mut requests = Vec::new();
        for (i, stream) in (0..).zip(late) {
            let sent = send_at(closing + LATE_INTERVAL * i, stream, format!("late-{i}"));
            requests.push(actix_rt::spawn(sent));
        }
        let mut crossed = Vec::new();
        for request in requests {
            crossed.extend(request.await.unwrap());
        }
        let lost = crossed.iter().filter(|time| **time > CROSSING_TIME).count();
        assert_eq!(lost, 0, "closed without an answer after {crossed:?}");
        stop.await.unwrap();
    });
}
