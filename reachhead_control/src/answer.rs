//! Answers the entry process of this host, peers, and operators' tools.

use std::{sync::Arc, time::Duration};

use reachhead_config::control::FollowSettings;
use reachhead_link::{
    message::{ControlReply, ControlRequest, FollowReply, StatusReply},
    server::Responder,
};
use reachhead_types::{
    book::Delta,
    size::{Millis, Version},
};

use crate::view::View;

/// A host is cut off once neither store nor peer was heard for this many of its periods.
const CUT_PERIODS: u32 = 6;

/// Periods in which every host has noticed a change of the members: it may have read just before.
const NOTICE_PERIODS: u64 = 2;

/// Answers questions from this host's view.
pub struct ControlResponder {
    view: Arc<View>,
    settings: FollowSettings,
}

impl ControlResponder {
    /// Returns a responder over `view`.
    pub fn new(view: Arc<View>, settings: FollowSettings) -> Self {
        Self { view, settings }
    }

    fn period(&self) -> Duration {
        let hosts = self.view.members().len().max(1) as u64;
        Duration::from_millis(self.settings.members.get() * hosts)
    }

    fn follow(&self, have: Version) -> ControlReply {
        self.view.note_entry(have);
        let notice = NOTICE_PERIODS * self.period().as_millis() as u64;
        ControlReply::Follow(Box::new(FollowReply {
            delta: self.view.since(have),
            members: self.view.members(),
            notice: Millis(notice),
            connected: self.view.is_connected(self.cut_term()),
        }))
    }

    /// Returns how long a host goes on without hearing the store or a peer.
    pub fn cut_term(&self) -> Duration {
        self.period() * CUT_PERIODS
    }

    fn gossip(&self, have: Version, delta: Option<&Delta>, wants_members: bool) -> ControlReply {
        self.view.note_peer();
        if let Some(delta) = delta {
            // A gap is filled by this host's own rounds, which fetch the whole of it.
            let _ = self.view.apply(delta);
        }
        let members = if wants_members { self.view.members() } else { Vec::new() };
        ControlReply::Gossip { have: self.view.version(), delta: self.view.since(have), members }
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
            ControlRequest::Follow { have } => self.follow(have),
            ControlRequest::Gossip { have, delta, wants_members, .. } => {
                self.gossip(have, delta.as_ref(), wants_members)
            }
            ControlRequest::Status => self.status(),
        }
    }
}
