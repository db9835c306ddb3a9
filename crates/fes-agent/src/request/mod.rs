//! Request handling, from the arrival to a complete response or an explicit error.

mod body;
mod execute;
mod inbound;
mod keyed;
mod render;
mod response_sink;
mod serve;
mod table;
mod trace;

pub(crate) use body::BodyError;
pub(crate) use body::collect_body;
pub(crate) use execute::content_length;
pub(crate) use inbound::InboundRequest;
pub(crate) use inbound::ResponseEnded;
pub(crate) use inbound::request_deadline;
pub(crate) use keyed::run_keyed;
pub(crate) use render::plain_response;
pub(crate) use response_sink::Http3Sink;
pub(crate) use response_sink::ResponseSink;
pub(crate) use response_sink::SinkClosed;
pub(crate) use serve::Progress;
pub(crate) use serve::serve;
pub(crate) use table::Exchange;
pub(crate) use table::RequestStep;
pub(crate) use table::RequestTable;
pub(crate) use trace::HopSpan;
