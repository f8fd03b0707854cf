//! The checks don't panic on any input, and their output is bounded.

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use base::ErrorCode;
use conf::{
    DIAGNOSTICS_MAX, DOCUMENT_MAX_BYTES, Diagnostic, VALUES_MAX, check_agent_settings,
    check_entry_settings, check_fleet, check_fleet_value,
};
use seeds::each_seed;
use serde_json::Value;

/// Fragments that are concatenated into texts that resemble documents.
#[rustfmt::skip]
const FRAGMENTS: &[&str] = &[
    "{", "}", "[", "]", ":", ",", "\"", "\\", "// x\n", "/* ", "*/", "null", "true",
    "-1", "1e999", "0.5", "18446744073709551616", "\"models\"", "\"pools\"",
    "\"profiles\"", "\"size_mib\"", "\"size_gib\"", "\"a\":", "{}", "[]", "\u{feff}",
    "é", "\r", "\n", "\\ud800", "\"\\u0000\":",
];

fn codes(diagnostics: &[Diagnostic]) -> Vec<ErrorCode> {
    diagnostics
        .iter()
        .map(|diagnostic| diagnostic.code)
        .collect()
}

fn assert_bounded(diagnostics: &[Diagnostic]) {
    assert!(!diagnostics.is_empty(), "rejected without a diagnostic");
    assert!(diagnostics.len() <= DIAGNOSTICS_MAX);
    for diagnostic in diagnostics {
        assert!(diagnostic.message.len() < 1_000, "{diagnostic:?}");
        assert!(diagnostic.path.len() < 1_000, "{diagnostic:?}");
    }
}

fn check_as_each_document(text: &str) {
    let results = [
        check_fleet(text).map(|_| ()),
        check_entry_settings(text).map(|_| ()),
        check_agent_settings(text).map(|_| ()),
    ];
    for result in results {
        if let Err(diagnostics) = result {
            assert_bounded(&diagnostics);
        }
    }
}

fn random_fragments(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=60)? {
        text.push_str(u.choose(FRAGMENTS)?);
    }
    Ok(text)
}

#[test]
fn arbitrary_text_gets_bounded_diagnostics() {
    each_seed(2_000, 2_000, |u| {
        let text: String = u.arbitrary()?;
        check_as_each_document(&text);
        check_as_each_document(&random_fragments(u)?);
        Ok(())
    });
}

/// A valid document with a few bytes replaced, which reaches the rules behind the
/// parser.
#[test]
fn damaged_documents_get_bounded_diagnostics() {
    let valid = include_str!("../../../deploy/harbourline.jsonc");
    each_seed(100, 200, |u| {
        let mut text = valid.to_owned();
        for _ in 0..u.int_in_range(1..=4)? {
            let at = u.int_in_range(0..=text.len() - 1)?;
            let to = u.int_in_range(at..=text.len().min(at + 20))?;
            if text.is_char_boundary(at) && text.is_char_boundary(to) {
                text.replace_range(at..to, u.choose(FRAGMENTS)?);
            }
        }
        check_as_each_document(&text);
        Ok(())
    });
}

#[test]
fn exceeding_a_size_limit_is_one_diagnostic() {
    let long_key = "k".repeat(500_000);
    let members = "\"a\":1,".repeat(10_000);
    let cases = [
        (
            "large",
            " ".repeat(DOCUMENT_MAX_BYTES + 1),
            ErrorCode::OutOfRange,
        ),
        (
            "deep",
            format!("{}{}", "[".repeat(400), "]".repeat(400)),
            ErrorCode::OutOfRange,
        ),
        ("unterminated", "[".repeat(800_000), ErrorCode::BadSyntax),
        (
            "many",
            format!("[{}1]", "1,".repeat(VALUES_MAX)),
            ErrorCode::OutOfRange,
        ),
        (
            "long key",
            format!("{{\"{long_key}\":{{{members}}}}}"),
            ErrorCode::OutOfRange,
        ),
        ("empty", String::new(), ErrorCode::BadSyntax),
    ];
    for (name, text, code) in cases {
        let diagnostics = check_fleet(&text).expect_err(name);
        assert_eq!(codes(&diagnostics), [code], "{name}");
        assert_bounded(&diagnostics);
    }
}

#[test]
fn the_number_of_diagnostics_is_bounded() {
    let unknown: String = (0..5_000).map(|n| format!("\"x{n}\":1,")).collect();
    let diagnostics = check_fleet(&format!("{{{unknown}}}")).expect_err("all unknown");
    assert_eq!(diagnostics.len(), DIAGNOSTICS_MAX);
}

#[test]
fn a_deep_or_large_decoded_document_is_one_diagnostic() {
    let mut deep = Value::Null;
    for _ in 0..100 {
        deep = serde_json::json!({ "models": deep });
    }
    assert_eq!(codes(&check_fleet_value(&deep)), [ErrorCode::OutOfRange]);
    let large = Value::String("x".repeat(DOCUMENT_MAX_BYTES));
    assert_eq!(codes(&check_fleet_value(&large)), [ErrorCode::OutOfRange]);
}

/// A message quotes only an excerpt of an invalid value, which may be half a
/// megabyte long.
#[test]
fn messages_stay_short() {
    let long = "x".repeat(500_000);
    let texts = [
        format!(r#"{{ "pools": {{ "a": {{ "instances": "{long}" }} }} }}"#),
        format!(r#"{{ "models": {{ "a": {{ "pool": "{long}" }} }} }}"#),
        format!(r#"{{ "profiles": {{ "a": {{ "models": ["{long}"] }} }} }}"#),
        format!(r#"{{ "deployment": "{long}" }}"#),
    ];
    for text in texts {
        assert_bounded(&check_fleet(&text).expect_err("diagnostics"));
        let agent = text.replace("deployment", "platform");
        assert_bounded(&check_agent_settings(&agent).expect_err("diagnostics"));
    }
}
