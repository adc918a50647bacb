//! Fleet file, which `reachhead apply` turns into configuration rows.

use std::collections::BTreeMap;

use reachhead_types::{
    fleet::{Fleet, RowKey},
    size::Version,
};
use serde_json::Value;

use crate::{
    ObjectReader, Section,
    reader::{ObjectMember, Span},
    section::Field,
};

/// Sections of a fleet file, each with the kind of its rows.
const SECTION_KINDS: [(&str, &str); 6] = [
    ("groups", "group"),
    ("pools", "pool"),
    ("services", "service"),
    ("minions", "minion"),
    ("routes", "route"),
    ("operators", "operator"),
];

/// Configuration rows, validated as a whole.
#[derive(Debug, Clone, Default)]
pub struct FleetFile {
    /// The rows by key.
    pub rows: BTreeMap<RowKey, Value>,
}

impl Section for FleetFile {
    const FIELDS: &'static [Field] = &[
        field("groups", "Groups by name: `parent` and `settings`."),
        field("pools", "Pools by name: `group`."),
        field("services", "Services by name: `group`, `pool`, `max_unavailable`."),
        field(
            "minions",
            "Minions by SERVICE/NAME: `address`, `zone`, `slots`, `connections`, `state`.",
        ),
        field("routes", "Routes by name: `path`, `group`, `service`, `key`, `class`, `deadline`."),
        field("operators", "Operators by name: `group`, `salt`, `hash`."),
    ];

    fn read(reader: &mut ObjectReader<'_, '_>) -> Option<Self> {
        reader.field::<String>("program", None)?;
        let mut file = Self::default();
        let mut spans: BTreeMap<RowKey, Span> = BTreeMap::new();
        for (section, kind) in SECTION_KINDS {
            for ObjectMember { name, value, span } in reader.members(section) {
                match format!("{kind}/{name}").parse::<RowKey>() {
                    Ok(key) => {
                        spans.insert(key.clone(), span);
                        file.rows.insert(key, value);
                    }
                    Err(error) => reader.add_fault_at(span, format!("{section}.{name}: {error}")),
                }
            }
        }
        if let Err(faults) = Fleet::from_rows(Version::default(), &file.rows) {
            for fault in faults {
                reader.add_fault_at(spans[&fault.key], fault.to_string());
            }
        }
        reader.finish();
        Some(file)
    }
}

const fn field(name: &'static str, doc: &'static str) -> Field {
    Field { name, doc, default: "{}", fields: &[] }
}
