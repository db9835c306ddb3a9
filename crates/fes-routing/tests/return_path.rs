//! Guards against return datagrams that are still sent to a failed entry.

mod support;

use fes_protocol::EntryId;
use fes_protocol::MonoTime;
use fes_routing::ReturnEntry;
use fes_routing::ReturnPath;
use support::address;

fn entry(id: u32) -> ReturnEntry {
    ReturnEntry {
        entry: EntryId(id),
        address: address(id),
    }
}

fn chosen(path: &mut ReturnPath, now_ms: u64, client: u32) -> Option<u32> {
    path.choose(MonoTime::from_ms(now_ms), address(client))
        .map(|entry| entry.entry.0)
}

#[test]
fn burst_stays_on_the_entry_that_delivered_last() {
    let mut path = ReturnPath::new();
    path.record(MonoTime::ZERO, entry(1), address(100));
    path.record(MonoTime::ZERO, entry(2), address(100));

    let burst: Vec<_> = (0..8).map(|_| chosen(&mut path, 10, 100)).collect();

    assert_eq!(burst, vec![Some(2); 8]);
}

#[test]
fn unanswered_datagrams_move_to_other_entries() {
    let mut path = ReturnPath::new();
    path.record(MonoTime::ZERO, entry(1), address(100));
    path.record(MonoTime::ZERO, entry(2), address(100));

    let used: Vec<_> = (0..12).filter_map(|_| chosen(&mut path, 10, 100)).collect();

    assert!(used.contains(&1) && used.contains(&2));
}

#[test]
fn failed_entry_is_not_used_after_a_second_of_silence() {
    let mut path = ReturnPath::new();
    path.record(MonoTime::ZERO, entry(1), address(100));
    path.record(MonoTime::from_ms(900), entry(2), address(200));

    let before = chosen(&mut path, 999, 100);
    let after: Vec<_> = (0..20)
        .filter_map(|_| chosen(&mut path, 1_001, 100))
        .collect();

    assert_eq!(before, Some(1));
    assert!(after.iter().all(|id| *id == 2), "{after:?}");
}

#[test]
fn without_live_entries_the_latest_ones_are_used_in_rotation() {
    let mut path = ReturnPath::new();
    for id in 1..=5 {
        path.record_entry(MonoTime::from_ms(u64::from(id)), entry(id));
    }

    let mut used: Vec<_> = (0..9)
        .filter_map(|_| chosen(&mut path, 60_000, 100))
        .collect();

    used.sort_unstable();
    used.dedup();
    assert_eq!(used, vec![3, 4, 5]);
}

#[test]
fn stopped_entry_is_never_chosen() {
    let mut path = ReturnPath::new();
    path.record(MonoTime::ZERO, entry(1), address(100));
    path.record(MonoTime::ZERO, entry(2), address(100));

    path.remove(EntryId(2));

    assert_eq!(chosen(&mut path, 1, 100), Some(1));
}
