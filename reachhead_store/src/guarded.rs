//! A store wrapper with rate limit, circuit breakers and adaptive timeouts.
//!
//! During an outage calls fail at once, and no process floods the store.

use std::{
    collections::BTreeMap,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::{self, BoxFuture, Either, FutureExt};
use tokio::{sync::watch, time};

use crate::{
    Store, StoreError,
    adaptive_timeout::{AdaptiveTimeouts, CallKind},
    breaker::{Admission, Breaker, MAX_PROBE_PAUSE},
    link::{IdleLink, LinkUse},
    progress::Progress,
    row::{Commit, Key, Page, Row, Scan, Txn},
};

/// Longest pause between two parts of an answer, or between two pages of a scan. The client gives up
/// a silent connection earlier and reports why; this bounds a store that does not.
const MAX_PART_PAUSE: Duration = Duration::from_millis(2000);

/// How long a call waits beyond its timeout while a large answer fills the link: its own answer is mostly
/// there once that one has passed, and to repeat the call would fill the link further.
const MAX_LINK_WAIT: Duration = Duration::from_millis(2000);

/// Interval at which a call that waits for the link checks whether it is still filled.
const LINK_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Returns the partition of the store that a key or key prefix belongs to.
pub type PartitionOf = fn(&str) -> &str;

/// A store whose calls are rate-limited and fail at once while it is down.
pub struct GuardedStore<S> {
    inner: Arc<S>,
    breakers: Arc<Mutex<Breakers>>,
    partition_of: PartitionOf,
    link: Arc<dyn LinkUse>,
}

/// The breakers and adaptive timeouts of a store.
///
/// The breaker of the whole store limits the rate and detects stalls. The breakers of the
/// partitions detect failures only: a partition has few calls in flight, so one call without an
/// answer does not show a stall.
struct Breakers {
    whole: Breaker,
    adaptive_timeouts: Option<AdaptiveTimeouts>,
    max_probe_pause: Duration,
    partitions: BTreeMap<String, Breaker>,
}

impl Breakers {
    fn partition(&mut self, partition: &str) -> &mut Breaker {
        if !self.partitions.contains_key(partition) {
            let breaker = Breaker::unlimited(now()).with_max_probe_pause(self.max_probe_pause);
            self.partitions.insert(partition.to_owned(), breaker);
        }
        self.partitions.get_mut(partition).unwrap_or_else(|| unreachable!("inserted above"))
    }

    fn admit(&mut self, partition: &str, now: Instant) -> Admission {
        // A call that the breaker of the whole store rejects is no probe of its partition.
        if !self.partition(partition).admits(now) {
            return Admission::Down;
        }
        let admission = self.whole.admit(now);
        if matches!(admission, Admission::Proceed | Admission::Wait(_)) {
            self.partition(partition).admit(now);
        }
        admission
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}

fn lock_breakers(breakers: &Mutex<Breakers>) -> MutexGuard<'_, Breakers> {
    breakers.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<S: Store + 'static> GuardedStore<S> {
    /// Wraps `inner` and limits it to `rate` calls per second.
    pub fn new(inner: S, rate: u32) -> Self {
        let breakers = Breakers {
            whole: Breaker::new(rate, now()),
            adaptive_timeouts: None,
            max_probe_pause: MAX_PROBE_PAUSE,
            partitions: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(inner),
            breakers: Arc::new(Mutex::new(breakers)),
            partition_of: |_| "",
            link: Arc::new(IdleLink),
        }
    }

    /// Waits longer for answers while this link is filled, and does not count calls that fail then as
    /// failures of the store.
    #[must_use]
    pub fn with_link(self, link: Arc<dyn LinkUse>) -> Self {
        Self { link, ..self }
    }

    /// Gives each partition of the store a breaker of its own, so that an unavailable partition
    /// does not block the pools whose rows are in other partitions.
    #[must_use]
    pub fn with_partitions(self, partition_of: PartitionOf) -> Self {
        Self { partition_of, ..self }
    }

    /// Enables adaptive timeouts: calls that take much longer than usual fail early, so that
    /// callers can retry sooner.
    #[must_use]
    pub fn with_adaptive_timeouts(self) -> Self {
        lock_breakers(&self.breakers).adaptive_timeouts = Some(AdaptiveTimeouts::default());
        self
    }

    /// Sets the longest pause between two probes of an unavailable partition.
    #[must_use]
    pub fn with_max_probe_pause(self, max_probe_pause: Duration) -> Self {
        lock_breakers(&self.breakers).max_probe_pause = max_probe_pause;
        self
    }

    /// Returns whether the breaker of any partition is open.
    pub fn is_down(&self) -> bool {
        lock_breakers(&self.breakers).partitions.values().any(Breaker::is_down)
    }

    /// Makes a call to the partition of `key`, unless the store is down or the rate limit is
    /// exceeded.
    ///
    /// The adaptive timeout bounds the time until the answer begins to arrive, and [`MAX_LINK_WAIT`] the
    /// time for which it may wait behind a large answer on the link. From then on the
    /// call itself gives up an answer that stops arriving, and [`MAX_PART_PAUSE`] bounds its pauses: a scan
    /// takes as long as its rows take on this process's link, of which its timeout knows nothing.
    async fn call<T: Send + 'static>(
        &self,
        key: &str,
        kind: CallKind,
        call: impl FnOnce(Arc<S>, Progress) -> BoxFuture<'static, Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let partition = (self.partition_of)(key);
        let admission = lock_breakers(&self.breakers).admit(partition, now());
        match admission {
            Admission::Proceed => {}
            Admission::Wait(wait) => time::sleep(wait).await,
            Admission::RateLimited => {
                return Err(StoreError::NotDone("the rate limit is used up".to_owned()));
            }
            Admission::Down => return Err(StoreError::NotDone("the store is down".to_owned())),
        }
        let link = Arc::clone(&self.link);
        let mut in_flight =
            CallInFlight::new(Arc::clone(&self.breakers), partition, kind, Arc::clone(&link));
        let (is_probe, call_timeout) = {
            let mut breakers = lock_breakers(&self.breakers);
            let is_probe =
                breakers.partition(partition).is_probing() || breakers.whole.is_probing();
            (
                is_probe,
                breakers
                    .adaptive_timeouts
                    .as_mut()
                    .map_or(Duration::MAX, |timeouts| timeouts.current(partition, kind)),
            )
        };
        let progress = Progress::new();
        let mut parts = progress.parts();
        let mut call = call(Arc::clone(&self.inner), progress);
        let recorded_call = async move {
            let mut timeout = call_timeout;
            let mut link_wait = Duration::ZERO;
            loop {
                let step = async {
                    let part = pin!(next_part(&mut parts));
                    match future::select(&mut call, part).await {
                        Either::Left((result, _)) => Some(result),
                        Either::Right(_) => None,
                    }
                };
                match time::timeout(timeout, step).await {
                    Ok(Some(result)) => {
                        in_flight.record(&result);
                        return result;
                    }
                    Ok(None) => {
                        in_flight.record_part();
                        timeout = call_timeout.max(MAX_PART_PAUSE);
                    }
                    Err(_) if link_wait < MAX_LINK_WAIT && link.is_filled() => {
                        timeout = LINK_CHECK_PERIOD;
                        link_wait += timeout;
                        in_flight.is_delayed = true;
                    }
                    Err(_) => {
                        in_flight.record_timeout();
                        tokio::spawn(in_flight.into_late_call().observe(call, parts));
                        return Err(StoreError::Lost("no answer in the usual time".to_owned()));
                    }
                }
            }
        };
        if !is_probe {
            return recorded_call.await;
        }
        // A probe runs in a task of its own, since its caller may drop the call when another of its
        // calls fails. Without the result of the probe the breaker would stay open for ever.
        tokio::spawn(recorded_call).await.map_err(|error| StoreError::Lost(error.to_string()))?
    }
}

/// Waits for the next part of an answer, for ever if there is none.
async fn next_part(parts: &mut watch::Receiver<u64>) {
    // The call that would send parts may drop its sender and still answer.
    if parts.changed().await.is_err() {
        future::pending().await
    }
}

/// A call in flight; dropping it ends the call in the breaker, also when the caller stops waiting.
struct CallInFlight {
    breakers: Arc<Mutex<Breakers>>,
    partition: String,
    kind: CallKind,
    started: Instant,
    /// When the first part of the answer arrived.
    answered: Option<Instant>,
    /// The answer waits for the link, which says nothing about the latency of the store.
    is_delayed: bool,
    link: Arc<dyn LinkUse>,
    number: u64,
}

impl CallInFlight {
    fn new(
        breakers: Arc<Mutex<Breakers>>,
        partition: &str,
        kind: CallKind,
        link: Arc<dyn LinkUse>,
    ) -> Self {
        let started = now();
        let number = lock_breakers(&breakers).whole.start_call(started);
        let partition = partition.to_owned();
        Self { breakers, partition, kind, started, answered: None, is_delayed: false, link, number }
    }

    /// Records that a part of the answer arrived, which shows that the store is not stalled.
    fn record_part(&mut self) {
        let now = now();
        self.answered.get_or_insert(now);
        lock_breakers(&self.breakers).whole.record_success(now);
    }

    fn record<T>(&self, result: &Result<T, StoreError>) {
        let now = now();
        let mut breakers = lock_breakers(&self.breakers);
        if matches!(result, Ok(_) | Err(StoreError::Refused(_) | StoreError::Busy(_))) {
            breakers.whole.record_success(now);
            let answered = self.answered.unwrap_or(now);
            let latency = answered.saturating_duration_since(self.started);
            if let Some(timeouts) = &mut breakers.adaptive_timeouts
                && !self.is_delayed
            {
                timeouts.record_answer(&self.partition, self.kind, latency);
            }
        }
        let breaker = breakers.partition(&self.partition);
        match result {
            Ok(_) | Err(StoreError::Refused(_)) => breaker.record_success(now),
            // A busy store answers at once, so further calls delay no caller.
            Err(StoreError::Busy(_)) => {}
            // The answer may wait behind a large one.
            Err(StoreError::Lost(_)) if self.link.is_filled() => {}
            Err(_) => breaker.record_failure(now, rand::random()),
        }
    }

    fn record_timeout(&self) {
        if self.link.is_filled() {
            return;
        }
        let mut breakers = lock_breakers(&self.breakers);
        if let Some(timeouts) = &mut breakers.adaptive_timeouts {
            timeouts.record_timeout(self.kind);
        }
        // A scan that times out may only have more rows than before, and other calls need not fail for that.
        if self.kind.is_short() {
            breakers.partition(&self.partition).record_failure(now(), rand::random());
        }
    }
}

impl CallInFlight {
    /// Ends the call for the breaker of the whole store; its answer may still arrive.
    fn into_late_call(self) -> LateCall {
        LateCall {
            breakers: Arc::clone(&self.breakers),
            partition: self.partition.clone(),
            kind: self.kind,
            started: self.started,
        }
    }
}

/// A call that has timed out.
struct LateCall {
    breakers: Arc<Mutex<Breakers>>,
    partition: String,
    kind: CallKind,
    started: Instant,
}

impl LateCall {
    /// Waits until the answer begins, which shows how long the next call may take. Without it a
    /// partition whose calls all take longer than the timeout would never be used again. The rest
    /// of the answer is dropped, since it would only delay others on the link.
    async fn observe<T>(
        self,
        call: BoxFuture<'static, Result<T, StoreError>>,
        mut parts: watch::Receiver<u64>,
    ) {
        let is_answered = match future::select(call, pin!(next_part(&mut parts))).await {
            Either::Left((result, _)) => result.is_ok(),
            Either::Right(_) => true,
        };
        if is_answered {
            let latency = now().saturating_duration_since(self.started);
            if let Some(timeouts) = &mut lock_breakers(&self.breakers).adaptive_timeouts {
                timeouts.record_late_answer(&self.partition, self.kind, latency);
            }
        }
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        lock_breakers(&self.breakers).whole.end_call(self.number);
    }
}

impl<S: Store + 'static> Store for GuardedStore<S> {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            let first = keys.first().cloned().unwrap_or_else(|| Key(String::new()));
            self.call(&first.0, CallKind::Read, |inner, _| {
                async move { inner.read(keys).await }.boxed()
            })
            .await
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            let prefix = scan.prefix.clone();
            let kind = if scan.limit == u32::MAX { CallKind::Scan } else { CallKind::Page };
            self.call(&prefix, kind, |inner, progress| {
                async move { inner.scan_with_progress(scan, progress).await }.boxed()
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
            self.call(&first.0, CallKind::Commit, |inner, _| {
                async move { inner.commit(txn).await }.boxed()
            })
            .await
        }
        .boxed()
    }
}
