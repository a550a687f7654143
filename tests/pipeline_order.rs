//! The order of the calls of one connection, without a network.

use std::collections::VecDeque;
use std::task::{Context, Poll, Waker};

use cornellink::connection::memory_budget::MemoryBudget;
use cornellink::prelude::*;
use cornellink::process::pipeline::{Pipeline, MAX_RUNNING_CALLS, MAX_WAITING_RESPONSE_BYTES};
use cornellink::process::running_call::{Overlap, RunningCall};
use quickcheck::quickcheck;

/// Size of the responses of the property test.
const RESPONSE_BYTES: usize = 4;

/// A handler that has its response, of the given size, once the test sets it.
#[derive(Clone, Default)]
struct Gate {
    bytes: Rc<Cell<Option<usize>>>,
}

impl Gate {
    fn call<S>(&self, overlap: Overlap, state: S) -> RunningCall<S> {
        let bytes = self.bytes.clone();
        let run = std::future::poll_fn(move |_| match bytes.get() {
            Some(bytes) => Poll::Ready(Answer::new(StatusCode::OK, vec![b'x'; bytes])),
            None => Poll::Pending,
        });
        RunningCall::new(Box::pin(run), overlap, state)
    }

    fn open(&self, bytes: usize) {
        self.bytes.set(Some(bytes));
    }
}

fn poll<S>(pipeline: &mut Pipeline<S>) -> Option<S> {
    match pipeline.poll_response(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => Some(ready.state),
        Poll::Pending => None,
    }
}

fn poll_waiting<S>(pipeline: &mut Pipeline<S>) {
    pipeline.poll_waiting(&mut Context::from_waker(Waker::noop()));
}

fn pipeline(memory_bytes: usize) -> (Pipeline<usize>, Rc<MemoryBudget>) {
    let memory = Rc::new(MemoryBudget::new(memory_bytes));
    (Pipeline::new(memory.clone()), memory)
}

/// Model of a connection: the calls that are not answered yet, in order.
#[derive(Default)]
struct Model {
    calls: VecDeque<(usize, Overlap, Gate)>,
    next: usize,
}

impl Model {
    /// Starts a call if the pipeline allows it; whether the decision is right.
    fn start(&mut self, pipeline: &mut Pipeline<usize>, overlap: Overlap) -> bool {
        let is_alone = self.calls.is_empty();
        let all_overlap = self.calls.iter().all(|call| call.1 == Overlap::Allowed);
        let expected = is_alone
            || (overlap == Overlap::Allowed && all_overlap && self.calls.len() < MAX_RUNNING_CALLS);
        let allowed = pipeline.may_start(overlap);
        if allowed {
            let gate = Gate::default();
            pipeline.start(gate.call(overlap, self.next));
            self.calls.push_back((self.next, overlap, gate));
            self.next += 1;
        }
        allowed == expected && pipeline.len() == self.calls.len()
    }

    /// Completes one of the calls.
    fn complete(&self, choice: u8) {
        if !self.calls.is_empty() {
            self.calls[choice as usize % self.calls.len()].2.open(RESPONSE_BYTES);
        }
    }

    /// Takes a response if there is one; whether it is that of the first call.
    fn take(&mut self, pipeline: &mut Pipeline<usize>) -> bool {
        let expected = self.calls.front().filter(|call| call.2.bytes.get().is_some());
        let expected = expected.map(|call| call.0);
        let taken = poll(pipeline);
        if taken.is_some() {
            self.calls.pop_front();
        }
        taken == expected
    }
}

quickcheck! {
    /// Guards against responses that overtake others or are lost, a call that may run once only and
    /// runs beside others, and more running calls than allowed, in any order of completions.
    fn responses_keep_the_order_of_the_calls(steps: Vec<(u8, u8)>) -> bool {
        let (mut pipeline, _) = pipeline(usize::MAX);
        let mut model = Model::default();
        let is_right = steps.into_iter().all(|(step, choice)| match step % 8 {
            0..=2 => model.start(&mut pipeline, Overlap::Allowed),
            3 => model.start(&mut pipeline, Overlap::Forbidden),
            4 | 5 => { model.complete(choice); true }
            6 => { poll_waiting(&mut pipeline); true }
            _ => model.take(&mut pipeline),
        });
        model.calls.iter().for_each(|call| call.2.open(RESPONSE_BYTES));
        let mut rest = true;
        while !model.calls.is_empty() && rest {
            rest = model.take(&mut pipeline);
        }
        is_right && rest && pipeline.is_empty()
    }
}

/// Guards against a caller that reads slowly and makes the entry hold ever more responses.
#[test]
fn waiting_responses_bound_the_calls_that_start() {
    let (mut pipeline, _) = pipeline(usize::MAX);
    let (first, second) = (Gate::default(), Gate::default());
    pipeline.start(first.call(Overlap::Allowed, 1));
    pipeline.start(second.call(Overlap::Allowed, 2));

    second.open(MAX_WAITING_RESPONSE_BYTES);
    let taken = poll(&mut pipeline);
    let has_room_before = pipeline.has_room();
    first.open(0);
    let answered = [poll(&mut pipeline), poll(&mut pipeline)];

    assert_eq!(taken, None);
    assert!(!has_room_before);
    assert_eq!(answered, [Some(1), Some(2)]);
    assert!(pipeline.has_room());
}

/// Guards against waiting responses that are not counted in the entry's memory budget, or stay
/// counted after they were written or dropped.
#[test]
fn waiting_responses_count_against_the_memory_budget() {
    const LIMIT_BYTES: usize = 100;
    let (mut pipeline, memory) = pipeline(LIMIT_BYTES);
    let gates = [Gate::default(), Gate::default(), Gate::default()];
    for (index, gate) in gates.iter().enumerate() {
        pipeline.start(gate.call(Overlap::Allowed, index));
    }
    let is_exhausted = || memory.is_exhausted(usize::MAX);

    gates[1].open(LIMIT_BYTES + 1);
    poll(&mut pipeline);
    let has_room_full = pipeline.has_room();
    let full = is_exhausted();
    gates[0].open(LIMIT_BYTES + 1);
    poll(&mut pipeline);
    poll(&mut pipeline);
    let written = is_exhausted();
    gates[2].open(LIMIT_BYTES + 1);
    poll_waiting(&mut pipeline);
    let during_write = is_exhausted();
    drop(pipeline);

    assert!(full && !has_room_full, "a response behind another one counts");
    assert!(!written, "written responses no longer count");
    assert!(during_write, "a response counts while an earlier one is written");
    assert!(!is_exhausted(), "dropped responses no longer count");
}

/// Guards against a first response that counts against the budget for callers' calls although it
/// waits for nothing, which would refuse calls that were accepted before.
#[test]
fn response_of_a_single_call_is_not_counted() {
    let (mut pipeline, memory) = pipeline(1);
    let gate = Gate::default();
    pipeline.start(gate.call(Overlap::Allowed, 0));

    gate.open(2);
    let ready = match pipeline.poll_response(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => ready,
        Poll::Pending => panic!("the call has its response"),
    };

    assert!(!memory.is_exhausted(usize::MAX));
    assert_eq!(ready.response.body.len(), 2);
}
