//! Loans of slots: the running requests of all hosts never exceed the limit of the minion.

use std::time::Duration;

use reachhead_path::loan::{LOAN_DURATION, LoanTable, SlotUsage};
use reachhead_property::properties;
use reachhead_types::{boot_instant::BootInstant, id::LoanId};

const GRACE: Duration = Duration::from_millis(500);

/// A host with its share of slots and the end times of its requests.
struct Host {
    table: LoanTable,
    share: u32,
    ends: Vec<BootInstant>,
}

impl Host {
    fn running(&self, now: BootInstant) -> u32 {
        self.ends.iter().filter(|&&end| end > now).count() as u32
    }

    fn try_start(&mut self, now: BootInstant, length: Duration) {
        if self.running(now) < self.table.limit(self.share, now) {
            self.ends.push(now + length);
        }
    }
}

properties! {
    /// Hosts start requests whenever they may and borrow slots from each other; answers are
    /// delayed, and no request takes longer than the grace period.
    fn the_sum_never_passes_the_limit(steps: Vec<(u8, u8, u16)>) -> bool {
        let start = BootInstant::now();
        let mut hosts: Vec<Host> = [3, 3, 2]
            .into_iter()
            .map(|share| Host { table: LoanTable::new(), share, ends: Vec::new() })
            .collect();
        let mut now = start;
        let mut next = 0;
        steps.into_iter().all(|(who, what, time)| {
            now += Duration::from_millis(u64::from(time) % 300);
            let host = usize::from(who) % 3;
            let other = (host + 1 + usize::from(who / 3) % 2) % 3;
            match what % 4 {
                0 | 1 => {
                    let length = Duration::from_millis(u64::from(time) % 500);
                    for _ in 0..4 {
                        hosts[host].try_start(now, length);
                    }
                }
                2 => {
                    next += 1;
                    let lender = &mut hosts[other];
                    let share = SlotUsage { slots: lender.share, running: lender.running(now) };
                    let lent = lender.table.lend(LoanId(next), share, 4, GRACE, now);
                    // The request took a while to arrive, and the answer is recorded later.
                    let requested = now - Duration::from_millis(50);
                    let later = now + Duration::from_millis(u64::from(time) % 200);
                    hosts[host].table.borrow(LoanId(next), lent, requested, later);
                }
                _ => now += LOAN_DURATION / 4,
            }
            let running: u32 = hosts.iter().map(|host| host.running(now)).sum();
            running <= 8
        })
    }
}

#[test]
fn a_loan_ends_when_returned_or_after_its_duration_and_the_grace_period() {
    let now = BootInstant::now();
    let mut lender = LoanTable::new();
    let share = SlotUsage { slots: 8, running: 2 };
    assert_eq!(lender.lend(LoanId(1), share, 10, GRACE, now), 3);
    assert_eq!(lender.limit(8, now), 5);
    lender.end_loan(LoanId(1));
    assert_eq!(lender.limit(8, now), 8);
    assert_eq!(lender.lend(LoanId(2), share, 1, GRACE, now), 1);
    let end = now + LOAN_DURATION + GRACE;
    assert_eq!(lender.limit(8, end - Duration::from_millis(1)), 7);
    assert_eq!(lender.limit(8, end), 8);
    let mut borrower = LoanTable::new();
    borrower.borrow(LoanId(2), 1, now, now);
    assert_eq!(borrower.limit(2, now), 3);
    assert_eq!(borrower.limit(2, now + LOAN_DURATION), 2);
}
