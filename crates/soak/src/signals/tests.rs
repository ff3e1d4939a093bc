use super::ignores_interrupt;

/// Guards against runs in the background of a shell whose daemons lose SIGINT at their start.
#[test]
fn an_interrupt_that_daemons_would_inherit_as_ignored_is_found() {
    let status = |mask| format!("Name:\tsoak\nSigBlk:\tffff\nSigIgn:\t{mask}\nSigCgt:\t07\n");
    assert!(ignores_interrupt(&status("0000000000000006")));
    assert!(!ignores_interrupt(&status("0000000000001001")));
    assert!(!ignores_interrupt("no such line"));
}
