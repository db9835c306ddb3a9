//! Drives a kernel in real time on an actix-rt arbiter.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use fes_protocol::MonoTime;
use tokio::sync::Notify;

use crate::ComponentName;
use crate::Effect;
use crate::Kernel;
use crate::ProcessClock;
use crate::TimerToken;

/// Longest sleep between two checks of the timers, in milliseconds. Prevents a deadline in the far
/// future, such as [`MonoTime::NEVER`], from overflowing the runtime's clock.
const MAX_SLEEP_MS: u64 = 3_600_000;

type Inbox<M> = VecDeque<(ComponentName, ComponentName, M)>;

type EffectHandler<M> = Box<dyn Fn(Effect<M>)>;

/// A kernel that runs in real time. Clones share the kernel.
pub struct KernelDriver<M> {
    inner: Rc<Inner<M>>,
}

struct Inner<M> {
    kernel: RefCell<Kernel<M>>,
    inbox: RefCell<Inbox<M>>,
    effect_handler: RefCell<Option<EffectHandler<M>>>,
    clock: ProcessClock,
    is_running: Cell<bool>,
    timers_changed: Notify,
}

impl<M> Clone for KernelDriver<M> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<M> std::fmt::Debug for KernelDriver<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KernelDriver").finish_non_exhaustive()
    }
}

impl<M: 'static> KernelDriver<M> {
    /// Creates a driver. Effects are dropped until [`Self::on_effect`] is called.
    #[must_use]
    pub fn new(kernel: Kernel<M>, clock: ProcessClock) -> Self {
        Self {
            inner: Rc::new(Inner {
                kernel: RefCell::new(kernel),
                inbox: RefCell::default(),
                effect_handler: RefCell::default(),
                clock,
                is_running: Cell::new(false),
                timers_changed: Notify::new(),
            }),
        }
    }

    /// Sets the handler that executes effects. The handler may post further messages, but must not
    /// replace itself.
    pub fn on_effect(&self, handler: impl Fn(Effect<M>) + 'static) {
        *self.inner.effect_handler.borrow_mut() = Some(Box::new(handler));
    }

    /// Removes the effect handler at shutdown, to break the reference cycle between handler and
    /// driver. Does nothing when called from the handler itself.
    pub fn clear_effect_handler(&self) {
        if !self.inner.is_running.get() {
            *self.inner.effect_handler.borrow_mut() = None;
        }
    }

    /// Returns the process's clock.
    #[must_use]
    pub fn clock(&self) -> ProcessClock {
        self.inner.clock
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.inner.clock.now()
    }

    /// Sends a message and runs the kernel until it is idle. Within an effect handler, the message
    /// is queued and delivered after the handler returns.
    pub fn post(&self, from: ComponentName, to: ComponentName, body: M) {
        self.inner.inbox.borrow_mut().push_back((from, to, body));
        self.run_until_idle();
    }

    /// Sets a timer on behalf of a component.
    pub fn set_timer(&self, deadline: MonoTime, owner: ComponentName, token: TimerToken) {
        self.inner
            .kernel
            .borrow_mut()
            .set_timer(deadline, owner, token);
        self.inner.timers_changed.notify_one();
    }

    /// Fires timers as they become due; never returns.
    pub async fn run_timers(&self) {
        loop {
            let latest = self.now().plus_ms(MAX_SLEEP_MS);
            let next = self.inner.kernel.borrow().next_deadline();
            let wake_at = self.inner.clock.instant(next.unwrap_or(latest).min(latest));
            tokio::select! {
                () = tokio::time::sleep_until(wake_at.into()) => self.run_until_idle(),
                () = self.inner.timers_changed.notified() => {}
            }
        }
    }

    fn run_until_idle(&self) {
        // An effect handler that posts a message gets here; the outer call delivers it.
        if self.inner.is_running.replace(true) {
            return;
        }
        loop {
            let effects = self.run_kernel();
            if effects.is_empty() && self.inner.inbox.borrow().is_empty() {
                break;
            }
            let handler = self.inner.effect_handler.borrow();
            for effect in effects {
                if let Some(handler) = handler.as_deref() {
                    handler(effect);
                }
            }
        }
        self.inner.is_running.set(false);
        self.inner.timers_changed.notify_one();
    }

    fn run_kernel(&self) -> Vec<Effect<M>> {
        let mut kernel = self.inner.kernel.borrow_mut();
        for (from, to, body) in self.inner.inbox.borrow_mut().drain(..) {
            kernel.post(from, to, body);
        }
        kernel.run(self.inner.clock.now())
    }
}
