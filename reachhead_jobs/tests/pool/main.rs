//! Tests of the pool owner's state machine; most of them guard against the return of one fault each.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod advice;
mod arbitrary_inputs;
mod balance;
mod candidate;
mod capacity;
mod crash;
mod crash_evidence;
mod division;
mod drain;
mod drain_worker;
mod ended_incarnation;
mod expiring_budget;
mod fixture;
mod late_calls;
mod late_orders_after_death;
mod lease_confirmation;
mod load;
mod long_reports;
mod notes;
mod order_effect;
mod orphans;
mod pace;
mod poll_budget;
mod quota;
mod records;
mod recover;
mod recovering;
mod refusal;
mod released;
mod restart_fixture;
mod restarted_worker;
mod review;
mod roster;
mod round_outcome;
mod runs;
mod stuck_runs;
mod trials;
mod unanswered_orders;
mod unclaimed;
mod unnoticed_effects;
mod unnoticed_incarnation;
mod unplaced;
mod wave;
