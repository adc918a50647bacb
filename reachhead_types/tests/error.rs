//! The table of outcomes: complete, consistent, and the same as in the docs.

use std::{collections::BTreeSet, fs, path::Path};

use reachhead_types::error::{ErrorKind, Outcome};

#[test]
fn the_page_has_every_kind_with_its_answer_and_no_other() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OUTCOMES.md");
    let text = fs::read_to_string(path).expect("the page is there");
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    let rows: BTreeSet<&str> = rows.filter_map(|line| Some(line.rsplit_once(" | ")?.0)).collect();
    let expected: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            let answer = kind.answer();
            let retry = answer.retry_after.map_or("-".to_owned(), |after| after.to_string());
            format!("| `{kind}` | {} | `{}` | {retry}", answer.status, answer.outcome)
        })
        .collect();
    let expected: BTreeSet<&str> = expected.iter().map(String::as_str).collect();
    assert_eq!(rows, expected);
}

#[test]
fn what_is_overload_or_outage_says_when_to_come_back() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.status >= 500 {
            assert!(answer.retry_after.is_some(), "{kind} leaves the caller without a time");
        }
        let is_caller = (400..500).contains(&answer.status) && answer.retry_after.is_none();
        let is_told = answer.outcome == Outcome::NotRun || answer.status == 409;
        assert!(!is_caller || is_told, "{kind} blames the caller for what may have run");
    }
}
