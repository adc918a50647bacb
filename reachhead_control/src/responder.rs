//! Answers link requests from this host's entry process, from peers and from operators' tools.

use std::{sync::Arc, time::Duration};

use reachhead_link::{
    message::{ControlReply, ControlRequest, FollowReply, GossipReply, ListStamp, StatusReply},
    server::Responder,
};
use reachhead_types::{
    size::{Millis, Revision, Version},
    snapshot::Delta,
};

use crate::view::View;

/// Answers link requests from this host's [`View`].
pub struct ControlResponder {
    view: Arc<View>,
}

impl ControlResponder {
    /// Returns a responder over `view`.
    pub fn new(view: Arc<View>) -> Self {
        Self { view }
    }

    fn answer_follow(&self, have: Version, hosts: Revision) -> ControlReply {
        self.view.set_entry_version(have);
        ControlReply::Follow(Box::new(FollowReply {
            delta: self.view.delta_since(have),
            leaving: self.view.leaving_since(hosts),
            members: self.view.members(),
            own: self.view.own_member(),
            notice: round_up_millis(self.view.propagation_timeout()),
            age: self.view.list_age().map(round_up_millis),
        }))
    }

    fn answer_gossip(
        &self,
        have: Version,
        delta: Option<&Delta>,
        list: ListStamp,
        hosts: Revision,
    ) -> ControlReply {
        if let Some(delta) = delta {
            // On a gap this host's own gossip and store reads fetch the missing versions.
            let _ = self.view.apply_delta(delta);
        }
        ControlReply::Gossip(Box::new(GossipReply {
            delta: self.view.delta_since(have),
            list: self.view.members_since(list),
            leaving: self.view.leaving_since(hosts),
            is_cut_off: self.view.is_store_lost(),
            age: self.view.list_age().map(round_up_millis),
        }))
    }

    fn answer_status(&self) -> ControlReply {
        ControlReply::Status(StatusReply {
            host: self.view.host().clone(),
            version: self.view.version(),
            entry: self.view.entry_version(),
        })
    }
}

impl Responder<ControlRequest, ControlReply> for ControlResponder {
    fn respond(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Follow { have, hosts } => self.answer_follow(have, hosts),
            ControlRequest::Gossip { have, delta, list, hosts } => {
                self.answer_gossip(have, delta.as_ref(), list, hosts)
            }
            ControlRequest::Status => self.answer_status(),
        }
    }
}

/// Converts `duration` to milliseconds, rounded up so that nothing looks newer than it is.
fn round_up_millis(duration: Duration) -> Millis {
    Millis(duration.as_millis() as u64 + 1)
}
