//! The attempts of this process to run requests with idempotency keys, and their states.
//!
//! An attempt is sent to a minion at most once, and only after [`ClaimTable::send`] has permitted
//! it in the same step. An abandoned attempt is never sent afterwards, so other entry hosts can
//! rely on the state "abandoned". docs/AT-MOST-ONCE.md has the safety argument.

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

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptState {
    /// The request was not sent yet and may still be sent.
    Pending,
    /// The request was sent to a minion, which has not answered yet.
    Sent,
    /// The request was never sent and never will be.
    Abandoned,
    /// The minion answered.
    Done(Rc<KeptAnswer>),
    /// The minion answered, but the answer is too large to be kept.
    NotKept,
    /// The request was sent, and the outcome is unknown.
    Lost,
}

/// The result of looking up an idempotency key in this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimLookup {
    /// A new attempt may be started.
    New,
    /// The key was used with a different request.
    KeyReused,
    /// There is an attempt for the same request, `Pending`, `Sent` or ended.
    Existing(AttemptState),
}

/// The latest attempt for a key.
#[derive(Debug, Clone)]
struct Record {
    attempt: AttemptId,
    fingerprint: Fingerprint,
    state: AttemptState,
}

/// The attempts of this process by the store key of their claim.
#[derive(Debug, Default)]
pub struct ClaimTable {
    by_key: HashMap<String, Record>,
    keys: HashMap<AttemptId, String>,
    /// Attempts in the order of their start, for eviction.
    by_start: VecDeque<Started>,
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

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no attempts in the table.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Looks up the claim `key` for a request with `fingerprint`.
    pub fn look_up(&self, key: &str, fingerprint: Fingerprint) -> ClaimLookup {
        match self.by_key.get(key) {
            None => ClaimLookup::New,
            Some(record) if record.fingerprint != fingerprint => ClaimLookup::KeyReused,
            // The row of the abandoned attempt may still be in the store; the new attempt takes it
            // over.
            Some(Record { state: AttemptState::Abandoned, .. }) => ClaimLookup::New,
            Some(record) => ClaimLookup::Existing(record.state.clone()),
        }
    }

    /// Starts an attempt. Must only be called after a lookup returned [`ClaimLookup::New`].
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
        self.by_start.push_back(Started { at: now, attempt });
    }

    /// Marks a pending attempt as sent and returns whether it may be sent.
    ///
    /// Must be called immediately before the request is sent.
    pub fn send(&mut self, attempt: AttemptId) -> bool {
        match self.state_mut(attempt) {
            Some(state @ AttemptState::Pending) => {
                *state = AttemptState::Sent;
                true
            }
            _ => false,
        }
    }

    /// Marks a sent attempt as pending again, since the minion did not receive it, or refused it
    /// with the guarantee that it did not run.
    pub fn mark_unsent(&mut self, attempt: AttemptId) {
        if let Some(state @ AttemptState::Sent) = self.state_mut(attempt) {
            *state = AttemptState::Pending;
        }
    }

    /// Sets the final state of a sent attempt: `Done`, `NotKept` or `Lost`. Attempts in other states
    /// are not changed.
    pub fn finish(&mut self, attempt: AttemptId, final_state: AttemptState) {
        if let Some(state @ AttemptState::Sent) = self.state_mut(attempt) {
            *state = final_state;
        }
    }

    /// Abandons an attempt unless it was sent, and returns whether it is abandoned now.
    pub fn abandon(&mut self, attempt: AttemptId) -> bool {
        match self.state_mut(attempt) {
            Some(state @ (AttemptState::Pending | AttemptState::Abandoned)) => {
                *state = AttemptState::Abandoned;
                true
            }
            _ => false,
        }
    }

    /// Returns the state of `attempt`; `None` if it is not in the table, from which nothing follows
    /// about its outcome.
    pub fn state(&self, attempt: AttemptId) -> Option<&AttemptState> {
        let record = self.by_key.get(self.keys.get(&attempt)?)?;
        // A new attempt replaces only an abandoned one under the same key.
        match record.attempt == attempt {
            true => Some(&record.state),
            false => Some(&AttemptState::Abandoned),
        }
    }

    fn state_mut(&mut self, attempt: AttemptId) -> Option<&mut AttemptState> {
        let record = self.by_key.get_mut(self.keys.get(&attempt)?)?;
        (record.attempt == attempt).then_some(&mut record.state)
    }

    /// Removes the ended attempts that started at least `keep` before `now`.
    pub fn evict_ended(&mut self, keep: Duration, now: BootInstant) {
        while let Some(first) = self.by_start.front() {
            if now.duration_since(first.at) < keep {
                return;
            }
            let attempt = first.attempt;
            self.by_start.pop_front();
            match self.state(attempt) {
                // Still in progress: checked again after another `keep`.
                Some(AttemptState::Pending | AttemptState::Sent) => {
                    self.by_start.push_back(Started { at: now, attempt });
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
