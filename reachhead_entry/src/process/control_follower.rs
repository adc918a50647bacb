//! Polls the control process of this host for configuration, membership and slot limits, on a
//! separate thread.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, thread, time::Duration};

use reachhead_config::entry::EntrySettings;
use reachhead_link::{
    client::LinkClient,
    message::{ControlReply, ControlRequest, FollowReply},
};
use reachhead_ops::event::{Event, emit};
use reachhead_path::share::ShareHistory;
use reachhead_types::{
    boot_instant::BootInstant,
    fleet::Fleet,
    hosts::LeavingHosts,
    id::{MinionId, ServiceName},
    member::Member,
    size::{Millis, Revision},
    snapshot::ConfigSnapshot,
};
use tokio::sync::mpsc;

/// Time limit for the control process to answer; it is on the same host.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of updates that may wait for the path thread. A few suffice, since a later poll returns
/// the latest state.
const CHANNEL_CAPACITY: usize = 4;

/// How often the notice period of a list is counted in the delay of gained slots; docs/LIMITS.md
/// explains why twice.
const NOTICE_FACTOR: u32 = 2;

/// The number of requests that this host may run at once on each minion.
pub type SlotLimits = BTreeMap<ServiceName, BTreeMap<MinionId, u32>>;

/// Receives the updates on the path thread.
pub type ControlUpdates = mpsc::Receiver<ControlUpdate>;

/// The result of one poll of the control process.
pub struct ControlUpdate {
    /// The new configuration, if its version changed.
    pub fleet: Option<Arc<Fleet>>,
    /// The leaving hosts, if the platform's host list has a newer revision.
    pub leaving_hosts: Option<LeavingHosts>,
    /// The slot limits, if they may have changed.
    pub slot_limits: Option<SlotLimits>,
    /// The addresses of the entry processes on the other member hosts.
    pub peers: Vec<SocketAddr>,
    /// The longest time that a request may occupy a slot.
    pub max_request_time: Duration,
    /// Until when this view is fresh; `None` if the control process never confirmed its list.
    pub fresh_until: Option<BootInstant>,
}

struct ControlFollower {
    client: LinkClient<ControlRequest, ControlReply>,
    control: SocketAddr,
    snapshot: ConfigSnapshot,
    fleet: Arc<Fleet>,
    shares: ShareHistory,
    hosts_revision: Revision,
    is_unreachable: bool,
}

/// Starts the `follow` thread.
///
/// # Errors
///
/// Fails if the operating system can't start a thread.
pub fn start(settings: &EntrySettings) -> io::Result<ControlUpdates> {
    let (updates, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let period = Duration::from_millis(settings.link.period.get());
    let follower = ControlFollower {
        client: LinkClient::new(CONTROL_TIMEOUT),
        control: settings.link.control,
        snapshot: ConfigSnapshot::new(),
        fleet: Arc::default(),
        shares: ShareHistory::new(),
        hosts_revision: Revision(0),
        is_unreachable: false,
    };
    thread::Builder::new()
        .name("follow".to_owned())
        .spawn(move || follower.run(&updates, period))?;
    Ok(receiver)
}

impl ControlFollower {
    fn run(mut self, updates: &mpsc::Sender<ControlUpdate>, period: Duration) {
        loop {
            if let Some(update) = self.poll_control()
                && updates.blocking_send(update).is_err()
            {
                return;
            }
            thread::sleep(period);
        }
    }

    fn poll_control(&mut self) -> Option<ControlUpdate> {
        // Freshness counts from before the request, since the reply may be as old as that.
        let requested_at = BootInstant::now();
        let request =
            ControlRequest::Follow { have: self.snapshot.version(), hosts: self.hosts_revision };
        let reply = match self.client.request(self.control, &request) {
            Ok(ControlReply::Follow(reply)) => Some(reply),
            _ => None,
        };
        if self.is_unreachable != reply.is_none() {
            self.is_unreachable = reply.is_none();
            let status = if self.is_unreachable { "no answer" } else { "answers again" };
            emit(Event::ControlLost, format_args!("{}: {status}", self.control));
        }
        reply.map(|reply| self.process_reply(*reply, requested_at))
    }

    fn process_reply(&mut self, reply: FollowReply, requested_at: BootInstant) -> ControlUpdate {
        let fleet = self.apply_delta(&reply);
        let own_host = reply.own.as_ref().map(|own| own.host.clone());
        let others = reply.members.iter().filter(|member| Some(&member.host) != own_host.as_ref());
        // No other host can query a host that is not a member, so it must not use borrowed slots.
        let peers = match own_host {
            Some(_) => others.map(|member| member.entry).collect(),
            None => Vec::new(),
        };
        let hosts = reply.members.iter().map(Member::id).collect();
        let now = BootInstant::now();
        let is_list_changed = self.shares.record_list(hosts, reply.own, now);
        let is_expired = self.shares.expire_lists(self.gained_slot_delay(reply.notice), now);
        let is_changed = fleet.is_some() || is_list_changed || is_expired;
        if let Some(leaving) = &reply.leaving {
            self.hosts_revision = leaving.revision;
        }
        ControlUpdate {
            fleet,
            leaving_hosts: reply.leaving,
            slot_limits: is_changed.then(|| self.slot_limits()),
            peers,
            max_request_time: self.max_request_time(),
            // By then, hosts that gained slots rely on this host having noticed the new list.
            fresh_until: reply
                .age
                .map(|age| requested_at + reply.notice.duration() - age.duration()),
        }
    }

    fn apply_delta(&mut self, reply: &FollowReply) -> Option<Arc<Fleet>> {
        let delta = reply.delta.as_ref()?;
        match self.snapshot.apply(delta) {
            Ok(true) => {}
            Ok(false) => return None,
            Err(gap) => {
                emit(Event::ConfigGap, gap);
                return None;
            }
        }
        match Fleet::from_rows(self.snapshot.version(), self.snapshot.rows()) {
            Ok(fleet) => {
                self.fleet = Arc::new(fleet);
                Some(Arc::clone(&self.fleet))
            }
            Err(faults) => {
                let version = self.snapshot.version();
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                emit(Event::ConfigRefused, format_args!("version {version}: {first}"));
                None
            }
        }
    }

    /// Returns how long a gained slot stays unused.
    ///
    /// By then the host that lost it has noticed the new list, even if the list of this host was
    /// replaced again meanwhile, and its last request on the slot has ended.
    fn gained_slot_delay(&self, notice: Millis) -> Duration {
        NOTICE_FACTOR * notice.duration() + self.max_request_time()
    }

    /// Returns the longest time that a request may occupy a slot: its deadline, and as long again
    /// for a minion that responds late.
    fn max_request_time(&self) -> Duration {
        let deadlines = self.fleet.routes.values().map(|route| {
            let group = self.fleet.tree.get(&route.group);
            let inherited = group.map(|group| group.effective.deadline);
            route.deadline.or(inherited).unwrap_or_default()
        });
        2 * deadlines.max().unwrap_or_default().duration()
    }

    fn slot_limits(&self) -> SlotLimits {
        let services = self.fleet.services.iter().map(|(name, service)| {
            let minions = service.minions.iter().map(|(id, row)| {
                let minion = format!("{name}/{id}");
                (id.clone(), self.shares.usable_slots(&minion, row.slots.0))
            });
            (name.clone(), minions.collect())
        });
        services.collect()
    }
}
