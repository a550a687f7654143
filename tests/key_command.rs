//! Runs `cornellink key` as a process and checks the files that it writes.

mod fixture;

use std::path::PathBuf;
use std::process::Command;

use cornellink::connection::quic::identity::{Identity, KeyPaths};
use fixture::keys::Keys;

fn run_key(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_cornellink"))
        .arg("key")
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

fn load_identity(authority: PathBuf, folder: &str) -> cornellink::connection::Result<Identity> {
    Identity::load(&KeyPaths {
        authority: authority.display().to_string(),
        certificate: format!("{folder}/entry-1.pem"),
        key: format!("{folder}/entry-1.key"),
    })
}

/// Guards against key files that an entry cannot load, and against keys lost because a second run
/// overwrites them.
#[test]
fn issued_renewed_and_bundled_keys_load_and_are_not_overwritten() {
    let folder = Keys::new();
    let (old, new) = (folder.file("old"), folder.file("new"));
    let (old, new) = (old.to_str().unwrap(), new.to_str().unwrap());
    let bundle = folder.file("bundle.pem");

    for out in [old, new] {
        assert!(run_key(&["authority", "--environment", "trial", "--out", out]).0);
        assert!(!run_key(&["authority", "--environment", "trial", "--out", out]).0);
    }
    assert!(!run_key(&["renew", "entry-1", "--authority", old, "--out", old]).0);
    assert!(run_key(&["issue", "entry-1", "--authority", old, "--out", old]).0);
    assert!(!run_key(&["issue", "entry-1", "--authority", old, "--out", old]).0);
    assert!(run_key(&["renew", "entry-1", "--authority", new, "--out", old, "--days", "7"]).0);
    let (first, second) = (format!("{old}/authority.pem"), format!("{new}/authority.pem"));
    assert!(run_key(&["bundle", &first, &second, "--out", bundle.to_str().unwrap()]).0);

    let identity = load_identity(bundle, old).unwrap();
    assert!(identity.belongs_to("entry-1"));
}

/// Guards against an entry name that is not valid in a certificate.
#[test]
fn issue_for_name_with_dot_fails() {
    let folder = Keys::new();
    let out = folder.file("keys");
    let out = out.to_str().unwrap();
    assert!(run_key(&["authority", "--environment", "trial", "--out", out]).0);

    let (is_ok, text) = run_key(&["issue", "entry.1", "--authority", out, "--out", out]);

    assert!(!is_ok);
    assert!(text.contains("`entry.1` is not a valid name"), "{text}");
}

/// Guards against a private key that other users of the machine can read.
#[test]
fn private_key_file_is_readable_by_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Keys::new();
    let out = folder.file("keys");

    assert!(run_key(&["authority", "--environment", "trial", "--out", out.to_str().unwrap()]).0);

    let mode = std::fs::metadata(out.join("authority.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}
