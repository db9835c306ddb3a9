//! Messages with arbitrary contents, as from a faulty process or another version, between valid
//! events. None may end the process.

#[path = "support/arbitrary.rs"]
mod arbitrary;
mod support;

use fes_passthrough::AgentCore;
use fes_passthrough::EntryCore;
use fes_passthrough::ListChange;
use fes_passthrough::Sender;
use fes_passthrough::WarmUpSettings;
use fes_passthrough::decode_message;
use fes_passthrough::encode_message;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use arbitrary::Event;
use arbitrary::any_event;
use arbitrary::any_message;
use support::fixtures::SERVICE;
use support::fixtures::entry_vm;
use support::fixtures::routes;
use support::fixtures::target;

fn started_entry() -> EntryCore {
    let mut entry = EntryCore::new(1, entry_vm(0), DataCentreName::from("a"), &[entry_vm(1)]);
    entry.set_warm_up_settings(WarmUpSettings {
        overage_per_mille: u32::MAX,
        slack_per_mille: u32::MAX,
    });
    let mut changes = vec![ListChange::Routes(routes(1, SERVICE))];
    changes.extend((0..3).map(|index| ListChange::Target(target(index, 1))));
    entry.on_listing(MonoTime::ZERO, changes, 1, &mut Vec::new());
    entry
}

/// Returns a configuration with a fixed seed, so that each run tries the same cases. The number of
/// cases can be raised with `PROPTEST_CASES`.
fn repeatable() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(repeatable())]

    /// Guards against a message, or an order of messages, that ends an entry's process.
    #[test]
    fn an_entry_survives_any_messages(events in vec(any_event(Sender::Client), 1..60)) {
        let mut entry = started_entry();
        let mut now = MonoTime::from_ms(1);
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::Message(from, message, _) => {
                    entry.on_message(now, from, &message, &[1], &mut out);
                }
                Event::Packet(segment) => entry.on_client_packet(now, &segment, &[1], &mut out),
                Event::Tick(ms) => {
                    now = now.plus_ms(ms);
                    entry.on_tick(now, &mut out);
                    entry.on_slow_tick(now);
                }
            }
            out.clear();
        }
    }

    /// Guards against a message, or an order of messages, that ends an agent's process.
    #[test]
    fn an_agent_survives_any_messages(events in vec(any_event(Sender::Target), 1..60)) {
        let mut agent = AgentCore::new(MonoTime::ZERO, 1, SERVICE, false);
        let mut now = MonoTime::from_ms(1);
        let mut out = Vec::new();
        for event in events {
            match event {
                Event::Message(from, message, carried) => {
                    let carried = carried.as_ref().map(|segment| (segment, [1].as_slice()));
                    agent.on_message(now, from, &message, carried, &mut out);
                }
                Event::Packet(segment) => agent.on_target_packet(now, &segment, &mut out),
                Event::Tick(ms) => {
                    now = now.plus_ms(ms);
                    agent.on_tick(now, &mut out);
                    agent.on_slow_tick(now);
                }
            }
            out.clear();
        }
    }

    /// Guards against a damaged message that makes decoding panic or allocate without bound.
    #[test]
    fn a_damaged_message_is_decoded_or_rejected(
        message in any_message(),
        position in any::<usize>(),
        value in any::<u8>(),
        length in any::<usize>(),
    ) {
        let mut datagram = Vec::new();
        encode_message(&message, &mut datagram).expect("encodes");
        let position = position % datagram.len();
        datagram[position] = value;
        datagram.truncate(1 + length % datagram.len());

        let _ = decode_message(&datagram);
    }
}
