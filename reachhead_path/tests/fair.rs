//! The fair queue, compared with a naive implementation, and the shares that it gives.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

use std::{collections::BTreeMap, time::Duration};

use quickcheck::TestResult;
use reachhead_path::fair::{FairQueue, QueueError, QueueItem, QueueRequest};
use reachhead_property::properties;
use reachhead_types::{boot_instant::BootInstant, fleet::Class, id::GroupName, size::Weight};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Item {
    number: usize,
    is_wanted: bool,
}

impl QueueItem for Item {
    fn is_wanted(&self) -> bool {
        self.is_wanted
    }
}

fn group(number: u8) -> GroupName {
    format!("g{number}").parse().unwrap()
}

fn request(number: u8, class: usize, deadline: BootInstant) -> QueueRequest {
    QueueRequest { group: group(number), class: Class::ALL[class % 3], deadline }
}

const COST: Duration = Duration::from_millis(5);

/// The naive implementation: all entries in one list, which is searched for each request.
#[derive(Default)]
struct NaiveQueue {
    entries: Vec<(GroupName, Class, usize)>,
    times: BTreeMap<GroupName, f64>,
    time: f64,
}

impl NaiveQueue {
    fn push(&mut self, group: GroupName, class: Class, number: usize) {
        if !self.entries.iter().any(|entry| entry.0 == group) {
            let time = self.times.entry(group.clone()).or_default();
            *time = time.max(self.time);
        }
        self.entries.push((group, class, number));
    }

    fn pop(&mut self) -> Option<usize> {
        let mut groups: Vec<&GroupName> = self.entries.iter().map(|entry| &entry.0).collect();
        groups.sort();
        let group =
            groups.into_iter().min_by(|a, b| self.times[*a].total_cmp(&self.times[*b]))?.clone();
        let index = (0..self.entries.len())
            .filter(|&index| self.entries[index].0 == group)
            .min_by_key(|&index| (self.entries[index].1, index))?;
        self.time = self.time.max(self.times[&group]);
        *self.times.get_mut(&group).unwrap() += COST.as_secs_f64();
        Some(self.entries.remove(index).2)
    }
}

properties! {
    fn turns_are_those_of_the_naive_queue(steps: Vec<Option<(u8, u8)>>) -> bool {
        let now = BootInstant::now();
        let deadline = now + Duration::from_secs(3600);
        let mut queue = FairQueue::new();
        let mut naive = NaiveQueue::default();
        steps.into_iter().enumerate().all(|(number, step)| match step {
            Some((owner, class)) => {
                let request = request(owner % 4, class as usize, deadline);
                naive.push(request.group.clone(), request.class, number);
                queue.push(&request, Item { number, is_wanted: true }, 1, now) == Ok(())
            }
            None => queue.pop(now).next.map(|dequeued| dequeued.item.number) == naive.pop(),
        })
    }

    fn no_request_is_lost_or_given_twice(steps: Vec<Option<(u8, u8, bool)>>) -> bool {
        let now = BootInstant::now();
        let deadline = now + Duration::from_secs(3600);
        let mut queue = FairQueue::new();
        let mut expected = Vec::new();
        let mut popped = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Some((owner, class, is_wanted)) => {
                    let item = Item { number, is_wanted };
                    queue.push(&request(owner, class as usize, deadline), item, 1, now).unwrap();
                    if is_wanted {
                        expected.push(number);
                    }
                }
                None => popped.extend(queue.pop(now).next.map(|dequeued| dequeued.item.number)),
            }
        }
        while let Some(dequeued) = queue.pop(now).next {
            popped.push(dequeued.item.number);
        }
        popped.sort_unstable();
        popped == expected && queue.is_empty()
    }

    /// While all groups have queued requests, slot time is shared by weight, independent of the
    /// cost of the requests of each group.
    fn slot_time_is_shared_by_weight(weights: (u8, u8, u8), costs: (u8, u8, u8)) -> TestResult {
        let weights = [weights.0, weights.1, weights.2].map(|weight| u32::from(weight % 4) + 1);
        let costs = [costs.0, costs.1, costs.2].map(|cost| u64::from(cost % 50) + 1);
        let now = BootInstant::now();
        let deadline = now + Duration::from_secs(36_000);
        let mut queue = FairQueue::new();
        for (number, weight) in weights.iter().enumerate() {
            queue.set_group(&group(number as u8), Weight(*weight), usize::MAX);
        }
        let mut served = [0; 3];
        for iteration in 0..6000 {
            for owner in 0..3 {
                while queue.group_len(&group(owner)) < 2 {
                    let item = Item { number: owner as usize, is_wanted: true };
                    queue.push(&request(owner, 1, deadline), item, 1, now).unwrap();
                }
            }
            let next = queue.pop(now).next.unwrap();
            let owner = next.item.number;
            queue.settle(&next.charge, Duration::from_millis(costs[owner]));
            if iteration >= 1000 {
                served[owner] += costs[owner];
            }
        }
        let total: u64 = served.iter().sum();
        let weight: u32 = weights.iter().sum();
        let is_fair = (0..3).all(|owner| {
            let expected = total as f64 * f64::from(weights[owner]) / f64::from(weight);
            (served[owner] as f64 - expected).abs() <= expected * 0.05 + 100.0
        });
        TestResult::from_bool(is_fair)
    }
}

#[test]
fn urgent_requests_go_first_only_within_their_group() {
    let now = BootInstant::now();
    let deadline = now + Duration::from_secs(10);
    let mut queue = FairQueue::new();
    for (number, (owner, class)) in [(0, 2), (0, 0), (1, 2), (0, 0)].into_iter().enumerate() {
        let item = Item { number, is_wanted: true };
        queue.push(&request(owner, class, deadline), item, 1, now).unwrap();
    }
    let order: Vec<usize> =
        std::iter::from_fn(|| queue.pop(now).next.map(|dequeued| dequeued.item.number)).collect();
    assert_eq!(order, [1, 2, 3, 0]);
}

#[test]
fn an_idle_group_accumulates_no_credit() {
    let now = BootInstant::now();
    let deadline = now + Duration::from_secs(3600);
    let mut queue: FairQueue<Item> = FairQueue::new();
    for _ in 0..1000 {
        let charge = queue.charge(&group(0));
        queue.settle(&charge, COST);
    }
    for number in 0..40 {
        let item = Item { number, is_wanted: true };
        queue.push(&request((number % 2) as u8, 1, deadline), item, 1, now).unwrap();
    }
    let first: Vec<usize> = (0..20).map(|_| queue.pop(now).next.unwrap().item.number).collect();
    let formerly_idle = first.iter().filter(|number| *number % 2 == 1).count();
    assert!((9..=12).contains(&formerly_idle), "the idle group got {formerly_idle} of 20 requests");
}

#[test]
fn requests_over_the_limit_or_past_their_deadline_are_rejected() {
    let now = BootInstant::now();
    let mut queue = FairQueue::new();
    queue.set_group(&group(0), Weight(1), 3);
    let short_deadline = request(0, 1, now + Duration::from_millis(12));
    let item = |number| Item { number, is_wanted: true };
    assert_eq!(queue.push(&short_deadline, item(0), 1, now), Ok(()));
    assert_eq!(queue.push(&short_deadline, item(1), 1, now), Ok(()));
    assert_eq!(queue.push(&short_deadline, item(2), 1, now), Ok(()));
    // Three requests of 5 ms each are ahead on one slot, so the next can't start within 12 ms.
    assert_eq!(queue.push(&short_deadline, item(3), 1, now), Err(QueueError::Late));
    let long_deadline = request(0, 1, now + Duration::from_secs(1));
    assert_eq!(queue.push(&long_deadline, item(4), 1, now), Err(QueueError::Full));
    let popped = queue.pop(now + Duration::from_millis(10));
    assert!(popped.next.is_none());
    assert_eq!(popped.late.iter().map(|item| item.number).collect::<Vec<_>>(), [0, 1, 2]);
}
