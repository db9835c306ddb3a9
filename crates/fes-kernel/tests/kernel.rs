//! Guards against lost, reordered or misdelivered messages and timers.

use fes_kernel::Component;
use fes_kernel::ComponentName;
use fes_kernel::Effect;
use fes_kernel::Event;
use fes_kernel::Kernel;
use fes_kernel::Outbox;
use fes_kernel::TimerToken;
use fes_protocol::MonoTime;

const DOUBLER: ComponentName = ComponentName("doubler");
const DRIVER: ComponentName = ComponentName("driver");

struct Doubler;

impl Component<u64> for Doubler {
    fn name(&self) -> ComponentName {
        DOUBLER
    }

    fn handle(&mut self, now: MonoTime, event: Event<u64>, outbox: &mut Outbox<u64>) {
        match event {
            Event::Message { body, from } => {
                outbox.send(from, body * 2);
                outbox.set_timer(now.plus_ms(body), TimerToken(body));
            }
            Event::Timer(TimerToken(body)) => outbox.send(DRIVER, body),
        }
    }
}

fn effect(body: u64) -> Effect<u64> {
    Effect {
        from: DOUBLER,
        to: DRIVER,
        body,
    }
}

#[test]
fn messages_to_unknown_names_become_effects_and_timers_fire_in_order() {
    let mut kernel = Kernel::new();
    kernel.register(Doubler);
    kernel.post(DRIVER, DOUBLER, 20);
    kernel.post(DRIVER, DOUBLER, 10);

    let at_start = kernel.run(MonoTime::ZERO);
    let early = kernel.run(MonoTime::from_ms(9));
    let late = kernel.run(MonoTime::from_ms(20));

    assert_eq!(at_start, vec![effect(40), effect(20)]);
    assert_eq!(early, vec![]);
    assert_eq!(late, vec![effect(10), effect(20)]);
}
