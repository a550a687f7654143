//! Tells subscribers what this entry reads or hears.

use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::entry_list;
use super::subscribe_request::SubscribeRequest;
use super::update::{Update, FORMAT};
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Longest wait for a subscriber's first byte, and for it to take an update.
const PEER_TIME: Duration = Duration::from_secs(2);
/// Updates that wait for a subscriber before it is given up.
const MAX_WAITING: usize = 64;
/// Time between two looks whether the list of entries is known.
const LIST_LOOK: Duration = Duration::from_millis(20);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The entries that have subscribed.
#[derive(Default)]
pub struct Subscribers {
    queues: RefCell<Vec<Queue>>,
    /// All that the entry knows, as a message for subscribers that know nothing; they share it
    /// until something changes. It states no age, which would be out of date.
    full: RefCell<Option<Bytes>>,
}

struct Queue {
    sender: Tx<Bytes>,
    waiting: Rc<Cell<usize>>,
}

impl Subscribers {
    /// Number of subscribers.
    pub fn len(&self) -> usize {
        self.queues.borrow().len()
    }

    /// Whether nobody has subscribed.
    pub fn is_empty(&self) -> bool {
        self.queues.borrow().is_empty()
    }

    /// Queues an update for all subscribers.
    pub fn publish(&self, update: &Update) {
        if update.has_changes() {
            self.full.take();
        }
        if self.is_empty() {
            return;
        }
        let message = update.encode();
        self.queues.borrow_mut().retain(|queue| {
            queue.waiting.set(queue.waiting.get() + 1);
            queue.waiting.get() <= MAX_WAITING && queue.sender.send(message.clone()).is_ok()
        });
    }

    /// The message that holds all, written by `write` unless it is still true.
    fn full(&self, write: impl FnOnce() -> Update) -> Bytes {
        let mut full = self.full.borrow_mut();
        full.get_or_insert_with(|| Update { age: None, ..write() }.encode()).clone()
    }

    /// Adds a subscriber, which first gets the given messages.
    fn add(&self, first: Vec<Bytes>) -> (Rx<Bytes>, Rc<Cell<usize>>) {
        let (sender, receiver) = unbounded::channel();
        let waiting = Rc::new(Cell::new(first.len()));
        for message in first {
            // The receiver lives, so that no message can be refused.
            let _ = sender.send(message);
        }
        self.queues.borrow_mut().push(Queue { sender, waiting: waiting.clone() });
        (receiver, waiting)
    }
}

/// Accepts subscribers until the task is dropped.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let tasks = Tasks::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => tasks.spawn(tell(gateway.clone(), stream)),
            Err(_) => monoio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn tell(gateway: Rc<Gateway>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let request = monoio::time::timeout(PEER_TIME, stream.read(vec![0; 1])).await;
    let Ok((Ok(1), byte)) = request else { return };
    if byte == [entry_list::QUESTION] {
        return hand_out(&gateway, stream).await;
    }
    if byte != [FORMAT] {
        log::warn!(format = byte[0]; "subscriber refused");
        return;
    }
    let Ok(Ok(request)) =
        monoio::time::timeout(PEER_TIME, SubscribeRequest::read(&mut stream)).await
    else {
        return;
    };
    gateway.sharing.hear_entries(request.entries);
    let (mut messages, waiting) = gateway.sharing.subscribers.add(first(&gateway, &request));
    while let Some(message) = messages.recv().await {
        waiting.set(waiting.get() - 1);
        let written = monoio::time::timeout(PEER_TIME, stream.write_all(message)).await;
        if !matches!(written, Ok((Ok(_), _))) {
            return;
        }
    }
}

/// Answers with the list of entries once it is known.
async fn hand_out(gateway: &Gateway, mut stream: TcpStream) {
    let end = Instant::now() + PEER_TIME;
    let message = loop {
        let known = gateway.sharing.list_message.borrow().clone();
        match known {
            Some(message) => break message,
            None if Instant::now() >= end => return,
            None => monoio::time::sleep(LIST_LOOK).await,
        }
    };
    let _ = monoio::time::timeout(PEER_TIME, stream.write_all(message)).await;
}

/// What a new subscriber lacks, and how old the entry's knowledge is.
fn first(gateway: &Gateway, request: &SubscribeRequest) -> Vec<Bytes> {
    let lack = match request.routes {
        None => Some(gateway.sharing.subscribers.full(|| gateway.full_update())),
        Some(_) => {
            let lack = Update { age: None, ..gateway.update_for(request) };
            lack.has_changes().then(|| lack.encode())
        }
    };
    lack.into_iter().chain([gateway.with_progress(Update::default()).encode()]).collect()
}
