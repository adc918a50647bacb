//! Paces the calls of a process to the service that approves placements.
//!
//! The service decides the calls of a process one after the other, also those that the process has
//! given up. So few calls are under way at a time, a call counts until its answer, and pools take
//! turns: see [docs/design/advice-queue.md](../../docs/design/advice-queue.md).

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use reachhead_types::{id::PoolName, size::Millis};
use serde::Serialize;

use crate::clock::Tick;

/// Maximum number of calls under way while the service answers in time: one that is decided, and one
/// that waits, so that the service is not idle while an answer travels.
const MAX_CALLS: usize = 2;

/// Maximum number of calls without an answer, overdue ones included; well below the service's own
/// limit, which all pools of the process share.
const MAX_UNANSWERED: usize = 8;

/// Time after which a call is overdue, in multiples of the time in which it and those ahead of it
/// should be decided.
const PATIENCE_FACTOR: u64 = 4;

/// The same for calls that cost next to nothing.
const MIN_PATIENCE: Millis = Millis(1000);

/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Millis = Millis(200);

/// Longest pause between two calls to a service that fails.
const MAX_PAUSE: Millis = Millis(5000);

/// Longest time for which an answer is awaited.
const MAX_WAIT: Millis = Millis(60_000);

/// How long a pool that has no call keeps its turn without asking for it again.
const TURN_EXPIRY: Millis = Millis(300);

/// How long it is remembered when a pool was served last.
const POOL_MEMORY: Millis = Millis(60_000);

/// What a call to the service costs, and for how long its answer is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTerms {
    /// Time that the service takes for the call.
    pub cost: Millis,
    /// Validity of the tickets, from when the call is sent.
    pub validity: Millis,
}

impl CallTerms {
    /// Returns how long an answer is awaited. A late answer is still used; one whose tickets have
    /// expired is not.
    pub fn wait_limit(self) -> Millis {
        self.validity.clamp(MIN_PATIENCE, MAX_WAIT)
    }
}

/// The calls that a pool may send in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceBudget {
    calls: usize,
    /// Time that calls of the process that are under way still take; `None` if there are none.
    ahead: Option<Millis>,
    paused: bool,
}

impl AdviceBudget {
    /// Returns a budget that no round exceeds.
    pub const fn unlimited() -> Self {
        Self { calls: usize::MAX, ahead: None, paused: false }
    }

    /// Returns whether another call may be sent.
    pub fn has_room(self) -> bool {
        self.calls > 0
    }

    /// Returns whether a call with these terms may be sent now. If it had to wait for so long that
    /// half of its tickets' validity passes, it is sent later.
    pub fn allows(self, terms: CallTerms) -> bool {
        let is_useful =
            |ahead: Millis| ahead.0.saturating_add(terms.cost.0) <= terms.validity.0 / 2;
        self.has_room() && self.ahead.is_none_or(is_useful)
    }

    /// Records a call.
    pub fn take(&mut self, terms: CallTerms) {
        if self.calls != usize::MAX {
            self.calls -= 1;
            self.ahead =
                Some(Millis(self.ahead.unwrap_or_default().0.saturating_add(terms.cost.0)));
        }
    }

    /// Returns whether calls pause since the service fails or does not answer.
    pub fn is_paused(self) -> bool {
        self.paused
    }
}

/// A call of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl Display for CallId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What came of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The service answered, possibly late.
    Answered,
    /// The service rejected the call since too many wait.
    Busy,
    /// The service did not take the call or failed.
    Failed,
    /// No answer arrived while it would have been of use.
    Lost,
}

impl CallOutcome {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Busy => "busy",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// The state of the calls, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct PacerStatus {
    /// Calls without an answer.
    pub unanswered: usize,
    /// Those of them that should have been answered.
    pub overdue: usize,
    /// Failures since the last answer.
    pub failures: u32,
    /// Remaining pause.
    #[serde(rename = "pause_ms")]
    pub pause: Millis,
}

impl Display for PacerStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { unanswered, overdue, failures, pause } = self;
        write!(f, "unanswered={unanswered} overdue={overdue} failures={failures} pause={pause}ms")
    }
}

#[derive(Debug, Clone, Copy)]
struct Call {
    /// When it should be decided.
    due: Tick,
    /// When it counts as overdue.
    overdue_at: Tick,
    /// When it counts no more, in case its end was never recorded.
    expires_at: Tick,
    is_overdue: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct PoolTurn {
    /// When the pool last had a call to send.
    wanted_at: Option<Tick>,
    /// The pool's last call.
    served: Option<CallId>,
    seen_at: Tick,
}

/// The calls of a process, shared by the pools that it owns.
#[derive(Debug, Clone, Default)]
pub struct AdvicePacer {
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    turns: BTreeMap<PoolName, PoolTurn>,
    failures: u32,
    paused_until: Tick,
}

impl AdvicePacer {
    /// Returns a pacer without calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what a pool may send at `now`.
    pub fn budget(&self, pool: &PoolName, now: Tick) -> AdviceBudget {
        let paused = self.paused_until > now;
        let overdue = self.overdue_calls();
        let most = if overdue > 0 { 1 } else { MAX_CALLS };
        let free = most
            .saturating_sub(self.calls.len() - overdue)
            .min(MAX_UNANSWERED.saturating_sub(self.calls.len()));
        let calls = if paused || !self.is_next(pool, now) { 0 } else { free };
        let due = self.calls.values().map(|call| call.due).max();
        AdviceBudget { calls, ahead: due.map(|due| due.since(now)), paused }
    }

    fn overdue_calls(&self) -> usize {
        self.calls.values().filter(|call| call.is_overdue).count()
    }

    /// Returns whether no other pool that has a call to send was served before this one was.
    fn is_next(&self, pool: &PoolName, now: Tick) -> bool {
        let own = (self.turns.get(pool).and_then(|turn| turn.served), pool);
        self.turns.iter().all(|(other, turn)| {
            let waits = turn.wanted_at.is_some_and(|at| now.since(at) < TURN_EXPIRY);
            !waits || (turn.served, other) >= own
        })
    }

    /// Records whether a pool has more calls to send after its round.
    pub fn record_turn(&mut self, pool: &PoolName, waits: bool, now: Tick) {
        self.turns.retain(|_, turn| now.since(turn.seen_at) < POOL_MEMORY);
        if !waits && !self.turns.contains_key(pool) {
            return;
        }
        let turn = self.turns.entry(pool.clone()).or_default();
        turn.wanted_at = waits.then_some(now);
        turn.seen_at = now;
    }

    /// Records a call of a pool.
    pub fn begin(&mut self, pool: &PoolName, terms: CallTerms, now: Tick) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let last = self.calls.values().map(|call| call.due).max().unwrap_or_default();
        let due = last.max(now) + terms.cost;
        let patience = due.since(now).0.saturating_mul(PATIENCE_FACTOR).max(MIN_PATIENCE.0);
        let overdue_at = now + Millis(patience);
        let call = Call { due, overdue_at, expires_at: overdue_at + MAX_WAIT, is_overdue: false };
        self.calls.insert(id, call);
        let turn = self.turns.entry(pool.clone()).or_default();
        turn.served = Some(id);
        turn.seen_at = now;
        id
    }

    /// Records what came of a call.
    pub fn end(&mut self, call: CallId, outcome: CallOutcome, now: Tick) {
        self.calls.remove(&call);
        if outcome == CallOutcome::Answered {
            self.failures = 0;
            self.paused_until = now;
        } else {
            self.pause(now);
        }
    }

    /// Pauses the calls if some have become overdue; returns whether that is so.
    pub fn check_overdue(&mut self, now: Tick) -> bool {
        self.calls.retain(|_, call| call.expires_at > now);
        let mut found = false;
        for call in self.calls.values_mut() {
            found |= !call.is_overdue && call.overdue_at <= now;
            call.is_overdue |= call.overdue_at <= now;
        }
        if found {
            self.pause(now);
        }
        found
    }

    fn pause(&mut self, now: Tick) {
        let pause = FIRST_PAUSE.0.checked_shl(self.failures).unwrap_or(MAX_PAUSE.0);
        self.failures = (self.failures + 1).min(u64::BITS / 2);
        self.paused_until = self.paused_until.max(now + Millis(pause.min(MAX_PAUSE.0)));
    }

    /// Returns the state of the calls.
    pub fn status(&self, now: Tick) -> PacerStatus {
        PacerStatus {
            unanswered: self.calls.len(),
            overdue: self.overdue_calls(),
            failures: self.failures,
            pause: self.paused_until.since(now),
        }
    }
}
