//! Memory used by the responses of all targets together.

mod fixture;

use cornellink::process::runtime::block_on;
use cornellink::request::relay::relay;
use fixture::gateway::{get, non_idempotent_route, until, TestGateway};
use fixture::scripted::{Script, ScriptedTarget};

/// Memory of the users' smallest VMs.
const SMALLEST_VM_KIB: u64 = 160 * 1024;
const CALL_COUNT: usize = 60;
const TARGET_NAMES: [&str; 8] = ["t-1", "t-2", "t-3", "t-4", "t-5", "t-6", "t-7", "t-8"];

/// Returns the peak memory of the process so far in KiB.
fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against faulty targets that send endless bodies: each one stays below the size limit, but
/// together they would fill the VM's memory.
#[test]
fn endless_bodies_stay_within_the_memory_of_the_vm() {
    let scripted =
        TARGET_NAMES.map(|name| ScriptedTarget::start(name, Script::EndlessFlow, "0,0,64,100"));
    let targets: Vec<_> = TARGET_NAMES.into_iter().zip(&scripted).collect();
    block_on(async move {
        let gateway = TestGateway::start(non_idempotent_route(), &targets).await;
        let state = gateway.gateway.clone();
        state.sharing.fleet.record_list(0, true, std::time::Instant::now());
        state.settings.borrow_mut().probes = 1000.0;

        let calls: Vec<_> = (0..CALL_COUNT)
            .map(|number| {
                let call = get("/a/x", &format!("c-{number}"), 1000);
                monoio::spawn(relay(state.clone(), call))
            })
            .collect();
        let mut failed = 0;
        for call in calls {
            failed += usize::from(call.await.status.is_server_error());
        }
        let received =
            || targets.iter().map(|(_, target)| target.received_calls().len()).sum::<usize>();
        let cancelled =
            || targets.iter().map(|(_, target)| target.cancelled_calls() as usize).sum::<usize>();
        until("all connections are closed", || cancelled() == received()).await;

        assert_eq!(failed, CALL_COUNT);
        assert!(received() > CALL_COUNT / 2, "{} calls were received", received());
        assert!(
            peak_memory_kib() < SMALLEST_VM_KIB,
            "{} KiB of {SMALLEST_VM_KIB}",
            peak_memory_kib()
        );
    })
    .unwrap();
}
