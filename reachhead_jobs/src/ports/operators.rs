//! Rows that operators and workers write to the store.

use reachhead_store::row::{Key, Row, Write};
use reachhead_types::id::{WaveName, WorkerId, ZoneName};
use thiserror::Error;

use super::WorkerInfo;
use crate::{model::Configuration, wave::WaveOrder};

/// A row written by operators.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The configuration.
    Configuration(Configuration),
    /// A maintenance wave.
    Wave(WaveOrder),
    /// Drain of a zone: nothing is started there while the row exists.
    ZoneDrain(ZoneName),
    /// A row that does not concern this system.
    Other,
}

/// A row that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key}: {reason}")]
pub struct RowError {
    /// Key of the row.
    pub key: Key,
    /// What is wrong.
    pub reason: String,
}

/// Format of the operators' and workers' rows in the platform's store.
pub trait RowFormat: Send + Sync {
    /// Returns the name of the operators' table.
    fn operator_table(&self) -> &'static str;

    /// Returns the name of the table in which workers register.
    fn worker_table(&self) -> &'static str;

    /// Parses a row of the operators' table.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if the row can't be parsed.
    fn operator_row(&self, row: &Row) -> Result<OperatorRow, RowError>;

    /// Returns the zone drained by the row with this key, regardless of the row's value.
    fn drained_zone(&self, key: &Key) -> Option<ZoneName>;

    /// Parses a worker's registration.
    ///
    /// # Errors
    ///
    /// A [`RowError`] if the row can't be parsed.
    fn worker_row(&self, row: &Row) -> Result<WorkerInfo, RowError>;

    /// Returns the worker whose registration has this key.
    fn worker_of(&self, key: &Key) -> Option<WorkerId>;

    /// Returns the row that shows a wave's progress to operators.
    fn wave_status(&self, wave: &WaveName, completed: bool) -> Write;
}
