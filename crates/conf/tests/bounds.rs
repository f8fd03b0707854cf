//! No text makes the checks panic or grow without bound.

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use base::ErrorCode;
use conf::{
    DIAGNOSTICS_MAX, DOCUMENT_MAX_BYTES, Diagnostic, VALUES_MAX, check_agent_settings,
    check_entry_settings, check_fleet, check_fleet_value,
};
use seeds::each_seed;
use serde_json::Value;

/// Pieces out of which texts close to documents are made.
#[rustfmt::skip]
const PIECES: &[&str] = &[
    "{", "}", "[", "]", ":", ",", "\"", "\\", "// x\n", "/* ", "*/", "null", "true",
    "-1", "1e999", "0.5", "18446744073709551616", "\"models\"", "\"pools\"",
    "\"profiles\"", "\"size_mib\"", "\"size_gib\"", "\"a\":", "{}", "[]", "\u{feff}",
    "é", "\r", "\n", "\\ud800", "\"\\u0000\":",
];

fn codes(faults: &[Diagnostic]) -> Vec<ErrorCode> {
    faults.iter().map(|fault| fault.code).collect()
}

fn assert_bounded(faults: &[Diagnostic]) {
    assert!(!faults.is_empty(), "refused without a fault");
    assert!(faults.len() <= DIAGNOSTICS_MAX);
    for fault in faults {
        assert!(fault.message.len() < 1_000, "{fault:?}");
        assert!(fault.path.len() < 1_000, "{fault:?}");
    }
}

fn check_all(text: &str) {
    let results = [
        check_fleet(text).map(|_| ()),
        check_entry_settings(text).map(|_| ()),
        check_agent_settings(text).map(|_| ()),
    ];
    for result in results {
        if let Err(faults) = result {
            assert_bounded(&faults);
        }
    }
}

fn pieces(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=60)? {
        text.push_str(u.choose(PIECES)?);
    }
    Ok(text)
}

#[test]
fn odd_texts_are_refused_with_a_fault() {
    each_seed(2_000, 2_000, |u| {
        let text: String = u.arbitrary()?;
        check_all(&text);
        check_all(&pieces(u)?);
        Ok(())
    });
}

/// A good document with a few bytes changed, which reaches the deeper rules.
#[test]
fn damaged_documents_are_refused_with_a_fault() {
    let good = include_str!("../../../deploy/harbourline.jsonc");
    each_seed(100, 200, |u| {
        let mut text = good.to_owned();
        for _ in 0..u.int_in_range(1..=4)? {
            let at = u.int_in_range(0..=text.len() - 1)?;
            let to = u.int_in_range(at..=text.len().min(at + 20))?;
            if text.is_char_boundary(at) && text.is_char_boundary(to) {
                text.replace_range(at..to, u.choose(PIECES)?);
            }
        }
        check_all(&text);
        Ok(())
    });
}

#[test]
fn too_large_too_deep_or_too_many_is_one_fault() {
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
        ("bottomless", "[".repeat(800_000), ErrorCode::BadSyntax),
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
        let faults = check_fleet(&text).expect_err(name);
        assert_eq!(codes(&faults), [code], "{name}");
        assert_bounded(&faults);
    }
}

#[test]
fn the_number_of_faults_is_bounded() {
    let unknown: String = (0..5_000).map(|n| format!("\"x{n}\":1,")).collect();
    let faults = check_fleet(&format!("{{{unknown}}}")).expect_err("all unknown");
    assert_eq!(faults.len(), DIAGNOSTICS_MAX);
}

#[test]
fn a_deep_or_large_patched_document_is_one_fault() {
    let mut deep = Value::Null;
    for _ in 0..100 {
        deep = serde_json::json!({ "models": deep });
    }
    assert_eq!(codes(&check_fleet_value(&deep)), [ErrorCode::OutOfRange]);
    let large = Value::String("x".repeat(DOCUMENT_MAX_BYTES));
    assert_eq!(codes(&check_fleet_value(&large)), [ErrorCode::OutOfRange]);
}

/// A value of half a megabyte in the wrong place is not repeated whole.
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
        assert_bounded(&check_fleet(&text).expect_err("faults"));
        let agent = text.replace("deployment", "platform");
        assert_bounded(&check_agent_settings(&agent).expect_err("faults"));
    }
}
