//! Tells subscribers what this entry reads or hears.

use local_sync::mpsc::unbounded::{self, Rx, Tx};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::update::{Update, FORMAT};
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Longest wait for a subscriber's first byte, and for it to take an update.
const PEER_TIME: Duration = Duration::from_secs(2);
/// Updates that wait for a subscriber before it is given up.
const MAX_WAITING: usize = 64;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The entries that have subscribed.
#[derive(Default)]
pub struct Subscribers {
    queues: RefCell<Vec<Queue>>,
    /// All that the entry knows, as a message that subscribers share until something changes. It
    /// states no age, which would be out of date.
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

    fn add(&self, full: impl Fn() -> Update, age: &Update) -> (Rx<Bytes>, Rc<Cell<usize>>) {
        let full = self
            .full
            .borrow_mut()
            .get_or_insert_with(|| Update { age: None, ..full() }.encode())
            .clone();
        let (sender, receiver) = unbounded::channel();
        let first = [full, age.encode()];
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
    let greeting = monoio::time::timeout(PEER_TIME, stream.read(vec![0; 1])).await;
    let Ok((Ok(1), byte)) = greeting else { return };
    if byte != [FORMAT] {
        log::warn!(format = byte[0]; "subscriber refused");
        return;
    }
    let (full, age) = (|| gateway.full_update(), gateway.complete(Update::default()));
    let (mut messages, waiting) = gateway.sharing.subscribers.add(full, &age);
    while let Some(message) = messages.recv().await {
        waiting.set(waiting.get() - 1);
        let written = monoio::time::timeout(PEER_TIME, stream.write_all(message)).await;
        if !matches!(written, Ok((Ok(_), _))) {
            return;
        }
    }
}
