//! A daemon that has run out of file descriptors cannot connect to its targets, which are sound.
//!
//! The limit is that of the process, so this program has no other test.

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::tier_cluster::{Options, TierCluster, request},
    rattanturn_standins::operator::HOST,
    rustix::process::{Resource, Rlimit, getrlimit, setrlimit},
    std::{fs, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Factor by which requests last a second.
const SLOW: f64 = 100.0;
/// Time after which the daemon has closed the connections that it opened to its targets at the start.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Descriptors that are free when the limit is lowered.
const FREE: u64 = 8;

/// Lowers the limit to little more than what is open, and uses up the rest.
fn use_up_descriptors() -> Vec<fs::File> {
    let numbers = fs::read_dir("/proc/self/fd").unwrap();
    let numbers = numbers.filter_map(|d| d.ok()?.file_name().to_str()?.parse::<u64>().ok());
    let current = Some(numbers.max().unwrap() + FREE);
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current, maximum }).unwrap();
    std::iter::from_fn(|| fs::File::open("/dev/null").ok()).collect()
}

/// Sends a request that needs a new connection to a target, and returns the status of its answer.
async fn ask_once(caller: &mut TcpStream, id: &str) -> String {
    let head = format!("GET /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 4096];
    let read = caller.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..read.min(12)]).into_owned()
}

/// Guards against requests that end at sound targets because the daemon lacks descriptors.
#[test]
fn a_lack_of_descriptors_does_not_count_as_a_loss_of_the_targets() {
    System::new().block_on(async {
        let options = Options {
            shards: 6,
            daemons: 1,
        };
        let cluster = TierCluster::spawn(options).await.unwrap();
        let at = cluster.daemons[0].addresses().front;
        for server in &cluster.servers {
            server.set_slow(SLOW);
        }
        let mut caller = TcpStream::connect(at).await.unwrap();
        sleep(IDLE_TIME).await;
        let open = (0..4).map(|n| async move {
            let answer = request(at, "/all/x", &format!("open-{n}"), "").await;
            answer.map_or(0, |a| a.status)
        });
        let open: Vec<_> = open.map(actix_rt::spawn).collect();
        sleep(Duration::from_millis(100)).await;
        let before = getrlimit(Resource::Nofile);
        let used = use_up_descriptors();
        let refused = ask_once(&mut caller, "refused").await;
        let statuses = futures::future::join_all(open).await;
        drop(used);
        setrlimit(Resource::Nofile, before).unwrap();
        let statuses: Vec<u16> = statuses.into_iter().map(Result::unwrap).collect();
        assert_eq!(statuses, [200; 4]);
        assert_eq!(refused, "HTTP/1.1 503");
        let after = ask_once(&mut caller, "after").await;
        assert_eq!(after, "HTTP/1.1 200", "right after descriptors were free");
    });
}
