//! Hedged reads of a directory that loses or fails some of them.

mod fixture;

use std::collections::VecDeque;

use cornellink::edge::directory::{Feed, ReadOutcome};
use cornellink::edge::position::Position;
use cornellink::edge::{PlatformFuture, Result};
use cornellink::prelude::*;
use cornellink::process::gateway::hedged_read;
use cornellink::process::runtime::block_on;
use fixture::scripted_directory::{empty_read, ScriptedDirectory, ScriptedReads};

const WAIT: Duration = Duration::from_millis(60);
const SLACK: Duration = Duration::from_millis(20);

/// How a read ends.
#[derive(Clone, Copy)]
enum Outcome {
    /// Gets a response after this time.
    Answered(Duration),
    /// Fails after this time.
    Failed(Duration),
    Lost,
}

/// Outcomes of the next reads, and the waits of those that were sent.
struct OutcomeQueue {
    outcomes: RefCell<VecDeque<Outcome>>,
    waits: RefCell<Vec<Duration>>,
}

/// Reads from a directory whose reads end with these outcomes, in order.
async fn read(outcomes: &[Outcome]) -> HedgedRead {
    let outcomes = OutcomeQueue {
        outcomes: RefCell::new(outcomes.iter().copied().collect()),
        waits: RefCell::default(),
    };
    let directory = ScriptedDirectory(outcomes);
    let start = Instant::now();
    let pending_read = hedged_read::read(&directory, Feed::Targets, 7.into(), WAIT, SLACK);
    let result = monoio::time::timeout(WAIT * 20, pending_read).await.expect("the read ends");
    HedgedRead { result, elapsed: start.elapsed(), waits: directory.0.waits.take() }
}

/// Result of a hedged read, and the waits of the single reads that it sent.
struct HedgedRead {
    result: Result<ReadOutcome>,
    elapsed: Duration,
    waits: Vec<Duration>,
}

impl ScriptedReads for OutcomeQueue {
    fn changes(&self, _: Feed, from: Position, wait: Duration) -> PlatformFuture<'_, ReadOutcome> {
        self.waits.borrow_mut().push(wait);
        let outcome = self.outcomes.borrow_mut().pop_front().expect("no further read");
        Box::pin(async move {
            match outcome {
                Outcome::Answered(time) => {
                    monoio::time::sleep(time).await;
                    Ok(empty_read(from))
                }
                Outcome::Failed(time) => {
                    monoio::time::sleep(time).await;
                    Err(Error::PlatformTimeout)
                }
                Outcome::Lost => std::future::pending().await,
            }
        })
    }
}

/// Guards against a lost read that is detected only by its timeout: by then all subscribers have
/// started to read the directory themselves.
#[test]
fn lost_read_is_hedged_after_the_slack() {
    let hedged = block_on(read(&[Outcome::Lost, Outcome::Answered(Duration::ZERO)])).unwrap();

    assert!(hedged.result.is_ok());
    assert!(hedged.elapsed >= WAIT + SLACK && hedged.elapsed < WAIT * 10, "{:?}", hedged.elapsed);
    assert_eq!(hedged.waits, [WAIT, Duration::ZERO]);
}

/// Guards against second reads without need, which load the directory.
#[test]
fn timely_response_is_not_hedged() {
    let hedged = block_on(read(&[Outcome::Answered(WAIT)])).unwrap();

    assert!(hedged.result.is_ok());
    assert_eq!(hedged.waits, [WAIT]);
}

/// Guards against a directory that counts as lost although one of both reads succeeds.
#[test]
fn success_of_either_read_is_returned() {
    let late = WAIT + SLACK * 3;
    let cases = [
        ([Outcome::Answered(late), Outcome::Failed(Duration::ZERO)], true),
        ([Outcome::Failed(late), Outcome::Answered(SLACK * 4)], true),
        ([Outcome::Failed(late), Outcome::Failed(SLACK)], false),
    ];
    for (outcomes, expected) in cases {
        let hedged = block_on(read(&outcomes)).unwrap();

        assert_eq!(hedged.result.is_ok(), expected);
    }
}
