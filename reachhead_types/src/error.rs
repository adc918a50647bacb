//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every answer that the system itself makes takes its status, outcome and Retry-After from here;
//! docs/OUTCOMES.md explains the list to operators.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "reachhead-outcome";

/// The header that carries the name of the [`ErrorKind`] in an answer that the system made.
pub const KIND_HEADER: &str = "reachhead-error";

/// The header in which a minion says that it did not and will not run the request.
pub const REFUSED_HEADER: &str = "reachhead-refused";

/// The header that carries the milliseconds left to the caller's deadline.
pub const DEADLINE_HEADER: &str = "reachhead-deadline-ms";

/// The header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Whether the request ran, as far as the system can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A minion ran it and this is its answer.
    Ran,
    /// No minion ran it, and none will under this attempt.
    NotRun,
    /// It may have run; the system can't tell.
    Unknown,
}

impl Outcome {
    /// Returns the header value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The answer that belongs to an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// Seconds after which a retry makes sense; `None` where a retry can't help.
    pub retry_after: Option<u32>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal $status:literal $outcome:ident $retry:expr;)*) => {
        /// Every way in which the system itself answers a request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind),*];

            /// Returns the name that the answer carries in [`KIND_HEADER`].
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }

            /// Returns the answer that belongs to this kind.
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        status: $status,
                        outcome: Outcome::$outcome,
                        retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// No route matches the path.
    NoRoute "no-route" 404 NotRun None;
    /// The caller's key belongs to no customer, and the route is not open to all.
    UnknownKey "unknown-key" 401 NotRun None;
    /// The request can't be understood: framing, headers or key.
    Malformed "malformed" 400 NotRun None;
    /// The head is larger than the limit or has too many fields.
    HeadTooLarge "head-too-large" 431 NotRun None;
    /// The body is larger than the limit.
    BodyTooLarge "body-too-large" 413 NotRun None;
    /// The request did not arrive in time.
    TooSlow "too-slow" 408 NotRun None;
    /// The route needs an `Idempotency-Key` and there is none.
    KeyMissing "key-missing" 400 NotRun None;
    /// The key was used before with another request; that one stands, this one did not run.
    KeyReused "key-reused" 422 NotRun None;
    /// A request with this key is under way.
    KeyInProgress "key-in-progress" 409 Unknown Some(1);
    /// A request with this key was sent to a minion and its answer is lost; it is never run again.
    KeyOutcomeLost "key-outcome-lost" 409 Unknown None;
    /// A request with this key ran, and its answer was too large to be kept for a replay.
    AnswerNotKept "answer-not-kept" 409 Ran None;
    /// A request with this key is held by an entry host that can't be asked.
    OwnerUnreachable "owner-unreachable" 503 Unknown Some(5);
    /// The store can't be reached, so a request that must not be repeated was not started.
    StoreDown "store-down" 503 NotRun Some(5);
    /// The store's answer to a submission is lost: the job may be stored, and then it will run.
    SubmissionLost "submission-lost" 504 Unknown Some(1);
    /// The store can't be asked, so a submission was not stored and will never run.
    NotStored "not-stored" 503 NotRun Some(1);
    /// Nobody who knows the job can be reached now.
    JobUnreachable "job-unreachable" 503 Unknown Some(1);
    /// More requests wait than can be served; this one was not queued.
    Overloaded "overloaded" 503 NotRun Some(1);
    /// The deadline passed, or would have passed, before a minion was free.
    DeadlineInQueue "deadline-in-queue" 503 NotRun Some(1);
    /// No minion of the service is in force.
    NoMinion "no-minion" 503 NotRun Some(5);
    /// No connection to a minion could be made.
    ConnectFailed "connect-failed" 502 NotRun Some(1);
    /// Every minion that was tried refused the request by contract.
    MinionRefused "minion-refused" 503 NotRun Some(1);
    /// The connection broke after the request was handed to it.
    MinionBroke "minion-broke" 502 Unknown Some(1);
    /// The minion's answer can't be trusted to be whole.
    BadAnswer "bad-answer" 502 Unknown Some(1);
    /// The minion did not answer before the deadline.
    MinionTimeout "minion-timeout" 504 Unknown Some(1);
    /// This entry host is not ready: it has no configuration yet, or is shutting down.
    NotReady "not-ready" 503 NotRun Some(2);
}

impl Display for ErrorKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
