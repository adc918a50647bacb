//! The state machine of a host in maintenance or between pools: drain, reboot or handover, return
//! to service.
//!
//! A step depends only on stored rows and on the status that the platform reports, so a new owner
//! of the pool continues where the previous one stopped.

use std::time::Duration;

use reachhead_store::platform::{DrainTag, HostStatus};
use reachhead_types::{
    id::{PoolName, WaveName},
    pool::{HostPhase, HostRow, WaveRow, WaveState},
};

/// The next action for a host; one is taken per round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostStep {
    /// Take no action in this round.
    Wait,
    /// Start to drain the host if every budget allows it: for the given wave, or for a move to
    /// another pool.
    StartDrain(Option<WaveName>),
    /// Store a new row, which puts the host into another phase.
    UpdateRow(Box<HostRow>),
    /// Mark the host as serving and release the budgets that it holds.
    ReturnToService,
    /// Request the drain from the platform.
    Drain,
    /// Cancel a drain at the platform.
    Undrain(DrainTag),
    /// Request a reboot from the platform, on condition that the boot count is still the given one.
    Reboot(DrainTag, u64),
    /// Hand the host over to another pool.
    HandOver(PoolName),
}

/// The state of a host as observed by the owner of its pool.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The status reported by the platform; `None` if it does not know the host.
    pub status: Option<HostStatus>,
    /// How long the host has been observed drained without interruption.
    pub drained_for: Duration,
    /// Whether failures have exceeded a budget that the drain of this host spends.
    pub is_overspent: bool,
}

/// Returns the next step of a host whose pool has `wave`.
///
/// The host must be observed drained for `drain_time` before it counts as empty: entry hosts learn
/// of the drain with a delay, and requests may still run on the host until then.
pub fn next_step(
    row: &HostRow,
    wave: Option<&WaveRow>,
    observed: &Observation,
    drain_time: Duration,
) -> HostStep {
    let Some(status) = &observed.status else {
        return HostStep::Wait;
    };
    let own_drain = status.own_drain().cloned();
    match row.phase {
        // A host in service is under a drain only if the request of a previous owner arrived late.
        HostPhase::Serving => own_drain.map_or_else(|| start_step(row, wave), HostStep::Undrain),
        HostPhase::Draining if should_cancel_drain(row, wave, observed) => {
            update_row(HostRow { phase: HostPhase::Arriving, wave: None, ..row.clone() })
        }
        HostPhase::Draining => drain(row, status, observed, drain_time),
        HostPhase::Rebooting => reboot(row, status, own_drain),
        HostPhase::Arriving if !status.is_up => HostStep::Wait,
        HostPhase::Arriving => own_drain.map_or(HostStep::ReturnToService, HostStep::Undrain),
    }
}

fn update_row(row: HostRow) -> HostStep {
    HostStep::UpdateRow(Box::new(row))
}

/// Returns the pool that operators want a host in, if it is in another one.
fn target_pool(row: &HostRow) -> Option<&PoolName> {
    row.target_pool.as_ref().filter(|want| **want != row.pool)
}

/// Returns the first step of a host in service: a move goes before a wave.
pub fn start_step(row: &HostRow, wave: Option<&WaveRow>) -> HostStep {
    match (&row.target_pool, wave) {
        (Some(want), _) if *want == row.pool => {
            update_row(HostRow { target_pool: None, ..row.clone() })
        }
        (Some(_), _) => HostStep::StartDrain(None),
        (None, Some(wave)) if is_due(row, wave) => HostStep::StartDrain(Some(wave.name.clone())),
        (None, _) => HostStep::Wait,
    }
}

/// Returns whether a running wave has yet to process a host.
pub fn is_due(row: &HostRow, wave: &WaveRow) -> bool {
    wave.state == WaveState::Running && row.last_wave.as_ref() != Some(&wave.name)
}

/// Returns whether a drain has to be cancelled because its reason is gone or a budget is exceeded.
fn should_cancel_drain(row: &HostRow, wave: Option<&WaveRow>, observed: &Observation) -> bool {
    let has_reason = match &row.wave {
        Some(name) => {
            wave.is_some_and(|wave| wave.name == *name && wave.state != WaveState::Cancelled)
        }
        None => target_pool(row).is_some(),
    };
    !has_reason || observed.is_overspent
}

fn drain(
    row: &HostRow,
    status: &HostStatus,
    observed: &Observation,
    drain_time: Duration,
) -> HostStep {
    if !status.is_drained() {
        return HostStep::Drain;
    }
    if status.running > 0 || observed.drained_for < drain_time {
        return HostStep::Wait;
    }
    match (&row.wave, target_pool(row)) {
        (Some(_), _) => {
            let (phase, boots) = (HostPhase::Rebooting, Some(status.boots));
            update_row(HostRow { phase, boots, ..row.clone() })
        }
        (None, Some(to)) => HostStep::HandOver(to.clone()),
        (None, None) => HostStep::Wait,
    }
}

fn reboot(row: &HostRow, status: &HostStatus, own_drain: Option<DrainTag>) -> HostStep {
    let is_booted = row.boots.is_none_or(|boots| status.boots > boots);
    match own_drain {
        _ if !status.is_up => HostStep::Wait,
        _ if is_booted => update_row(HostRow {
            phase: HostPhase::Arriving,
            wave: None,
            last_wave: row.wave.clone(),
            boots: None,
            ..row.clone()
        }),
        Some(tag) => HostStep::Reboot(tag, status.boots),
        // The platform lost the drain, so new work may have started on the host.
        None => update_row(HostRow { phase: HostPhase::Draining, boots: None, ..row.clone() }),
    }
}
