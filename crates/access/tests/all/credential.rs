//! The header is parsed strictly: a value that could be read in two ways is not a key.

use access::{CREDENTIAL_MAX_BYTES, Credential, KeyDigest, parse_credential};

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";

fn parse(values: &[&str]) -> Credential {
    parse_credential(values.iter().map(|value| value.as_bytes()), "Token")
}

fn key() -> Credential {
    Credential::Key(KeyDigest::of(KEY))
}

#[test]
fn single_header_with_scheme_and_key_is_a_key() {
    assert_eq!(parse(&[&format!("Token {KEY}")]), key());
    assert_eq!(
        parse(&[&format!("token {KEY}")]),
        key(),
        "schemes are case-insensitive"
    );
}

#[test]
fn missing_header_is_absent() {
    assert_eq!(parse(&[]), Credential::Absent);
}

/// A proxy in front of this process may have checked one of two headers while this
/// process uses the other, so that a caller could use two identities.
#[test]
fn two_headers_are_malformed() {
    let value = format!("Token {KEY}");
    assert_eq!(parse(&[&value, &value]), Credential::Malformed);
}

#[test]
fn any_other_value_is_malformed() {
    let values = [
        String::new(),
        KEY.to_owned(),
        format!("Bearer {KEY}"),
        "Token".to_owned(),
        "Token ".to_owned(),
        format!("Token  {KEY}"),
        format!("Token\t{KEY}"),
        format!("Token {KEY} "),
        format!("Token {KEY}, Token {KEY}"),
        format!("Token {KEY},other"),
        "Token k\u{e9}y".to_owned(),
        format!("Token {}", "k".repeat(CREDENTIAL_MAX_BYTES)),
    ];
    for value in &values {
        assert_eq!(parse(&[value]), Credential::Malformed, "{value:?}");
    }
}

#[test]
fn keys_are_case_sensitive() {
    let upper = KEY.to_uppercase();
    assert_ne!(parse(&[&format!("Token {upper}")]), key());
}

/// Parsing terminates for any bytes, and only a well-formed value gives a key.
#[test]
fn any_bytes_are_parsed() {
    arbtest::arbtest(|u| {
        let values: Vec<Vec<u8>> = u.arbitrary()?;
        let parsed = parse_credential(values.iter().map(Vec::as_slice), "Token");
        let well_formed = values.len() == 1 && {
            let value = &values[0];
            let text = std::str::from_utf8(value).unwrap_or_default();
            text.to_ascii_lowercase().starts_with("token ")
        };
        assert!(well_formed || !matches!(parsed, Credential::Key(_)));
        Ok(())
    });
}

#[test]
fn debug_output_contains_no_key() {
    let output = format!("{:?}", parse(&[&format!("Token {KEY}")]));
    assert!(!output.contains(KEY));
    assert_eq!(output, "Key(KeyDigest(..))");
}
