//! Decides when a process that follows the operators' table skips superseded versions of its rows.
//!
//! The platform's feed returns each version of a row. On a narrow link a version of a large configuration
//! takes more than a second, and while one arrives further ones are published: the process would read
//! versions that nobody uses any more long after the last change, and the takeovers and confirmations of
//! leases on the same link would wait. See [Large reads](../../docs/design/large-reads.md).

use reachhead_types::size::Millis;

/// Time from which an answer counts as slow. Calls that wait behind it begin to time out.
pub const SLOW_ARRIVAL: Millis = Millis(500);

/// Longest pause between two reads, below the time in which a version has to take effect.
const MAX_PAUSE: Millis = Millis(1000);

/// Returns whether the whole table is read after an answer that took `arrival`, in place of its changes: the
/// feed would return every version that was published meanwhile, in one answer. Where none was, the
/// same rows arrive once more.
pub fn skips_versions(arrival: Millis) -> bool {
    arrival >= SLOW_ARRIVAL
}

/// Returns the pause after an answer that took `arrival`, before the next one is requested: it leaves a
/// third of the link to other calls, if the answer took two seconds at most.
pub fn pause_after(arrival: Millis) -> Millis {
    Millis(arrival.0 / 2).min(MAX_PAUSE)
}
