//! Tasks that are aborted with their owner.

use std::cell::RefCell;
use std::future::Future;

use tokio::task::JoinSet;

/// Tasks on the current arbiter that are aborted when this is dropped.
#[derive(Debug, Default)]
pub struct TaskSet {
    set: RefCell<JoinSet<()>>,
}

impl TaskSet {
    /// Starts a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut set = self.set.borrow_mut();
        // Finished tasks stay in the set until they are joined.
        while set.try_join_next().is_some() {}
        set.spawn_local(task);
    }

    /// Aborts all tasks.
    pub fn abort(&self) {
        self.set.borrow_mut().abort_all();
    }
}
