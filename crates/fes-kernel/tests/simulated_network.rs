//! Guards against a simulated network that would hide faults in simulations: virtual time that
//! goes backwards, partitions without effect, or runs that differ for the same seed.

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Decider;
use fes_kernel::DeciderComponent;
use fes_kernel::Kernel;
use fes_kernel::PathQuality;
use fes_kernel::SimulatedNetwork;
use fes_kernel::SimulationEvent;
use fes_protocol::MonoTime;

const END: MonoTime = MonoTime::from_ms(60_000);

fn lossy() -> PathQuality {
    PathQuality {
        delay_us: 1_000,
        jitter_us: 5_000,
        loss: 0.3,
        duplication: 0.2,
    }
}

fn run(seed: u64) -> Vec<(MonoTime, u32)> {
    let mut network: SimulatedNetwork<u8, u32> = SimulatedNetwork::new(seed);
    for n in 0..100 {
        network.send_datagram(1, 2, n, lossy());
    }
    let mut arrived = Vec::new();
    while let Some((_, event)) = network.advance_until(END) {
        if let SimulationEvent::Message { body, .. } = event {
            arrived.push((network.now(), body));
        }
    }
    arrived
}

#[test]
fn same_seed_gives_the_same_run_and_time_is_monotonic() {
    let first = run(1);

    assert_eq!(first, run(1));
    assert_ne!(first, run(2));
    assert!(first.windows(2).all(|pair| pair[0].0 <= pair[1].0));
}

#[test]
fn datagrams_are_lost_and_duplicated_but_reliable_messages_are_not() {
    let datagrams = run(1);
    let mut network: SimulatedNetwork<u8, u32> = SimulatedNetwork::new(1);
    for n in 0..100 {
        network.send_reliable(1, 2, n, lossy());
    }

    let mut reliable = 0;
    while network.advance_until(END).is_some() {
        reliable += 1;
    }

    let lost = (0..100).filter(|n| !datagrams.iter().any(|(_, body)| body == n));
    assert!(lost.count() > 10);
    assert!((0..100).any(|n| datagrams.iter().filter(|(_, body)| *body == n).count() == 2));
    assert_eq!(reliable, 100);
}

#[test]
fn blocked_direction_drops_datagrams_one_way_and_reliable_messages_both_ways() {
    let mut network: SimulatedNetwork<u8, u32> = SimulatedNetwork::new(1);
    let path = PathQuality::perfect(1_000);
    network.block(1, 2);

    network.send_datagram(1, 2, 1, path);
    network.send_datagram(2, 1, 2, path);
    network.send_reliable(1, 2, 3, path);
    network.send_reliable(2, 1, 4, path);

    let (to, event) = network.advance_until(END).unwrap();
    assert_eq!(
        (to, event),
        (1, SimulationEvent::Message { from: 2, body: 2 })
    );
    assert_eq!(network.advance_until(END), None);
}

/// Counts ticks, one every 100 ms, and returns the double of each number.
struct Doubler {
    next_tick: MonoTime,
    ticks: u32,
}

impl Decider for Doubler {
    type Event = Option<u32>;
    type Action = u32;

    fn tick() -> Option<u32> {
        None
    }

    fn decide(&mut self, now: MonoTime, event: Option<u32>) -> Vec<u32> {
        if now >= self.next_tick {
            self.next_tick = now.plus_ms(100);
            self.ticks += 1;
        }
        event.map(|number| number * 2).into_iter().collect()
    }

    fn next_deadline(&self, _now: MonoTime) -> MonoTime {
        self.next_tick
    }
}

#[derive(Debug, PartialEq)]
struct Message(u32);

impl From<u32> for Message {
    fn from(value: u32) -> Self {
        Self(value)
    }
}

impl TryFrom<Message> for Option<u32> {
    type Error = ();

    fn try_from(message: Message) -> Result<Self, ()> {
        (message.0 < 1_000).then_some(Some(message.0)).ok_or(())
    }
}

#[test]
fn decider_component_delivers_events_and_ticks() {
    // Without a timer for its next deadline, a decider would never get another tick.
    let name = ComponentName("doubler");
    let host = ComponentName("host");
    let doubler = Doubler {
        next_tick: MonoTime::ZERO,
        ticks: 0,
    };
    let component = DeciderComponent::new(name, host, doubler);
    assert_eq!(Component::<Message>::name(&component), name);
    let mut kernel: Kernel<Message> = Kernel::new();
    kernel.register(component);
    kernel.post(host, name, Message(21));
    kernel.post(host, name, Message(5_000));

    let effects = kernel.run(MonoTime::ZERO);

    assert_eq!(effects.len(), 1);
    assert_eq!((effects[0].to, &effects[0].body), (host, &Message(42)));
    for step in 1..5 {
        let due = kernel.next_deadline().expect("a timer is set");
        assert_eq!(due, MonoTime::from_ms(step * 100));
        kernel.run(due);
    }
}
