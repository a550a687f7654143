//! Reads of the directory whose answers are lost.

use std::collections::VecDeque;

use cornellink::edge::directory::{Batch, Change, Directory, Feed, Listing, News, Read};
use cornellink::edge::{Pending, Result};
use cornellink::prelude::*;
use cornellink::process::gateway::overdue;
use cornellink::process::runtime::block_on;

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

impl Fates {
    fn new(fates: &[Fate]) -> Self {
        Self { fates: RefCell::new(fates.iter().copied().collect()), waits: RefCell::default() }
    }

    async fn read(&self) -> (Result<Read>, Duration) {
        let start = Instant::now();
        let read = overdue::read(self, Feed::Targets, 7, WAIT, SLACK);
        let result = monoio::time::timeout(WAIT * 20, read).await.expect("the read ends");
        (result, start.elapsed())
    }
}

impl Directory for Fates {
    fn changes(&self, _: Feed, from: u64, wait: Duration) -> Pending<'_, Read> {
        self.waits.borrow_mut().push(wait);
        let fate = self.fates.borrow_mut().pop_front().expect("no further read");
        Box::pin(async move {
            match fate {
                Fate::Answered(time) => {
                    monoio::time::sleep(time).await;
                    Ok(Read::Batch(Batch { changes: Vec::new(), next: from }))
                }
                Fate::Failed(time) => {
                    monoio::time::sleep(time).await;
                    Err(Error::PlatformTimeout)
                }
                Fate::Lost => std::future::pending().await,
            }
        })
    }

    fn snapshot(&self, _: Feed) -> Pending<'_, Batch> {
        unimplemented!("the tests read changes only")
    }

    fn decode(&self, _: Feed, _: &Change) -> Option<News> {
        None
    }

    fn list<'a>(&'a self, _: &Listing) -> Pending<'a, ()> {
        unimplemented!("the tests read changes only")
    }

    fn listings(&self) -> Pending<'_, Vec<Listing>> {
        unimplemented!("the tests read changes only")
    }
}

/// Guards against a lost read that is noticed only when it is given up, by when all subscribers have
/// read for themselves.
#[test]
fn lost_read_is_repeated_soon() {
    block_on(async {
        let fates = Fates::new(&[Fate::Lost, Fate::Answered(Duration::ZERO)]);

        let (result, time) = fates.read().await;

        assert!(result.is_ok());
        assert!(time >= WAIT + SLACK && time < WAIT * 10, "{time:?}");
        assert_eq!(*fates.waits.borrow(), [WAIT, Duration::ZERO]);
    })
    .unwrap();
}

/// Guards against second reads where nothing is wrong, as each read has its price.
#[test]
fn answer_in_time_is_not_repeated() {
    block_on(async {
        let fates = Fates::new(&[Fate::Answered(WAIT)]);

        let (result, _) = fates.read().await;

        assert!(result.is_ok());
        assert_eq!(fates.waits.borrow().len(), 1);
    })
    .unwrap();
}

/// Guards against a directory that counts as lost while one of both reads is answered.
#[test]
fn either_answer_counts() {
    block_on(async {
        let late = WAIT + SLACK * 3;
        let refused = Fates::new(&[Fate::Answered(late), Fate::Failed(Duration::ZERO)]);
        let closed = Fates::new(&[Fate::Failed(late), Fate::Answered(SLACK * 4)]);
        let away = Fates::new(&[Fate::Failed(late), Fate::Failed(SLACK)]);

        let ends = [refused.read().await.0, closed.read().await.0, away.read().await.0];

        assert_eq!(ends.map(|end| end.is_ok()), [true, true, false]);
    })
    .unwrap();
}
