use super::LeaseState;

/// Guards against a partition that is opened again while its table is handed over: it refuses all
/// requests from then on.
#[test]
fn a_unit_is_either_opened_again_or_handed_over() {
    let lease = LeaseState::default();
    lease.close();
    assert!(lease.reopen());
    assert!(!lease.start_handover());
    lease.close();
    assert!(lease.start_handover());
    assert!(!lease.reopen());
    assert!(lease.closing());
}
