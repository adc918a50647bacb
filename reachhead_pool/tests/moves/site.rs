//! Entry hosts with their controllers, and the acts that are drawn for them.

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
    CONTROLLERS, HOSTS, POOLS, host_id, loads, pool,
    world::{Fault, World},
};

/// Rounds in which everything must settle once nothing fails any more.
const SETTLE_ROUNDS: usize = 60;

/// An entry host with what it believes of the others.
struct Host {
    id: MemberId,
    controller: Controller,
    input: RoundInput,
}

pub struct Site {
    /// The platform.
    pub world: Arc<World>,
    hosts: Vec<Host>,
    stays: u64,
    wanted: BTreeMap<HostId, PoolName>,
}

impl Site {
    pub fn new() -> Self {
        let world = World::new();
        for number in 0..POOLS {
            let key = keys::config(&RowKey::Pool(pool(number)));
            world.write(key, json!({}));
        }
        let mut wanted = BTreeMap::new();
        for number in 0..HOSTS {
            let (zone, rack) = ("z".parse().unwrap(), "r".parse().unwrap());
            let row = HostRow::new(zone, rack, Resources::default(), pool(number));
            block_on(hosts::add(&*world, &host_id(number), &row)).unwrap();
            wanted.insert(host_id(number), pool(number));
        }
        let mut site = Self { world, hosts: Vec::new(), stays: 0, wanted };
        for number in 0..CONTROLLERS {
            let started = site.start(number);
            site.hosts.push(started);
        }
        for number in 0..CONTROLLERS {
            site.look(number, 0);
        }
        site
    }

    fn start(&mut self, number: u8) -> Host {
        self.stays += 1;
        let incarnation = Incarnation(self.stays);
        let id = MemberId { host: format!("e{number}").parse().unwrap(), incarnation };
        let store: Arc<dyn Store> = Arc::<World>::clone(&self.world);
        let platform: Arc<dyn Platform> = Arc::<World>::clone(&self.world);
        let limits = ControllerLimits {
            drain: Duration::ZERO,
            hand_over_timeout: Duration::ZERO,
            overspend_confirmation: Duration::ZERO,
            max_wave_hosts: 3,
        };
        let controller = Controller::new(store, platform, limits);
        Host { id, controller, input: RoundInput::default() }
    }

    /// Lets a host look at the list; the bits of `silent` are those that it takes for gone.
    fn look(&mut self, number: u8, silent: u8) {
        let candidate = |(index, host): (usize, &Host)| Candidate {
            id: host.id.clone(),
            is_silent: silent >> index & 1 == 1,
        };
        let candidates = self.hosts.iter().enumerate().map(candidate).collect();
        let leaving = self.world.leaving();
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        host.input = RoundInput {
            own: Some(host.id.clone()),
            candidates,
            pools: (0..POOLS).map(pool).collect(),
            leaving,
            placements: Arc::new(loads()),
        };
    }

    fn round(&mut self, number: u8, fault: Fault) {
        self.world.set_fault(fault);
        let host = &mut self.hosts[usize::from(number % CONTROLLERS)];
        let _ = block_on(host.controller.round(&host.input));
        self.world.set_fault(Fault::None);
    }

    /// Lets two controllers do a round at once, call by call in turn.
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

    fn kill(&mut self, number: u8) {
        let number = number % CONTROLLERS;
        self.hosts[usize::from(number)] = self.start(number);
        self.look(number, 0);
    }

    fn want(&mut self, host: HostId, to: PoolName) {
        match block_on(hosts::want(&*self.world, &host, Some(&to))) {
            Ok(_) => drop(self.wanted.insert(host, to)),
            Err(HostError::Raced) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn wave(&mut self, number: u8, name: u8) {
        let name: WaveName = format!("wave-{}", name % 4).parse().unwrap();
        match block_on(waves::start(&*self.world, &pool(number), &name)) {
            Ok(()) | Err(WaveError::Busy(..) | WaveError::Cancelled(_)) => {}
            Err(error) => panic!("{error}"),
        }
    }

    fn set_wave(&mut self, number: u8, state: u8) {
        let states = [WaveState::Running, WaveState::Paused, WaveState::Cancelled];
        let state = states[usize::from(state) % states.len()];
        if let Some(row) = block_on(waves::of_pool(&*self.world, &pool(number))).unwrap() {
            let _ = block_on(waves::set_state(&*self.world, &pool(number), &row.name, state));
        }
    }

    pub fn act(&mut self, (kind, one, two): (u8, u8, u8)) {
        match kind % 24 {
            20.. => self.race(one, two),
            16 => self.wave(one, two),
            17 => self.set_wave(one, two),
            18 => self.world.set_up(&host_id(one), two % 2 == 0),
            19 => self.world.set_up(&host_id(one), true),
            0 => self.kill(one),
            1 | 2 => self.want(host_id(one), pool(two)),
            3 => self.look(one, two),
            4 => self.world.deliver(one),
            5 => self.world.set_running(&host_id(one), u32::from(two % 2)),
            6 => self.world.set_running(&host_id(one), 0),
            7 => self.round(one, Fault::LostBefore),
            8 => self.round(one, Fault::LostAfter),
            9 | 10 => self.round(one, Fault::Late),
            11 => self.look(one, 0),
            _ => self.round(one, Fault::None),
        }
    }

    pub fn settle(&mut self) -> bool {
        for number in 0..=255 {
            self.world.deliver(number);
        }
        for number in 0..HOSTS {
            self.world.set_running(&host_id(number), 0);
            self.world.set_up(&host_id(number), true);
        }
        for _ in 0..SETTLE_ROUNDS {
            for number in 0..CONTROLLERS {
                self.look(number, 0);
                self.round(number, Fault::None);
            }
        }
        let is_spent = self.world.budgets().values().any(|budget| !budget.held.is_empty());
        let is_settled = |(id, row): (HostId, HostRow)| {
            let wave = block_on(waves::of_pool(&*self.world, &row.pool)).unwrap();
            let is_due = wave.is_some_and(|wave| host::is_due(&row, &wave));
            let status = self.world.status_of(&id);
            row.phase == HostPhase::Serving
                && row.pool == self.wanted[&id]
                && row.want.is_none()
                && row.wave.is_none()
                && !is_due
                && !status.is_drained()
        };
        !is_spent && self.world.rows().into_iter().all(is_settled)
    }
}
