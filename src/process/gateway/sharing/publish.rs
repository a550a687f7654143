//! Sends subscribers the changes that this entry reads from the directory or receives from its
//! reader.

use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::entry_list;
use super::subscribe_request::SubscribeRequest;
use super::update::{Update, FORMAT};
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Longest wait for a peer's first byte, for its request, and for it to receive a message.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most messages queued for a subscriber; beyond that it is disconnected.
const MAX_QUEUED: usize = 64;
/// Time between two checks whether the list of entries has been read.
const ENCODED_LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The entries that have subscribed.
#[derive(Default)]
pub struct Subscribers {
    queues: RefCell<Vec<SubscriberQueue>>,
    /// The update with the entry's whole copy, encoded once for all subscribers that start empty,
    /// until something changes. It states no age, which would be outdated when the message is
    /// reused.
    full_message: RefCell<Option<Bytes>>,
}

struct SubscriberQueue {
    sender: Tx<Bytes>,
    /// Number of messages in the queue, shared with the task that sends them.
    queued: Rc<Cell<usize>>,
}

impl Subscribers {
    pub fn len(&self) -> usize {
        self.queues.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.queues.borrow().is_empty()
    }

    /// Queues an update for all subscribers.
    pub fn publish(&self, update: &Update) {
        if update.has_changes() {
            self.full_message.take();
        }
        if self.is_empty() {
            return;
        }
        let message = update.encode();
        self.queues.borrow_mut().retain(|queue| {
            queue.queued.set(queue.queued.get() + 1);
            queue.queued.get() <= MAX_QUEUED && queue.sender.send(message.clone()).is_ok()
        });
    }

    /// Drops the encoded update with the whole copy, after a change that no list of changes holds.
    pub fn drop_full_message(&self) {
        self.full_message.take();
    }

    /// The encoded update with the whole copy; `build` is called if the cached one is outdated.
    fn full_message(&self, build: impl FnOnce() -> Update) -> Bytes {
        let mut message = self.full_message.borrow_mut();
        message.get_or_insert_with(|| Update { age: None, ..build() }.encode()).clone()
    }

    /// Adds a subscriber, whose queue starts with the given messages. Returns the receiving end of
    /// the queue and its number of messages.
    fn add(&self, initial: Vec<Bytes>) -> (Rx<Bytes>, Rc<Cell<usize>>) {
        let (sender, receiver) = unbounded::channel();
        let queued = Rc::new(Cell::new(initial.len()));
        for message in initial {
            // The receiver still exists, so that sending cannot fail.
            let _ = sender.send(message);
        }
        self.queues.borrow_mut().push(SubscriberQueue { sender, queued: queued.clone() });
        (receiver, queued)
    }
}

/// Accepts subscribers until the task is dropped.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let tasks = Tasks::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => tasks.spawn(serve_peer(gateway.clone(), stream)),
            Err(_) => monoio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Serves one connection: a request for the list of entries, or a subscription.
async fn serve_peer(gateway: Rc<Gateway>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let first_read = monoio::time::timeout(PEER_TIMEOUT, stream.read(vec![0; 1])).await;
    let Ok((Ok(1), byte)) = first_read else { return };
    if byte == [entry_list::LIST_REQUEST] {
        return send_list(&gateway, stream).await;
    }
    if byte != [FORMAT] {
        log::warn!(format = byte[0]; "subscriber refused");
        return;
    }
    let Ok(Ok(request)) =
        monoio::time::timeout(PEER_TIMEOUT, SubscribeRequest::read(&mut stream)).await
    else {
        return;
    };
    gateway.sharing.fleet.record_reported(request.entries);
    let (mut messages, queued) =
        gateway.sharing.subscribers.add(initial_messages(&gateway, &request));
    while let Some(message) = messages.recv().await {
        queued.set(queued.get() - 1);
        let written = monoio::time::timeout(PEER_TIMEOUT, stream.write_all(message)).await;
        if !matches!(written, Ok((Ok(_), _))) {
            return;
        }
    }
}

/// Sends the list of entries once it has been read.
async fn send_list(gateway: &Gateway, mut stream: TcpStream) {
    let end = Instant::now() + PEER_TIMEOUT;
    let message = loop {
        let list = gateway.sharing.encoded_list.borrow().clone();
        match list {
            Some(message) => break message,
            None if Instant::now() >= end => return,
            None => monoio::time::sleep(ENCODED_LIST_POLL_INTERVAL).await,
        }
    };
    let _ = monoio::time::timeout(PEER_TIMEOUT, stream.write_all(message)).await;
}

/// The first messages for a subscriber: the changes that it lacks, and the age of this entry's
/// copy.
fn initial_messages(gateway: &Gateway, request: &SubscribeRequest) -> Vec<Bytes> {
    let missing = match request.routes {
        None => Some(gateway.sharing.subscribers.full_message(|| gateway.full_update())),
        Some(_) => {
            let update = Update { age: None, ..gateway.update_for(request) };
            update.has_changes().then(|| update.encode())
        }
    };
    missing.into_iter().chain([gateway.with_progress(Update::default()).encode()]).collect()
}
