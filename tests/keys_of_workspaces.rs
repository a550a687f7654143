//! Keys of calls and the workspaces that they name, through a gateway in the test process.

mod fixture;

use cornellink::edge::directory::{DecodedChange, Feed};
use cornellink::prelude::*;
use cornellink::process::gateway::run::caller_server;
use cornellink::process::runtime::block_on;
use cornellink::request::relay::relay;
use cornellink::version::route::Route;
use cornellink::version::workspace_table::{WorkspaceRow, WorkspaceTable};
use fixture::gateway::{get, idempotent_route, until, TestGateway, HEADER_NAMES};
use fixture::registry::{route, table, target};
use fixture::scripted::{Script, ScriptedTarget};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

/// Load of a target with room.
const FREE: &str = "0,0,4,100";

/// A workspace with the keys, and a limit if there is a rate.
fn row(name: &str, keys: &[&str], rate: Option<f64>) -> WorkspaceRow {
    WorkspaceRow {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate,
        ..WorkspaceRow::default()
    }
}

/// Objective and time limit of the routes, which let a call wait for a slow probe.
const OBJECTIVE: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 4000;

/// A route whose calls need a key.
fn private_route() -> Route {
    let timeout = Duration::from_millis(DEADLINE_MS);
    Route { objective: OBJECTIVE, timeout, ..idempotent_route() }
}

/// A route whose calls need no key.
fn public_route() -> Route {
    Route { public: true, ..route("/p/", &[("s", 1)]) }
}

/// Puts a version in force; without rows, the configuration has no workspaces.
async fn set_table(gateway: &TestGateway, version: u64, rows: Option<Vec<WorkspaceRow>>) {
    let mut table = table(version, vec![private_route(), public_route()]).unwrap();
    if let Some(rows) = rows {
        let workspaces = WorkspaceTable::new(rows, &mut |problem| panic!("{problem}"));
        table = table.with_workspaces(workspaces);
    }
    gateway.directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
    until("the version is in force", || {
        gateway.gateway.table().is_some_and(|table| table.version == version)
    })
    .await;
}

/// Starts a gateway with one target and these workspaces.
async fn start(receiver: &ScriptedTarget, rows: Option<Vec<WorkspaceRow>>) -> TestGateway {
    let gateway = TestGateway::empty();
    add_target(&gateway, "one", receiver);
    set_table(&gateway, 1, rows).await;
    until("the gateway is ready", || gateway.gateway.is_ready()).await;
    gateway
}

fn add_target(gateway: &TestGateway, id: &str, receiver: &ScriptedTarget) {
    let decoded = DecodedChange::Target(target(id, "s", receiver.address));
    gateway.directory.append(Feed::Targets, id, decoded);
}

/// A call with these headers, of which several may have the same name.
fn call_with(path: &str, headers: &[(&'static str, &str)]) -> Call {
    let mut call = get(path, "c-1", DEADLINE_MS);
    for (name, value) in headers {
        call.headers.append(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap());
    }
    call
}

async fn send(gateway: &TestGateway, path: &str, headers: &[(&'static str, &str)]) -> Answer {
    relay(gateway.gateway.clone(), call_with(path, headers)).await
}

/// The values of a header in a head in lower case.
fn values<'a>(head: &'a str, name: &str) -> Vec<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.filter(|(field, _)| *field == name).map(|(_, value)| value.trim()).collect()
}

/// The names of workspaces in the last call that a target received, which must hold no key.
fn last_workspaces(receiver: &ScriptedTarget) -> Vec<String> {
    let last = receiver.received_calls().pop().expect("the target received a call");
    assert_eq!(values(&last.head, HEADER_NAMES.key), [""; 0], "{}", last.head);
    assert!(!last.head.contains("k-1"), "{}", last.head);
    values(&last.head, HEADER_NAMES.workspace).into_iter().map(str::to_owned).collect()
}

/// Guards against calls that run without a key, with one that nobody holds, or with two of which the
/// target might take the other one.
#[test]
fn calls_without_a_single_known_key_are_refused() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = start(&receiver, Some(vec![row("w-1", &["k-1", "k-2"], None)])).await;

        let cases: [&[(&str, &str)]; 6] = [
            &[],
            &[(HEADER_NAMES.key, "")],
            &[(HEADER_NAMES.key, "k")],
            &[(HEADER_NAMES.key, "k-1"), (HEADER_NAMES.key, "k-1")],
            &[(HEADER_NAMES.key, "k-1"), (HEADER_NAMES.key, "k-2")],
            &[(HEADER_NAMES.key, "k-1,k-2")],
        ];
        for headers in cases {
            let response = send(&gateway, "/a/x", headers).await;
            assert_eq!(response.code(), Some(Code::RefusedKey), "{headers:?}");
            assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{headers:?}");
        }

        assert!(receiver.received_calls().is_empty());
        let response = send(&gateway, "/a/x", &[(HEADER_NAMES.key, "k-2")]).await;
        assert_eq!(response.code(), None);
        assert_eq!(last_workspaces(&receiver), ["w-1"]);
    })
    .unwrap();
}

/// Guards against a caller that names a workspace itself, with or without a key.
#[test]
fn only_the_key_decides_about_the_workspace() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    let forged = [(HEADER_NAMES.workspace, "other"), (HEADER_NAMES.workspace, "third")];
    block_on(async move {
        let gateway = start(&receiver, Some(vec![row("w-1", &["k-1"], None)])).await;
        let known = [forged[0], (HEADER_NAMES.key, "k-1"), forged[1]];
        let unknown = [forged[0], (HEADER_NAMES.key, "k-9"), forged[1]];
        let twice = [forged[0], (HEADER_NAMES.key, "k-1"), (HEADER_NAMES.key, "k-1")];

        let cases = [
            ("/a/x", &known[..], vec!["w-1"]),
            ("/p/x", &known, vec!["w-1"]),
            ("/p/x", &forged, vec![]),
            ("/p/x", &unknown, vec![]),
            ("/p/x", &twice, vec![]),
        ];
        for (path, headers, expected) in cases {
            let response = send(&gateway, path, headers).await;
            assert_eq!(response.code(), None, "{path} {headers:?}");
            assert_eq!(last_workspaces(&receiver), expected, "{path} {headers:?}");
        }
    })
    .unwrap();
}

/// Sends a call as text to the gateway's own server and returns the status line.
async fn send_text(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes().to_vec()).await.0.unwrap();
    let (length, buffer) = stream.read(vec![0; 4096]).await;
    let head = String::from_utf8_lossy(&buffer[..length.unwrap()]).into_owned();
    head.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a key that reaches the target because `connection` lists it, because its name has
/// another case, or in a trailer; and against a name of a workspace that is removed on its way out.
#[test]
fn no_form_of_a_key_reaches_the_target() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = start(&receiver, Some(vec![row("w-1", &["k-1"], None)])).await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = caller_server(&gateway.gateway, listener);
        monoio::spawn(async move { server.serve().await });
        let own = "call-id: c-1\r\ndeadline-ms: 1000\r\n";
        let trailer = "transfer-encoding: chunked\r\ntrailer: key\r\n\r\n0\r\nKey: k-1\r\nworkspace: other\r\n\r\n";

        let cases = [
            ("GET", "/a/x", "KEY: k-1\r\nWorkSpace: other\r\n\r\n", "w-1"),
            ("GET", "/a/x", "key: k-1\r\nconnection: workspace\r\nworkspace: other\r\n\r\n", "w-1"),
            ("GET", "/p/x", "Key: k-1\r\nconnection: close\r\n\r\n", "w-1"),
            ("GET", "/p/x", "key: k-9 k-1\r\nworkspace: other\r\n\r\n", ""),
            ("POST", "/p/x", trailer, ""),
        ];
        for (method, path, rest, expected) in cases {
            let text = format!("{method} {path} HTTP/1.1\r\nhost: app.test\r\n{own}{rest}");
            let status = send_text(address, &text).await;
            assert!(status.starts_with("HTTP/1.1 200"), "{status}: {text}");
            assert_eq!(last_workspaces(&receiver).join(","), expected, "{text}");
        }
        // The key is dropped as a header of the connection, or it is used; the target never gets it.
        let before = receiver.received_calls().len();
        let listed = "key: k-1\r\nconnection: key, workspace\r\n\r\n";
        let text = format!("GET /a/x HTTP/1.1\r\nhost: app.test\r\n{own}{listed}");
        let status = send_text(address, &text).await;
        if receiver.received_calls().len() > before {
            assert_eq!(last_workspaces(&receiver), ["w-1"]);
        } else {
            assert!(status.starts_with("HTTP/1.1 401"), "{status}");
        }
    })
    .unwrap();
}

/// Guards against keys that are judged by an entry that does not know them yet.
#[test]
fn without_a_configuration_calls_get_503() {
    block_on(async {
        let gateway = TestGateway::empty();

        let response = send(&gateway, "/a/x", &[(HEADER_NAMES.key, "k-1")]).await;

        assert_eq!(response.code(), Some(Code::NotReady));
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    })
    .unwrap();
}

/// Guards against headers of callers that are lost although the routes name no workspaces.
#[test]
fn without_workspaces_both_headers_are_passed_on() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = start(&receiver, None).await;
        let headers = [
            (HEADER_NAMES.key, "a"),
            (HEADER_NAMES.key, "b"),
            (HEADER_NAMES.workspace, "c"),
            (HEADER_NAMES.workspace, "d"),
        ];

        let response = send(&gateway, "/a/x", &headers).await;

        assert_eq!(response.code(), None);
        let head = receiver.received_calls().pop().unwrap().head;
        assert_eq!(values(&head, HEADER_NAMES.key), ["a", "b"]);
        assert_eq!(values(&head, HEADER_NAMES.workspace), ["c", "d"]);
    })
    .unwrap();
}

/// Guards against a key, or a forged name of a workspace, at a target once the routes name no
/// workspaces any more.
#[test]
fn keys_stay_secret_without_workspaces() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = start(&receiver, Some(vec![row("w-1", &["k-1"], None)])).await;
        set_table(&gateway, 2, None).await;

        let headers = [(HEADER_NAMES.key, "k-1"), (HEADER_NAMES.workspace, "w-1")];
        let response = send(&gateway, "/a/x", &headers).await;

        assert_eq!(response.code(), None);
        assert!(last_workspaces(&receiver).is_empty());
    })
    .unwrap();
}

/// Sends a call, changes the configuration while the call waits for the probe of the only target, and
/// returns the response and the target.
async fn change_while_waiting(
    before: Option<Vec<WorkspaceRow>>,
    after: Option<Vec<WorkspaceRow>>,
) -> (Answer, ScriptedTarget) {
    let receiver = ScriptedTarget::start("one", Script::SlowStart, FREE);
    let gateway = start(&receiver, before).await;
    let headers = [(HEADER_NAMES.key, "k-1"), (HEADER_NAMES.workspace, "other")];
    let waiting = monoio::spawn(relay(gateway.gateway.clone(), call_with("/a/x", &headers)));
    until("the call has connected to the target", || receiver.connections() > 0).await;
    set_table(&gateway, 2, after).await;
    assert!(receiver.received_calls().is_empty(), "the call did not wait");
    (waiting.await, receiver)
}

/// Guards against a call that runs after its key was taken away.
#[test]
fn a_waiting_call_whose_key_is_taken_away_is_refused() {
    block_on(async {
        let before = Some(vec![row("w-1", &["k-1"], None)]);
        let after = Some(vec![row("w-1", &["k-2"], None)]);

        let (response, receiver) = change_while_waiting(before, after).await;

        assert_eq!(response.code(), Some(Code::RefusedKey));
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
        assert!(receiver.received_calls().is_empty());
    })
    .unwrap();
}

/// Guards against routes that the removal of the last workspace opens, for calls that wait and for
/// those that arrive behind it.
#[test]
fn the_removal_of_the_last_workspace_admits_nobody() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let before = || Some(vec![row("w-1", &["k-1"], None)]);
        let (response, waited_for) = change_while_waiting(before(), Some(Vec::new())).await;
        assert_eq!(response.code(), Some(Code::RefusedKey));
        assert!(waited_for.received_calls().is_empty());

        let gateway = start(&receiver, before()).await;
        set_table(&gateway, 2, Some(Vec::new())).await;
        for headers in [&[][..], &[(HEADER_NAMES.key, "k-1")], &[(HEADER_NAMES.key, "k-9")]] {
            let response = send(&gateway, "/a/x", headers).await;
            assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{headers:?}");
        }
        assert!(receiver.received_calls().is_empty());
        let response = send(&gateway, "/p/x", &[(HEADER_NAMES.key, "k-1")]).await;
        assert_eq!(response.code(), None);
        assert!(last_workspaces(&receiver).is_empty());
    })
    .unwrap();
}

/// Guards against a call that runs for the workspace that held its key before, and against one that is
/// refused since the target at which the move was noticed counts as tried.
#[test]
fn a_waiting_call_whose_key_is_moved_runs_for_the_other_workspace() {
    block_on(async {
        let before = Some(vec![row("w-1", &["k-1"], None), row("w-2", &[], None)]);
        let after = Some(vec![row("w-1", &[], None), row("w-2", &["k-1"], None)]);

        let (response, receiver) = change_while_waiting(before, after).await;

        assert_eq!(response.code(), None);
        assert_eq!(last_workspaces(&receiver), ["w-2"]);
    })
    .unwrap();
}

/// Guards against a moved call that is not counted by the quota of its new workspace, or is refused
/// with another reason. The pool of the new workspace is empty, as there is no number of entries.
#[test]
fn a_waiting_call_whose_key_is_moved_is_refused_by_the_other_quota() {
    block_on(async {
        let before = Some(vec![row("w-1", &["k-1"], None)]);
        let after = Some(vec![row("w-2", &["k-1"], Some(0.001))]);

        let (response, receiver) = change_while_waiting(before, after).await;

        assert_eq!(response.code(), Some(Code::RefusedQuota));
        assert_eq!(response.status, StatusCode::TOO_MANY_REQUESTS);
        assert!(receiver.received_calls().is_empty());
    })
    .unwrap();
}

/// Guards against a key at a target, if the configuration gets its workspaces while the call waits.
#[test]
fn a_waiting_call_gets_the_workspace_of_a_configuration_that_names_the_first_ones() {
    block_on(async {
        let after = Some(vec![row("w-1", &["k-1"], None)]);

        let (response, receiver) = change_while_waiting(None, after).await;

        assert_eq!(response.code(), None);
        assert_eq!(last_workspaces(&receiver), ["w-1"]);
    })
    .unwrap();
}

/// Guards against a call without a known key that runs, if the configuration gets its workspaces while
/// the call waits.
#[test]
fn a_waiting_call_is_refused_by_a_configuration_that_names_the_first_workspaces() {
    block_on(async {
        let (response, receiver) =
            change_while_waiting(None, Some(vec![row("w-1", &["k-2"], None)])).await;

        assert_eq!(response.code(), Some(Code::RefusedKey));
        assert!(receiver.received_calls().is_empty());
    })
    .unwrap();
}

/// Guards against a key at a target, or a refused call, if the configuration loses its workspaces while
/// the call waits.
#[test]
fn a_waiting_call_runs_without_its_key_if_the_workspaces_are_gone() {
    block_on(async {
        let before = Some(vec![row("w-1", &["k-1"], None)]);

        let (response, receiver) = change_while_waiting(before, None).await;

        assert_eq!(response.code(), None);
        assert!(last_workspaces(&receiver).is_empty());
    })
    .unwrap();
}

/// Guards against a refusal by the target that hides from the caller that its key was taken away.
#[test]
fn a_call_whose_key_is_gone_after_a_refused_attempt_gets_401() {
    let receiver = ScriptedTarget::start("one", Script::RefuseLate, FREE);
    block_on(async move {
        let gateway = start(&receiver, Some(vec![row("w-1", &["k-1"], None)])).await;
        let call = call_with("/a/x", &[(HEADER_NAMES.key, "k-1")]);
        let waiting = monoio::spawn(relay(gateway.gateway.clone(), call));
        until("the target has the call", || !receiver.received_calls().is_empty()).await;
        set_table(&gateway, 2, Some(vec![row("w-1", &["k-2"], None)])).await;

        let response = waiting.await;

        assert_eq!(response.code(), Some(Code::RefusedKey));
        assert_eq!(receiver.received_calls().len(), 1);
    })
    .unwrap();
}
