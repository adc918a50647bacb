//! The owner of a pool: its event loop.

mod actions;
mod input;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use reachhead_jobs::{
    clock::Tick,
    pool::{Action, Batch, Cancelled, DeathEvidence, Due, JobState, Lane, Pool},
    quota::{Allotment, UsageReport},
    record::{JobRecord, LeaseRecord, job_prefix, lease_key, value},
    shard::Shard,
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::{
    StoreError,
    row::{Commit, Key, Scan, Txn},
};
use reachhead_types::{
    id::{CustomerName, JobId},
    size::{FencingToken, Millis, Version},
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use self::actions::{event_of, perform};
pub use self::input::{CancelReply, Input, OwnerHandle};
use crate::{fleet, node::Node, peer::Submitted};

/// Least time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(4);

/// How long an owner does other things after a round, in multiples of the round: it looks at all jobs and workers, and on a
/// small host in a burst rounds would leave no time for the orders and reports that they are about.
const ROUND_SPACING: u32 = 3;

/// Longest pause between two rounds while inputs wait.
const ROUND_PAUSE_MOST: Duration = Duration::from_millis(25);

/// How often an owner with jobs looks at its timers when nothing else happens.
const BUSY_TICK: Duration = Duration::from_millis(50);

/// How often an owner without jobs looks at its timers.
const IDLE_TICK: Duration = Duration::from_millis(200);

/// Least time between two transactions that no caller waits for; their number is priced, and
/// workers keep what is not recorded yet.
const RECORD_PERIOD: Millis = Millis(60);

/// How long after a transaction the next may begin that no caller waits for, in multiples of what the last one took. A slow
/// store carries out one at a time in each part, and those for which callers wait would stand behind progress.
const RECORD_SPACING: u64 = 4;

/// Pause after a transaction that failed.
const RECORD_PAUSE: Millis = Millis(150);

/// How often the stored jobs of one part are read, for those of which the owner was not told: it may be cut
/// off from its peers alone. All parts are read within two seconds.
const SCAN_PERIOD: Millis = Millis(450);

/// How long an owner that gives its pool back waits for its last transaction.
const RELEASE_TIME: Duration = Duration::from_millis(800);

struct Canceller {
    job: JobId,
    reply: oneshot::Sender<CancelReply>,
}

/// The owner of a pool.
pub struct Owner {
    node: Arc<Node>,
    pool: Pool,
    term: u64,
    handle: OwnerHandle,
    inputs: mpsc::UnboundedReceiver<Input>,
    cancellers: Vec<Canceller>,
    /// The lanes in which a transaction is under way, and since when.
    recording: BTreeMap<Lane, Tick>,
    /// When a lane's next transaction may begin that no caller waits for.
    record_next: BTreeMap<Lane, Tick>,
    scan_next: Tick,
    /// The parts in the order in which they are read.
    scan_turn: VecDeque<Shard>,
    release: Option<oneshot::Sender<()>>,
    lost: bool,
    /// The version of the configuration that the pool knows.
    configured: Option<Version>,
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
        Self {
            node,
            pool,
            term,
            handle,
            inputs,
            cancellers: Vec::new(),
            recording: BTreeMap::new(),
            record_next: BTreeMap::new(),
            scan_next: now + SCAN_PERIOD,
            scan_turn: Shard::all().collect(),
            release: None,
            lost: false,
            configured: None,
        }
    }

    /// Runs until the pool is lost or given back.
    pub async fn run(mut self) {
        let mut last = time::Instant::now();
        let mut pause = ROUND_PAUSE;
        while !self.lost && self.release.is_none() {
            let tick = if self.pool.jobs().is_empty() { IDLE_TICK } else { BUSY_TICK };
            if let Ok(Some(input)) = time::timeout(tick, self.inputs.recv()).await {
                self.take(input);
            }
            // A round looks at every job and worker, so what comes close together shares one.
            let left = pause.saturating_sub(last.elapsed());
            if !left.is_zero() {
                time::sleep(left).await;
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.take(input);
            }
            let begun = time::Instant::now();
            self.round();
            last = time::Instant::now();
            pause = (ROUND_SPACING * (last - begun)).clamp(ROUND_PAUSE, ROUND_PAUSE_MOST);
        }
        if let Some(done) = self.release.take() {
            self.give_back().await;
            let _ = done.send(());
        }
    }

    fn round(&mut self) {
        let node = Arc::clone(&self.node);
        let now = node.now();
        self.check_lease();
        self.configure(now);
        if self.lost {
            return;
        }
        for action in self.pool.poll(now, node.clock.wall()) {
            self.carry_out(action);
        }
        for note in self.pool.take_notes() {
            emit(event_of(note.kind), format_args!("pool={} {}", self.pool.name(), note.text));
        }
        self.record(now);
        self.scan(now);
        self.answer_cancellers();
    }

    /// Looks whether the leases that this process follows still name this owner.
    fn check_lease(&mut self) {
        let view = self.node.view();
        if let Some(lease) = view.leases.get(self.pool.name()) {
            if lease.revision > self.handle.token {
                self.lost = true;
            } else if lease.revision == self.handle.token {
                self.pool.verify(view.leases_seen);
            }
        }
    }

    /// Takes over what the configuration and the leases say of customers and their quotas.
    fn configure(&mut self, now: Tick) {
        let view = self.node.view();
        if let Some(config) = &view.config
            && self.configured != Some(config.version)
        {
            self.configured = Some(config.version);
            self.pool.configure(&config.customers);
        }
        self.pool.drain_zones(&view.drained, view.config_seen);
        if let Some(lease) = view.leases.get(&fleet::name()) {
            self.pool.follow_ledger(FencingToken(lease.revision.0), now);
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.node.now();
        match input {
            Input::Submit(jobs) => {
                let wall = self.node.clock.wall();
                for Submitted { id, record, row } in jobs {
                    self.pool.submit(id, &record, row, now, wall);
                }
            }
            Input::State(id, by, reply) => {
                let _ = reply.send(self.pool.state_for(id, by.as_ref()));
            }
            Input::Cancel(id, by, reply) => self.cancel(id, by.as_ref(), reply),
            Input::Waiting(queue, reply) => {
                let _ = reply.send(self.pool.waiting(&queue));
            }
            Input::Vacate(worker, mode, reply) => {
                let _ = reply.send(self.pool.drain_worker(&worker, mode, now));
            }
            Input::VacateAll(workers, mode, reply) => {
                let progress = |worker| self.pool.drain_worker(worker, mode, now);
                let _ = reply.send(workers.iter().map(progress).collect());
            }
            Input::Load(reply) => {
                let _ = reply.send(self.pool.load(now));
            }
            Input::Allot(allotment, reply) => self.allot(&allotment, reply, now),
            Input::Over(workers) => {
                for worker in workers {
                    self.pool.worker_died(&worker, DeathEvidence::Unhosted, now);
                }
            }
            Input::Listed(workers) => self.pool.list(workers, now),
            Input::Held(worker, sent, result) => self.pool.held(&worker, sent, result, now),
            Input::Started(worker, task, run, result) => {
                self.pool.started(&worker, task, run, result, now);
            }
            Input::Stopped(worker, task, run, result) => {
                self.pool.stopped(&worker, task, run, result, now);
            }
            Input::PaceFailed(task, run) => self.pool.pace_failed(task, run),
            Input::Advised(step, approvals, sent) => {
                self.pool.advised(step, approvals, sent, now);
            }
            Input::Committed(batch, result) => self.recorded(&batch, result, now),
            Input::Scanned(rows) => self.scanned(&rows, now),
            Input::Release(done) => self.release = Some(done),
            // A successor would wait anew for the workers that have not answered.
            Input::Yield(done) => self.release = (self.pool.unsettled() == 0).then_some(done),
        }
    }

    /// Takes in limits, once every lease is known that is older than the owner's own. Of an owner and a ledger that take
    /// charge at the same time one sees the other's lease: otherwise a ledger that has been replaced could give a new owner
    /// what its successor, which has asked the old owner, gives to others.
    fn allot(&mut self, allotment: &Allotment, reply: oneshot::Sender<UsageReport>, now: Tick) {
        if self.node.view().leases_revision >= self.handle.token {
            self.configure(now);
            let _ = reply.send(self.pool.allot(allotment));
        }
    }

    fn cancel(
        &mut self,
        job: JobId,
        by: Option<&CustomerName>,
        reply: oneshot::Sender<CancelReply>,
    ) {
        match self.pool.cancel_for(job, by) {
            Cancelled::Foreign => {
                let _ = reply.send(CancelReply::Foreign);
            }
            Cancelled::Over => {
                let _ = reply.send(CancelReply::Over);
            }
            Cancelled::Unknown => {
                let _ = reply.send(CancelReply::Unknown);
            }
            Cancelled::Pending => self.cancellers.push(Canceller { job, reply }),
        }
    }

    /// Tells those who cancel once it is recorded that their jobs are over.
    fn answer_cancellers(&mut self) {
        for place in (0..self.cancellers.len()).rev() {
            let job = self.cancellers[place].job;
            if matches!(self.pool.state(job), Some(JobState::Over(_))) {
                let canceller = self.cancellers.swap_remove(place);
                let _ = canceller.reply.send(CancelReply::Over);
                emit(Event::JobCancelled, format_args!("pool={} job={job}", self.pool.name()));
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        if action == Action::Fenced {
            // Only a newer lease gives a higher token, so somebody else is in charge by now.
            self.lost = true;
            return;
        }
        let node = Arc::clone(&self.node);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let sent = node.now();
            if let Some(input) = perform(&node, action, sent).await {
                handle.send(input);
            }
        });
    }

    /// Writes what is to be written, one transaction at a time in each lane.
    fn record(&mut self, now: Tick) {
        for Due { lane, urgent } in self.pool.due() {
            let next = self.record_next.get(&lane).copied().unwrap_or_default();
            if self.recording.contains_key(&lane) || !(urgent || next <= now) {
                continue;
            }
            if let Some(batch) = self.pool.batch(lane, self.node.clock.wall()) {
                self.recording.insert(lane, now);
                self.commit(batch);
            }
        }
    }

    fn commit(&self, batch: Batch) {
        let node = Arc::clone(&self.node);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = node.services.store.commit(batch.txn.clone()).await;
            node.note_store(&result);
            if let Err(error) = &result {
                emit(Event::RecordFailed, format_args!("token={} {error}", handle.token));
                // An urgent transaction must not be repeated in a tight loop.
                time::sleep(RECORD_PAUSE.duration()).await;
            }
            handle.send(Input::Committed(Box::new(batch), result));
        });
    }

    fn recorded(&mut self, batch: &Batch, result: Result<Commit, StoreError>, now: Tick) {
        let begun = self.recording.remove(&batch.lane).unwrap_or(now);
        let spacing = Millis(now.since(begun).0 * RECORD_SPACING).max(RECORD_PERIOD);
        self.record_next.insert(batch.lane, now + spacing);
        let commit = match result {
            Ok(commit) => commit,
            Err(StoreError::Refused(_)) => {
                self.node.metrics.refused.inc();
                self.pool.rejected(batch, now);
                return;
            }
            Err(_) => return,
        };
        if !self.pool.decided(batch, &commit, now) {
            self.lost = true;
        } else if matches!(commit, Commit::Done(_)) {
            // The host may have been suspended between the store's answer and now.
            self.pool.verify(begun);
        }
    }

    /// Reads the stored jobs now and then.
    fn scan(&mut self, now: Tick) {
        if self.scan_next > now {
            return;
        }
        self.scan_next = now + SCAN_PERIOD;
        let node = Arc::clone(&self.node);
        let handle = self.handle.clone();
        let Some(shard) = self.scan_turn.pop_front() else {
            return;
        };
        self.scan_turn.push_back(shard);
        let prefix = job_prefix(self.pool.name(), shard);
        tokio::spawn(async move {
            let scan = Scan { prefix, after: None, limit: u32::MAX };
            let page = node.services.store.scan(scan).await;
            node.note_store(&page);
            match page {
                Ok(page) => handle.send(Input::Scanned(page.rows)),
                Err(error) => log::info!("the stored jobs can't be read: {error}"),
            }
        });
    }

    fn scanned(&mut self, rows: &[reachhead_store::row::Row], now: Tick) {
        for row in rows {
            let Some(id) = id_of(&row.key) else {
                continue;
            };
            if self.pool.jobs().contains_key(&id) {
                continue;
            }
            match row.parse::<JobRecord>() {
                Ok(record) => {
                    self.pool.submit(id, &record, row.revision, now, self.node.clock.wall());
                }
                Err(error) => emit(Event::RowRefused, error),
            }
        }
    }

    /// Records what is left, as far as one transaction a lane does.
    async fn record_all(&mut self) {
        let wall = self.node.clock.wall();
        let due = self.pool.due();
        let batches: Vec<Batch> =
            due.iter().filter_map(|due| self.pool.batch(due.lane, wall)).collect();
        let commits = batches.iter().map(|batch| {
            let commit = self.node.services.store.commit(batch.txn.clone());
            time::timeout(RELEASE_TIME, commit)
        });
        let results = join_all(commits).await;
        let name = self.pool.name().clone();
        for (batch, result) in batches.iter().zip(results) {
            match result {
                Ok(Ok(commit)) => {
                    self.pool.decided(batch, &commit, self.node.now());
                }
                Ok(Err(error)) => emit(Event::RecordFailed, format_args!("pool={name} {error}")),
                Err(_) => emit(Event::RecordFailed, format_args!("pool={name} no answer in time")),
            }
        }
        self.answer_cancellers();
    }

    /// Records what is left and gives the lease back, so that a peer takes charge at once.
    async fn give_back(&mut self) {
        let name = self.pool.name().clone();
        self.record_all().await;
        let record = LeaseRecord {
            owner: None,
            address: None,
            term: self.term,
            settled: self.pool.unsettled() == 0,
            open: Some(self.pool.remaining_takeover_delay(self.node.now())),
        };
        let txn = Txn::new()
            .with_check(lease_key(&name), Some(self.handle.token))
            .with_write(lease_key(&name), value(&record));
        match time::timeout(RELEASE_TIME, self.node.services.store.commit(txn)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => emit(Event::RecordFailed, format_args!("pool={name} {error}")),
            Err(_) => emit(Event::RecordFailed, format_args!("pool={name} no answer in time")),
        }
    }
}

/// Returns the job that a row is about.
pub fn id_of(key: &Key) -> Option<JobId> {
    key.0.rsplit('/').next()?.parse().ok()
}
