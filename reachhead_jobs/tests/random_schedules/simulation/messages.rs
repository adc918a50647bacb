//! What travels between owners, workers and the store, and what becomes of it on the way.

use reachhead_jobs::{
    clock::Tick,
    pool::{Action, DeathEvidence},
    ports::WorkerError,
    task::TaskId,
};
use reachhead_types::id::WorkerId;

use super::{Answer, Event, Life, Nature, REBOOT_TIME, Site, TASK_TIME, TRAVEL};

impl Site {
    /// Returns whether the next call's answer is lost, and how late it is carried out.
    pub(super) fn fault(&mut self) -> (bool, u64) {
        if self.late > 0 {
            self.late -= 1;
            return (true, 700 + 400 * u64::from(self.late));
        }
        if self.lose > 0 {
            self.lose -= 1;
            return (true, 0);
        }
        (false, 0)
    }

    pub(super) fn push(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    pub(super) fn send(&mut self, place: usize, action: Action, sent: Tick) {
        let (lost, delay) = self.fault();
        if lost {
            let failure = || WorkerError::Lost("the walk loses it".to_owned());
            let answer = match &action {
                Action::Hold(target, _) => Answer::Held(target.id.clone(), sent, Err(failure())),
                Action::Start(target, order) => {
                    Answer::Started(target.id.clone(), order.task, order.run, Err(failure()))
                }
                Action::Stop(target, task, run) => {
                    Answer::Stopped(target.id.clone(), *task, *run, Err(failure()))
                }
                _ => return,
            };
            self.push(200, Event::Answer { owner: place, answer });
        }
        self.push(TRAVEL + delay, Event::Order { owner: place, action, sent, answered: !lost });
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Order { owner, action, sent, answered } => {
                    let answer = self.carry_out(owner, &action, sent);
                    if let Some(answer) = answer.filter(|_| answered) {
                        self.push(TRAVEL, Event::Answer { owner, answer });
                    }
                }
                // Nobody waits for its answer.
                Event::Raise(txn) => drop(self.commit(txn)),
                Event::Commit { owner, batch, answered } => {
                    let commit = self.commit(batch.txn.clone());
                    if answered {
                        let answer = Answer::Committed(batch, Ok(commit));
                        self.push(TRAVEL, Event::Answer { owner, answer });
                    }
                }
                Event::Over(id) => self.tell_over(&id),
                Event::Join => self.add_worker(),
                Event::Answer { owner, answer } => self.hear(owner, answer),
            }
            self.judge();
        }
    }

    fn carry_out(&mut self, owner: usize, action: &Action, sent: Tick) -> Option<Answer> {
        let now = self.now;
        let cut = self.owners[owner].cut.clone();
        let reach = |id: &WorkerId| cut.get(id).is_none_or(|until| *until <= now);
        let gone = || WorkerError::Unreachable("no such worker".to_owned());
        match action {
            Action::Hold(target, order) => {
                let life = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let result = life.map_or(Err(gone()), |life| life.hold(target.token, order, now));
                Some(Answer::Held(target.id.clone(), sent, result))
            }
            Action::Start(target, order) => {
                let time = (!self.lasts(&order.task)).then_some(TASK_TIME);
                let nature = Nature { time, fails: false, crashes: false };
                let life = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let start = |life: &mut Life| life.start(target.token, order, nature, now);
                let result = life.map_or(Err(gone()), start);
                if result.is_ok() {
                    self.meet_culprit(owner, &target.id, order.task);
                }
                Some(Answer::Started(target.id.clone(), order.task, order.run, result))
            }
            Action::Stop(target, task, run) => {
                let life = self.workers.get_mut(&target.id).filter(|_| reach(&target.id));
                let result =
                    life.map_or(Err(gone()), |life| life.stop(target.token, *task, *run, now));
                Some(Answer::Stopped(target.id.clone(), *task, *run, result))
            }
            _ => None,
        }
    }

    /// A task that crashes its workers does so as soon as it is started.
    fn meet_culprit(&mut self, owner: usize, id: &WorkerId, task: TaskId) {
        let now = self.now;
        let counts = self.owners[owner].is_in_touch(now);
        let Some(culprit) = self.culprits.get_mut(&task) else {
            return;
        };
        culprit.late_starts += u32::from(culprit.crashes >= 3 && counts);
        culprit.crashes += 1;
        self.judge();
        self.crash(id);
        self.push(REBOOT_TIME, Event::Join);
    }

    fn tell_over(&mut self, id: &WorkerId) {
        let now = self.now;
        for owner in self.owners.iter_mut().filter(|owner| owner.alive && owner.frozen <= now) {
            owner.pool.worker_died(id, DeathEvidence::Unhosted, Tick(now));
        }
        let thaw = self.owners.iter().filter(|owner| owner.alive).map(|owner| owner.frozen).max();
        if let Some(thaw) = thaw.filter(|thaw| *thaw > now) {
            self.push(thaw - now + 1, Event::Over(id.clone()));
        }
    }

    fn hear(&mut self, place: usize, answer: Answer) {
        let now = Tick(self.now);
        let owner = &mut self.owners[place];
        if !owner.alive {
            return;
        }
        if owner.frozen > self.now {
            let thaw = owner.frozen - self.now + 1;
            self.push(thaw, Event::Answer { owner: place, answer });
            return;
        }
        match answer {
            Answer::Held(id, sent, result) => owner.pool.held(&id, sent, result, now),
            Answer::Started(id, task, run, result) => {
                owner.pool.started(&id, task, run, result, now);
            }
            Answer::Stopped(id, task, run, result) => {
                owner.pool.stopped(&id, task, run, result, now);
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
