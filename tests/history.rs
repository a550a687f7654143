//! The acceptance and retention rules of the stream `config`.

mod fixture;

use cornellink::edge::log::Record;
use cornellink::version::history::History;
use cornellink::version::record::{ConfigRecord, PublishRecord, RenewRecord};
use cornellink::version::verdict::Verdict;
use fixture::stream::{document, Model, Reader};
use quickcheck::{Gen, QuickCheck};

fn publish(nonce: u64, replaces: u64) -> PublishRecord {
    PublishRecord {
        format: 1,
        environment: "trial".into(),
        author: format!("author-{nonce}"),
        nonce,
        replaces,
        text: document("trial", nonce),
    }
}

fn renew(number: u64, nonce: u64, through: u64) -> RenewRecord {
    let PublishRecord { format, author, text, .. } = publish(nonce, 0);
    RenewRecord { format, number, nonce, author, through, text }
}

fn apply(history: &mut History, offset: u64, record: ConfigRecord) -> Verdict {
    history.apply(&Record { offset, time: offset, value: record.encode() })
}

fn apply_publish(history: &mut History, offset: u64, record: PublishRecord) -> Verdict {
    apply(history, offset, ConfigRecord::Publish(record))
}

/// Guards against an acceptance that depends on anything but log order.
#[test]
fn first_in_log_order_wins() {
    let mut history = History::default();

    let verdicts = [
        apply_publish(&mut history, 0, publish(1, 0)),
        apply_publish(&mut history, 1, publish(2, 1)),
        apply_publish(&mut history, 2, publish(3, 1)),
    ];

    assert_eq!(verdicts, [Verdict::Accepted, Verdict::Accepted, Verdict::Conflict]);
    assert_eq!(history.current().unwrap().nonce, 2);
}

/// Guards against a second publication when the response of an append was lost.
#[test]
fn repeated_append_publishes_once() {
    let mut history = History::default();
    apply_publish(&mut history, 0, publish(1, 0));

    let verdict = apply_publish(&mut history, 1, publish(1, 0));

    assert_eq!((verdict, history.number()), (Verdict::Repeated, 1));
}

/// Guards against a document of one environment in force in another.
#[test]
fn another_environment_is_refused() {
    let mut history = History::default();
    apply_publish(&mut history, 0, publish(1, 0));
    let text = document("production", 2);
    let other = PublishRecord { environment: "production".into(), text, ..publish(2, 1) };
    let mislabelled = PublishRecord { environment: "production".into(), ..publish(3, 1) };

    assert_eq!(apply_publish(&mut history, 1, other), Verdict::Invalid);
    assert_eq!(apply_publish(&mut history, 2, mislabelled), Verdict::Invalid);
}

/// Guards against a base from a renewal that was written before records that the reader missed.
#[test]
fn late_renewal_is_no_base() {
    let mut history = History::default();
    history.skip_expired(10);

    let late = apply(&mut history, 10, ConfigRecord::Renew(renew(3, 3, 7)));
    assert_eq!((late, history.is_known()), (Verdict::Undecided, false));
    apply_publish(&mut history, 11, publish(5, 4));
    let good = apply(&mut history, 12, ConfigRecord::Renew(renew(4, 4, 9)));

    assert_eq!((good, history.number()), (Verdict::Base, 5));
}

/// Guards against a reader that lags past the retention and decides on stale knowledge.
#[test]
fn lagging_reader_keeps_its_document_and_decides_nothing() {
    let mut history = History::default();
    apply_publish(&mut history, 0, publish(1, 0));

    history.skip_expired(5);
    let verdict = apply_publish(&mut history, 5, publish(2, 1));

    assert_eq!((verdict, history.number()), (Verdict::Undecided, 1));
    assert!(history.base().is_none());
}

/// Guards against a revision number that goes down.
#[test]
fn lower_number_never_replaces_a_higher_one() {
    let mut history = History::default();
    for nonce in 1..=3 {
        apply_publish(&mut history, nonce - 1, publish(nonce, nonce - 1));
    }
    history.skip_expired(9);

    apply(&mut history, 9, ConfigRecord::Renew(renew(2, 2, 8)));

    assert!(!history.install(&renew(2, 2, 20)));
    assert_eq!(history.number(), 3);
}

/// Guards against a program that takes part in decisions about a format it does not know.
#[test]
fn unknown_format_is_kept_out_until_a_renewal() {
    let mut history = History::default();
    apply_publish(&mut history, 0, publish(1, 0));

    let unknown = apply_publish(&mut history, 1, PublishRecord { format: 2, ..publish(2, 1) });
    let next = apply_publish(&mut history, 2, publish(3, 2));
    assert_eq!((unknown, next), (Verdict::UnknownFormat, Verdict::Undecided));
    assert_eq!((history.number(), history.unknown_format()), (1, Some(2)));
    let base = apply(&mut history, 3, ConfigRecord::Renew(renew(3, 3, 2)));

    assert_eq!((base, history.number(), history.unknown_format()), (Verdict::Base, 3, None));
}

/// Guards against a VM that stays without a document although a peer has it.
#[test]
fn peer_gives_a_base() {
    let mut history = History::default();

    assert!(history.install(&renew(4, 4, 9)));

    assert_eq!((history.number(), history.next(), history.is_known()), (4, 10, true));
    assert_eq!(apply_publish(&mut history, 10, publish(5, 4)), Verdict::Accepted);
}

/// Guards against readers that disagree or revert, wherever they start, however pages are cut,
/// with expiry, delayed renewals, offers between peers, repeated appends and unknown formats.
#[test]
fn readers_agree_with_log_order_and_never_revert() {
    fn property(steps: Vec<u16>) -> bool {
        let mut model = Model::default();
        let mut readers: Vec<Reader> = (0..4).map(|_| Reader::default()).collect();
        for step in steps {
            let (kind, choice) = (step % 16, usize::from(step / 16));
            let reader = choice % readers.len();
            match kind {
                0..=2 => model.publish(choice, readers[reader].number()),
                3 => model.publish(choice, choice as u64 % 8),
                4 => model.publish(choice, model.number()),
                5 => model.publish_unknown(choice),
                6 => model.repeat(choice),
                7 => model.renew(choice),
                8 => model.expire(choice % 4),
                9 => readers[reader] = Reader::default(),
                10 => {
                    let offer = readers[choice / 4 % 4].base();
                    readers[reader].install(offer, &model);
                }
                _ => readers[reader].read(&model, choice % 5),
            }
        }
        model.settle();
        readers.iter_mut().all(|reader| {
            reader.read(&model, usize::MAX);
            reader.number() == model.number()
        })
    }
    let generator = Gen::from_size_and_seed(150, 11);
    QuickCheck::new().rng(generator).tests(1500).quickcheck(property as fn(Vec<u16>) -> bool);
}
