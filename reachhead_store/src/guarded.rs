//! A store behind a [`Breaker`], so that an outage fails calls at once and no process floods it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures::future::{BoxFuture, FutureExt};
use tokio::time;

use crate::{
    Store, StoreError,
    breaker::{Breaker, Gate},
    row::{Commit, Key, Page, Row, Scan, Txn},
};

/// A store whose calls are limited in rate and fail at once while it is down.
pub struct GuardedStore<S> {
    inner: S,
    breaker: Mutex<Breaker>,
}

impl<S: Store> GuardedStore<S> {
    /// Returns `inner` limited to `rate` calls a second.
    pub fn new(inner: S, rate: u32) -> Self {
        Self { inner, breaker: Mutex::new(Breaker::new(rate, Instant::now())) }
    }

    /// Tells whether the store is taken for down.
    pub fn is_down(&self) -> bool {
        self.breaker().is_down()
    }

    fn breaker(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn pass(&self) -> Result<Open<'_, S>, StoreError> {
        let gate = self.breaker().gate(Instant::now());
        match gate {
            Gate::Go => {}
            Gate::Wait(wait) => time::sleep(wait).await,
            Gate::Full => {
                return Err(StoreError::NotDone("the rate limit is used up".to_owned()));
            }
            Gate::Down => return Err(StoreError::NotDone("the store is down".to_owned())),
        }
        let number = self.breaker().begin(Instant::now());
        Ok(Open { store: self, number })
    }

    fn note<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = Instant::now();
        let mut breaker = self.breaker();
        match &result {
            Ok(_) | Err(StoreError::Refused(_)) => breaker.succeed(now),
            // It answers at once, so nobody is kept waiting by asking it.
            Err(StoreError::Busy(_)) => {}
            Err(_) => breaker.fail(now, rand::random()),
        }
        result
    }
}

/// A call that is under way; one that nobody waits for any more ends with it.
struct Open<'a, S: Store> {
    store: &'a GuardedStore<S>,
    number: u64,
}

impl<S: Store> Drop for Open<'_, S> {
    fn drop(&mut self) {
        self.store.breaker().end(self.number);
    }
}

impl<S: Store> Store for GuardedStore<S> {
    fn read(&self, keys: Vec<Key>) -> BoxFuture<'_, Result<Vec<Option<Row>>, StoreError>> {
        async move {
            let _open = self.pass().await?;
            self.note(self.inner.read(keys).await)
        }
        .boxed()
    }

    fn scan(&self, scan: Scan) -> BoxFuture<'_, Result<Page, StoreError>> {
        async move {
            let _open = self.pass().await?;
            self.note(self.inner.scan(scan).await)
        }
        .boxed()
    }

    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, StoreError>> {
        async move {
            let _open = self.pass().await?;
            self.note(self.inner.commit(txn).await)
        }
        .boxed()
    }
}
