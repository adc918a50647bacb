//! Limits how often processes without links to each other take pools from owners that they do not
//! hear.
//!
//! They take each other for dead; as all of them reach the store, their pools would change hands about
//! once a second. A process that hears nobody learns from a lease that another one takes meanwhile
//! that only the links are cut. Of two groups, each learns it from a lease that was taken from an owner
//! whom it hears.

use reachhead_types::{id::NodeName, size::Millis};

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

/// Returns whether the pools that two groups of members take from each other should be left to the
/// group that this process is in: the larger one, or of two equal ones that with the first name. `hears`
/// tells whether a member is in it.
pub fn is_preferred_group<'a>(
    members: impl Iterator<Item = &'a NodeName>,
    hears: impl Fn(&NodeName) -> bool,
) -> bool {
    let members: Vec<&NodeName> = members.collect();
    let heard = members.iter().filter(|member| hears(member)).count();
    let first_is_heard = members.iter().min().is_none_or(|first| hears(first));
    2 * heard > members.len() || (2 * heard == members.len() && first_is_heard)
}

/// Returns whether a process leaves a silent owner alone that took the pool at `taken` from one that
/// lives.
pub fn is_left_to_other_group(is_preferred: bool, taken: Tick, now: Tick) -> bool {
    !is_preferred && now.since(taken) < MAX_HOLD
}
