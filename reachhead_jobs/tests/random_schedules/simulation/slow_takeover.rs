//! Takeovers that take time: the lease, the fences, the roster and the rows of the shards are read over a
//! slow link, while workers, leases and other owners go on. Owners are killed and released in a row, also
//! in the middle of a takeover, and workers stop answering for good. See
//! docs/incidents/long-running-tasks-after-a-change-of-owner.md.

use std::collections::BTreeMap;

use reachhead_jobs::{
    clock::{Tick, with_drift},
    fence::FenceStep,
    pool::{Due, Pool, PoolTimeouts, RecoveredJobs, RecoveredState, StoredRoster},
    record::{LeaseRecord, fence_key, lease_key, roster_prefix, value},
    shard::Shard,
};
use reachhead_store::row::Txn;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

mod owner_series;

use owner_series::OwnerSeries;

use super::{
    Event, STEP, Simulation,
    plans::{plan, queue},
    pool_name,
    takeover::fence,
    timeouts,
};

/// Lease duration and wait of the long polls. Detection, trust and a lease end within the bound of the
/// rule for waiting tasks; in production they may take 10 s.
const LEASE: Millis = Millis(2500);
const POLL_WAIT: Millis = Millis(1250);

/// Shortest and longest time until another process finds that an owner is lost, in milliseconds.
const MIN_DETECTION: u64 = 300;
const MAX_DETECTION: u64 = 900;

/// Longest time that the release of the lease takes, in milliseconds.
const MAX_RELEASE: u64 = 400;

/// Longest time until another process sees that the lease is released, in milliseconds.
const MAX_HANDOVER: u64 = 300;

/// Largest number of pages of a shard, and longest time in which one arrives, in milliseconds. All pages
/// take at most 4 s, so that a killed owner's successor has read the jobs within the bound of the rule for
/// waiting tasks.
const MAX_PAGES: u64 = 10;
const MAX_PAGE_TIME: u64 = 100;

/// Maximum number of changes of the owner in a row.
const MAX_CHANGES: u8 = 4;

/// One in this number of the workers may stop answering for good.
const SILENT_SHARE: usize = 4;

/// Time in which nothing happens, in milliseconds: longer than the bound of the rule for waiting tasks.
const CALM_TIME: u64 = 8000;

/// Time in which nothing else may happen before a planned change of the owner in which no run may lapse,
/// in milliseconds.
const MIN_CALM_TIME: u64 = 4000;

/// End of the silence of a worker that answers nothing any more.
const FOR_GOOD: u64 = u64::MAX;

/// Choices from here on let workers answer nothing for a while instead of for good.
const FIRST_SHORT_CHOICE: u8 = 160;

/// Shortest time for which a worker answers nothing, in milliseconds.
const MIN_SILENCE: u64 = 500;

/// How the rows of a pool are read.
#[derive(Debug, Clone, Copy)]
struct Reads {
    /// Number of pages of each shard; most hold short jobs that wait.
    pages: u64,
    /// Time in which one page arrives, in milliseconds.
    page_time: u64,
}

impl Reads {
    fn new(choice: u8, span: u64) -> Self {
        Self {
            pages: 1 + u64::from(choice) % MAX_PAGES,
            page_time: STEP + span % (MAX_PAGE_TIME - STEP + 1),
        }
    }

    fn time(self) -> u64 {
        self.pages * self.page_time * Shard::all().count() as u64
    }
}

/// State of schedules with slow takeovers.
#[derive(Default)]
pub(super) struct SlowTakeovers {
    /// Workers that answer nothing, and until when.
    silent: BTreeMap<WorkerId, u64>,
    /// When the only recent change of the owner began, if that was planned and nothing else happened.
    planned: Option<u64>,
    /// Nothing else happens than planned changes.
    is_planned: bool,
    /// When the time for which the pool has had the same owner began.
    settled_since: u64,
    /// Series of killed owners, in schedules with them.
    series: Option<OwnerSeries>,
}

impl SlowTakeovers {
    fn is_silent(&self, id: &WorkerId, now: u64) -> bool {
        self.silent.get(id).is_some_and(|until| *until > now)
    }

    /// Returns the begin of the planned change in which a lapse on this worker breaks the rule.
    pub(super) fn planned_change(&self, worker: &WorkerId) -> Option<u64> {
        self.planned.filter(|_| !self.silent.contains_key(worker))
    }

    /// Returns whether no worker has begun to answer again since then, or will later.
    pub(super) fn is_over_since(&self, then: u64) -> bool {
        self.silent.values().all(|until| *until <= then || *until == FOR_GOOD)
    }

    /// Returns whether no worker has begun to answer again since then.
    pub(super) fn is_calm_since(&self, then: u64, now: u64) -> bool {
        self.silent.values().all(|until| *until <= then || *until > now)
    }
}

impl Simulation {
    /// Lets takeovers take time and workers stop answering for good.
    pub fn with_slow_takeovers(mut self) -> Self {
        self.slow = Some(SlowTakeovers::default());
        // The owner so far has other timeouts.
        self.newest().alive = false;
        self.take_over();
        self.run(400);
        self
    }

    /// Lets nothing else happen than planned changes of the owner.
    pub fn with_planned_changes(mut self) -> Self {
        if let Some(slow) = &mut self.slow {
            slow.is_planned = true;
        }
        self
    }

    /// Returns the timeouts of owners in schedules with slow takeovers.
    pub(super) fn slow_timeouts(&self) -> PoolTimeouts {
        if self.is_in_series() {
            return Self::series_timeouts();
        }
        PoolTimeouts { hold: LEASE, wait: POLL_WAIT, ..timeouts() }
    }

    /// Returns whether the worker has stopped answering for good.
    pub(super) fn is_silent(&self, id: &WorkerId) -> bool {
        self.slow.as_ref().is_some_and(|slow| slow.is_silent(id, self.now))
    }

    /// Performs a random act of a schedule with slow takeovers.
    pub(super) fn act_with_slow_takeovers(&mut self, kind: u8, choice: u8, span: u64) {
        if self.slow.as_ref().is_some_and(|slow| slow.is_planned) {
            return self.change_owner_or_submit(kind, choice, span);
        }
        if self.is_in_series() {
            return self.act_in_series(kind, choice, span);
        }
        match kind % 18 {
            0..=3 => self.submit_wide(choice),
            4..=6 => self.kill_owners(choice, span),
            7..=9 => self.release_owners(choice, span),
            10..=11 => self.silence_workers(choice, span),
            12 => self.isolate_owner(choice, span),
            13 => self.disturb_messages(choice),
            14 => self.replace_worker(choice),
            15 => {
                self.delay_next = 1 + choice % 16;
                self.kill_owners(choice, span);
            }
            16 => {
                self.isolate_owner(choice, span);
                self.kill_owners(choice / 2, span / 4);
            }
            _ => self.run(CALM_TIME + span),
        }
        self.run(span % 700);
    }

    /// Submits a job, or changes the owner as planned with nothing else before and after it.
    fn change_owner_or_submit(&mut self, kind: u8, choice: u8, span: u64) {
        match kind % 4 {
            0 | 1 => self.submit_wide(choice),
            _ => {
                self.run(CALM_TIME);
                self.release_owner(Reads::new(choice, span), span);
                self.run(CALM_TIME);
            }
        }
    }

    /// Records a disturbance that is no planned change of the owner.
    fn disturb_all(&mut self) {
        let now = self.now;
        if let Some(slow) = &mut self.slow {
            slow.planned = None;
            slow.settled_since = now;
        }
        self.disturb();
    }

    /// Kills some owners in a row. All but the last successor may be killed in the middle of its takeover.
    fn kill_owners(&mut self, choice: u8, span: u64) {
        let changes = 1 + choice % MAX_CHANGES;
        let reads = Reads::new(choice / MAX_CHANGES, span);
        if choice % 2 == 0 {
            self.silence_workers(choice, span);
            self.run(span % 900);
        }
        for change in 1..=changes {
            self.lose_owner(span * u64::from(change));
            let limit = span * u64::from(change) % (2 * reads.time());
            let limit = (change < changes).then_some(limit);
            let has_ended = self.knows_end(span / STEP + u64::from(change));
            if self.take_over_in_pages(has_ended, reads, limit) {
                self.run(span / 4);
            } else if reads.pages % 2 == 0 {
                self.abandon_takeover();
            }
        }
        self.rest(choice, span);
    }

    /// Kills the newest owner and lets time pass until this is noticed.
    fn lose_owner(&mut self, span: u64) {
        self.newest().alive = false;
        self.disturb_all();
        self.run(MIN_DETECTION + span % (MAX_DETECTION - MIN_DETECTION));
    }

    /// Lets some owners give the pool back in a row.
    fn release_owners(&mut self, choice: u8, span: u64) {
        for change in 0..1 + choice % MAX_CHANGES {
            let span = span + u64::from(change) * 140;
            self.release_owner(Reads::new(choice / MAX_CHANGES, span), span);
            self.run(span % 1500);
        }
        self.rest(choice, span);
    }

    /// Lets time pass after changes of the owner, mostly enough of it that the rule for waiting tasks applies.
    fn rest(&mut self, choice: u8, span: u64) {
        if choice % 3 != 0 {
            self.run(CALM_TIME + span);
        }
    }

    /// Lets the newest owner end as [`lose_owner`](Self::lose_owner) does if it is not in office, or as a
    /// process that is asked to: it sends what it has to record and releases the lease.
    fn release_owner(&mut self, reads: Reads, span: u64) {
        let now = self.now;
        let lease = self.read(lease_key(&pool_name())).map(|row| row.revision);
        let owner = self.newest();
        let is_up = owner.alive && owner.paused_until <= now && owner.store_cut_until <= now;
        if !is_up || lease != Some(owner.token) {
            self.lose_owner(span);
            let has_ended = self.knows_end(span);
            self.take_over_in_pages(has_ended, reads, None);
            return;
        }
        let is_single = self.slow.as_ref().is_some_and(|slow| {
            let then = now - MIN_CALM_TIME;
            slow.settled_since <= then && slow.is_over_since(then)
        });
        self.disturb_all();
        if let Some(slow) = &mut self.slow {
            slow.planned = is_single.then_some(now);
        }
        self.release_lease(span % MAX_RELEASE);
        self.run(span % MAX_HANDOVER);
        let has_ended = self.knows_end(span);
        self.take_over_in_pages(has_ended, reads, None);
    }

    /// Releases the lease as `Owner::release_lease` of reachhead_node does.
    fn release_lease(&mut self, release_time: u64) {
        let now = self.now;
        let key = lease_key(&pool_name());
        let known: LeaseRecord = self.read(key.clone()).unwrap().parse().unwrap();
        let owner = self.newest();
        // It leaves its event loop, so it gives no orders and gets no answers.
        owner.alive = false;
        let due = owner.pool.due();
        let batches =
            due.iter().filter_map(|&Due { lane, .. }| owner.pool.batch(lane, Millis(now)));
        let batches: Vec<_> = batches.collect();
        self.run(release_time);
        for batch in batches {
            let commit = self.commit(batch.txn.clone());
            let now = Tick(self.now);
            self.newest().pool.decided(&batch, &commit, now);
        }
        let now = Tick(self.now);
        let owner = self.newest();
        let token = owner.token;
        let record = LeaseRecord {
            owner: None,
            address: None,
            term: known.term,
            settled: owner.pool.unsettled() == 0,
            unsettled_for: Some(owner.pool.remaining_takeover_delay(now)),
            abandoned: 0,
            knows_storer: false,
            silent: owner.pool.silent_workers(now),
            earlier: owner.pool.earlier_owners(now),
        };
        let txn = Txn::new().with_check(key.clone(), Some(token)).with_write(key, value(&record));
        self.write_lease(txn);
    }

    /// Returns whether the process that takes the lease knows that the owner before it has ended; in two
    /// of three cases it does.
    fn knows_end(&self, choice: u64) -> bool {
        choice % 3 != 0 && self.owners.last().is_none_or(|owner| !owner.alive)
    }

    /// Lets a new process take the lease, read the roster and call the workers, raise the fences and read
    /// the jobs, as reachhead_node does. Returns `false` if it has not got there in `limit` milliseconds.
    fn take_over_in_pages(&mut self, has_ended: bool, reads: Reads, limit: Option<u64>) -> bool {
        let verified = Tick(self.now);
        let end = limit.map_or(u64::MAX, |limit| self.now + limit);
        let mut effect = self.order_effect(has_ended);
        let (token, term) = self.undisturbed(|simulation| simulation.take_lease(&effect));
        self.run(reads.page_time);
        let (roster, errors) = StoredRoster::read(&self.scan(roster_prefix(&pool_name())));
        assert!(errors.is_empty(), "{errors:?}");
        let found = RecoveredState::new(roster, effect.clone(), verified).with_knows_storer(true);
        let (now, wall) = (Tick(self.now), Millis(self.now));
        let timeouts = self.timeouts();
        let pool = Pool::recovering(pool_name(), token, term, timeouts, found, now, wall);
        self.undisturbed(|simulation| simulation.add_owner(pool));
        let mut found = RecoveredJobs::default();
        for shard in Shard::all() {
            if self.now >= end {
                // The transaction that it has just sent arrives later.
                let known = self.read(fence_key(&pool_name(), shard));
                if let Ok(FenceStep::Write(txn)) = fence(token, shard).next(known.as_ref()) {
                    self.push(reads.time(), Event::Raise(txn));
                }
                self.earlier.abandoned = Some(effect);
                return false;
            }
            let Some(fence) = self.raise(token, shard) else { unreachable!("nobody else took it") };
            found.fences.insert(shard, fence);
        }
        found.fenced_at = Tick(self.now);
        self.record_fences(token, &mut effect);
        for shard in Shard::all() {
            for page in 0..reads.pages {
                if self.now >= end {
                    self.earlier.abandoned = Some(effect);
                    return false;
                }
                self.run(reads.page_time);
                if page == 0 {
                    found.jobs.append(&mut self.stored_jobs(shard));
                }
            }
            self.submit_during_takeover(reads, shard);
        }
        let (now, wall) = (Tick(self.now), Millis(self.now));
        self.newest().pool.recover_jobs(found, now, wall);
        true
    }

    /// Lets a process give up its takeover, in which it may have renewed leases.
    fn abandon_takeover(&mut self) {
        let leases = with_drift(self.timeouts().hold);
        let key = lease_key(&pool_name());
        let row = self.read(key.clone()).unwrap();
        let held: LeaseRecord = row.parse().unwrap();
        let longest = held.unsettled_for.unwrap_or_default().max(leases);
        self.newest().alive = false;
        let now = Tick(self.now);
        let earlier = self.earlier.abandoned.take().and_then(|mut effect| {
            effect.renew(now);
            effect.earlier_owners(now)
        });
        let record = held.abandoned(longest, earlier);
        let txn = Txn::new().with_check(key.clone(), Some(row.revision));
        self.write_lease(txn.with_write(key, value(&record)));
    }

    /// Performs a step of a takeover. The change of the owner has been disturbing the pool since the
    /// owner before was killed or released.
    fn undisturbed<T>(&mut self, step: impl FnOnce(&mut Self) -> T) -> T {
        let disturbed = self.waiting.disturbed();
        let result = step(self);
        self.waiting.set_disturbed(disturbed);
        result
    }

    /// Lets a client submit a job during a takeover. It reaches the predecessor, if that is alive, and
    /// the successor later.
    fn submit_during_takeover(&mut self, reads: Reads, shard: Shard) {
        if reads.pages % 4 == 0 && shard == Shard::of(JobId(reads.page_time)) {
            self.late_notices = true;
            self.submit_plan(1, queue(), plan(reads.page_time as u8));
            self.late_notices = false;
        }
    }

    /// Lets some workers stop answering, for good or for a while. Half of those that stop for good are
    /// gone, and the others go on with their runs until these lapse.
    fn silence_workers(&mut self, choice: u8, span: u64) {
        let silent = self.workers.keys().filter(|id| self.is_silent(id)).count();
        let open = (self.workers.len() / SILENT_SHARE).saturating_sub(silent);
        let is_short = choice >= FIRST_SHORT_CHOICE;
        let until = if is_short { self.now + MIN_SILENCE + 2 * span } else { FOR_GOOD };
        for number in 0..open.min(1 + usize::from(choice % 4)) {
            let Some(id) = self.pick(choice.wrapping_add(5 * number as u8)) else { return };
            if self.is_silent(&id) {
                continue;
            }
            if let Some(slow) = &mut self.slow {
                slow.silent.insert(id.clone(), until);
            }
            if !is_short && (choice / 4 + number as u8) % 2 == 0 {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.running.clear();
                }
                for observed in self.tasks.values_mut() {
                    observed.running.remove(&id);
                }
            }
        }
        self.disturb_all();
    }

    /// Cuts the owner off from the store, or pauses it, and lets another process take over meanwhile.
    fn isolate_owner(&mut self, choice: u8, span: u64) {
        let reads = Reads::new(choice / 2, span);
        let until = self.now + MAX_DETECTION + 2 * span;
        let owner = self.newest();
        if choice % 2 == 0 {
            owner.paused_until = until
        } else {
            owner.store_cut_until = until
        }
        self.disturb_all();
        self.run(MIN_DETECTION + span % (MAX_DETECTION - MIN_DETECTION));
        let has_ended = self.knows_end(span);
        self.take_over_in_pages(has_ended, reads, None);
        self.rest(choice, span);
    }

    /// Lets the next messages be lost or late.
    fn disturb_messages(&mut self, choice: u8) {
        if choice % 2 == 0 {
            self.lose_next = choice / 2 % 8;
        } else {
            self.delay_next = choice / 2 % 8;
        }
        self.disturb_all();
    }

    fn replace_worker(&mut self, choice: u8) {
        let Some(id) = self.pick(choice) else { return };
        if !self.is_silent(&id) {
            self.crash(&id);
            self.add_worker();
            self.disturb_all();
        }
    }
}
