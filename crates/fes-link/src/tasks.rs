//! Tasks that end with their owner.

use std::cell::RefCell;
use std::future::Future;

use tokio::task::JoinHandle;

/// Tasks on the current arbiter that are aborted when this is dropped.
#[derive(Debug, Default)]
pub struct Tasks {
    handles: RefCell<Vec<JoinHandle<()>>>,
}

impl Tasks {
    /// Starts a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut handles = self.handles.borrow_mut();
        handles.retain(|handle| !handle.is_finished());
        handles.push(actix_rt::spawn(task));
    }

    /// Aborts all tasks.
    pub fn abort(&self) {
        for handle in self.handles.borrow_mut().drain(..) {
            handle.abort();
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.abort();
    }
}
