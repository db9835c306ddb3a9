//! Containment of panics in the handling of events.

use std::cell::RefCell;

use fes_passthrough_node::contain;

/// Guards against a process that handles no further datagrams after one that made a handler panic,
/// and against a state that stays borrowed.
#[test]
fn events_after_a_panic_are_handled() {
    let handled = RefCell::new(Vec::new());
    let handle = |event: &str| {
        let mut handled = handled.borrow_mut();
        assert_ne!(event, "unexpected");
        handled.push(event.to_owned());
    };

    let results = ["first", "unexpected", "last"].map(|event| contain(event, || handle(event)));

    assert_eq!(results, [true, false, true]);
    assert_eq!(*handled.borrow(), ["first", "last"]);
}
