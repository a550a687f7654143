//! Routes: which one takes a call, and how it is split among services.

mod fixture;

use std::collections::HashMap;

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
        *counts.entry(route.assign().to_string()).or_default() += 1;
    }

    assert!((4..=6).contains(&counts["t"]), "{counts:?}");
}

/// Guards against a service without weight that gets calls.
#[test]
fn service_without_weight_gets_nothing() {
    let route = route("/a/", &[("s", 0), ("t", 3)]);

    assert!((0..100).all(|_| &**route.assign() == "t"));
}

/// Guards against routes in force that cannot be followed.
#[test]
fn table_with_an_unusable_route_is_refused() {
    let mut no_attempt = route("/a/", &[("s", 1)]);
    no_attempt.attempts = 0;
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
