//! Persisted progress of a job, compact enough that the largest job's fits into one row.

use reachhead_types::size::RunNumber;
use serde::{Deserialize, Serialize};

use crate::crashes::Crashes;

/// Tasks per word of a [`TaskSet`].
const TASKS_PER_WORD: u32 = u32::BITS;

/// Set of tasks of one step, stored as a bitmap: a list would need about six bytes for each task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "StoredSet", into = "StoredSet")]
pub struct TaskSet {
    words: Vec<u32>,
}

/// Stored forms of a task set.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredSet {
    /// Indexes one by one, as written by an earlier release.
    Places(Vec<u32>),
    /// Bitmap of 32 tasks a word, the lowest bit first.
    Words {
        /// Words of the bitmap.
        words: Vec<u32>,
    },
}

impl TaskSet {
    /// Adds the task with this index.
    pub fn insert(&mut self, index: u32) {
        let word = (index / TASKS_PER_WORD) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % TASKS_PER_WORD);
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Returns the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        let words = (0..).zip(&self.words);
        words.flat_map(|(word_index, word)| {
            let set = (0..TASKS_PER_WORD).filter(move |bit| word & (1 << bit) != 0);
            set.map(move |bit| word_index * TASKS_PER_WORD + bit)
        })
    }
}

impl FromIterator<u32> for TaskSet {
    fn from_iter<T: IntoIterator<Item = u32>>(indexes: T) -> Self {
        let mut set = Self::default();
        indexes.into_iter().for_each(|index| set.insert(index));
        set
    }
}

impl From<StoredSet> for TaskSet {
    fn from(stored: StoredSet) -> Self {
        match stored {
            StoredSet::Places(indexes) => indexes.into_iter().collect(),
            StoredSet::Words { words } => Self { words },
        }
    }
}

impl From<TaskSet> for StoredSet {
    fn from(set: TaskSet) -> Self {
        Self::Words { words: set.words }
    }
}

/// A task with failed runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Index of the task in its step.
    pub index: u32,
    /// Numbers of the failed runs; a run that is reported twice counts once.
    pub runs: Vec<RunNumber>,
}

/// A task that was on workers when they crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Index of the task in its step.
    pub index: u32,
    /// Crash counters of the task. They survive an ownership change, or the successor would lose as
    /// many workers again before it gives the task up.
    pub crashes: Crashes,
}

/// Persisted progress of a step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Tasks that are done.
    pub done: TaskSet,
    /// Tasks with failed runs.
    pub failed: Vec<Failure>,
    /// Tasks with crashes; earlier releases that did not count crashes wrote none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<CrashRecord>,
}

impl StepRecord {
    /// Returns whether a run of the step has ended by itself. A worker may have crashed before an
    /// order reached it, so a crash is no evidence of a run.
    pub fn has_ended_runs(&self) -> bool {
        !self.done.is_empty() || !self.failed.is_empty()
    }

    /// Returns whether the record holds nothing.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.failed.is_empty() && self.crashed.is_empty()
    }
}

/// Range of consecutive occurrences in which all tasks of a step are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedSteps {
    /// Index of the step in the job.
    pub step: u32,
    /// First occurrence of the range.
    pub first: u32,
    /// Last occurrence of the range.
    pub last: u32,
}

/// Progress of a job: everything that its workers may forget once it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Steps with progress that are not done.
    pub steps: Vec<StepRecord>,
    /// Steps that are done; an earlier release listed their tasks in `steps` instead.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub complete: Vec<CompletedSteps>,
}

impl ProgressRecord {
    /// Returns whether a run of the job has ended by itself.
    pub fn has_ended_runs(&self) -> bool {
        !self.complete.is_empty() || self.steps.iter().any(StepRecord::has_ended_runs)
    }

    /// Returns whether all tasks of a step are done in an occurrence.
    pub fn has_completed(&self, step: u32, occurrence: u32) -> bool {
        let covers = |complete: &CompletedSteps| {
            complete.step == step && (complete.first..=complete.last).contains(&occurrence)
        };
        self.complete.iter().any(covers)
    }

    /// Marks a step as done in an occurrence; occurrences must be added in ascending order.
    pub fn complete(&mut self, step: u32, occurrence: u32) {
        let last = self.complete.iter_mut().rev().find(|complete| complete.step == step);
        match last {
            Some(complete) if complete.last + 1 == occurrence => complete.last = occurrence,
            _ => self.complete.push(CompletedSteps { step, first: occurrence, last: occurrence }),
        }
    }
}
