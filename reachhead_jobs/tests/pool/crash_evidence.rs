//! Tests of which crashes count against a task: those of workers that are known to have had it.

use reachhead_jobs::{
    crashes::{CrashRole, Crashes},
    incarnation::Incarnation,
    model::Step,
    pool::{DeathEvidence, JobState, NoteKind},
    ports::{StartOrder, WorkerError, WorkerInfo},
    record::Ending,
};
use reachhead_types::{
    id::{JobId, WorkerId},
    size::Millis,
};

use crate::fixture::{Fixture, info, recovered, step, task, worker};

/// Time since the last contact with a worker that is in a long poll.
const POLL_AGE: u64 = 1400;

fn long_running(count: u32) -> Step {
    Step { long_running: true, max_unavailable: 1, ..step(count) }
}

fn workers(count: u32) -> Fixture {
    Fixture::ready((0..count).map(|number| info(&format!("w{number}"), 4)).collect())
}

fn crashes_of(fixture: &Fixture) -> Crashes {
    fixture.pool.jobs()[&JobId(1)].steps[&task(1, 0, 0).step_id()].tasks[0].crashes
}

fn report_all(fixture: &mut Fixture) {
    let living: Vec<WorkerId> = fixture.infos.iter().map(|info| info.id.clone()).collect();
    living.iter().for_each(|id| fixture.report(id));
}

/// Answers each start order of the next round with `error`, and returns the workers.
fn fail_starts(fixture: &mut Fixture, error: &WorkerError) -> Vec<WorkerId> {
    let starts = fixture.starts();
    for (id, order) in &starts {
        fixture.advance(5);
        fixture.pool.started(id, order.task, order.run, Err(error.clone()), fixture.now);
    }
    starts.into_iter().map(|(id, _)| id).collect()
}

/// Guards against the loss of an accepted job whose task was ordered to three workers that had been
/// replaced before.
#[test]
fn a_task_whose_orders_reach_only_replaced_workers_is_not_given_up() {
    let mut fixture = workers(6);
    fixture.advance(POLL_AGE);
    fixture.submit(1, vec![long_running(1)]);
    for _ in 0..5 {
        let tried = fail_starts(&mut fixture, &WorkerError::Replaced);
        assert_eq!(tried.len(), 1, "the task is started again at once");
        fixture.flush();
        fixture.advance(60);
    }
    assert_eq!(fixture.pool.state(JobId(1)), Some(JobState::Queued));
}

/// The same for orders without an answer to workers that had crashed before they were sent: they are
/// no evidence, and the task is started again only where the next crash would be.
#[test]
fn a_task_whose_orders_are_unanswered_by_dead_workers_is_not_given_up() {
    let mut fixture = workers(6);
    fixture.submit(1, vec![long_running(1)]);
    for round in 0..5 {
        report_all(&mut fixture);
        fixture.advance(POLL_AGE);
        let tried = fail_starts(&mut fixture, &WorkerError::Lost("no answer".to_owned()));
        assert_eq!(tried.len(), usize::from(round == 0));
        fixture.advance(900);
        for id in tried {
            fixture.pool.held(&id, fixture.now, Err(WorkerError::Replaced), fixture.now);
            fixture.infos.retain(|info| info.id != id);
        }
        fixture.list();
        fixture.flush();
        let crashes = crashes_of(&fixture);
        assert_eq!((crashes.total, crashes.unproven), (0, 1));
    }
}

/// Guards against the opposite fault: a worker that dies before it confirms the start shows nothing
/// but the missing answer, and the task would take the pool down worker by worker.
#[test]
fn a_task_whose_workers_die_before_they_confirm_it_is_given_up() {
    let mut fixture = workers(8);
    fixture.advance(POLL_AGE);
    fixture.submit(1, vec![long_running(1)]);
    let mut tried = 0;
    while fixture.pool.state(JobId(1)) != Some(JobState::Over(Ending::Failed)) {
        let lost = fail_starts(&mut fixture, &WorkerError::Broken("connection reset".to_owned()));
        tried += lost.len();
        assert!(tried <= 4, "the task takes down one worker after the other");
        for id in lost {
            fixture.pool.held(&id, fixture.now, Err(WorkerError::Replaced), fixture.now);
            fixture.infos.retain(|info| info.id != id);
        }
        fixture.list();
        fixture.flush();
        report_all(&mut fixture);
    }
}

/// A task on trial is started only where a crash would be evidence.
#[test]
fn a_task_on_trial_waits_for_a_worker_that_has_just_answered() {
    let mut fixture = workers(3);
    fixture.submit_and_start(1, vec![long_running(1)]);
    let first = fixture.running.keys().next().unwrap().clone();
    fixture.pool.worker_died(&first, DeathEvidence::Unhosted, fixture.now);
    fixture.infos.retain(|info| info.id != first);
    fixture.flush();
    fixture.advance(POLL_AGE);
    assert!(fixture.starts().is_empty(), "all workers may have died since they answered");
    let second = fixture.infos[0].id.clone();
    fixture.report(&second);
    let starts = fixture.starts();
    assert_eq!(starts.iter().map(|(id, _)| id).collect::<Vec<_>>(), [&second]);
}

/// Lets racks of six workers go down every 2.5 s, and returns the state of a job whose task is starting
/// on a worker of each. The owner finds so many other workers of the rack dead before that one.
fn state_after_racks_in_turn(found_before: usize) -> Option<JobState> {
    let mut fixture = workers(40);
    fixture.submit_and_start(1, vec![long_running(1)]);
    for _ in 0..6 {
        let Some(id) = fixture.running.keys().next().cloned() else {
            break;
        };
        fixture.running.remove(&id);
        let others = fixture.infos.iter().map(|info| &info.id).filter(|other| **other != id);
        let mut dead: Vec<WorkerId> = others.take(5).cloned().collect();
        dead.insert(found_before, id);
        for id in &dead {
            fixture.advance(10);
            fixture.pool.worker_died(id, DeathEvidence::Unhosted, fixture.now);
            fixture.infos.retain(|info| info.id != *id);
        }
        fixture.list();
        fixture.flush();
        for _ in 0..13 {
            for (id, order) in fixture.starts() {
                fixture.accept(&id, &order);
            }
            fixture.advance(200);
            report_all(&mut fixture);
            fixture.flush();
        }
    }
    fixture.pool.state(JobId(1))
}

/// Racks that go down in turn take whatever is starting there with them. Guards against giving up a
/// task that was starting on one worker of each.
#[test]
fn a_task_that_is_starting_in_racks_that_go_down_in_turn_is_not_given_up() {
    assert_eq!(state_after_racks_in_turn(3), Some(JobState::Running));
}

/// The same if the owner finds that worker dead before the others of its rack, when nothing shows yet
/// that they share a cause.
#[test]
fn a_task_whose_worker_is_found_dead_first_in_each_rack_is_not_given_up() {
    assert_eq!(state_after_racks_in_turn(0), Some(JobState::Running));
}

/// A worker in a cut network keeps its runs until their leases end, and may crash much later.
#[test]
fn a_worker_that_dies_after_its_leases_is_no_evidence() {
    let mut fixture = workers(6);
    fixture.submit(1, vec![long_running(1)]);
    let mut starts = fixture.starts();
    for _ in 0..4 {
        let (id, order) = starts.remove(0);
        fixture.accept(&id, &order);
        fixture.running.clear();
        while !fixture.pool.workers()[&id].runs.is_empty() {
            fixture.fail_poll(&id);
            fixture.advance(100);
            starts = fixture.starts();
        }
        fixture.pool.worker_died(&id, DeathEvidence::Replaced, fixture.now);
        fixture.infos.retain(|info| info.id != id);
        fixture.list();
        fixture.flush();
        report_all(&mut fixture);
        // Once it is on trial, the task waits for an answer of a worker.
        starts.extend(fixture.starts());
    }
    assert_ne!(fixture.pool.state(JobId(1)), Some(JobState::Over(Ending::Failed)));
}

/// The run was there before this owner, so its worker has survived the start.
#[test]
fn a_run_of_a_predecessor_is_not_the_cause_of_a_crash() {
    let found = recovered(vec![(1, vec![long_running(1)])], vec![("w0", None)]);
    let mut fixture = Fixture::new(found, vec![info("w0", 4), info("w1", 4)]);
    fixture.set_running(&worker("w0"), task(1, 0, 0), 3, 0);
    fixture.report(&worker("w0"));
    fixture.pool.worker_died(&worker("w0"), DeathEvidence::Unhosted, fixture.now);
    assert!(crashes_of(&fixture).is_empty());
}

/// An order to a worker that had been replaced left a doubt about the task, which stayed for good: the
/// task got no speculative copy, and each later start was a trial, although it had worked since.
#[test]
fn a_task_that_has_worked_is_cleared_of_unproven_crashes() {
    let mut fixture = workers(4);
    fixture.advance(POLL_AGE);
    fixture.submit(1, vec![Step { speculative: true, ..step(1) }]);
    let first = fail_starts(&mut fixture, &WorkerError::Lost("no answer".to_owned()));
    fixture.pool.worker_died(&first[0], DeathEvidence::Unhosted, fixture.now);
    fixture.infos.retain(|info| info.id != first[0]);
    fixture.flush();
    report_all(&mut fixture);
    let (second, order) = fixture.starts().remove(0);
    fixture.accept(&second, &order);
    fixture.set_running(&second, order.task, order.run.0, 10);
    fixture.report(&second);
    fixture.fail_poll(&second);
    assert_eq!(fixture.starts().len(), 1, "a copy on another worker");
}

/// A new owner finds workers on the list whose hosts left before it took over. Guards against taking
/// them for an outage, during which crashes count against no task and tasks on trial wait.
#[test]
fn workers_that_never_answered_this_owner_are_no_outage() {
    let mut fixture = workers(2);
    let left: Vec<_> = (0..9).map(|number| info(&format!("left{number}"), 4)).collect();
    fixture.infos.extend(left.clone());
    fixture.list();
    for info in left {
        fixture.pool.worker_died(&info.id, DeathEvidence::Unhosted, fixture.now);
        fixture.infos.retain(|listed| listed.id != info.id);
    }
    fixture.submit_and_start(1, vec![step(1)]);
    let crashed = fixture.running.keys().next().unwrap().clone();
    fixture.pool.worker_died(&crashed, DeathEvidence::Unhosted, fixture.now);
    let crashes = crashes_of(&fixture);
    assert_eq!((crashes.own, crashes.unproven), (1, 0));
}

/// The end of a worker ends the runs that a report has listed at once, and the others later. Guards against
/// taking the first part for a death that no starting task explains: three of them were an outage, in which
/// the crashes by a task counted as chance, and it took down one worker after the other.
#[test]
fn workers_that_a_starting_task_crashes_beside_reported_runs_are_no_outage() {
    let listed = |cores| {
        let listed = |name| WorkerInfo { started_at: Some(Millis(1)), ..info(name, cores) };
        ["w0", "w1", "w2"].map(listed).to_vec()
    };
    let mut fixture = Fixture::ready(listed(1));
    fixture.submit_and_start(2, vec![step(3)]);
    let working: Vec<WorkerId> = fixture.running.keys().cloned().collect();
    assert_eq!(working.len(), 3);
    for id in &working {
        let run = fixture.running[id][0].clone();
        fixture.set_running(id, run.task, run.run.0, 30);
    }
    fixture.infos = listed(2);
    fixture.list();
    report_all(&mut fixture);
    fixture.submit(1, vec![step(3)]);
    let tried = fail_starts(&mut fixture, &WorkerError::Lost("no answer".to_owned()));
    assert_eq!(tried.len(), 3);
    for id in &tried {
        let ended = Incarnation::new(id.clone()).with_start(Some(Millis(1)));
        fixture.fail_poll(id);
        fixture.pool.worker_unhosted(&ended, fixture.now);
    }
    for id in &tried {
        fixture.advance(100);
        fixture.refuse_connection(id);
    }
    assert!(tried.iter().all(|id| !fixture.pool.workers().contains_key(id)));
    let notes = fixture.pool.take_notes();
    assert!(notes.iter().all(|note| note.kind != NoteKind::WorkerOutage), "{notes:?}");
    let crashed = notes.iter().filter(|note| note.kind == NoteKind::WorkerCrashed).count();
    assert_eq!(crashed, 3, "each crash is logged once: {notes:?}");
    let tasks = &fixture.pool.jobs()[&JobId(1)].steps[&task(1, 0, 0).step_id()].tasks;
    for state in tasks {
        assert_eq!((state.crashes.own, state.crashes.total, state.crashes.unproven), (1, 1, 0));
    }
}

/// Guards against more lost workers than three by a task whose first crash fell into an outage.
#[test]
fn an_unproven_crash_counts_beside_two_of_the_task_alone() {
    let mut crashes = Crashes::default();
    for _ in 0..9 {
        crashes.record(CrashRole::Unproven);
        assert!(!crashes.is_conclusive(), "an outage proves nothing");
    }
    let mut crashes = Crashes::default();
    crashes.record(CrashRole::Unproven);
    crashes.record(CrashRole::Own);
    assert!(!crashes.is_conclusive());
    crashes.record(CrashRole::Own);
    assert!(crashes.is_conclusive());
}

/// Returns a pool with one worker, which reports a run of another job, and an order to start a task there.
fn crash_setup() -> (Fixture, StartOrder) {
    let named = |cores| vec![WorkerInfo { started_at: Some(Millis(1)), ..info("w0", cores) }];
    let mut fixture = Fixture::ready(named(1));
    fixture.submit_and_start(2, vec![step(1)]);
    let w = worker("w0");
    let run = fixture.running[&w][0].clone();
    fixture.set_running(&w, run.task, run.run.0, 30);
    fixture.infos = named(2);
    fixture.list();
    report_all(&mut fixture);
    fixture.submit(1, vec![step(1)]);
    let (_, order) = fixture.starts().remove(0);
    (fixture, order)
}

/// Lets a poll of the worker fail, and reports that the platform has no host with its first incarnation.
fn report_end(fixture: &mut Fixture) {
    let ended = Incarnation::new(worker("w0")).with_start(Some(Millis(1)));
    fixture.fail_poll(&worker("w0"));
    fixture.pool.worker_unhosted(&ended, fixture.now);
}

/// Guards against charging a task with the crash of an incarnation that it never reached: the next one, which
/// had not been noticed, has confirmed it and reports it.
#[test]
fn a_task_that_the_next_incarnation_runs_did_not_crash_the_ended_one() {
    let (mut fixture, order) = crash_setup();
    let w = worker("w0");
    // The next incarnation accepts the start.
    fixture.accept(&w, &order);
    fixture.advance(50);
    report_end(&mut fixture);
    fixture.infos[0].started_at = Some(Millis(2));
    fixture.list();
    fixture.running.get_mut(&w).unwrap().retain(|entry| entry.task == order.task);
    fixture.advance(50);
    fixture.report(&w);
    let crashes = crashes_of(&fixture);
    assert_eq!((crashes.own, crashes.total), (0, 0), "{crashes:?}");
}

/// Guards against counting one crash twice if a report of the ended incarnation, which a dispatcher passes on
/// late, comes between two reports of its end.
#[test]
fn a_late_report_between_two_notices_of_an_end_is_not_another_crash() {
    let (mut fixture, order) = crash_setup();
    let w = worker("w0");
    let sent = fixture.now;
    fixture.accept(&w, &order);
    fixture.advance(50);
    report_end(&mut fixture);
    fixture.advance(50);
    fixture.report_sent(&w, sent);
    fixture.advance(50);
    report_end(&mut fixture);
    let crashes = crashes_of(&fixture);
    assert!(crashes.total <= 1, "one crash counts twice: {crashes:?}");
}

/// Guards against a crash that is never judged: the end of the first incarnation was judged, and the next one,
/// which is registered and has confirmed a start, dies before its first report.
#[test]
fn the_crash_of_a_registered_incarnation_that_never_reported_is_judged() {
    let (mut fixture, order) = crash_setup();
    let w = worker("w0");
    let broken = Err(WorkerError::Broken("reset".to_owned()));
    fixture.pool.started(&w, order.task, order.run, broken, fixture.now);
    report_end(&mut fixture);
    fixture.advance(100);
    fixture.infos[0].started_at = Some(Millis(2));
    fixture.list();
    let ended = Incarnation::new(w.clone()).with_start(Some(Millis(2)));
    fixture.pool.worker_unhosted(&ended, fixture.now);
    fixture.refuse_connection(&w);
    assert!(!fixture.pool.workers().contains_key(&w));
    assert_eq!(crashes_of(&fixture).total, 2, "both deaths count");
}
