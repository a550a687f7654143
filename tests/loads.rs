//! Readings of targets' loads, as entries tell them each other.

mod fixture;

use cornellink::edge::directory::EntryRecord;
use cornellink::prelude::*;
use cornellink::process::gateway::load_sample::{Load, LoadSample};
use cornellink::process::gateway::probing::hear;
use cornellink::process::gateway::sharing::loads::{decode, encode, peers, TargetSample};
use cornellink::process::runtime::block_on;
use fixture::gateway::{idempotent_route, TestGateway};
use fixture::scripted::{Script, ScriptedTarget};
use quickcheck::quickcheck;

fn told(id: &str, taken: Instant, load: &str) -> TargetSample {
    TargetSample {
        id: id.into(),
        sample: LoadSample { taken, load: Load::parse(load), healthy: true },
    }
}

fn entry(name: &str, domain: &str, port: u16) -> EntryRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    EntryRecord { name: name.into(), domain: domain.into(), address, link_mbps: 100 }
}

/// Guards against a reading that looks newer at another entry than it is.
#[test]
fn readings_keep_their_age() {
    let start = Instant::now();
    let readings = [told("i-1", start, "3,1,8,250"), told("i-2", start, "0,0,8,100")];

    let sent = encode(&readings, start + Duration::from_millis(20));
    let heard = decode(&sent, start + Duration::from_secs(5)).unwrap();

    let taken = start + Duration::from_millis(4980);
    assert_eq!(heard, [told("i-1", taken, "3,1,8,250"), told("i-2", taken, "0,0,8,100")]);
}

quickcheck! {
    /// Guards against a datagram of anybody's that ends the process.
    fn any_datagram_is_read_or_refused(bytes: Vec<u8>, cut: u8) -> bool {
        let now = Instant::now();
        let mut sent = encode(&[told("i-1", now, "3,1,8,250")], now);
        sent.truncate(usize::from(cut));
        let _ = decode(&bytes, now);
        decode(&sent, now).map_or(true, |heard| heard.len() <= 1)
    }
}

/// Guards against messages of all entries to all others in a large fleet, and to other domains.
#[test]
fn readings_go_to_few_entries_of_the_domain() {
    let records: Vec<EntryRecord> = (0..90)
        .map(|number| entry(&format!("e{number}"), ["a", "b", "c"][number % 3], number as u16))
        .collect();

    let mut told = [0; 90];
    for own in &records {
        let peers = peers(own, &records);
        assert_eq!(peers.len(), 8);
        for peer in peers {
            let other = usize::from(peer.port());
            assert!(records[other].domain == own.domain && records[other].name != own.name);
            told[other] += 1;
        }
    }

    assert!(told.iter().all(|count| *count == 8), "{told:?}");
}

/// Guards against a late message that replaces what the entry has heard itself since.
#[test]
fn older_readings_of_others_change_nothing() {
    let target = ScriptedTarget::start("one", Script::Answer, "0,0,4,100");
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &target)]).await;
        let now = Instant::now();
        let state = &gateway.gateway;
        let last = || state.registry.borrow().find("one").unwrap().sample;

        hear(state, &told("one", now, "1,0,4,100"));
        hear(state, &told("one", now - Duration::from_millis(30), "4,4,4,500"));
        hear(state, &told("unknown", now, "4,4,4,500"));

        assert_eq!(last(), Some(told("one", now, "1,0,4,100").sample));
    })
    .unwrap();
}

quickcheck! {
    /// Guards against figures that overflow and make a full target look free.
    fn load_with_more_calls_is_never_shorter(running: u32, waiting: u32, slots: u32) -> bool {
        let slots = slots.max(1);
        [(running, waiting), (u32::MAX, waiting), (running, u32::MAX)].iter().all(|found| {
            let (running, waiting) = *found;
            let load = Load { running, waiting, slots, pace: 100 };
            let fewer = Load { running: running / 2, waiting: waiting / 2, ..load };
            load.queue() >= fewer.queue() && load.stretch() >= fewer.stretch()
        })
    }
}
