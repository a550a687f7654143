//! What entries share: the order of readers and the messages.

use cornellink::edge::directory::{Change, Listing};
use cornellink::prelude::*;
use cornellink::process::gateway::sharing::order::Order;
use cornellink::process::gateway::sharing::update::Update;
use quickcheck::quickcheck;

fn listing(name: &str, domain: &str) -> Listing {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    Listing { name: name.into(), domain: domain.into(), address }
}

fn entries(domain: &str) -> Vec<Listing> {
    (0..5).map(|number| listing(&format!("entry-{number}"), domain)).collect()
}

fn first(order: &Order, now: Instant) -> String {
    order.first(now).map(|entry| entry.name.clone()).unwrap_or_default()
}

/// Guards against entries that each follow another reader.
#[test]
fn entries_agree_on_the_first_reader() {
    let now = Instant::now();
    let all = entries("a");
    let firsts = all.iter().map(|own| {
        let mut order = Order::default();
        let mut list = all.clone();
        list.rotate_left(all.iter().position(|one| one == own).unwrap());
        order.set(own, list);
        first(&order, now)
    });
    let firsts: Vec<String> = firsts.collect();

    assert!(firsts.iter().all(|name| *name == firsts[0]), "{firsts:?}");
}

/// Guards against a dead reader that is asked again and again, or never again.
#[test]
fn failed_reader_is_passed_over_for_some_time() {
    let now = Instant::now();
    let mut order = Order::default();
    order.set(&listing("entry-9", "a"), entries("a"));
    let reader = first(&order, now);

    order.fail(&reader, now);
    let next = first(&order, now);
    let due = order.next_try(&next).unwrap();

    assert_ne!(next, reader);
    assert_eq!(first(&order, due), reader);
    assert_eq!(order.next_try(&reader), None);
}

/// Guards against readers in another failure domain, whose bytes cross domains.
#[test]
fn entries_of_other_domains_do_not_read_for_this_one() {
    let mut order = Order::default();
    order.set(&listing("own", "b"), entries("a"));

    assert_eq!(first(&order, Instant::now()), "own");
}

/// Guards against an entry that waits for the list while the directory is away.
#[test]
fn seeds_are_asked_before_the_list_is_known() {
    let own = listing("own", "a");
    let seed = SocketAddr::from(([127, 0, 0, 2], 9));
    let mut order = Order::default();
    order.set_seeds(&own, &[own.address, seed]);

    assert_eq!(order.first(Instant::now()).unwrap().address, seed);
    order.fail(&seed.to_string(), Instant::now());
    assert_eq!(first(&order, Instant::now()), "own");
}

quickcheck! {
    /// A message means the same on both sides.
    fn updates_survive_the_wire(
        complete: bool, targets: Vec<(u64, String, Vec<u8>)>, next: Option<u64>, age: Option<u32>
    ) -> bool {
        let targets: Vec<Change> = targets
            .into_iter()
            .map(|(offset, key, value)| Change { offset, key: key.into(), value: value.into() })
            .collect();
        let update = Update {
            complete,
            routes: targets.first().cloned(),
            targets,
            routes_next: next,
            targets_next: next.map(|next| next / 2),
            age: age.map(|age| Duration::from_micros(u64::from(age))),
        };
        Update::decode(&update.encode()[4..]).unwrap() == update
    }

    /// Bytes that are too few for a message are an error, and no others end in a panic.
    fn short_messages_are_refused(bytes: Vec<u8>) -> bool {
        Update::decode(&bytes).is_err() || bytes.len() >= 6
    }
}
