//! A store behind [`Breaker`]s, so that an outage fails calls at once and no process floods it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::{BoxFuture, FutureExt};
use tokio::time;

use crate::{
    Store, StoreError,
    adaptive_timeout::{AdaptiveTimeout, AdaptiveTimeouts, CallKind},
    breaker::{Admission, Breaker, MAX_PROBE_PAUSE},
    row::{Commit, Key, Page, Row, Scan, Txn},
};

/// Returns the part of the store that a key, or the beginning of one, lies in.
pub type PartitionOf = fn(&str) -> &str;

/// A store whose calls are limited in rate and fail at once while it is down.
pub struct GuardedStore<S> {
    inner: Arc<S>,
    gates: Arc<Mutex<Gates>>,
    part_of: PartitionOf,
}

/// A breaker for the whole store, which limits the rate and notices when nothing is answered any more, and one for each
/// part, which notices failures. A part has few calls at once: one of them without an answer does not tell that it stalls.
struct Gates {
    whole: Breaker,
    adaptive_timeouts: Option<AdaptiveTimeouts>,
    longest: Duration,
    parts: BTreeMap<String, Breaker>,
}

impl Gates {
    fn part(&mut self, part: &str) -> &mut Breaker {
        if !self.parts.contains_key(part) {
            let breaker = Breaker::unlimited(now()).with_max_probe_pause(self.longest);
            self.parts.insert(part.to_owned(), breaker);
        }
        self.parts.get_mut(part).unwrap_or_else(|| unreachable!("it was just put there"))
    }

    fn adaptive_timeout(&mut self, kind: CallKind) -> Option<&mut AdaptiveTimeout> {
        self.adaptive_timeouts.as_mut().map(|adaptive_timeouts| adaptive_timeouts.for_kind(kind))
    }

    fn admit(&mut self, part: &str, now: Instant) -> Admission {
        match self.part(part).admit(now) {
            Admission::Down => Admission::Down,
            _ => self.whole.admit(now),
        }
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}

fn locked(gates: &Mutex<Gates>) -> MutexGuard<'_, Gates> {
    gates.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Store + 'static> GuardedStore<S> {
    /// Returns `inner` limited to `rate` calls a second.
    pub fn new(inner: S, rate: u32) -> Self {
        let gates = Gates {
            whole: Breaker::new(rate, now()),
            adaptive_timeouts: None,
            longest: MAX_PROBE_PAUSE,
            parts: BTreeMap::new(),
        };
        Self { inner: Arc::new(inner), gates: Arc::new(Mutex::new(gates)), part_of: |_| "" }
    }

    /// Gives each part of the store a breaker of its own: a part that is away must not close the others, of which the pools
    /// that lie there know nothing.
    #[must_use]
    pub fn with_partitions(self, part_of: PartitionOf) -> Self {
        Self { part_of, ..self }
    }

    /// Gives calls up whose answers take much longer than usual: callers that may ask again are told sooner.
    #[must_use]
    pub fn with_adaptive_timeouts(self) -> Self {
        locked(&self.gates).adaptive_timeouts = Some(AdaptiveTimeouts::default());
        self
    }

    /// Sets the longest pause between two probes of a part that is away.
    #[must_use]
    pub fn with_max_probe_pause(self, longest: Duration) -> Self {
        locked(&self.gates).longest = longest;
        self
    }

    /// Tells whether a part of the store is taken for down.
    pub fn is_down(&self) -> bool {
        locked(&self.gates).parts.values().any(Breaker::is_down)
    }

    /// Makes a call in the part of `key`, unless the store is down or has too much to do.
    async fn call<T: Send + 'static>(
        &self,
        key: &str,
        kind: CallKind,
        call: impl FnOnce(Arc<S>) -> BoxFuture<'static, Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let part = (self.part_of)(key);
        let gate = locked(&self.gates).admit(part, now());
        match gate {
            Admission::Proceed => {}
            Admission::Wait(wait) => time::sleep(wait).await,
            Admission::RateLimited => {
                return Err(StoreError::NotDone("the rate limit is used up".to_owned()));
            }
            Admission::Down => return Err(StoreError::NotDone("the store is down".to_owned())),
        }
        let open = Open::new(Arc::clone(&self.gates), part, kind);
        let (probing, adaptive_timeout) = {
            let mut gates = locked(&self.gates);
            let probing = gates.part(part).is_probing() || gates.whole.is_probing();
            (
                probing,
                gates
                    .adaptive_timeout(kind)
                    .map_or(Duration::MAX, |adaptive_timeout| adaptive_timeout.current()),
            )
        };
        let call = call(Arc::clone(&self.inner));
        let noted = async move {
            let Ok(result) = time::timeout(adaptive_timeout, call).await else {
                if let Some(adaptive_timeout) = locked(&open.gates).adaptive_timeout(kind) {
                    adaptive_timeout.record_timeout();
                }
                return Err(StoreError::Lost("no answer in the usual time".to_owned()));
            };
            open.note(&result);
            result
        };
        if !probing {
            return noted.await;
        }
        // A caller that gives up, since another of its calls failed, must not take the probe with it: the breaker would
        // stay open for good, and turn away all others.
        tokio::spawn(noted).await.map_err(|error| StoreError::Lost(error.to_string()))?
    }
}

/// A call that is under way; one that nobody waits for any more ends with it.
struct Open {
    gates: Arc<Mutex<Gates>>,
    part: String,
    kind: CallKind,
    begun: Instant,
    number: u64,
}

impl Open {
    fn new(gates: Arc<Mutex<Gates>>, part: &str, kind: CallKind) -> Self {
        let begun = now();
        let number = locked(&gates).whole.start_call(begun);
        Self { gates, part: part.to_owned(), kind, begun, number }
    }

    fn note<T>(&self, result: &Result<T, StoreError>) {
        let now = now();
        let mut gates = locked(&self.gates);
        if matches!(result, Ok(_) | Err(StoreError::Refused(_) | StoreError::Busy(_))) {
            gates.whole.record_success(now);
            let took = now.saturating_duration_since(self.begun);
            if let Some(adaptive_timeout) = gates.adaptive_timeout(self.kind) {
                adaptive_timeout.record_answer(took);
            }
        }
        let breaker = gates.part(&self.part);
        match result {
            Ok(_) | Err(StoreError::Refused(_)) => breaker.record_success(now),
            // It answers at once, so nobody is kept waiting by asking it.
            Err(StoreError::Busy(_)) => {}
            Err(_) => breaker.record_failure(now, rand::random()),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        locked(&self.gates).whole.end_call(self.number);
    }
}

impl<S: Store + 'static> Store for GuardedStore<S> {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            let first = keys.first().cloned().unwrap_or_else(|| Key(String::new()));
            self.call(&first.0, CallKind::Short, |inner| {
                async move { inner.read(keys).await }.boxed()
            })
            .await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            let prefix = scan.prefix.clone();
            self.call(&prefix, CallKind::Scan, |inner| {
                async move { inner.scan(scan).await }.boxed()
            })
            .await
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            let check = txn.checks.first().map(|check| &check.key);
            let first = check.or_else(|| txn.writes.first().map(|write| &write.key)).cloned();
            let first = first.unwrap_or_else(|| Key(String::new()));
            self.call(&first.0, CallKind::Short, |inner| {
                async move { inner.commit(txn).await }.boxed()
            })
            .await
        }
        .boxed()
    }
}
