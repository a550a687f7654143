//! Writes queued frames to one stream.

use std::collections::VecDeque;

use quinn_proto::StreamId;

use super::Result;
use crate::connection::quic::connection::Connection;
use crate::prelude::*;

/// Frames queued in a control stream before more are taken from the outbox, whose queue is bounded.
const MAX_QUEUED_FRAMES: usize = 8;

/// Frames to write to one stream.
#[derive(Default)]
pub struct Writer {
    frames: VecDeque<Bytes>,
    is_finishing: bool,
}

impl Writer {
    /// Appends a frame.
    pub fn push(&mut self, frame: Bytes) {
        self.frames.push_back(frame);
    }

    /// Ends the stream after the queued frames.
    pub fn finish(&mut self) {
        self.is_finishing = true;
    }

    /// Whether another frame may be appended.
    pub fn has_room(&self) -> bool {
        self.frames.len() < MAX_QUEUED_FRAMES
    }

    /// Whether the stream was ended and all its frames were written.
    pub fn is_done(&self) -> bool {
        self.is_finishing && self.frames.is_empty()
    }

    /// Writes as much as the flow control of the peer allows.
    pub fn write(&mut self, connection: &mut Connection, id: StreamId) -> Result<()> {
        while let Some(front) = self.frames.front_mut() {
            connection.write(id, front)?;
            if !front.is_empty() {
                return Ok(());
            }
            self.frames.pop_front();
        }
        if self.is_finishing {
            connection.finish(id);
        }
        Ok(())
    }
}
