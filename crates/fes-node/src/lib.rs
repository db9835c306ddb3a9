//! Code shared by the entry and agent daemons: components for ticket distribution and lifecycle,
//! signals and command line arguments.

mod arguments;
mod clock_watch;
mod host_message;
mod lifecycle_component;
mod platform_reader;
mod signals;
mod ticket_host;
mod ticket_links;
mod tickets_component;

pub use arguments::daemon_command;
pub use arguments::settings_path;
pub use clock_watch::watch_clock;
pub use host_message::HOST;
pub use host_message::HostMessage;
pub use host_message::LIFECYCLE;
pub use host_message::TICKETS;
pub use lifecycle_component::LifecycleComponent;
pub use signals::StopSignals;
pub use ticket_host::TicketHost;
pub use ticket_host::TicketNotification;
pub use ticket_links::TICKETS_KIND;
pub use ticket_links::TicketLinks;
pub use tickets_component::TicketsComponent;
