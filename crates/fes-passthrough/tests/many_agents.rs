//! Message rate of an entry with many agents.

mod support;

use std::net::Ipv4Addr;

use fes_passthrough::EntryAction;
use fes_passthrough::EntryCore;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::TargetRecord;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::idle_report;
use support::fixtures::routes;
use support::fixtures::target;

const AGENTS: u32 = 1_000;
const TICK_MS: u64 = 20;

fn agent_vm(index: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a03_0000 | index)
}

fn record(index: u32) -> TargetRecord {
    TargetRecord {
        id: UpstreamName::from(format!("many-{index}")),
        vm: agent_vm(index),
        ..target(0, 1)
    }
}

fn report() -> Message {
    Message::Load(idle_report())
}

fn hellos(actions: &[EntryAction]) -> usize {
    let is_hello = |action: &&EntryAction| {
        matches!(
            action,
            EntryAction::Send {
                message: Message::Hello(_),
                ..
            }
        )
    };
    actions.iter().filter(is_hello).count()
}

/// Guards against a rate of hellos that grows with the number of agents: 5,000/s at 1,000 agents.
#[test]
fn hellos_per_second_are_bounded() {
    let mut now = MonoTime::from_ms(1);
    let data_centre = DataCentreName::from("a");
    let mut entry = EntryCore::new(1, entry_vm(0), data_centre, &[]);
    let mut changes: Vec<ListChange> = (0..AGENTS)
        .map(|index| ListChange::Target(record(index)))
        .collect();
    changes.push(ListChange::Routes(routes(1, SERVICE)));
    let mut out = Vec::new();
    entry.on_listing(now, changes, 1, &mut out);
    entry.on_tick(now, &mut out);
    for index in 0..AGENTS {
        entry.on_message(now, agent_vm(index), &report(), &[], &mut out);
    }

    let mut sent = 0;
    for _ in 0..8_000 / TICK_MS {
        now = now.plus_ms(TICK_MS);
        out.clear();
        entry.on_tick(now, &mut out);
        sent += hellos(&out);
    }

    // One per 4 ms, the same bound as for the agents' reports.
    assert!(sent <= 8_000 / 4, "{sent} hellos in 8 s");
    assert!(sent >= AGENTS as usize, "{sent} hellos in 8 s");
}
