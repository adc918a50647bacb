//! A cluster of entry hosts with controllers, driven by random actions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::{executor::block_on, future};
use reachhead_pool::{
    controller::{Controller, ControllerLimits, RoundInput},
    host,
    lease::Candidate,
};
use reachhead_store::{
    Store,
    hosts::{self, HostError},
    keys,
    platform::Platform,
    waves::{self, WaveError},
};
use reachhead_types::{
    fleet::RowKey,
    id::{HostId, Incarnation, PoolName, WaveName},
    member::MemberId,
    pool::{HostPhase, HostRow, Resources, WaveState},
};
use serde_json::json;

use crate::{
    CONTROLLERS, HOSTS, POOLS, host_id, placements,
    platform::{Fault, SimulatedPlatform},
    pool,
};

/// Rounds within which everything must settle once faults have stopped.
const SETTLE_ROUNDS: usize = 60;

/// An entry host and its view of the others.
struct EntryHost {
    id: MemberId,
    controller: Controller,
    input: RoundInput,
}

/// Entry hosts that share a simulated platform.
pub struct Cluster {
    pub platform: Arc<SimulatedPlatform>,
    hosts: Vec<EntryHost>,
    last_incarnation: u64,
    /// The pool that each host was last requested to be in.
    requested_pools: BTreeMap<HostId, PoolName>,
}

impl Cluster {
    pub fn new() -> Self {
        let platform = SimulatedPlatform::new();
        for number in 0..POOLS {
            let key = keys::config(&RowKey::Pool(pool(number)));
            platform.write(key, json!({}));
        }
        let mut requested_pools = BTreeMap::new();
        for number in 0..HOSTS {
            let (zone, rack) = ("z".parse().unwrap(), "r".parse().unwrap());
            let row = HostRow::new(zone, rack, Resources::default(), pool(number));
            block_on(hosts::add(&*platform, &host_id(number), &row)).unwrap();
            requested_pools.insert(host_id(number), pool(number));
        }
        let mut cluster =
            Self { platform, hosts: Vec::new(), last_incarnation: 0, requested_pools };
        for number in 0..CONTROLLERS {
            let started = cluster.start(number);
            cluster.hosts.push(started);
        }
        for number in 0..CONTROLLERS {
            cluster.refresh_input(number, 0);
        }
        cluster
    }

    fn start(&mut self, number: u8) -> EntryHost {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let id = MemberId { host: format!("e{number}").parse().unwrap(), incarnation };
        let store: Arc<dyn Store> = Arc::<SimulatedPlatform>::clone(&self.platform);
        let platform: Arc<dyn Platform> = Arc::<SimulatedPlatform>::clone(&self.platform);
        let limits = ControllerLimits {
            drain: Duration::ZERO,
            hand_over_timeout: Duration::ZERO,
            overspend_confirmation: Duration::ZERO,
            max_wave_hosts: 3,
        };
        let controller = Controller::new(store, platform, limits);
        EntryHost { id, controller, input: RoundInput::default() }
    }

    /// Updates the view of a host; the bits of `silent` are the hosts that it considers dead.
    fn refresh_input(&mut self, number: u8, silent: u8) {
        let candidate = |(index, host): (usize, &EntryHost)| Candidate {
            id: host.id.clone(),
            is_silent: silent >> index & 1 == 1,
        };
        let candidates = self.hosts.iter().enumerate().map(candidate).collect();
        let leaving = self.platform.leaving();
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        host.input = RoundInput {
            own: Some(host.id.clone()),
            candidates,
            pools: (0..POOLS).map(pool).collect(),
            leaving,
            placements: Arc::new(placements()),
        };
    }

    fn round(&mut self, number: u8, fault: Fault) {
        self.platform.set_fault(fault);
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        let _ = block_on(host.controller.round(&host.input));
        self.platform.set_fault(Fault::None);
    }

    /// Runs a round of two controllers concurrently, with their calls interleaved.
    fn race(&mut self, one: u8, two: u8) {
        let (one, two) = (one % CONTROLLERS, two % CONTROLLERS);
        let (first, second) = (one.min(two), one.max(two));
        if first == second {
            return;
        }
        let (left, right) = self.hosts.split_at_mut(usize::from(second));
        let (first, second) = (&mut left[usize::from(first)], &mut right[0]);
        let _ = block_on(future::join(
            first.controller.round(&first.input),
            second.controller.round(&second.input),
        ));
    }

    fn restart(&mut self, number: u8) {
        let number = number % CONTROLLERS;
        self.hosts[usize::from(number)] = self.start(number);
        self.refresh_input(number, 0);
    }

    fn request_move(&mut self, host: HostId, to: PoolName) {
        match block_on(hosts::request_move(&*self.platform, &host, Some(&to))) {
            Ok(_) => drop(self.requested_pools.insert(host, to)),
            Err(HostError::Raced) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn start_wave(&mut self, number: u8, name: u8) {
        let name: WaveName = format!("wave-{}", name % 4).parse().unwrap();
        match block_on(waves::start(&*self.platform, &pool(number), &name)) {
            Ok(()) | Err(WaveError::Busy(..) | WaveError::Cancelled(_)) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn set_wave(&mut self, number: u8, state: u8) {
        let states = [WaveState::Running, WaveState::Paused, WaveState::Cancelled];
        let state = states[usize::from(state) % states.len()];
        if let Some(row) = block_on(waves::of_pool(&*self.platform, &pool(number))).unwrap() {
            let _ = block_on(waves::set_state(&*self.platform, &pool(number), &row.name, state));
        }
    }

    /// Applies an action that is drawn at random.
    pub fn apply(&mut self, (kind, one, two): (u8, u8, u8)) {
        match kind % 24 {
            20.. => self.race(one, two),
            16 => self.start_wave(one, two),
            17 => self.set_wave(one, two),
            18 => self.platform.set_up(&host_id(one), two % 2 == 0),
            19 => self.platform.set_up(&host_id(one), true),
            0 => self.restart(one),
            1 | 2 => self.request_move(host_id(one), pool(two)),
            3 => self.refresh_input(one, two),
            4 => self.platform.deliver_delayed(one),
            5 => self.platform.set_running(&host_id(one), u32::from(two % 2)),
            6 => self.platform.set_running(&host_id(one), 0),
            7 => self.round(one, Fault::LostRequest),
            8 => self.round(one, Fault::LostAnswer),
            9 | 10 => self.round(one, Fault::Delayed),
            11 => self.refresh_input(one, 0),
            _ => self.round(one, Fault::None),
        }
    }

    /// Stops all faults, runs rounds, and returns whether every host is in service in the requested
    /// pool, all waves are complete and no budget is held.
    pub fn settle(&mut self) -> bool {
        for number in 0..=255 {
            self.platform.deliver_delayed(number);
        }
        for number in 0..HOSTS {
            self.platform.set_running(&host_id(number), 0);
            self.platform.set_up(&host_id(number), true);
        }
        for _ in 0..SETTLE_ROUNDS {
            for number in 0..CONTROLLERS {
                self.refresh_input(number, 0);
                self.round(number, Fault::None);
            }
        }
        let is_budget_held = self.platform.budgets().values().any(|budget| !budget.held.is_empty());
        let is_settled = |(id, row): (HostId, HostRow)| {
            let wave = block_on(waves::of_pool(&*self.platform, &row.pool)).unwrap();
            let is_due = wave.is_some_and(|wave| host::is_due(&row, &wave));
            let status = self.platform.status_of(&id);
            row.phase == HostPhase::Serving
                && row.pool == self.requested_pools[&id]
                && row.target_pool.is_none()
                && row.wave.is_none()
                && !is_due
                && !status.is_drained()
        };
        !is_budget_held && self.platform.host_rows().into_iter().all(is_settled)
    }
}
