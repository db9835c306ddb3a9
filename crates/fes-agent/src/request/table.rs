//! Requests that aren't ended, by their ID.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use fes_idempotency::FlowId;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use http::Response;
use http::request::Parts;
use tokio::sync::mpsc;

use super::HopSpan;
use crate::decisions::RequestEffect;

/// What the task of a request does next.
#[derive(Debug)]
pub(crate) enum RequestStep {
    /// Carries out a decision.
    Effect(RequestEffect),
    /// Passes on a response that is too large to be held.
    Stream {
        head: Response<()>,
        /// Ends without an error only if the response is complete.
        chunks: mpsc::Receiver<Result<Bytes, ()>>,
    },
}

/// What is needed to run a request.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) parts: Rc<Parts>,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) flow: FlowId,
    pub(crate) is_keyed: bool,
    pub(crate) span: Rc<HopSpan>,
    pub(crate) steps: mpsc::UnboundedSender<RequestStep>,
}

/// All requests that aren't ended.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    next_id: Cell<u64>,
    exchanges: RefCell<FastMap<RequestId, Exchange>>,
}

impl RequestTable {
    pub(crate) fn next_id(&self) -> RequestId {
        self.next_id.set(self.next_id.get() + 1);
        RequestId(self.next_id.get())
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

    /// Passes a step to the request's task, if it still waits.
    pub(crate) fn send(&self, id: RequestId, step: RequestStep) {
        if let Some(exchange) = self.exchanges.borrow().get(&id) {
            let _ = exchange.steps.send(step);
        }
    }

    pub(crate) fn clear(&self) {
        self.exchanges.borrow_mut().clear();
    }
}
