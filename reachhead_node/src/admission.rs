//! Who is let in: from a call's path and key to its queue and customer, or to a refusal.
//!
//! Load: callers with keys that were just added or taken away, on every process, while the store may serve the others and
//! turn this one away; and callers that try keys. A call is let in by the configuration as followed, which is at most a
//! second old. What that refuses is looked at once more in the store, or at a peer that reaches it, since a key or a route
//! may be new; all that wait share one look, so whoever tries many keys costs the store no more than one.

use std::{sync::Arc, time::Duration};

use futures::future::{BoxFuture, FutureExt, select_ok};
use reachhead_jobs::{
    clock::Tick,
    model::Configuration,
    ports::{Admission, FeedError, FeedPage},
};
use reachhead_ops::event::{Event, emit};
use reachhead_store::StoreError;
use reachhead_types::{
    error::ErrorKind,
    size::{Millis, Revision},
    token::KeyDigest,
};
use tokio::{sync::Mutex, time};

use crate::{
    follow::{Follower, Operators},
    node::Node,
    peer::{PeerReply, PeerRequest},
    relay,
};

/// Age above which the configuration is looked at before a call is decided by it, at least. The followed table
/// is confirmed every second, so this is only reached when its connection fails.
const CONFIG_AGE: Millis = Millis(1400);

/// The part of the time in which a configuration has to be in force that may pass before that.
const AGE_PERCENT: u64 = 45;

/// Longest wait for a look at the configuration, at the store and again at a peer.
const LOOK_TIME: Duration = Duration::from_millis(300);

/// How long a look that failed is believed to fail again. Callers of an outage are not held up, each for a look of its own.
const FAILED_TIME: Millis = Millis(3000);

/// How long after a look that failed the next one is made, without anybody waiting for it.
const RETRY_TIME: Millis = Millis(800);

/// Least time from one look to the next: five a second tell a caller of a new key soon enough, and are next to nothing for
/// the store, whatever is tried here.
const LOOK_SPACING: Millis = Millis(200);

/// How often an owner looks whether it is behind what operators wrote.
const CURRENT_PERIOD: Duration = Duration::from_millis(400);

/// How lately a peer must have been heard, and the store have answered it, to be asked for the configuration.
const PEER_TIME: Millis = Millis(1500);

/// The last look at what operators wrote.
#[derive(Debug, Clone, Default)]
struct Look {
    begun: Tick,
    failed: Option<String>,
}

/// Lets calls in.
#[derive(Debug, Default)]
pub struct Door {
    last: Mutex<Look>,
}

impl Door {
    /// Returns a door that has looked at nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the queue and the customer of a call.
    ///
    /// # Errors
    ///
    /// `NoRoute` or `UnknownKey` if the newest configuration says so, `NotReady` if this process can't know.
    pub async fn admit(
        &self,
        node: &Arc<Node>,
        host: &str,
        path: &str,
        key: Option<&KeyDigest>,
    ) -> Result<Admission, ErrorKind> {
        let find = || match &node.view().config {
            Some(config) => find(config, host, path, key),
            None => Err(ErrorKind::NotReady),
        };
        let now = node.now();
        let age = now.since(node.view().config_seen);
        let known = find();
        if age <= config_age(node) && known.is_ok() {
            return known;
        }
        let Some(error) = self.look(node).await else {
            return find().inspect_err(|refused| {
                let version = node.view().config.as_ref().map(|config| config.version);
                emit(
                    Event::CallRefused,
                    format_args!(
                        "path={path} kind={refused} key={key:?} configuration={version:?}"
                    ),
                );
            });
        };
        // Nobody can say what operators wrote since. Without the store a submission can't be stored anyhow, and a state
        // that an old route leads to is true.
        if let Ok(admission) = find() {
            log::info!("path={path} let in by a configuration of {age} ms ago: {error}");
            return Ok(admission);
        }
        let refused = ErrorKind::NotReady;
        emit(
            Event::CallRefused,
            format_args!("path={path} kind={refused} configuration_age={age}ms: {error}"),
        );
        Err(refused)
    }

    /// Takes in what operators have written before now; returns why that failed. Calls that come while a look is under way
    /// share the next one.
    async fn look(&self, node: &Arc<Node>) -> Option<String> {
        let arrived = node.now();
        let mut last = self.last.lock().await;
        let passed = node.now().since(last.begun);
        let fails = last.failed.is_some() && passed < FAILED_TIME;
        if fails && passed >= RETRY_TIME {
            // Callers during it share what came of the last one.
            last.begun = node.now();
            tokio::spawn(Self::retry(Arc::clone(node)));
        }
        if last.begun >= arrived || fails {
            return last.failed.clone();
        }
        time::sleep(Millis(LOOK_SPACING.0.saturating_sub(passed.0)).duration()).await;
        last.begun = node.now();
        last.failed = refresh(node).await.err();
        last.failed.clone()
    }

    /// Looks once more after a look that failed.
    async fn retry(node: Arc<Node>) {
        let begun = node.now();
        let failed = refresh(&node).await.err();
        let mut last = node.door.last.lock().await;
        if last.begun <= begun || failed.is_none() {
            *last = Look { begun, failed };
        }
    }
}

/// Returns the age above which the configuration is looked at before anything is decided by it.
pub fn config_age(node: &Node) -> Millis {
    Millis(node.settings.apply.0 * AGE_PERCENT / 100).max(CONFIG_AGE)
}

/// Keeps an owner of pools from being behind what operators wrote, for as long as the process lives: where the store turns it
/// away a peer is asked, since it starts nothing by knowledge that is too old.
pub async fn keep_current(node: Arc<Node>) {
    loop {
        time::sleep(CURRENT_PERIOD).await;
        let age = node.now().since(node.view().config_seen);
        if age > config_age(&node)
            && !node.owned().is_empty()
            && let Some(error) = node.door.look(&node).await
        {
            log::info!("what operators wrote is known as of {age} ms ago: {error}");
        }
    }
}

/// Returns the queue and the customer of a call as a configuration has them.
fn find(
    config: &Configuration,
    host: &str,
    path: &str,
    key: Option<&KeyDigest>,
) -> Result<Admission, ErrorKind> {
    let queue = config.route(host, path).ok_or(ErrorKind::NoRoute)?;
    let customer = key.and_then(|key| config.customers.customer_of_key(key));
    if customer.is_none() && !queue.allows_anonymous {
        return Err(ErrorKind::UnknownKey);
    }
    Ok(Admission { queue: Arc::clone(queue), customer: customer.cloned() })
}

/// Takes in what operators have written since the table was last seen, by the store's word or, where that turns this
/// process away, by a peer's: a key that was taken away must not live on here.
async fn refresh(node: &Arc<Node>) -> Result<(), String> {
    let operators = Operators(Arc::clone(node));
    let known = node.view().config_revision;
    if let Some(told) = relay::glance(node, operators.table(), known).await {
        operators.apply(&told.page.changes);
        operators.seen(told.at, told.page.revision);
        return Ok(());
    }
    let sent = node.now();
    // A process that was paused finds its calls failed though the store is well, so the store is always asked.
    let store = within(ask_store(node, &operators));
    let page = if node.view().store_failing {
        let peer = within(ask_peer(node));
        let both: [BoxFuture<'_, Result<FeedPage, String>>; 2] = [store.boxed(), peer.boxed()];
        select_ok(both).await?.0
    } else {
        match store.await {
            Ok(page) => page,
            Err(error) => {
                within(ask_peer(node)).await.map_err(|peer| format!("{error}, {peer}"))?
            }
        }
    };
    operators.apply(&page.changes);
    operators.seen(sent, page.revision);
    Ok(())
}

async fn within<T>(call: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    match time::timeout(LOOK_TIME, call).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    }
}

/// Asks the feed for changes: a configuration can be large and the link of a host small, so it is not read anew for each
/// call that asks for an unknown route.
async fn ask_store(node: &Node, operators: &Operators) -> Result<FeedPage, String> {
    let known = node.view().config_revision;
    let page = operator_changes(node, operators.table(), known).await;
    node.note_store(&page);
    page.map_err(|error| error.to_string())
}

/// Returns what operators have written after `revision`, or all of it if the store has forgotten that.
pub async fn operator_changes(
    node: &Node,
    table: &'static str,
    revision: Revision,
) -> Result<FeedPage, StoreError> {
    match node.services.feed.changes(table, revision, Millis(0)).await {
        Ok(page) => Ok(page),
        Err(FeedError::Forgotten) => node.services.feed.table(table).await,
        Err(FeedError::Store(error)) => Err(error),
    }
}

async fn ask_peer(node: &Node) -> Result<FeedPage, String> {
    let peer = node.view().sighted_peer(node.now(), PEER_TIME, PEER_TIME);
    let peer = peer.ok_or("no peer reaches it")?;
    let request = PeerRequest::Operators(node.view().config_revision);
    match node.peers.ask(peer, &request, LOOK_TIME).await {
        Ok(PeerReply::Operators(Some(page))) => Ok(page),
        Ok(_) => Err(format!("peer={peer} can't say")),
        Err(error) => Err(format!("peer={peer} {error}")),
    }
}
