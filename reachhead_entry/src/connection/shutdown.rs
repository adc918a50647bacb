//! Notifies all connections of one thread of a shutdown, without any cost per request.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    task::{Context, Waker},
};

/// Sends a one-time shutdown notification to its listeners.
#[derive(Debug, Default)]
pub struct ShutdownNotifier {
    was_sent: Cell<bool>,
    /// The ID of the next listener.
    next: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// The subscription of one connection; it must be polled from one task only.
pub struct ShutdownListener<'s> {
    notifier: &'s ShutdownNotifier,
    id: u64,
    is_registered: bool,
    was_reported: bool,
}

impl ShutdownNotifier {
    /// Notifies and wakes all listeners.
    pub fn notify(&self) {
        self.was_sent.set(true);
        for waker in self.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Returns a new listener, which also receives a notification that was sent before.
    pub fn subscribe(&self) -> ShutdownListener<'_> {
        let id = self.next.get();
        self.next.set(id + 1);
        ShutdownListener { notifier: self, id, is_registered: false, was_reported: false }
    }
}

impl ShutdownListener<'_> {
    /// Returns true exactly once after the notification.
    ///
    /// The first call registers the task of `context`, which the notification wakes.
    pub fn is_notified(&mut self, context: &Context<'_>) -> bool {
        if !self.is_registered {
            self.is_registered = true;
            self.notifier.wakers.borrow_mut().insert(self.id, context.waker().clone());
        }
        let is_first_report = self.notifier.was_sent.get() && !self.was_reported;
        self.was_reported |= is_first_report;
        is_first_report
    }
}

impl Drop for ShutdownListener<'_> {
    fn drop(&mut self) {
        self.notifier.wakers.borrow_mut().remove(&self.id);
    }
}
