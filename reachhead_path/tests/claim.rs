//! Claims: random interleavings of hosts, a store that loses answers, kills and pauses.
//!
//! The model is the protocol of docs/AT-MOST-ONCE.md with one step at a time; whatever the order,
//! a key runs at most once, and "not-run" is only said of what never runs under that attempt.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use reachhead_path::claim::{AttemptState, ClaimLookup, ClaimTable};
use reachhead_property::properties;
use reachhead_types::{
    boot_instant::BootInstant,
    id::{AttemptId, Fingerprint},
};

const KEY: &str = "claim/alpha/red/k";
const PRINT: Fingerprint = Fingerprint(7);

/// One host's part in the model.
#[derive(Default)]
struct Host {
    table: ClaimTable,
    incarnation: u32,
    /// The attempt under way, and whether its claim is known to be stored.
    active: Option<(AttemptId, bool)>,
    is_paused: bool,
}

#[derive(Clone, Copy)]
struct Row {
    attempt: AttemptId,
    host: usize,
    incarnation: u32,
}

#[derive(Default)]
struct Model {
    hosts: Vec<Host>,
    row: Option<Row>,
    /// A claim whose call was given up by its host but may still reach the store.
    delayed: Option<Row>,
    next: u128,
    runs: Vec<AttemptId>,
    told_not_run: Vec<AttemptId>,
}

impl Model {
    fn new() -> Self {
        Self { hosts: (0..3).map(|_| Host::default()).collect(), ..Self::default() }
    }

    fn step(&mut self, host: usize, action: u8) {
        if self.hosts[host].is_paused && action % 8 != 6 {
            return;
        }
        match action % 8 {
            0 | 1 => self.request(host, action),
            2 => self.claim(host, false),
            3 => self.claim(host, true),
            4 => self.dispatch(host),
            5 => self.kill(host),
            6 => self.hosts[host].is_paused = !self.hosts[host].is_paused,
            _ => self.land(),
        }
    }

    fn request(&mut self, host: usize, action: u8) {
        let part = &mut self.hosts[host];
        if part.active.is_some() || part.table.look_up(KEY, PRINT) != ClaimLookup::New {
            return;
        }
        self.next += 1;
        let attempt = AttemptId(self.next);
        part.table.start(KEY, PRINT, attempt, BootInstant::now());
        part.active = Some((attempt, false));
        if action % 8 == 1 {
            self.claim(host, false);
        }
    }

    /// The store takes the claim, or not; `is_lost` loses its answer and the read after it.
    fn claim(&mut self, host: usize, is_lost: bool) {
        let Some((attempt, false)) = self.hosts[host].active else {
            return;
        };
        let row = Row { attempt, host, incarnation: self.hosts[host].incarnation };
        if is_lost {
            self.delayed = Some(row);
            self.give_up(host, attempt);
            return;
        }
        match self.row {
            None => self.store(row),
            Some(held) if self.is_abandoned(held) => self.store(row),
            Some(_) => self.give_up(host, attempt),
        }
    }

    fn store(&mut self, row: Row) {
        self.row = Some(row);
        self.hosts[row.host].active = Some((row.attempt, true));
    }

    /// Asks the owner of `held`, as another host does; only its own incarnation can tell.
    fn is_abandoned(&self, held: Row) -> bool {
        let owner = &self.hosts[held.host];
        owner.incarnation == held.incarnation
            && !owner.is_paused
            && owner.table.state(held.attempt) == Some(&AttemptState::Abandoned)
    }

    fn give_up(&mut self, host: usize, attempt: AttemptId) {
        let part = &mut self.hosts[host];
        part.active = None;
        if part.table.abandon(attempt) {
            self.told_not_run.push(attempt);
        }
    }

    fn dispatch(&mut self, host: usize) {
        let part = &mut self.hosts[host];
        let Some((attempt, true)) = part.active else {
            return;
        };
        part.active = None;
        if part.table.send(attempt) {
            self.runs.push(attempt);
            part.table.finish(attempt, AttemptState::Lost);
        }
    }

    fn kill(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = Host { incarnation, ..Host::default() };
    }

    /// A delayed claim reaches the store, if the place is free.
    fn land(&mut self) {
        if let (Some(row), None) = (self.delayed.take(), self.row) {
            self.row = Some(row);
        }
    }
}

properties! {
    fn a_key_runs_at_most_once_and_not_run_is_true(steps: Vec<(u8, u8)>) -> bool {
        let mut model = Model::new();
        for (host, action) in steps {
            model.step(usize::from(host) % 3, action);
        }
        model.runs.len() <= 1
            && model.told_not_run.iter().all(|attempt| !model.runs.contains(attempt))
    }

    /// Long random walks, since short ones rarely get past the first claim.
    fn a_key_runs_at_most_once_in_long_walks(seed: u64) -> bool {
        let mut model = Model::new();
        let mut state = seed | 1;
        for _ in 0..2000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            model.step((state >> 33) as usize % 3, (state >> 40) as u8);
        }
        model.runs.len() <= 1
            && model.told_not_run.iter().all(|attempt| !model.runs.contains(attempt))
    }
}

#[test]
fn an_abandoned_attempt_is_never_sent_and_a_sent_one_never_abandoned() {
    let now = BootInstant::now();
    let mut table = ClaimTable::new();
    let (first, second) = (AttemptId(1), AttemptId(2));
    table.start(KEY, PRINT, first, now);
    assert!(table.abandon(first));
    assert!(!table.send(first));
    assert_eq!(table.look_up(KEY, PRINT), ClaimLookup::New);
    table.start(KEY, PRINT, second, now);
    assert_eq!(table.state(first), Some(&AttemptState::Abandoned));
    assert!(table.send(second));
    assert!(!table.send(second));
    assert!(!table.abandon(second));
    assert_eq!(table.look_up(KEY, Fingerprint(8)), ClaimLookup::KeyReused);
}

#[test]
fn only_ended_attempts_are_forgotten() {
    let now = BootInstant::now();
    let keep = Duration::from_secs(10);
    let mut table = ClaimTable::new();
    table.start("a", PRINT, AttemptId(1), now);
    table.start("b", PRINT, AttemptId(2), now);
    assert!(table.send(AttemptId(2)));
    table.finish(AttemptId(2), AttemptState::Lost);
    table.evict_ended(keep, now + keep);
    assert_eq!(table.state(AttemptId(1)), Some(&AttemptState::Pending));
    assert_eq!(table.state(AttemptId(2)), None);
    assert_eq!(table.len(), 1);
}
