//! Which processes are on the list of members: those that watch the owners of pools and take what is vacant.
//!
//! Load: hundreds or thousands of processes that start, restart or lose power at the same moment. Everybody follows the list, so
//! with all of them on it each entry would be read by each process, and all would be written to one part of the store at once.
//! Some strong ones are enough, whatever the size of the fleet.

use std::time::Duration;

use reachhead_types::{
    id::NodeName,
    size::{Millis, Strength},
};

/// Members that there should be at least: zones can be lost, and hosts be under maintenance.
const SEATS_LEAST: usize = 16;

/// Members for each pool, so that owners are processes that bear nothing else.
const SEATS_PER_POOL: usize = 2;

/// How many times the wanted number there may be. Each leave is read by everybody, so a few too many cost less than leaving.
const SURPLUS_FACTOR: usize = 4;

/// How much later a process of [`USUAL_STRENGTH`] begins to enter than the strongest; once enough of these are there the others
/// need not enter at all.
const STRENGTH_TIME: Millis = Millis(400);

/// The most that a weak one is later.
const STRENGTH_TIME_MOST: Millis = Millis(2000);

/// Time from one turn of entering to the next, in which all learn who has entered.
const TURN_TIME: Millis = Millis(150);

/// Turns of entering. In each about twice as many processes enter as in the one before, so that of any number up to some
/// thousand times the seats only a few more enter than there are seats.
const TURNS: f64 = 12.0;

/// Starts of tasks a second that a usual process bears.
const USUAL_STRENGTH: u64 = 1000;

/// First pause after a write that failed.
const RETRY_FIRST: Millis = Millis(200);

/// Longest pause after writes that failed.
const RETRY_MOST: Millis = Millis(5000);

/// Calls in a row that a member has to leave without an answer to be taken off the list.
pub const MAX_MISSED_PINGS: u32 = 4;

/// A process as whoever decides about the list sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberCandidate<'a> {
    /// The process.
    pub node: &'a NodeName,
    /// What it bears.
    pub strength: Strength,
}

impl MemberCandidate<'_> {
    /// Tells whether this process should rather be on the list than `other`.
    fn precedes(&self, other: &MemberCandidate<'_>) -> bool {
        (self.strength, other.node) > (other.strength, self.node)
    }
}

/// Returns how many members there should be.
pub fn target_members(pools: usize) -> usize {
    SEATS_LEAST.max(SEATS_PER_POOL * pools)
}

/// Tells whether a process should enter: fewer than the seats are taken by others that are at least as strong.
pub fn should_join<'a>(
    own: MemberCandidate<'_>,
    others: impl Iterator<Item = MemberCandidate<'a>>,
    target_members: usize,
) -> bool {
    others.filter(|other| other.strength >= own.strength).take(target_members).count()
        < target_members
}

/// Tells whether a member should leave: far more than the seats are taken by others that go before it.
pub fn should_leave<'a>(
    own: MemberCandidate<'_>,
    others: impl Iterator<Item = MemberCandidate<'a>>,
    target_members: usize,
) -> bool {
    let most = SURPLUS_FACTOR * target_members;
    others.filter(|other| other.precedes(&own)).take(most).count() == most
}

/// Returns how long a process of this strength waits before it enters; `share`, evenly random from 0 to 1, spreads those that
/// are alike.
pub fn join_delay(strength: Strength, share: f64) -> Duration {
    let usual = STRENGTH_TIME.0 * USUAL_STRENGTH / u64::from(strength.0).max(1);
    let first = Millis(usual.min(STRENGTH_TIME_MOST.0)).duration();
    let turn = (TURNS + share.max(f64::MIN_POSITIVE).log2()).max(0.0);
    first + TURN_TIME.duration().mul_f64(turn)
}

/// Returns how long a process waits after a write of the list that failed, or was late, so often in a row.
pub fn retry_pause(failures: u32, share: f64) -> Duration {
    let pause = RETRY_FIRST.0 << failures.min(8);
    Millis(pause.min(RETRY_MOST.0)).duration().mul_f64(0.5 + share)
}

/// Tells whether members that did not answer may be taken off the list: whoever hears none of them is itself cut off.
pub fn can_remove_members(answered: usize, asked: usize) -> bool {
    2 * answered >= asked
}
