//! Faults of a settings file, as `miette` shows them.

use std::io;

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// One fault and its place in the file.
#[derive(Debug, Error, Diagnostic)]
#[error("{text}")]
pub struct Fault {
    /// What is wrong, with the path of the field.
    pub text: String,
    #[label("here")]
    span: SourceSpan,
    #[source_code]
    file: NamedSource<String>,
}

impl Fault {
    /// Makes a fault at the bytes `start..end` of the file `name` with `text`.
    pub fn new(name: &str, content: &str, start: usize, end: usize, text: String) -> Self {
        let file = NamedSource::new(name, content.to_owned());
        Self { text, span: (start, end - start).into(), file }
    }
}

/// Why settings could not be read.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file itself can't be read.
    #[error("can't read {path}")]
    Unreadable {
        /// The file's path as it was given.
        path: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The file has faults; each is shown with its place.
    #[error("{name} has {} fault(s)", faults.len())]
    Faulty {
        /// The file's name.
        name: String,
        /// Every fault, in the order of the fields.
        #[related]
        faults: Vec<Fault>,
    },
}
