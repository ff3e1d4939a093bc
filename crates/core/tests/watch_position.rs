//! Watches see every change of a store that gives out revisions again.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    rattanturn_core::watch_position::WatchPosition,
};

/// A step of the store or of the daemon that watches it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The watched object changes.
    Change,
    /// Another object changes, which only raises the revision.
    Other,
    /// The store comes back without its last changes, up to this number.
    Restore(u64),
    /// The daemon's watch is answered.
    Watch,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Change),
        Just(Step::Other),
        (1..5_u64).prop_map(Step::Restore),
        Just(Step::Watch),
    ]
}

/// A store with one watched object, of which it keeps all versions by revision.
#[derive(Default)]
struct Store {
    at: WatchPosition,
    versions: Vec<(u64, u64)>,
    written: u64,
}

impl Store {
    fn newest(&self) -> Option<u64> {
        self.versions.last().map(|v| v.1)
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Change => {
                self.at.revision += 1;
                self.written += 1;
                self.versions.push((self.at.revision, self.written));
            }
            Step::Other => self.at.revision += 1,
            Step::Restore(lost) => {
                self.at.revision = self.at.revision.saturating_sub(lost);
                self.at.era += 1;
                self.versions.retain(|v| v.0 <= self.at.revision);
            }
            Step::Watch => {}
        }
    }
}

/// A daemon that lists while it has no position and watches otherwise.
#[derive(Default)]
struct Watcher {
    position: Option<WatchPosition>,
    known: Option<u64>,
}

impl Watcher {
    fn poll(&mut self, store: &Store) {
        let Some(position) = self.position else {
            self.position = Some(store.at);
            self.known = self.known.max(store.newest());
            return;
        };
        if position.revision > store.at.revision {
            self.position = None;
            return;
        }
        self.position = position.advance(store.at);
        if self.position.is_some() {
            let changes = store.versions.iter().filter(|v| v.0 > position.revision);
            self.known = self.known.max(changes.map(|v| v.1).max());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn a_watch_misses_no_change_when_revisions_are_given_out_again(
        steps in prop::collection::vec(step(), 0..40),
    ) {
        let (mut store, mut watcher) = (Store::default(), Watcher::default());
        for step in steps {
            store.apply(step);
            if let Step::Watch = step {
                watcher.poll(&store);
            }
        }
        // One answer tells that the position is void, the next one lists.
        watcher.poll(&store);
        watcher.poll(&store);
        prop_assert!(watcher.known >= store.newest(), "{:?} {:?}", watcher.known, store.newest());
    }
}
