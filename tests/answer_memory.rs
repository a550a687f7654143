//! Memory that the answers of all targets occupy together.

mod fixture;

use cornellink::process::runtime::block_on;
use cornellink::request::relay::relay;
use fixture::gateway::{get, non_idempotent_route, until, TestGateway};
use fixture::scripted::{Script, ScriptedTarget};

/// Memory of the smallest VMs of the users in KiB.
const VM_KIB: u64 = 160 * 1024;
const CALLS: usize = 60;
const NAMES: [&str; 8] = ["t-1", "t-2", "t-3", "t-4", "t-5", "t-6", "t-7", "t-8"];

/// Most memory that the process has occupied so far, in KiB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against targets in trouble whose bodies have no end, each below the largest size, and
/// which fill the memory of the VM together.
#[test]
fn bodies_without_an_end_stay_within_the_memory() {
    let found = NAMES.map(|name| ScriptedTarget::start(name, Script::EndlessFlow, "0,0,64,100"));
    let targets: Vec<_> = NAMES.into_iter().zip(&found).collect();
    block_on(async move {
        let gateway = TestGateway::start(non_idempotent_route(), &targets).await;
        let state = gateway.gateway.clone();
        state.sharing.listed_entries.set(Some(1));
        state.settings.borrow_mut().probes = 1000.0;

        let calls: Vec<_> = (0..CALLS)
            .map(|number| {
                let call = get("/a/x", &format!("c-{number}"), 1000);
                monoio::spawn(relay(state.clone(), call))
            })
            .collect();
        let mut failed = 0;
        for call in calls {
            failed += usize::from(call.await.status.is_server_error());
        }
        let sends = || targets.iter().map(|(_, target)| target.seen().len()).sum::<usize>();
        let cuts = || targets.iter().map(|(_, target)| target.cut() as usize).sum::<usize>();
        until("all connections are closed", || cuts() == sends()).await;

        assert_eq!(failed, CALLS);
        assert!(sends() > CALLS / 2, "{} calls were sent", sends());
        assert!(peak() < VM_KIB, "{} KiB of {VM_KIB}", peak());
    })
    .unwrap();
}
