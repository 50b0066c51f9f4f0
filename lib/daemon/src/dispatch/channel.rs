//! Links of the dispatch plane: TCP connections that carry length-delimited protobuf frames.

use std::net::SocketAddr;
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
use tokio::sync::mpsc;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::dispatch::traffic::Outgoing;
use crate::dispatch::traffic::Traffic;

/// The largest frame, in bytes.
pub const MAX_FRAME: usize = 16 << 20;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Why a link could not be set up.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] std::io::Error),
    /// There was no connection in time.
    #[error("there was no connection in time")]
    Unreached,
    /// The other end did not greet in time.
    #[error("the other end did not greet in time")]
    Silent,
    /// The other end did not begin with a greeting.
    #[error("the other end did not begin with a greeting")]
    NoGreeting,
    /// The other end is not one to be linked with, nor will be.
    #[error("the other end is of another partition")]
    Foreign,
    /// It is not known yet whether the other end is one to be linked with.
    #[error("it is not known yet how the fleet is divided")]
    Undivided,
}

/// Whether a link is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// It is.
    Yes,
    /// It is not known yet.
    NotYet,
    /// It is not, and won't be.
    Never,
}

/// Why a link is over.
#[derive(Debug, Error)]
pub enum LinkEnd {
    /// This process closed it.
    #[error("closed here")]
    Here,
    /// The other process closed it, or has ended.
    #[error("closed by the other end")]
    There,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(std::io::Error),
    /// What came in is no frame.
    #[error("a frame could not be read: {0}")]
    Unreadable(prost::DecodeError),
}

/// The sending half of a link. Dropping it closes the link at once, with what is queued: a link is
/// given up when its other end is silent or another link replaces it, and what waits in it is old.
/// Sending that first took up to 28 s in a fleet whose links were full, and no new link was dialled
/// meanwhile.
#[derive(Debug)]
pub struct ChannelSender {
    queue: mpsc::UnboundedSender<Outgoing>,
    traffic: Rc<Traffic>,
    _open: DropGuard,
}

impl ChannelSender {
    /// Queues a message. It is dropped if the link is down; the state machines hear of that.
    pub fn send(&self, body: Body) {
        let frame = proto::Frame { body: Some(body) };
        let bytes = Bytes::from(frame.encode_to_vec());
        if let Some(body) = &frame.body {
            let _ = self.queue.send(self.traffic.enqueue(body, bytes));
        }
    }
}

/// Who hears what happens on a link.
pub trait Listener: 'static {
    /// How links are set up.
    fn policy(&self) -> LinkPolicy;
    /// The greeting to send.
    fn greeting(&self) -> proto::Greeting;
    /// Whether a link to this process is wanted.
    fn wants(&self, theirs: &proto::Greeting) -> Wanted;
    /// The schedulers with which a process should link to which no link is wanted, as far as they are known here.
    fn directions(&self, _theirs: &proto::Greeting) -> Vec<proto::Member> {
        Vec::new()
    }
    /// A process to which no link is wanted has named schedulers with which this one should link.
    fn directed(&self, _members: Vec<proto::Member>) {}
    /// A link is up.
    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender);
    /// A message came in.
    fn message(&self, link: LinkId, body: Body);
    /// The link to this process is down.
    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd);
    /// What passes on the links of this process.
    fn traffic(&self) -> Rc<Traffic>;
}

type Wire = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Wire {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    Framed::new(stream, codec)
}

fn encode(body: Body) -> Bytes {
    let frame = proto::Frame { body: Some(body) };
    Bytes::from(frame.encode_to_vec())
}

/// Binds a listener that many can connect to at once.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn greet(wire: &mut Wire, own: proto::Greeting) -> Result<proto::Greeting, ChannelError> {
    wire.send(encode(Body::Greeting(own))).await?;
    let Some(frame) = wire.next().await else {
        return Err(ChannelError::Silent);
    };
    match proto::Frame::decode(frame?).ok().and_then(|f| f.body) {
        Some(Body::Greeting(theirs)) => Ok(theirs),
        _ => Err(ChannelError::NoGreeting),
    }
}

/// Connects to another process within `patience` and runs the link until it is down.
///
/// # Errors
///
/// When the link could not be set up.
pub async fn dial(
    address: SocketAddr,
    patience: Duration,
    listener: &impl Listener,
) -> Result<(), ChannelError> {
    let connecting = TcpStream::connect(address);
    let timed = tokio::time::timeout(patience, connecting).await;
    let stream = timed.map_err(|_| ChannelError::Unreached)??;
    serve(stream, listener).await
}

/// Exchanges greetings on a connection and runs the link until it is down.
///
/// # Errors
///
/// When the link could not be set up.
pub async fn serve(stream: TcpStream, listener: &impl Listener) -> Result<(), ChannelError> {
    let mut wire = framed(stream);
    let greeting = greet(&mut wire, listener.greeting());
    let timed = tokio::time::timeout(listener.policy().greeting, greeting).await;
    let theirs = timed.map_err(|_| ChannelError::Silent)??;
    match listener.wants(&theirs) {
        Wanted::Yes => {
            run(wire, theirs, listener).await;
            Ok(())
        }
        Wanted::NotYet => Err(ChannelError::Undivided),
        Wanted::Never => {
            let directing = direct(&mut wire, &theirs, listener);
            let _ = tokio::time::timeout(listener.policy().greeting, directing).await;
            Err(ChannelError::Foreign)
        }
    }
}

/// Exchanges directions with a process of another partition, which may not have been able to ask the store.
async fn direct(
    wire: &mut Wire,
    theirs: &proto::Greeting,
    listener: &impl Listener,
) -> Result<(), ChannelError> {
    let members = listener.directions(theirs);
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
        listener.directed(update.members);
    }
    Ok(())
}

async fn run(wire: Wire, theirs: proto::Greeting, listener: &impl Listener) {
    let link = LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed));
    let traffic = listener.traffic();
    let (sink, mut stream) = wire.split();
    let (queue, receiver) = mpsc::unbounded_channel();
    let mut writer = actix_rt::spawn(write(sink, receiver));
    let closed = CancellationToken::new();
    let sender = ChannelSender {
        queue,
        traffic: traffic.clone(),
        _open: closed.clone().drop_guard(),
    };
    listener.up(link, &theirs, sender);
    let end = loop {
        let next = tokio::select! {
            next = stream.next() => next,
            written = &mut writer => break written.unwrap_or(LinkEnd::Here),
            () = closed.cancelled() => break LinkEnd::Here,
        };
        let bytes = match next {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => break LinkEnd::Broken(e),
            None => break LinkEnd::There,
        };
        let size = bytes.len();
        match proto::Frame::decode(bytes) {
            Ok(frame) => {
                if let Some(body) = frame.body {
                    traffic.count_received(&body, size);
                    listener.message(link, body);
                }
            }
            Err(e) => break LinkEnd::Unreadable(e),
        }
    };
    writer.abort();
    listener.down(link, &theirs, end);
}

type WireSink = futures::stream::SplitSink<Wire, Bytes>;

/// Writes what is queued, flushing when the queue is empty. Ends when the sender is dropped.
async fn write(mut sink: WireSink, mut queue: mpsc::UnboundedReceiver<Outgoing>) -> LinkEnd {
    while let Some(first) = queue.recv().await {
        if let Err(e) = write_queued(&mut sink, first, &mut queue).await {
            return LinkEnd::Broken(e);
        }
    }
    LinkEnd::Here
}

async fn write_queued(
    sink: &mut WireSink,
    first: Outgoing,
    queue: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> std::io::Result<()> {
    sink.feed(first.bytes()).await?;
    while let Ok(more) = queue.try_recv() {
        sink.feed(more.bytes()).await?;
    }
    sink.flush().await
}
