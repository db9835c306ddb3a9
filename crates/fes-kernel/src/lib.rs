//! Micro-kernel: components find each other by name and exchange typed messages.
//!
//! The kernel has no clock and no socket. A driver delivers messages and time, and carries out
//! what components send to names that the kernel doesn't host. [`KernelDriver`] does so in real
//! time.

mod clock;
mod component;
mod driver;
mod hosted;
mod kernel;
mod timers;
mod virtual_network;

pub use clock::ProcessClock;
pub use component::Component;
pub use component::ComponentName;
pub use component::Event;
pub use component::Outbox;
pub use component::TimerToken;
pub use driver::KernelDriver;
pub use hosted::Decider;
pub use hosted::Hosted;
pub use kernel::Effect;
pub use kernel::Kernel;
pub use virtual_network::Arrival;
pub use virtual_network::PathQuality;
pub use virtual_network::VirtualNetwork;
