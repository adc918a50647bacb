//! Tests of what operators are told about suspended workers.

use reachhead_jobs::{
    model::Step,
    pool::NoteKind,
    ports::{Rejection, RunEnd, WorkerError},
};

use crate::fixture::{Fixture, info, step, worker};

/// Returns the lines about workers since the last call.
fn lines(fixture: &mut Fixture) -> Vec<String> {
    let notes = fixture.pool.take_notes().into_iter();
    notes.filter(|note| note.kind == NoteKind::WorkerDoubted).map(|note| note.text).collect()
}

/// Workers were suspended for rejected starts and stuck runs without any line, and for failed runs with
/// one a run.
#[test]
fn each_suspension_is_logged_once_with_its_cause() {
    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    fixture.submit(1, vec![step(2)]);
    for (id, order) in fixture.starts() {
        let error = Err(WorkerError::Rejected(Rejection::Unhealthy));
        fixture.pool.started(&id, order.task, order.run, error, fixture.now);
    }
    let rejected = "worker=w1 suspended=true why=rejected-start task=0000000000000001.0.0.0";
    assert_eq!(lines(&mut fixture), [rejected]);

    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    let lasting = Step { long_running: true, ..step(1) };
    fixture.submit_and_start(1, vec![lasting.clone(), lasting]);
    for _ in 0..30 {
        fixture.advance(100);
        fixture.poll();
        fixture.report(&worker("w1"));
    }
    let stuck = "worker=w1 suspended=true why=stuck-run task=0000000000000001.0.0.0";
    assert_eq!(lines(&mut fixture), [stuck]);

    let mut fixture = Fixture::ready(vec![info("w1", 16)]);
    (1..=6).for_each(|id| fixture.submit_and_start(id, vec![step(1)]));
    for entry in fixture.running[&worker("w1")].clone() {
        fixture.end(&worker("w1"), entry.task, entry.run.0, RunEnd::Failed);
    }
    fixture.report(&worker("w1"));
    let failed = "worker=w1 suspended=true why=failed-runs task=0000000000000003.0.0.0";
    assert_eq!(lines(&mut fixture), [failed]);
}
