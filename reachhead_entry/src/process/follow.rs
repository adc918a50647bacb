//! Follows the control of this host, on a thread of its own: configuration, members, shares.

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

/// Longest wait for the control's answer; it is on the same host.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Updates that may wait for the path thread; the newest says all, so few are enough.
const RING_SIZE: usize = 4;

/// Times that the longest time to notice a list counts in the hold; docs/LIMITS.md says why two.
const NOTICES: u32 = 2;

/// How many requests this host may run at each minion.
pub type Limits = BTreeMap<ServiceName, BTreeMap<MinionId, u32>>;

/// The path thread's end of the ring.
pub type Updates = mpsc::Receiver<Update>;

/// What the follow thread learned.
pub struct Update {
    /// A new version, if there is one.
    pub fleet: Option<Arc<Fleet>>,
    /// The leaving hosts, if the platform's list is a newer one.
    pub leaving: Option<LeavingHosts>,
    /// New limits, if they changed.
    pub limits: Option<Limits>,
    /// Where the entry processes of the other hosts answer.
    pub peers: Vec<SocketAddr>,
    /// The longest time for which a request may run on a slot.
    pub longest: Duration,
    /// Until when this view counts as fresh; `None` if the control's list was never confirmed.
    pub fresh_until: Option<BootInstant>,
}

struct Follower {
    client: LinkClient<ControlRequest, ControlReply>,
    control: SocketAddr,
    snapshot: ConfigSnapshot,
    fleet: Arc<Fleet>,
    shares: ShareHistory,
    hosts_revision: Revision,
    is_lost: bool,
}

/// Starts the follow thread.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start(settings: &EntrySettings) -> io::Result<Updates> {
    let (updates, ring) = mpsc::channel(RING_SIZE);
    let period = Duration::from_millis(settings.link.period.get());
    let follower = Follower {
        client: LinkClient::new(ASK_TIME),
        control: settings.link.control,
        snapshot: ConfigSnapshot::new(),
        fleet: Arc::default(),
        shares: ShareHistory::new(),
        hosts_revision: Revision(0),
        is_lost: false,
    };
    thread::Builder::new()
        .name("follow".to_owned())
        .spawn(move || follower.run(&updates, period))?;
    Ok(ring)
}

impl Follower {
    fn run(mut self, updates: &mpsc::Sender<Update>, period: Duration) {
        loop {
            if let Some(update) = self.ask()
                && updates.blocking_send(update).is_err()
            {
                return;
            }
            thread::sleep(period);
        }
    }

    fn ask(&mut self) -> Option<Update> {
        // Freshness counts from before the question: the answer may be as old as that.
        let asked = BootInstant::now();
        let question =
            ControlRequest::Follow { have: self.snapshot.version(), hosts: self.hosts_revision };
        let reply = match self.client.request(self.control, &question) {
            Ok(ControlReply::Follow(reply)) => Some(reply),
            _ => None,
        };
        if self.is_lost != reply.is_none() {
            self.is_lost = reply.is_none();
            let what = if self.is_lost { "no answer" } else { "answers again" };
            emit(Event::ControlLost, format_args!("{}: {what}", self.control));
        }
        reply.map(|reply| self.learn(*reply, asked))
    }

    fn learn(&mut self, reply: FollowReply, asked: BootInstant) -> Update {
        let fleet = self.apply(&reply);
        let own_host = reply.own.as_ref().map(|own| own.host.clone());
        let others = reply.members.iter().filter(|member| Some(&member.host) != own_host.as_ref());
        // A host that is off the list can be asked by nobody, so it must not run on loans either.
        let peers = match own_host {
            Some(_) => others.map(|member| member.entry).collect(),
            None => Vec::new(),
        };
        let hosts = reply.members.iter().map(Member::id).collect();
        let now = BootInstant::now();
        let is_new_list = self.shares.record_list(hosts, reply.own, now);
        let is_expired = self.shares.expire_lists(self.hold(reply.notice), now);
        let is_changed = fleet.is_some() || is_new_list || is_expired;
        if let Some(leaving) = &reply.leaving {
            self.hosts_revision = leaving.revision;
        }
        Update {
            fleet,
            leaving: reply.leaving,
            limits: is_changed.then(|| self.limits()),
            peers,
            longest: self.longest(),
            // By then every host that takes over a slot counts on this one having noticed.
            fresh_until: reply.age.map(|age| asked + reply.notice.duration() - age.duration()),
        }
    }

    fn apply(&mut self, reply: &FollowReply) -> Option<Arc<Fleet>> {
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

    /// How long a slot that was gained stays unused: until the one that lost it has noticed, also if
    /// this host's own list was replaced meanwhile, and until the last request there is over.
    fn hold(&self, notice: Millis) -> Duration {
        NOTICES * notice.duration() + self.longest()
    }

    /// The longest time for which a request may run on a slot: its deadline, and as long again that
    /// is left to a minion which is late.
    fn longest(&self) -> Duration {
        let deadlines = self.fleet.routes.values().map(|route| {
            let group = self.fleet.tree.get(&route.group);
            let inherited = group.map(|group| group.effective.deadline);
            route.deadline.or(inherited).unwrap_or_default()
        });
        2 * deadlines.max().unwrap_or_default().duration()
    }

    fn limits(&self) -> Limits {
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
