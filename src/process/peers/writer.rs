//! What waits to be written to one stream.

use std::collections::VecDeque;

use quinn_proto::StreamId;

use super::Result;
use crate::connection::quic::connection::Connection;
use crate::prelude::*;

/// Frames that wait in a stream before more are taken from the bounded queue.
const MAX_WAITING: usize = 8;

/// Frames of one stream.
#[derive(Default)]
pub struct Writer {
    data: VecDeque<Bytes>,
    is_last: bool,
}

impl Writer {
    /// Appends a frame.
    pub fn push(&mut self, frame: Bytes) {
        self.data.push_back(frame);
    }

    /// Ends the stream after the frames that wait.
    pub fn finish(&mut self) {
        self.is_last = true;
    }

    /// Whether another frame may be appended.
    pub fn has_room(&self) -> bool {
        self.data.len() < MAX_WAITING
    }

    /// Whether everything was written and the stream has ended.
    pub fn is_done(&self) -> bool {
        self.is_last && self.data.is_empty()
    }

    /// Writes as much as the peer takes now.
    pub fn write(&mut self, connection: &mut Connection, id: StreamId) -> Result<()> {
        while let Some(front) = self.data.front_mut() {
            connection.write(id, front)?;
            if !front.is_empty() {
                return Ok(());
            }
            self.data.pop_front();
        }
        if self.is_last {
            connection.finish(id);
        }
        Ok(())
    }
}
