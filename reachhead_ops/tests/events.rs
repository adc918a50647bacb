//! docs/EVENTS.md matches the events in the code.

use std::{collections::BTreeSet, fs, path::Path};

use reachhead_ops::event::Event;

#[test]
fn docs_list_exactly_the_events_in_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    let text = fs::read_to_string(path).expect("docs/EVENTS.md can be read");
    let rows: BTreeSet<&str> = text.lines().filter(|line| line.starts_with("| E")).collect();
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            let meaning = event.meaning().trim();
            format!("| E{} | {event:?} | {level} | {meaning} |", event.number())
        })
        .collect();
    let expected: BTreeSet<&str> = expected.iter().map(String::as_str).collect();
    assert_eq!(rows, expected);
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
