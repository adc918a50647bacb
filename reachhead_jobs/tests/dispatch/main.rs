//! Tests of the decisions about dispatchers of a pool.

#![allow(clippy::unwrap_used, reason = "a test that can't go on has failed")]

mod assignment;
mod health;
mod need;
mod order_age;
