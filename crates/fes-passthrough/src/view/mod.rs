//! View of routes, targets and evacuations, which follows the platform's list, and its exchange
//! between entries.

mod evacuations;
mod fleet_view;
mod gossip;
mod parts;
mod reader_table;
mod target_order;

pub use evacuations::Evacuations;
pub use fleet_view::FleetView;
pub use fleet_view::ListChange;
pub use fleet_view::ViewEvent;
pub use gossip::ViewGossip;
pub use gossip::ViewUpdate;
pub(crate) use gossip::since_start;
pub use reader_table::ReaderTable;
pub use reader_table::retry_delay_ms;
