//! Calls of a workspace with a quota through real gateways on loopback.

mod fixture;

use cornellink::edge::directory::{DecodedChange, EntryRecord, Feed};
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::prelude::*;
use cornellink::process::gateway::quota;
use cornellink::process::gateway::sharing::loads::{self, LoadSocket};
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use cornellink::request::relay::relay;
use cornellink::version::workspace_table::{WorkspaceRow, WorkspaceTable};
use fixture::gateway::{get, idempotent_route, settings, until, HEADER_NAMES};
use fixture::registry::{table, target};
use fixture::scripted::{Script, ScriptedTarget};

const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
/// Calls of a workspace that may run in a window of 5 s by the default settings.
const MAX_CALLS: usize = 152;

fn workspaces(limited_keys: &[&str], free_keys: &[&str]) -> WorkspaceTable {
    let row = |name: &str, keys: &[&str], rate| WorkspaceRow {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate,
        burst: Some(BURST),
        ..WorkspaceRow::default()
    };
    let rows = vec![row("limited", limited_keys, Some(RATE)), row("free", free_keys, None)];
    WorkspaceTable::new(rows, &mut |problem| panic!("{problem}"))
}

/// Gateways that know each other and route to one target.
struct Gateways {
    all: Vec<Rc<Gateway>>,
    directories: Vec<Rc<StandInDirectory>>,
}

impl Gateways {
    async fn start(count: usize, receiver: &ScriptedTarget) -> Self {
        let records: Vec<EntryRecord> = (0..count)
            .map(|number| EntryRecord {
                name: format!("entry-{number}"),
                domain: "a".into(),
                address: fixture::free_address(),
                link_mbps: 100,
            })
            .collect();
        let mut this = Self { all: Vec::new(), directories: Vec::new() };
        for record in &records {
            let settings = settings(&record.name, Some(record.address));
            let gateway = Rc::new(Gateway::new(settings, HEADER_NAMES));
            let socket = LoadSocket::bind(record.address).unwrap();
            let writer = socket.writer().unwrap();
            monoio::spawn(quota::task::run(gateway.clone(), Some(writer)));
            monoio::spawn(loads::share(gateway.clone(), socket));
            gateway.sharing.fleet.record_list(count as u32 - 1, true, Instant::now());
            gateway.quotas.set_list(record, &records);
            let directory = Rc::new(StandInDirectory::default());
            monoio::spawn(follower::follow(gateway.clone(), directory.clone()));
            let decoded = DecodedChange::Target(target("one", "s", receiver.address));
            directory.append(Feed::Targets, "one", decoded);
            this.all.push(gateway);
            this.directories.push(directory);
        }
        this.set_keys(1, &["secret"], &["open"]).await;
        this
    }

    /// Puts a version with these keys in force.
    async fn set_keys(&self, version: u64, limited: &[&str], free: &[&str]) {
        for directory in &self.directories {
            let table = table(version, vec![idempotent_route()]).unwrap();
            let table = table.with_workspaces(workspaces(limited, free));
            directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
        }
        for gateway in &self.all {
            until("the version is in force", || {
                gateway.is_ready() && gateway.table().is_some_and(|table| table.version == version)
            })
            .await;
        }
    }

    async fn call(&self, entry: usize, key: &'static str) -> Answer {
        let mut call = get("/a/x", "c-1", 1000);
        call.set_header(HEADER_NAMES.key, key);
        relay(self.all[entry].clone(), call).await
    }
}

/// Guards against a quota that each entry grants on its own, and against one that no call gets.
#[test]
fn three_entries_share_a_quota() {
    let receiver = ScriptedTarget::start("one", Script::Respond, "0,0,4,100");
    block_on(async move {
        let gateways = Gateways::start(3, &receiver).await;
        let start = Instant::now();
        let (mut passed, mut refused) = (0, 0);
        while start.elapsed() < Duration::from_secs(4) {
            for entry in 0..3 {
                let response = gateways.call(entry, "secret").await;
                match response.code() {
                    None => passed += 1,
                    Some(Code::RefusedQuota) => {
                        refused += 1;
                        assert_eq!(response.status, StatusCode::TOO_MANY_REQUESTS);
                        let wait: f64 = response.header("retry-after").unwrap().parse().unwrap();
                        assert!(wait > 0.0, "{wait}");
                    }
                    Some(code) => panic!("unexpected code {code:?}"),
                }
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }

        println!("{passed} passed, {refused} refused in 4 s");
        assert!(passed <= MAX_CALLS, "{passed} calls passed");
        assert!(passed as f64 >= 4.0 * RATE, "{passed} calls passed");
        assert!(refused > 0);
        assert_eq!(receiver.received_calls().len(), passed);
    })
    .unwrap();
}

/// Guards against calls without a limit that wait for other entries or are refused.
#[test]
fn a_workspace_without_a_limit_is_not_refused() {
    let receiver = ScriptedTarget::start("one", Script::Respond, "0,0,4,100");
    block_on(async move {
        let gateways = Gateways::start(2, &receiver).await;

        for number in 0..100 {
            let response = gateways.call(number % 2, "open").await;
            assert_eq!(response.code(), None, "call {number}");
        }
    })
    .unwrap();
}

/// Guards against a key that is moved into a workspace with a limit and keeps its freedom.
#[test]
fn a_moved_key_counts_for_its_new_workspace() {
    let receiver = ScriptedTarget::start("one", Script::Respond, "0,0,4,100");
    block_on(async move {
        let gateways = Gateways::start(1, &receiver).await;
        gateways.set_keys(2, &["open"], &["secret"]).await;

        let mut refused = 0;
        for _ in 0..2 * MAX_CALLS {
            let code = gateways.call(0, "open").await.code();
            refused += usize::from(code == Some(Code::RefusedQuota));
        }

        assert!(refused >= MAX_CALLS, "{refused} calls refused");
    })
    .unwrap();
}

/// Guards against a call that stays among the waiting ones after its caller has left.
#[test]
fn a_call_of_a_caller_that_left_waits_no_longer() {
    let receiver = ScriptedTarget::start("one", Script::Respond, "0,0,4,100");
    block_on(async move {
        let gateways = Gateways::start(2, &receiver).await;
        let plan = gateways.all[0].table().unwrap();
        let plan = plan.workspaces().unwrap().find(b"secret").unwrap().clone();

        for gateway in &gateways.all {
            // Dropped before the first reply can be read.
            drop(monoio::time::timeout(Duration::ZERO, quota::admit(gateway, &plan)).await);
            assert_eq!(gateway.quotas.waiting_count(), 0);
        }
    })
    .unwrap();
}
