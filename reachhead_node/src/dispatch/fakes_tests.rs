//! Workers, links and an owner with dispatchers, for tests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt, pending};
use reachhead_jobs::{
    clock::WorkerTime,
    dispatch::assignment::Dispatcher,
    ports::{HoldOrder, StartOrder, WorkerAgent, WorkerError, WorkerReport, WorkerTarget},
    task::TaskId,
};
use reachhead_ops::client::CallError;
use reachhead_types::{
    id::{JobId, WorkerId},
    size::{FencingToken, Millis, RunNumber, Strength},
};
use tokio::time;

use super::{
    DispatchBatch, DispatchServer, DispatchedWorkers, OrderResult, ResultBatch, link::DispatchLink,
    sessions::Candidate,
};
use crate::tests::tokio_clock;

pub const TOKEN: FencingToken = FencingToken(7);

/// Address of the owner; dispatcher `n` is at port `n`.
pub const OWNER: u16 = 9000;

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The calls that arrived at workers, from one process.
#[derive(Default)]
pub struct FakeWorkers {
    pub calls: Mutex<Vec<(WorkerTarget, Option<StartOrder>)>>,
    /// What the workers answer; nothing if it is `None`, and their clock by default.
    pub answer: Mutex<Option<Result<(), WorkerError>>>,
}

impl FakeWorkers {
    pub fn answering(answer: Option<Result<(), WorkerError>>) -> Arc<Self> {
        Arc::new(Self { calls: Mutex::default(), answer: Mutex::new(answer) })
    }

    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    fn call<T: Send + 'static>(
        &self,
        target: WorkerTarget,
        order: Option<StartOrder>,
        done: T,
    ) -> BoxFuture<'_, Result<T, WorkerError>> {
        self.calls.lock().unwrap().push((target, order));
        match self.answer.lock().unwrap().clone() {
            Some(answer) => async move { answer.map(|()| done) }.boxed(),
            None => pending().boxed(),
        }
    }
}

impl WorkerAgent for FakeWorkers {
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        self.call(target, Some(order), WorkerTime(5))
    }

    fn stop(
        &self,
        target: WorkerTarget,
        _: TaskId,
        _: RunNumber,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        self.call(target, None, WorkerTime(5))
    }

    fn hold(
        &self,
        target: WorkerTarget,
        _: HoldOrder,
    ) -> BoxFuture<'_, Result<WorkerReport, WorkerError>> {
        let report = WorkerReport {
            started_at: None,
            clock: WorkerTime(5),
            running: Vec::new(),
            ended: Vec::new(),
        };
        self.call(target, None, report)
    }

    fn pace(
        &self,
        target: WorkerTarget,
        _: TaskId,
        _: RunNumber,
        _: u32,
    ) -> BoxFuture<'_, Result<WorkerTime, WorkerError>> {
        self.call(target, None, WorkerTime(5))
    }
}

/// What happens to messages in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Delivery {
    #[default]
    Works,
    /// Nothing arrives, and the sender waits in vain.
    Lost,
    /// Nothing listens at the address.
    Refused,
    /// The message arrives, its answer does not.
    AnswerLost,
}

impl Delivery {
    async fn result<T>(
        self,
        deadline: Duration,
        deliver: impl FnOnce() -> T,
    ) -> Result<T, CallError> {
        let lost = || CallError::Lost("no answer in time".to_owned());
        match self {
            Self::Works => Ok(deliver()),
            Self::Refused => Err(CallError::PortClosed("refused".to_owned())),
            Self::Lost => {
                time::sleep(deadline).await;
                Err(lost())
            }
            Self::AnswerLost => {
                deliver();
                time::sleep(deadline).await;
                Err(lost())
            }
        }
    }
}

/// Links between an owner and one dispatcher, on which each message is encoded and decoded.
#[derive(Default)]
pub struct FakeLink {
    /// The owner's own link is filled.
    pub filled: AtomicBool,
    pub orders: Mutex<Delivery>,
    pub results: Mutex<Delivery>,
    pub batches: Mutex<Vec<DispatchBatch>>,
    /// Results that were lost on the way to the owner.
    pub lost: Mutex<Vec<ResultBatch>>,
    pub server: OnceLock<DispatchServer>,
    pub owner: OnceLock<DispatchedWorkers>,
}

impl DispatchLink for FakeLink {
    fn is_free(&self) -> bool {
        !self.filled.load(Ordering::Relaxed)
    }

    fn send(
        &self,
        _: SocketAddr,
        batch: DispatchBatch,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<Vec<OrderResult>, CallError>> {
        let text = serde_json::to_string(&batch).unwrap();
        self.batches.lock().unwrap().push(batch);
        let delivery = *self.orders.lock().unwrap();
        let deliver = move || {
            let results = self.server.get().unwrap().handle(serde_json::from_str(&text).unwrap());
            serde_json::from_str(&serde_json::to_string(&results).unwrap()).unwrap()
        };
        delivery.result(deadline, deliver).boxed()
    }

    fn send_results(
        &self,
        _: SocketAddr,
        batch: Arc<ResultBatch>,
        deadline: Duration,
    ) -> BoxFuture<'_, Result<(), CallError>> {
        let delivery = *self.results.lock().unwrap();
        if delivery == Delivery::Lost {
            self.lost.lock().unwrap().push(ResultBatch::clone(&batch));
        }
        let deliver = move || {
            let batch: ResultBatch =
                serde_json::from_str(&serde_json::to_string(&*batch).unwrap()).unwrap();
            self.owner.get().unwrap().receive(batch.session, batch.results);
        };
        delivery.result(deadline, deliver).boxed()
    }
}

/// An owner, its dispatchers, and their workers.
pub struct Fixture {
    pub link: Arc<FakeLink>,
    /// Calls of the owner itself.
    pub direct: Arc<FakeWorkers>,
    /// Calls of the dispatchers.
    pub dispatched: Arc<FakeWorkers>,
}

impl Fixture {
    /// Returns an owner whose workers are served by this many dispatchers, which get this answer of
    /// the workers.
    pub fn new(dispatchers: u16, answer: Option<Result<(), WorkerError>>) -> Self {
        let link = Arc::new(FakeLink::default());
        let direct = FakeWorkers::answering(Some(Ok(())));
        let dispatched = FakeWorkers::answering(answer);
        let server = DispatchServer::new(Arc::clone(&dispatched) as _, Arc::clone(&link) as _)
            .with_clock(tokio_clock());
        let _ = link.server.set(server);
        let owner = owner(Arc::clone(&direct), Arc::clone(&link) as _);
        let addresses: Vec<SocketAddr> = (0..dispatchers).map(address).collect();
        assign_to(&owner, &addresses);
        let _ = link.owner.set(owner);
        Self { link, direct, dispatched }
    }

    pub fn owner(&self) -> &DispatchedWorkers {
        self.link.owner.get().unwrap()
    }

    /// Starts a task on a worker.
    pub async fn start(&self, worker: u16) -> Result<WorkerTime, WorkerError> {
        self.owner().start(target(worker), start_order(u32::from(worker))).await
    }

    /// Returns how many workers dispatchers serve.
    pub fn served(&self) -> usize {
        assign_to(self.owner(), &[address(0), address(1)]);
        self.owner().status().iter().map(|status| status.workers).sum()
    }
}

pub fn owner(direct: Arc<FakeWorkers>, link: Arc<dyn DispatchLink>) -> DispatchedWorkers {
    DispatchedWorkers::new("a".parse().unwrap(), TOKEN, address(OWNER), direct as _, link)
        .with_clock(tokio_clock())
}

/// Assigns workers 0 to 7 to dispatchers at these addresses.
pub fn assign_to(owner: &DispatchedWorkers, addresses: &[SocketAddr]) {
    let workers: Vec<WorkerId> = (0..8).map(|number| target(number).id).collect();
    let candidate = |(number, address): (usize, &SocketAddr)| Candidate {
        dispatcher: Dispatcher {
            node: format!("node-{number}").parse().unwrap(),
            strength: Strength(800),
            owned: 0,
        },
        address: *address,
    };
    let candidates = addresses.iter().enumerate().map(candidate).collect();
    owner.assign(&workers, candidates, Some(Strength(800)));
}

pub fn target(number: u16) -> WorkerTarget {
    let id = format!("i-{number}").parse().unwrap();
    WorkerTarget { id, address: address(10_000 + number), token: TOKEN }
}

pub fn start_order(index: u32) -> StartOrder {
    StartOrder {
        task: TaskId { job: JobId(1), occurrence: 0, step: 0, index },
        run: RunNumber(3),
        payload: "payload".into(),
        deadline: WorkerTime(900),
        checkpoint: Some("half".to_owned()),
        ticket: None,
    }
}

pub fn hold_order(wait: Millis) -> HoldOrder {
    HoldOrder { deadline: Some(WorkerTime(900)), acknowledged: 2, wait }
}
