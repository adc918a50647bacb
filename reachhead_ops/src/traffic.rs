//! Bytes that a process exchanges with its peers, by the kind of call.
//!
//! On a narrow link the calls of a process compete. Without these figures a process that is late
//! does not tell which of its calls fill the link.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    sync::{Mutex, PoisonError},
};

/// Maximum number of kinds; further ones share the last.
const MAX_KINDS: usize = 32;

/// Name of the kind that calls beyond [`MAX_KINDS`] share.
const OTHER: &str = "other";

/// Calls of one kind, and the bytes of their bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallTraffic {
    /// Requests that were sent, whatever became of them.
    pub calls: u64,
    /// Bytes of the requests' bodies.
    pub sent: u64,
    /// Bytes of the answers' bodies.
    pub received: u64,
}

/// Traffic of a process, by the first segment of the requests' paths.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Totals {
    /// Traffic of each kind of call.
    pub kinds: BTreeMap<String, CallTraffic>,
    /// Connections that were opened.
    pub connections: u64,
}

impl Totals {
    /// Returns what was added since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let added = |(kind, now): (&String, &CallTraffic)| {
            let before = earlier.kinds.get(kind).copied().unwrap_or_default();
            let added = CallTraffic {
                calls: now.calls - before.calls,
                sent: now.sent - before.sent,
                received: now.received - before.received,
            };
            (added.calls > 0 || added.received > 0).then(|| (kind.clone(), added))
        };
        let connections = self.connections - earlier.connections;
        Self { kinds: self.kinds.iter().filter_map(added).collect(), connections }
    }
}

impl Display for Totals {
    /// Writes `connections=N`, and `kind=calls/sent/received` for each kind of call.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "connections={}", self.connections)?;
        for (kind, CallTraffic { calls, sent, received }) in &self.kinds {
            write!(f, " {kind}={calls}/{sent}/{received}")?;
        }
        Ok(())
    }
}

/// Counts the traffic of a process.
#[derive(Debug, Default)]
pub struct Traffic(Mutex<Totals>);

impl Traffic {
    /// Records a request that is sent.
    pub(crate) fn record_request(&self, path: &str, bytes: u64) {
        self.record(path, |kind| {
            kind.calls += 1;
            kind.sent += bytes;
        });
    }

    /// Records bytes of an answer to a request for this path.
    pub(crate) fn record_answer(&self, path: &str, bytes: u64) {
        self.record(path, |kind| kind.received += bytes);
    }

    /// Records a connection that was opened.
    pub(crate) fn record_connection(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).connections += 1;
    }

    /// Returns the traffic since the process started.
    pub fn totals(&self) -> Totals {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record(&self, path: &str, change: impl FnOnce(&mut CallTraffic)) {
        let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let kinds = &mut self.0.lock().unwrap_or_else(PoisonError::into_inner).kinds;
        let is_new = !kinds.contains_key(name);
        let name = if is_new && kinds.len() >= MAX_KINDS - 1 { OTHER } else { name };
        match kinds.get_mut(name) {
            Some(kind) => change(kind),
            None => change(kinds.entry(name.to_owned()).or_default()),
        }
    }
}
