//! Requests that end the targets that run them: evidence of several daemons, and how it ends.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::{
        NodeId, Time,
        fingerprint::{Fingerprint, RequestParts},
        quarantine::{
            Evidence, MAX_REQUESTS, Quarantine, Recall, Verdict, is_turn_of, trial_target,
        },
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Number of calls that may still be made after the third target has ended, for ever.
const ALLOWED_RETRIES: u32 = 3;

/// Time after which all evidence has been told.
const NEWS_TIME: Duration = Duration::from_secs(1);

fn request(path: &str) -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: "GET",
        host: "desk.example",
        path,
        caller: b"",
        body: b"",
    })
}

fn tell(from: &mut Quarantine, to: &mut [Quarantine], now: Time) {
    for report in from.take_news(now) {
        for other in to.iter_mut() {
            other.merge(now, &report);
        }
    }
}

/// A quarantine that refuses `request` since `now`.
fn refusing(now: Time, request: Fingerprint) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for target in ["i-1", "i-2"] {
        quarantine.record_end(now, request, target, false);
    }
    quarantine.record_end(now, request, "i-3", true);
    quarantine
}

fn refuses(quarantine: &Quarantine, now: Time, request: Fingerprint) -> bool {
    matches!(quarantine.verdict(now, request), Verdict::Refuse { .. })
}

/// Guards against an innocent request that is refused because its trial went to the same target as that
/// of the request that ends targets.
#[test]
fn a_trial_that_a_more_suspected_request_may_have_failed_tells_nothing() {
    let (poison, other) = (request("/poison"), request("/other"));
    let (mut quarantine, now) = (Quarantine::default(), Time::from_millis(1_000));
    for target in ["i-1", "i-2", "i-3"] {
        quarantine.record_end(now, poison, target, false);
    }
    for target in ["i-1", "i-2"] {
        quarantine.record_end(now, other, target, false);
    }
    quarantine.record_end(now, other, "i-4", true);
    quarantine.record_end(now, poison, "i-4", true);
    assert_eq!(quarantine.verdict(now, other), Verdict::Trial);
    assert!(refuses(&quarantine, now, poison));
    let later = now + Duration::from_secs(2);
    quarantine.record_end(later, other, "i-5", true);
    assert!(refuses(&quarantine, later, other));
}

/// Guards against requests that excuse each other for ever.
#[test]
fn requests_that_end_targets_at_the_same_time_are_refused_after_few_ends() {
    let all = ["/a", "/b", "/c"].map(request);
    let (mut quarantine, now) = (Quarantine::default(), Time::from_millis(1_000));
    let mut ends = 0;
    while let Some(next) = all.iter().find(|r| !refuses(&quarantine, now, **r)) {
        let trial = quarantine.verdict(now, *next) == Verdict::Trial;
        for request in all.iter().filter(|r| trial || *r == next) {
            if !refuses(&quarantine, now, *request) {
                ends += 1;
                quarantine.record_end(now, *request, &format!("i-{ends}"), trial);
            }
        }
    }
    assert!(ends <= 5 * all.len(), "{ends} targets ended");
}

#[test]
fn targets_that_ended_at_different_daemons_count_together() {
    let (poison, mut now) = (request("/poison"), Time::from_millis(1_000));
    let mut all = vec![Quarantine::default(); 3];
    for daemon in 0..3 {
        let trial = all[daemon].verdict(now, poison) == Verdict::Trial;
        all[daemon].record_end(now, poison, &format!("i-{daemon}"), trial);
        now = now + NEWS_TIME;
        let mut one = all[daemon].clone();
        tell(&mut one, &mut all, now);
        all[daemon] = one;
    }
    assert!(all.iter().all(|q| refuses(q, now, poison)));
}

#[test]
fn a_target_that_several_daemons_saw_end_counts_once() {
    let (popular, now) = (request("/popular"), Time::from_millis(1_000));
    let mut all = vec![Quarantine::default(); 8];
    for daemon in &mut all {
        daemon.record_end(now, popular, "i-1", false);
    }
    let now = now + NEWS_TIME;
    let mut first = Quarantine::default();
    for daemon in &mut all {
        tell(daemon, std::slice::from_mut(&mut first), now);
    }
    assert_eq!(first.verdict(now, popular), Verdict::Clear);
}

#[test]
fn an_answer_clears_a_request_at_all_daemons_and_late_reports_do_not_count() {
    let (popular, now) = (request("/popular"), Time::from_millis(1_000));
    let mut here = refusing(now, popular);
    let mut there = [Quarantine::default()];
    let late: Vec<Evidence> = here.take_news(now);
    there[0].merge(now, &late[0]);
    assert!(refuses(&there[0], now, popular));
    here.record_answer(now, popular);
    tell(&mut here, &mut there, now);
    assert_eq!(there[0].verdict(now, popular), Verdict::Clear);
    there[0].merge(now, &late[0]);
    assert_eq!(there[0].verdict(now, popular), Verdict::Clear);
}

/// Guards against copies of a popular request that are held back because a crashing one ended their
/// targets.
#[test]
fn targets_that_end_shortly_after_an_answer_do_not_speak_against_a_request() {
    let (popular, start) = (request("/popular"), Time::from_millis(1_000));
    let (mut here, mut there) = (Quarantine::default(), [Quarantine::default()]);
    here.record_earlier_answer(start, popular, start);
    for target in ["i-1", "i-2"] {
        there[0].record_end(start + Duration::from_millis(4), popular, target, false);
    }
    assert_eq!(there[0].verdict(start, popular), Verdict::Trial);
    let now = start + Duration::from_millis(5);
    tell(&mut there[0], std::slice::from_mut(&mut here), now);
    assert_eq!(here.verdict(now, popular), Verdict::Clear);
    tell(&mut here, &mut there, now);
    assert_eq!(there[0].verdict(now, popular), Verdict::Clear);
    let later = start + Duration::from_millis(1_001);
    for target in ["i-3", "i-4"] {
        here.record_end(later, popular, target, false);
    }
    assert_eq!(here.verdict(later, popular), Verdict::Trial);
}

/// An answer that is reported only after the ends that followed it counts as well, and one that is too
/// old does not.
#[test]
fn an_answer_that_is_reported_late_clears_a_request_if_it_was_recent() {
    let (popular, start) = (request("/popular"), Time::from_millis(5_000));
    for (age, verdict) in [(900, Verdict::Clear), (1_100, Verdict::Trial)] {
        let mut quarantine = Quarantine::default();
        for target in ["i-1", "i-2"] {
            quarantine.record_end(start, popular, target, false);
        }
        let at = start - Duration::from_millis(age);
        quarantine.record_earlier_answer(start, popular, at);
        assert_eq!(quarantine.verdict(start, popular), verdict, "{age} ms");
    }
}

/// Guards against trials that end the last usable target of a service, or a target of their own at each
/// daemon.
#[test]
fn a_trial_goes_to_one_target_for_all_daemons_and_spares_the_last_of_a_service() {
    let services = [vec!["i-1"], vec!["i-2", "i-3"], vec!["i-4", "i-5", "i-6"]];
    let mut chosen = BTreeSet::new();
    for n in 0..100 {
        let request = request(&format!("/poison/{n}"));
        let target = trial_target(request, &[], &services, false).unwrap();
        assert_ne!(target, "i-1");
        // Daemons may know the targets in another order.
        let mut other: Vec<Vec<&str>> = services.to_vec();
        other.reverse();
        for targets in &mut other {
            targets.reverse();
        }
        assert_eq!(trial_target(request, &[], &other, true), Some(target));
        chosen.insert(target);
    }
    assert_eq!(
        chosen.len(),
        5,
        "trials of many requests meet at few targets"
    );
    assert_eq!(
        trial_target(request("/p"), &[], &[vec!["i-1"], vec![]], false),
        None
    );
    assert_eq!(
        trial_target(request("/p"), &[], &[vec!["i-1"], vec![]], true),
        Some("i-1")
    );
}

/// Guards against an innocent request that is quarantined because its trial met that of a crashing one.
#[test]
fn trials_of_several_suspects_go_to_different_targets() {
    let start = Time::from_millis(1_000);
    let mut quarantine = Quarantine::default();
    let requests: Vec<Fingerprint> = (0..5).map(|n| request(&format!("/{n}"))).collect();
    for (n, suspect) in requests.iter().enumerate() {
        let targets = if n == 3 { 4 } else { 2 };
        for target in 0..targets {
            quarantine.record_end(start, *suspect, &format!("i-{target}"), false);
        }
    }
    let suspects = quarantine.suspects(start);
    assert_eq!(
        suspects[0], requests[3],
        "the most suspected is not the first"
    );
    let services = [vec!["i-5"], vec!["i-6", "i-7"], vec!["i-8", "i-9"]];
    let target = |r: &Fingerprint| trial_target(*r, &suspects, &services, false).unwrap();
    let chosen: BTreeSet<&str> = suspects[..4].iter().map(target).collect();
    assert_eq!(chosen.len(), 4);
    // With more suspects than targets some share one.
    assert!(chosen.contains(target(&suspects[4])));
}

/// Guards against copies that go on to end targets once it is known that their request does, and against
/// the stop of an innocent request that is cleared soon.
#[test]
fn open_calls_are_stopped_unless_the_request_is_cleared_soon() {
    let (suspect, start) = (request("/suspect"), Time::from_millis(1_000));
    let mut here = Quarantine::default();
    here.record_end(start, suspect, "i-1", false);
    let later = start + Duration::from_secs(1);
    assert_eq!(here.recall(later, suspect), Recall::Continue);
    let mut there = [Quarantine::default()];
    here.record_end(later, suspect, "i-2", false);
    tell(&mut here, &mut there, later + Duration::from_millis(4));
    let after = |ms| later + Duration::from_millis(ms);
    for (quarantine, stop_at) in [(&here, 15), (&there[0], 19)] {
        let Recall::Wait(wait) = quarantine.recall(after(5), suspect) else {
            panic!("not waiting");
        };
        assert_eq!(after(5) + wait, after(stop_at));
        assert_eq!(quarantine.recall(after(stop_at), suspect), Recall::Stop);
    }
    here.record_answer(after(10), suspect);
    tell(&mut here, &mut there, after(12));
    for quarantine in [&here, &there[0]] {
        assert_eq!(quarantine.recall(after(30), suspect), Recall::Continue);
    }
}

/// Guards against a request that is refused for an hour because its service has a single target.
#[test]
fn the_only_target_of_a_service_is_tried_once_no_other_one_came_back() {
    let (suspect, start) = (request("/suspect"), Time::from_millis(1_000));
    let mut quarantine = Quarantine::default();
    for target in ["i-1", "i-2"] {
        quarantine.record_end(start, suspect, target, false);
    }
    let soon = start + Duration::from_secs(29);
    assert!(!quarantine.may_try_lone_target(soon, suspect));
    assert!(quarantine.may_try_lone_target(soon + Duration::from_secs(1), suspect));
}

/// Plays a request that ends every target, at 302 daemons that get a copy each in turn every 20 ms
/// and tell each other within 100 ms, for an hour.
#[test]
fn few_targets_end_in_an_hour_over_302_daemons() {
    const DAEMONS: u64 = 302;
    let poison = request("/poison");
    let ids: Vec<NodeId> = (1..=DAEMONS).map(NodeId).collect();
    let mut all = vec![Quarantine::default(); ids.len()];
    let mut news: Vec<(u64, Evidence)> = Vec::new();
    let (mut ended, mut third_at, mut later) = (0, None, Vec::new());
    for at in (0..3_600_000).step_by(20) {
        let now = Time::from_millis(at + 1_000);
        for daemon in &mut all {
            let reports = daemon.take_news(now);
            news.extend(reports.into_iter().map(|r| (at + 100, r)));
        }
        for (_, report) in news.extract_if(.., |(due, _)| *due <= at) {
            for daemon in &mut all {
                daemon.merge(now, &report);
            }
        }
        let daemon = usize::try_from(at / 20 % DAEMONS).unwrap();
        let trial = match all[daemon].verdict(now, poison) {
            Verdict::Clear => false,
            Verdict::Trial => true,
            Verdict::Refuse { .. } => continue,
            Verdict::TrialDue { turn, .. } => {
                if !is_turn_of(ids[daemon], ids.iter().copied(), poison, turn) {
                    continue;
                }
                true
            }
        };
        ended += 1;
        all[daemon].record_end(now, poison, &format!("i-{ended}"), trial);
        if ended == 3 {
            third_at = Some(at);
        }
        if third_at.is_some_and(|third| at > third + 4_000) {
            later.push(at);
        }
    }
    assert!(ended < 30, "{ended} targets ended");
    let early = later.iter().filter(|at| **at < 600_000).count();
    assert!(early <= ALLOWED_RETRIES as usize, "{later:?}");
    assert!(later.len() < 6, "{later:?}");
}

#[test]
fn nothing_is_told_of_a_request_that_succeeds_soon_after_its_target_ended() {
    let start = Time::from_millis(1_000);
    let mut quarantine = Quarantine::default();
    let mut told = Vec::new();
    for n in 0..1_000 {
        let innocent = request(&format!("/innocent/{n}"));
        quarantine.record_end(start, innocent, "i-1", false);
        told.extend(quarantine.take_news(start));
        quarantine.record_answer(start + Duration::from_millis(90), innocent);
    }
    told.extend(quarantine.take_news(start + NEWS_TIME));
    assert!(told.is_empty(), "{} reports", told.len());
    assert!(quarantine.is_empty());
}

#[test]
fn targets_that_start_again_under_their_ids_end_few_times() {
    let (poison, now) = (request("/poison"), Time::from_millis(1_000));
    let mut quarantine = Quarantine::default();
    let mut ended = 0;
    while !refuses(&quarantine, now, poison) {
        let trial = quarantine.verdict(now, poison) == Verdict::Trial;
        quarantine.record_end(now, poison, ["i-1", "i-2"][ended % 2], trial);
        ended += 1;
        assert!(ended < 10, "not refused");
    }
    assert_eq!(ended, 4);
}

#[test]
fn a_trial_is_made_by_one_daemon_at_a_time_and_every_daemon_gets_its_turn() {
    let poison = request("/poison");
    let ids: Vec<NodeId> = (1..=8).map(NodeId).collect();
    let mut had: BTreeSet<NodeId> = BTreeSet::new();
    for turn in 0..8 {
        let mine = |id: &&NodeId| is_turn_of(**id, ids.iter().copied(), poison, turn);
        let whose: Vec<NodeId> = ids.iter().filter(mine).copied().collect();
        assert_eq!(whose.len(), 1);
        had.extend(whose);
    }
    assert_eq!(had.len(), 8);
}

#[test]
fn a_quarantine_is_tried_three_times_in_the_first_ten_minutes() {
    let (poison, start) = (request("/poison"), Time::from_millis(1_000));
    let mut quarantine = refusing(start, poison);
    let mut now = start;
    let mut pauses = Vec::new();
    for trial in 0..6 {
        let Verdict::Refuse { wait } = quarantine.verdict(now, poison) else {
            panic!("not refused after {trial} trials");
        };
        pauses.push(wait.as_secs());
        now = now + wait;
        assert!(matches!(
            quarantine.verdict(now, poison),
            Verdict::TrialDue { turn: 0, .. }
        ));
        quarantine.record_end(now, poison, &format!("j-{trial}"), true);
    }
    assert_eq!(pauses, [30, 120, 480, 1_800, 1_800, 1_800]);
}

#[test]
fn threads_that_share_a_quarantine_count_each_target_once() {
    let (poison, now) = (request("/poison"), Time::from_millis(1_000));
    let shared = Arc::new(Mutex::new(Quarantine::default()));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let shared = shared.clone();
            thread::spawn(move || {
                for _ in 0..100 {
                    let mut quarantine = shared.lock().unwrap();
                    let trial = quarantine.verdict(now, poison) == Verdict::Trial;
                    quarantine.record_end(now, poison, "i-1", trial);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(shared.lock().unwrap().verdict(now, poison), Verdict::Clear);
}

#[test]
fn memory_and_messages_are_bounded_and_the_quarantine_stays_when_many_targets_end() {
    let (poison, now) = (request("/poison"), Time::from_millis(1_000));
    let mut quarantine = refusing(now, poison);
    quarantine.take_news(now);
    for n in 0..100_000 {
        let innocent = request(&format!("/innocent/{n}"));
        quarantine.record_end(now + Duration::from_millis(n), innocent, "i-9", false);
    }
    let now = now + Duration::from_secs(10);
    assert!(refuses(&quarantine, now, poison));
    assert!(quarantine.take_news(now).len() <= MAX_REQUESTS);
    let reports = quarantine.reports(now);
    assert!(reports.len() <= MAX_REQUESTS);
    assert_eq!(reports[0].request, poison, "the most important comes first");
    let bytes = serde_json::to_vec(&reports).unwrap().len();
    assert!(bytes < 40_000, "{bytes} bytes");
    quarantine.expire(now + Duration::from_hours(2));
    assert!(quarantine.is_empty());
}

#[test]
fn a_report_with_extreme_numbers_does_no_harm() {
    let (poison, now) = (request("/poison"), Time::from_millis(1_000));
    let mut quarantine = Quarantine::default();
    for age_ms in [0, u64::MAX] {
        let report = Evidence {
            request: poison,
            round: u32::MAX,
            ended: (0..1_000).collect(),
            trials: u32::MAX,
            age_ms,
        };
        quarantine.merge(now, &report);
    }
    assert!(refuses(&quarantine, now, poison));
    quarantine.record_end(now, poison, "i-1", true);
    assert!(quarantine.reports(now)[0].ended.len() < 10);
    quarantine.record_answer(now, poison);
    assert_eq!(quarantine.verdict(now, poison), Verdict::Clear);
}

#[derive(Clone, Debug)]
enum Step {
    End {
        daemon: usize,
        target: u8,
        trial: bool,
    },
    Answer {
        daemon: usize,
    },
    Tell {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize, 0..6_u8, any::<bool>())
            .prop_map(|(daemon, target, trial)| Step::End { daemon, target, trial }),
        1 => (0..4_usize).prop_map(|daemon| Step::Answer { daemon }),
        4 => (0..4_usize, 0..4_usize).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever was lost, repeated or came in another order: once all have told each other all they
    /// know, all come to the same verdict.
    #[test]
    fn daemons_that_told_each_other_everything_agree(steps in proptest::collection::vec(step(), 1..60)) {
        let poison = request("/poison");
        let mut all = vec![Quarantine::default(); 4];
        let mut now = Time::from_millis(1_000);
        for step in steps {
            now = now + Duration::from_millis(10);
            match step {
                Step::End { daemon, target, trial } => {
                    all[daemon].record_end(now, poison, &format!("i-{target}"), trial);
                }
                Step::Answer { daemon } => {
                    all[daemon].record_answer(now, poison);
                }
                Step::Tell { from, to } => {
                    let news = all[from].take_news(now);
                    for report in &news {
                        all[to].merge(now, report);
                    }
                }
            }
        }
        now = now + NEWS_TIME;
        for quarantine in &mut all {
            quarantine.take_news(now);
        }
        for _ in 0..2 {
            for from in 0..all.len() {
                let reports = all[from].reports(now);
                for to in &mut all {
                    for report in &reports {
                        to.merge(now, report);
                    }
                }
            }
        }
        let verdicts: Vec<Verdict> = all.iter().map(|q| q.verdict(now, poison)).collect();
        prop_assert!(verdicts.iter().all(|v| *v == verdicts[0]), "{:?}", verdicts);
    }
}
