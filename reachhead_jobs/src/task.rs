//! Identifiers of tasks and steps.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
};

use reachhead_types::id::{IdError, JobId};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A task: one of the identical parts of a step, in one occurrence of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job id.
    pub job: JobId,
    /// Occurrence of the job; 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

/// A step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job id.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
}

impl StepId {
    /// Returns the task of the step with this index.
    pub const fn task(self, index: u32) -> TaskId {
        TaskId { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl TaskId {
    /// Returns the step of the task.
    pub const fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl Display for StepId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step_id(), self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(IdError::Empty)?.parse()?;
        let mut number = || -> Result<u32, IdError> {
            parts.next().ok_or(IdError::Empty)?.parse().map_err(|_| IdError::Number)
        };
        let task = Self { job, occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() {
            return Err(IdError::Number);
        }
        Ok(task)
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(|error| de::Error::custom(format!("{text:?} {error}")))
    }
}
