//! The dispatchers of an owner: which worker each of them serves, and the orders that they have.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use reachhead_jobs::{
    clock::Tick,
    dispatch::{
        assignment::{Assignment, Dispatcher},
        health::DispatcherHealth,
    },
    ports::WorkerError,
};
use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::{Millis, Strength},
};
use tokio::sync::oneshot;

use super::{
    messages::{OrderCall, OrderResult, Outcome, SessionId},
    session::Session,
};

/// A process that may become a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name and capacity.
    pub dispatcher: Dispatcher,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// A dispatcher and what it does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionStatus {
    /// The process.
    pub node: NodeName,
    /// The number of workers that it serves.
    pub workers: usize,
    /// Orders without a result.
    pub outstanding: usize,
    /// The age of the oldest of them.
    pub oldest: Millis,
}

/// An order that was queued for a dispatcher.
pub struct QueuedOrder {
    /// The receiver of its outcome.
    pub outcome: oneshot::Receiver<Outcome>,
    /// The dispatcher.
    pub node: NodeName,
    /// The session.
    pub session: SessionId,
    /// What is due for the session's queue.
    pub flush: Flush,
}

/// When the queue of a session is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flush {
    /// A flush is already scheduled.
    Scheduled,
    /// After the time for collecting orders.
    Later,
    /// Now.
    Now,
}

/// A dispatcher was excluded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    /// The process.
    pub node: NodeName,
    /// Why.
    pub reason: String,
    /// For how long.
    pub time: Millis,
    /// The number of its orders without a result.
    pub orders: usize,
}

/// The dispatchers of an owner.
pub struct Sessions {
    assignment: Assignment,
    health: DispatcherHealth,
    /// The chosen candidates by name.
    addresses: BTreeMap<NodeName, SocketAddr>,
    /// What each of them has left for this owner.
    strengths: BTreeMap<NodeName, Strength>,
    sessions: BTreeMap<NodeName, Session>,
    /// The number of workers of each dispatcher.
    workers: BTreeMap<NodeName, usize>,
}

impl Sessions {
    /// Returns the dispatchers of a pool's owner, of which there are none yet.
    pub fn new(pool: PoolName) -> Self {
        Self {
            assignment: Assignment::new().with_pool(pool),
            health: DispatcherHealth::new(),
            addresses: BTreeMap::new(),
            strengths: BTreeMap::new(),
            sessions: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    /// Assigns workers to the usable candidates, for this demand. Returns the dispatchers that are none
    /// any more.
    pub fn assign(
        &mut self,
        workers: &[WorkerId],
        candidates: Vec<Candidate>,
        demand: Strength,
        now: Tick,
    ) -> Vec<NodeName> {
        let (mut dispatchers, mut addresses) = (Vec::new(), BTreeMap::new());
        for Candidate { dispatcher, address } in candidates {
            if self.health.is_usable(&dispatcher.node, now) {
                addresses.insert(dispatcher.node.clone(), address);
                dispatchers.push(dispatcher);
            }
        }
        self.addresses = addresses;
        let strength = |known: &Dispatcher| (known.node.clone(), known.effective_strength());
        self.strengths = dispatchers.iter().map(strength).collect();
        self.assignment.update(workers, &dispatchers, demand);
        self.workers.clear();
        for worker in workers {
            if let Some(node) = self.assignment.dispatcher_of(worker) {
                *self.workers.entry(node.clone()).or_default() += 1;
            }
        }
        self.drop_unused()
    }

    /// Leaves all workers to the owner. Orders that dispatchers have are still theirs.
    pub fn clear(&mut self) -> Vec<NodeName> {
        self.assignment.clear();
        self.workers.clear();
        self.drop_unused()
    }

    /// Returns the capacity of the dispatchers that serve workers, if there are any.
    pub fn strength(&self, now: Tick) -> Option<Strength> {
        let usable = self.workers.keys().filter(|node| self.health.is_usable(node, now));
        let total = usable.filter_map(|node| self.strengths.get(node)).map(|known| known.0).sum();
        (total > 0).then_some(Strength(total))
    }

    fn drop_unused(&mut self) -> Vec<NodeName> {
        let is_unused = |node: &NodeName, session: &Session| {
            session.outstanding() == 0 && !self.workers.contains_key(node)
        };
        let unused: Vec<NodeName> = self
            .sessions
            .iter()
            .filter(|(node, session)| is_unused(node, session))
            .map(|(node, _)| node.clone())
            .collect();
        for node in &unused {
            self.sessions.remove(node);
        }
        unused
    }

    /// Queues an order if the worker has a dispatcher that is usable.
    pub fn queue(
        &mut self,
        worker: &WorkerId,
        address: SocketAddr,
        call: impl FnOnce() -> OrderCall,
        payload: Option<&Arc<str>>,
        now: Tick,
    ) -> Option<QueuedOrder> {
        let node = self.assignment.dispatcher_of(worker)?;
        if !self.health.is_usable(node, now) {
            return None;
        }
        let node = node.clone();
        let dispatcher_address = *self.addresses.get(&node)?;
        let session = self
            .sessions
            .entry(node.clone())
            .or_insert_with(|| new_session(dispatcher_address, now));
        if session.address != dispatcher_address {
            // It was restarted elsewhere; the orders that it had are sent directly.
            *session = new_session(dispatcher_address, now);
        }
        let outcome = session.queue(worker.clone(), address, call(), payload, now);
        let flush = if session.is_full() {
            Flush::Now
        } else if session.has_timer {
            Flush::Scheduled
        } else {
            session.has_timer = true;
            Flush::Later
        };
        Some(QueuedOrder { outcome, node, session: session.id, flush })
    }

    /// Returns the session of a dispatcher, if it is still this one.
    pub fn session(&mut self, node: &NodeName, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(node).filter(|session| session.id == id)
    }

    /// Passes results on to whoever waits for them. Returns the dispatcher if it is excluded by now, as it
    /// reaches no workers.
    pub fn receive(
        &mut self,
        id: SessionId,
        results: Vec<OrderResult>,
        now: Tick,
    ) -> Option<Exclusion> {
        let (node, session) = self.sessions.iter_mut().find(|(_, session)| session.id == id)?;
        session.record_message(now);
        let mut exclusion = None;
        for result in results {
            let evidence = evidence(&result.1);
            let Some(worker) = session.finish(result) else {
                continue;
            };
            match evidence {
                Some(Evidence::Answer) => self.health.record_answer(node, &worker, now),
                Some(Evidence::Silence) => {
                    let begun = self.health.record_worker_error(node, &worker, now);
                    exclusion = exclusion.or(begun);
                }
                None => {}
            }
        }
        let node = node.clone();
        exclusion.map(|time| self.end(&node, "it reaches no workers".to_owned(), time))
    }

    /// Excludes a dispatcher that does not answer, and drops its orders. Returns nothing if the session
    /// has already ended.
    pub fn fail(
        &mut self,
        node: &NodeName,
        id: SessionId,
        reason: String,
        now: Tick,
    ) -> Option<Exclusion> {
        self.session(node, id)?;
        let time = self.health.record_failure(node, now).unwrap_or_default();
        Some(self.end(node, reason, time))
    }

    fn end(&mut self, node: &NodeName, reason: String, time: Millis) -> Exclusion {
        let session = self.sessions.remove(node);
        let orders = session.map_or(0, |session| session.outstanding());
        Exclusion { node: node.clone(), reason, time, orders }
    }

    /// Drops the orders without a result in time, and excludes dispatchers that have been silent
    /// meanwhile, unless the owner's own link may be the cause.
    pub fn drop_overdue(&mut self, is_own_link_free: bool, now: Tick) -> Vec<Exclusion> {
        let mut silent = Vec::new();
        for (node, session) in &mut self.sessions {
            if session.drop_overdue(now).is_silent && is_own_link_free {
                silent.push((node.clone(), session.id));
            }
        }
        let reason = || "no result in time".to_owned();
        silent.iter().filter_map(|(node, id)| self.fail(node, *id, reason(), now)).collect()
    }

    /// Extends the time for all results by the time for which this process did not run.
    pub fn extend(&mut self, time: Millis) {
        for session in self.sessions.values_mut() {
            session.extend(time);
        }
    }

    /// Returns whether an order has no result yet.
    pub fn is_waiting(&self) -> bool {
        self.sessions.values().any(|session| session.outstanding() > 0)
    }

    /// Returns the dispatchers, and those whose last orders have no result yet.
    pub fn status(&self, now: Tick) -> Vec<SessionStatus> {
        let mut nodes: Vec<&NodeName> = self.workers.keys().chain(self.sessions.keys()).collect();
        nodes.sort();
        nodes.dedup();
        let status = |node: &NodeName| {
            let session = self.sessions.get(node);
            SessionStatus {
                node: node.clone(),
                workers: self.workers.get(node).copied().unwrap_or_default(),
                outstanding: session.map(Session::outstanding).unwrap_or_default(),
                oldest: session.map(|session| session.oldest(now)).unwrap_or_default(),
            }
        };
        nodes.into_iter().map(status).collect()
    }
}

fn new_session(address: SocketAddr, now: Tick) -> Session {
    Session::new(SessionId(rand::random()), address, now)
}

/// What a result says about the dispatcher's links to workers.
enum Evidence {
    Answer,
    Silence,
}

fn evidence(outcome: &Outcome) -> Option<Evidence> {
    match outcome {
        Outcome::Clock(_) | Outcome::Report(_) => Some(Evidence::Answer),
        Outcome::Failed(error) => match error {
            WorkerError::Replaced | WorkerError::Rejected(_) => Some(Evidence::Answer),
            WorkerError::Unreachable(_) | WorkerError::Lost(_) => Some(Evidence::Silence),
            // The worker's host closed the connection or refused a new one, so the link to it is not
            // cut. A host that changes its pool does so to all its connections.
            WorkerError::Broken(_) | WorkerError::PortClosed(_) => None,
        },
        Outcome::Expired | Outcome::NoPayload => None,
    }
}
