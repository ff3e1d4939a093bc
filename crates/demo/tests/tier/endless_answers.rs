//! Servers that send bytes without end where an answer is due.

use {
    super::{fetch, plain_servers, with_cluster},
    actix_rt::time::sleep,
    rattanturn_standins::shard::{Endless, Fault},
    std::time::{Duration, Instant},
};

/// Most that may be read of one answer, with room for what the sockets hold.
const MAX_READ_BYTES: usize = 24 << 20;
/// Time in which a request must be answered by the other server; its deadline is 2 s.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time after a request in which its connection must be closed.
const CLOSE_TIME: Duration = Duration::from_millis(500);

fn assert_bounded(kind: Endless) {
    with_cluster(1, async |cluster| {
        let servers = plain_servers(cluster);
        servers[0].set_fault(Fault::Endless(kind));
        for n in 0..6 {
            let started = Instant::now();
            let answer = fetch(cluster, "/one/x", &format!("e{n}")).await;
            assert_eq!((answer.status, answer.body), (200, servers[1].records()));
            assert!(started.elapsed() < ANSWER_TIME, "{:?}", started.elapsed());
        }
        sleep(CLOSE_TIME).await;
        let counters = servers[0].counters();
        assert!(counters.endless_bytes > 0, "the server was not called");
        assert_eq!(counters.endless_open, 0, "still reading");
        assert!(
            counters.endless_bytes < MAX_READ_BYTES,
            "{} bytes read",
            counters.endless_bytes
        );
    });
}

#[test]
fn endless_header_lines_are_bounded() {
    assert_bounded(Endless::Head);
}

#[test]
fn endless_informational_answers_are_bounded() {
    assert_bounded(Endless::Informational);
}

#[test]
fn endless_answers_to_another_request_are_bounded() {
    assert_bounded(Endless::OtherAnswers);
}

#[test]
fn an_endless_body_is_bounded() {
    assert_bounded(Endless::Body);
}

#[test]
fn endless_chunks_are_bounded() {
    assert_bounded(Endless::Chunks);
}

#[test]
fn an_endless_chunk_extension_is_bounded() {
    assert_bounded(Endless::ChunkExtension);
}
