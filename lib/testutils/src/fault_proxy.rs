//! A TCP proxy that injects faults for tests. It forwards connections to one address and, as the current
//! [`Fault`] says, delays or stalls them, closes them, or drops the reply to a request that has already taken
//! effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::stub_server::sleep_until;

/// The faults that the proxy injects; the default forwards everything without delay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// One-way delay of all data, in microseconds.
    pub delay_us: u64,
    /// Forwards nothing while connections stay open, as if they were half-open.
    pub stall: bool,
    /// Does the same for the connections whose first data contains one of these texts, such as the name of
    /// the process that has connected.
    pub stall_from: Vec<String>,
    /// Closes all connections, and each new one.
    pub reset: bool,
    /// Forwards a request that contains this text, then closes the connection instead of forwarding the
    /// reply. Empty for none.
    pub swallow: String,
}

impl Fault {
    /// Returns whether a connection that began with this data is stalled.
    fn is_stalled(&self, opening: &[u8]) -> bool {
        self.stall || self.stall_from.iter().any(|text| contains(opening, text))
    }
}

/// A handle to a running proxy; clones control the same proxy.
#[derive(Clone)]
pub struct FaultProxy {
    /// The address at which the proxy listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
    swallowed: Arc<Mutex<u64>>,
}

impl FaultProxy {
    /// Starts a proxy to `to` on its own thread.
    ///
    /// # Panics
    ///
    /// Panics if it cannot listen at the address.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> FaultProxy {
        let (sender, receiver) = mpsc::channel();
        let fault = Arc::new(watch::Sender::new(Fault::default()));
        let swallowed = Arc::new(Mutex::new(0));
        let (faults, count) = (fault.clone(), swallowed.clone());
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = TcpListener::bind(listen).await;
                let listener = listener.expect("the address is free");
                let _ = sender.send(listener.local_addr().expect("a bound socket"));
                while let Ok((client, _)) = listener.accept().await {
                    actix_rt::spawn(forward_connection(
                        client,
                        to,
                        faults.clone(),
                        count.clone(),
                    ));
                }
            });
        });
        FaultProxy {
            address: receiver.recv().expect("the proxy starts"),
            fault,
            swallowed,
        }
    }

    /// Replaces the faults, for open connections as well.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Forwards everything with a one-way delay and ends all other faults.
    pub fn set_delay(&self, delay: Duration) {
        self.set(Fault {
            delay_us: delay.as_micros() as u64,
            ..Fault::default()
        });
    }

    /// Returns how many requests matched [`Fault::swallow`].
    pub fn swallowed(&self) -> u64 {
        *self.swallowed.lock().expect("no panic while held")
    }
}

/// Forwards one connection in both directions until either direction ends or a reset is set.
async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
    swallowed: Arc<Mutex<u64>>,
) {
    if fault.borrow().reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let drop_replies = Arc::new(Mutex::new(false));
    let trigger = Some((drop_replies.clone(), swallowed));
    let state = ConnectionState {
        fault: fault.clone(),
        opening: Opening::default(),
    };
    let requests = forward_bytes(client_read, server_write, state.clone(), trigger, None);
    let replies = forward_bytes(server_read, client_write, state, None, Some(drop_replies));
    let mut changes = fault.subscribe();
    tokio::select! {
        () = requests => {}
        () = replies => {}
        _ = changes.wait_for(|f| f.reset) => {}
    }
}

/// Set once the replies on a connection are to be dropped.
type DropFlag = Arc<Mutex<bool>>;
/// The first data on a connection, from either side.
type Opening = Arc<OnceLock<Vec<u8>>>;

/// What both directions of a connection share.
#[derive(Clone)]
struct ConnectionState {
    fault: Arc<watch::Sender<Fault>>,
    opening: Opening,
}

/// Forwards data in one direction. The delay of each chunk counts from its arrival, so that it does not limit
/// the throughput. A chunk that matches [`Fault::swallow`] sets the flag in `dooms` and increments its
/// counter; once `doomed` is set, no further chunk is forwarded.
async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    state: ConnectionState,
    trigger: Option<(DropFlag, Arc<Mutex<u64>>)>,
    drop_replies: Option<DropFlag>,
) {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(1_024);
    let mut current = state.fault.subscribe();
    let read = async move {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(n) = from.read(&mut buffer).await {
            if n == 0 {
                break;
            }
            let at = Instant::now();
            if sender.send((at, buffer[..n].to_vec())).await.is_err() {
                break;
            }
        }
    };
    let write = async move {
        while let Some((at, chunk)) = receiver.recv().await {
            let opening = state.opening.get_or_init(|| chunk.clone());
            let _ = current.wait_for(|f| !f.is_stalled(opening)).await;
            let now = current.borrow().clone();
            if now.delay_us > 0 {
                sleep_until(at + Duration::from_micros(now.delay_us)).await;
            }
            if let Some((drop_flag, count)) = &trigger
                && contains(&chunk, &now.swallow)
            {
                *drop_flag.lock().expect("no panic while held") = true;
                *count.lock().expect("no panic while held") += 1;
            }
            let dropped = drop_replies
                .as_ref()
                .is_some_and(|d| *d.lock().expect("no panic while held"));
            if dropped || to.write_all(&chunk).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(read, write);
}

fn contains(chunk: &[u8], text: &str) -> bool {
    let text = text.as_bytes();
    !text.is_empty() && chunk.windows(text.len()).any(|w| w == text)
}
