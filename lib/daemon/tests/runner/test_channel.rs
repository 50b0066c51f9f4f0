//! Links over TCP connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use stackcourse_daemon::dispatch::channel;
use stackcourse_daemon::dispatch::channel::ChannelSender;
use stackcourse_daemon::dispatch::channel::LinkDecision;
use stackcourse_daemon::dispatch::channel::LinkEnd;
use stackcourse_daemon::dispatch::channel::LinkHandler;
use stackcourse_daemon::dispatch::links;
use stackcourse_daemon::dispatch::traffic::Traffic;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Keeps the sender of its link and how the link ended.
#[derive(Default)]
struct TestHandler {
    sender: RefCell<Option<ChannelSender>>,
    traffic: Rc<Traffic>,
    closed_locally: Cell<bool>,
}

impl LinkHandler for TestHandler {
    fn policy(&self) -> LinkPolicy {
        LinkPolicy::default()
    }

    fn greeting(&self) -> proto::Greeting {
        proto::Greeting::default()
    }

    fn decide_link(&self, _theirs: &proto::Greeting) -> LinkDecision {
        LinkDecision::Yes
    }

    fn up(&self, _link: LinkId, _theirs: &proto::Greeting, sender: ChannelSender) {
        self.sender.replace(Some(sender));
    }

    fn message(&self, _link: LinkId, _body: Body) {}

    fn down(&self, _link: LinkId, _theirs: &proto::Greeting, end: LinkEnd) {
        self.closed_locally
            .set(matches!(end, LinkEnd::ClosedLocally));
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }
}

/// Accepts one link, sends the greeting and never reads.
async fn accept_and_stall(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut wire = Framed::new(stream, LengthDelimitedCodec::new());
    let greeting = Body::Greeting(proto::Greeting::default());
    let frame = proto::Frame {
        body: Some(greeting),
    };
    let sent = wire.send(Bytes::from(frame.encode_to_vec())).await;
    sent.expect("the greeting is sent");
    std::future::pending::<()>().await;
}

/// A link that is closed because its peer is silent must drop its queue. Otherwise it stays open until the
/// queue is written, and the peer is not dialled again meanwhile.
#[actix_rt::test]
async fn test_channel_close_drops_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound address");
    actix_rt::spawn(accept_and_stall(listener));
    let handler = Rc::new(TestHandler::default());
    let stream = TcpStream::connect(address).await.expect("a connection");
    let link_handler = handler.clone();
    let serving =
        actix_rt::spawn(async move { channel::serve(stream, &*link_handler, || {}).await });
    while handler.sender.borrow().is_none() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let large = proto::PeerUpdate {
        catalog: vec![0; 1 << 20].into(),
        ..proto::PeerUpdate::default()
    };
    for _ in 0..32 {
        let sender = handler.sender.borrow();
        let sender = sender.as_ref().expect("the link is up");
        sender.send(Body::Peer(large.clone()));
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert!(
        handler.traffic.waiting()[1] > 8 << 20,
        "the queue holds more than 8 MiB"
    );
    handler.sender.replace(None);
    let ended = actix_rt::time::timeout(Duration::from_secs(2), serving).await;
    assert!(ended.is_ok(), "the link waits until its queue is written");
    assert!(handler.closed_locally.get());
    assert_eq!(handler.traffic.waiting(), [0, 0], "the queue is dropped");
}

/// A frame of deep nesting is an error, which ends its link and not the process.
#[test]
fn test_channel_deeply_nested_frame() {
    const GROUP_START: u8 = 15 << 3 | 3;
    const GROUP_END: u8 = 15 << 3 | 4;
    for levels in [129, 10_000, 100_000] {
        let frame = [vec![GROUP_START; levels], vec![GROUP_END; levels]].concat();
        assert!(proto::Frame::decode(&frame[..]).is_err(), "{levels} levels");
    }
}

/// Members without an address that can be dialled are skipped, and the others are dialled.
#[test]
fn test_channel_odd_member_addresses() {
    let addresses = ["10.0.0.1:65536", "10.0.0.1:-1", "", "x", "10.0.0.2:7720"];
    let member = |address: &&str| proto::Member {
        address: (*address).to_owned(),
        ..proto::Member::default()
    };
    let members: Vec<proto::Member> = addresses.iter().map(member).collect();
    let dialled = links::addresses(&members);
    assert_eq!(dialled, ["10.0.0.2:7720".parse().expect("an address")]);
}

/// Sets up a link to a process that has greeted, and returns its sender and the other end.
async fn open_link() -> (Rc<TestHandler>, Framed<TcpStream, LengthDelimitedCodec>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound address");
    let handler = Rc::new(TestHandler::default());
    let stream = TcpStream::connect(address).await.expect("a connection");
    let link_handler = handler.clone();
    actix_rt::spawn(async move { channel::serve(stream, &*link_handler, || {}).await });
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut wire = Framed::new(stream, LengthDelimitedCodec::new());
    let frame = proto::Frame {
        body: Some(Body::Greeting(proto::Greeting::default())),
    };
    let sent = wire.send(Bytes::from(frame.encode_to_vec())).await;
    sent.expect("the greeting is sent");
    let greeting = wire.next().await.expect("a frame");
    greeting.expect("a greeting");
    while handler.sender.borrow().is_none() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    (handler, wire)
}

/// Guards against a task to wake and run for each frame, which cost more than writing it.
#[actix_rt::test]
async fn test_channel_frame_written_at_once() {
    let (handler, _wire) = open_link().await;
    let sender = handler.sender.borrow();
    let sender = sender.as_ref().expect("the link is up");
    sender.send(Body::Peer(proto::PeerUpdate::default()));
    assert_eq!(handler.traffic.waiting(), [0, 0], "nothing is left to do");
}

/// Guards against frames that are cut or overtaken when the connection takes only a part of them.
#[actix_rt::test]
async fn test_channel_full_connection_keeps_order() {
    const FRAMES: u64 = 200;
    let (handler, mut wire) = open_link().await;
    wire.codec_mut().set_max_frame_length(1 << 20);
    for version in 0..FRAMES {
        let update = proto::PeerUpdate {
            catalog_version: version,
            catalog: vec![7; 100_000 + version as usize].into(),
            ..proto::PeerUpdate::default()
        };
        let sender = handler.sender.borrow();
        let sender = sender.as_ref().expect("the link is up");
        sender.send(Body::Peer(update));
    }
    assert!(handler.traffic.waiting()[0] > 0, "the connection is full");
    for version in 0..FRAMES {
        let frame = wire.next().await.expect("a frame").expect("a whole frame");
        let frame = proto::Frame::decode(frame).expect("a readable frame");
        let Some(Body::Peer(update)) = frame.body else {
            panic!("not an update");
        };
        assert_eq!(update.catalog_version, version);
        assert_eq!(update.catalog.len(), 100_000 + version as usize);
    }
    assert_eq!(handler.traffic.waiting(), [0, 0]);
}
