//! Owners that are killed one after the other, while an earlier one is cut off or frozen, and later
//! answers that it gave up or has restarted. See
//! docs/incidents/waits-that-start-anew-with-each-owner.md.

use std::collections::BTreeMap;

use reachhead_jobs::{
    pool::PoolTimeouts,
    record::{FenceRecord, fence_key},
    shard::Shard,
};
use reachhead_types::size::{Millis, Revision};

use super::{
    FIRST_SHORT_CHOICE, MAX_DETECTION, MIN_DETECTION, POLL_WAIT, Reads, STEP, Simulation,
    pool_name, timeouts,
};

/// Lease of workers and trust of owners as in production, so that one after the other takes longer
/// than the rule for waiting tasks allows, and a lease alone does not.
const LEASE: Millis = Millis(4500);
const TRUST: Millis = Millis(4000);

/// Maximum number of kills in a row.
const MAX_KILLS: u8 = 3;

/// Longest time from a takeover to the next kill, in milliseconds.
const MAX_PAUSE: u64 = 1500;

/// Time in which submitted tasks start, in milliseconds.
const START_TIME: u64 = 1000;

/// Time after a series, in milliseconds: the last owner is settled by then, whatever it waits for.
const REST: u64 = 10_500;

/// Time for which an owner goes on after its last fence until others know of its fences, in
/// milliseconds.
const REPORT_TIME: u64 = 500;

/// Time for which an owner is silent unless it returns before, in milliseconds: longer than a series.
const SILENCE: u64 = 60_000;

/// What was observed of the owners in a series.
#[derive(Default)]
pub(super) struct OwnerSeries {
    ended: BTreeMap<Revision, u64>,
    /// When the fences of all shards first had an owner's token, and when it last went on with them.
    fenced: BTreeMap<Revision, (u64, u64)>,
}

/// What a process that takes the pool may know of the owners before its predecessor.
pub(in super::super) struct EarlierOwners {
    /// When it was known of each owner, by its token, that it gives no orders any more: it was killed,
    /// or has answered that it gave up or restarted. `None` if nobody has heard from it.
    pub(in super::super) ended: BTreeMap<Revision, Option<u64>>,
    /// Since when all shards have been fenced by an owner after the last of those with `None`.
    pub(in super::super) fenced: Option<u64>,
}

impl Simulation {
    /// Lets owners be killed in series while an earlier one is silent.
    pub fn with_owner_series(mut self) -> Self {
        self = self.with_slow_takeovers();
        if let Some(slow) = &mut self.slow {
            slow.series = Some(OwnerSeries::default());
        }
        // The owner so far has other timeouts.
        self.newest().alive = false;
        self.take_over_from(true);
        self.run(REST);
        self
    }

    /// Returns whether owners are killed in series, and certainly have ended then.
    pub(in super::super) fn is_in_series(&self) -> bool {
        self.slow.as_ref().is_some_and(|slow| slow.series.is_some())
    }

    pub(super) fn series_timeouts() -> PoolTimeouts {
        PoolTimeouts { hold: LEASE, trust: TRUST, wait: POLL_WAIT, ..timeouts() }
    }

    /// Returns what may be known of the owners before the newest one.
    pub(in super::super) fn earlier_owners(&self) -> Option<EarlierOwners> {
        let series = self.slow.as_ref()?.series.as_ref()?;
        let (_, earlier) = self.owners.split_last()?;
        let tokens = earlier.iter().map(|owner| owner.token);
        let ended = tokens.map(|token| (token, series.ended.get(&token).copied())).collect();
        let open = earlier.iter().filter(|owner| owner.alive).map(|owner| owner.token).max();
        let known = series.fenced.iter().filter(|(token, (first, last))| {
            open.is_none_or(|open| **token > open) && last - first >= REPORT_TIME
        });
        let fenced = known.map(|(_, (first, _))| *first).min();
        Some(EarlierOwners { ended, fenced })
    }

    /// Observes owners that have ended and fences.
    pub(in super::super) fn observe_owners(&mut self) {
        if !self.is_in_series() {
            return;
        }
        let fences: Vec<Revision> = Shard::all()
            .filter_map(|shard| self.read(fence_key(&pool_name(), shard)))
            .map(|row| Revision(row.parse::<FenceRecord>().unwrap().token.0))
            .collect();
        let Some(series) = self.slow.as_mut().and_then(|slow| slow.series.as_mut()) else { return };
        for owner in &self.owners {
            if !owner.alive {
                series.ended.entry(owner.token).or_insert(self.now);
            } else if fences.iter().all(|token| *token == owner.token) {
                series.fenced.entry(owner.token).or_insert((self.now, self.now)).1 = self.now;
            }
        }
    }

    /// Performs a random act of a schedule with series of killed owners.
    pub(super) fn act_in_series(&mut self, kind: u8, choice: u8, span: u64) {
        match kind % 3 {
            0 => self.submit_wide(choice),
            _ => self.kill_series(choice, span),
        }
        self.run(span % 700);
    }

    /// Silences workers and an owner, and kills its successors. Before the last kill the silent owner
    /// has answered, or an owner has had all fences for the time of trust, so that nothing is left of
    /// the silent owner's orders a lease later.
    fn kill_series(&mut self, choice: u8, span: u64) {
        let reads = Reads::new(choice / 8, span);
        self.submit_wide(choice & !1);
        self.run(START_TIME);
        self.silence_workers(choice % FIRST_SHORT_CHOICE, span);
        let silent = self.owners.len() - 1;
        self.silence_owner(choice % 2 == 0);
        self.run(MIN_DETECTION + span % (MAX_DETECTION - MIN_DETECTION));
        self.take_over_in_pages(false, reads, None);
        let kills = 1 + choice % MAX_KILLS;
        let bounded_at = if choice % 4 < 2 { 1 } else { kills };
        for kill in 1..=kills {
            if kill == bounded_at {
                if choice / 4 % 2 == 0 {
                    self.return_owner(silent, choice / 8 % 2 == 0);
                }
                while !self.is_bounded() {
                    self.run(STEP);
                }
            }
            self.run(span * u64::from(kill) % MAX_PAUSE);
            self.lose_owner(span * u64::from(kill));
            let limit = span * u64::from(kill + 2) % (2 * reads.time());
            let is_cut_short = kill < kills && kill + 1 != bounded_at;
            self.take_over_in_pages(true, reads, is_cut_short.then_some(limit));
        }
        self.run(REST);
        self.return_owner(silent, false);
    }

    /// Freezes the newest owner, or cuts it off from the store and from all workers that answer.
    fn silence_owner(&mut self, freezes: bool) {
        let until = self.now + SILENCE;
        let ids = self.workers.keys().filter(|id| !self.is_silent(id));
        let cut: Vec<_> = ids.map(|id| (id.clone(), until)).collect();
        let owner = self.newest();
        if freezes {
            owner.paused_until = until;
        } else {
            owner.store_cut_until = until;
            owner.workers_cut.extend(cut);
        }
        self.disturb_all();
    }

    /// Lets a silent owner go on, so that it learns of its successors, or restart.
    fn return_owner(&mut self, index: usize, restarts: bool) {
        let owner = &mut self.owners[index];
        owner.alive &= !restarts;
        (owner.paused_until, owner.store_cut_until) = (0, 0);
        self.run(STEP);
        self.owners[index].workers_cut.clear();
    }

    /// Returns whether a process that knows all of [`EarlierOwners`] has to wait for at most a lease.
    fn is_bounded(&self) -> bool {
        self.earlier_owners().is_none_or(|EarlierOwners { ended, fenced }| {
            ended.values().all(Option::is_some)
                || fenced.is_some_and(|since| self.now >= since + TRUST.0)
        })
    }
}
