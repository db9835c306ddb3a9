//! Log of the requests that upstream doubles executed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Name of the upstream that ran it.
    pub upstream: Rc<str>,
    /// Path with query.
    pub path: String,
    /// Idempotency key, if the request had one.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Whether the upstream finished processing the request.
    pub is_finished: bool,
}

/// Executions of all upstreams that share this log, in the order in which they started. Clones
/// share the log.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog {
    records: Rc<RefCell<Records>>,
}

#[derive(Debug, Default)]
struct Records {
    executions: Vec<Execution>,
    runs_by_key: BTreeMap<String, usize>,
}

impl ExecutionLog {
    /// Returns all executions.
    #[must_use]
    pub fn all(&self) -> Vec<Execution> {
        self.records.borrow().executions.clone()
    }

    /// Returns the number of executions of each idempotency key.
    #[must_use]
    pub fn runs_by_key(&self) -> BTreeMap<String, usize> {
        self.records.borrow().runs_by_key.clone()
    }

    /// Returns the number of idempotency keys that were executed more than once.
    #[must_use]
    pub fn duplicated_key_count(&self) -> usize {
        let records = self.records.borrow();
        let duplicated = records.runs_by_key.values().filter(|runs| **runs > 1);
        duplicated.count()
    }

    /// Returns the number of executions of `key`.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> usize {
        let records = self.records.borrow();
        records.runs_by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns the number of executions, including unfinished ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.borrow().executions.len()
    }

    /// Returns whether no execution was started.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records the start of an execution and returns its index.
    pub(crate) fn start(&self, execution: Execution) -> usize {
        let mut records = self.records.borrow_mut();
        if let Some(key) = execution.key.clone() {
            *records.runs_by_key.entry(key).or_default() += 1;
        }
        records.executions.push(execution);
        records.executions.len() - 1
    }

    /// Marks the execution at `index` as finished.
    pub(crate) fn finish(&self, index: usize) {
        self.records.borrow_mut().executions[index].is_finished = true;
    }
}
