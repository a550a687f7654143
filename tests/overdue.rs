//! Reads of the directory whose answers are lost.

mod fixture;

use std::collections::VecDeque;

use cornellink::edge::directory::{Feed, Read};
use cornellink::edge::{Pending, Result};
use cornellink::prelude::*;
use cornellink::process::gateway::hedged_read;
use cornellink::process::runtime::block_on;
use fixture::only_changes::{nothing_new, Changes, OnlyChanges};

const WAIT: Duration = Duration::from_millis(60);
const SLACK: Duration = Duration::from_millis(20);

/// What becomes of a read.
#[derive(Clone, Copy)]
enum Fate {
    /// It is answered after this time.
    Answered(Duration),
    /// It fails after this time.
    Failed(Duration),
    Lost,
}

/// A directory that knows the fates of the reads to come.
struct Fates {
    fates: RefCell<VecDeque<Fate>>,
    waits: RefCell<Vec<Duration>>,
}

/// Reads from a directory with these fates.
async fn read(fates: &[Fate]) -> Ended {
    let fates =
        Fates { fates: RefCell::new(fates.iter().copied().collect()), waits: RefCell::default() };
    let directory = OnlyChanges(fates);
    let start = Instant::now();
    let read = hedged_read::read(&directory, Feed::Targets, 7, WAIT, SLACK);
    let result = monoio::time::timeout(WAIT * 20, read).await.expect("the read ends");
    Ended { result, time: start.elapsed(), waits: directory.0.waits.take() }
}

/// How a read ended, and the waits of all that were sent.
struct Ended {
    result: Result<Read>,
    time: Duration,
    waits: Vec<Duration>,
}

impl Changes for Fates {
    fn changes(&self, _: Feed, from: u64, wait: Duration) -> Pending<'_, Read> {
        self.waits.borrow_mut().push(wait);
        let fate = self.fates.borrow_mut().pop_front().expect("no further read");
        Box::pin(async move {
            match fate {
                Fate::Answered(time) => {
                    monoio::time::sleep(time).await;
                    Ok(nothing_new(from))
                }
                Fate::Failed(time) => {
                    monoio::time::sleep(time).await;
                    Err(Error::PlatformTimeout)
                }
                Fate::Lost => std::future::pending().await,
            }
        })
    }
}

/// Guards against a lost read that is noticed only when it is given up, by when all subscribers have
/// read for themselves.
#[test]
fn lost_read_is_repeated_soon() {
    let ended = block_on(read(&[Fate::Lost, Fate::Answered(Duration::ZERO)])).unwrap();

    assert!(ended.result.is_ok());
    assert!(ended.time >= WAIT + SLACK && ended.time < WAIT * 10, "{:?}", ended.time);
    assert_eq!(ended.waits, [WAIT, Duration::ZERO]);
}

/// Guards against second reads where nothing is wrong, as each read has its price.
#[test]
fn answer_in_time_is_not_repeated() {
    let ended = block_on(read(&[Fate::Answered(WAIT)])).unwrap();

    assert!(ended.result.is_ok());
    assert_eq!(ended.waits, [WAIT]);
}

/// Guards against a directory that counts as lost while one of both reads is answered.
#[test]
fn either_answer_counts() {
    let late = WAIT + SLACK * 3;
    let cases = [
        ([Fate::Answered(late), Fate::Failed(Duration::ZERO)], true),
        ([Fate::Failed(late), Fate::Answered(SLACK * 4)], true),
        ([Fate::Failed(late), Fate::Failed(SLACK)], false),
    ];
    for (fates, expected) in cases {
        let ended = block_on(read(&fates)).unwrap();

        assert_eq!(ended.result.is_ok(), expected);
    }
}
