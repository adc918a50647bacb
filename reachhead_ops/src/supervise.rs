//! Supervision of long-lived tasks. A task that panics ends alone, and the process would go on
//! without the work that the task did: it would claim duties that nothing fulfils, or decide by
//! state that nothing updates.

use std::{
    any::Any,
    panic::{self, PanicHookInfo},
    str::EscapeDebug,
    thread,
};

use thiserror::Error;
use tokio::{
    task::{JoinHandle, JoinSet},
    task_local,
};

use crate::event::{Event, emit};

task_local! {
    /// The name of the task that is running.
    static TASK: String;
}

/// A task ended that should have gone on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("task \"{task}\" failed: {cause}")]
pub struct TaskFailure {
    task: String,
    cause: String,
}

/// Logs each panic with its location and the name of the task, in addition to the message on
/// standard error.
pub fn log_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        default_hook(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let task = TASK.try_with(Clone::clone);
    let task = task.unwrap_or_else(|_| thread.name().unwrap_or("unnamed").to_owned());
    let location = info.location().map(ToString::to_string).unwrap_or_default();
    emit(
        Event::TaskFailed,
        format_args!("task=\"{task}\" location={location} panic=\"{}\"", message(info.payload())),
    );
}

/// Returns the message of a panic, without line breaks, since the log has one line an event.
fn message(payload: &(dyn Any + Send)) -> EscapeDebug<'_> {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
    text.unwrap_or("no message").escape_debug()
}

/// Spawns a task with a name for the log.
pub fn spawn<T: Send + 'static>(
    name: impl Into<String>,
    work: impl Future<Output = T> + Send + 'static,
) -> JoinHandle<T> {
    tokio::spawn(TASK.scope(name.into(), work))
}

/// Runs `work` as a task of its own and returns its result.
///
/// # Errors
///
/// [`TaskFailure`] if it panicked.
pub async fn run<T: Send + 'static>(
    name: impl Into<String>,
    work: impl Future<Output = T> + Send + 'static,
) -> Result<T, TaskFailure> {
    let task = name.into();
    spawn(task.clone(), work).await.map_err(|error| {
        let cause = match error.try_into_panic() {
            Ok(payload) => message(&*payload).to_string(),
            Err(error) => error.to_string(),
        };
        TaskFailure { task, cause }
    })
}

/// Tasks that a process needs for as long as it runs. It can't go on without any of them, since
/// a restart is the only way back to a state that is known to be complete.
#[derive(Debug, Default)]
pub struct RequiredTasks {
    /// Each returns its name when it ends without a panic.
    tasks: JoinSet<Result<String, TaskFailure>>,
}

impl RequiredTasks {
    /// Returns a set without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spawns a task.
    pub fn spawn(
        &mut self,
        name: impl Into<String>,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let task = name.into();
        self.tasks.spawn(async move {
            run(task.clone(), work).await?;
            Ok(task)
        });
    }

    /// Waits until a task ends, by a panic or not, and logs it.
    pub async fn failure(&mut self) -> TaskFailure {
        let failure = match self.next().await {
            Some(Ok(task)) => TaskFailure { task, cause: "it has ended".to_owned() },
            Some(Err(failure)) => failure,
            None => std::future::pending().await,
        };
        emit(Event::TaskFailed, &failure);
        failure
    }

    /// Waits until all tasks have ended, after they were told to.
    ///
    /// # Errors
    ///
    /// The [`TaskFailure`] of the first one that panicked.
    pub async fn finish(&mut self) -> Result<(), TaskFailure> {
        let mut result = Ok(());
        while let Some(ended) = self.next().await {
            result = result.and(ended.map(drop));
        }
        result
    }

    /// Returns the outcome of the next task that ends.
    async fn next(&mut self) -> Option<Result<String, TaskFailure>> {
        let ended = self.tasks.join_next().await?;
        Some(ended.unwrap_or_else(|error| {
            Err(TaskFailure { task: "unknown".to_owned(), cause: error.to_string() })
        }))
    }
}
