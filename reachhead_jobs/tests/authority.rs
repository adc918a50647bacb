//! Tests of leases for orders to a platform that does not check fencing tokens.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::time::Duration;

use reachhead_jobs::{
    authority::{LeaseConfirmation, ORDER_WINDOW, PreviousHolder},
    clock::{Tick, with_drift},
    record::LeaseRecord,
};
use reachhead_property::check;
use reachhead_types::{
    boot_instant::BootInstant,
    size::{FencingToken, Millis, Revision},
};

const TOKEN: FencingToken = FencingToken(16);

fn lease(owner: Option<&str>) -> LeaseRecord {
    LeaseRecord {
        owner: owner.map(|name| name.parse().unwrap()),
        address: None,
        term: 3,
        settled: false,
        unsettled_for: None,
        abandoned: 0,
        knows_storer: false,
        silent: None,
        earlier: None,
    }
}

/// Lease duration, within which only one of two alternating holders may give orders.
const LEASE_DURATION: Millis = Millis(3000);

/// Returns a previous holder whose lease this process found at its start.
fn found(record: &LeaseRecord) -> PreviousHolder<'_> {
    PreviousHolder {
        record,
        since: Tick(10_000),
        observed: false,
        is_self: false,
        disclaimed_at: None,
    }
}

fn overlap(previous: PreviousHolder<'_>) -> Millis {
    previous.takeover_wait(Tick(50_000), LEASE_DURATION, false)
}

#[test]
fn orders_need_a_confirmation_with_the_own_token() {
    let asked = BootInstant::now();
    let mut confirmation = LeaseConfirmation::default();
    assert_eq!(confirmation.until(asked), None);
    assert!(confirmation.record(asked, Some(Revision(16)), TOKEN));
    assert_eq!(confirmation.until(asked), Some(asked + ORDER_WINDOW.duration()));
    assert!(!confirmation.record(asked, Some(Revision(502)), TOKEN));
    assert_eq!(confirmation.until(asked), None);
    assert!(!confirmation.record(asked, None, TOKEN));
}

#[test]
fn a_paused_holder_must_confirm_its_lease_again() {
    let asked = BootInstant::now();
    let mut confirmation = LeaseConfirmation::default();
    confirmation.record(asked, Some(Revision(16)), TOKEN);
    assert_eq!(confirmation.until(asked + Duration::from_secs(3)), None);
}

#[test]
fn a_successor_waits_unless_the_holder_has_certainly_ended() {
    let (held, returned) = (lease(Some("n")), lease(None));
    let whole = with_drift(ORDER_WINDOW);
    let denied = |at| PreviousHolder { disclaimed_at: Some(Tick(at)), ..found(&held) };
    assert_eq!(overlap(found(&held)), whole);
    assert_eq!(overlap(found(&returned)), Millis(0), "the holder released the lease");
    assert_eq!(
        overlap(denied(15_000)),
        Millis(0),
        "the holder denies holding the lease long after it took it"
    );
    assert_eq!(overlap(denied(10_040)), whole, "the holder may not have started its work yet");
    assert_eq!(
        overlap(PreviousHolder { is_self: true, ..found(&held) }),
        Millis(0),
        "the holder was this process before a restart"
    );
    assert_eq!(
        found(&held).takeover_wait(Tick(50_000), LEASE_DURATION, true),
        Millis(0),
        "the platform checks tokens"
    );
}

/// After a power loss of all processes, the fleet owner must not delay moves of hosts for which jobs
/// wait.
#[test]
fn a_restarted_process_does_not_wait_for_a_lease_of_unknown_age() {
    let held = lease(Some("n"));
    let soon = Tick(10_300);
    assert_eq!(found(&held).takeover_wait(soon, LEASE_DURATION, true), Millis(0));
    let observed = PreviousHolder { observed: true, ..found(&held) };
    assert_eq!(
        observed.takeover_wait(soon, LEASE_DURATION, true),
        Millis(2700),
        "holders must not alternate within one lease duration"
    );
}

/// A holder that asks the store at any time and a successor whose lease is stored at any time. The
/// store answers in order, so the holder's last confirmation precedes the successor's lease.
#[test]
fn no_order_of_a_holder_leaves_after_the_first_one_of_its_successor() {
    fn holds((asked, travel, taken, answer): (u16, u8, u16, u8)) -> bool {
        let start = BootInstant::now();
        let at = |millis: u64| start + Duration::from_millis(millis);
        let (asked, taken) = (u64::from(asked), u64::from(taken));
        let read = asked + u64::from(travel);
        if read > taken {
            return true;
        }
        let mut confirmation = LeaseConfirmation::default();
        confirmation.record(at(asked), Some(Revision(16)), TOKEN);
        let begins = taken + u64::from(answer) + overlap(found(&lease(Some("n")))).0;
        (asked..asked + 3000).all(|now| {
            let until = confirmation.until(at(now)).filter(|until| *until > at(now));
            until.is_none_or(|until| until <= at(begins))
        })
    }
    check("authority", 200, holds as fn((u16, u8, u16, u8)) -> bool);
}

/// Guards against two runs of a task during a roll-out: an owner of an earlier release may start jobs of its successors, until
/// it has given the pool back with nothing open.
#[test]
fn successors_of_an_earlier_release_do_not_count_on_it() {
    let of_earlier_release = lease(Some("a"));
    assert!(!of_earlier_release.successor_knows_storer());
    let released = LeaseRecord { settled: false, ..lease(None) };
    assert!(!released.successor_knows_storer());
    let settled = LeaseRecord { settled: true, ..lease(None) };
    assert!(settled.successor_knows_storer());
    assert!(!of_earlier_release.abandoned(Millis(0), None).successor_knows_storer());
}
