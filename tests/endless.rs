//! Targets that send bytes without an end.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::version::route::Route;
use fixture::gateway::{idempotent_route, non_idempotent_route, until, TestGateway};
use fixture::scripted::{Script, ScriptedTarget};

/// A target that is chosen before any that tells `BUSY`.
const FREE: &str = "0,0,4,100";
const BUSY: &str = "1,0,4,150";

/// Sends a call to an endless target beside a sound one; returns the status, the time that it
/// took, and the calls that reached the sound one.
fn play(route: Route, script: Script) -> (u16, Duration, usize) {
    let endless = ScriptedTarget::start("endless", script, FREE);
    let sound = ScriptedTarget::start("sound", Script::Answer, BUSY);
    block_on(async move {
        let targets = [("endless", &endless), ("sound", &sound)];
        let gateway = TestGateway::start(route, &targets).await;
        let start = Instant::now();
        let answer = gateway.call("c-1").await;
        let span = start.elapsed();
        until("the endless connection is closed", || endless.cut() > 0).await;
        (answer.status.as_u16(), span, sound.seen().len())
    })
    .unwrap()
}

/// Guards against a target that sends a head, a body or noise without an end until the caller's
/// time is over or the memory is full.
#[test]
fn answers_without_an_end_are_given_up() {
    for script in [Script::EndlessHead, Script::EndlessBody, Script::EndlessNoise] {
        let (repeated, single) =
            (play(idempotent_route(), script), play(non_idempotent_route(), script));

        assert_eq!((repeated.0, repeated.2), (200, 1), "{script:?}");
        assert_eq!((single.0, single.2), (502, 0), "{script:?}");
        let longest = repeated.1.max(single.1);
        assert!(longest < Duration::from_millis(700), "{script:?}: {longest:?}");
    }
}

/// Guards against a body that comes slowly, so that it stays below the limit, and holds the call
/// beyond the route's time.
#[test]
fn slow_body_without_an_end_lasts_until_the_routes_time() {
    let (status, span, sends) = play(non_idempotent_route(), Script::EndlessTrickle);

    assert_eq!((status, sends), (504, 0));
    assert!(span < Duration::from_millis(1100), "{span:?}");
}

/// Guards against a probe whose answer has no end and delays the call.
#[test]
fn probe_without_an_end_is_given_up() {
    let (status, span, sends) = play(non_idempotent_route(), Script::EndlessProbe);

    assert_eq!((status, sends), (200, 1));
    assert!(span < Duration::from_millis(300), "{span:?}");
}
