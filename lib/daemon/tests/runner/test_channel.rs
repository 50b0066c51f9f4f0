//! Links over real connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use prost::Message;
use stackcourse_daemon::dispatch::channel;
use stackcourse_daemon::dispatch::channel::ChannelSender;
use stackcourse_daemon::dispatch::channel::LinkDecision;
use stackcourse_daemon::dispatch::channel::LinkEnd;
use stackcourse_daemon::dispatch::channel::LinkHandler;
use stackcourse_daemon::dispatch::traffic::Traffic;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

#[derive(Default)]
struct Owner {
    sender: RefCell<Option<ChannelSender>>,
    traffic: Rc<Traffic>,
    ended_here: Cell<bool>,
}

impl LinkHandler for Owner {
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
        self.ended_here.set(matches!(end, LinkEnd::ClosedLocally));
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.traffic.clone()
    }
}

/// Accepts one link, greets, and never reads.
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

/// A link that was given up because its other end had fallen silent went on with its queue for as long as
/// that took, up to 28 s in the logs of a fleet, and was not dialled anew meanwhile.
#[actix_rt::test]
async fn test_channel_that_is_closed_does_not_wait_for_its_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("it is bound");
    actix_rt::spawn(accept_and_stall(listener));
    let owner = Rc::new(Owner::default());
    let stream = TcpStream::connect(address).await.expect("it listens");
    let listening = owner.clone();
    let serving = actix_rt::spawn(async move { channel::serve(stream, &*listening).await });
    while owner.sender.borrow().is_none() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let large = proto::PeerUpdate {
        catalog: vec![0; 1 << 20].into(),
        ..proto::PeerUpdate::default()
    };
    for _ in 0..32 {
        let sender = owner.sender.borrow();
        let sender = sender.as_ref().expect("the link is up");
        sender.send(Body::Peer(large.clone()));
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert!(owner.traffic.waiting()[1] > 8 << 20, "the queue is full");
    owner.sender.replace(None);
    let ended = actix_rt::time::timeout(Duration::from_secs(2), serving).await;
    assert!(ended.is_ok(), "the link waits for its queue");
    assert!(owner.ended_here.get());
    assert_eq!(owner.traffic.waiting(), [0, 0], "nothing is left of it");
}
