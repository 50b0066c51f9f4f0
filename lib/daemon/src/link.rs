//! Links between processes: TCP connections that carry length-delimited protobuf frames.
//!
//! A link has a reading and a writing task. The owner of the state machine receives a [`LinkEvent`] for each
//! change and message, and sends through a [`LinkSender`]. A link on which nothing arrives for the idle
//! timeout is closed; both ends send heartbeats more often than that.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::*;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::logging::log_event;

/// The time without a frame after which a link between entries is closed.
pub const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// The time without a frame after which a link between an agent and an entry is closed. It is long because
/// agents seldom send heartbeats to entries on standby; an agent detects unanswered heartbeats much sooner.
pub const AGENT_IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// The time limit for connecting and exchanging hello messages.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest frame of a process that has not said hello, in bytes.
const MAX_HELLO_BYTES: usize = 4 << 10;
/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Counters of the frames and bytes that this process has sent and received on links. Frames that concern
/// tasks (`Start`, `Answer`, `Forward`, `Reply`) are counted apart from control frames.
#[derive(Debug, Default)]
pub struct Traffic {
    /// The number of frames that concern tasks.
    pub task_frames: AtomicU64,
    /// The bytes of these frames, length prefix included, without TCP overhead.
    pub task_bytes: AtomicU64,
    /// The number of all other frames.
    pub control_frames: AtomicU64,
    /// The bytes of these frames, length prefix included, without TCP overhead.
    pub control_bytes: AtomicU64,
}

/// The traffic counters of this process.
pub static TRAFFIC: Traffic = Traffic {
    task_frames: AtomicU64::new(0),
    task_bytes: AtomicU64::new(0),
    control_frames: AtomicU64::new(0),
    control_bytes: AtomicU64::new(0),
};

impl Traffic {
    fn record(&self, body: &Body, bytes: usize) {
        let is_task = matches!(
            body,
            Body::Start(_) | Body::Answer(_) | Body::Forward(_) | Body::Reply(_)
        );
        let (frames, total) = if is_task {
            (&self.task_frames, &self.task_bytes)
        } else {
            (&self.control_frames, &self.control_bytes)
        };
        frames.fetch_add(1, Ordering::Relaxed);
        total.fetch_add(bytes as u64 + LENGTH_PREFIX, Ordering::Relaxed);
    }
}

/// The size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX: u64 = 4;

/// The reason why a link could not be set up.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] std::io::Error),
    /// The other end sent no hello message in time, or closed the connection before it did.
    #[error("the other end sent no hello message in time")]
    NoResponse,
    /// The first frame from the other end is not a hello message.
    #[error("the first frame is not a hello message")]
    InvalidHello,
}

/// A change of a link's state, or a message received on it.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link is up. Carries the other end's hello message and the sender for this link.
    Up(LinkId, wire::Hello, LinkSender),
    /// A message was received.
    Message(LinkId, Body),
    /// The link is down.
    Down(LinkId),
}

/// The sending half of a link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: mpsc::UnboundedSender<Body>,
}

impl LinkSender {
    /// Queues a message. Drops it if the link is down, which the state machine learns from
    /// [`LinkEvent::Down`].
    pub fn send(&self, body: Body) {
        let _ = self.queue.send(body);
    }
}

type Connection = Framed<TcpStream, LengthDelimitedCodec>;

fn frame_connection(stream: TcpStream) -> Connection {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

fn encode(body: Body) -> Bytes {
    let frame = wire::Frame { body: Some(body) };
    let bytes = Bytes::from(frame.encode_to_vec());
    if let Some(body) = &frame.body {
        TRAFFIC.record(body, bytes.len());
    }
    bytes
}

async fn exchange_hello(
    connection: &mut Connection,
    hello: wire::Hello,
) -> Result<wire::Hello, LinkError> {
    connection.send(encode(Body::Hello(hello))).await?;
    let Some(frame) = connection.next().await else {
        return Err(LinkError::NoResponse);
    };
    match wire::Frame::decode(frame?).ok().and_then(|f| f.body) {
        Some(Body::Hello(theirs)) => {
            connection.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
            Ok(theirs)
        }
        _ => Err(LinkError::InvalidHello),
    }
}

/// Connects to another process and runs the link until it is down.
///
/// Sends `hello` first. Closes the connection if `accept` returns false for the other end's hello message.
///
/// # Errors
///
/// Returns an error if the link could not be set up.
pub async fn dial(
    address: SocketAddr,
    hello: wire::Hello,
    accept: impl FnOnce(&wire::Hello) -> bool,
    events: impl Fn(LinkEvent) + 'static,
) -> Result<(), LinkError> {
    let connect = async {
        let mut connection = frame_connection(TcpStream::connect(address).await?);
        let idle_timeout = idle_timeout_for(&hello);
        let theirs = exchange_hello(&mut connection, hello).await?;
        Ok::<_, LinkError>((connection, theirs, idle_timeout))
    };
    let timed = tokio::time::timeout(HANDSHAKE_TIMEOUT, connect).await;
    let (connection, theirs, idle_timeout) = timed.map_err(|_| LinkError::NoResponse)??;
    if accept(&theirs) {
        run_link(connection, theirs, idle_timeout, events).await;
    }
    Ok(())
}

/// Runs a link that another process has opened, until it is down. Calls `greeted` once that process has said hello.
///
/// # Errors
///
/// Returns an error if the link could not be set up.
pub async fn serve(
    stream: TcpStream,
    hello: wire::Hello,
    greeted: impl FnOnce(),
    events: impl Fn(LinkEvent) + 'static,
) -> Result<(), LinkError> {
    let mut connection = frame_connection(stream);
    let timed =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange_hello(&mut connection, hello)).await;
    let theirs = timed.map_err(|_| LinkError::NoResponse)??;
    greeted();
    let idle_timeout = idle_timeout_for(&theirs);
    run_link(connection, theirs, idle_timeout, events).await;
    Ok(())
}

/// Returns the idle timeout of a link that the sender of `dialer` has opened.
fn idle_timeout_for(dialer: &wire::Hello) -> Duration {
    if dialer.agent {
        AGENT_IDLE_TIMEOUT
    } else {
        PEER_IDLE_TIMEOUT
    }
}

async fn run_link(
    connection: Connection,
    theirs: wire::Hello,
    idle_timeout: Duration,
    events: impl Fn(LinkEvent) + 'static,
) {
    let id = LinkId(NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed));
    let (sink, mut stream) = connection.split();
    let (queue, receiver) = mpsc::unbounded_channel();
    let mut writer = actix_rt::spawn(write_messages(sink, receiver));
    events(LinkEvent::Up(id, theirs, LinkSender { queue }));
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(idle_timeout, stream.next()) => next,
            _ = &mut writer => break,
        };
        let Ok(Some(Ok(bytes))) = next else {
            break;
        };
        let length = bytes.len();
        match wire::Frame::decode(bytes) {
            Ok(frame) => {
                if let Some(body) = frame.body {
                    TRAFFIC.record(&body, length);
                    events(LinkEvent::Message(id, body));
                }
            }
            Err(e) => {
                log_event(&Event::new(Kind::BadFrame, e.to_string()));
                break;
            }
        }
    }
    writer.abort();
    events(LinkEvent::Down(id));
}

type ConnectionSink = futures::stream::SplitSink<Connection, Bytes>;

/// Writes the queued messages and flushes whenever the queue is empty, so that a burst shares one flush.
async fn write_messages(mut sink: ConnectionSink, mut queue: mpsc::UnboundedReceiver<Body>) {
    while let Some(first) = queue.recv().await {
        if sink.feed(encode(first)).await.is_err() {
            return;
        }
        while let Ok(more) = queue.try_recv() {
            if sink.feed(encode(more)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
