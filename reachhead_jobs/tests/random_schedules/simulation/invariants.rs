//! What must hold at every moment of a walk, and at its end.

use reachhead_jobs::{
    model::Plan,
    pool::JobState,
    ports::RunEnd,
    record::{Ending, FenceRecord, FinalRecord, fence_key, final_key},
    shard::Shard,
    task::TaskId,
};
use reachhead_types::id::JobId;

use super::{Deed, NEED, Site, pool_name};

impl Site {
    /// Looks whether a part's fence was lowered.
    fn judge_fences(&mut self) {
        for shard in Shard::all() {
            let row = self.read(fence_key(&pool_name(), shard));
            let token =
                row.map(|row| row.parse::<FenceRecord>().unwrap().token).unwrap_or_default();
            let highest = self.fenced.entry(shard).or_default();
            if token < *highest {
                self.wrong
                    .push(format!("the fence of part {shard} went from {highest} to {token}"));
            }
            *highest = token.max(*highest);
        }
    }

    /// Looks at what the workers did since the last time.
    pub(super) fn judge(&mut self) {
        self.judge_fences();
        for (id, life) in &mut self.workers {
            for deed in std::mem::take(&mut life.deeds) {
                match deed {
                    Deed::Began(task) => {
                        let seen = self.tasks.entry(task).or_default();
                        if !seen.running.is_empty() {
                            self.wrong
                                .push(format!("{task} runs twice, on {:?} and {id}", seen.running));
                        }
                        if seen.noted {
                            self.wrong.push(format!("{task} starts after it was noted as done"));
                        }
                        seen.began = self.now;
                        seen.running.insert(id.clone());
                        let plan = &self.jobs[&task.job];
                        for &before in &plan.steps[task.step as usize].after {
                            for index in 0..plan.steps[before as usize].count {
                                let other = TaskId { step: before, index, ..task };
                                if !self.tasks.get(&other).is_some_and(|seen| seen.done) {
                                    self.wrong
                                        .push(format!("{task} starts before {other} is done"));
                                }
                            }
                        }
                    }
                    Deed::Noted(task, at) => {
                        let seen = self.tasks.entry(task).or_default();
                        seen.noted = true;
                        if seen.began > at {
                            self.wrong.push(format!("{task} was done and began again"));
                        }
                    }
                    Deed::Forgotten(_) => {}
                    Deed::Ended(task, end) => {
                        let seen = self.tasks.entry(task).or_default();
                        seen.running.remove(id);
                        seen.done |= end == RunEnd::Done;
                    }
                }
            }
            let used = life.running.len() as u64 * NEED;
            if used > life.capacity.cores {
                self.wrong.push(format!("{id} is over its capacity: {used}"));
            }
        }
    }

    /// Lets everything come to rest with a new owner; tells whether every job is as it should be.
    pub fn settle(&mut self) -> bool {
        self.lose = 0;
        self.late = 0;
        for owner in &mut self.owners {
            owner.alive = false;
        }
        self.take_over();
        for _ in 0..60 {
            self.run(1000);
            if self.unsettled().is_empty() {
                self.judge_culprits();
                return true;
            }
        }
        let left = self.unsettled();
        self.wrong.push(format!("not settled: {left:?}"));
        false
    }

    fn is_culprit(&self, id: JobId) -> bool {
        self.culprits.keys().any(|task| task.job == id)
    }

    /// Tasks that crash their workers are not started again and again.
    fn judge_culprits(&mut self) {
        let often = self.culprits.iter().filter(|(_, culprit)| culprit.late_starts > 2);
        let wrong: Vec<String> = often
            .map(|(task, culprit)| {
                let (late, crashes) = (culprit.late_starts, culprit.crashes);
                format!("{task} starts {late} times after its third crash, of {crashes}")
            })
            .collect();
        self.wrong.extend(wrong);
    }

    fn unsettled(&self) -> Vec<JobId> {
        let owner = self.owners.last().unwrap();
        let ended = |id: &JobId| {
            let key = final_key(&pool_name(), *id);
            self.read(key).map(|row| row.parse::<FinalRecord>().unwrap().ending)
        };
        let settled = |id: &JobId, plan: &Plan| match ended(id) {
            Some(Ending::Completed) => !plan.is_long_running() && !self.is_culprit(*id),
            Some(Ending::Cancelled) => self.cancelled.contains(id),
            Some(Ending::Failed) => self.is_culprit(*id),
            None => {
                let works = self
                    .tasks
                    .iter()
                    .filter(|(task, seen)| task.job == *id && !seen.running.is_empty());
                plan.is_long_running()
                    && owner.pool.state(*id) == Some(JobState::Running)
                    && works.count() == plan.steps[0].count as usize
            }
        };
        let jobs = self.jobs.iter().filter(|(id, plan)| !settled(id, plan));
        jobs.map(|(id, _)| *id).collect()
    }
}
