//! Interfaces to the platform, as traits: one file for each port.

mod advice;
mod caller;
mod feed;
mod hosts;
mod operators;
mod worker;

pub use self::{
    advice::{Advisor, Approval},
    caller::{Admission, Answer, Call, CallKind, Frontend},
    feed::{Change, FeedError, FeedPage, TableFeed},
    hosts::{HostApi, HostOrderError, PlatformHost, PlatformHostState},
    operators::{OperatorRow, RowError, RowFormat},
    worker::{
        EndedEntry, HoldOrder, MAX_REPORTED_ENDS, Rejection, RunEnd, RunningEntry, StartOrder,
        UNLISTED_END, WorkerAgent, WorkerError, WorkerInfo, WorkerReport, WorkerTarget,
    },
};
