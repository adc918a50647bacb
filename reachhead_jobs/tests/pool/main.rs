//! The owner of a pool in situations that once went wrong, one test each.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod balance;
mod candidate;
mod capacity;
mod crash;
mod division;
mod drain;
mod fixture;
mod inherit;
mod life;
mod load;
mod pace;
mod quota;
mod rebirth;
mod records;
mod refusal;
mod rescue;
mod roster;
mod vacate;
mod wave;
