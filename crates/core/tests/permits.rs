//! Permits for connections.

use rattanturn_core::permits::Permits;

/// Guards against a newcomer that takes the permit of one that waits.
#[test]
fn a_free_permit_belongs_to_the_one_that_has_waited_longest() {
    let mut permits = Permits::new(1);
    permits.take().unwrap();
    let first = permits.take().unwrap_err();
    assert_eq!(permits.release(), [first]);
    let second = permits.take().unwrap_err();
    assert_eq!(permits.release(), [second]);
}

/// Guards against waits that go on although there is room, and permits beyond a lowered limit.
#[test]
fn a_changed_limit_holds_for_those_that_wait() {
    let mut permits = Permits::new(2);
    permits.take().unwrap();
    permits.take().unwrap();
    let waiting: Vec<_> = (0..3).map(|_| permits.take().unwrap_err()).collect();
    assert_eq!(permits.set_limit(1), []);
    assert_eq!(permits.release(), []);
    permits.cancel(waiting[0]);
    assert_eq!(permits.set_limit(3), waiting[1..]);
    assert_eq!((permits.in_use(), permits.waiting()), (3, 0));
}

/// Guards against new connections that drive out idle ones for which there is room, or exceed the limit.
#[test]
fn a_new_connection_takes_the_place_of_one_idle_connection() {
    let mut permits = Permits::new(4);
    permits.take().unwrap();
    assert_eq!(
        [0, 1, 3, 4].map(|idle| permits.kept_idle(idle)),
        [0, 0, 2, 3]
    );
    permits.take().unwrap();
    assert_eq!(permits.kept_idle(4), 2);
    assert_eq!(permits.set_limit(1), []);
    assert_eq!(permits.kept_idle(4), 0);
}
