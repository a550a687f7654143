//! Runs the `cornellink` commands as processes against stand-in logs and entries.

mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::hosted::host_platform;
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::prelude::*;
use cornellink::version::check::limits::MAX_TEXT_BYTES;
use fixture::admin::{status, wait_revision};
use fixture::cli::{publish, run, TempFile};
use fixture::entry_process::EntryProcess;
use fixture::free_address;
use fixture::stream::document;

const RETENTION: Duration = Duration::from_secs(3600);

/// Guards against a command whose help lacks examples.
#[test]
fn help_of_every_command_has_examples() {
    let commands = [
        "check", "codes", "diff", "explain", "fields", "history", "promote", "publish", "restore",
        "status",
    ];

    for command in commands {
        let (exit, help) = run(&[command, "--help"]);
        assert_eq!(exit, 0);
        assert!(help.contains(&format!("Examples:\n  cornellink {command}")), "{command}");
    }
}

/// Scripts rely on the exit code to distinguish an invalid file, a missing file and wrong usage.
#[test]
fn check_exits_differently_for_invalid_file_missing_file_and_wrong_usage() {
    let good = TempFile::new("good.jsonc", &document("trial", 1));
    let bad = TempFile::new("bad.jsonc", "{ \"format\": 1 }");

    assert_eq!(run(&["check", good.path()]).0, 0);
    let (exit, text) = run(&["check", bad.path()]);
    assert_eq!(exit, 3);
    assert!(text.contains(":1:1: `environment`: expected a name"), "{text}");
    assert_eq!(run(&["check", "/no/such/file"]).0, 6);
    assert_eq!(run(&["check"]).0, 2);
    let (_, json) = run(&["check", "--json", bad.path()]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["problems"].as_array().unwrap().len(), 3);
}

/// Guards against a diff that reports layout and comments, or misses a changed field.
#[test]
fn diff_ignores_layout_and_lists_changed_fields() {
    let text = std::fs::read_to_string("examples/ebro.jsonc").unwrap();
    let reformatted = text.replace("  ", " ").replace("// The default", "// A default");
    let edited = text
        .replace("\"deadlineMs\": 800", "\"deadlineMs\": 900")
        .replace("\"name\": \"gates\", \"weight\": 4", "\"name\": \"gate\", \"weight\": 4");
    let (old, reformatted) =
        (TempFile::new("old.jsonc", &text), TempFile::new("relaid.jsonc", &reformatted));
    let edited = TempFile::new("edited.jsonc", &edited);

    assert_eq!(run(&["diff", old.path(), reformatted.path()]), (0, "no differences\n".into()));
    let (exit, changes) = run(&["diff", old.path(), edited.path()]);

    let expected = "~ service \"availability\", class \"check\": deadlineMs 800 -> 900\n\
                    + workspace \"gate\"\n- workspace \"gates\"\n";
    assert_eq!((exit, changes.as_str()), (1, expected));
}

/// Guards against an operator who overwrites a revision published meanwhile, or who is not shown
/// its author and changes.
#[test]
fn publish_over_newer_revision_fails_and_lists_its_author_and_changes() {
    let (_host, platform) = host_platform(RETENTION).unwrap();
    let files: Vec<TempFile> = (1..=3)
        .map(|queue| TempFile::new(&format!("conflict-{queue}.jsonc"), &document("trial", queue)))
        .collect();
    assert_eq!(publish(platform, "ana", "0", &files[0]).0, 0);
    assert_eq!(publish(platform, "jon", "1", &files[1]).0, 0);

    let (exit, text) = publish(platform, "ana", "1", &files[2]);

    assert_eq!(exit, 4);
    assert!(text.contains("revision 2 by `jon`"), "{text}");
    assert!(text.contains("~ service \"tickets\": queue 1 -> 2"), "{text}");
}

/// Guards against concurrent publishers of which none, or more than one, reports success.
#[test]
fn exactly_one_of_concurrent_publishers_succeeds() {
    let (_host, platform) = host_platform(RETENTION).unwrap();
    let threads: Vec<_> = (0..4)
        .map(|number| {
            std::thread::spawn(move || {
                let name = format!("race-{number}.jsonc");
                let file = TempFile::new(&name, &document("trial", number));
                publish(platform, &format!("author-{number}"), "0", &file).0
            })
        })
        .collect();

    let mut exits: Vec<i32> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    exits.sort_unstable();

    assert_eq!(exits, [0, 4, 4, 4]);
}

/// Guards against a second record, or a reported failure, after the log's response was lost.
#[test]
fn publish_with_lost_log_response_appends_one_accepted_record() {
    let (host, platform) = host_platform(RETENTION).unwrap();
    host.with(|service| {
        service.log.set_faults(LogFaults { lose_responses: true, ..LogFaults::default() });
    });
    let file = TempFile::new("lost.jsonc", &document("trial", 1));

    let (exit, text) = publish(platform, "ana", "0", &file);

    assert_eq!(exit, 0, "{text}");
    let (_, history) = run(&["history", "--json", "--platform", &platform.to_string()]);
    let rows: serde_json::Value = serde_json::from_str(&history).unwrap();
    assert_eq!(rows.as_array().unwrap().len(), 1);
    assert_eq!(rows[0]["verdict"], "accepted");
}

/// Guards against a publication that reports success while the log is down.
#[test]
fn publish_exits_with_unreachable_if_log_is_down() {
    let (host, platform) = host_platform(RETENTION).unwrap();
    host.with(|service| {
        service.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    });
    let file = TempFile::new("down.jsonc", &document("trial", 1));

    assert_eq!(publish(platform, "ana", "0", &file).0, 6);
}

/// Guards against `publish --wait` or `status` ignoring an entry that does not respond.
#[test]
fn wait_and_status_fail_if_an_entry_does_not_respond() {
    let (_host, platform) = host_platform(RETENTION).unwrap();
    let entry = EntryProcess::start("waiting", "a", platform);
    let file = TempFile::new("wait.jsonc", &document("trial", 1));
    let (platform, admin) = (platform.to_string(), entry.admin.to_string());
    let both_admins = format!("{admin},{}", free_address());
    wait_until_status_responds(entry.admin);

    let args = ["publish", "--wait", "--platform", &platform, "--timeout"];
    let reachable = run(&[&args[..], &["6", "--admin", &admin, file.path()]].concat());
    let unreachable = run(&[&args[..], &["1", "--admin", &both_admins, file.path()]].concat());

    assert_eq!(reachable.0, 0, "{}", reachable.1);
    assert_eq!(unreachable.0, 5, "{}", unreachable.1);
    assert!(unreachable.1.contains("does not respond"), "{}", unreachable.1);
    assert_eq!(run(&["status", "--admin", &admin]).0, 0);
    assert_eq!(run(&["status", "--admin", &both_admins]).0, 1);
}

fn wait_until_status_responds(admin: SocketAddr) {
    while status(admin).is_null() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against promoting a document that was never in force in trial, and against losing its
/// comments.
#[test]
fn promote_accepts_only_documents_that_were_in_force_in_trial() {
    let (_trial_host, trial) = host_platform(RETENTION).unwrap();
    let (_host, production) = host_platform(RETENTION).unwrap();
    let text = std::fs::read_to_string("examples/hungary.jsonc").unwrap();
    let tried = TempFile::new("tried.jsonc", &text);
    let untried = TempFile::new("untried.jsonc", &text.replace("\"slots\": 3", "\"slots\": 4"));
    assert_eq!(publish(trial, "ana", "0", &tried).0, 0);
    let (from, to) = (trial.to_string(), production.to_string());
    let args = ["promote", "--from", &from, "--to", &to];
    let overlay = ["--overlay", "examples/production/hungary.jsonc"];

    let refused = run(&[&args[..], &overlay, &["--yes", "--document", untried.path()]].concat());
    let preview = run(&[&args[..], &overlay].concat());
    let history = run(&["history", "--platform", &to, "--json"]);
    let promoted = run(&[&args[..], &overlay, &["--yes", "--document", tried.path()]].concat());

    assert_eq!(refused.0, 3, "{}", refused.1);
    assert_eq!((preview.0, history.1.as_str()), (0, "[]\n"));
    assert!(preview.1.contains("+ service \"ticket-desk\""), "{}", preview.1);
    assert_eq!(promoted.0, 0, "{}", promoted.1);
    let (_, published) = run(&["history", "--platform", &to, "--show", "1"]);
    assert!(published.contains("\"environment\": \"production\""));
    assert!(published.contains("// Repair tickets") && published.contains("10.11.1.11:8081"));
}

/// The retention of the log can remove the publication of the revision in force. `publish` then
/// fetches the revision from an entry, and refuses to publish if no entry is given.
#[test]
fn publish_fetches_expired_revision_from_entry() {
    let retention = Duration::from_millis(1500);
    let (_host, platform) = host_platform(retention).unwrap();
    // The entry's retention defaults to a day, so it does not renew during the test.
    let entry = EntryProcess::start("forgetful", "a", platform);
    let files = [1, 2]
        .map(|queue| TempFile::new(&format!("forgot-{queue}.jsonc"), &document("trial", queue)));
    assert_eq!(publish(platform, "ana", "0", &files[0]).0, 0);
    wait_revision(entry.admin, 1);
    std::thread::sleep(retention + Duration::from_millis(200));
    let (platform, admin) = (platform.to_string(), entry.admin.to_string());

    let without_admin = run(&["publish", "--platform", &platform, files[1].path()]);
    let with_admin = run(&["publish", "--platform", &platform, "--admin", &admin, files[1].path()]);

    assert_eq!(without_admin.0, 3, "{}", without_admin.1);
    assert_eq!(with_admin.0, 0, "{}", with_admin.1);
    wait_revision(entry.admin, 2);
}

/// Guards against an environment that can no longer be published to after all entries were down
/// for longer than the retention, and against a restore that replaces a revision in force.
#[test]
fn restore_succeeds_only_if_no_revision_is_in_force() {
    let retention = Duration::from_millis(600);
    let (_host, platform) = host_platform(retention).unwrap();
    let file = TempFile::new("restore.jsonc", &document("trial", 1));
    assert_eq!(publish(platform, "ana", "0", &file).0, 0);
    std::thread::sleep(retention + Duration::from_millis(200));
    let entry = EntryProcess::start("restored", "a", platform);
    wait_until_status_responds(entry.admin);
    let (platform, admin) = (platform.to_string(), entry.admin.to_string());
    let args = ["--platform", &platform, "--admin", &admin, file.path()];

    let published = run(&[&["publish"][..], &args].concat());
    let restored = run(&[&["restore", "--revision", "7"][..], &args].concat());
    wait_revision(entry.admin, 7);
    let again = run(&[&["restore", "--revision", "9"][..], &args].concat());

    assert_eq!((published.0, restored.0, again.0), (3, 0, 4), "{}{}", published.1, restored.1);
    assert_eq!(run(&[&["publish"][..], &args].concat()).0, 0);
    wait_revision(entry.admin, 8);
}

/// Guards against a document within the size limit that does not fit in a page of the log.
#[test]
fn document_of_maximum_size_is_published_and_replaced() {
    let (_host, platform) = host_platform(RETENTION).unwrap();
    let entry = EntryProcess::start("largest", "a", platform);
    // Each quote is escaped and takes two bytes in a record.
    let mut text = document("trial", 1) + "//" + &"\"".repeat(MAX_TEXT_BYTES);
    // An unoptimized build needs longer than the log's timeout to decode the full size.
    text.truncate(if cfg!(debug_assertions) { MAX_TEXT_BYTES / 8 } else { MAX_TEXT_BYTES });
    let file = TempFile::new("largest.jsonc", &text);

    let (exit, output) = publish(platform, "ana", "0", &file);

    assert_eq!(exit, 0, "{output}");
    wait_revision(entry.admin, 1);
    let second = document("trial", 2) + &" ".repeat(text.len() / 2);
    let second = TempFile::new("second.jsonc", &second);
    assert_eq!(publish(platform, "ana", "1", &second).0, 0);
    wait_revision(entry.admin, 2);
}
