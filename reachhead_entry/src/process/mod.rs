//! What lives as long as the process: its threads and what they share.
//!
//! One thread for each duty, joined by bounded rings:
//!
//! - `path` (the main thread): callers, queues, minions. Everything that a request touches lives
//!   here without a lock.
//! - `follow`: asks the control of this host for what is new.
//! - `claims`: writes claims to the store in batches.
//! - `asks`: asks other entry hosts about their claims and for loans of slots.
//! - `link`: answers other entry hosts.
//! - `ops`: answers operators.

pub mod asks;
pub mod claims;
pub mod core;
mod follow;
mod link;
pub mod loans;
pub mod metrics;
pub mod minion;
mod observed;
pub mod service;

use std::{io, rc::Rc, sync::Arc};

use log::debug;
use prometheus_client::registry::Registry;
use reachhead_config::entry::EntrySettings;
use reachhead_link::server::{self, LinkError};
use reachhead_ops::{
    event::{Event, emit},
    listener, runtime,
};
use reachhead_types::id::Incarnation;
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
    time,
};

use crate::{
    connection::accept,
    process::{
        core::Core, follow::Updates, link::Question, metrics::Metrics, observed::EntryObserved,
    },
};

/// Length of each ring between threads, where settings don't say.
const RING_SIZE: usize = 64;

/// Runs the entry process until a shutdown is asked for.
pub fn run(settings: EntrySettings) -> Result<(), LinkError> {
    let mut registry = Registry::default();
    let metrics = Metrics::new(&mut registry);
    let incarnation = Incarnation(rand::random());
    let (questions, asked) = mpsc::channel(RING_SIZE);
    let (ready, observed) = EntryObserved::new(questions.clone());
    listener::start(settings.ops.address, Arc::new(observed), registry)?;
    server::serve(settings.link.ask, link::EntryResponder::new(questions))?;
    let updates = follow::start(&settings)?;
    let claims = claims::start(&settings)?;
    let asks = asks::start(&settings)?;

    let runtime = runtime::current_thread()?;
    let core = Core::new(settings, incarnation, metrics, claims, asks, ready);
    LocalSet::new().block_on(&runtime, path(core, updates, asked))?;
    Ok(())
}

/// The path thread: its event loop hands each thing that happens on to its module.
async fn path(
    core: Rc<Core>,
    mut updates: Updates,
    mut asked: mpsc::Receiver<Question>,
) -> io::Result<()> {
    let address = core.settings.callers.address;
    let listener = reachhead_ops::http::listen(address).await?;
    emit(Event::Started, format_args!("entry of {} on {address}", core.settings.host));
    let (stop, stopped) = watch::channel(false);
    let accepting = tokio::task::spawn_local(accept::run(Rc::clone(&core), listener, stopped));
    let shutdown = shut_down(&core, &stop);
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            Some(update) = updates.recv() => core.take_update(update),
            Some(question) = asked.recv() => question.answer(&core),
            result = &mut shutdown => {
                result?;
                break;
            }
        }
    }
    finish(&core, accepting, &mut updates, &mut asked).await;
    Ok(())
}

/// Waits for the signal, is not ready for the balancer's lag, then stops accepting.
async fn shut_down(core: &Core, stop: &watch::Sender<bool>) -> io::Result<()> {
    runtime::shutdown_signal().await?;
    emit(Event::ShutdownBegun, "not ready from now on");
    core.begin_shutdown();
    time::sleep(core.settings.shutdown.lag.duration()).await;
    stop.send_replace(true);
    Ok(())
}

/// Finishes what is in flight; configuration and questions still count until then.
async fn finish(
    core: &Core,
    accepting: tokio::task::JoinHandle<()>,
    updates: &mut Updates,
    asked: &mut mpsc::Receiver<Question>,
) {
    let limit = time::sleep(core.settings.shutdown.limit.duration());
    tokio::pin!(limit, accepting);
    loop {
        tokio::select! {
            ended = &mut accepting => {
                if let Err(error) = ended {
                    debug!("accepting ended: {error}");
                }
                break;
            }
            () = &mut limit => {
                emit(Event::ShutdownCut, "requests were still in flight");
                return;
            }
            Some(update) = updates.recv() => core.take_update(update),
            Some(question) = asked.recv() => question.answer(core),
        }
    }
    core.claims.flush().await;
    emit(Event::ShutdownDone, "entry");
}
