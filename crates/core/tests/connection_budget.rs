//! Properties of the bound on a listener's connections.

use {
    proptest::prelude::*,
    rattanturn_core::connection_budget::{ConnectionBudget, ConnectionId},
};

/// Memory of a small VM, of which a listener's connections get a sixteenth.
const MEMORY: u64 = 128_000_000;

proptest! {
    /// Guards against connections whose bytes exceed the VM's memory, and against bytes that stay counted.
    #[test]
    fn open_connections_stay_within_their_part(
        steps in prop::collection::vec((0_u8..4, any::<prop::sample::Index>(), 0_usize..4_000_000), 1..600),
    ) {
        let mut budget = ConnectionBudget::new(MEMORY);
        let mut open: Vec<ConnectionId> = Vec::new();
        for (step, index, bytes) in steps {
            let closed = match step {
                0 if !open.is_empty() => {
                    budget.close(open.remove(index.index(open.len())));
                    Vec::new()
                }
                1 if !open.is_empty() => budget.add(open[index.index(open.len())], bytes),
                _ => {
                    let (id, closed) = budget.open();
                    open.push(id);
                    closed
                }
            };
            // They are the oldest ones.
            prop_assert_eq!(&closed[..], &open[..closed.len()]);
            open.drain(..closed.len());
            prop_assert!(budget.held() <= usize::try_from(MEMORY / 16).unwrap());
        }
        for id in open {
            budget.close(id);
        }
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against a VM that is too small for any connection, or a large one that has no bound.
#[test]
fn number_of_connections_is_bounded_both_ways() {
    for (memory, most) in [(0, 64), (1 << 27, 512), (1 << 40, 4_096)] {
        let mut budget = ConnectionBudget::new(memory);
        let closed: usize = (0..10_000).map(|_| budget.open().1.len()).sum();
        assert_eq!(closed, 10_000 - most, "{memory} bytes");
    }
}
