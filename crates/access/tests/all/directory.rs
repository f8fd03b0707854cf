//! Each key belongs to one workspace, and no output of the directory contains a key.

use access::{KeyDigest, Workspace, WorkspaceDirectory, WorkspaceDirectoryError};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        allowance: None,
    }
}

fn workspace_of<'a>(directory: &'a WorkspaceDirectory, key: &str) -> Option<&'a str> {
    let workspace = directory.by_key(&KeyDigest::of(key));
    workspace.map(|workspace| &*workspace.name)
}

#[test]
fn each_key_identifies_its_workspace() -> Result<(), WorkspaceDirectoryError> {
    let mut directory = WorkspaceDirectory::new();
    directory.add(workspace("desk"), ["one", "two"])?;
    directory.add(workspace("press"), ["three"])?;
    assert_eq!(workspace_of(&directory, "one"), Some("desk"));
    assert_eq!(workspace_of(&directory, "two"), Some("desk"));
    assert_eq!(workspace_of(&directory, "three"), Some("press"));
    assert_eq!(workspace_of(&directory, "four"), None);
    assert_eq!(directory.workspaces().count(), 2);
    Ok(())
}

/// All keys of a workspace may be removed while the workspace stays.
#[test]
fn workspace_without_keys_has_no_callers() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), []), Ok(()));
    assert!(directory.by_name("desk").is_some());
    assert_eq!(workspace_of(&directory, ""), None);
}

#[test]
fn duplicate_key_in_one_workspace_counts_once() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["one", "one"]), Ok(()));
    assert_eq!(workspace_of(&directory, "one"), Some("desk"));
}

#[test]
fn key_of_two_workspaces_is_rejected_without_printing_it() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["sEcReT"]), Ok(()));
    let error = directory.add(workspace("press"), ["other", "sEcReT"]);
    let error = error.expect_err("a shared key");
    assert_eq!(
        error.to_string(),
        "5005 duplicate_name: workspace press: key 1 also belongs to workspace desk"
    );
    assert!(!format!("{error:?}{directory:?}").contains("sEcReT"));
}

#[test]
fn duplicate_workspace_name_is_rejected() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["one"]), Ok(()));
    let error = directory.add(workspace("desk"), ["two"]);
    let error = error.expect_err("a name that is listed twice");
    assert!(error.to_string().starts_with("5005 "));
}

#[test]
fn names_and_keys_that_no_header_can_carry_are_rejected() {
    for name in ["", "two words", "line\nbreak", "caf\u{e9}"] {
        let error = WorkspaceDirectory::new().add(workspace(name), ["one"]);
        let error = error.expect_err(name);
        assert!(error.to_string().starts_with("5008 "), "{error}");
    }
    let error = WorkspaceDirectory::new().add(workspace("desk"), ["one", "sEc ReT"]);
    let error = error.expect_err("a key with a space");
    assert!(error.to_string().starts_with("5008 "), "{error}");
    assert!(!error.to_string().contains("sEc"));
}

#[test]
fn debug_output_contains_no_key() {
    let mut directory = WorkspaceDirectory::new();
    assert_eq!(directory.add(workspace("desk"), ["sEcReT"]), Ok(()));
    assert!(!format!("{directory:?}").contains("sEcReT"));
}

/// The configurations of the product's own entries contain digests in hexadecimal.
#[test]
fn digest_is_parsed_from_hexadecimal() {
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
    // Published SHA-256 digest of the empty text.
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(KeyDigest::from_hex(empty), Some(KeyDigest::of("")));
}
