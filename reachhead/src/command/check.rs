//! `reachhead check`: checks a settings file or explains a program's settings.

use reachhead_config::{
    AnySettings, Section, admin::AdminSettings, control::ControlSettings, entry::EntrySettings,
    fleet::FleetFile, section::Field,
};

use crate::{args::CheckArgs, command::CommandError, print};

/// Checks a settings file, or prints every setting of a program with its default.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    match (&args.file, &args.explain) {
        (Some(file), None) => {
            let kind = match reachhead_config::load_any(file)? {
                AnySettings::Entry(_) => "entry",
                AnySettings::Control(_) => "control",
                AnySettings::Admin(_) => "admin",
                AnySettings::Fleet(_) => "fleet",
            };
            print::line(&format!("{}: {kind} settings without faults", file.display()));
            Ok(())
        }
        (None, Some(program)) => print_settings(program),
        _ => Err(CommandError::InvalidInput("give either a file or --explain".to_owned())),
    }
}

fn print_settings(program: &str) -> Result<(), CommandError> {
    let fields = match program {
        "entry" => EntrySettings::FIELDS,
        "control" => ControlSettings::FIELDS,
        "admin" => AdminSettings::FIELDS,
        "fleet" => FleetFile::FIELDS,
        _ => return Err(CommandError::InvalidInput(format!("unknown program {program}"))),
    };
    print_fields("", fields);
    Ok(())
}

fn print_fields(path: &str, fields: &[Field]) {
    for field in fields {
        let name = format!("{path}{}", field.name);
        let heading = match (field.fields, field.default) {
            ([], "") => format!("{name} (required)"),
            ([], default) => format!("{name} = {}", strip_type(default)),
            _ => name.clone(),
        };
        print::line(&format!("{heading}\n   {}", field.doc));
        print_fields(&format!("{name}."), field.fields);
    }
}

/// Returns the value inside a default's Rust expression: `500` of `Millis(500)`, "none" of
/// `Vec::new()`.
fn strip_type(default: &str) -> &str {
    let inner = default.rsplit_once('(').and_then(|(_, rest)| rest.split_once(')'));
    inner.map_or(default, |(value, _)| if value.is_empty() { "none" } else { value })
}
