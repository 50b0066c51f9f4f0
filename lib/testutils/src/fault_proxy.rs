//! A TCP proxy that delays, stalls, resets, or swallows answers after the request has taken
//! effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
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

/// What the proxy does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Delay of everything, one way, in microseconds.
    pub delay_us: u64,
    /// Nothing is passed on, and connections stay open: half-open.
    pub stall: bool,
    /// Connections are closed, and new ones too.
    pub reset: bool,
    /// Once a request contains this text, it is passed on and its answer is lost with its
    /// connection.
    pub swallow: String,
}

/// A running proxy; clones control the same one.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
    swallowed: Arc<Mutex<u64>>,
}

impl FaultProxy {
    /// Starts a proxy to `to` on a thread of its own.
    ///
    /// # Panics
    ///
    /// When the address can't be listened at; the proxy is for tests.
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
                    actix_rt::spawn(carry(client, to, faults.clone(), count.clone()));
                }
            });
        });
        FaultProxy {
            address: receiver.recv().expect("the proxy starts"),
            fault,
            swallowed,
        }
    }

    /// Sets what the proxy does from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Passes everything on, with a delay one way.
    pub fn set_delay(&self, delay: Duration) {
        self.set(Fault {
            delay_us: delay.as_micros() as u64,
            ..Fault::default()
        });
    }

    /// How many answers were swallowed.
    pub fn swallowed(&self) -> u64 {
        *self.swallowed.lock().expect("no panic while held")
    }
}

async fn carry(
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
    let doomed = Arc::new(Mutex::new(false));
    let watch_requests = Some((doomed.clone(), swallowed));
    let there = pump(
        client_read,
        server_write,
        fault.clone(),
        watch_requests,
        None,
    );
    let back = pump(server_read, client_write, fault.clone(), None, Some(doomed));
    let mut changes = fault.subscribe();
    tokio::select! {
        () = there => {}
        () = back => {}
        _ = changes.wait_for(|f| f.reset) => {}
    }
}

type Doom = Arc<Mutex<bool>>;

/// Carries bytes one way. Chunks are stamped on arrival, so a delay does not limit the rate.
async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    fault: Arc<watch::Sender<Fault>>,
    dooms: Option<(Doom, Arc<Mutex<u64>>)>,
    doomed: Option<Doom>,
) {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(1_024);
    let mut current = fault.subscribe();
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
            let _ = current.wait_for(|f| !f.stall).await;
            let now = current.borrow().clone();
            if now.delay_us > 0 {
                sleep_until(at + Duration::from_micros(now.delay_us)).await;
            }
            if let Some((doom, count)) = &dooms
                && contains(&chunk, &now.swallow)
            {
                *doom.lock().expect("no panic while held") = true;
                *count.lock().expect("no panic while held") += 1;
            }
            let lost = doomed
                .as_ref()
                .is_some_and(|d| *d.lock().expect("no panic while held"));
            if lost || to.write_all(&chunk).await.is_err() {
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
