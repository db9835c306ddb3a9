//! Table of open requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use fes_idempotency::InboundStreamId;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use http::Response;
use http::request::Parts;
use tokio::sync::mpsc;

use super::HopSpan;
use crate::decisions::RequestEffect;

/// Next step of a request's task.
#[derive(Debug)]
pub(crate) enum RequestStep {
    /// Execute an effect.
    Effect(RequestEffect),
    /// Stream a response that is too large to be stored.
    Stream {
        head: Response<()>,
        /// Ends with `Err(())` if the response is truncated.
        chunks: mpsc::Receiver<Result<Bytes, ()>>,
    },
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) parts: Rc<Parts>,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) inbound_stream: InboundStreamId,
    /// Whether the request has an idempotency key, which makes it non-repeatable.
    pub(crate) is_keyed: bool,
    pub(crate) span: Rc<HopSpan>,
    pub(crate) steps: mpsc::UnboundedSender<RequestStep>,
}

/// Open requests by ID.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    last_id: Cell<u64>,
    exchanges: RefCell<FastMap<RequestId, Exchange>>,
}

impl RequestTable {
    /// Returns an unused request ID.
    pub(crate) fn next_id(&self) -> RequestId {
        self.last_id.set(self.last_id.get() + 1);
        RequestId(self.last_id.get())
    }

    pub(crate) fn insert(&self, id: RequestId, exchange: Exchange) {
        self.exchanges.borrow_mut().insert(id, exchange);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Exchange> {
        self.exchanges.borrow().get(&id).cloned()
    }

    pub(crate) fn remove(&self, id: RequestId) {
        self.exchanges.borrow_mut().remove(&id);
    }

    /// Sends a step to the request's task, if the request is still open.
    pub(crate) fn send(&self, id: RequestId, step: RequestStep) {
        if let Some(exchange) = self.exchanges.borrow().get(&id) {
            let _ = exchange.steps.send(step);
        }
    }

    pub(crate) fn clear(&self) {
        self.exchanges.borrow_mut().clear();
    }
}
