//! Stops of daemons one of whose threads does not run when the drain limit is up.
//!
//! The writer of the test's log subscriber holds up the traffic thread, so that the daemon needs no hook.

use {
    actix_rt::{System, time::sleep},
    rattanturn_daemon::{Daemon, StopHandle, Tier},
    rattanturn_tables::Settings,
    std::{
        io::{self, Write},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// Settings of a daemon on free ports whose platform does not answer, so that it refuses each request
/// with a line of its log.
const SETTINGS: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\ndrain-limit = 6s\n\
    [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9\n";
/// Settings of a daemon with the project's own interface.
const OWN_INTERFACE: &str = "[daemon]\nname = d0\ndata-centre = a\nip = 127.0.0.1\nadmin-port = 0\n\
    rpc-port = 0\ngossip-port = 0\nhttp-port = 0\ndrain-limit = 6s\n\
    [platform]\naddress = 127.0.0.1:9\n";
/// `drain-limit` in both, after which the supervisor kills the process.
const DRAIN_LIMIT: Duration = Duration::from_secs(6);
/// Time after which the thread is held up, shortly before the listener closes.
const HOLD_AFTER: Duration = Duration::from_millis(3_900);
/// Time for which the thread is held up, beyond the limit.
const HOLD_TIME: Duration = Duration::from_secs(9);
/// Id of the request whose log line holds up the traffic thread.
const HOLDING: &str = "holding";

/// Writer of log lines that is slow at one line.
struct SlowWriter;

impl Write for SlowWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if String::from_utf8_lossy(line).contains(HOLDING) {
            std::thread::sleep(HOLD_TIME);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn spawn_tier() -> Tier {
    let (settings, _) = Settings::parse("test", SETTINGS).unwrap();
    let tier = settings.tier.unwrap();
    Tier::spawn(settings, tier).unwrap()
}

/// Runs a stop of which control is held up, and returns how long it took.
async fn stop_without_control(handle: StopHandle, stop: impl Future<Output = String>) -> Duration {
    let (began, hold) = (Instant::now(), async {
        sleep(HOLD_AFTER).await;
        handle.freeze(HOLD_TIME);
    });
    tokio::join!(stop, hold);
    began.elapsed()
}

/// Guards against a process that its supervisor has to kill because control gets no processor.
#[test]
fn a_stop_ends_within_its_limit_while_control_is_held_up() {
    System::new().block_on(async {
        let daemon = spawn_tier();
        sleep(Duration::from_millis(200)).await;
        let took = stop_without_control(daemon.stop_handle(), daemon.stop()).await;
        assert!(took < DRAIN_LIMIT, "{took:?}");
    });
}

/// Guards against the same in the own interface.
#[test]
fn a_stop_of_the_own_interface_ends_within_its_limit_while_control_is_held_up() {
    System::new().block_on(async {
        let (settings, _) = Settings::parse("test", OWN_INTERFACE).unwrap();
        let daemon = Daemon::spawn(settings).unwrap();
        sleep(Duration::from_millis(200)).await;
        let took = stop_without_control(daemon.stop_handle(), daemon.stop()).await;
        assert!(took < DRAIN_LIMIT, "{took:?}");
    });
}

/// Guards against a process that its supervisor has to kill because traffic gets no processor.
#[test]
fn a_stop_ends_within_its_limit_while_traffic_is_held_up() {
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(|| SlowWriter)
        .init();
    System::new().block_on(async {
        let daemon = spawn_tier();
        let mut caller = TcpStream::connect(daemon.addresses().front).unwrap();
        sleep(Duration::from_millis(200)).await;
        let (began, stop) = (Instant::now(), actix_rt::spawn(daemon.stop()));
        sleep(HOLD_AFTER).await;
        let request = format!("GET / HTTP/1.1\r\nhost: a\r\nx-request-id: {HOLDING}\r\n\r\n");
        caller.write_all(request.as_bytes()).unwrap();
        stop.await.unwrap();
        let took = began.elapsed();
        assert!(took < DRAIN_LIMIT, "{took:?}");
    });
}
