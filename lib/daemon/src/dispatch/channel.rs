//! Links of the dispatch plane: TCP connections that carry length-delimited protobuf frames.
//!
//! Both ends first exchange greetings. A [`LinkHandler`] decides by them whether the link is wanted, and is
//! told of each message and of the end of the link.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;
use tokio_util::codec::LengthDelimitedCodec;

use crate::dispatch::frame_writer::FrameWriter;
use crate::dispatch::traffic::Traffic;

/// The size limit of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size limit of a frame from a process that has not greeted, in bytes.
const MAX_GREETING_BYTES: usize = 4 << 10;
/// The size limit of a frame from a process to which no link is wanted, in bytes.
const MAX_REDIRECT_BYTES: usize = 256 << 10;
/// The number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Reasons why a link could not be set up.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The connection could not be opened, or failed during the exchange of greetings.
    #[error("the connection failed")]
    Io(#[from] std::io::Error),
    /// The connection was not opened in time.
    #[error("the connection was not opened in time")]
    ConnectTimeout,
    /// The other end did not send a greeting in time, or closed the connection first.
    #[error("the other end did not greet in time")]
    GreetingTimeout,
    /// The first frame from the other end is not a greeting.
    #[error("the other end did not begin with a greeting")]
    NoGreeting,
    /// The other end belongs to another partition, so no link to it will be wanted.
    #[error("the other end belongs to another partition")]
    OtherPartition,
    /// The division of the fleet is not known to both ends yet, so it is open whether the link is wanted.
    #[error("the division of the fleet is not known yet")]
    PartitionsUnknown,
}

/// Whether a link to a process is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDecision {
    /// The link is wanted.
    Yes,
    /// The division of the fleet is not known to both ends yet; the link can be tried again later.
    NotYet,
    /// The link is not wanted, now or later.
    Never,
}

/// Reasons why a link ended.
#[derive(Debug, Error)]
pub enum LinkEnd {
    /// This process closed the link.
    #[error("closed here")]
    ClosedLocally,
    /// The other process closed the link or exited.
    #[error("closed by the other end")]
    ClosedByPeer,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(std::io::Error),
    /// A received frame can't be decoded.
    #[error("a frame could not be read: {0}")]
    Unreadable(prost::DecodeError),
}

/// The sending half of a link. Dropping it closes the link at once and discards the queued frames.
///
/// A link is dropped when its other end is silent or another link replaces it, and by then the queued frames
/// are out of date. Sending them first could take up to 28 s on a full link, and no new link was dialled in
/// that time.
#[derive(Debug)]
pub struct ChannelSender {
    writer: Rc<FrameWriter>,
    traffic: Rc<Traffic>,
}

impl ChannelSender {
    /// Sends a message, or queues it while the connection takes no more. Drops it if the link is down, which
    /// the handler learns from [`LinkHandler::down`].
    pub fn send(&self, body: Body) {
        let frame = proto::Frame { body: Some(body) };
        let bytes = Bytes::from(frame.encode_to_vec());
        if let Some(body) = &frame.body {
            self.writer.send(self.traffic.enqueue(body, bytes));
        }
    }
}

impl Drop for ChannelSender {
    fn drop(&mut self) {
        self.writer.close();
    }
}

/// Handles the events of links and decides which links are wanted.
pub trait LinkHandler: 'static {
    /// Returns the settings for links.
    fn policy(&self) -> LinkPolicy;
    /// Returns the greeting to send.
    fn greeting(&self) -> proto::Greeting;
    /// Returns whether a link to the sender of this greeting is wanted.
    fn decide_link(&self, theirs: &proto::Greeting) -> LinkDecision;
    /// Returns the schedulers to which a process without a wanted link should connect instead, as far as they
    /// are known.
    fn redirect_targets(&self, _theirs: &proto::Greeting) -> Vec<proto::Member> {
        Vec::new()
    }
    /// Handles the schedulers that a process without a wanted link has named as targets to connect to
    /// instead.
    fn handle_redirect(&self, _members: Vec<proto::Member>) {}
    /// Handles a link that is up.
    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender);
    /// Handles a message received on a link.
    fn message(&self, link: LinkId, body: Body);
    /// Handles the end of the link to the sender of this greeting.
    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd);
    /// Returns the traffic counters for the links of this process.
    fn traffic(&self) -> Rc<Traffic>;
}

type Wire = Framed<TcpStream, LengthDelimitedCodec>;

fn frame_stream(stream: TcpStream) -> Wire {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_GREETING_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

fn encode(body: Body) -> Bytes {
    let frame = proto::Frame { body: Some(body) };
    Bytes::from(frame.encode_to_vec())
}

/// Binds a TCP listener with a long accept queue, so that many processes can connect at once.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

async fn exchange_greetings(
    wire: &mut Wire,
    own: proto::Greeting,
) -> Result<proto::Greeting, ChannelError> {
    wire.send(encode(Body::Greeting(own))).await?;
    let Some(frame) = wire.next().await else {
        return Err(ChannelError::GreetingTimeout);
    };
    match proto::Frame::decode(frame?).ok().and_then(|f| f.body) {
        Some(Body::Greeting(theirs)) => Ok(theirs),
        _ => Err(ChannelError::NoGreeting),
    }
}

/// Connects to another process within `timeout` and runs the link until it is down.
///
/// # Errors
///
/// When the link could not be set up.
pub async fn dial(
    address: SocketAddr,
    timeout: Duration,
    handler: &impl LinkHandler,
) -> Result<(), ChannelError> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(timeout, connecting).await;
    let stream = connected.map_err(|_| ChannelError::ConnectTimeout)??;
    serve(stream, handler, || {}).await
}

/// Exchanges greetings on a connection and runs the link until it is down. Calls `accepted` once the link is wanted.
///
/// # Errors
///
/// When the link could not be set up.
pub async fn serve(
    stream: TcpStream,
    handler: &impl LinkHandler,
    accepted: impl FnOnce(),
) -> Result<(), ChannelError> {
    let mut wire = frame_stream(stream);
    let greeting = exchange_greetings(&mut wire, handler.greeting());
    let greeted = tokio::time::timeout(handler.policy().greeting, greeting).await;
    let theirs = greeted.map_err(|_| ChannelError::GreetingTimeout)??;
    match handler.decide_link(&theirs) {
        LinkDecision::Yes => {
            accepted();
            wire.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
            run_link(wire, theirs, handler).await;
            Ok(())
        }
        LinkDecision::NotYet => Err(ChannelError::PartitionsUnknown),
        LinkDecision::Never => {
            wire.codec_mut().set_max_frame_length(MAX_REDIRECT_BYTES);
            let redirecting = exchange_redirects(&mut wire, &theirs, handler);
            let _ = tokio::time::timeout(handler.policy().greeting, redirecting).await;
            Err(ChannelError::OtherPartition)
        }
    }
}

/// Exchanges the addresses of suitable schedulers with a process of another partition, which may have
/// connected here because it could not read them from the store.
async fn exchange_redirects(
    wire: &mut Wire,
    theirs: &proto::Greeting,
    handler: &impl LinkHandler,
) -> Result<(), ChannelError> {
    let members = handler.redirect_targets(theirs);
    if !members.is_empty() {
        let update = proto::PeerUpdate {
            members,
            ..proto::PeerUpdate::default()
        };
        wire.send(encode(Body::Peer(update))).await?;
    }
    let Some(frame) = wire.next().await else {
        return Ok(());
    };
    if let Some(Body::Peer(update)) = proto::Frame::decode(frame?).ok().and_then(|f| f.body) {
        handler.handle_redirect(update.members);
    }
    Ok(())
}

async fn run_link(wire: Wire, theirs: proto::Greeting, handler: &impl LinkHandler) {
    let link = LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed));
    let traffic = handler.traffic();
    let (mut stream, writer) = split(wire);
    let writer = Rc::new(writer);
    let sender = ChannelSender {
        writer: writer.clone(),
        traffic: traffic.clone(),
    };
    handler.up(link, &theirs, sender);
    let mut writing = pin!(writer.run());
    let end = loop {
        let next = tokio::select! {
            biased;
            end = &mut writing => break end,
            next = stream.next() => next,
        };
        let bytes = match next {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => break LinkEnd::Broken(e),
            None => break LinkEnd::ClosedByPeer,
        };
        let size = bytes.len();
        match proto::Frame::decode(bytes) {
            Ok(frame) => {
                if let Some(body) = frame.body {
                    traffic.count_received(&body, size);
                    handler.message(link, body);
                }
            }
            Err(e) => break LinkEnd::Unreadable(e),
        }
    };
    writer.close();
    handler.down(link, &theirs, end);
}

/// Splits a connection into the stream of incoming frames, with what has been read already, and the writer.
fn split(wire: Wire) -> (Framed<OwnedReadHalf, LengthDelimitedCodec>, FrameWriter) {
    let parts = wire.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut reading = FramedParts::new::<Bytes>(reader, parts.codec);
    reading.read_buf = parts.read_buf;
    (Framed::from_parts(reading), FrameWriter::new(writer))
}
