//! Invalid settings files are rejected with specific errors, and nothing is started.

use std::{
    env, fs,
    net::TcpListener,
    path::PathBuf,
    process::{Command, Output},
};

use reachhead_harness::process::program_path;

/// Exit code for invalid settings.
const EXIT_SETTINGS: i32 = 3;

/// Exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("reachhead-{}-{name}.jsonc", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

fn run(name: &str, args: &[&str]) -> Output {
    Command::new(program_path(name)).args(args).env("NO_COLOR", "1").output().unwrap()
}

#[test]
fn invalid_settings_are_rejected_by_check_and_by_the_program() {
    let rest = r#""host": "e1", "zone": "z", "ops": { "address": "127.0.0.1:1" },
        "store": { "address": "127.0.0.1:2" }, "callers": { "address": "127.0.0.1:3" },
        "link": { "control": "127.0.0.1:4", "ask": "127.0.0.1:5" }"#;
    let cases: &[(&str, String, &[&str])] = &[
        ("syntax", "{ \"program\": \"entry\", ".to_owned(), &["Unterminated"]),
        ("list", "[]".to_owned(), &["expected an object"]),
        (
            "unknown",
            format!(r#"{{ "program": "entry", {rest}, "colour": 1 }}"#),
            &["colour: no such setting"],
        ),
        (
            "twice",
            format!(r#"{{ "program": "entry", {rest}, "host": "e2" }}"#),
            &["host is given twice"],
        ),
        (
            "missing",
            r#"{ "program": "entry", "host": "e1" }"#.to_owned(),
            &[
                "zone is missing",
                "ops.address is missing",
                "store.address is missing",
                "callers.address is missing",
                "link.ask is missing",
            ],
        ),
        (
            "values",
            format!(
                r#"{{ "program": "entry", {rest}, "minions": {{ "sends": 0, "whole": -1 }},
                "claims": {{ "batch": "many" }}, "shutdown": 7 }}"#
            ),
            &[
                "minions.sends: invalid value",
                "minions.whole: invalid value",
                "claims.batch: invalid type",
                "shutdown: expected an object",
            ],
        ),
        (
            "name",
            format!(r#"{{ "program": "entry", {} }}"#, rest.replace("e1", "E 1")),
            &["host: \"E 1\" holds"],
        ),
    ];
    for (name, text, errors) in cases {
        let path = write_file(name, text);
        let path = path.to_str().unwrap();
        for output in
            [run("reachhead", &["check", path]), run("reachhead-entry", &["--settings", path])]
        {
            assert_eq!(output.status.code(), Some(EXIT_SETTINGS), "{name}: {output:?}");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            for error in *errors {
                assert!(text.contains(error), "{name}: {error:?} is not in {text}");
            }
        }
        fs::remove_file(path).unwrap();
    }
}

#[test]
fn every_program_has_help_and_version_and_rejects_unknown_flags() {
    for name in ["reachhead", "reachhead-entry", "reachhead-control", "reachhead-admin"] {
        let version = run(name, &["--version"]);
        assert!(version.status.success());
        let text = format!("{name} {}\n", env!("CARGO_PKG_VERSION"));
        assert_eq!(String::from_utf8_lossy(&version.stdout), text);
        let help = run(name, &["--help"]);
        assert!(help.status.success() && !help.stdout.is_empty());
        assert_eq!(run(name, &["--nonsense"]).status.code(), Some(EXIT_USAGE));
    }
}

#[test]
fn settings_of_another_program_are_rejected() {
    let path = write_file("other", r#"{ "program": "control", "host": "e1", "zone": "z" }"#);
    let output = run("reachhead-entry", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(EXIT_SETTINGS));
    assert!(String::from_utf8_lossy(&output.stderr).contains("settings of control"));
    fs::remove_file(path).unwrap();
}

#[test]
fn address_in_use_ends_the_program_with_a_runtime_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let path = write_file(
        "taken",
        &format!(
            r#"{{ "program": "admin", "host": "e1", "zone": "z", "ops": {{ "address": "{address}" }},
            "store": {{ "address": "{address}" }},
            "api": {{ "address": "{address}", "token_salt": "s", "token_hash": "h" }} }}"#
        ),
    );
    let output = run("reachhead-admin", &["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("can't listen on"));
    fs::remove_file(path).unwrap();
}
