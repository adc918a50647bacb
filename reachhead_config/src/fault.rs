//! Errors in a settings file, as `miette` diagnostics.

use std::io;

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// An error in a settings file and its span.
#[derive(Debug, Error, Diagnostic)]
#[error("{text}")]
pub struct Fault {
    /// Error message, including the path of the field.
    pub text: String,
    #[label("here")]
    span: SourceSpan,
    #[source_code]
    file: NamedSource<String>,
}

impl Fault {
    /// Returns an error with message `text` at the bytes `start..end` of the file `name` with `content`.
    pub fn new(name: &str, content: &str, start: usize, end: usize, text: String) -> Self {
        let file = NamedSource::new(name, content.to_owned());
        Self { text, span: (start, end - start).into(), file }
    }
}

/// Error of reading a settings file.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}")]
    Unreadable {
        /// The file's path as given.
        path: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The file has errors; each is shown with its source snippet.
    #[error("{name} has {} fault(s)", faults.len())]
    Faulty {
        /// The file's name.
        name: String,
        /// All errors, in the order in which the fields are read.
        #[related]
        faults: Vec<Fault>,
    },
}
