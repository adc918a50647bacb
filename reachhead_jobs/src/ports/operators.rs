//! What operators and workers write to the store.

use reachhead_store::row::{Key, Row, Write};
use reachhead_types::id::{WaveName, WorkerId, ZoneName};
use thiserror::Error;

use super::WorkerInfo;
use crate::{model::Configuration, wave::WaveOrder};

/// What operators wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The newest configuration.
    Configuration(Configuration),
    /// A wave.
    Wave(WaveOrder),
    /// Nothing is to be started in this zone for as long as the row is there.
    ZoneDrain(ZoneName),
    /// Something that is not for this system.
    Other,
}

/// A row that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key}: {reason}")]
pub struct RowError {
    /// The row.
    pub key: Key,
    /// What is wrong.
    pub reason: String,
}

/// How operators and workers write their rows in the platform's store.
pub trait RowFormat: Send + Sync {
    /// Returns the table that operators write.
    fn operator_table(&self) -> &'static str;

    /// Returns the table in which workers register.
    fn worker_table(&self) -> &'static str;

    /// Returns what a row of operators says.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if it can't be understood.
    fn operator_row(&self, row: &Row) -> Result<OperatorRow, RowError>;

    /// Returns the zone that the row with this key drains, whatever the row says.
    fn drained_zone(&self, key: &Key) -> Option<ZoneName>;

    /// Returns the worker that a row registers.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if it can't be understood.
    fn worker_row(&self, row: &Row) -> Result<WorkerInfo, RowError>;

    /// Returns the worker whose registration has this key.
    fn worker_of(&self, key: &Key) -> Option<WorkerId>;

    /// Returns the row that tells operators how far a wave is.
    fn wave_status(&self, wave: &WaveName, completed: bool) -> Write;
}
