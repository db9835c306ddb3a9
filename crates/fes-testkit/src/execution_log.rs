//! Record of everything that upstream doubles ran.

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
    /// Whether the upstream finished it and sent the complete response.
    pub is_finished: bool,
}

/// Executions of all upstreams that share this log, in the order of their starts.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog {
    executions: Rc<RefCell<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Returns all executions.
    #[must_use]
    pub fn all(&self) -> Vec<Execution> {
        self.executions.borrow().clone()
    }

    /// Returns how often each idempotency key ran.
    #[must_use]
    pub fn runs_by_key(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for execution in self.executions.borrow().iter() {
            if let Some(key) = &execution.key {
                *runs.entry(key.clone()).or_default() += 1;
            }
        }
        runs
    }

    /// Returns how many idempotency keys ran more than once.
    #[must_use]
    pub fn doubled(&self) -> usize {
        self.runs_by_key()
            .values()
            .filter(|runs| **runs > 1)
            .count()
    }

    /// Returns how often `key` ran.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> usize {
        let executions = self.executions.borrow();
        let matching = executions.iter().filter(|e| e.key.as_deref() == Some(key));
        matching.count()
    }

    /// Records a start and returns its index.
    pub(crate) fn start(&self, execution: Execution) -> usize {
        let mut executions = self.executions.borrow_mut();
        executions.push(execution);
        executions.len() - 1
    }

    /// Records that the execution at `index` finished.
    pub(crate) fn finish(&self, index: usize) {
        self.executions.borrow_mut()[index].is_finished = true;
    }
}
