//! Complete sessions of callers, targets and operators, compared with golden transcripts.

mod fixture;

use cornellink::edge::stand_in::hosted::host_platform;
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::prelude::*;
use fixture::admin::wait_revision;
use fixture::cli::{run, TempFile};
use fixture::entry_process::EntryProcess;
use fixture::golden::Transcript;
use fixture::raw::{AfterReply, RawClient, RawServer};
use fixture::served::Published;
use fixture::stream::document;

const RETENTION: Duration = Duration::from_secs(3600);
const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncornellink-refused: overloaded\r\n\
                       content-length: 0\r\n\r\n";
const SERVER_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nfail";
const TRUNCATED_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut";

/// Sends raw bytes to an entry and adds them and the response to the transcript.
fn send_call(transcript: &mut Transcript, entry: &EntryProcess, sent: &str) {
    transcript.add(">", if sent.len() < 400 { sent } else { &sent[..60] });
    let mut client = RawClient::connect(entry.listen);
    client.send(sent.as_bytes());
    match client.read_response(false) {
        Some((head, body)) => {
            transcript.add("<", &format!("{head}{}", String::from_utf8_lossy(&body)))
        }
        None => transcript.add("<", "(closed)"),
    }
}

fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nhost: x\r\n{fields}content-length: {length}\r\n\r\n{body}")
}

/// Guards against a change of the bytes sent to callers and targets, for calls that a target
/// answers, refuses or loses.
#[test]
fn target_calls_match_the_golden_transcript() {
    let mut transcript = Transcript::default();
    let north = "cornellink-workspace: north\r\n";
    let replies = [
        ("ok", OK_RESPONSE, AfterReply::KeepOpen),
        ("refused", REFUSAL, AfterReply::KeepOpen),
        ("failed", SERVER_ERROR, AfterReply::KeepOpen),
        ("lost", "", AfterReply::Close),
        ("cut", TRUNCATED_RESPONSE, AfterReply::Close),
        ("late", "", AfterReply::KeepOpen),
    ];
    for (name, reply, then) in replies {
        let target = RawServer::start(reply, then);
        let published = Published::new(&[target.address]);
        let entry = published.entry(name, serde_json::json!({}));
        transcript.add("#", name);
        let fields = format!("{north}cornellink-deadline-ms: 2000\r\nx-form: 12\r\n");
        send_call(&mut transcript, &entry, &request("POST", "/tickets/1?a=b", &fields, "book"));
        for received in target.requests() {
            transcript.add("target", &received);
        }
    }
    transcript.check("calls");
}

/// Guards against a change of the responses to calls that are refused before they reach a target.
#[test]
fn refusals_match_the_golden_transcript() {
    let mut transcript = Transcript::default();
    let target = RawServer::start(OK_RESPONSE, AfterReply::KeepOpen);
    let published = Published::new(&[target.address]);
    let entry = published.entry("refusals", serde_json::json!({}));
    let north = "cornellink-workspace: north\r\n";
    let long_value = "a".repeat(20_000);
    let calls = [
        request("GET", "/nowhere", north, ""),
        request("PATCH", "/tickets", north, ""),
        request("GET", "/tickets", "cornellink-workspace: west\r\n", ""),
        request("GET", "/tickets", "", ""),
        request("GET", "/tickets", &format!("{north}cornellink-deadline-ms: 0\r\n"), ""),
        request("GET", "/tickets", &format!("{north}content-length: 5\r\n"), ""),
        format!("GET /tickets HTTP/1.1\r\nx: {long_value}\r\n\r\n"),
        "POST /tickets HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n".into(),
        "GET /tickets HTTP/1.1\nhost: x\n\r\n\r\n".into(),
    ];
    for sent in calls {
        send_call(&mut transcript, &entry, &sent);
    }
    assert_eq!(target.requests().len(), 0);
    transcript.check("refusals");
}

/// Guards against a change of the response of an entry that has no document in force yet.
#[test]
fn not_ready_response_matches_the_golden_transcript() {
    let (_platform, platform) = host_platform(RETENTION).unwrap();
    let entry = EntryProcess::start("unready", "a", platform);
    let mut transcript = Transcript::default();
    while std::net::TcpStream::connect(entry.listen).is_err() {
        std::thread::yield_now();
    }
    send_call(&mut transcript, &entry, &request("GET", "/tickets", "", ""));
    transcript.check("not-ready");
}

/// Guards against a change of the output of operator commands: an invalid document, a publication,
/// a conflict, an outage of the log and the explanation of a code.
#[test]
fn operator_commands_match_the_golden_transcript() {
    let (host, platform) = host_platform(RETENTION).unwrap();
    let entry = EntryProcess::start("operators", "a", platform);
    let files =
        [1, 2, 3].map(|queue| TempFile::new(&format!("{queue}"), &document("trial", queue)));
    let invalid =
        TempFile::new("bad", "{\n  \"format\": 1,\n  \"enviroment\": 3,\n  \"maxEntries\": 0\n}");
    let (log, admin) = (platform.to_string(), entry.admin.to_string());
    let mut transcript = Transcript::default();
    transcript.replace(&log, "PLATFORM");
    transcript.replace(&admin, "ADMIN");
    transcript.replace(invalid.path(), "bad.jsonc");
    for (file, name) in files.iter().zip(["one.jsonc", "two.jsonc", "three.jsonc"]) {
        transcript.replace(file.path(), name);
    }
    let publish = |author: &'static str, replace: &'static str, file: &TempFile| {
        let args = ["publish", "--platform", &log, "--author", author, "--replace", replace];
        [&args[..], &[file.path()]].concat().iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let arguments = |text: &[&str]| text.iter().map(ToString::to_string).collect::<Vec<_>>();
    let commands = [
        arguments(&["check", invalid.path()]),
        publish("ana", "0", &files[0]),
        publish("jon", "1", &files[1]),
        publish("ana", "1", &files[2]),
        arguments(&["diff", files[0].path(), files[1].path()]),
        arguments(&["explain", "304"]),
        arguments(&["explain", "999"]),
    ];
    let run_command = |transcript: &mut Transcript, command: &[String]| {
        let args: Vec<&str> = command.iter().map(String::as_str).collect();
        let (exit, text) = run(&args);
        transcript.add("$", &format!("cornellink {}", command.join(" ")));
        transcript.add(" ", &format!("{text}exit code {exit}"));
    };
    for command in &commands {
        run_command(&mut transcript, command);
    }
    wait_revision(entry.admin, 2);
    run_command(&mut transcript, &arguments(&["status", "--admin", &admin]));
    host.with(|platform| platform.log.set_faults(LogFaults { down: true, ..Default::default() }));
    run_command(&mut transcript, &publish("jon", "2", &files[2]));
    transcript.check("operators");
}
