//! The payloads that a dispatcher keeps, so that an owner sends each of them once.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use reachhead_jobs::clock::Tick;
use reachhead_types::{
    id::JobId,
    size::{Bytes, Millis},
};

use super::messages::SessionId;

/// How long a payload is kept.
const KEEP_TIME: Millis = Millis(60_000);

/// Most bytes of payloads that are kept.
const MAX_BYTES: Bytes = Bytes(4 << 20);

/// A cache of payloads, by session and job: an owner knows of its own session alone what was sent.
#[derive(Debug, Default)]
pub struct PayloadCache {
    payloads: HashMap<(SessionId, JobId), (Arc<str>, Tick)>,
    /// The entries in the order of their arrival; one that was replaced is older than its payload.
    order: VecDeque<(SessionId, JobId, Tick)>,
    size: u64,
}

impl PayloadCache {
    /// Keeps a payload; the oldest ones make room for it.
    pub fn insert(&mut self, session: SessionId, job: JobId, payload: Arc<str>, now: Tick) {
        self.size += payload.len() as u64;
        if let Some((old, _)) = self.payloads.insert((session, job), (payload, now)) {
            self.size -= old.len() as u64;
        }
        self.order.push_back((session, job, now));
        self.purge(now);
    }

    /// Returns the payload of a job.
    pub fn get(&self, session: SessionId, job: JobId) -> Option<Arc<str>> {
        self.payloads.get(&(session, job)).map(|(payload, _)| Arc::clone(payload))
    }

    /// Drops the payloads that are too old, and the oldest ones if all together are too long.
    pub fn purge(&mut self, now: Tick) {
        while let Some(&(session, job, at)) = self.order.front()
            && (now.since(at) >= KEEP_TIME || self.size > MAX_BYTES.0)
        {
            self.order.pop_front();
            let is_current = |(_, since): &(Arc<str>, Tick)| *since == at;
            if self.payloads.get(&(session, job)).is_some_and(is_current)
                && let Some((payload, _)) = self.payloads.remove(&(session, job))
            {
                self.size -= payload.len() as u64;
            }
        }
    }
}
