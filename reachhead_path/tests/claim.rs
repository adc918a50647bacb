//! Random schedules of entry hosts with idempotency claims, lost answers of the store, crashes and
//! pauses.
//!
//! The model executes the protocol of docs/AT-MOST-ONCE.md one step at a time. In every schedule a
//! key runs at most once, and "not-run" is reported only for attempts that never run.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use reachhead_path::claim::{AttemptState, ClaimLookup, ClaimTable};
use reachhead_property::properties;
use reachhead_types::{
    boot_instant::BootInstant,
    id::{AttemptId, Fingerprint},
};

const KEY: &str = "claim/alpha/red/k";
const FINGERPRINT: Fingerprint = Fingerprint(7);

/// An entry host in the model.
#[derive(Default)]
struct EntryHost {
    table: ClaimTable,
    incarnation: u32,
    /// The attempt in progress, and whether its claim is known to be stored.
    active: Option<(AttemptId, bool)>,
    is_paused: bool,
}

/// A stored claim.
#[derive(Clone, Copy)]
struct ClaimRow {
    attempt: AttemptId,
    host: usize,
    incarnation: u32,
}

#[derive(Default)]
struct Model {
    hosts: Vec<EntryHost>,
    row: Option<ClaimRow>,
    /// A claim whose host has given up the call, and which may still reach the store.
    delayed: Option<ClaimRow>,
    next: u128,
    runs: Vec<AttemptId>,
    reported_not_run: Vec<AttemptId>,
}

impl Model {
    fn new() -> Self {
        Self { hosts: (0..3).map(|_| EntryHost::default()).collect(), ..Self::default() }
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
            5 => self.restart(host),
            6 => self.hosts[host].is_paused = !self.hosts[host].is_paused,
            _ => self.apply_delayed(),
        }
    }

    fn request(&mut self, host: usize, action: u8) {
        let entry_host = &mut self.hosts[host];
        if entry_host.active.is_some()
            || entry_host.table.look_up(KEY, FINGERPRINT) != ClaimLookup::New
        {
            return;
        }
        self.next += 1;
        let attempt = AttemptId(self.next);
        entry_host.table.start(KEY, FINGERPRINT, attempt, BootInstant::now());
        entry_host.active = Some((attempt, false));
        if action % 8 == 1 {
            self.claim(host, false);
        }
    }

    /// Writes the claim if the key is free or its attempt is abandoned. If `is_answer_lost`, the
    /// host gets no answer, can't read the claim back and gives up.
    fn claim(&mut self, host: usize, is_answer_lost: bool) {
        let Some((attempt, false)) = self.hosts[host].active else {
            return;
        };
        let row = ClaimRow { attempt, host, incarnation: self.hosts[host].incarnation };
        if is_answer_lost {
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

    fn store(&mut self, row: ClaimRow) {
        self.row = Some(row);
        self.hosts[row.host].active = Some((row.attempt, true));
    }

    /// Returns whether the owner of `held` reports it as abandoned; only the incarnation that wrote
    /// the claim can know.
    fn is_abandoned(&self, held: ClaimRow) -> bool {
        let owner = &self.hosts[held.host];
        owner.incarnation == held.incarnation
            && !owner.is_paused
            && owner.table.state(held.attempt) == Some(&AttemptState::Abandoned)
    }

    fn give_up(&mut self, host: usize, attempt: AttemptId) {
        let entry_host = &mut self.hosts[host];
        entry_host.active = None;
        if entry_host.table.abandon(attempt) {
            self.reported_not_run.push(attempt);
        }
    }

    fn dispatch(&mut self, host: usize) {
        let entry_host = &mut self.hosts[host];
        let Some((attempt, true)) = entry_host.active else {
            return;
        };
        entry_host.active = None;
        if entry_host.table.send(attempt) {
            self.runs.push(attempt);
            entry_host.table.finish(attempt, AttemptState::Lost);
        }
    }

    fn restart(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = EntryHost { incarnation, ..EntryHost::default() };
    }

    /// Writes the delayed claim if the key is free.
    fn apply_delayed(&mut self) {
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
            && model.reported_not_run.iter().all(|attempt| !model.runs.contains(attempt))
    }

    /// Long random schedules, since short ones rarely get beyond the first claim.
    fn a_key_runs_at_most_once_in_long_walks(seed: u64) -> bool {
        let mut model = Model::new();
        let mut state = seed | 1;
        for _ in 0..2000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            model.step((state >> 33) as usize % 3, (state >> 40) as u8);
        }
        model.runs.len() <= 1
            && model.reported_not_run.iter().all(|attempt| !model.runs.contains(attempt))
    }
}

#[test]
fn an_abandoned_attempt_is_never_sent_and_a_sent_one_never_abandoned() {
    let now = BootInstant::now();
    let mut table = ClaimTable::new();
    let (first, second) = (AttemptId(1), AttemptId(2));
    table.start(KEY, FINGERPRINT, first, now);
    assert!(table.abandon(first));
    assert!(!table.send(first));
    assert_eq!(table.look_up(KEY, FINGERPRINT), ClaimLookup::New);
    table.start(KEY, FINGERPRINT, second, now);
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
    table.start("a", FINGERPRINT, AttemptId(1), now);
    table.start("b", FINGERPRINT, AttemptId(2), now);
    assert!(table.send(AttemptId(2)));
    table.finish(AttemptId(2), AttemptState::Lost);
    table.evict_ended(keep, now + keep);
    assert_eq!(table.state(AttemptId(1)), Some(&AttemptState::Pending));
    assert_eq!(table.state(AttemptId(2)), None);
    assert_eq!(table.len(), 1);
}
