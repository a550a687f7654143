//! Addresses that tests give to the processes that they start.

mod fixture;

use std::net::{TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use fixture::free_address;

const ADDRESSES: usize = 4000;
const SPAWNERS: usize = 6;

/// Guards against an address that is taken when the process for which it was chosen binds it,
/// because a process that another test starts at that moment holds it.
#[test]
fn address_can_be_bound_while_processes_start() {
    let is_done = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("`true` runs");
                }
            });
        }
        let addresses = (0..ADDRESSES).map(|_| free_address());
        let failed = addresses.filter(|address| TcpListener::bind(address).is_err()).count();
        is_done.store(true, Ordering::Relaxed);
        failed
    });

    assert_eq!(failed, 0, "of {ADDRESSES} addresses");
}

/// Guards against the UDP address of an entry that another test's socket takes before it is bound.
#[test]
fn udp_address_can_be_bound_while_others_open_sockets() {
    let is_done = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    drop([(); 64].map(|()| UdpSocket::bind(("127.0.0.1", 0))));
                }
            });
        }
        let addresses = (0..ADDRESSES).map(|_| free_address());
        let failed = addresses.filter(|address| UdpSocket::bind(address).is_err()).count();
        is_done.store(true, Ordering::Relaxed);
        failed
    });

    assert_eq!(failed, 0, "of {ADDRESSES} addresses");
}
