//! Network between owners, workers and the store, with lost and late messages.

use reachhead_jobs::{
    clock::Tick, incarnation::Incarnation, pool::Action, ports::WorkerError, record::lease_key,
    task::TaskId,
};
use reachhead_types::{id::WorkerId, size::Millis};

use super::{
    Answer, Event, LongPoll, MAX_SCAN_DELAY, MIN_UNDISTURBED_TIME, NETWORK_DELAY,
    REPLACEMENT_DELAY, Simulation, StoredRow, WorkerIncarnation, outages::failure, pool_name,
};

/// Number of messages that are lost in a row from which on a loss counts as a cut of the network.
const MIN_BURST: u8 = 8;

impl Simulation {
    /// Returns whether the answer of the next call is lost, and how late the call is carried out.
    pub(super) fn fault(&mut self) -> (bool, u64) {
        if self.delay_next > 0 {
            self.delay_next -= 1;
            return (true, 700 + 400 * u64::from(self.delay_next));
        }
        if self.lose_next > 0 {
            self.lose_next -= 1;
            if self.lose_next >= MIN_BURST {
                self.disturb();
            }
            return (true, 0);
        }
        (false, 0)
    }

    pub(super) fn push(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    pub(super) fn send(&mut self, index: usize, action: Action, sent: Tick) {
        let (lost, delay) = self.fault();
        if lost {
            let error = WorkerError::Lost("lost by the simulation".to_owned());
            let answer = match &action {
                Action::FindJobs(jobs) => Answer::Found(jobs.clone(), None),
                Action::ConfirmLease => Answer::LeaseRead(None),
                Action::Advise(step, ..) => Answer::Advised(*step, sent, None),
                action => match failure(action, sent, error) {
                    Some(answer) => answer,
                    None => return,
                },
            };
            self.push(self.call_timeout(&action), Event::Answer { owner: index, answer });
        }
        self.push(
            NETWORK_DELAY + delay,
            Event::Order { owner: index, action, sent, answered: !lost },
        );
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Order { owner, action, sent, answered } => {
                    if self.fail_dark_call(owner, &action, sent, answered)
                        || self.hold_up_call(owner, &action, sent, answered)
                    {
                        continue;
                    }
                    if let Some(poll) = self.long_poll(owner, &action, sent, answered) {
                        self.continue_poll(poll);
                        continue;
                    }
                    let answer = self.carry_out(owner, &action, sent);
                    if let Some(answer) = answer.filter(|_| answered) {
                        self.push(NETWORK_DELAY, Event::Answer { owner, answer });
                    }
                }
                // The process has ended, so the answer is discarded.
                Event::Raise(txn) => drop(self.commit(txn)),
                Event::Commit { owner, batch, answered } => {
                    let commit = self.commit(batch.txn.clone());
                    if answered {
                        let answer = Answer::Committed(batch, Ok(commit));
                        self.push(NETWORK_DELAY, Event::Answer { owner, answer });
                    }
                }
                Event::Dead(ended) => self.report_dead(&ended),
                Event::Notice { owner, ended } => self.notify_of_ends(owner, ended),
                Event::Restart(id) => self.restart_after_crash(id),
                Event::Return(id, delay) => self.return_unnoticed(id, delay),
                Event::Register(id, born) => self.register(&id, born),
                Event::OldList(ended, reader) => self.report_old_list(&ended, reader),
                Event::CutOff(id, time) => self.cut_off(id, time),
                Event::Join => self.add_worker(),
                Event::DarkenRack(rack, dark_time) => self.darken_rack(rack, dark_time),
                Event::Replace(id) => self.replace(&id),
                Event::LongPoll(poll) => self.continue_poll(poll),
                Event::Answer { owner, answer } => self.receive(owner, answer),
            }
            self.check_invariants();
        }
    }

    /// Returns the long poll that a call is, if it reaches a worker and may wait there.
    fn long_poll(
        &self,
        owner: usize,
        action: &Action,
        sent: Tick,
        answered: bool,
    ) -> Option<LongPoll> {
        let Action::Hold(target, order) = action else { return None };
        let cut = self.owners[owner].workers_cut.get(&target.id);
        let is_cut = cut.is_some_and(|until| *until > self.now);
        let incarnation = self.workers.get(&target.id)?;
        if is_cut || self.poll_wait(action) == 0 {
            return None;
        }
        let born = incarnation.born;
        let (target, order) = (target.clone(), *order);
        let until = self.now + order.wait.0;
        Some(LongPoll { owner, target, order, born, sent, answered, until })
    }

    fn carry_out(&mut self, owner: usize, action: &Action, sent: Tick) -> Option<Answer> {
        let now = self.now;
        let workers_cut = self.owners[owner].workers_cut.clone();
        let reach = |id: &WorkerId| workers_cut.get(id).is_none_or(|until| *until <= now);
        let is_down = |id: &WorkerId| self.fleet.as_ref().is_some_and(|fleet| fleet.is_down(id));
        let gone = match action {
            Action::Hold(target, _) | Action::Start(target, _) | Action::Stop(target, ..)
                if is_down(&target.id) && reach(&target.id) =>
            {
                || WorkerError::PortClosed("the worker is down".to_owned())
            }
            _ => || WorkerError::Unreachable("no such worker".to_owned()),
        };
        match action {
            Action::Hold(target, order) => {
                let incarnation = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let mut result = incarnation
                    .map_or(Err(gone()), |incarnation| incarnation.hold(target.token, order, now));
                if let Ok(report) = &mut result {
                    self.hide_progress(report);
                }
                Some(Answer::Held(target.id.clone(), sent, result))
            }
            Action::Start(target, order) => {
                let behavior = self.behavior(&target.id, order);
                let rejection = self.rejection(&target.id);
                let incarnation = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let start = |incarnation: &mut WorkerIncarnation| match rejection {
                    Some(rejection) => Err(WorkerError::Rejected(rejection)),
                    None => incarnation.start(target.token, order, behavior, now),
                };
                let result = incarnation.map_or(Err(gone()), start);
                if result.is_ok() {
                    self.crash_by_culprit(owner, &target.id, order.task);
                    if let Some((error, delay)) = self.dark_result(&target.id, 0) {
                        let answer = failure(action, sent, error)?;
                        self.push(delay, Event::Answer { owner, answer });
                        return None;
                    }
                }
                Some(Answer::Started(target.id.clone(), order.task, order.run, result))
            }
            Action::Stop(target, task, run) => {
                let incarnation = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let result = incarnation.map_or(Err(gone()), |incarnation| {
                    incarnation.stop(target.token, *task, *run, now)
                });
                Some(Answer::Stopped(target.id.clone(), *task, *run, sent, result))
            }
            Action::FindJobs(jobs) => {
                let owner = &self.owners[owner];
                let reaches_store = owner.store_cut_until.max(owner.rejected_until) <= now;
                Some(Answer::Found(jobs.clone(), reaches_store.then(|| self.find(jobs))))
            }
            Action::ConfirmLease => {
                let owner = &self.owners[owner];
                let lease = self.read(lease_key(&pool_name())).map(|row| row.revision);
                let is_own = owner.store_cut_until <= now && lease == Some(owner.token);
                Some(Answer::LeaseRead(is_own.then_some(sent)))
            }
            Action::Advise(step, workers, _) => {
                Some(Answer::Advised(*step, sent, Some(self.approvals(*step, workers))))
            }
            _ => None,
        }
    }

    /// Lets a task that crashes its workers do so as soon as it is started.
    fn crash_by_culprit(&mut self, owner: usize, id: &WorkerId, task: TaskId) {
        let now = self.now;
        let quiet_since = now - MIN_UNDISTURBED_TIME;
        let is_over = self.outages.as_ref().is_none_or(|at| at.is_over_since(quiet_since));
        let is_counted = is_over && self.owners[owner].is_undisturbed(now);
        let Some(culprit) = self.culprits.get_mut(&task) else {
            return;
        };
        culprit.late_starts += u32::from(culprit.crashes >= 3 && is_counted);
        culprit.crashes += 1;
        self.check_invariants();
        if self.is_silent_culprit(task) {
            return self.darken_worker(id, REPLACEMENT_DELAY);
        }
        self.crash(id);
        self.push(REPLACEMENT_DELAY, Event::Join);
    }

    pub(super) fn report_dead(&mut self, ended: &Incarnation) {
        let now = self.now;
        for owner in self.owners.iter_mut().filter(|owner| owner.alive && owner.paused_until <= now)
        {
            owner.pool.worker_unhosted(ended, Tick(now));
        }
        let resume =
            self.owners.iter().filter(|owner| owner.alive).map(|owner| owner.paused_until).max();
        if let Some(resume) = resume.filter(|resume| *resume > now) {
            self.push(resume - now + 1, Event::Dead(ended.clone()));
        }
    }

    fn receive(&mut self, index: usize, answer: Answer) {
        let now = Tick(self.now);
        let owner = &mut self.owners[index];
        if !owner.alive {
            return;
        }
        if owner.paused_until > self.now {
            let resume = owner.paused_until - self.now + 1;
            self.push(resume, Event::Answer { owner: index, answer });
            return;
        }
        match answer {
            Answer::Held(id, sent, result) => owner.pool.held(&id, sent, result, now),
            Answer::Started(id, task, run, result) => {
                owner.pool.started(&id, task, run, result, now);
            }
            Answer::Stopped(id, task, run, sent, result) => {
                owner.pool.stopped(&id, task, run, sent, result, now);
            }
            // The owner finds the jobs by its regular reads, which begin once it has recovered.
            Answer::Found(jobs, stored) if owner.pool.is_recovering() => {
                let answer = Answer::Found(jobs, stored);
                self.push(MAX_SCAN_DELAY, Event::Answer { owner: index, answer });
            }
            Answer::Found(jobs, stored) => {
                for StoredRow { id, record, row } in stored.iter().flatten() {
                    owner.pool.submit_found(*id, record, *row, now, Millis(now.0));
                }
                owner.pool.jobs_found(&jobs, stored.is_some(), now);
            }
            Answer::LeaseRead(asked) => owner.pool.lease_read(asked, now),
            Answer::Advised(step, sent, approvals) => {
                owner.pool.advised(step, approvals, sent, now);
            }
            Answer::Committed(batch, result) => {
                owner.recording.remove(&batch.lane);
                if let Ok(commit) = result
                    && !owner.pool.decided(&batch, &commit, now)
                {
                    owner.alive = false;
                }
            }
        }
    }
}
