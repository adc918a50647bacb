//! Numbered log events. docs/EVENTS.md lists them, and a test keeps both equal.

use std::fmt::{Arguments, Display};

use log::{Level, log};

macro_rules! events {
    ($($(#[doc = $doc:literal])* $event:ident $number:literal $level:ident;)*) => {
        /// A log event for operators.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])* $event,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$event),*];

            /// Returns the event's number; numbers are never reused for another event.
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$event => $number,)*
                }
            }

            /// Returns the event's level.
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$event => Level::$level,)*
                }
            }

            /// Returns the event's meaning, as listed in docs/EVENTS.md.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$event => concat!($($doc),*),)*
                }
            }
        }
    };
}

events! {
    /// The process has started and is listening.
    Started 100 Info;
    /// A shutdown was requested; the process is no longer ready.
    ShutdownBegun 101 Info;
    /// The process exits; all work in flight has completed.
    ShutdownDone 102 Info;
    /// The shutdown timed out with requests in flight.
    ShutdownCut 103 Warn;
    /// A listener could not accept a connection.
    AcceptFailed 110 Warn;
    /// Requests were refused or connections closed by the limits of their listener, with the latest cause; at most one line a second for each group of listeners.
    ConnectionRefused 111 Warn;
    /// A configuration version is in force in this process.
    ConfigInForce 200 Info;
    /// A configuration was rejected; the previous one stays in force.
    ConfigRefused 201 Error;
    /// Configuration versions are missing, so the whole configuration is fetched.
    ConfigGap 202 Info;
    /// A configuration change was accepted.
    ChangeAccepted 210 Info;
    /// A configuration change was rejected.
    ChangeRefused 211 Info;
    /// The store's reply to a configuration change was lost, and the outcome was looked up.
    ChangeLookedUp 212 Warn;
    /// The store does not answer.
    StoreLost 300 Warn;
    /// The store answers again.
    StoreBack 301 Info;
    /// Claims past their retention time were deleted.
    ClaimsCleaned 310 Info;
    /// The membership list of the entry hosts changed.
    MembersChanged 400 Info;
    /// This host is partitioned from the store and from all peers.
    Cut 401 Error;
    /// This host reaches the store or a peer again.
    CutOver 402 Info;
    /// This entry process lost contact with its control process, or regained it.
    ControlLost 403 Warn;
    /// The heartbeat of an entry host timed out; the host is removed from the membership list.
    MemberGone 404 Warn;
    /// This host was removed from the membership list of the entry hosts and rejoins as a new incarnation.
    TakenOff 405 Warn;
    /// The platform's host list changed; these hosts are leaving.
    HostsLeaving 406 Info;
    /// A process joined or left the membership list, or was removed from it because it does not answer.
    MemberChanged 407 Info;
    /// A minion was ejected for a while after repeated failures.
    MinionEjected 500 Warn;
    /// An ejected minion is tried again.
    MinionRestored 501 Info;
    /// A minion announced that it is shutting down.
    MinionLeaving 502 Info;
    /// This host became the owner of a pool: the owner before, how long the takeover took, for how long orders of earlier owners may have effect, and which of them may go on (`open`).
    LeaseTaken 600 Info;
    /// This host is no longer the owner of a pool: whether it gave the pool back, and how long that took since the request, or its lease was lost, or it failed.
    LeaseEnded 601 Info;
    /// This process handed a pool over to one with more capacity.
    PoolYielded 602 Info;
    /// This process learned that another process owns a pool.
    OwnerKnown 603 Info;
    /// The takeover of a pool has not ended for long: its age, what it has read, how long the roster's reads
    /// waited for their turn on the link (`queued`), the takeovers that the process has under way, and the
    /// last error.
    TakeoverSlow 604 Warn;
    /// A task of this process panicked, or ended although the process needs it: which, where and why.
    TaskFailed 605 Error;
    /// The next owner of a pool began to renew what runs on its workers, before it has read the stored
    /// jobs: how many workers it knows of, for how long it has had the lease, the takeovers that the
    /// process has under way, and how long the roster's reads waited for their turn on the link
    /// (`queued`).
    RenewalBegan 606 Info;
    /// The next owner of a pool has fenced all its shards, so that earlier owners record nothing any more: for how long it had had the lease.
    PoolFenced 607 Info;
    /// A host of a pool entered another phase.
    HostEntered 610 Info;
    /// A host moved to another pool.
    HostMoved 611 Info;
    /// The platform's list of hosts shows that a worker has ended, or an owner of its pool was notified of that: which worker, and when it started.
    WorkerEnded 612 Info;
    /// A job was accepted and stored.
    JobAccepted 700 Info;
    /// A caller's request was rejected or failed.
    CallRefused 701 Info;
    /// A job ended, and its end is recorded.
    JobEnded 702 Info;
    /// A run of a task failed, was lost or was rejected by its worker.
    RunLost 703 Info;
    /// The owner of a pool stopped a run.
    RunStopped 704 Info;
    /// The owner of a pool adopted a run that a previous owner had started.
    RunAdopted 705 Info;
    /// A worker does not answer, fails its runs, or has died.
    WorkerDoubted 706 Warn;
    /// The owner of a pool confirmed to a caller that a job is cancelled.
    JobCancelled 707 Info;
    /// Tasks of a step were placed on workers.
    StepPlaced 708 Info;
    /// Tasks wait because their customer's quota in a pool is used up: how many, what they need, what is left.
    QuotaReached 709 Info;
    /// The store did not accept a write to a pool's rows.
    RecordFailed 710 Warn;
    /// A pool's owner does not answer its peers, does not claim the pool or is cut off from the store: why, and the evidence.
    OwnerSilent 711 Warn;
    /// A table of the platform was read in full, and its change feed is followed from there.
    TableRead 712 Info;
    /// A row of the platform can't be parsed and is skipped.
    RowRefused 713 Warn;
    /// A worker's incarnation ended with runs on it: how many, and which of them had not started to work.
    WorkerCrashed 714 Warn;
    /// A task is given up and its job fails because workers crash while running it.
    TaskGivenUp 715 Warn;
    /// A row that the store rejects for its size is set aside so that other writes go on.
    RowHeld 716 Warn;
    /// The owner of a pool began or ended to have other processes send its orders: the demand, its own capacity, and which processes.
    DispatchChanged 717 Info;
    /// A process that sends orders for the owner of a pool is excluded for a while: why, and how many orders it had.
    DispatcherExcluded 718 Warn;
    /// Long-running tasks of a step have had no run for a while: how many, for how long, why, what keeps each worker from taking them, the predecessors' workers that have not answered, and the earlier owners that may go on.
    TaskUnplaced 719 Warn;
    /// A maintenance wave started, continued under another owner, or completed.
    WaveChanged 720 Info;
    /// A host was ordered down for a maintenance wave or into another pool, or the order was not accepted.
    HostOrdered 721 Info;
    /// A host that is due for maintenance can't be taken down yet.
    HostHeld 722 Info;
    /// The hosts that a pool has or needs have changed.
    RoomPlanned 723 Info;
    /// This process learned that operators drain an availability zone or have cancelled the drain.
    ZoneDrained 724 Info;
    /// Start orders of a pool wait for the link or the processor of its owner: how many, the time that the link takes for them, the mean round trip, and the traffic since the last such line (kind of call=calls/bytes sent/bytes received).
    StartsLimited 725 Info;
    /// Workers of a pool die for a cause that is not what they run, so that these deaths are no evidence against a task: how many workers are left.
    WorkerOutage 726 Warn;
    /// The operators' rows took long to arrive: which read they answer, for how long, and how many of the
    /// versions of the configuration in the answer a later one replaces (`superseded`).
    ConfigReadSlow 727 Info;
    /// Log lines were dropped because there were too many.
    LinesDropped 730 Warn;
    /// This process was late itself: its check of the pools ran long after it was due.
    ProcessDelayed 731 Info;
    /// A call to the service that approves placements failed, is overdue or was rejected, so calls pause: why, the calls without an
    /// answer, and for how long.
    AdviceDelayed 732 Warn;
}

/// Logs `event` with `details`.
pub fn emit(event: Event, details: impl Display) {
    write(event, format_args!("{details}"));
}

fn write(event: Event, details: Arguments<'_>) {
    log!(target: "reachhead", event.level(), "E{} {event:?}: {details}", event.number());
}
