//! A job's progress as the store keeps it, so that the largest job's fits into a row.

use reachhead_types::size::RunNumber;
use serde::{Deserialize, Serialize};

use crate::crashes::Crashes;

/// Tasks in a word of a [`TaskSet`].
const WORD: u32 = u32::BITS;

/// Tasks of one step by their places, each a bit in the row: a list would need some six bytes for each.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "StoredSet", into = "StoredSet")]
pub struct TaskSet {
    words: Vec<u32>,
}

/// The forms of a set in a row.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredSet {
    /// The places one by one, as an earlier release wrote them.
    Places(Vec<u32>),
    /// Thirty-two places a word, the lowest bit first.
    Words {
        /// The words.
        words: Vec<u32>,
    },
}

impl TaskSet {
    /// Adds the task at this place.
    pub fn insert(&mut self, place: u32) {
        let word = (place / WORD) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (place % WORD);
    }

    /// Tells whether it has no task.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Returns the places in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        let words = (0..).zip(&self.words);
        words.flat_map(|(number, word)| {
            let set = (0..WORD).filter(move |bit| word & (1 << bit) != 0);
            set.map(move |bit| number * WORD + bit)
        })
    }
}

impl FromIterator<u32> for TaskSet {
    fn from_iter<T: IntoIterator<Item = u32>>(places: T) -> Self {
        let mut set = Self::default();
        places.into_iter().for_each(|place| set.insert(place));
        set
    }
}

impl From<StoredSet> for TaskSet {
    fn from(stored: StoredSet) -> Self {
        match stored {
            StoredSet::Places(places) => places.into_iter().collect(),
            StoredSet::Words { words } => Self { words },
        }
    }
}

impl From<TaskSet> for StoredSet {
    fn from(set: TaskSet) -> Self {
        Self::Words { words: set.words }
    }
}

/// A task that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The task's place in the step.
    pub index: u32,
    /// The runs that failed; a run that is told twice counts once.
    pub runs: Vec<RunNumber>,
}

/// A task under which workers crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task's place in the step.
    pub index: u32,
    /// What the crashes say of it: a successor must not begin to count anew, and lose as many workers again.
    pub crashes: Crashes,
}

/// What is known for good of a step in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Which repetition of the job.
    pub occurrence: u32,
    /// The step's place in the job.
    pub step: u32,
    /// The tasks that are done.
    pub done: TaskSet,
    /// The tasks that failed.
    pub failed: Vec<Failure>,
    /// The tasks under which workers crashed; a release that did not count them wrote none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<CrashRecord>,
}

impl StepRecord {
    /// Tells whether nothing is known of the step.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.failed.is_empty() && self.crashed.is_empty()
    }
}

/// Occurrences in a row in which all tasks of a step are done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedSteps {
    /// The step's place in the job.
    pub step: u32,
    /// The first of the occurrences.
    pub first: u32,
    /// The last of them.
    pub last: u32,
}

/// A job's progress: everything that its workers may forget.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The steps of which anything is known and that are not done.
    pub steps: Vec<StepRecord>,
    /// Steps that are done; an earlier release listed their tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub complete: Vec<CompletedSteps>,
}

impl ProgressRecord {
    /// Tells whether all tasks of a step are done in an occurrence.
    pub fn has_completed(&self, step: u32, occurrence: u32) -> bool {
        let covers = |complete: &CompletedSteps| {
            complete.step == step && (complete.first..=complete.last).contains(&occurrence)
        };
        self.complete.iter().any(covers)
    }

    /// Adds a step of which all tasks are done; occurrences are added in their order.
    pub fn complete(&mut self, step: u32, occurrence: u32) {
        let last = self.complete.iter_mut().rev().find(|complete| complete.step == step);
        match last {
            Some(complete) if complete.last + 1 == occurrence => complete.last = occurrence,
            _ => self.complete.push(CompletedSteps { step, first: occurrence, last: occurrence }),
        }
    }
}
