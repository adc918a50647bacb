//! A wave under owners that replace each other, pause and resume, and a platform that carries orders out late.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::{
    clock::Tick,
    pool::DrainProgress,
    ports::{PlatformHost, PlatformHostState},
    wave::{Wave, WaveOrder, WaveRecord},
};
use reachhead_property::check;
use reachhead_types::{id::HostId, size::Millis};

const HOSTS: usize = 6;

/// Duration of the maintenance of a host.
const MAINTENANCE: Millis = Millis(2000);

/// Time that passes with each step of a schedule.
const STEP: Millis = Millis(100);

/// Longest time after which an order without an answer is carried out.
const MAX_DELAY: u64 = 12_000;

/// What a step of a schedule does, by which process and how, and which hosts can't be drained now.
type Act = (u8, u8, u8);

#[derive(Debug, Clone)]
struct HostOrder {
    host: HostId,
    token: u64,
    due: Tick,
}

/// A platform that checks the tokens of each host by itself, and the store's rows of the wave.
struct Platform {
    until: BTreeMap<HostId, Tick>,
    tokens: BTreeMap<HostId, u64>,
    begun: BTreeSet<HostId>,
    late: Vec<HostOrder>,
    /// The lease's token and the wave's row.
    lease: u64,
    row: WaveRecord,
    max_down: usize,
}

/// A process that owns the hosts, or believes so.
struct Owner {
    token: u64,
    wave: Wave,
    list: BTreeMap<HostId, PlatformHost>,
    listed_at: Tick,
    /// Hosts whose slots are stored and whose orders are still to be sent.
    to_send: Vec<HostId>,
}

enum Answer {
    Begun,
    Busy,
    Fenced,
}

impl Platform {
    fn list(&self, now: Tick) -> BTreeMap<HostId, PlatformHost> {
        let entry = |number: usize| {
            let host: HostId = format!("m-{number}").parse().unwrap();
            let is_down = self.until.get(&host).is_some_and(|until| *until > now);
            let state =
                if is_down { PlatformHostState::Maintenance } else { PlatformHostState::Up };
            let pool = "p".parse().unwrap();
            (host.clone(), PlatformHost { host, pool, zone: None, state, worker: None })
        };
        (0..HOSTS).map(entry).collect()
    }

    fn carry_out(&mut self, host: &HostId, token: u64, now: Tick) -> Answer {
        if self.tokens.get(host).is_some_and(|known| *known > token) {
            return Answer::Fenced;
        }
        self.tokens.insert(host.clone(), token);
        if self.begun.contains(host) {
            return Answer::Begun;
        }
        if self.until.get(host).is_some_and(|until| *until > now) {
            return Answer::Busy;
        }
        self.begun.insert(host.clone());
        self.until.insert(host.clone(), now + MAINTENANCE);
        let down = self.until.values().filter(|until| **until > now).count();
        self.max_down = self.max_down.max(down);
        Answer::Begun
    }

    fn carry_out_late(&mut self, now: Tick) {
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|o| o.due <= now);
        self.late = late;
        let due: Vec<HostOrder> = due;
        for HostOrder { host, token, .. } in due {
            self.carry_out(&host, token, now);
        }
    }
}

impl Owner {
    fn new(platform: &mut Platform, order: &WaveOrder, now: Tick) -> Self {
        platform.lease += 1;
        let wave = Wave::new(order.clone(), platform.row.clone(), now);
        let list = platform.list(now);
        Self { token: platform.lease, wave, list, listed_at: now, to_send: Vec::new() }
    }

    fn read_list(&mut self, platform: &Platform, now: Tick) {
        self.list = platform.list(now);
        self.listed_at = now;
    }

    /// Takes slots by the last list, which may be old, and stores them unless another owner has the
    /// lease. `answer` is whether the store's answer arrives, `busy` has a bit for each host that can't
    /// be drained.
    fn reserve(&mut self, platform: &mut Platform, answer: bool, busy: u8, now: Tick) {
        let step = self.wave.next(&self.list, self.listed_at, now);
        let mut reserved = Vec::new();
        for host in step.to_drain {
            let repeated = self.wave.is_open(&host);
            let index = self.wave.order.hosts.iter().position(|known| *known == host).unwrap();
            let is_busy = busy >> index & 1 == 1;
            let progress = if is_busy { DrainProgress::Protected } else { DrainProgress::Empty };
            if self.wave.reserve(&host, progress, &self.list) {
                reserved.push((host, repeated));
            }
        }
        let holds_lease = self.token == platform.lease;
        if holds_lease {
            platform.row = self.wave.to_record();
        }
        for (host, repeated) in reserved {
            if repeated || holds_lease && answer {
                self.to_send.push(host);
            } else {
                self.wave.record_not_taken(&host);
            }
        }
    }

    /// Sends the orders; `delay` is after how long they are carried out without an answer, if they are.
    fn send(&mut self, platform: &mut Platform, delay: Option<Millis>, now: Tick) {
        for host in std::mem::take(&mut self.to_send) {
            if let Some(delay) = delay {
                let order = HostOrder { host: host.clone(), token: self.token, due: now + delay };
                platform.late.push(order);
                self.wave.record_lost(&host);
                continue;
            }
            match platform.carry_out(&host, self.token, now) {
                Answer::Begun => self.wave.record_begun(&host, now),
                Answer::Busy => self.wave.record_not_taken(&host),
                Answer::Fenced => {}
            }
        }
    }
}

fn order(max_down: u32) -> WaveOrder {
    WaveOrder {
        name: "1".parse().unwrap(),
        hosts: (0..HOSTS).map(|number| format!("m-{number}").parse().unwrap()).collect(),
        within: Millis(20_000),
        max_down,
    }
}

/// Plays a schedule; returns the maximum number of hosts that were down at once, and whether the wave is
/// done after a time without faults.
fn play(max_down: u32, schedule: &[Act]) -> (usize, bool) {
    let order = order(max_down);
    let mut platform = Platform {
        until: BTreeMap::new(),
        tokens: BTreeMap::new(),
        begun: BTreeSet::new(),
        late: Vec::new(),
        lease: 0,
        row: WaveRecord::default(),
        max_down: 0,
    };
    let mut now = Tick(0);
    let mut owners = vec![Owner::new(&mut platform, &order, now)];
    for (act, parameter, busy) in schedule {
        now = now + STEP;
        platform.carry_out_late(now);
        // Any process that owned the hosts may go on at any time with what it knew.
        let last = owners.len() - 1;
        let index = last - usize::from(*parameter) % owners.len().min(3);
        let delay = Millis(u64::from(*parameter) * MAX_DELAY / 255);
        let owner = &mut owners[index];
        match act % 8 {
            0 => owners.push(Owner::new(&mut platform, &order, now)),
            1 => now = now + Millis(u64::from(*parameter) * 10),
            2 => owner.read_list(&platform, now),
            3 => owner.reserve(&mut platform, parameter % 2 == 0, *busy, now),
            4 => owner.send(&mut platform, None, now),
            5 => owner.send(&mut platform, Some(delay), now),
            act => {
                owner.read_list(&platform, now);
                owner.reserve(&mut platform, true, *busy, now);
                owner.send(&mut platform, (act == 6).then_some(delay), now);
            }
        }
    }
    let mut owner = owners.pop().unwrap();
    for _ in 0..HOSTS * 60 {
        now = now + STEP;
        platform.carry_out_late(now);
        owner.read_list(&platform, now);
        owner.reserve(&mut platform, true, 0, now);
        owner.send(&mut platform, None, now);
    }
    (platform.max_down, owner.wave.is_done())
}

/// Guards against a second host of a wave that is taken down by a replaced owner or by a late order.
#[test]
fn no_more_hosts_are_down_than_the_wave_allows_whoever_sends_orders_however_late() {
    fn holds(max_down: bool, schedule: Vec<Act>) -> bool {
        let max_down = 1 + u32::from(max_down);
        play(max_down, &schedule).0 <= max_down as usize
    }
    check("late orders of a wave", 1000, holds as fn(bool, Vec<Act>) -> bool);
}

#[test]
fn a_wave_is_done_once_its_last_owner_works_without_faults() {
    fn holds(max_down: bool, schedule: Vec<Act>) -> bool {
        play(1 + u32::from(max_down), &schedule).1
    }
    check("waves end", 200, holds as fn(bool, Vec<Act>) -> bool);
}
