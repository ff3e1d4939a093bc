//! How many daemons get announcements from whom, how far they travel, and what daemons that differ in
//! their targets send each other.

use {
    rattanturn_core::{
        NodeId, Time,
        buckets::BUCKETS,
        discovery::{PeerTargets, Target, TargetSet},
        dissemination::{Peer, RELAYS, reader_audience, relay_audience},
    },
    std::{collections::BTreeSet, time::Duration},
};

const CENTRES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

fn peers(count: u64, centres: usize) -> Vec<Peer<'static>> {
    let peer = |i: u64| Peer {
        id: NodeId(i),
        centre: CENTRES[usize::try_from(i).unwrap() % centres],
        alive: true,
        capacity: if i.is_multiple_of(13) { 0.5 } else { 0.12 },
    };
    (0..count).map(peer).collect()
}

/// Everyone that an announcement of `reader` reaches, without those in `dead`, and the most messages
/// that one daemon sends for it.
fn spread(all: &[Peer<'_>], reader: Peer<'_>, dead: &BTreeSet<NodeId>) -> (usize, usize) {
    let others = |me: NodeId| -> Vec<Peer<'_>> {
        let others = all.iter().filter(|p| p.id != me);
        others.copied().collect()
    };
    let first = reader_audience(reader.centre, &others(reader.id));
    let mut reached: BTreeSet<NodeId> = first.iter().copied().collect();
    let mut most = first.len();
    for relay in all
        .iter()
        .filter(|p| first.contains(&p.id) && !dead.contains(&p.id))
    {
        if relay.centre == reader.centre {
            continue;
        }
        let passed_on = relay_audience(relay.centre, &others(relay.id));
        most = most.max(passed_on.len());
        reached.extend(passed_on);
    }
    reached.remove(&reader.id);
    (reached.len(), most)
}

#[test]
fn an_announcement_reaches_every_daemon() {
    for (count, centres) in [
        (3, 3),
        (9, 4),
        (64, 4),
        (195, 5),
        (302, 5),
        (1_000, 5),
        (2_200, 9),
    ] {
        let all = peers(count, centres);
        let (reached, _) = spread(&all, all[0], &BTreeSet::new());
        assert_eq!(reached as u64, count - 1, "{count} daemons");
    }
}

/// The load of a reader must grow with a data centre and not with the deployment.
#[test]
fn nobody_sends_more_announcements_than_a_data_centre_has_daemons() {
    for (count, centres) in [(302, 5), (1_000, 5), (2_200, 9)] {
        let all = peers(count, centres);
        let (_, most) = spread(&all, all[0], &BTreeSet::new());
        let limit = usize::try_from(count).unwrap() / centres + 1 + RELAYS * (centres - 1);
        assert!(most <= limit, "{count} daemons: {most} messages");
    }
}

#[test]
fn one_dead_relay_of_each_data_centre_leaves_nobody_out() {
    let all = peers(302, 5);
    let first = reader_audience(all[0].centre, &all[1..]);
    let mut dead = BTreeSet::new();
    for centre in &CENTRES[1..5] {
        let relay = all
            .iter()
            .find(|p| p.centre == *centre && first.contains(&p.id));
        dead.insert(relay.unwrap().id);
    }
    let (reached, _) = spread(&all, all[0], &dead);
    assert_eq!(reached, 301);
}

fn target(id: usize, slots: u32) -> Target {
    Target {
        id: format!("i-{id:05}"),
        service: format!("shard-{}", id / 3),
        addr: "127.0.0.1:80".parse().unwrap(),
        centre: "a".into(),
        slots,
        leaving: false,
        version: String::new(),
        cold_left: Duration::ZERO,
        incarnation: 1,
        sequence: 1,
    }
}

/// Number of targets that `from` sends, so that `to` has the same.
fn reconcile(from: &TargetSet, to: &mut TargetSet) -> usize {
    let differing = from.digests().differing(to.digests().as_slice());
    let sent: Vec<Target> = from.in_buckets(&differing).cloned().collect();
    let count = sent.len();
    let sent = PeerTargets {
        targets: sent,
        ..PeerTargets::default()
    };
    to.adopt_buckets(Time::from_millis(9), &differing, sent);
    assert_eq!(from.digests(), to.digests());
    assert!(from.targets().eq(to.targets()));
    count
}

#[test]
fn daemons_that_differ_in_a_few_targets_send_little() {
    let now = Time::from_millis(1);
    let (mut ours, mut theirs) = (TargetSet::default(), TargetSet::default());
    for id in 0..3_000 {
        ours.upsert(now, target(id, 2));
    }
    // A daemon that knows nothing gets everything.
    assert_eq!(reconcile(&ours, &mut theirs), 3_000);
    assert_eq!(reconcile(&ours, &mut theirs), 0);
    ours.upsert(
        now,
        Target {
            sequence: 2,
            ..target(7, 9)
        },
    );
    ours.entry_removed(now, "i-02000");
    theirs.upsert(now, target(3_001, 2));
    let sent = reconcile(&ours, &mut theirs);
    // Three buckets with some 23 targets each.
    assert!(sent <= 3 * 2 * 3_000 / BUCKETS, "{sent} targets");
}

/// Two readers give the same state different revisions; only the content may count.
#[test]
fn renewals_do_not_change_the_digests() {
    let now = Time::from_millis(1);
    let (mut ours, mut theirs) = (TargetSet::default(), TargetSet::default());
    for id in 0..100 {
        ours.upsert(now, target(id, 2));
        theirs.upsert(
            now,
            Target {
                sequence: 5,
                ..target(id, 2)
            },
        );
    }
    assert_eq!(ours.digests(), theirs.digests());
}
