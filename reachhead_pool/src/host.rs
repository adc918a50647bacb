//! The next step of one host on its way: drained, empty, handed over, serving.
//!
//! A step depends on the row and the platform's word alone, so whoever is in charge next goes on
//! where the last one stopped.

use std::time::Duration;

use reachhead_store::platform::{DrainTag, HostStatus};
use reachhead_types::{
    id::PoolName,
    pool::{HostPhase, HostRow},
};

/// What to do about a host; one step a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostStep {
    /// Nothing now.
    Wait,
    /// Write another phase into its row.
    Enter(HostPhase),
    /// Write that it is where operators want it.
    Settle,
    /// Ask the platform to drain it.
    Drain,
    /// Ask the platform to take the drain back.
    Undrain(DrainTag),
    /// Hand it over to another pool.
    HandOver(PoolName),
}

/// What its pool's owner sees of a host.
#[derive(Debug, Clone)]
pub struct Sight {
    /// The platform's word; `None` if it has none.
    pub status: Option<HostStatus>,
    /// For how long it has been seen drained without a break.
    pub drained_for: Duration,
}

/// Returns the next step of a host that must be seen drained for `drain_time` before it counts as
/// empty: entry hosts hear of the drain a little later, and requests there may still run.
pub fn step(row: &HostRow, sight: &Sight, drain_time: Duration) -> HostStep {
    let Some(status) = &sight.status else {
        return HostStep::Wait;
    };
    let own_drain = status.own_drain().cloned();
    match (row.phase, &row.want) {
        (HostPhase::Serving, Some(to)) if *to == row.pool => HostStep::Settle,
        (HostPhase::Serving, Some(_)) => HostStep::Enter(HostPhase::Draining),
        // Serving under a drain: a former owner asked for it too late.
        (HostPhase::Serving, None) => own_drain.map_or(HostStep::Wait, HostStep::Undrain),
        (HostPhase::Draining, Some(to)) if *to != row.pool => drain(to, status, sight, drain_time),
        // The move was taken back.
        (HostPhase::Draining, _) => HostStep::Enter(HostPhase::Arriving),
        (HostPhase::Arriving, _) => {
            own_drain.map_or(HostStep::Enter(HostPhase::Serving), HostStep::Undrain)
        }
    }
}

fn drain(to: &PoolName, status: &HostStatus, sight: &Sight, drain_time: Duration) -> HostStep {
    if !status.is_drained() {
        return HostStep::Drain;
    }
    let is_empty = status.running == 0 && sight.drained_for >= drain_time;
    if is_empty { HostStep::HandOver(to.clone()) } else { HostStep::Wait }
}
