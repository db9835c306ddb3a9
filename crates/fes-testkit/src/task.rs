//! A task that is aborted when its handle is dropped.

use std::future::Future;

use tokio::task::JoinHandle;

/// Handle of a spawned task. Dropping it aborts the task.
#[derive(Debug)]
pub(crate) struct Task(JoinHandle<()>);

impl Task {
    pub(crate) fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(future))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
