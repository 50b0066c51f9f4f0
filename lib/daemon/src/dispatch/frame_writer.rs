//! The writing half of a link.
//!
//! A frame is written where it is sent, as long as the connection takes it: most are, and a task of its own for
//! each link would cost more than the write. Frames that the connection does not take wait in a queue.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::io::IoSlice;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

use crate::dispatch::channel::LinkEnd;
use crate::dispatch::traffic::Outgoing;

/// The size of the length that precedes each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Writes the frames of a link in the order in which they are sent.
#[derive(Debug)]
pub(super) struct FrameWriter {
    stream: OwnedWriteHalf,
    queue: RefCell<VecDeque<Outgoing>>,
    /// How many bytes of the first queued frame have been written, its length included.
    written: Cell<usize>,
    closed: Cell<bool>,
    /// Wakes [`FrameWriter::run`] when a frame is left in the queue or the link is closed.
    wake: Notify,
}

impl FrameWriter {
    /// Creates a writer with an empty queue.
    pub fn new(stream: OwnedWriteHalf) -> FrameWriter {
        FrameWriter {
            stream,
            queue: RefCell::default(),
            written: Cell::new(0),
            closed: Cell::new(false),
            wake: Notify::new(),
        }
    }

    /// Writes a frame, or queues it behind those that the connection has not taken. Drops it if the link is
    /// closed.
    pub fn send(&self, frame: Outgoing) {
        if self.closed.get() {
            return;
        }
        let waits = !self.queue.borrow().is_empty();
        self.queue.borrow_mut().push_back(frame);
        if !waits && self.write_queued().is_err() {
            self.wake.notify_one();
        }
    }

    /// Closes the link and drops its queue.
    pub fn close(&self) {
        self.closed.set(true);
        self.queue.borrow_mut().clear();
        self.wake.notify_one();
    }

    /// Writes the queued frames whenever the connection takes them. Returns when the link is closed or writing
    /// fails.
    pub async fn run(&self) -> LinkEnd {
        loop {
            self.wake.notified().await;
            while !self.closed.get() {
                match self.write_queued() {
                    Ok(()) => break,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return LinkEnd::Broken(e),
                }
                tokio::select! {
                    writable = self.stream.writable() => {
                        if let Err(e) = writable {
                            return LinkEnd::Broken(e);
                        }
                    }
                    () = self.wake.notified() => {}
                }
            }
            if self.closed.get() {
                return LinkEnd::ClosedLocally;
            }
        }
    }

    /// Writes queued frames until none is left.
    ///
    /// # Errors
    ///
    /// When the connection takes no more at present, or is broken.
    fn write_queued(&self) -> std::io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        while let Some(frame) = queue.front() {
            let body = frame.bytes();
            let length = (body.len() as u32).to_be_bytes();
            let from = self.written.get();
            let parts = [
                IoSlice::new(&length[from.min(LENGTH_BYTES)..]),
                IoSlice::new(&body[from.saturating_sub(LENGTH_BYTES)..]),
            ];
            let until = from + self.stream.try_write_vectored(&parts)?;
            if until < LENGTH_BYTES + body.len() {
                self.written.set(until);
                continue;
            }
            self.written.set(0);
            queue.pop_front();
        }
        Ok(())
    }
}
