//! Complete and partial takeovers of the pool by new processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use futures::FutureExt;
use reachhead_jobs::{
    clock::Tick,
    fence::{Fence, FenceStep},
    order_effect::OrderEffect,
    pool::{Pool, RecoveredJobs, RecoveredState, StoredJob, StoredProgress, StoredRoster},
    record::{
        JobRecord, LeaseRecord, fence_key, job_prefix, lease_key, progress_prefix, roster_prefix,
        value,
    },
    shard::Shard,
};
use reachhead_store::{
    Store,
    row::{Commit, Row, Scan, Txn},
};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, Revision},
};

use super::{Event, MIN_REJECTION, Owner, STEP, Simulation, pool_name};

/// Longest time that the jobs of a shard take to be read, in milliseconds. Four shards take longer than a
/// worker's lease.
const MAX_READ_TIME: u64 = 1500;

/// Peer address of every process.
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

pub(super) fn fence(token: FencingToken, shard: Shard) -> Fence {
    Fence::new(pool_name(), shard, token, "n".parse().unwrap())
}

impl Simulation {
    /// Lets a new process take the lease, independently of the state of the previous owner.
    pub(super) fn take_over(&mut self) {
        self.take_over_from(false);
    }

    /// The same; the process knows whether the owner before it has ended.
    pub(super) fn take_over_from(&mut self, has_ended: bool) {
        if self.slow_reads {
            return self.take_over_slowly(has_ended);
        }
        let verified = Tick(self.now);
        let effect = self.order_effect(has_ended);
        let mut found =
            RecoveredState::new(StoredRoster::default(), effect, verified).with_knows_storer(true);
        let (token, term) = self.take_lease(&found.effect);
        for shard in Shard::all() {
            let Some(fence) = self.raise(token, shard) else {
                unreachable!("no other process took it")
            };
            found.fences.insert(shard, fence);
            found.jobs.append(&mut self.stored_jobs(shard));
        }
        self.record_fences(token, &mut found.effect);
        let (roster, errors) = StoredRoster::read(&self.scan(roster_prefix(&pool_name())));
        assert!(errors.is_empty(), "{errors:?}");
        found.roster = roster;
        let pool = Pool::new(
            pool_name(),
            token,
            term,
            self.timeouts(),
            found,
            Tick(self.now),
            Millis(self.now),
        );
        self.add_owner(pool);
    }

    pub(super) fn add_owner(&mut self, pool: Pool) {
        self.owners.push(Owner {
            token: Revision(pool.token().0),
            pool,
            recording: BTreeSet::new(),
            paused_until: 0,
            alive: true,
            workers_cut: BTreeMap::new(),
            store_cut_until: 0,
            rejected_until: 0,
            owner_since: self.now,
        });
        self.inform_successor();
        self.disturb();
        self.list();
    }

    /// Adds an owner that knows the roster and no jobs yet, so that it calls the workers.
    fn add_recovering_owner(&mut self, token: FencingToken, term: u64, effect: OrderEffect) {
        let (roster, errors) = StoredRoster::read(&self.scan(roster_prefix(&pool_name())));
        assert!(errors.is_empty(), "{errors:?}");
        let now = Tick(self.now);
        let found = RecoveredState::new(roster, effect, now).with_knows_storer(true);
        let (timeouts, wall) = (self.timeouts(), Millis(self.now));
        let pool = Pool::recovering(pool_name(), token, term, timeouts, found, now, wall);
        self.add_owner(pool);
    }

    /// Lets a new process take the lease and read the roster, so that it calls the workers, and the jobs
    /// of each shard late. Meanwhile jobs are stored, and a worker crashes or is cut off.
    fn take_over_slowly(&mut self, has_ended: bool) {
        let mut effect = self.order_effect(has_ended);
        let (token, term) = self.take_lease(&effect);
        self.add_recovering_owner(token, term, effect.clone());
        let mut found = RecoveredJobs::default();
        for shard in Shard::all() {
            let Some(fence) = self.raise(token, shard) else {
                unreachable!("no other process took it")
            };
            found.fences.insert(shard, fence);
        }
        found.fenced_at = Tick(self.now);
        self.record_fences(token, &mut effect);
        let choice = self.owners.len() as u64 * 37;
        for (turn, shard) in (0..).zip(Shard::all()) {
            // A third of the takeovers read at once.
            self.run(choice % 3 * ((choice + turn) % 5) * MAX_READ_TIME / 8);
            found.jobs.append(&mut self.stored_jobs(shard));
            let choice = (choice + turn) as u8;
            match (choice + turn as u8) % 7 {
                0 => self.submit(choice),
                1 => self.cut_worker(choice, self.now + MAX_READ_TIME),
                2 => self.perform(9, choice, MAX_READ_TIME),
                _ => {}
            }
        }
        let (now, wall) = (Tick(self.now), Millis(self.now));
        self.newest().pool.recover_jobs(found, now, wall);
        self.disturb();
    }

    pub(super) fn take_lease(&mut self, effect: &OrderEffect) -> (FencingToken, u64) {
        let now = Tick(self.now);
        let key = lease_key(&pool_name());
        let known = self.read(key.clone());
        let term = known.as_ref().map_or(0, |row| row.parse::<LeaseRecord>().unwrap().term + 1);
        let record = LeaseRecord {
            owner: Some("n".parse().unwrap()),
            address: Some(ADDRESS),
            term,
            settled: false,
            unsettled_for: Some(effect.longest(now)),
            abandoned: 0,
            knows_storer: true,
            silent: None,
            earlier: effect.earlier_owners(now),
        };
        let txn = Txn::new()
            .with_check(key.clone(), known.as_ref().map(|row| row.revision))
            .with_write(key, value(&record));
        let token = self.write_lease(txn);
        self.lease_changed = self.now;
        self.disturb();
        (FencingToken(token.0), term)
    }

    /// Raises the fence of a shard; time passes before each transaction arrives.
    pub(super) fn raise(&mut self, token: FencingToken, shard: Shard) -> Option<Revision> {
        let fence = fence(token, shard);
        let mut found = self.read(fence_key(&pool_name(), shard));
        loop {
            let txn = match fence.next(found.as_ref()).unwrap() {
                FenceStep::Raised(revision) => return Some(revision),
                FenceStep::Superseded => return None,
                FenceStep::Write(txn) => txn,
            };
            self.run(STEP);
            match self.commit(txn) {
                Commit::Done(revision) => return Some(revision),
                Commit::Conflict(conflicts) => found = conflicts.into_iter().find_map(|c| c.row),
            }
        }
    }

    /// Lets a process begin a takeover and pauses it after it has raised the fences of
    /// `raised_shards` shards. The fence transaction that it had just sent arrives `delay`
    /// milliseconds later. Another process takes over meanwhile, and then the paused one continues.
    pub(super) fn take_over_partially(&mut self, raised_shards: usize, delay: u64) {
        let (token, _) = self.take_lease(&self.order_effect(false));
        let mut shards = Shard::all();
        for shard in shards.by_ref().take(raised_shards) {
            self.raise(token, shard);
        }
        let paused = shards.clone();
        if let Some(shard) = shards.next() {
            let found = self.read(fence_key(&pool_name(), shard));
            if let Ok(FenceStep::Write(txn)) = fence(token, shard).next(found.as_ref()) {
                self.push(delay, Event::Raise(txn));
            }
        }
        self.run(delay / 2);
        self.take_over();
        for shard in paused {
            self.raise(token, shard);
        }
    }

    /// Lets processes take the lease and release it again after they have raised some fences, while the
    /// previous owner does not notice; then another process takes over and does not reach one worker.
    pub(super) fn abandon_takeovers(&mut self, choice: u8, span: u64) {
        let until = self.now + 2 * span;
        self.newest().store_cut_until = until;
        for raised_shards in 0..usize::from(choice % 3) {
            let mut effect = self.order_effect(false);
            let (token, term) = self.take_lease(&effect);
            if self.slow_reads {
                self.add_recovering_owner(token, term, effect.clone());
            }
            for shard in Shard::all().take(raised_shards) {
                self.raise(token, shard);
            }
            self.run(span / 2);
            if self.slow_reads {
                self.newest().alive = false;
                effect.renew(Tick(self.now));
            }
            let key = lease_key(&pool_name());
            let lease: LeaseRecord = self.read(key.clone()).unwrap().parse().unwrap();
            assert_eq!(lease.term, term);
            let now = Tick(self.now);
            let record = lease.abandoned(effect.longest(now), effect.earlier_owners(now));
            let txn = Txn::new()
                .with_check(key.clone(), Some(Revision(token.0)))
                .with_write(key, value(&record));
            self.write_lease(txn);
        }
        self.take_over();
        // The successor does not learn from this worker what the owner before has started there.
        if let Some(id) = self.pick(choice) {
            self.newest().workers_cut.insert(id, until);
        }
    }

    /// Lets the store reject the owner for 8 to 16 s. Then another process takes over, which the
    /// store rejects as well, while the predecessor does not notice and gets a job.
    pub(super) fn reject_owners(&mut self, choice: u8, span: u64) {
        let rejection = MIN_REJECTION + span.min(MIN_REJECTION);
        let until = self.now + rejection;
        self.newest().rejected_until = until;
        self.submit(choice);
        self.run(rejection);
        self.newest().store_cut_until = self.now + rejection;
        self.take_over();
        self.newest().rejected_until = self.now + rejection;
        self.submit(choice);
    }

    pub(super) fn scan(&self, prefix: String) -> Vec<Row> {
        let scan = Scan { prefix, after: None, limit: u32::MAX };
        self.store.scan(scan).now_or_never().unwrap().unwrap().rows
    }

    pub(super) fn stored_jobs(&self, shard: Shard) -> Vec<StoredJob> {
        let id_of = |row: &Row| row.key.0.rsplit('/').next().unwrap().parse::<JobId>().unwrap();
        let progress: BTreeMap<JobId, Row> = self
            .scan(progress_prefix(&pool_name(), shard))
            .into_iter()
            .map(|row| (id_of(&row), row))
            .collect();
        let stored = |row: Row| {
            let id = id_of(&row);
            let progress = progress
                .get(&id)
                .map(|row| StoredProgress { record: row.parse().unwrap(), revision: row.revision });
            StoredJob { id, record: row.parse::<JobRecord>().unwrap(), row: row.revision, progress }
        };
        self.scan(job_prefix(&pool_name(), shard)).into_iter().map(stored).collect()
    }
}
