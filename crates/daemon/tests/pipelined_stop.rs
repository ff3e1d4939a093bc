//! Pipelined requests of a caller while a daemon looks again and again whether its stop may end.
//!
//! The writer of the test's log subscriber panics when control begins the stop. The stop goes on without
//! control and looks whenever it is hurried.

use {
    actix_rt::{System, time::sleep},
    rattanturn_daemon::Tier,
    rattanturn_tables::Settings,
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

/// Settings of a daemon on free ports whose platform does not answer, so that it refuses each request.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 60s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n";
/// Line of control at which the writer panics.
const PLANTED: &str = "no longer advertised";
/// Requests that the caller sends without waiting for an answer.
const REQUESTS: usize = 20_000;

struct PanickingWriter;

impl Write for PanickingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let planted = String::from_utf8_lossy(line).contains(PLANTED);
        assert!(!planted || thread::panicking(), "a planted panic");
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends all requests and returns the number that are neither answered nor behind an answer
/// that announced the close.
fn count_unanswered(front: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(front).unwrap();
    let mut sender = stream.try_clone().unwrap();
    let sending = thread::spawn(move || {
        let requests = "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUESTS);
        // An error means that the daemon has closed the connection.
        let _ = sender.write_all(requests.as_bytes());
    });
    let mut read = Vec::new();
    // An error is a reset behind the last answer.
    let _ = stream.read_to_end(&mut read);
    sending.join().unwrap();
    let text = String::from_utf8_lossy(&read).to_lowercase();
    if text.contains("connection: close") {
        return 0;
    }
    REQUESTS - text.matches("http/1.1 503").count()
}

/// Guards against a stop that ends between two requests that a caller has sent together.
#[test]
fn a_stop_does_not_end_between_two_pipelined_requests() {
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| PanickingWriter)
        .init();
    System::new().block_on(async {
        let (settings, _) = Settings::parse("test", SETTINGS).unwrap();
        let tier = settings.tier.unwrap();
        let daemon = Tier::spawn(settings, tier).unwrap();
        let front = daemon.addresses().front;
        let caller = thread::spawn(move || count_unanswered(front));
        sleep(Duration::from_millis(50)).await;
        let handle = daemon.stop_handle();
        let stop = actix_rt::spawn(daemon.stop());
        while !stop.is_finished() {
            handle.hurry();
            tokio::task::yield_now().await;
        }
        assert_eq!(caller.join().unwrap(), 0, "of {REQUESTS} unanswered");
    });
}
