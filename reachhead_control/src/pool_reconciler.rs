//! Looks after the pools that fall to this host, round by round.

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

/// How far a round is varied, as a share of it, so that hosts don't work in step.
const JITTER: f64 = 0.1;

/// Rounds for which a host pauses whose pools have nothing on the way: at rest they are most of what
/// a control sends.
const QUIET_ROUNDS: u32 = 3;

/// Rounds over the pools of this host.
pub struct PoolReconciler {
    view: Arc<View>,
    controller: Controller,
    round: Duration,
    /// The version that `loads` belongs to.
    version: Version,
    loads: Arc<MinionPlacements>,
}

impl PoolReconciler {
    /// Returns rounds by `settings`.
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
        Self { view, controller, round, version: Version(0), loads: Arc::default() }
    }

    /// Works until `stop` turns true, then hands every pool over.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
            tokio::select! {
                () = runtime::wait_for_stop(&mut stop) => break,
                () = time::sleep(self.pause().mul_f64(jitter)) => {}
            }
            self.work().await;
        }
        self.controller.release_all().await;
    }

    fn pause(&self) -> Duration {
        match self.controller.is_idle() {
            true => self.round * QUIET_ROUNDS,
            false => self.round,
        }
    }

    async fn work(&mut self) {
        if let Some(fleet) = self.view.fleet_after(self.version) {
            self.version = fleet.version;
            self.loads = Arc::new(MinionPlacements::new(&fleet));
        }
        let input = self.view.input(Arc::clone(&self.loads));
        match self.controller.round(&input).await {
            Ok(events) => events.iter().for_each(tell),
            // Nothing planned goes on while the store is away; hosts stay as they are.
            Err(error) => debug!("looking after pools: {error}"),
        }
        self.view.note_pools(self.controller.state());
    }
}

fn tell(event: &PoolEvent) {
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
