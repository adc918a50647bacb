//! What one connection is doing, until when it may, and what it holds of the budget.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use futures::future;
use reachhead_types::{error::ErrorKind, size::ConnectionId};
use tokio::{
    sync::{Notify, SemaphorePermit},
    time::{self, Instant},
};

use super::{
    budget::{Budget, Opened},
    ledger::Phase,
};

/// Time for which a refused client may go on sending, so that the answer reaches it.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Pause after a pipelined request, during which its permit is held.
const PIPELINE_PAUSE: Duration = Duration::from_millis(20);

/// Memory of a request that is counted with its connection, in bytes; larger ones take more.
const FREE_MEMORY: u64 = 16 << 10;

/// Shortest and longest interval between two checks of a connection's time limits.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(100);
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(60);

/// Causes of closed connections, beside the kinds of refusals.
const ANSWER_NOT_TAKEN: &str = "answer-not-taken";
const CONNECTION_LIMIT: &str = "connection-limit";

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimes {
    /// From the first byte of a request head to its last one.
    pub head: Duration,
    /// Between two requests.
    pub idle: Duration,
    /// From the head to the last byte of the body.
    pub body: Duration,
    /// While the client takes nothing of an answer.
    pub write: Duration,
    /// From the end of the listener to the end of incomplete requests.
    pub shutdown: Duration,
}

impl ConnectionTimes {
    /// Returns the shortest of the limits, after which they are checked again.
    fn check_period(&self) -> Duration {
        let shortest = self.head.min(self.idle).min(self.body).min(self.write);
        shortest.clamp(MIN_CHECK_PERIOD, MAX_CHECK_PERIOD)
    }
}

impl Default for ConnectionTimes {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            idle: Duration::from_secs(10),
            body: Duration::from_secs(30),
            write: Duration::from_secs(15),
            shutdown: Duration::from_millis(300),
        }
    }
}

/// How a connection ends whose time is over or that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// It is closed without an answer, as nothing of a request has arrived or nothing is read.
    Close,
    /// The incomplete head is answered.
    Answer(ErrorKind),
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// End of the phase's time, if it is limited.
    deadline: Option<Instant>,
    /// When the deadline is checked next.
    next_check: Instant,
    /// Why the request is refused at the deadline.
    late: ErrorKind,
    /// Why the incomplete request is refused, once that is decided.
    refusal: Option<ErrorKind>,
    /// Wakes the reader of the body once the request is refused.
    reader: Option<Waker>,
    /// Begin of the time in which the client has taken nothing of an answer.
    blocked: Option<Instant>,
    /// Something was received since the last answer.
    has_read: bool,
    stopping: bool,
    /// Memory that is held beyond the free one.
    held: u64,
    /// Size of the latest answer, in bytes.
    answer: u64,
    /// A request was answered before all of it was read.
    is_unread: bool,
}

/// The account of one connection; dropping it ends the connection in the ledger.
#[derive(Debug)]
pub struct Account {
    budget: Arc<Budget>,
    id: ConnectionId,
    /// Notified when the connection is given up, or its deadline is earlier than the next check.
    signal: Arc<Notify>,
    times: ConnectionTimes,
    state: Mutex<State>,
    /// Notified when the client takes its answers again.
    unblocked: Notify,
}

impl Account {
    /// Returns the account of a connection that was opened in `budget`.
    pub fn new(budget: Arc<Budget>, opened: Opened, times: ConnectionTimes) -> Self {
        Self {
            budget,
            id: opened.id,
            signal: opened.signal,
            times,
            state: Mutex::new(State {
                phase: Phase::Idle,
                deadline: Some(Instant::now() + times.idle),
                next_check: Instant::now(),
                late: ErrorKind::TooSlow,
                refusal: None,
                reader: None,
                blocked: None,
                has_read: false,
                stopping: false,
                held: 0,
                answer: 0,
                is_unread: false,
            }),
            unblocked: Notify::new(),
        }
    }

    pub(crate) fn budget(&self) -> &Arc<Budget> {
        &self.budget
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets a phase that ends at the latest after `limit`, except for work.
    fn set_phase(&self, state: &mut State, phase: Phase, limit: Option<Duration>) {
        state.phase = phase;
        let limit = match phase {
            Phase::Work => None,
            _ if state.stopping => Some(limit.unwrap_or(Duration::MAX).min(self.times.shutdown)),
            _ => limit,
        };
        // A limit beyond the range of the clock is none.
        state.deadline = limit.and_then(|limit| Instant::now().checked_add(limit));
    }

    /// Counts and logs a request that is refused for this reason.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.budget.record_refusal(kind.as_str());
    }

    /// Records that bytes were received.
    pub fn record_read(&self) {
        let mut state = self.state();
        state.has_read = true;
        match state.phase {
            Phase::Idle => {
                self.set_phase(&mut state, Phase::Head, Some(self.times.head));
                self.budget.enter(self.id, Phase::Head);
            }
            Phase::Head | Phase::Body => self.budget.touch(self.id),
            _ => {}
        }
    }

    /// Records whether the client took a part of an answer.
    pub fn record_write(&self, is_blocked: bool) {
        let mut state = self.state();
        if is_blocked {
            if state.blocked.is_none() {
                state.blocked = Some(Instant::now());
                if matches!(state.phase, Phase::Idle | Phase::Head) {
                    self.set_phase(&mut state, Phase::Unread, None);
                    self.budget.enter(self.id, Phase::Unread);
                    self.budget.charge(self.id, state.answer);
                }
            }
        } else if state.blocked.take().is_some() {
            if state.phase == Phase::Unread {
                self.set_phase(&mut state, Phase::Idle, Some(self.times.idle));
                self.budget.release(self.id, Phase::Idle);
            }
            self.unblocked.notify_waiters();
        }
    }

    /// Begins to receive a request whose head has arrived, in at most `limit`.
    pub fn begin_request(&self, limit: Option<Duration>) {
        let limit = limit.unwrap_or(self.times.body).min(self.times.body);
        let mut state = self.state();
        state.late = ErrorKind::TooSlow;
        self.set_phase(&mut state, Phase::Body, Some(limit));
        self.budget.enter(self.id, Phase::Body);
    }

    /// Waits until the client has taken earlier answers and, for a pipelined request, until it is its turn.
    ///
    /// # Errors
    ///
    /// If the request is refused meanwhile.
    pub async fn wait_turn(&self) -> Result<Option<SemaphorePermit<'_>>, ErrorKind> {
        loop {
            let unblocked = self.unblocked.notified();
            if self.state().blocked.is_none() {
                break;
            }
            self.unless_refused(unblocked).await?;
        }
        {
            let mut state = self.state();
            if state.has_read {
                return Ok(None);
            }
            state.late = ErrorKind::Overloaded;
        }
        let permit = self.unless_refused(self.budget.pipelined.acquire()).await?;
        Ok(permit.ok())
    }

    /// Holds the permit of a pipelined request for a while.
    pub async fn end_turn(&self, permit: Option<SemaphorePermit<'_>>) {
        if let Some(permit) = permit {
            time::sleep(PIPELINE_PAUSE).await;
            drop(permit);
        }
    }

    /// Takes memory for a request of `bytes` in total.
    ///
    /// # Errors
    ///
    /// If there is no memory, or the request is refused meanwhile.
    pub async fn hold(&self, bytes: u64) -> Result<(), ErrorKind> {
        let wanted = bytes.saturating_sub(FREE_MEMORY);
        let more = wanted.saturating_sub(self.state().held);
        if more > 0 {
            self.unless_refused(self.budget.grow(self.id, more)).await??;
            self.state().held += more;
        }
        Ok(())
    }

    /// Polls `work` until it is done or the request is refused.
    pub async fn unless_refused<T>(&self, work: impl Future<Output = T>) -> Result<T, ErrorKind> {
        tokio::pin!(work);
        future::poll_fn(|context| {
            if let Poll::Ready(kind) = self.poll_refusal(context) {
                return Poll::Ready(Err(kind));
            }
            let work = work.as_mut().poll(context);
            if work.is_pending() {
                self.request_check();
            }
            work.map(Ok)
        })
        .await
    }

    /// Has the deadline checked in time if it is earlier than the next check. Most requests are whole at once
    /// and need no check.
    fn request_check(&self) {
        let mut state = self.state();
        if let Some(deadline) = state.deadline.filter(|&deadline| deadline < state.next_check) {
            state.next_check = deadline;
            self.signal.notify_one();
        }
    }

    fn poll_refusal(&self, context: &Context<'_>) -> Poll<ErrorKind> {
        let mut state = self.state();
        match state.refusal {
            Some(kind) => Poll::Ready(kind),
            None => {
                let waker = context.waker();
                if !state.reader.as_ref().is_some_and(|reader| reader.will_wake(waker)) {
                    state.reader = Some(waker.clone());
                }
                Poll::Pending
            }
        }
    }

    /// Begins to work on a whole request.
    ///
    /// # Errors
    ///
    /// If the request was refused before it was whole.
    pub fn begin_work(&self) -> Result<(), ErrorKind> {
        let mut state = self.state();
        if let Some(kind) = state.refusal {
            return Err(kind);
        }
        if self.budget.is_given_up(self.id) {
            return Err(ErrorKind::Overloaded);
        }
        self.set_phase(&mut state, Phase::Work, None);
        self.budget.enter(self.id, Phase::Work);
        Ok(())
    }

    /// Ends a request whose answer of this size is known.
    pub fn end_request(&self, answer: u64) {
        let mut state = self.state();
        (state.has_read, state.held, state.answer) = (false, 0, answer);
        let (phase, limit) = match state.blocked {
            Some(_) => (Phase::Unread, None),
            None => (Phase::Idle, Some(self.times.idle)),
        };
        self.set_phase(&mut state, phase, limit);
        self.budget.release(self.id, phase);
        if phase == Phase::Unread {
            self.budget.charge(self.id, answer);
        }
    }

    /// Returns how long incomplete requests are waited for once the listener is closed.
    pub fn shutdown_time(&self) -> Duration {
        self.times.shutdown
    }

    /// Records that a request is answered before all of it was read.
    pub fn mark_unread(&self) {
        self.state().is_unread = true;
    }

    /// Returns whether a request was answered before all of it was read.
    pub fn is_unread(&self) -> bool {
        self.state().is_unread
    }

    /// Begins to drop the rest of a request.
    pub fn begin_closing(&self) {
        let mut state = self.state();
        self.set_phase(&mut state, Phase::Closing, Some(LINGER_TIME));
        self.budget.release(self.id, Phase::Closing);
    }

    /// Shortens the time of an incomplete request, since its listener was closed.
    pub fn begin_shutdown(&self) {
        let end = Instant::now() + self.times.shutdown;
        let mut state = self.state();
        state.stopping = true;
        if state.phase != Phase::Work {
            state.deadline = Some(state.deadline.map_or(end, |deadline| deadline.min(end)));
        }
    }

    /// Waits until [`Account::handle_signal`] is to be called.
    pub async fn signal(&self) {
        self.signal.notified().await;
    }

    /// Waits until the connection is given up.
    pub(super) async fn given_up(&self) {
        while !self.budget.is_given_up(self.id) {
            self.signal().await;
        }
    }

    /// Refuses what is incomplete if the connection is given up; returns how the connection ends if it does.
    pub fn handle_signal(&self) -> Option<Expiry> {
        self.budget.is_given_up(self.id).then(|| self.refuse(ErrorKind::Overloaded)).flatten()
    }

    /// Returns when to call [`Account::expire`] next.
    pub fn next_check(&self) -> Instant {
        let mut state = self.state();
        let latest = Instant::now() + self.times.check_period();
        let write = state.blocked.and_then(|blocked| blocked.checked_add(self.times.write));
        state.next_check = [state.deadline, write].into_iter().flatten().fold(latest, Instant::min);
        state.next_check
    }

    /// Ends the connection's phase if its time is over; returns how the connection ends if it does.
    pub fn expire(&self) -> Option<Expiry> {
        let (kind, is_unread) = {
            let state = self.state();
            let now = Instant::now();
            let is_unread = state.blocked.is_some_and(|blocked| now - blocked >= self.times.write);
            if !is_unread && state.deadline.is_none_or(|deadline| now < deadline) {
                return None;
            }
            let late = if state.phase == Phase::Body { state.late } else { ErrorKind::TooSlow };
            (if state.stopping { ErrorKind::NotReady } else { late }, is_unread)
        };
        if is_unread {
            self.budget.record_refusal(ANSWER_NOT_TAKEN);
            return Some(Expiry::Close);
        }
        self.refuse(kind)
    }

    /// Refuses what is incomplete; returns how the connection ends, unless the request itself answers.
    pub fn refuse(&self, kind: ErrorKind) -> Option<Expiry> {
        let mut state = self.state();
        match state.phase {
            Phase::Work => None,
            Phase::Body => {
                state.refusal.get_or_insert(kind);
                state.deadline = None;
                if let Some(reader) = state.reader.take() {
                    reader.wake();
                }
                None
            }
            Phase::Head => {
                drop(state);
                self.record_refusal(kind);
                Some(Expiry::Answer(kind))
            }
            Phase::Unread => {
                drop(state);
                self.budget.record_refusal(ANSWER_NOT_TAKEN);
                Some(Expiry::Close)
            }
            Phase::Idle | Phase::Closing => {
                drop(state);
                // A client that is idle for as long as it may loses nothing by the end of its connection.
                if kind == ErrorKind::Overloaded {
                    self.budget.record_refusal(CONNECTION_LIMIT);
                }
                Some(Expiry::Close)
            }
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}
