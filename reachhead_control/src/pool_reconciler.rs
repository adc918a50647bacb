//! Reconciles the pools owned by this host in periodic rounds.

use std::{sync::Arc, time::Duration};

use log::debug;
use rand::Rng;
use reachhead_config::control::PoolSettings;
use reachhead_ops::{
    event::{Event, emit},
    runtime,
};
use reachhead_pool::{
    budget::MinionPlacements,
    controller::{Controller, ControllerLimits, PoolEvent},
};
use reachhead_store::{Store, platform::Platform};
use reachhead_types::size::Version;
use tokio::{sync::watch, time};

use crate::view::View;

/// Random variation of the pause, as a fraction of it, so that hosts don't work in lockstep.
const JITTER: f64 = 0.1;

/// Pause in rounds while no host of the owned pools is moving: when idle, these rounds are most of
/// a control process's traffic.
const IDLE_ROUNDS: u32 = 3;

/// Runs the pool controller and reports its state to the [`View`].
pub struct PoolReconciler {
    view: Arc<View>,
    controller: Controller,
    /// Time between two rounds while hosts are moving.
    round: Duration,
    /// Configuration version that `placements` was computed from.
    placements_version: Version,
    placements: Arc<MinionPlacements>,
}

impl PoolReconciler {
    /// Returns a reconciler with the limits in `settings`.
    pub fn new(
        view: Arc<View>,
        store: Arc<dyn Store>,
        platform: Arc<dyn Platform>,
        settings: &PoolSettings,
    ) -> Self {
        let limits = ControllerLimits {
            drain: settings.drain.duration(),
            hand_over_timeout: settings.hand_over.duration(),
            overspend_confirmation: settings.confirm.duration(),
            max_wave_hosts: settings.batch.get() as usize,
        };
        let controller = Controller::new(store, platform, limits);
        let round = Duration::from_millis(settings.round.get());
        Self { view, controller, round, placements_version: Version(0), placements: Arc::default() }
    }

    /// Runs rounds until `stop` turns true, then releases the leases of all pools.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => break,
                () = time::sleep(self.pause().mul_f64(jitter)) => {}
            }
            self.reconcile().await;
        }
        self.controller.release_all().await;
    }

    fn pause(&self) -> Duration {
        match self.controller.is_idle() {
            true => self.round * IDLE_ROUNDS,
            false => self.round,
        }
    }

    async fn reconcile(&mut self) {
        if let Some(fleet) = self.view.fleet_after(self.placements_version) {
            self.placements_version = fleet.version;
            self.placements = Arc::new(MinionPlacements::new(&fleet));
        }
        let input = self.view.round_input(Arc::clone(&self.placements));
        match self.controller.round(&input).await {
            Ok(events) => events.iter().for_each(log_event),
            // While the store is unavailable no planned step goes on and hosts keep their state.
            Err(error) => debug!("reconciling pools failed: {error}"),
        }
        self.view.set_pools(self.controller.state());
    }
}

fn log_event(event: &PoolEvent) {
    match event {
        PoolEvent::LeaseTaken(pool, epoch) => {
            emit(Event::LeaseTaken, format_args!("{pool}, epoch {epoch}"));
        }
        PoolEvent::LeaseEnded(pool) => emit(Event::LeaseEnded, pool),
        PoolEvent::HostEntered(host, phase) => {
            emit(Event::HostEntered, format_args!("{host}: {phase}"));
        }
        PoolEvent::HostMoved(host, pool) => {
            emit(Event::HostMoved, format_args!("{host} to {pool}"));
        }
    }
}
