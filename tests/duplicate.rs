//! Duplicates of a keyed call at an entry that does not run it.

mod fixture;

use cornellink::connection::client::Client;
use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::edge::stand_in::target::SERVICE_TIME_HEADER;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_process::EntryProcess;
use fixture::free_address;
use fixture::keys::Keys;
use fixture::served::Published;

const TIMEOUT: Duration = Duration::from_secs(30);

fn booking_call(key: &str) -> Call {
    let mut call = Call::new(Method::POST, Uri::from_static("/tickets/9"));
    call.set_header(header::WORKSPACE, "north");
    call.set_header(header::IDEMPOTENCY_KEY, key);
    call.set_header(SERVICE_TIME_HEADER, "200000");
    call.body = "nine".into();
    call
}

/// Starts two entries that are peers of each other.
fn start_peers(published: &Published, keys: &Keys) -> [EntryProcess; 2] {
    let addresses = [free_address(), free_address()];
    ["one", "two"].map(|name| {
        let own = addresses[usize::from(name == "two")];
        let mut peers = keys.settings_json(name, own);
        peers["static"] = serde_json::json!(addresses);
        published.entry(name, serde_json::json!({ "peers": peers }))
    })
}

/// Guards against a second run of a booking that is retried at another entry during the first run,
/// and against a duplicate that gets a different response.
#[test]
fn duplicate_at_another_entry_gets_the_first_response() {
    let (targets, addresses) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let published = Published::new(&addresses);
    let keys = Keys::new();
    let entries = start_peers(&published, &keys);
    let clients = entries.each_ref().map(|entry| Client::new(entry.listen, TIMEOUT));
    let send = |client: usize, key: String| {
        let client = &clients[client];
        async move { client.call(&booking_call(&key)).await.unwrap() }
    };

    let responses = block_on(async {
        // Entries refuse claims until they have read the stream, and a duplicate is refused until
        // its entry is connected to the holder.
        for round in 0.. {
            let key = format!("booking-{round}");
            let (first, second) = monoio::join!(send(0, key.clone()), send(1, key.clone()));
            if [&first, &second].iter().all(|response| response.header(header::CODE) == Some("100"))
            {
                return [first, second, send(0, key.clone()).await, send(1, key).await];
            }
        }
        unreachable!("the loop ends only by returning")
    });
    let responses = responses.unwrap();

    for response in &responses {
        assert_eq!(response.header(header::CODE), Some("100"));
        assert_eq!(response.body, "POST /tickets/9 nine");
    }
    let runs = targets.with(|targets| targets[0].runs());
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
