//! Tests of the parts of the quotas: limits, spans, pools, order of owners, wallet and messages.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::gateway::quota::limit::MARGIN;
use cornellink::process::gateway::quota::node::Node;
use cornellink::process::gateway::quota::owner_order::{
    shard_count, shard_of, OwnerOrder, ShardOwner, Stamp,
};
use cornellink::process::gateway::quota::pool::{Grant, Pool, RefusalChange};
use cornellink::process::gateway::quota::span::Span;
use cornellink::process::gateway::quota::verdict::{Admission, Verdict};
use cornellink::process::gateway::quota::wallet::Wallet;
use cornellink::process::gateway::quota::wire::{
    Answered, Ask, Reply, Request, ShardKey, StampEcho, MAX_ASKS, MAX_BYTES,
};
use cornellink::process::gateway::quota::WorkspaceId;
use cornellink::version::workspace_table::Quota;
use fixture::quota::{limit, ms, record, START, TERMS};
use quickcheck::quickcheck;

const WORKSPACE: WorkspaceId = WorkspaceId(17);
const QUOTA: Quota = Quota { rate: 100.0, burst: 100.0 };

/// A pool that has received refill without a gap for 10 s.
fn full_pool() -> Pool {
    let mut pool = Pool::new(START - ms(10_000));
    for step in 0..=100 {
        pool.deposit(ms(100), 1, START - ms(10_000 - step * 100));
    }
    pool
}

quickcheck! {
    /// Guards against figures by which more calls could run in a window than is promised.
    fn refill_and_expiry_stay_within_the_promise(rate: u16, burst: u16) -> bool {
        let quota = Quota { rate: f64::from(rate) + 0.1, burst: f64::from(burst) };
        let limit = limit("w", quota);
        let most = limit.refill * (TERMS.window + limit.expiry + MARGIN).as_secs_f64();
        most <= TERMS.max_calls(quota) * 1.000_001 && limit.refill > 0.0
    }
}

/// Guards against refill of a pause, and against a span that is handed over twice.
#[test]
fn a_span_is_bounded_and_taken_once() {
    let mut span = Span::starting(START);

    assert_eq!(span.take(START + ms(120)), ms(120));
    assert_eq!(span.take(START + ms(120)), ms(0));
    assert_eq!(span.take(START + ms(5000)), ms(300));
    assert_eq!(span.take(START + ms(4000)), ms(0));
}

/// Guards against tokens that outlive their expiry.
#[test]
fn tokens_expire() {
    let limit = limit("w", QUOTA);
    let mut pool = full_pool();

    let later = START + limit.expiry + ms(10);

    assert_eq!(pool.take(WORKSPACE, 1, &limit, later).granted, 0);
}

/// Guards against a workspace without calls that collects more than the refill of its expiry.
#[test]
fn a_full_pool_holds_the_refill_of_the_expiry() {
    let limit = limit("w", QUOTA);
    let mut pool = full_pool();

    let grant = pool.take(WORKSPACE, 10_000, &limit, START);

    let most = limit.refill * limit.expiry.as_secs_f64();
    assert!(f64::from(grant.granted) <= most + limit.refill * 0.1, "{grant:?}, {most}");
    assert!(f64::from(grant.granted) >= QUOTA.burst, "{grant:?}");
    assert!(grant.wait > Duration::ZERO && grant.wait <= ms(10), "{grant:?}");
}

/// Guards against entries that count too few others: the refill of all is at most the elapsed time.
#[test]
fn a_pool_accepts_no_more_than_the_elapsed_time() {
    let limit = limit("w", QUOTA);
    let mut pool = Pool::new(START);
    for step in 1..=100 {
        (0..10).for_each(|_| pool.deposit(ms(100), 1, START + ms(step * 100)));
    }

    let received = pool.received(Duration::from_secs(20), START + ms(10_000));

    assert!(received <= 10.4 + 1e-6, "{received}");
    assert!(pool.take(WORKSPACE, 1, &limit, START + ms(10_000)).granted == 1);
}

/// Guards against the tokens of an old, higher limit.
#[test]
fn a_lowered_limit_cuts_the_tokens_at_once() {
    let (high, low) = (limit("w", QUOTA), limit("w", Quota { rate: 1.0, burst: 1.0 }));
    let mut pool = full_pool();
    pool.take(WORKSPACE, 1, &high, START);

    let grant = pool.take(WORKSPACE, 1000, &low, START);

    let most = low.refill * low.expiry.as_secs_f64();
    assert!(f64::from(grant.granted) <= most, "{grant:?}, {most}");
}

/// Guards against a duplicate that adds its refill again.
#[test]
fn a_pool_takes_each_request_once() {
    let mut pool = Pool::new(START);

    assert!(pool.is_new(1, 5, START));
    assert!(!pool.is_new(1, 5, START));
    assert!(!pool.is_new(1, 4, START));
    assert!(pool.is_new(2, 5, START));
}

/// Guards against a log line for each refused call.
#[test]
fn a_pool_reports_the_begin_and_the_end_of_refusals() {
    let limit = limit("w", QUOTA);
    let mut pool = Pool::new(START);
    let mut changes = Vec::new();
    (0..50).for_each(|_| assert_eq!(pool.take(WORKSPACE, 1, &limit, START).granted, 0));

    for second in 1..=3 {
        let now = START + Duration::from_secs(second);
        pool.sweep(limit.expiry, now, &mut |change| changes.push(change));
    }

    let change =
        |is_refusing, refused| RefusalChange { workspace: WORKSPACE, is_refusing, refused };
    assert_eq!(changes, [change(true, 50), change(false, 0)]);
}

/// Guards against state of workspaces and entries that are gone.
#[test]
fn an_unused_pool_forgets_everything() {
    let limit = limit("w", QUOTA);
    let mut pool = full_pool();
    pool.is_new(1, 1, START);
    pool.take(WORKSPACE, 1, &limit, START);

    (1..=9).for_each(|second| {
        pool.sweep(limit.expiry, START + Duration::from_secs(second), &mut |_| {})
    });

    assert!(pool.is_idle());
}

/// Guards against entries that disagree about the owner although they know the same list.
#[test]
fn all_entries_sort_owners_alike() {
    let links = [10, 200, 100, 200, 50];
    let records: Vec<_> = (0..5).map(|number| record(number, links[number])).collect();
    let owner_seen_by = |own: usize, shard: u32| {
        let mut order = OwnerOrder::default();
        order.set_list(&records[own], &records, 2);
        match order.first(shard, true) {
            ShardOwner::Own => records[own].address,
            ShardOwner::Other(index) => order.address(index).unwrap(),
        }
    };

    for shard in 0..2 {
        let first = owner_seen_by(0, shard);
        assert!((1..5).all(|own| owner_seen_by(own, shard) == first));
        assert!([records[1].address, records[3].address].contains(&first));
    }
}

/// Guards against calls that wait for an owner which does not respond, and against one that is never
/// used again.
#[test]
fn an_unresponsive_owner_is_left_out_until_it_responds() {
    let records: Vec<_> = (0..3).map(|number| record(number, 100 - number as u32)).collect();
    let mut order = OwnerOrder::default();
    order.set_list(&records[2], &records, 1);
    let ShardOwner::Other(first) = order.first(0, true) else { panic!("entry 0 comes first") };

    order.record_failure(first, START);
    assert_ne!(order.first(0, true), ShardOwner::Other(first));
    assert_eq!(order.take_retry(0, START + ms(999)), None);
    assert_eq!(order.take_retry(0, START + ms(1000)), Some(first));
    assert_eq!(order.take_retry(0, START + ms(2999)), None);
    assert_eq!(order.take_retry(0, START + ms(3000)), Some(first));

    order.record_response(first, Stamp { stamp: 1, received: START + ms(3001) });
    assert_eq!(order.first(0, true), ShardOwner::Other(first));
}

/// Guards against an entry that decides by its own share alone, as it is the first in its list while
/// the lists of the others do not name it yet, and against one that asks entries which are gone.
#[test]
fn an_entry_without_senders_asks_the_next_one() {
    let records: Vec<_> = (0..3).map(|number| record(number, 100 - number as u32)).collect();
    let mut order = OwnerOrder::default();
    order.set_list(&records[0], &records, 1);

    let with_senders = order.first(0, true);
    let asked: Vec<ShardOwner> = (0..3)
        .map(|_| {
            let owner = order.first(0, false);
            if let ShardOwner::Other(index) = owner {
                order.record_failure(index, START);
            }
            owner
        })
        .collect();

    let address = |owner: &ShardOwner| match owner {
        ShardOwner::Own => records[0].address,
        ShardOwner::Other(index) => order.address(*index).unwrap(),
    };
    assert_eq!(with_senders, ShardOwner::Own);
    let addresses: Vec<_> = asked.iter().map(address).collect();
    assert_eq!(addresses, [1, 2, 0].map(|number: usize| records[number].address));
    assert!(order.take_retry(0, START + ms(1000)).is_some());
}

/// Guards against a workspace that sends many times its usual and takes the last room at targets from
/// those within their quotas, and against one that is put back long after.
#[test]
fn a_refused_workspace_counts_as_limited_for_a_second() {
    let (id, other) = (WorkspaceId::new("w"), WorkspaceId::new("other"));
    let mut wallet = Wallet::default();

    wallet.refuse(id, ms(5), START);

    assert!(wallet.is_limited(id, START + ms(999)));
    assert!(!wallet.is_limited(id, START + ms(1000)));
    assert!(!wallet.is_limited(other, START));
}

/// Guards against shards that none or all workspaces belong to.
#[test]
fn workspaces_are_spread_over_the_shards() {
    assert_eq!([shard_count(0), shard_count(16), shard_count(125), shard_count(300)], [1, 1, 2, 5]);

    let mut counts = [0; 5];
    for number in 0..1000 {
        counts[shard_of(WorkspaceId::new(&format!("w{number}")), 5) as usize] += 1;
    }

    assert!(counts.iter().all(|count| (100..300).contains(count)), "{counts:?}");
}

/// Guards against a token that is used after its validity or twice.
#[test]
fn granted_tokens_expire_and_are_used_once() {
    let mut wallet = Wallet::default();
    wallet.add(WORKSPACE, 2, START);

    assert!(wallet.take(WORKSPACE, START + ms(99)));
    assert!(!wallet.take(WORKSPACE, START + ms(100)));

    wallet.add(WORKSPACE, 1, START);
    assert!(wallet.take(WORKSPACE, START));
    assert!(!wallet.take(WORKSPACE, START));
}

/// Guards against a refusal that an entry repeats for long without asking.
#[test]
fn a_refusal_holds_for_50_ms() {
    let mut wallet = Wallet::default();

    wallet.refuse(WORKSPACE, ms(400), START);

    assert_eq!(wallet.refusal(WORKSPACE, START + ms(49)), Some(ms(351)));
    assert_eq!(wallet.refusal(WORKSPACE, START + ms(50)), None);
}

fn request(asks: usize) -> Request {
    let ask = |number| Ask { workspace: WorkspaceId(u64::MAX - number as u64), count: u32::MAX };
    Request {
        sender: u64::MAX,
        number: u64::MAX,
        shard: ShardKey { index: 1, count: 2 },
        entries: 125,
        span: ms(250),
        echo: Some(StampEcho { stamp: u64::MAX, held_us: 1_000_000 }),
        wants_reply: true,
        asks: (0..asks).map(ask).collect(),
    }
}

fn reply(grants: usize) -> Reply {
    let grant = Grant { granted: u32::MAX, wait: Duration::from_micros(u32::MAX.into()) };
    let answered =
        |number| Answered { workspace: WorkspaceId(u64::MAX - number as u64), grant: Some(grant) };
    let grants = (0..grants).map(answered).collect();
    Reply { number: u64::MAX, stamp: u64::MAX, accepted: true, grants }
}

/// Guards against messages that a packet cannot hold, or that arrive changed.
#[test]
fn the_largest_messages_fit_and_are_decoded() {
    let (sent, answered) = (request(MAX_ASKS).encode(), reply(MAX_ASKS).encode());

    assert!(sent.len() <= MAX_BYTES && answered.len() <= MAX_BYTES);
    assert_eq!((sent[0], answered[0]), (3, 4));
    assert_eq!(Request::decode(&sent).unwrap(), request(MAX_ASKS));
    assert_eq!(Reply::decode(&answered).unwrap(), reply(MAX_ASKS));
}

/// Guards against a message of another version or an endless one that is taken for a request.
#[test]
fn unusable_messages_are_refused() {
    let mut other_format = request(1).encode();
    other_format[0] = 5;
    let mut long = request(1).encode();
    long.resize(MAX_BYTES + 1, 0);
    let shard = Request { shard: ShardKey { index: 2, count: 2 }, ..request(1) };

    for message in [other_format, long, Vec::new(), request(MAX_ASKS + 1).encode(), shard.encode()]
    {
        assert!(Request::decode(&message).is_err());
    }
}

quickcheck! {
    /// Guards against a datagram from any sender that makes the process panic.
    fn any_datagram_is_decoded_or_refused(bytes: Vec<u8>, cut: u8) -> bool {
        let mut message = vec![3];
        message.extend(&bytes);
        let _ = Request::decode(&message);
        message[0] = 4;
        let _ = Reply::decode(&message);
        let mut sent = request(3).encode();
        sent.truncate(usize::from(cut));
        Request::decode(&sent).map_or(true, |received| received.asks.len() <= 3)
    }

    /// Guards against a forged request that makes the process panic or gets a token without a stamp.
    fn a_request_without_a_stamp_gets_nothing(stamp: u64, held: u64, number: u64) -> bool {
        let mut node = owner();
        let mut forged = request(1);
        forged.shard = ShardKey { index: 0, count: 1 };
        forged.number = number;
        // The owner's clock starts at its random number, which no other process knows.
        forged.echo = Some(StampEcho { stamp: stamp / 2, held_us: held });
        node.receive_request(&forged, record(1, 1).address, START);
        let sent = node.take_outbox();
        let reply = Reply::decode(&sent[0].message).unwrap();
        !reply.accepted && reply.grants.is_empty()
    }
}

/// What the owner adds of its own when a request asks for tokens: the longest span, undivided.
const OWN_SHARE: f64 = 0.3;

/// The stamp that an owner sends to an entry without one.
fn stamp_of(node: &mut Node, now: Duration) -> u64 {
    let mut first = request(0);
    first.shard = ShardKey { index: 0, count: 1 };
    first.echo = None;
    node.receive_request(&first, record(1, 1).address, now);
    Reply::decode(&node.take_outbox()[0].message).unwrap().stamp
}

/// A request that was sent 10 ms after the stamp was received and is read `transit` later.
fn receive_handover(node: &mut Node, number: u64, stamp: u64, transit: Duration) -> Option<Reply> {
    let mut handover = request(1);
    handover.shard = ShardKey { index: 0, count: 1 };
    (handover.number, handover.entries) = (number, 4);
    handover.echo = Some(StampEcho { stamp, held_us: 10_000 });
    node.receive_request(&handover, record(1, 1).address, START + ms(10) + transit);
    node.take_outbox().first().map(|datagram| Reply::decode(&datagram.message).unwrap())
}

/// Guards against refill of a time long ago: a paused process sends or reads messages late.
#[test]
fn a_late_request_is_neither_accepted_nor_granted() {
    let mut node = owner();
    let stamp = stamp_of(&mut node, START);

    let late = receive_handover(&mut node, 1, stamp, ms(101)).unwrap();
    assert!(!late.accepted && late.grants.is_empty());
    assert_eq!(node.owner_figures(START + ms(200)).received, 0.0);

    let timely = receive_handover(&mut node, 2, stamp, ms(99)).unwrap();
    assert!(timely.accepted && timely.grants.len() == 1);
    let received = node.owner_figures(START + ms(200)).received;
    assert_eq!(received, OWN_SHARE + 0.25 / 4.0);
}

/// Guards against a datagram that the network doubles.
#[test]
fn a_doubled_request_is_accepted_once() {
    let mut node = owner();
    let stamp = stamp_of(&mut node, START);

    assert!(receive_handover(&mut node, 1, stamp, ms(1)).is_some());
    assert!(receive_handover(&mut node, 1, stamp, ms(2)).is_none());

    let received = node.owner_figures(START + ms(200)).received;
    assert_eq!(received, OWN_SHARE + 0.25 / 4.0);
}

/// Guards against a stamp of the owner's earlier process, whose state is gone.
#[test]
fn a_stamp_of_an_earlier_process_is_refused() {
    let stamp = stamp_of(&mut owner(), START);
    let mut restarted = Node::new(1 << 40);
    restarted.set_entries(Some(1), START);

    let reply = receive_handover(&mut restarted, 1, stamp, ms(1)).unwrap();

    assert!(!reply.accepted);
}

/// The only entry of its list.
fn owner() -> Node {
    let mut node = Node::new(u64::MAX - 12_345);
    node.set_entries(Some(1), START - ms(1000));
    node.set_list(&record(0, 100), &[record(0, 100)]);
    node.set_limits([limit("w", QUOTA)].into_iter(), START - ms(1000));
    node
}

/// Guards against a call that waits or is refused although its workspace has no limit.
#[test]
fn a_workspace_without_a_limit_is_admitted_at_once() {
    let mut node = owner();

    let admission = node.admit(WorkspaceId::new("other"), START);

    assert_eq!(admission, Admission::Decided(Verdict::Admitted));
    assert!(node.take_outbox().is_empty());
}

/// Guards against refill before an entry knows how many share it.
#[test]
fn an_entry_without_a_number_of_entries_refills_nothing() {
    let mut node = Node::new(1);
    node.set_entries(None, START);
    node.set_limits([limit("w", QUOTA)].into_iter(), START);

    let admission = node.admit(WorkspaceId::new("w"), START + ms(300));

    assert!(matches!(admission, Admission::Decided(Verdict::Refused(_))), "{admission:?}");
}

/// Guards against a call that is counted after its caller has left.
#[test]
fn a_cancelled_call_gets_no_verdict() {
    let mut node = Node::new(1);
    let records = [record(0, 100), record(1, 10)];
    node.set_entries(Some(2), START);
    node.set_list(&records[1], &records);
    node.set_limits([limit("w", QUOTA)].into_iter(), START);
    let Admission::Waiting(ticket) = node.admit(WorkspaceId::new("w"), START) else {
        panic!("the owner is another entry")
    };

    node.cancel(ticket);
    (0..100).for_each(|step| node.poll(START + ms(step * 10)));

    assert!(node.take_verdicts().is_empty());
}

/// Guards against a call that waits for an owner for longer than 250 ms.
#[test]
fn a_call_waits_for_at_most_250_ms() {
    let mut node = Node::new(1);
    let records: Vec<_> = (0..10).map(|number| record(number, 100 - number as u32)).collect();
    node.set_entries(Some(10), START);
    node.set_list(&records[9], &records);
    node.set_limits([limit("w", QUOTA)].into_iter(), START);
    let Admission::Waiting(ticket) = node.admit(WorkspaceId::new("w"), START) else {
        panic!("the owner is another entry")
    };

    (0..=25).for_each(|step| node.poll(START + ms(step * 10)));

    let verdicts = node.take_verdicts();
    assert!(matches!(verdicts[..], [(decided, _)] if decided == ticket), "{verdicts:?}");
}

/// An entry whose workspaces belong to the first of ten other entries.
fn user(entries: u32, workspaces: &[&str]) -> Node {
    let mut node = Node::new(1);
    let records: Vec<_> = (0..10).map(|number| record(number, 100 - number as u32)).collect();
    node.set_entries(Some(entries), START);
    node.set_list(&records[9], &records);
    node.set_limits(workspaces.iter().map(|name| limit(name, QUOTA)), START);
    node
}

/// The only request that a node has queued.
fn queued_request(node: &mut Node) -> Request {
    let sent = node.take_outbox();
    assert_eq!(sent.len(), 1);
    Request::decode(&sent[0].message).unwrap()
}

/// Guards against tokens from a forged reply: only the entry that was asked may grant some.
#[test]
fn a_reply_of_another_entry_than_the_asked_one_grants_nothing() {
    let mut node = user(10, &["w"]);
    assert!(matches!(node.admit(WorkspaceId::new("w"), START), Admission::Waiting(_)));
    let number = queued_request(&mut node).number;
    let grant = Some(Grant { granted: 5, wait: Duration::ZERO });
    let grants = vec![Answered { workspace: WorkspaceId::new("w"), grant }];
    let reply = Reply { number, stamp: 1, accepted: true, grants };

    node.receive_reply(&reply, record(1, 1).address, START + ms(1));
    let verdicts_of_other = node.take_verdicts();
    node.receive_reply(&reply, record(0, 1).address, START + ms(2));
    let verdicts_of_asked = node.take_verdicts();

    assert!(verdicts_of_other.is_empty(), "{verdicts_of_other:?}");
    assert!(matches!(verdicts_of_asked[..], [(_, Verdict::Admitted)]), "{verdicts_of_asked:?}");
}

/// Guards against a call that waits for longer than 250 ms because a new number of shards puts a later
/// call before it.
#[test]
fn calls_keep_their_order_when_the_number_of_shards_changes() {
    let names: Vec<String> = (0..100).map(|number| format!("w-{number}")).collect();
    let find = |shard: u32| {
        let belongs = |id: &WorkspaceId| shard_of(*id, 2) == shard && shard_of(*id, 3) == 0;
        names.iter().map(|name| WorkspaceId::new(name)).find(belongs).unwrap()
    };
    let mut node = user(64, &names.iter().map(String::as_str).collect::<Vec<_>>());
    let Admission::Waiting(first) = node.admit(find(1), START) else { panic!("not asked") };
    let later = node.admit(find(0), START + ms(100));
    assert!(matches!(later, Admission::Waiting(_)));

    node.set_entries(Some(128), START + ms(100));
    node.poll(START + ms(250));

    let verdicts = node.take_verdicts();
    assert!(matches!(verdicts[..], [(decided, _)] if decided == first), "{verdicts:?}");
}
