//! The table of error kinds is consistent and the same as in docs/OUTCOMES.md.

use std::{collections::BTreeSet, fs, path::Path};

use reachhead_types::error::{ErrorKind, Outcome};

#[test]
fn docs_list_exactly_the_error_kinds_and_their_answers() {
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
fn server_errors_have_a_retry_after() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.status >= 500 {
            assert!(answer.retry_after.is_some(), "{kind} has no Retry-After");
        }
        let is_final_client_error =
            (400..500).contains(&answer.status) && answer.retry_after.is_none();
        let has_known_outcome = answer.outcome == Outcome::NotRun || answer.status == 409;
        assert!(
            !is_final_client_error || has_known_outcome,
            "{kind} is a client error, but the request may have run"
        );
    }
}
