//! Tests of how readers of the stream `config` decide which revision is in force.

mod fixture;

use cornellink::edge::log::Record;
use cornellink::version::history::History;
use cornellink::version::record::{ConfigRecord, PublishRecord, RenewRecord};
use cornellink::version::verdict::Verdict;
use fixture::stream::{document, Model, Reader};
use quickcheck::{Gen, QuickCheck};

fn publication(nonce: u64, replaces: u64) -> PublishRecord {
    PublishRecord {
        format: 1,
        environment: "trial".into(),
        author: format!("author-{nonce}"),
        nonce,
        replaces,
        text: document("trial", nonce),
    }
}

fn renewal(number: u64, nonce: u64, through: u64) -> RenewRecord {
    let PublishRecord { format, author, text, .. } = publication(nonce, 0);
    RenewRecord { format, number, nonce, author, through, text }
}

fn apply(history: &mut History, offset: u64, record: ConfigRecord) -> Verdict {
    history.apply(&Record { offset, time: offset, value: record.encode() })
}

fn apply_publication(history: &mut History, offset: u64, record: PublishRecord) -> Verdict {
    apply(history, offset, ConfigRecord::Publish(record))
}

/// Guards against decisions that depend on anything other than log order.
#[test]
fn first_publication_in_log_order_wins() {
    let mut history = History::default();

    let verdicts = [
        apply_publication(&mut history, 0, publication(1, 0)),
        apply_publication(&mut history, 1, publication(2, 1)),
        apply_publication(&mut history, 2, publication(3, 1)),
    ];

    assert_eq!(verdicts, [Verdict::Accepted, Verdict::Accepted, Verdict::Conflict]);
    assert_eq!(history.current().unwrap().nonce, 2);
}

/// Guards against a second revision when the response to an append is lost and the publication is
/// appended again.
#[test]
fn publication_appended_twice_is_accepted_once() {
    let mut history = History::default();
    apply_publication(&mut history, 0, publication(1, 0));

    let verdict = apply_publication(&mut history, 1, publication(1, 0));

    assert_eq!((verdict, history.number()), (Verdict::Repeated, 1));
}

/// Guards against a document of one environment taking effect in another.
#[test]
fn publication_of_another_environment_is_invalid() {
    let mut history = History::default();
    apply_publication(&mut history, 0, publication(1, 0));
    let text = document("production", 2);
    let other = PublishRecord { environment: "production".into(), text, ..publication(2, 1) };
    let mislabeled = PublishRecord { environment: "production".into(), ..publication(3, 1) };

    assert_eq!(apply_publication(&mut history, 1, other), Verdict::Invalid);
    assert_eq!(apply_publication(&mut history, 2, mislabeled), Verdict::Invalid);
}

/// Guards against using a renewal as the base although its writer had not read some of the records
/// that the reader missed.
#[test]
fn renewal_older_than_missed_records_is_not_a_base() {
    let mut history = History::default();
    history.skip_expired(10);

    let late = apply(&mut history, 10, ConfigRecord::Renew(renewal(3, 3, 7)));
    assert_eq!((late, history.is_known()), (Verdict::Undecided, false));
    apply_publication(&mut history, 11, publication(5, 4));
    let current = apply(&mut history, 12, ConfigRecord::Renew(renewal(4, 4, 9)));

    assert_eq!((current, history.number()), (Verdict::Base, 5));
}

/// Guards against a reader that lags behind the retention and decides from an outdated revision.
#[test]
fn reader_behind_the_retention_keeps_its_revision_and_stays_undecided() {
    let mut history = History::default();
    apply_publication(&mut history, 0, publication(1, 0));

    history.skip_expired(5);
    let verdict = apply_publication(&mut history, 5, publication(2, 1));

    assert_eq!((verdict, history.number()), (Verdict::Undecided, 1));
    assert!(history.base().is_none());
}

/// Guards against a revision number that decreases.
#[test]
fn older_revision_never_replaces_a_newer_one() {
    let mut history = History::default();
    for nonce in 1..=3 {
        apply_publication(&mut history, nonce - 1, publication(nonce, nonce - 1));
    }
    history.skip_expired(9);

    apply(&mut history, 9, ConfigRecord::Renew(renewal(2, 2, 8)));

    assert!(!history.install(&renewal(2, 2, 20)));
    assert_eq!(history.number(), 3);
}

/// Guards against decisions by a program that does not support the format of an earlier document.
#[test]
fn unknown_format_suspends_decisions_until_a_renewal() {
    let mut history = History::default();
    apply_publication(&mut history, 0, publication(1, 0));

    let unknown =
        apply_publication(&mut history, 1, PublishRecord { format: 2, ..publication(2, 1) });
    let next = apply_publication(&mut history, 2, publication(3, 2));
    assert_eq!((unknown, next), (Verdict::UnknownFormat, Verdict::Undecided));
    assert_eq!((history.number(), history.unknown_format()), (1, Some(2)));
    let base = apply(&mut history, 3, ConfigRecord::Renew(renewal(3, 3, 2)));

    assert_eq!((base, history.number(), history.unknown_format()), (Verdict::Base, 3, None));
}

/// Guards against an entry that stays without a document although a peer has one.
#[test]
fn revision_of_a_peer_is_used_as_base() {
    let mut history = History::default();

    assert!(history.install(&renewal(4, 4, 9)));

    assert_eq!((history.number(), history.next(), history.is_known()), (4, 10, true));
    assert_eq!(apply_publication(&mut history, 10, publication(5, 4)), Verdict::Accepted);
}

/// Guards against readers that disagree with each other or go back to an older revision.
///
/// Readers start at random times and read pages of random lengths, while records expire, renewals
/// are delayed, peers offer revisions, publications are appended twice and formats are unknown.
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
                5 => model.publish_unknown_format(choice),
                6 => model.append_copy(choice),
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
        model.append_final_records();
        readers.iter_mut().all(|reader| {
            reader.read(&model, usize::MAX);
            reader.number() == model.number()
        })
    }
    let generator = Gen::from_size_and_seed(150, 11);
    QuickCheck::new().rng(generator).tests(1500).quickcheck(property as fn(Vec<u16>) -> bool);
}
