//! The claims of this process on idempotency keys: what each attempt may still do.
//!
//! An attempt is sent to a minion at most once, and only after [`ClaimTable::send`] said so in the
//! same step. Once it is abandoned it is never sent, so "abandoned" can be promised to others.
//! docs/AT-MOST-ONCE.md gives the whole argument.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use reachhead_types::{
    answer::KeptAnswer,
    boot_instant::BootInstant,
    id::{AttemptId, Fingerprint},
};

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState {
    /// It was not sent yet and may be.
    Pending,
    /// It was sent to a minion and has no answer yet.
    Sent,
    /// It was never sent and never will be.
    Abandoned,
    /// It ended with this answer.
    Done(Rc<KeptAnswer>),
    /// It ran, and its answer is too large to keep.
    Unkept,
    /// It was sent and its answer is lost.
    Lost,
}

/// What a new request with a key meets in this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimLookup {
    /// Nothing stands against a new attempt.
    New,
    /// The key was used with another request.
    KeyReused,
    /// An attempt for the same request, `Pending`, `Sent` or ended.
    Existing(AttemptState),
}

#[derive(Debug, Clone)]
struct Record {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    state: AttemptState,
}

/// The attempts of this process, by the store key of their claim.
#[derive(Debug, Default)]
pub struct ClaimTable {
    by_key: HashMap<String, Record>,
    keys: HashMap<AttemptId, String>,
    /// Attempts in the order of their start, for forgetting.
    order: VecDeque<Started>,
}

#[derive(Debug)]
struct Started {
    at: BootInstant,
    attempt: AttemptId,
}

impl ClaimTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Tells what a request with the claim `key` and the body `fingerprint` meets.
    pub fn look_up(&self, key: &str, fingerprint: Fingerprint) -> ClaimLookup {
        match self.by_key.get(key) {
            None => ClaimLookup::New,
            Some(record) if record.fingerprint != fingerprint => ClaimLookup::KeyReused,
            // Its row may still be in the store, where a takeover replaces it.
            Some(Record { state: AttemptState::Abandoned, .. }) => ClaimLookup::New,
            Some(record) => ClaimLookup::Existing(record.state.clone()),
        }
    }

    /// Starts an attempt; only after [`ClaimLookup::New`].
    pub fn start(
        &mut self,
        key: &str,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        now: BootInstant,
    ) {
        let record = Record { attempt, fingerprint, state: AttemptState::Pending };
        self.by_key.insert(key.to_owned(), record);
        self.keys.insert(attempt, key.to_owned());
        self.order.push_back(Started { at: now, attempt });
    }

    /// Marks the attempt as sent and tells whether it may be; to be asked right before sending.
    pub fn send(&mut self, attempt: AttemptId) -> bool {
        match self.state_mut(attempt) {
            Some(state @ AttemptState::Pending) => {
                *state = AttemptState::Sent;
                true
            }
            _ => false,
        }
    }

    /// Notes that a sent attempt did not run after all, because the minion never got it or refused
    /// it by contract; it may be sent again.
    pub fn mark_unsent(&mut self, attempt: AttemptId) {
        if let Some(state @ AttemptState::Sent) = self.state_mut(attempt) {
            *state = AttemptState::Pending;
        }
    }

    /// Ends an attempt as `Done`, `Unkept` or `Lost` if it was sent; else nothing changes.
    pub fn finish(&mut self, attempt: AttemptId, end: AttemptState) {
        if let Some(state @ AttemptState::Sent) = self.state_mut(attempt) {
            *state = end;
        }
    }

    /// Gives an attempt up if it was not sent, and tells whether it is abandoned now.
    pub fn abandon(&mut self, attempt: AttemptId) -> bool {
        match self.state_mut(attempt) {
            Some(state @ (AttemptState::Pending | AttemptState::Abandoned)) => {
                *state = AttemptState::Abandoned;
                true
            }
            _ => false,
        }
    }

    /// Returns the state of `attempt`; `None` if it is not known, which says nothing about it.
    pub fn state(&self, attempt: AttemptId) -> Option<&AttemptState> {
        let record = self.by_key.get(self.keys.get(&attempt)?)?;
        // A later attempt of this process replaces an abandoned one under the same key.
        match record.attempt == attempt {
            true => Some(&record.state),
            false => Some(&AttemptState::Abandoned),
        }
    }

    fn state_mut(&mut self, attempt: AttemptId) -> Option<&mut AttemptState> {
        let record = self.by_key.get_mut(self.keys.get(&attempt)?)?;
        (record.attempt == attempt).then_some(&mut record.state)
    }

    /// Forgets the ended attempts that started longer than `keep` before `now`.
    pub fn evict_ended(&mut self, keep: Duration, now: BootInstant) {
        while let Some(first) = self.order.front() {
            if now.duration_since(first.at) < keep {
                return;
            }
            let attempt = first.attempt;
            self.order.pop_front();
            match self.state(attempt) {
                // Still under way: looked at again later.
                Some(AttemptState::Pending | AttemptState::Sent) => {
                    self.order.push_back(Started { at: now, attempt });
                }
                _ => self.remove(attempt),
            }
        }
    }

    fn remove(&mut self, attempt: AttemptId) {
        let Some(key) = self.keys.remove(&attempt) else {
            return;
        };
        if self.by_key.get(&key).is_some_and(|record| record.attempt == attempt) {
            self.by_key.remove(&key);
        }
    }
}
