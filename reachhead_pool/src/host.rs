//! The next step of one host on its way: drained, empty, rebooted or handed over, serving.
//!
//! A step depends on the rows and the platform's word alone, so whoever is in charge next goes on
//! where the last one stopped.

use std::time::Duration;

use reachhead_store::platform::{DrainTag, HostStatus};
use reachhead_types::{
    id::{PoolName, WaveName},
    pool::{HostPhase, HostRow, WaveRow, WaveState},
};

/// What to do about a host; one step a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostStep {
    /// Nothing now.
    Wait,
    /// Begin to drain it for a wave, or to be moved, if every budget allows it.
    StartDrain(Option<WaveName>),
    /// Write another row: the host is somewhere else on its way.
    UpdateRow(Box<HostRow>),
    /// Write that it serves again, and give its budgets back.
    ReturnToService,
    /// Ask the platform to drain it.
    Drain,
    /// Ask the platform to take the drain back.
    Undrain(DrainTag),
    /// Ask the platform to reboot it, if it was booted this often so far.
    Reboot(DrainTag, u64),
    /// Hand it over to another pool.
    HandOver(PoolName),
}

/// What its pool's owner sees of a host.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The platform's word; `None` if it has none.
    pub status: Option<HostStatus>,
    /// For how long it has been seen drained without a break.
    pub drained_for: Duration,
    /// Whether failures have eaten the budget that its drain spends.
    pub is_overspent: bool,
}

/// Returns the next step of a host of a pool with `wave`. It must be seen drained for `drain_time`
/// before it counts as empty: entry hosts hear of the drain a little later, and requests there may
/// still run.
pub fn next_step(
    row: &HostRow,
    wave: Option<&WaveRow>,
    seen: &Observation,
    drain_time: Duration,
) -> HostStep {
    let Some(status) = &seen.status else {
        return HostStep::Wait;
    };
    let own_drain = status.own_drain().cloned();
    match row.phase {
        // Serving under a drain: a former owner asked for it too late.
        HostPhase::Serving => own_drain.map_or_else(|| start_step(row, wave), HostStep::Undrain),
        HostPhase::Draining if is_taken_back(row, wave, seen) => {
            enter(HostRow { phase: HostPhase::Arriving, wave: None, ..row.clone() })
        }
        HostPhase::Draining => drain(row, status, seen, drain_time),
        HostPhase::Rebooting => reboot(row, status, own_drain),
        HostPhase::Arriving if !status.is_up => HostStep::Wait,
        HostPhase::Arriving => own_drain.map_or(HostStep::ReturnToService, HostStep::Undrain),
    }
}

fn enter(row: HostRow) -> HostStep {
    HostStep::UpdateRow(Box::new(row))
}

/// Returns the pool that a host should go to, if it is not there.
fn target(row: &HostRow) -> Option<&PoolName> {
    row.want.as_ref().filter(|want| **want != row.pool)
}

/// Returns how a host that serves sets out, if it should.
pub fn start_step(row: &HostRow, wave: Option<&WaveRow>) -> HostStep {
    match (&row.want, wave) {
        (Some(want), _) if *want == row.pool => enter(HostRow { want: None, ..row.clone() }),
        (Some(_), _) => HostStep::StartDrain(None),
        (None, Some(wave)) if is_due(row, wave) => HostStep::StartDrain(Some(wave.name.clone())),
        (None, _) => HostStep::Wait,
    }
}

/// Tells whether a wave that goes on has yet to come to a host.
pub fn is_due(row: &HostRow, wave: &WaveRow) -> bool {
    wave.state == WaveState::Running && row.done.as_ref() != Some(&wave.name)
}

/// Tells whether a drain has lost its reason, or its budget.
fn is_taken_back(row: &HostRow, wave: Option<&WaveRow>, seen: &Observation) -> bool {
    let has_reason = match &row.wave {
        Some(name) => {
            wave.is_some_and(|wave| wave.name == *name && wave.state != WaveState::Cancelled)
        }
        None => target(row).is_some(),
    };
    !has_reason || seen.is_overspent
}

fn drain(row: &HostRow, status: &HostStatus, seen: &Observation, drain_time: Duration) -> HostStep {
    if !status.is_drained() {
        return HostStep::Drain;
    }
    if status.running > 0 || seen.drained_for < drain_time {
        return HostStep::Wait;
    }
    match (&row.wave, target(row)) {
        (Some(_), _) => {
            let (phase, boots) = (HostPhase::Rebooting, Some(status.boots));
            enter(HostRow { phase, boots, ..row.clone() })
        }
        (None, Some(to)) => HostStep::HandOver(to.clone()),
        (None, None) => HostStep::Wait,
    }
}

fn reboot(row: &HostRow, status: &HostStatus, own_drain: Option<DrainTag>) -> HostStep {
    let is_booted = row.boots.is_none_or(|boots| status.boots > boots);
    match own_drain {
        _ if !status.is_up => HostStep::Wait,
        _ if is_booted => enter(HostRow {
            phase: HostPhase::Arriving,
            wave: None,
            done: row.wave.clone(),
            boots: None,
            ..row.clone()
        }),
        Some(tag) => HostStep::Reboot(tag, status.boots),
        // The platform has lost the drain, so there may be work on it again.
        None => enter(HostRow { phase: HostPhase::Draining, boots: None, ..row.clone() }),
    }
}
