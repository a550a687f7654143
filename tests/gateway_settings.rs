//! Validation of the settings of a gateway, and the shutdown times that follow from them.

mod fixture;

use cornellink::process::gateway::settings::GatewaySettings;
use fixture::gateway::settings;

const SETTINGS: &str = include_str!("../examples/settings/gateway.jsonc");

/// Guards against invalid settings that are accepted and cause a failure later.
#[test]
fn invalid_settings_report_what_is_expected() {
    let cases = [
        (
            "\"ready\": \"10.1.1.5:8081\"",
            "\"ready\": \"10.1.1.5:8080\"",
            "`ready`: expected an address that no other listener has, found `listen`'s",
        ),
        ("\"retryRatio\": 0.2", "\"retryRatio\": 2", "a number from 0 to 1"),
        ("\"graceMs\": 6000", "\"graceMs\": 0", "a time from 1 to 3600000 milliseconds"),
        ("\"probes\": 60", "\"probe\": 60", "did you mean `probes`?"),
        ("\"directory\": \"10.1.0.2:7000\"", "\"directory\": \"store\"", "an address and port"),
    ];
    for (valid, invalid, expected) in cases {
        let text = SETTINGS.replace(valid, invalid);

        let error = GatewaySettings::parse(&text).unwrap_err().to_string();

        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against a process that is killed at the end of its grace period while calls are running.
#[test]
fn shutdown_limit_is_within_the_grace_period() {
    let gateway_settings = settings("entry-1", None);

    // New calls are accepted until the delay has passed; running calls are aborted at the limit.
    assert!(gateway_settings.shutdown_delay() < gateway_settings.shutdown_limit());
    // `graceMs` of the fixture's settings.
    assert!(gateway_settings.shutdown_limit().as_millis() < 2000);
}
