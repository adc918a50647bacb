//! Until when orders of earlier owners can have effect after a process has taken a pool.
//!
//! Tasks that no worker reports wait for that time where a worker does not answer, so each takeover
//! counts it as short as what is known of the owners before it allows. It is kept as points in time:
//! a wait that each owner restarts at its own fences never ends while owners are lost in a row.
//! See "How a pool changes its owner" in [Platform](../../docs/PLATFORM.md).

use std::collections::BTreeMap;

use reachhead_types::{
    id::WorkerId,
    size::{FencingToken, Millis},
};

use crate::{
    clock::{Tick, with_drift},
    pool::PoolTimeouts,
    record::{EarlierOwner, EarlierOwners, LeaseRecord},
};

/// Maximum number of owners that may go on in a lease: all processes read the row.
const MAX_OPEN_OWNERS: usize = 8;

/// The [`FencedRecord`](crate::record::FencedRecord) of a pool, on the clock of the process that has
/// seen it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedBound {
    /// Token of the owner that had fenced all shards.
    pub token: FencingToken,
    /// When orders of the owners before that one have lost their effect.
    pub until: Tick,
}

/// The owner before the one that takes a pool, as its successor knows it.
#[derive(Debug, Clone, Copy)]
pub struct Predecessor<'a> {
    /// The lease that is taken.
    pub record: &'a LeaseRecord,
    /// The token of that lease.
    pub token: FencingToken,
    /// When this process first saw the lease, which was written by then.
    pub since: Tick,
    /// The process or the owner in it has certainly ended, so it gives no more orders.
    pub has_ended: bool,
    /// It recorded under this lease that no order of the owners before it can have effect any more.
    pub is_settled: bool,
    /// What an owner that had fenced all shards has recorded last.
    pub fenced: Option<FencedBound>,
}

/// An earlier owner that is not known to have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenOwner {
    /// The owner, as the lease names it.
    pub owner: EarlierOwner,
    /// When its orders have lost their effect; `None` until a later owner has fenced all shards, since
    /// its commits in the others may confirm its lease.
    until: Option<Tick>,
}

/// Until when orders of earlier owners can have effect at workers that do not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEffect {
    /// Effect of orders of an owner that may go on, from when all shards are fenced.
    full: Millis,
    /// Effect of orders of an owner that has ended, from when it has.
    leases: Millis,
    /// The owners that may go on.
    open: Vec<OpenOwner>,
    /// Effect of orders of owners that can't be told apart, from when all shards are fenced; `None`
    /// if there are none.
    unknown: Option<Millis>,
    /// When the last order of an owner that has ended since it was listed has lost its effect: jobs that
    /// are found by then may have been started by it.
    answered: Tick,
    /// When orders of an owner that had ended before this process took the pool have lost their effect. It
    /// started no job that was stored after that.
    predecessor: Tick,
    /// When orders of all others have lost their effect at a worker that is not in `silent`.
    ended: Tick,
    /// The same at the workers that the released lease lists; see [`LeaseRecord::silent`].
    silent: BTreeMap<WorkerId, Tick>,
    /// When the owner before this one had released the pool, if orders of earlier owners had no effect any
    /// more by then. Only leases that the releasing owner granted can remain.
    released_at: Option<Tick>,
}

impl OpenOwner {
    /// Returns the token of its lease.
    pub fn token(&self) -> FencingToken {
        self.owner.token
    }
}

impl OrderEffect {
    /// Returns the state of a pool without an earlier owner.
    pub fn new(timeouts: &PoolTimeouts) -> Self {
        Self {
            full: timeouts.takeover_delay(),
            leases: with_drift(timeouts.hold),
            open: Vec::new(),
            unknown: None,
            answered: Tick(0),
            predecessor: Tick(0),
            ended: Tick(0),
            silent: BTreeMap::new(),
            released_at: None,
        }
    }

    /// Returns the state with earlier owners of which only the time is known for which their orders
    /// have effect, from when all shards are fenced.
    #[must_use]
    pub fn with_unknown(mut self, effect: Millis) -> Self {
        self.unknown = Some(self.unknown.unwrap_or_default().max(effect));
        self
    }

    /// Returns the owners that may go on.
    pub fn open(&self) -> &[OpenOwner] {
        &self.open
    }

    /// Returns the part of a log line that names the owners that may go on; empty if there are none.
    pub fn describe_open(&self) -> String {
        let names = self.open.iter().take(MAX_OPEN_OWNERS).map(|open| open.owner.node.as_str());
        let names = names.collect::<Vec<_>>().join(",");
        match (names.is_empty(), &self.unknown) {
            (true, None) => String::new(),
            (true, Some(_)) => " open=unknown".to_owned(),
            (false, None) => format!(" open={names}"),
            (false, Some(_)) => format!(" open={names},unknown"),
        }
    }

    /// Records that all shards were fenced by `at`: owners that may go on got no confirmation after that.
    pub fn fence(&mut self, at: Tick) {
        for open in &mut self.open {
            let until = at + self.full;
            open.until = Some(open.until.map_or(until, |known| known.min(until)));
        }
        if let Some(effect) = self.unknown.take() {
            self.ended = self.ended.max(at + effect);
        }
    }

    /// Records that the owner with this token gave no order after `at`. Returns whether it was open.
    pub fn end_owner(&mut self, token: FencingToken, at: Tick) -> bool {
        let Some(index) = self.open.iter().position(|open| open.owner.token == token) else {
            return false;
        };
        let leases = at + self.leases;
        let until = self.open.remove(index).until.map_or(leases, |until| until.min(leases));
        self.answered = self.answered.max(until);
        self.ended = self.ended.max(until);
        true
    }

    /// Drops the owners whose orders have lost their effect, so that they take no room in the leases of
    /// later owners.
    pub fn expire(&mut self, now: Tick) {
        let ended = &mut self.ended;
        self.open.retain(|open| match open.until {
            Some(until) if until <= now => {
                *ended = (*ended).max(until);
                false
            }
            _ => true,
        });
    }

    /// Records that this owner has renewed leases by `now`, for its successor.
    pub fn renew(&mut self, now: Tick) {
        self.ended = self.ended.max(now + self.leases);
    }

    /// Returns when orders have lost their effect at the worker; `None` if that is known only once all
    /// shards are fenced.
    pub fn until_at(&self, worker: &WorkerId) -> Option<Tick> {
        self.silent.get(worker).copied().or_else(|| self.usual_until())
    }

    /// Returns when orders have lost their effect at a worker that is not in the released lease.
    fn usual_until(&self) -> Option<Tick> {
        if self.unknown.is_some() {
            return None;
        }
        let ended = self.ended.max(self.predecessor);
        self.open.iter().try_fold(ended, |last, open| Some(last.max(open.until?)))
    }

    /// Returns when orders have lost their effect at all workers; `None` if that is known only once all
    /// shards are fenced.
    pub fn until(&self) -> Option<Tick> {
        let usual = self.usual_until()?;
        Some(self.silent.values().copied().fold(usual, Tick::max))
    }

    /// Returns until when a job that has just been stored may be started by an earlier owner; `None` if that
    /// is known only once all shards are fenced. An order has effect for at most a lease. An owner that has
    /// answered may have started a job that is found only after its answer.
    pub fn given_until(&self) -> Option<Tick> {
        Some((self.until_for_new_jobs()? - self.leases).max(self.answered))
    }

    /// Returns until when a run by an earlier owner may be active of a job that was stored after this process
    /// took the pool; `None` if that is known only once all shards are fenced. A read may find the job long
    /// after it was stored, so the time that is left of the last lease counts as well.
    pub fn started_until(&self) -> Option<Tick> {
        Self { predecessor: Tick(0), ..self.clone() }.until_for_new_jobs()
    }

    /// Returns when orders for jobs that are stored from now on have lost their effect at all workers. The
    /// leases that an owner leaves when it releases the pool are of jobs that were stored before.
    fn until_for_new_jobs(&self) -> Option<Tick> {
        let Some(released_at) = self.released_at else {
            return self.until();
        };
        let predecessor = self.predecessor.min(released_at + self.leases);
        Self { predecessor, ..self.clone() }.usual_until()
    }

    /// Returns for how long orders have effect at any worker, from now or from when all shards are
    /// fenced, whichever is later.
    pub fn longest(&self, now: Tick) -> Millis {
        let open =
            self.open.iter().map(|open| open.until.map_or(self.full, |until| until.since(now)));
        let silent = self.silent.values().map(|until| until.since(now));
        let ended = self.ended.max(self.predecessor).since(now);
        let ended = ended.max(self.unknown.unwrap_or_default());
        open.chain(silent).fold(ended, Millis::max)
    }

    /// Returns what the lease of this owner tells of the owners before it, from now on; `None` if they
    /// can't be listed, so that a successor counts [`LeaseRecord::unsettled_for`].
    pub fn earlier_owners(&self, now: Tick) -> Option<EarlierOwners> {
        if self.unknown.is_some() || self.open.len() > MAX_OPEN_OWNERS {
            return None;
        }
        let open = self.open.iter().map(|OpenOwner { owner, until }| EarlierOwner {
            left: until.map(|until| until.since(now)),
            ..owner.clone()
        });
        let silent = self.silent.values().copied();
        let ended = silent.fold(self.ended.max(self.predecessor), Tick::max).since(now);
        Some(EarlierOwners { open: open.collect(), ended })
    }

    /// Adds the owners that a lease lists, as seen by a process that knows it since `lease.since`.
    fn include(&mut self, earlier: &EarlierOwners, lease: &Predecessor<'_>) {
        let bound = |token| lease.fenced.filter(|fenced| fenced.token > token);
        for owner in &earlier.open {
            let left = owner.left.map(|left| lease.since + left);
            let fenced = bound(owner.token).map(|fenced| fenced.until);
            let until = left.into_iter().chain(fenced).min();
            self.open.push(OpenOwner { owner: owner.clone(), until });
        }
        let ended = lease.since + earlier.ended;
        let fenced = lease.fenced.filter(|fenced| fenced.token == lease.token);
        self.ended = self.ended.max(fenced.map_or(ended, |fenced| fenced.until.min(ended)));
    }

    /// Adds the owners before the one that holds a lease.
    fn include_before(self, lease: &Predecessor<'_>) -> Self {
        let Predecessor { record, token, fenced, .. } = *lease;
        let mut effect = self;
        match (&record.earlier, fenced.filter(|fenced| fenced.token == token)) {
            _ if lease.is_settled => {}
            (Some(earlier), _) => effect.include(earlier, lease),
            (None, Some(fenced)) => effect.ended = effect.ended.max(fenced.until),
            (None, None) => {
                let counted = record.unsettled_for.unwrap_or(effect.full);
                effect = effect.with_unknown(counted);
            }
        }
        effect
    }
}

/// Returns until when orders of earlier owners can have effect, for a process that takes the lease now;
/// `None` stands for a pool without an earlier owner.
///
/// An owner that has ended leaves its leases. One that may go on trusts its lease until all shards are
/// fenced and for some time after that: as long as a shard is not fenced, it takes its commits there as a
/// confirmation. That is over for the owners before one that had fenced all shards.
pub fn order_effect(
    timeouts: &PoolTimeouts,
    predecessor: Option<Predecessor<'_>>,
    now: Tick,
) -> OrderEffect {
    let mut effect = OrderEffect::new(timeouts);
    let Some(lease) = predecessor else {
        return effect;
    };
    let Predecessor { record, token, since, .. } = lease;
    let Some(name) = &record.owner else {
        match (&record.silent, &record.earlier) {
            // It is listed only by an owner that had fenced all shards.
            (Some(silent), _) => {
                effect.predecessor = since + effect.leases;
                effect.silent =
                    silent.iter().map(|(id, left)| (id.clone(), since + *left)).collect();
                effect.released_at = record.settled.then_some(since);
            }
            (None, Some(earlier)) if record.settled && earlier.open.is_empty() => {
                effect.predecessor = since + earlier.ended;
                effect.released_at = Some(since);
            }
            (None, Some(earlier)) => {
                effect.include(earlier, &lease);
                effect.expire(now);
            }
            (None, None) => return effect.with_unknown(timeouts.after_release(record)),
        }
        return effect;
    };
    effect = effect.include_before(&lease);
    effect.expire(now);
    match record.address {
        _ if lease.has_ended => effect.predecessor = now + effect.leases,
        Some(address) => {
            let owner = EarlierOwner { node: name.clone(), address, token, left: None };
            effect.open.push(OpenOwner { owner, until: None });
        }
        None => {
            let full = effect.full;
            effect = effect.with_unknown(full);
        }
    }
    effect
}
