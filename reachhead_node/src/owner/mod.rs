//! The owner of a pool: the event loop that feeds inputs to the scheduler and executes its actions.

mod actions;
mod advice;
mod backlog_log;
mod dispatching;
mod input;
mod job_reads;
mod job_scan;
mod outcome;
mod release;

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use reachhead_jobs::{
    clock::Tick,
    pool::{Action, Batch, Cancelled, Due, JobState, Lane, Pool},
    quota::{Allotment, UsageReport},
    start_pace::StartBudget,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Key, Row},
};
use reachhead_types::{
    id::{CustomerName, JobId},
    size::{FencingToken, Millis, Version},
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use self::{
    actions::{event_of, perform},
    backlog_log::BacklogLog,
    dispatching::Dispatching,
    job_scan::JobScan,
    release::Release,
};
pub use self::{
    input::{CancelReply, Input, OwnerHandle},
    outcome::Outcome,
    release::ReleaseRequest,
};
use crate::{dispatch::DispatchedWorkers, fleet, node::Node, peer::AcceptedJob};

/// Minimum pause between two rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(4);

/// Pause after a round in multiples of the round's duration: a round iterates over all jobs and
/// workers, and on a small host in a burst rounds would leave no time for the orders and reports
/// that they are about.
const ROUND_PAUSE_FACTOR: u32 = 3;

/// Maximum pause between two rounds while inputs wait.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for an input of an owner with jobs, after which it checks its timers.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// Longest wait for an input of an owner without jobs.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// Minimum time between two transactions that no caller waits for. The platform charges for their
/// number, and workers keep what is not recorded yet.
const MIN_RECORD_PERIOD: Millis = Millis(60);

/// Time from the end of a transaction to the next one that no caller waits for, in multiples of the
/// duration of the last one. A slow store commits one at a time in each shard, and transactions that
/// callers wait for would queue behind progress.
const RECORD_PAUSE_FACTOR: u64 = 4;

/// Pause after a failed transaction.
const RECORD_RETRY_PAUSE: Millis = Millis(150);

/// Reports a panic of a call in the background. The owner would wait for the result for ever: the
/// worker is not called again, or the shard not written.
struct CallGuard(OwnerHandle);

impl Drop for CallGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.send(Input::CallFailed);
        }
    }
}

struct PendingCancel {
    job: JobId,
    reply: oneshot::Sender<CancelReply>,
}

/// The owner of a pool.
pub struct Owner {
    node: Arc<Node>,
    workers: Arc<DispatchedWorkers>,
    dispatching: Dispatching,
    backlog_log: BacklogLog,
    pool: Pool,
    term: u64,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    pending_cancels: Vec<PendingCancel>,
    /// Jobs of which this owner was notified while the stored jobs were being read.
    early_jobs: Vec<AcceptedJob>,
    /// The lanes with a transaction in progress, and when it started.
    recording: BTreeMap<Lane, Tick>,
    /// When each lane may start its next transaction that no caller waits for.
    next_record: BTreeMap<Lane, Tick>,
    job_scan: JobScan,
    release: Option<Release>,
    lease_lost: bool,
    call_failed: bool,
    /// The version of the configuration that the pool uses.
    config_version: Option<Version>,
}

impl Owner {
    /// Returns the owner of `pool`.
    pub fn new(
        node: Arc<Node>,
        pool: Pool,
        term: u64,
        handle: OwnerHandle,
        inputs: mpsc::UnboundedReceiver<Input>,
    ) -> Self {
        let now = node.now();
        handle.pulse.record_turn(now);
        let rows = node.bulk_reads.capacity();
        let workers = node.dispatch_workers(pool.name(), FencingToken(handle.token.0));
        let dispatching = Dispatching::new(node.strength());
        Self {
            node,
            workers,
            dispatching,
            backlog_log: BacklogLog::default(),
            pool,
            term,
            handle,
            inputs,
            pending_cancels: Vec::new(),
            early_jobs: Vec::new(),
            recording: BTreeMap::new(),
            next_record: BTreeMap::new(),
            job_scan: JobScan::new(rows, now),
            release: None,
            lease_lost: false,
            call_failed: false,
            config_version: None,
        }
    }

    /// Runs until the pool is lost or released, or can't be served any more.
    pub async fn run(mut self) -> Outcome {
        let mut last = time::Instant::now();
        let mut pause = MIN_ROUND_PAUSE;
        while !self.lease_lost && !self.call_failed {
            let is_idle =
                self.pool.jobs().is_empty() && self.release.is_none() && !self.pool.is_recovering();
            let tick = if is_idle { IDLE_TICK } else { BUSY_TICK };
            if let Ok(Some(input)) = time::timeout(tick, self.inputs.recv()).await {
                self.take(input);
            }
            // A round iterates over every job and worker, so inputs that arrive close together
            // share one.
            let left = pause.saturating_sub(last.elapsed());
            if !left.is_zero() {
                time::sleep(left).await;
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.take(input);
            }
            if self.is_release_due(self.node.now()) {
                self.order_last_stops().await;
                break;
            }
            let begun = time::Instant::now();
            self.round();
            last = time::Instant::now();
            pause = (ROUND_PAUSE_FACTOR * (last - begun)).clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE);
        }
        match self.release.take() {
            _ if self.call_failed => Outcome::Failed,
            Some(release) if !self.lease_lost => self.finish_release(release).await,
            _ => Outcome::GivenUp,
        }
    }

    fn round(&mut self) {
        let node = Arc::clone(&self.node);
        let now = node.now();
        self.handle.pulse.record_turn(now);
        self.check_lease();
        self.configure(now);
        if self.lease_lost {
            return;
        }
        for action in self.poll(now) {
            self.execute(action);
        }
        for note in self.pool.take_notes() {
            emit(event_of(note.kind), format_args!("pool={} {}", self.pool.name(), note.text));
        }
        self.backlog_log.record(&node, &self.pool, now);
        self.handle.publish_unplaced(self.pool.unplaced(now));
        self.record(now);
        if self.release.is_none() {
            self.scan(now);
        }
        self.answer_cancels();
    }

    /// Returns the next orders, as many as the process's link has room for.
    fn poll(&mut self, now: Tick) -> Vec<Action> {
        let starts = self.release.is_none();
        if starts {
            self.dispatching.update(&self.node, &self.pool, &self.workers, now);
        }
        self.update_advice_budget(now);
        let mut pacer = self.node.start_pacer();
        pacer.adapt(self.node.peers.link_delay(), now);
        pacer.record_payload(self.workers.take_link_bytes());
        pacer.set_dispatchers(self.workers.strength());
        // Starts would delay the release on the link.
        let budget = if starts { pacer.budget(now) } else { StartBudget::empty() };
        self.pool.set_start_budget(budget);
        let mut poll_pacer = self.node.poll_pacer();
        self.pool.set_poll_budget(poll_pacer.budget(now));
        let actions = self.pool.poll(now, self.node.clock.wall());
        self.record_advice(now);
        poll_pacer.record(self.pool.poll_budget());
        if starts {
            pacer.record(self.pool.start_budget());
            self.dispatching.record(self.pool.round_outcome(), now);
        }
        actions
    }

    /// Checks whether the followed leases still name this owner.
    fn check_lease(&mut self) {
        let view = self.node.view();
        if let Some(lease) = view.leases.get(self.pool.name()) {
            if lease.revision > self.handle.token {
                self.lease_lost = true;
            } else if lease.revision == self.handle.token {
                self.pool.verify(view.leases_current_at);
            }
        }
    }

    /// Processes the lease row as the store had it at `asked` or later.
    fn handle_lease(
        &mut self,
        asked: Tick,
        result: Result<Vec<Option<Row>>, StoreError>,
        now: Tick,
    ) {
        let rows = result.unwrap_or_else(|error| {
            log::info!("pool={} the lease can't be confirmed: {error}", self.pool.name());
            Vec::new()
        });
        let found = rows.into_iter().flatten().next().map(|row| row.revision);
        self.lease_lost |= found.is_some_and(|revision| revision > self.handle.token);
        let is_own = found == Some(self.handle.token);
        self.pool.lease_read(is_own.then_some(asked), now);
    }

    /// Applies the configuration and the fleet lease to customers and their quotas.
    fn configure(&mut self, now: Tick) {
        let view = self.node.view();
        if let Some(config) = &view.config
            && self.config_version != Some(config.version)
        {
            self.config_version = Some(config.version);
            self.pool.configure(&config.customers);
        }
        self.pool.drain_zones(&view.drained, view.config_current_at);
        if let Some(lease) = view.leases.get(&fleet::name()) {
            self.pool.follow_ledger(FencingToken(lease.revision.0), now);
        }
    }

    /// Processes an input.
    fn take(&mut self, input: Input) {
        let now = self.node.now();
        match input {
            // Whether they have ended shows only once the stored jobs are known.
            Input::Submit(jobs) if self.pool.is_recovering() => self.early_jobs.extend(jobs),
            Input::Submit(jobs) => self.submit(jobs, now),
            Input::State(id, requester, reply) => {
                let _ = reply.send(self.pool.state_for(id, requester.as_ref()));
            }
            Input::Cancel(id, requester, reply) => self.cancel(id, requester.as_ref(), reply),
            Input::Waiting(queue, reply) => {
                let _ = reply.send(self.pool.waiting(&queue));
            }
            Input::DrainWorker(worker, mode, reply) => {
                let _ = reply.send(self.pool.drain_worker(&worker, mode, now));
            }
            Input::DrainWorkers(workers, mode, reply) => {
                let progress = |worker| self.pool.drain_worker(worker, mode, now);
                let _ = reply.send(workers.iter().map(progress).collect());
            }
            Input::Load(reply) => {
                let _ = reply.send(self.pool.load(now));
            }
            Input::Allot(allotment, reply) => self.allot(&allotment, reply, now),
            Input::WorkersEnded(workers) => {
                for ended in workers {
                    self.pool.worker_unhosted(&ended, now);
                }
            }
            Input::WorkersListed(workers) => self.pool.list(workers, now),
            Input::PollAnswered(worker, sent, outcome) => {
                if outcome.is_repeated {
                    self.pool.poll_repeated(&worker, sent, now);
                }
                self.pool.held(&worker, sent, outcome.result, now);
            }
            Input::StartAnswered(worker, task, run, result) => {
                self.pool.started(&worker, task, run, result, now);
            }
            Input::StopAnswered(worker, task, run, sent, result) => {
                self.pool.stopped(&worker, task, run, sent, result, now);
            }
            Input::PaceFailed(task, run) => self.pool.pace_failed(task, run),
            Input::AdviceReceived(step, approvals, sent) => {
                self.pool.advised(step, approvals, sent, now);
            }
            Input::Committed(batch, result) => self.handle_commit(&batch, result, now),
            Input::JobsRecovered(found) => self.recover_jobs(*found, now),
            Input::EffectKnown(effect) => self.pool.know_effect(*effect),
            Input::JobsScanned(sent, result) => self.handle_scan(sent, result, now),
            Input::JobsFound(jobs, result) => self.handle_lookup(&jobs, result, now),
            Input::LeaseRead(asked, result) => self.handle_lease(asked, result, now),
            Input::CallFailed => self.call_failed = true,
            Input::Release(request) => self.begin_release(request, now),
            // A successor would have to wait for the workers that have not answered.
            Input::Yield(_) if !self.pool.may_change_owner(now) => {}
            Input::Yield(request) => self.begin_release(request, now),
        }
    }

    /// Applies limits, once every lease is known that is older than the owner's own. If an owner
    /// and a ledger take over at the same time, one of them sees the other's lease: otherwise a
    /// ledger that has been replaced could give the new owner capacity that its successor, which
    /// has asked the old owner, gives to others.
    fn allot(&mut self, allotment: &Allotment, reply: oneshot::Sender<UsageReport>, now: Tick) {
        if self.node.view().leases_revision >= self.handle.token {
            self.configure(now);
            let _ = reply.send(self.pool.allot(allotment));
        }
    }

    fn cancel(
        &mut self,
        job: JobId,
        requester: Option<&CustomerName>,
        reply: oneshot::Sender<CancelReply>,
    ) {
        match self.pool.cancel_for(job, requester) {
            Cancelled::Foreign => {
                let _ = reply.send(CancelReply::Foreign);
            }
            Cancelled::Over => {
                let _ = reply.send(CancelReply::Ended);
            }
            Cancelled::Unknown => {
                let _ = reply.send(CancelReply::Unknown);
            }
            Cancelled::Pending => self.pending_cancels.push(PendingCancel { job, reply }),
        }
    }

    /// Answers callers of cancellations whose job is recorded as ended.
    fn answer_cancels(&mut self) {
        // Callers that gave up ask again.
        self.pending_cancels.retain(|pending| !pending.reply.is_closed());
        for index in (0..self.pending_cancels.len()).rev() {
            let job = self.pending_cancels[index].job;
            if matches!(self.pool.state(job), Some(JobState::Over(_))) {
                let pending = self.pending_cancels.swap_remove(index);
                let _ = pending.reply.send(CancelReply::Ended);
                emit(Event::JobCancelled, format_args!("pool={} job={job}", self.pool.name()));
            }
        }
    }

    /// Spawns a call whose result is an input for this owner.
    fn spawn_call(&self, call: impl Future<Output = Option<Input>> + Send + 'static) {
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let guard = CallGuard(handle);
            if let Some(input) = call.await {
                guard.0.send(input);
            }
        });
    }

    fn execute(&mut self, action: Action) {
        if action == Action::Fenced {
            // Only a newer lease gives a higher token, so another process owns the pool by now.
            self.lease_lost = true;
            return;
        }
        if let Action::Advise(step, workers, terms) = action {
            self.advise(step, workers, terms);
            return;
        }
        let node = Arc::clone(&self.node);
        let workers = Arc::clone(&self.workers);
        let pool = self.pool.name().clone();
        // The call begins later, and results of other calls may be processed before.
        let sent = node.now();
        self.spawn_call(async move { perform(&node, &workers, &pool, action, sent).await });
    }

    /// Starts transactions that are due, one at a time in each lane.
    fn record(&mut self, now: Tick) {
        for Due { lane, urgent } in self.pool.due() {
            let next = self.next_record.get(&lane).copied().unwrap_or_default();
            let is_due = match &self.release {
                Some(release) => release.has_to_record(lane),
                None => urgent || next <= now,
            };
            if self.recording.contains_key(&lane) || !is_due {
                continue;
            }
            if let Some(batch) = self.pool.batch(lane, self.node.clock.wall()) {
                if let Some(release) = &mut self.release {
                    release.record_started(lane);
                }
                self.recording.insert(lane, now);
                self.commit(batch);
            }
        }
    }

    fn commit(&self, batch: Batch) {
        let node = Arc::clone(&self.node);
        let token = self.handle.token;
        let pulse = Arc::clone(&self.handle.pulse);
        pulse.record_sent(node.now());
        self.spawn_call(async move {
            let result = node.services.store.commit(batch.txn.clone()).await;
            node.record_store_result(&result);
            if matches!(result, Ok(_) | Err(StoreError::Refused(_))) {
                pulse.record_answer();
            }
            if let Err(error) = &result {
                emit(Event::RecordFailed, format_args!("token={token} {error}"));
                // An urgent transaction must not be repeated in a tight loop.
                time::sleep(RECORD_RETRY_PAUSE.duration()).await;
            }
            Some(Input::Committed(Box::new(batch), result))
        });
    }

    fn handle_commit(&mut self, batch: &Batch, result: Result<Commit, StoreError>, now: Tick) {
        let begun = self.recording.remove(&batch.lane).unwrap_or(now);
        let min_interval = Millis(now.since(begun).0 * RECORD_PAUSE_FACTOR).max(MIN_RECORD_PERIOD);
        self.next_record.insert(batch.lane, now + min_interval);
        if let Some(release) = &mut self.release
            && !matches!(result, Ok(Commit::Done(_)))
        {
            release.record_failed(batch.lane);
        }
        let commit = match result {
            Ok(commit) => commit,
            Err(StoreError::Refused(_)) => {
                self.node.metrics.store_refusals.inc();
                self.pool.rejected(batch, now);
                return;
            }
            Err(_) => return,
        };
        if !self.pool.decided(batch, &commit, now) {
            self.lease_lost = true;
        } else if matches!(commit, Commit::Done(_)) {
            // The host may have been suspended between the store's answer and now.
            self.pool.verify(begun);
            self.handle.pulse.record_commit(now);
        }
    }
}

/// Returns the job that a row belongs to.
pub fn id_of(key: &Key) -> Option<JobId> {
    key.0.rsplit('/').next()?.parse().ok()
}

#[cfg(test)]
#[path = "tests.rs"]
pub(crate) mod tests;
