//! Settings files: JSON with comments, read into typed sections, with all errors reported with their spans.
//!
//! The programs and `reachhead check` use the same code, so a program accepts any file that passes the check.

pub mod admin;
pub mod control;
pub mod entry;
pub mod fault;
pub mod fleet;
mod reader;
pub mod section;

use std::{fs, path::Path};

use crate::{
    admin::AdminSettings, control::ControlSettings, entry::EntrySettings, fleet::FleetFile,
};
pub use crate::{fault::SettingsError, reader::ObjectReader, section::Section};

/// Settings of any program, identified by the field `program`.
#[derive(Debug, Clone)]
pub enum AnySettings {
    /// Settings of `reachhead-entry`.
    Entry(EntrySettings),
    /// Settings of `reachhead-control`.
    Control(ControlSettings),
    /// Settings of `reachhead-admin`.
    Admin(AdminSettings),
    /// A fleet for `reachhead apply`.
    Fleet(FleetFile),
}

/// Reads the settings of `program` from the file at `path`.
///
/// # Errors
///
/// Fails if the file can't be read or has errors, which are reported together.
pub fn load<S: Section>(program: &str, path: &Path) -> Result<S, SettingsError> {
    let text = read_text(path)?;
    reader::read_root(&path.display().to_string(), &text, |root| {
        let found = root.peek_string("program")?;
        if found != program {
            root.add_fault(
                "program",
                &format!("expected settings of {program}, found settings of {found}"),
            );
            return None;
        }
        S::read(root)
    })
}

/// Reads the settings file at `path` for the program named in its field `program`.
///
/// # Errors
///
/// As [`load`]; a missing or unknown program is an error too.
pub fn load_any(path: &Path) -> Result<AnySettings, SettingsError> {
    let text = read_text(path)?;
    let name = path.display().to_string();
    reader::read_root(&name, &text, |root| match root.peek_string("program")?.as_str() {
        "entry" => EntrySettings::read(root).map(AnySettings::Entry),
        "control" => ControlSettings::read(root).map(AnySettings::Control),
        "admin" => AdminSettings::read(root).map(AnySettings::Admin),
        "fleet" => FleetFile::read(root).map(AnySettings::Fleet),
        _ => {
            root.add_fault("program", "expected one of entry, control, admin, fleet");
            None
        }
    })
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.display().to_string(), source })
}
