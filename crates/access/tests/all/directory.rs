//! Keys lead to one workspace each, and what a directory says never has a key.

use access::{KeyDigest, Workspace, WorkspaceDirectory, WorkspaceDirectoryError};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        allowance: None,
    }
}

fn holder<'a>(directory: &'a WorkspaceDirectory, key: &str) -> Option<&'a str> {
    let workspace = directory.by_key(&KeyDigest::of(key));
    workspace.map(|workspace| &*workspace.name)
}

#[test]
fn each_key_of_a_workspace_leads_to_it() -> Result<(), WorkspaceDirectoryError> {
    let mut directory = WorkspaceDirectory::new();
    directory.add(workspace("desk"), ["one", "two"])?;
    directory.add(workspace("press"), ["three"])?;
    assert_eq!(holder(&directory, "one"), Some("desk"));
    assert_eq!(holder(&directory, "two"), Some("desk"));
    assert_eq!(holder(&directory, "three"), Some("press"));
    assert_eq!(holder(&directory, "four"), None);
    assert_eq!(directory.workspaces().count(), 2);
    Ok(())
}

/// The last keys of a workspace may be taken away while the workspace stays.
#[test]
fn a_workspace_without_keys_is_there_and_nobody_calls_in_its_name() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), []), Ok(()));
    assert!(directory.by_name("desk").is_some());
    assert_eq!(holder(&directory, ""), None);
}

#[test]
fn a_key_that_a_workspace_lists_twice_counts_once() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["one", "one"]), Ok(()));
    assert_eq!(holder(&directory, "one"), Some("desk"));
}

#[test]
fn a_key_of_two_workspaces_is_refused_and_not_shown() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["sEcReT"]), Ok(()));
    let fault = directory.add(workspace("press"), ["other", "sEcReT"]);
    let fault = fault.expect_err("a shared key");
    assert_eq!(
        fault.to_string(),
        "5005 duplicate_name: workspace press: key 1 is one of workspace desk as well"
    );
    assert!(!format!("{fault:?}{directory:?}").contains("sEcReT"));
}

#[test]
fn two_workspaces_of_one_name_are_refused() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["one"]), Ok(()));
    let fault = directory.add(workspace("desk"), ["two"]);
    let fault = fault.expect_err("a name that stands twice");
    assert!(fault.to_string().starts_with("5005 "));
}

#[test]
fn what_a_header_can_not_carry_is_refused() {
    for name in ["", "two words", "line\nbreak", "caf\u{e9}"] {
        let fault = WorkspaceDirectory::new().add(workspace(name), ["one"]);
        let fault = fault.expect_err(name);
        assert!(fault.to_string().starts_with("5008 "), "{fault}");
    }
    let fault = WorkspaceDirectory::new().add(workspace("desk"), ["one", "sEc ReT"]);
    let fault = fault.expect_err("a key with a space");
    assert!(fault.to_string().starts_with("5008 "), "{fault}");
    assert!(!fault.to_string().contains("sEc"));
}

#[test]
fn debug_shows_no_key() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["sEcReT"]), Ok(()));
    assert!(!format!("{directory:?}").contains("sEcReT"));
}

/// Configurations of the product's own entries hold digests, in hexadecimal.
#[test]
fn a_digest_is_read_from_its_digits() {
    let digits = "c5f92a5cb5f2f5fc9e5e3a0d1b8d4a25a0d3a0f8a6f35f7d0ac1d2b1a4b0c3d9";
    assert!(KeyDigest::from_hex(digits).is_some());
    assert_eq!(
        KeyDigest::from_hex(digits),
        KeyDigest::from_hex(&digits.to_uppercase())
    );
    for text in [
        "",
        "c5",
        &digits[1..],
        &format!("{digits}0"),
        &digits.replace('c', "g"),
    ] {
        assert_eq!(KeyDigest::from_hex(text), None, "{text}");
    }
    // SHA-256 of the empty text, as it is published.
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(KeyDigest::from_hex(empty), Some(KeyDigest::of("")));
}
