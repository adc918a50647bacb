//! Answers the calls of customers: any process takes any call, and asks the owner of the queue's
//! pool.

use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
    time::Duration,
};

use futures::future::{BoxFuture, FutureExt};
use reachhead_jobs::{
    backoff,
    model::{CallLimits, Queue},
    pool::{JobState, StateReply, is_foreign},
    ports::{Admission, Answer, Call, CallKind, Frontend},
    progress::ProgressRecord,
    record::{FinalRecord, JobRecord, final_key, job_key, progress_key},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::StoreError;
use reachhead_types::{
    error::ErrorKind,
    id::{CustomerName, JobId, PoolName},
    size::Millis,
    token::KeyDigest,
};
use tokio::time::{self, Instant};

use crate::{
    admission::admit_now,
    node::Node,
    owner::CancelReply,
    owner_call::{OwnerError, call_pool_owner},
    peer::{AcceptedJob, PeerReply, PoolRequest},
};

/// Pause between attempts to reach an owner.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Part of a caller's time that is left unused, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Maximum age of the last contact with the store for the process to be ready.
const MAX_STORE_AGE: Millis = Millis(3000);

/// The calls to the owner of a pool that were made for one call of a customer, for the log.
#[derive(Debug, Default)]
struct OwnerCalls {
    attempts: u32,
    last_failure: Option<OwnerError>,
}

impl Display for OwnerCalls {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "attempts={} owner_answer=", self.attempts)?;
        match &self.last_failure {
            Some(failure) => write!(f, "\"{failure}\""),
            None => f.write_str("-"),
        }
    }
}

/// The frontend of the process.
pub struct NodeFrontend(pub Arc<Node>);

impl NodeFrontend {
    async fn state(
        &self,
        pool: &PoolName,
        id: JobId,
        requester: Option<CustomerName>,
        calls: &mut OwnerCalls,
    ) -> Answer {
        match self.call_owner(pool, PoolRequest::State(id, requester.clone()), calls).await {
            Some(PeerReply::State(StateReply::Known(state))) => return Answer::State(state),
            Some(PeerReply::State(StateReply::Foreign)) => return Answer::Gone,
            _ => {}
        }
        match self.stored_state(pool, id, requester.as_ref()).await {
            Ok(StateReply::Known(state)) => Answer::State(state),
            Ok(StateReply::Unknown | StateReply::Foreign) => Answer::Gone,
            Err(error) => {
                log::info!("job={id} neither the owner nor the store can be reached: {error}");
                Answer::Refused(ErrorKind::JobUnreachable)
            }
        }
    }

    /// Reads a job's state from the store.
    async fn stored_state(
        &self,
        pool: &PoolName,
        id: JobId,
        requester: Option<&CustomerName>,
    ) -> Result<StateReply, StoreError> {
        // The job's row is read before the final one, which replaces it in one transaction.
        let keys = vec![job_key(pool, id), final_key(pool, id), progress_key(pool, id)];
        let rows = self.0.services.store.read(keys).await;
        self.0.record_store_result(&rows);
        let mut rows = rows?.into_iter();
        let mut next = || rows.next().flatten();
        let (job, ended, progress) = (next(), next(), next());
        if let Some(row) = ended {
            let record = row.parse::<FinalRecord>()?;
            let state = JobState::Over(record.ending);
            return Ok(visible_state(state, record.customer.as_ref(), requester));
        }
        let Some(row) = job else {
            return Ok(StateReply::Unknown);
        };
        let progress = progress.map(|row| row.parse::<ProgressRecord>()).transpose()?;
        let has_run = progress.is_some_and(|progress| progress.has_ended_runs());
        let state = if has_run { JobState::Running } else { JobState::Queued };
        Ok(visible_state(state, row.parse::<JobRecord>()?.customer.as_ref(), requester))
    }

    async fn cancel(
        &self,
        pool: &PoolName,
        id: JobId,
        requester: Option<CustomerName>,
        until: Instant,
        calls: &mut OwnerCalls,
    ) -> Answer {
        loop {
            match self.call_owner(pool, PoolRequest::Cancel(id, requester.clone()), calls).await {
                Some(PeerReply::Cancel(CancelReply::Ended)) => return Answer::Cancelled,
                Some(PeerReply::Cancel(CancelReply::Foreign)) => return Answer::Gone,
                Some(PeerReply::Cancel(CancelReply::Unknown)) => {
                    calls.last_failure = Some(OwnerError::UnknownJob);
                    let stored = self.submit_stored_job(pool, id, requester.as_ref(), calls).await;
                    if let Some(answer) = stored {
                        return answer;
                    }
                }
                _ => {}
            }
            if Instant::now() + OWNER_RETRY_PAUSE >= until {
                return Answer::Refused(ErrorKind::JobUnreachable);
            }
            time::sleep(OWNER_RETRY_PAUSE).await;
        }
    }

    /// Submits a stored job to its owner, which does not know it; returns an answer if the job has
    /// ended or does not exist.
    async fn submit_stored_job(
        &self,
        pool: &PoolName,
        id: JobId,
        requester: Option<&CustomerName>,
        calls: &mut OwnerCalls,
    ) -> Option<Answer> {
        let keys = vec![job_key(pool, id), final_key(pool, id)];
        let rows = self.0.services.store.read(keys).await;
        self.0.record_store_result(&rows);
        match rows {
            Ok(rows) => {
                let mut rows = rows.into_iter();
                let job = rows.next().flatten();
                if let Some(row) = rows.next().flatten() {
                    let record = row.parse::<FinalRecord>().ok();
                    let foreign = record
                        .is_some_and(|record| is_foreign(record.customer.as_ref(), requester));
                    return Some(if foreign { Answer::Gone } else { Answer::Cancelled });
                }
                let Some(row) = job else {
                    return Some(Answer::Gone);
                };
                match row.parse::<JobRecord>() {
                    Ok(record) => {
                        let job = AcceptedJob { id, record, row: row.revision };
                        self.call_owner(pool, PoolRequest::Submit(vec![job]), calls).await;
                    }
                    Err(error) => emit(Event::RowRefused, error),
                }
                None
            }
            Err(error) => {
                log::info!("job={id} the store can't be read: {error}");
                None
            }
        }
    }

    /// Asks the owner of a queue's pool until it answers or the caller's time is over. Only the
    /// owner knows which jobs have started; reading all stored jobs instead would load the store by
    /// callers times jobs, most of all when owners are lost.
    async fn waiting(&self, queue: &Queue, until: Instant, calls: &mut OwnerCalls) -> Answer {
        loop {
            let request = PoolRequest::Waiting(queue.name.clone());
            let reply = self.call_owner(&queue.pool, request, calls).await;
            if let Some(PeerReply::Waiting(count)) = reply {
                return Answer::Waiting(count);
            }
            if Instant::now() + OWNER_RETRY_PAUSE >= until {
                return Answer::Refused(ErrorKind::JobUnreachable);
            }
            time::sleep(OWNER_RETRY_PAUSE).await;
        }
    }

    /// Returns the state that a refusal is based on, for the log.
    fn refusal_context(&self, pool: &PoolName) -> String {
        let now = self.0.now();
        let view = self.0.view();
        let owner = view.owner(pool).map(|(owner, _)| owner);
        let status = owner.as_ref().and_then(|owner| view.peers.get(owner));
        let lease = view.leases.get(pool);
        format!(
            "store_age={}ms store_failing={} owner={} owner_heard={:?} owner_claim={:?} \
             owner_store_age={:?} token={:?} token_age={:?} leases_age={}ms {}",
            now.since(view.store_answers.last()),
            view.store_failing,
            owner.as_ref().map_or("-", |owner| owner.as_str()),
            status.map(|status| now.since(status.at).0),
            status.and_then(|status| status.pong.owned.get(pool)).map(|token| token.0),
            status.map(|status| status.pong.store_age),
            lease.map(|lease| lease.revision.0),
            lease.map(|lease| now.since(lease.since).0),
            now.since(view.leases_current_at),
            view.config_state(now)
        )
    }

    async fn call_owner(
        &self,
        pool: &PoolName,
        request: PoolRequest,
        calls: &mut OwnerCalls,
    ) -> Option<PeerReply> {
        calls.attempts += 1;
        let reply = call_pool_owner(&self.0, pool, request).await;
        reply.map_err(|failure| calls.last_failure = Some(failure)).ok()
    }

    async fn answer(&self, call: Call, calls: &mut OwnerCalls) -> Answer {
        let Admission { queue, customer } = call.admission;
        let pool = queue.pool.clone();
        let until = Instant::from_std(call.until) - ANSWER_MARGIN;
        match call.kind {
            CallKind::Submit(id, plan) => {
                let accepted = self.0.clock.wall();
                let record = JobRecord { queue, plan, accepted, customer, stored_by: None };
                self.0.submitter.submit(&self.0, id, record, until, false).await
            }
            CallKind::State(id) => self.state(&pool, id, customer, calls).await,
            CallKind::Cancel(id) => self.cancel(&pool, id, customer, until, calls).await,
            CallKind::Waiting => self.waiting(&queue, until, calls).await,
        }
    }
}

/// Returns the job's state if `requester` may see it.
fn visible_state(
    state: JobState,
    customer: Option<&CustomerName>,
    requester: Option<&CustomerName>,
) -> StateReply {
    if is_foreign(customer, requester) { StateReply::Foreign } else { StateReply::Known(state) }
}

fn call_name(kind: &CallKind) -> &'static str {
    match kind {
        CallKind::Submit(..) => "submit",
        CallKind::State(_) => "state",
        CallKind::Cancel(_) => "cancel",
        CallKind::Waiting => "waiting",
    }
}

impl Frontend for NodeFrontend {
    fn admit<'a>(
        &'a self,
        host: &'a str,
        path: &'a str,
        key: Option<&'a KeyDigest>,
    ) -> BoxFuture<'a, Result<Admission, ErrorKind>> {
        self.0.admission.admit(&self.0, host, path, key).boxed()
    }

    fn admit_now(
        &self,
        host: &str,
        path: &str,
        key: Option<&KeyDigest>,
    ) -> Result<Admission, ErrorKind> {
        admit_now(&self.0, host, path, key).inspect_err(|refused| {
            let config = self.0.view().config_state(self.0.now());
            emit(
                Event::CallRefused,
                format_args!("path={path} kind={refused} changed while the call waited: {config}"),
            );
        })
    }

    fn call(&self, call: Call) -> BoxFuture<'_, Answer> {
        async move {
            let started = Instant::now();
            let name = call_name(&call.kind);
            let queue = &call.admission.queue;
            let (queue, pool) = (queue.name.clone(), queue.pool.clone());
            let id = match &call.kind {
                CallKind::Submit(id, _) | CallKind::State(id) | CallKind::Cancel(id) => Some(*id),
                CallKind::Waiting => None,
            };
            let mut calls = OwnerCalls::default();
            let answer = self.answer(call, &mut calls).await;
            if let Answer::Refused(kind) = &answer {
                let job = id.map(|id| id.to_string()).unwrap_or_default();
                let ms = started.elapsed().as_millis();
                emit(
                    Event::CallRefused,
                    format_args!(
                        "job={job} call={name} queue={queue} kind={kind} after={ms}ms {calls} {}",
                        self.refusal_context(&pool)
                    ),
                );
            }
            self.0.metrics.answer(name, &answer, started.elapsed().as_secs_f64());
            answer
        }
        .boxed()
    }

    fn retry_after(&self, kind: ErrorKind) -> Option<u32> {
        let base = kind.answer().retry_after?;
        Some(backoff::retry_after(base, self.0.store_outage().unwrap_or_default()))
    }

    fn limits(&self) -> Option<CallLimits> {
        self.0.view().config.as_ref().map(|config| config.limits)
    }

    fn is_ready(&self) -> bool {
        let view = self.0.view();
        let store_reachable = self.0.now().since(view.store_answers.last()) <= MAX_STORE_AGE;
        // Without a member it could serve no caller once the store rejects it.
        let has_members = !view.members.is_empty();
        view.config.is_some() && store_reachable && has_members && !self.0.is_stopping()
    }
}

#[cfg(test)]
#[path = "frontend_tests.rs"]
mod tests;
