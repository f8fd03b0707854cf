//! The header of a key is read strictly: whatever could be read in two ways is no key.

use access::{CREDENTIAL_MAX_BYTES, Credential, KeyDigest, parse_credential};

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";

fn read(values: &[&str]) -> Credential {
    parse_credential(values.iter().map(|value| value.as_bytes()), "Token")
}

fn key() -> Credential {
    Credential::Key(KeyDigest::of(KEY))
}

#[test]
fn one_header_with_the_scheme_and_a_key_is_a_key() {
    assert_eq!(read(&[&format!("Token {KEY}")]), key());
    assert_eq!(
        read(&[&format!("token {KEY}")]),
        key(),
        "schemes have no case"
    );
}

#[test]
fn no_header_is_no_credential() {
    assert_eq!(read(&[]), Credential::Absent);
}

/// A proxy in front may have judged the one header and this process would judge the
/// other, so a caller could show two names.
#[test]
fn two_headers_are_none() {
    let value = format!("Token {KEY}");
    assert_eq!(read(&[&value, &value]), Credential::Malformed);
}

#[test]
fn anything_else_is_malformed() {
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
        assert_eq!(read(&[value]), Credential::Malformed, "{value:?}");
    }
}

#[test]
fn a_key_has_a_case() {
    let upper = KEY.to_uppercase();
    assert_ne!(read(&[&format!("Token {upper}")]), key());
}

/// Whatever bytes come, reading ends, and only a well-formed value gives a key.
#[test]
fn any_bytes_are_read() {
    arbtest::arbtest(|u| {
        let values: Vec<Vec<u8>> = u.arbitrary()?;
        let read = parse_credential(values.iter().map(Vec::as_slice), "Token");
        let well_formed = values.len() == 1 && {
            let value = &values[0];
            let text = std::str::from_utf8(value).unwrap_or_default();
            text.to_ascii_lowercase().starts_with("token ")
        };
        assert!(well_formed || !matches!(read, Credential::Key(_)));
        Ok(())
    });
}

#[test]
fn debug_shows_no_key() {
    let shown = format!("{:?}", read(&[&format!("Token {KEY}")]));
    assert!(!shown.contains(KEY));
    assert_eq!(shown, "Key(KeyDigest(..))");
}
