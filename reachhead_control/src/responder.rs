//! Answers the entry process of this host, peers, and operators' tools.

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

/// Answers questions from this host's view.
pub struct ControlResponder {
    view: Arc<View>,
}

impl ControlResponder {
    /// Returns a responder over `view`.
    pub fn new(view: Arc<View>) -> Self {
        Self { view }
    }

    fn follow(&self, have: Version, hosts: Revision) -> ControlReply {
        self.view.note_entry(have);
        ControlReply::Follow(Box::new(FollowReply {
            delta: self.view.since(have),
            leaving: self.view.leaving_since(hosts),
            members: self.view.members(),
            own: self.view.own_member(),
            notice: millis(self.view.notice()),
            age: self.view.list_age().map(millis),
        }))
    }

    fn gossip(
        &self,
        have: Version,
        delta: Option<&Delta>,
        list: ListStamp,
        hosts: Revision,
    ) -> ControlReply {
        if let Some(delta) = delta {
            // A gap is filled by this host's own rounds, which fetch the whole of it.
            let _ = self.view.apply(delta);
        }
        ControlReply::Gossip(Box::new(GossipReply {
            delta: self.view.since(have),
            list: self.view.members_since(list),
            leaving: self.view.leaving_since(hosts),
            is_blind: self.view.is_blind(),
            age: self.view.list_age().map(millis),
        }))
    }

    fn status(&self) -> ControlReply {
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
            ControlRequest::Follow { have, hosts } => self.follow(have, hosts),
            ControlRequest::Gossip { have, delta, list, hosts } => {
                self.gossip(have, delta.as_ref(), list, hosts)
            }
            ControlRequest::Status => self.status(),
        }
    }
}

/// Ages are rounded up, so that nothing looks newer than it is.
fn millis(duration: Duration) -> Millis {
    Millis(duration.as_millis() as u64 + 1)
}
