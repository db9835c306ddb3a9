//! Microkernel: components address each other by name and exchange typed messages.
//!
//! The kernel reads no clock and performs no I/O. A driver passes it messages and the current time,
//! and executes the messages that components send to names without a registered component.
//! [`KernelDriver`] does so in real time.

mod clock;
mod component;
mod decider;
mod driver;
mod kernel;
mod simulated_network;
mod timers;

pub use clock::ProcessClock;
pub use component::Component;
pub use component::ComponentName;
pub use component::Event;
pub use component::Outbox;
pub use component::TimerToken;
pub use decider::Decider;
pub use decider::DeciderComponent;
pub use driver::KernelDriver;
pub use kernel::Effect;
pub use kernel::Kernel;
pub use simulated_network::PathQuality;
pub use simulated_network::SimulatedNetwork;
pub use simulated_network::SimulationEvent;
