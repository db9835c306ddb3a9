//! Guards against published example tickets that the program refuses, or that differ from their
//! description.

use std::path::Path;
use std::sync::Arc;

use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_tickets::ServiceChangeKind;
use fes_tickets::TicketFormat;
use fes_tickets::TicketStore;
use fes_tickets::UpstreamChangeKind;
use fes_tickets::diff_ticket;
use fes_tickets::parse_ticket;
use rstest::rstest;

fn example(name: &str) -> Arc<Ticket> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/examples")
        .join(name);
    let text = std::fs::read_to_string(&path).expect("the example is readable");
    let format = TicketFormat::from_file_name(name).expect("the extension is known");
    Arc::new(parse_ticket(&text, format).expect("the example has no faults"))
}

#[test]
fn every_example_on_the_page_is_valid() {
    let page = include_str!("../../../docs/tickets.md");

    let names = page.split("(examples/").skip(1);
    let names: Vec<&str> = names.filter_map(|rest| rest.split(')').next()).collect();

    assert_eq!(names.len(), 4);
    for name in names {
        example(name);
    }
}

#[rstest]
#[case("staveworks.json", [(1, 7, 4), (2, 3, 4)])]
#[case("al-mafraq.toml", [(11, 7, 2), (12, 3, 2)])]
fn a_deployment_has_the_size_of_the_design(
    #[case] name: &str,
    #[case] services: [(u32, usize, u32); 2],
) {
    let mut store = TicketStore::new();

    store.apply(example(name));

    for (id, targets, slots) in services {
        let service = store
            .state()
            .service(ServiceId(id))
            .expect("the service is in force");
        assert_eq!(service.value.upstreams.len(), targets);
        assert!(service.value.upstreams.iter().all(|u| u.slots == slots));
    }
    assert_eq!(store.state().fleets().count(), 3);
}

#[test]
fn a_leaving_upstream_moves_little_more_than_its_share() {
    // A table that is not built by consistent hashing would move most of the placement.
    let mut store = TicketStore::new();
    store.apply(example("staveworks.json"));

    let diff = diff_ticket(&store, &example("staveworks-upstream-leaving.json"));

    let service = &diff.services[0];
    let leaving = service
        .upstreams
        .iter()
        .find(|u| u.target == TargetId(103))
        .unwrap();
    assert_eq!(service.kind, ServiceChangeKind::Changed);
    assert_eq!(leaving.kind, UpstreamChangeKind::StartsLeaving);
    assert!(
        leaving.share_before > 0.1 && leaving.share_after == 0.0,
        "{diff}"
    );
    assert!(service.moved_share >= leaving.share_before - 0.01, "{diff}");
    assert!(service.moved_share < leaving.share_before + 0.15, "{diff}");
    println!("{diff}");
}

#[test]
fn a_stale_ticket_changes_nothing_and_is_reported() {
    let mut store = TicketStore::new();
    store.apply(example("staveworks-upstream-leaving.json"));
    let mut stale = Ticket::clone(&example("staveworks-upstream-leaving.json"));
    stale.number = 7.into();

    let diff = diff_ticket(&store, &Arc::new(stale));

    assert!(diff.is_empty());
    assert_eq!(diff.reports.len(), 1);
}
