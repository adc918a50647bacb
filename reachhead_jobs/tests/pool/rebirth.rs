//! Workers that start again under the id that they had.

use reachhead_jobs::{
    clock::WorkerTime,
    pool::Action,
    ports::{HoldOrder, RunEnd, WorkerError, WorkerReport},
};
use reachhead_types::{id::WorkerId, size::Millis};

use crate::fixture::{Fixture, info, step, task, worker};

const FIRST: u64 = 1000;
const SECOND: u64 = 2000;

/// One worker that says when its life began.
fn site() -> Fixture {
    let mut fixture = Fixture::ready(vec![info("w", 4)]);
    bear(&mut fixture, FIRST);
    fixture.list();
    fixture.report(&worker("w"));
    fixture
}

fn bear(fixture: &mut Fixture, born: u64) {
    fixture.infos[0].started_at = Some(Millis(born));
}

/// The worker crashes and is back before anybody calls it.
fn restart(fixture: &mut Fixture) {
    bear(fixture, SECOND);
    fixture.running.clear();
    fixture.ended.clear();
}

/// All that runs is shown at work.
fn work(fixture: &mut Fixture) {
    for entry in fixture.running.values_mut().flatten() {
        entry.percent = 50;
    }
    fixture.report(&worker("w"));
}

fn holds(fixture: &mut Fixture) -> Vec<HoldOrder> {
    let hold = |action| match action {
        Action::Hold(_, order) => Some(order),
        _ => None,
    };
    fixture.poll().into_iter().filter_map(hold).collect()
}

fn starts_on(fixture: &mut Fixture) -> Vec<WorkerId> {
    fixture.starts().into_iter().map(|(id, _)| id).collect()
}

/// A worker had listed forty ends, crashed, and was back under its id. Its new ends have small numbers again: they counted as
/// known, and their tasks were at work for good in the owner's eyes.
#[test]
fn the_first_ends_of_a_new_life_count() {
    let mut fixture = site();
    for job in 1..=3 {
        fixture.begin(job, vec![step(1)]);
        let run = fixture.running[&worker("w")][0].run.0;
        fixture.end(&worker("w"), task(job, 0, 0), run, RunEnd::Done);
        fixture.report(&worker("w"));
        fixture.flush();
    }
    restart(&mut fixture);
    fixture.report(&worker("w"));
    fixture.begin(4, vec![step(1)]);
    let run = fixture.running[&worker("w")][0].run.0;
    fixture.end(&worker("w"), task(4, 0, 0), run, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    assert!(fixture.pool.jobs().is_empty(), "the fourth job is over");
}

/// A worker that does not answer may be another life by now. Told that the ends up to the last number of the old one are
/// recorded, the new one forgot ends that nobody had read, and their tasks ran again.
#[test]
fn a_worker_that_was_silent_is_told_to_forget_nothing() {
    let mut fixture = site();
    fixture.begin(1, vec![step(1)]);
    let run = fixture.running[&worker("w")][0].run.0;
    fixture.end(&worker("w"), task(1, 0, 0), run, RunEnd::Done);
    fixture.report(&worker("w"));
    fixture.flush();
    assert_eq!(holds(&mut fixture)[0].acknowledged, 1);
    fixture.miss(&worker("w"));
    fixture.pass(200);
    assert_eq!(holds(&mut fixture)[0].acknowledged, 0);
}

#[test]
fn what_ran_in_the_old_life_starts_again() {
    let mut fixture = site();
    fixture.begin(1, vec![step(2)]);
    work(&mut fixture);
    restart(&mut fixture);
    fixture.pass(50);
    fixture.report(&worker("w"));
    assert_eq!(starts_on(&mut fixture).len(), 2);
}

/// An order that was sent to the old life and not answered may come to the new one, which has the same id. It is barred there
/// before the task starts again.
#[test]
fn an_order_that_may_come_late_is_barred_at_the_new_life() {
    let mut fixture = site();
    fixture.submit(1, vec![step(1)]);
    let (id, order) = fixture.starts().remove(0);
    restart(&mut fixture);
    fixture.report(&id);
    assert!(starts_on(&mut fixture).is_empty());
    let lost = Err(WorkerError::Lost("no answer".to_owned()));
    fixture.pool.started(&id, order.task, order.run, lost, fixture.now);
    fixture.pass(100);
    assert_eq!(fixture.stops(), [(id.clone(), order.task)]);
    let clock = fixture.clock();
    fixture.pool.stopped(&id, order.task, order.run, Ok(clock), fixture.now);
    fixture.pass(50);
    assert!(starts_on(&mut fixture).is_empty(), "no report has shown that it is gone");
    fixture.report(&id);
    // The crash is recorded before the task may cause another.
    fixture.flush();
    assert!(starts_on(&mut fixture).is_empty(), "calls of before may still come");
    fixture.pass(15_000);
    fixture.report(&id);
    assert_eq!(starts_on(&mut fixture), [id]);
}

/// A long poll of the old life was answered late, after the new one had been heard.
#[test]
fn a_late_report_of_the_old_life_changes_nothing() {
    let mut fixture = site();
    fixture.begin(1, vec![step(1)]);
    work(&mut fixture);
    let old = fixture.running[&worker("w")].clone();
    restart(&mut fixture);
    fixture.pass(50);
    fixture.report(&worker("w"));
    fixture.running.clear();
    let (id, order) = fixture.starts().remove(0);
    fixture.accept(&id, &order);
    let late = WorkerReport {
        started_at: Some(Millis(FIRST)),
        clock: WorkerTime(9_000_000),
        running: old,
        ended: Vec::new(),
    };
    fixture.pool.held(&worker("w"), fixture.now, Ok(late), fixture.now);
    assert!(fixture.stops().is_empty());
    let known = &fixture.pool.workers()[&worker("w")];
    assert_eq!(known.runs.len(), 1);
    assert!(known.clock.unwrap().worker_time < WorkerTime(9_000_000));
}

/// The platform's list told of the new life first: nothing is started there before it has answered, and a list that is behind
/// does not bring the old one back.
#[test]
fn a_new_life_on_the_list_gets_nothing_before_it_answers() {
    let mut fixture = site();
    restart(&mut fixture);
    fixture.list();
    fixture.submit(1, vec![step(1)]);
    assert!(starts_on(&mut fixture).is_empty());
    fixture.report(&worker("w"));
    bear(&mut fixture, FIRST);
    fixture.list();
    assert_eq!(starts_on(&mut fixture).len(), 1);
}

/// A worker whose life was over, by whomever's word, never came back under its id: the id stood among those that are over.
#[test]
fn a_worker_that_was_over_is_used_again_once_it_has_a_new_life() {
    let mut fixture = site();
    fixture.pool.held(&worker("w"), fixture.now, Err(WorkerError::Replaced), fixture.now);
    fixture.list();
    assert!(fixture.pool.workers().is_empty(), "the list still has the old life");
    restart(&mut fixture);
    fixture.list();
    fixture.poll();
    fixture.flush();
    fixture.report(&worker("w"));
    fixture.submit(1, vec![step(1)]);
    assert_eq!(starts_on(&mut fixture).len(), 1);
}

/// A task that crashes its worker was started there again and again: each new life has the same id, so no life was ever over.
#[test]
fn crashes_of_workers_that_come_back_under_their_id_count() {
    let mut fixture = site();
    fixture.submit(1, vec![step(1)]);
    let mut starts = 0;
    for life in 0..20 {
        for action in fixture.poll() {
            match action {
                Action::Start(target, order) => {
                    starts += 1;
                    let reset = || WorkerError::Broken("reset".to_owned());
                    let (id, now) = (&target.id, fixture.now);
                    fixture.pool.started(id, order.task, order.run, Err(reset()), now);
                    fixture.pool.held(id, now, Err(reset()), now);
                    bear(&mut fixture, SECOND + life);
                }
                Action::Stop(target, task, run) => {
                    let clock = fixture.clock();
                    fixture.pool.stopped(&target.id, task, run, Ok(clock), fixture.now);
                }
                _ => {}
            }
        }
        fixture.flush();
        fixture.pass(300);
        fixture.report(&worker("w"));
    }
    fixture.flush();
    assert!(fixture.pool.jobs().is_empty(), "the job is given up");
    assert!(starts <= 5, "{starts} starts");
}
