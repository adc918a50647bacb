//! Tells every connection of one thread to end, at no cost for each of its requests.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    task::{Context, Waker},
};

/// Told once; listeners are woken then.
#[derive(Debug, Default)]
pub struct Stop {
    is_stopped: Cell<bool>,
    next: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
}

/// One connection that listens; it must be asked from one task only.
pub struct Listener<'s> {
    stop: &'s Stop,
    number: u64,
    is_known: bool,
    is_told: bool,
}

impl Stop {
    /// Tells every listener to stop.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        for waker in self.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Returns a new listener.
    pub fn listen(&self) -> Listener<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        Listener { stop: self, number, is_known: false, is_told: false }
    }
}

impl Listener<'_> {
    /// Tells once that it is time to stop; until then the task of `context` will be woken for it.
    pub fn is_stopped(&mut self, context: &Context<'_>) -> bool {
        if !self.is_known {
            self.is_known = true;
            self.stop.wakers.borrow_mut().insert(self.number, context.waker().clone());
        }
        let is_news = self.stop.is_stopped.get() && !self.is_told;
        self.is_told |= is_news;
        is_news
    }
}

impl Drop for Listener<'_> {
    fn drop(&mut self) {
        self.stop.wakers.borrow_mut().remove(&self.number);
    }
}
