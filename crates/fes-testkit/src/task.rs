//! A task that ends with its owner.

use std::future::Future;

use tokio::task::JoinHandle;

/// Aborts its task when it is dropped.
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
