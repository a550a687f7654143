//! Routes: which one takes a call, and how it is split among services.

mod fixture;

use std::collections::HashMap;
use std::rc::Rc;

use cornellink::process::gateway::Gateway;
use fixture::gateway::{settings, HEADER_NAMES};
use fixture::registry::{route, table};

/// Guards against a short prefix that takes the calls of a longer one.
#[test]
fn longest_prefix_of_the_host_takes_the_call() {
    let routes = vec![route("/a/", &[("s", 1)]), route("/a/b/", &[("t", 1)])];
    let table = table(1, routes).unwrap();
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());

    assert_eq!(name("app.test", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(name("app.test", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(name("APP.test:8080", "/a/").as_deref(), Some("/a/"));
    assert_eq!(name("app.test", "/a"), None);
    assert_eq!(name("other.test", "/a/b/"), None);
}

/// Guards against shares that only hold over many more calls than one entry gets.
#[test]
fn few_calls_follow_the_weights() {
    let route = route("/a/", &[("s", 90), ("t", 10)]);

    let mut counts: HashMap<String, u32> = HashMap::new();
    for _ in 0..50 {
        *counts.entry(route.next_service().to_string()).or_default() += 1;
    }

    assert!((4..=6).contains(&counts["t"]), "{counts:?}");
}

/// Guards against a service without weight that gets calls.
#[test]
fn service_without_weight_gets_nothing() {
    let route = route("/a/", &[("s", 0), ("t", 3)]);

    assert!((0..100).all(|_| &**route.next_service() == "t"));
}

/// Guards against routes in force that cannot be followed.
#[test]
fn table_with_an_unusable_route_is_refused() {
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

/// Guards against a large fleet whose entries all start with the same service: few of them get
/// more than three calls of a route, so that the first service got 0.4 instead of 0.25 of them.
#[test]
fn few_calls_at_each_of_many_entries_follow_the_weights() {
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
