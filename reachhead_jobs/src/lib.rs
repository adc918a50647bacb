//! Scheduling of jobs on the workers of a pool: data model, job life cycle, placement, leases.
//!
//! The crate is pure logic over explicit state and time, without I/O. docs/PLATFORM.md describes
//! how the programs use it.

pub mod advice_pace;
pub mod applied_rows;
pub mod authority;
pub mod backoff;
pub mod balance;
pub mod candidate;
pub mod claim;
pub mod clock;
pub mod crashes;
pub mod customer;
pub mod dead_workers;
pub mod dispatch;
pub mod division;
pub mod expiring_budget;
pub mod fence;
pub mod incarnation;
pub mod isolation;
pub mod job;
pub mod large_answers;
pub mod liveness;
pub mod membership;
pub mod model;
pub mod obstacle;
pub mod order;
pub mod order_effect;
pub mod orphan;
pub mod outage;
pub mod owner_failures;
pub mod place;
pub mod poll_pace;
pub mod pool;
pub mod ports;
pub mod progress;
pub mod quota;
pub mod record;
pub mod registry;
pub mod relay;
pub mod retake;
pub mod shard;
pub mod silence;
pub mod slow_reads;
pub mod start_pace;
pub mod task;
pub mod wave;
pub mod worker;
