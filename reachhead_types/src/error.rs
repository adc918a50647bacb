//! The error kinds of requests and the table that maps each kind to an answer.
//!
//! Every answer that the system itself generates takes its status, outcome and Retry-After from
//! this table; docs/OUTCOMES.md explains it to operators.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "reachhead-outcome";

/// The header that carries the name of the [`ErrorKind`] in an answer that the system generated.
pub const KIND_HEADER: &str = "reachhead-error";

/// The header by which a minion declares that it did not and will not run the request.
pub const REFUSED_HEADER: &str = "reachhead-refused";

/// The header that carries the milliseconds left to the caller's deadline.
pub const DEADLINE_HEADER: &str = "reachhead-deadline-ms";

/// The header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Whether a request ran, as far as the system knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A minion ran the request, and this is its answer.
    Ran,
    /// No minion ran the request, and none will run it for this attempt.
    NotRun,
    /// The request may have run.
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

/// The answer to a request that failed with an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Value of Retry-After in seconds; `None` if a retry can't succeed.
    pub retry_after: Option<u32>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $name:literal $status:literal $outcome:ident $retry:expr;)*) => {
        /// The kinds of errors with which the system itself answers a request.
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

            /// Returns the answer for this kind.
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
    /// The caller's API key belongs to no customer, and the route requires one.
    UnknownKey "unknown-key" 401 NotRun None;
    /// The request is malformed: framing, headers or idempotency key.
    Malformed "malformed" 400 NotRun None;
    /// The request head is larger than the limit or has too many fields.
    HeadTooLarge "head-too-large" 431 NotRun None;
    /// The request body is larger than the limit.
    BodyTooLarge "body-too-large" 413 NotRun None;
    /// The request did not arrive in time.
    TooSlow "too-slow" 408 NotRun None;
    /// The route requires an `Idempotency-Key`, and the request has none.
    KeyMissing "key-missing" 400 NotRun None;
    /// The key was used before with another request, which is not affected; this one did not run.
    KeyReused "key-reused" 422 NotRun None;
    /// A request with this key is in progress.
    KeyInProgress "key-in-progress" 409 Unknown Some(1);
    /// A request with this key was sent to a minion and its answer is lost; it is not run again.
    KeyOutcomeLost "key-outcome-lost" 409 Unknown None;
    /// A request with this key ran, but its answer was too large to be kept for a replay.
    AnswerNotKept "answer-not-kept" 409 Ran None;
    /// The claim on this key is held by an entry host that can't be reached.
    OwnerUnreachable "owner-unreachable" 503 Unknown Some(5);
    /// The store can't be reached, so a request that may run at most once was not started.
    StoreDown "store-down" 503 NotRun Some(5);
    /// The store's answer to a submission is lost: the job may be stored, and then it will run.
    SubmissionLost "submission-lost" 504 Unknown Some(1);
    /// The store can't be reached, so a submission was not stored and will never run.
    NotStored "not-stored" 503 NotRun Some(1);
    /// No process that knows the job can be reached.
    JobUnreachable "job-unreachable" 503 Unknown Some(1);
    /// More requests are queued than can be served in time; this one was not queued.
    Overloaded "overloaded" 503 NotRun Some(1);
    /// The deadline passed, or would have passed, before a minion was free.
    DeadlineInQueue "deadline-in-queue" 503 NotRun Some(1);
    /// The service has no minion on which this entry host may run requests.
    NoMinion "no-minion" 503 NotRun Some(5);
    /// No connection to a minion could be made.
    ConnectFailed "connect-failed" 502 NotRun Some(1);
    /// Every minion that was tried refused the request by [`REFUSED_HEADER`].
    MinionRefused "minion-refused" 503 NotRun Some(1);
    /// The connection broke after the request was sent on it.
    MinionBroke "minion-broke" 502 Unknown Some(1);
    /// The minion's answer may be incomplete.
    BadAnswer "bad-answer" 502 Unknown Some(1);
    /// The minion did not answer before the deadline.
    MinionTimeout "minion-timeout" 504 Unknown Some(1);
    /// This entry host has no configuration yet, has a stale view of configuration and membership,
    /// or is shutting down.
    NotReady "not-ready" 503 NotRun Some(2);
}

impl Display for ErrorKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
