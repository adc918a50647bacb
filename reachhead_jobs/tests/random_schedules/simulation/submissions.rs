//! Submission and cancellation of jobs, which may reach a predecessor first.

use std::sync::Arc;

use reachhead_jobs::{
    clock::Tick,
    model::{Plan, Queue},
    record::{JobRecord, job_key, value},
    task::StepId,
};
use reachhead_store::row::{Commit, Txn};
use reachhead_types::{
    id::JobId,
    size::{FencingToken, Millis, Revision},
};

use super::{
    Answer, Culprit, Event, FIRST_CULPRIT_KIND, MAX_REJECTED_SCAN_DELAY, MAX_SCAN_DELAY, Owner,
    Simulation, StoredRow,
    plans::{plan, queue},
    pool_name,
};

impl Simulation {
    pub(super) fn submit(&mut self, kind: u8) {
        let long = self.jobs.values().filter(|plan| plan.is_long_running()).count();
        // More long-running tasks would leave no capacity for anything else.
        let plan = plan(if long >= 2 { kind % 2 } else { kind });
        self.submit_plan(kind, queue(), plan);
    }

    pub(super) fn submit_plan(&mut self, kind: u8, queue: Arc<Queue>, plan: Arc<Plan>) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let record = JobRecord {
            queue,
            plan: Arc::clone(&plan),
            accepted: Millis(self.now),
            customer: None,
            stored_by: (kind % 2 == 0).then(|| self.newest_token()).flatten(),
        };
        if self.crashing && kind >= FIRST_CULPRIT_KIND {
            let first = StepId { job: id, occurrence: 0, step: 0 }.task(0);
            self.culprits.insert(first, Culprit::default());
        }
        let key = job_key(&pool_name(), id);
        let txn = Txn::new().with_check(key.clone(), None).with_write(key, value(&record));
        let Commit::Done(row) = self.commit(txn) else { unreachable!("the id is new") };
        self.jobs.insert(id, plan);
        if self.late_notices && self.owners.len() > 1 {
            self.notify(self.owners.len() - 2, id, &record, row);
            let newest = self.owners.len() - 1;
            if record.stored_by.is_some() {
                self.notify(newest, id, &record, row);
                return;
            }
            let answer = Answer::Found(vec![id], Some(vec![StoredRow { id, record, row }]));
            let max_delay = if self.rejecting { MAX_REJECTED_SCAN_DELAY } else { MAX_SCAN_DELAY };
            let delay = u64::from(kind) * max_delay / u64::from(u8::MAX);
            self.push(delay, Event::Answer { owner: newest, answer });
        } else {
            self.notify(self.owners.len() - 1, id, &record, row);
        }
    }

    /// Returns the token of the newest owner, if its process can store jobs as the pool's owner.
    fn newest_token(&self) -> Option<FencingToken> {
        let can_store = |owner: &&Owner| {
            owner.alive && owner.paused_until <= self.now && !owner.pool.is_recovering()
        };
        let owner = self.owners.last().filter(can_store);
        owner.map(|owner| FencingToken(owner.token.0))
    }

    /// Submits a stored job to an owner.
    fn notify(&mut self, index: usize, id: JobId, record: &JobRecord, row: Revision) {
        let now = Tick(self.now);
        let owner = &mut self.owners[index];
        if owner.alive && owner.paused_until <= now.0 {
            owner.pool.submit(id, record, row, now, Millis(now.0));
        }
    }

    /// Returns the stored jobs among those that an owner looks up.
    pub(super) fn find(&self, jobs: &[JobId]) -> Vec<StoredRow> {
        let find = |id: &JobId| {
            let row = self.read(job_key(&pool_name(), *id))?;
            Some(StoredRow { id: *id, record: row.parse().unwrap(), row: row.revision })
        };
        jobs.iter().filter_map(find).collect()
    }

    pub(super) fn cancel(&mut self, choice: u8) {
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        if let Some(id) = open.get(choice as usize % open.len().max(1)).copied() {
            let now = self.now;
            let owner = self.newest();
            if owner.alive && owner.paused_until <= now {
                owner.pool.cancel(id);
                self.cancelled.insert(id);
                self.disturb();
            }
        }
    }
}
