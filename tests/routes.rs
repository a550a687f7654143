//! Routes: matching of calls, and the split of a route's calls among services.

mod fixture;

use std::collections::HashMap;
use std::rc::Rc;

use cornellink::process::gateway::Gateway;
use fixture::gateway::{settings, HEADER_NAMES};
use fixture::registry::{route, table};

/// Guards against a short prefix that matches before a longer one.
#[test]
fn call_takes_the_route_with_the_longest_prefix_of_its_host() {
    let routes = vec![route("/a/", &[("s", 1)]), route("/a/b/", &[("t", 1)])];
    let table = table(1, routes).unwrap();
    let route_name = |host, path| table.find(host, path).map(|route| route.name.to_string());

    assert_eq!(route_name("app.test", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(route_name("app.test", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(route_name("APP.test:8080", "/a/").as_deref(), Some("/a/"));
    assert_eq!(route_name("app.test", "/a"), None);
    assert_eq!(route_name("other.test", "/a/b/"), None);
}

/// Guards against a split that meets the weights only over many more calls than one entry gets.
#[test]
fn fifty_calls_are_split_by_weight() {
    let route = route("/a/", &[("s", 90), ("t", 10)]);

    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..50 {
        *counts.entry(route.next_service().to_string()).or_default() += 1;
    }

    assert!((4..=6).contains(&counts["t"]), "{counts:?}");
}

/// Guards against calls to a service whose weight is zero.
#[test]
fn service_with_zero_weight_gets_no_calls() {
    let route = route("/a/", &[("s", 0), ("t", 3)]);

    assert!((0..100).all(|_| &**route.next_service() == "t"));
}

/// Guards against a route table whose routes cannot be applied.
#[test]
fn table_with_an_invalid_route_is_rejected() {
    let mut no_attempt = route("/a/", &[("s", 1)]);
    no_attempt.max_attempts = 0;
    let cases = [
        (vec![route("/a", &[("s", 1)])], "prefix"),
        (vec![route("/a/", &[("unknown", 1)])], "unknown service"),
        (vec![route("/a/", &[("s", 0)])], "no service with a weight"),
        (vec![route("/a/", &[])], "no service with a weight"),
        (vec![no_attempt], "no attempt"),
        (vec![route("/a/", &[("s", 1)]), route("/a/", &[("t", 1)])], "of another route"),
    ];
    for (routes, expected) in cases {
        let error = table(1, routes).unwrap_err().to_string();

        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against many entries that all start with the same service. Few of them get more than
/// three calls of a route, so the first service once got a share of 0.4 of the calls instead of
/// 0.25.
#[test]
fn three_calls_at_each_of_many_entries_are_split_by_weight() {
    let mut count = 0;
    for number in 0..150 {
        let gateway = Gateway::new(settings(&format!("entry-{number}"), None), HEADER_NAMES);
        let routes = vec![route("/a/", &[("s", 1), ("t", 3)])];
        gateway.set_table(Rc::new(table(1, routes).unwrap()));
        let table = gateway.table().unwrap();
        let route = table.find("app.test", "/a/x").unwrap();
        count += (0..3).filter(|_| &**route.next_service() == "s").count();
    }

    let share = count as f64 / 450.0;
    assert!((share - 0.25).abs() < 0.1, "{share}");
}
