//! The socket of a client's connection.
//!
//! It reads no more than its process has room for, and can be closed at any moment for the sake of other clients.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use stackcourse_lib::dispatch::connections::BodyKind;
use stackcourse_lib::dispatch::connections::Cause;
use stackcourse_lib::dispatch::connections::ConnectionId;
use stackcourse_lib::dispatch::connections::ReadAllowance;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::dispatch::clients::Clients;
use crate::dispatch::clients::refusal_head;

/// The time in which a refused client can receive its answer. Closing earlier could reset the connection while the client
/// still sends, and the answer would be lost.
const LINGER: Duration = Duration::from_secs(1);
/// The most bytes that are read from a refused client.
const LINGER_BYTES: usize = 256 << 10;
/// The chunks at a time whose queue is included in what a connection holds.
const CHUNKS_INCLUDED: usize = 16;

/// The connection of a client.
pub struct ClientSocket {
    clients: Clients,
    id: ConnectionId,
    /// None once the connection is closed.
    stream: RefCell<Option<TcpStream>>,
    /// The body that comes in.
    body: RefCell<Vec<u8>>,
    /// Wakes the task that serves the connection.
    waker: RefCell<Option<Waker>>,
    /// Why the request is refused, if it is.
    refusal: Cell<Option<Cause>>,
    /// Whether the answer to a refused request has been sent.
    is_refusal_sent: Cell<bool>,
    /// Whether an answer is being sent.
    is_answering: Cell<bool>,
    /// Whether as much was read as is allowed at a time.
    is_step_done: Cell<bool>,
    /// Whether reading waits for the answer to a request.
    is_read_held: Cell<bool>,
    /// Whether the client takes no more of an answer at present.
    is_write_blocked: Cell<bool>,
    /// Whether it is closed as soon as nothing of a request has come.
    is_ending: Cell<bool>,
    /// Whether this end has been shut down in order.
    is_shut: Cell<bool>,
    is_disconnected: Cell<bool>,
    disconnect: Notify,
    chunks: Cell<ChunkQueue>,
}

/// The queue in which the chunks of a body wait for the reader.
#[derive(Clone, Copy, Default)]
struct ChunkQueue {
    /// The chunks that were taken since the reader last waited.
    taken: usize,
    /// The chunks for which room is held.
    held: usize,
}

impl ClientSocket {
    pub(super) fn new(clients: Clients, id: ConnectionId, stream: TcpStream) -> ClientSocket {
        ClientSocket {
            clients,
            id,
            stream: RefCell::new(Some(stream)),
            body: RefCell::default(),
            waker: RefCell::default(),
            refusal: Cell::default(),
            is_refusal_sent: Cell::default(),
            is_answering: Cell::default(),
            is_step_done: Cell::default(),
            is_read_held: Cell::default(),
            is_write_blocked: Cell::default(),
            is_ending: Cell::default(),
            is_shut: Cell::default(),
            is_disconnected: Cell::default(),
            disconnect: Notify::new(),
            chunks: Cell::default(),
        }
    }

    /// Waits until the client has closed the connection.
    pub async fn disconnected(&self) {
        let notified = self.disconnect.notified();
        if !self.is_disconnected.get() {
            notified.await;
        }
    }

    /// Handles the whole head of a request.
    ///
    /// # Errors
    ///
    /// The cause, if the request is refused.
    pub fn begin(&self, body: BodyKind) -> Result<(), Cause> {
        let begun = self.clients.with(|c, now| c.begin(now, self.id, body));
        begun.map_err(|cause| self.refuse(cause))
    }

    /// Returns why the request is refused, if it is.
    pub fn refusal(&self) -> Option<Cause> {
        self.refusal.get()
    }

    /// Stores a part of the body. `announced` is the size of the whole body, if it is known.
    ///
    /// # Errors
    ///
    /// The cause, if the request is refused.
    pub fn store(&self, part: &[u8], announced: Option<usize>) -> Result<(), Cause> {
        self.count_chunk()?;
        let (capacity, added) = {
            let body = self.body.borrow();
            let capacity = grown_capacity(&body, part.len(), announced);
            (capacity, capacity - body.capacity())
        };
        let stored = self
            .clients
            .with(|c, now| c.body_part(now, self.id, part.len(), added));
        stored.map_err(|cause| self.refuse(cause))?;
        let mut body = self.body.borrow_mut();
        let missing = capacity - body.len();
        body.reserve_exact(missing);
        body.extend_from_slice(part);
        Ok(())
    }

    /// Takes room for the queue in which the chunks of a body wait.
    fn count_chunk(&self) -> Result<(), Cause> {
        let ChunkQueue { taken, held } = self.chunks.get();
        let taken = taken + 1;
        if taken <= held.max(CHUNKS_INCLUDED) {
            self.chunks.set(ChunkQueue { taken, held });
            return Ok(());
        }
        let grown = taken.next_power_of_two();
        self.chunks.set(ChunkQueue { taken, held: grown });
        let counted = self
            .clients
            .with(|c, now| c.chunk_queue(now, self.id, grown - held));
        counted.map_err(|cause| self.refuse(cause))
    }

    /// Handles that all chunks so far were taken.
    pub fn chunks_taken(&self) {
        let held = self.chunks.get().held;
        self.chunks.set(ChunkQueue { taken: 0, held });
    }

    /// Returns the whole body.
    pub fn take_body(&self) -> Bytes {
        self.clients.with(|c, now| c.body_complete(now, self.id));
        self.chunks.take();
        Bytes::from(self.body.take())
    }

    /// Takes room for more that the request makes the process hold until it is answered, in bytes.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it.
    pub fn hold(&self, bytes: usize) -> Result<(), Cause> {
        self.clients.with(|c, now| c.hold(now, self.id, bytes))
    }

    /// Handles an answer before it is sent, with the size of its body.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it.
    pub fn answer(&self, bytes: usize) -> Result<(), Cause> {
        self.is_answering.set(true);
        self.clients.with(|c, now| c.answer(now, self.id, bytes))
    }

    /// Refuses the request. Nothing more is read from the connection, and it ends after the answer.
    fn refuse(&self, cause: Cause) -> Cause {
        self.refusal.set(Some(cause));
        self.body.take();
        cause
    }

    /// Closes the connection at once, with an answer if a part of a request had come.
    pub(super) fn close(&self, cause: Cause, in_request: bool) {
        self.body.take();
        if let Some(stream) = self.stream.take()
            && in_request
        {
            write_refusal(&stream, cause);
        }
        self.set_disconnected();
        self.wake();
    }

    /// Ends a connection that waits for a request, unless one has come meanwhile.
    pub(super) fn end_unused(&self) {
        self.is_ending.set(true);
        self.wake();
    }

    /// Refuses a request of which only a part has come.
    pub(super) fn refuse_unfinished(&self) {
        let cause = self.clients.with(|c, _| c.refuse(self.id, Cause::Leaving));
        match self.clients.read(|c| c.is_receiving_body(self.id)) {
            // The reader of the body answers.
            true => _ = self.refuse(cause),
            false => self.refuse_head(cause),
        }
        self.wake();
    }

    /// Returns whether the connection ends now: it is to be closed, and nothing of a request has come.
    fn ends_unused(&self, stream: &TcpStream) -> bool {
        self.is_ending.get()
            && self.clients.read(|c| c.awaits_request(self.id))
            && !has_unread(stream)
    }

    /// Gives a refused client the time to receive its answer, then closes the connection.
    pub async fn end(&self) {
        let in_order = self.is_shut.get() || self.is_disconnected.get();
        if self.refusal.get().is_some() || !in_order {
            self.clients.with(|c, now| c.closing(now, self.id));
            let mut drained = 0;
            let draining = std::future::poll_fn(|cx| self.poll_drain(cx, &mut drained));
            // A client that sends on for longer is cut off.
            let _ = actix_rt::time::timeout(LINGER, draining).await;
        }
        self.clients.remove(self.id);
        self.stream.take();
    }

    /// Reads and drops what a refused client sends, up to [`LINGER_BYTES`]. Completes when the client has closed the
    /// connection.
    fn poll_drain(&self, cx: &mut Context<'_>, drained: &mut usize) -> Poll<()> {
        self.remember(cx);
        let mut stream = self.stream.borrow_mut();
        let Some(stream) = stream.as_mut() else {
            return Poll::Ready(());
        };
        if !self.is_shut.replace(true) && Pin::new(&mut *stream).poll_shutdown(cx).is_pending() {
            self.is_shut.set(false);
        }
        let mut bytes = [0; 2048];
        while *drained < LINGER_BYTES {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => *drained += buf.filled().len(),
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Pending
    }

    fn set_disconnected(&self) {
        self.is_disconnected.set(true);
        self.disconnect.notify_waiters();
    }

    fn remember(&self, cx: &Context<'_>) {
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|w| w.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
    }

    fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.remember(cx);
        if self.refusal.get().is_some() {
            return match self.is_refusal_sent.get() {
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        if self.is_step_done.take() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match self.clients.read(|c| c.read_allowance(self.id)) {
            ReadAllowance::Bytes(most) => self.poll_read_some(cx, buf, most),
            ReadAllowance::Nothing => {
                self.is_read_held.set(true);
                Poll::Pending
            }
            ReadAllowance::Refused(cause) => {
                self.clients.with(|c, _| c.refuse(self.id, cause));
                self.refuse_head(cause);
                Poll::Ready(Ok(()))
            }
            ReadAllowance::Closed => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }

    fn poll_read_some(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<()>> {
        let capacity = buf.remaining();
        let polled = match &mut *self.stream.borrow_mut() {
            Some(stream) => match poll_read_most(stream, cx, buf, most) {
                Poll::Pending if self.ends_unused(stream) => return Poll::Ready(Ok(())),
                polled => polled,
            },
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        match polled {
            Poll::Ready(Ok(0)) if capacity > 0 => self.set_disconnected(),
            Poll::Ready(Ok(read)) => {
                self.is_step_done.set(read == most);
                let received = self.clients.with(|c, now| c.received(now, self.id, read));
                if let Err(cause) = received {
                    self.refuse_part(cause);
                }
            }
            Poll::Ready(Err(_)) => self.set_disconnected(),
            Poll::Pending => {}
        }
        polled.map_ok(|_| ())
    }

    /// Refuses a request of which a part has come.
    fn refuse_part(&self, cause: Cause) {
        match cause {
            // The reader of the body answers.
            Cause::BodyOverhead => _ = self.refuse(cause),
            _ => self.refuse_head(cause),
        }
    }

    /// Refuses a request whose head has not come whole.
    fn refuse_head(&self, cause: Cause) {
        self.refuse(cause);
        if let Some(stream) = &*self.stream.borrow() {
            write_refusal(stream, cause);
        }
        self.is_refusal_sent.set(true);
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = match &mut *self.stream.borrow_mut() {
            Some(stream) => Pin::new(stream).poll_write(cx, bytes),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        let was_blocked = self.is_write_blocked.replace(polled.is_pending());
        match (was_blocked, polled.is_pending()) {
            (false, true) => {
                let blocked = self.clients.with(|c, now| c.blocked(now, self.id));
                blocked.map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))?;
            }
            (true, false) => self.clients.with(|c, now| c.sent(now, self.id)),
            _ => {}
        }
        polled
    }

    /// Handles that everything was written.
    fn written(&self, cx: &Context<'_>) {
        if !self.is_answering.take() {
            return;
        }
        if self.refusal.get().is_some() {
            self.is_refusal_sent.set(true);
            cx.waker().wake_by_ref();
        }
        self.clients.with(|c, now| c.flushed(now, self.id));
        if self.is_read_held.take() {
            cx.waker().wake_by_ref();
        }
    }

    fn poll_shutdown(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut.set(true);
        match &mut *self.stream.borrow_mut() {
            Some(stream) => Pin::new(stream).poll_shutdown(cx),
            None => Poll::Ready(Ok(())),
        }
    }
}

/// Returns the capacity that a body needs for one more part.
fn grown_capacity(body: &Vec<u8>, part: usize, announced: Option<usize>) -> usize {
    let needed = body.len() + part;
    if needed <= body.capacity() {
        return body.capacity();
    }
    let doubled = needed.max(2 * body.capacity());
    match announced {
        Some(size) => doubled.min(size).max(needed),
        None => doubled,
    }
}

/// Reads at most `most` bytes into a buffer. Returns how many.
fn poll_read_most(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    most: usize,
) -> Poll<io::Result<usize>> {
    let before = buf.filled().len();
    if most >= buf.remaining() {
        let polled = Pin::new(stream).poll_read(cx, buf);
        return polled.map_ok(|()| buf.filled().len() - before);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
    let polled = Pin::new(stream).poll_read(cx, &mut part);
    let read = part.filled().len();
    buf.advance(read);
    polled.map_ok(|()| read)
}

/// Returns whether the kernel holds bytes that were not read. The runtime may not have noticed them yet.
fn has_unread(stream: &TcpStream) -> bool {
    let Ok(descriptor) = stream.as_fd().try_clone_to_owned() else {
        return false;
    };
    let same = std::net::TcpStream::from(descriptor);
    let mut bytes = [0; 1];
    same.peek(&mut bytes).is_ok_and(|n| n > 0)
}

/// Writes a refusal as far as the socket takes it at once. It does on a connection without an answer under way.
pub(super) fn write_refusal(stream: &TcpStream, cause: Cause) {
    if let Some(head) = refusal_head(cause) {
        let answer = format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        // A client that takes no answer gets none.
        let _ = stream.try_write(answer.as_bytes());
    }
}

/// Gives a client that was refused at once the time to receive its answer.
pub(super) async fn drain(mut stream: TcpStream) {
    let drain = async {
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut drained = 0;
        let mut bytes = [0; 2048];
        while drained < LINGER_BYTES && stream.readable().await.is_ok() {
            match stream.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(n) => drained += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        std::future::pending().await
    };
    let _ = actix_rt::time::timeout(LINGER, drain).await;
}

/// The stream of a connection for the HTTP layer.
pub struct ClientStream(pub Rc<ClientSocket>);

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.written(cx);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_shutdown(cx)
    }
}
