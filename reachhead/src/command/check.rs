//! `reachhead check`.

use reachhead_config::{
    AnySettings, Section, admin::AdminSettings, control::ControlSettings, entry::EntrySettings,
    fleet::FleetFile, section::Field,
};

use crate::{args::CheckArgs, command::CommandError, print};

/// Checks a file or explains a program's settings.
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
        (None, Some(program)) => explain(program),
        _ => Err(CommandError::Kind("give a file or --explain, one of the two".to_owned())),
    }
}

fn explain(program: &str) -> Result<(), CommandError> {
    let fields = match program {
        "entry" => EntrySettings::FIELDS,
        "control" => ControlSettings::FIELDS,
        "admin" => AdminSettings::FIELDS,
        "fleet" => FleetFile::FIELDS,
        _ => return Err(CommandError::Kind(format!("there are no settings of {program}"))),
    };
    print_fields("", fields);
    Ok(())
}

fn print_fields(path: &str, fields: &[Field]) {
    for field in fields {
        let name = format!("{path}{}", field.name);
        let head = match (field.fields, field.default) {
            ([], "") => format!("{name} (required)"),
            ([], default) => format!("{name} = {}", plain(default)),
            _ => name.clone(),
        };
        print::line(&format!("{head}\n   {}", field.doc));
        print_fields(&format!("{name}."), field.fields);
    }
}

/// Returns a default without the type that Rust puts around it.
fn plain(default: &str) -> &str {
    let inner = default.rsplit_once('(').and_then(|(_, rest)| rest.split_once(')'));
    inner.map_or(default, |(value, _)| if value.is_empty() { "none" } else { value })
}
