//! Limits how often a process without links to its peers takes pools from owners that it does not
//! hear.
//!
//! It takes the owners for dead, and they take it for dead; as all of them reach the store, their
//! pools would change hands about once a second. A lease that another process takes meanwhile shows
//! that others are alive and only the links are cut.

use reachhead_types::size::Millis;

use crate::{
    clock::Tick,
    silence::{OWNER_TIMEOUT, RunningTime},
};

/// Factor between the time for which a process had heard no peer when another one took a lease, and
/// the time for which it then leaves silent owners alone. Ownership changes become rarer the longer
/// the links are cut.
const HOLD_FACTOR: u64 = 4;

/// Longest time for which it does so: the other processes may be gone by then.
const MAX_HOLD: Millis = Millis(30_000);

/// Returns whether a process that last heard any peer at `heard`, and saw another process take a
/// lease at `taken`, leaves the pools of silent owners alone.
pub fn is_held(running: &RunningTime, heard: Tick, taken: Tick, now: Tick) -> bool {
    let isolated = running.between(heard, taken);
    if isolated <= OWNER_TIMEOUT {
        return false;
    }
    now.since(taken) < Millis(HOLD_FACTOR * taken.since(heard).0).min(MAX_HOLD)
}
