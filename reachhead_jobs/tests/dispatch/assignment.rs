//! Tests of the assignment of workers to dispatchers.

use std::collections::{BTreeMap, BTreeSet};

use reachhead_jobs::dispatch::assignment::{Assignment, Dispatcher};
use reachhead_property::properties;
use reachhead_types::{
    id::{NodeName, PoolName, WorkerId},
    size::Strength,
};

/// The number of workers, the demand, and each process's strength and number of pools.
type Round = (u8, u16, Vec<(u8, u8)>);

fn dispatcher(number: usize, strength: u32, owned: usize) -> Dispatcher {
    let node = format!("n{number:02}").parse().unwrap();
    Dispatcher { node, strength: Strength(strength), owned }
}

fn workers(count: usize) -> Vec<WorkerId> {
    (0..count).map(|number| format!("w{number:03}").parse().unwrap()).collect()
}

/// Returns how many workers each dispatcher has.
fn counts(assignment: &Assignment, workers: &[WorkerId]) -> BTreeMap<NodeName, usize> {
    let mut counts = BTreeMap::new();
    for worker in workers {
        if let Some(node) = assignment.dispatcher_of(worker) {
            *counts.entry(node.clone()).or_default() += 1;
        }
    }
    counts
}

/// Returns the processes to choose, each found by a pass over all that are left.
fn naive_choice(dispatchers: &[Dispatcher], demand: u32) -> BTreeSet<NodeName> {
    let mut left: Vec<&Dispatcher> =
        dispatchers.iter().filter(|process| process.effective_strength().0 > 0).collect();
    let (mut chosen, mut total) = (BTreeSet::new(), 0);
    while !left.is_empty() && (total < 2 * demand || chosen.len() < 2) {
        let is_better = |a: &Dispatcher, b: &Dispatcher| {
            if (a.owned > 0) != (b.owned > 0) {
                return a.owned == 0;
            }
            a.effective_strength() > b.effective_strength()
                || (a.effective_strength() == b.effective_strength() && a.node < b.node)
        };
        let best = left.iter().position(|a| left.iter().all(|b| a == b || is_better(a, b)));
        let best = left.remove(best.unwrap());
        total += best.effective_strength().0;
        chosen.insert(best.node.clone());
    }
    chosen
}

properties! {
    /// Whatever changes between two rounds, all workers are served by the chosen processes, none of
    /// which has more than 1.25 times its share (or the share rounded up), and only workers move
    /// whose dispatcher is gone or has too many.
    fn workers_are_shared_by_strength_and_move_only_if_they_must(
        rounds: Vec<Round>
    ) -> bool {
        let mut assignment = Assignment::new();
        rounds.into_iter().take(12).all(|(count, demand, processes)| {
            let dispatchers: Vec<Dispatcher> = processes
                .iter()
                .enumerate()
                .take(12)
                .map(|(number, (strength, owned))| {
                    dispatcher(number, u32::from(strength % 4) * 800, usize::from(owned % 3))
                })
                .collect();
            let demand = u32::from(demand % 8000);
            let workers = workers(usize::from(count % 64));
            let before = assignment.clone();
            let changed = assignment.update(&workers, &dispatchers, Strength(demand));

            let chosen = naive_choice(&dispatchers, demand);
            let counts = counts(&assignment, &workers);
            let of_chosen = || dispatchers.iter().filter(|known| chosen.contains(&known.node));
            let total = f64::from(assignment.strength().0);
            let limit = |node: &NodeName| {
                let known = of_chosen().find(|known| known.node == *node).unwrap();
                let share = workers.len() as f64 * f64::from(known.effective_strength().0) / total;
                (1.25 * share).max(share.ceil())
            };
            let listed = assignment.dispatchers().iter().map(|known| known.node.clone());
            let as_chosen = listed.collect::<BTreeSet<_>>() == chosen;
            let all_served = counts.values().sum::<usize>()
                == if chosen.is_empty() { 0 } else { workers.len() };
            let within = counts.iter().all(|(node, count)| {
                chosen.contains(node) && *count as f64 <= limit(node)
            });
            let moved: Vec<&WorkerId> = workers
                .iter()
                .filter(|id| before.dispatcher_of(id) != assignment.dispatcher_of(id))
                .collect();
            let had_to = moved.iter().all(|id| before.dispatcher_of(id).is_none_or(|node| {
                let had = workers.iter().filter(|id| before.dispatcher_of(id) == Some(node));
                !chosen.contains(node) || had.count() as f64 > limit(node).floor()
            }));
            as_chosen && all_served && within && had_to && moved.len() == changed
        })
    }
}

/// In a fleet of equal hosts, the owners of all pools chose the same two as their dispatchers.
#[test]
fn pools_choose_different_ones_of_equal_processes() {
    let dispatchers: Vec<Dispatcher> = (0..30).map(|number| dispatcher(number, 800, 0)).collect();
    let workers = workers(10);
    let mut used = BTreeSet::new();
    for number in 0..6 {
        let pool: PoolName = format!("p{number}").parse().unwrap();
        let mut assignment = Assignment::new().with_pool(pool);
        assignment.update(&workers, &dispatchers, Strength(800));
        used.extend(counts(&assignment, &workers).into_keys());
    }
    assert!(used.len() > 6, "{used:?}");
}
