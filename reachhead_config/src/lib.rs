//! Settings files: JSON with comments, read into typed sections, every fault shown at its place.
//!
//! The programs and `reachhead check` use the same code, so a file that passes the check starts.

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

/// A settings file of any program, told apart by its field `program`.
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
/// Fails if the file can't be read or has any fault; all faults are reported together.
pub fn load<S: Section>(program: &str, path: &Path) -> Result<S, SettingsError> {
    let text = read_text(path)?;
    reader::read_root(&path.display().to_string(), &text, |root| {
        let named = root.peek_text("program")?;
        if named != program {
            root.fault("program", &format!("these are settings of {named}, not of {program}"));
            return None;
        }
        S::read(root)
    })
}

/// Reads a settings file of whichever program it names in its field `program`.
///
/// # Errors
///
/// As [`load`]; a missing or unknown program is a fault too.
pub fn load_any(path: &Path) -> Result<AnySettings, SettingsError> {
    let text = read_text(path)?;
    let name = path.display().to_string();
    reader::read_root(&name, &text, |root| match root.peek_text("program")?.as_str() {
        "entry" => EntrySettings::read(root).map(AnySettings::Entry),
        "control" => ControlSettings::read(root).map(AnySettings::Control),
        "admin" => AdminSettings::read(root).map(AnySettings::Admin),
        "fleet" => FleetFile::read(root).map(AnySettings::Fleet),
        _ => {
            root.fault("program", "expected one of entry, control, admin, fleet");
            None
        }
    })
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.display().to_string(), source })
}
