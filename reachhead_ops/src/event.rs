//! Numbered events; docs/EVENTS.md is their catalogue, and a test holds the two equal.

use std::fmt::{Arguments, Display};

use log::{Level, log};

macro_rules! events {
    ($($(#[doc = $doc:literal])* $event:ident $number:literal $level:ident;)*) => {
        /// Everything that a process logs for operators.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $($(#[doc = $doc])* $event,)*
        }

        impl Event {
            /// All events in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$event),*];

            /// Returns the event's number; numbers are never used again for another event.
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

            /// Returns what the event means, as the catalogue has it.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(Self::$event => concat!($($doc),*),)*
                }
            }
        }
    };
}

events! {
    /// The process started and listens.
    Started 100 Info;
    /// A shutdown was asked for; the process is not ready any more.
    ShutdownBegun 101 Info;
    /// The process ends, everything in flight is finished.
    ShutdownDone 102 Info;
    /// The shutdown's limit passed with requests in flight.
    ShutdownCut 103 Warn;
    /// A listener could not accept a connection.
    AcceptFailed 110 Warn;
    /// A configuration version is in force in this process.
    ConfigInForce 200 Info;
    /// A configuration could not be used; the last one stays in force.
    ConfigRefused 201 Error;
    /// Versions are missing, so the whole configuration is fetched.
    ConfigGap 202 Info;
    /// A change was accepted.
    ChangeAccepted 210 Info;
    /// A change was refused.
    ChangeRefused 211 Info;
    /// A change's answer from the store was lost and looked up.
    ChangeLookedUp 212 Warn;
    /// The store does not answer.
    StoreLost 300 Warn;
    /// The store answers again.
    StoreBack 301 Info;
    /// Claims older than they are kept for were deleted.
    ClaimsCleaned 310 Info;
    /// The list of entry hosts changed.
    MembersChanged 400 Info;
    /// This host hears neither the store nor a peer.
    Cut 401 Error;
    /// This host hears the store or a peer again.
    CutOver 402 Info;
    /// This entry process does not hear its control, or hears it again.
    ControlLost 403 Warn;
    /// The row of an entry host stood still for so long that it is taken off the list.
    MemberGone 404 Warn;
    /// This host was taken off the list of entry hosts and comes back as a new stay.
    TakenOff 405 Warn;
    /// The platform's host list changed; these hosts are leaving.
    HostsLeaving 406 Info;
    /// A process entered or left the list of members, or was taken off it since it does not answer.
    MemberChanged 407 Info;
    /// A minion failed so often that it is left alone for a while.
    MinionEjected 500 Warn;
    /// A minion that was left alone is tried again.
    MinionRestored 501 Info;
    /// A minion said that it is going away.
    MinionLeaving 502 Info;
    /// This host is in charge of a pool from now on.
    LeaseTaken 600 Info;
    /// This host is not in charge of a pool any more.
    LeaseEnded 601 Info;
    /// This host hands a pool over to one that bears it better.
    PoolYielded 602 Info;
    /// Somebody else is in charge of a pool, and this process knows it from now on.
    OwnerKnown 603 Info;
    /// A host of a pool changed its phase.
    HostEntered 610 Info;
    /// A host changed its pool.
    HostMoved 611 Info;
    /// A job was accepted and is stored.
    JobAccepted 700 Info;
    /// A caller's request was refused or failed.
    CallRefused 701 Info;
    /// A job is over, and that is recorded.
    JobEnded 702 Info;
    /// A run of a task failed, was lost or was turned away.
    RunLost 703 Info;
    /// The owner of a pool stopped a run.
    RunStopped 704 Info;
    /// The owner of a pool took over a run that a predecessor had started.
    RunAdopted 705 Info;
    /// A worker does not answer, fails what it is given, or is over.
    WorkerDoubted 706 Warn;
    /// The owner of a pool told a caller that a job is cancelled.
    JobCancelled 707 Info;
    /// Tasks of a step were given to workers.
    StepPlaced 708 Info;
    /// Tasks wait since their customer's quota is used up in a pool: how many, what they need, what is left.
    QuotaReached 709 Info;
    /// A change of a pool's rows was not taken by the store.
    RecordFailed 710 Warn;
    /// A pool's owner does not answer its peers.
    OwnerSilent 711 Warn;
    /// A table of the platform is followed anew from its rows.
    TableRead 712 Info;
    /// A row of the platform can't be understood and is left out.
    RowRefused 713 Warn;
    /// A worker's life ended while runs were there: how many, and which of them had not begun to work.
    WorkerCrashed 714 Warn;
    /// A task is given up and its job fails, since workers crash under it.
    TaskGivenUp 715 Warn;
    /// A row that the store refuses for its size is set aside, so that what else is to be written goes on.
    RowHeld 716 Warn;
    /// A wave began, went on in other hands, or is completed.
    WaveChanged 720 Info;
    /// A host was ordered down for a wave, or the order was not taken.
    HostOrdered 721 Info;
    /// A host that is due for maintenance can't be taken yet.
    HostHeld 722 Info;
    /// What a pool has and needs of hosts has changed.
    RoomPlanned 723 Info;
    /// Operators drain a zone, or take that back; this process knows it from now on.
    ZoneDrained 724 Info;
    /// Lines of the log were left out, since there were too many.
    LinesDropped 730 Warn;
}

/// Logs `event` with `details`.
pub fn emit(event: Event, details: impl Display) {
    write(event, format_args!("{details}"));
}

fn write(event: Event, details: Arguments<'_>) {
    log!(target: "reachhead", event.level(), "E{} {event:?}: {details}", event.number());
}
