//! What the stand-ins share: each runs on a thread of its own and ends when it is dropped.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_web::dev::Server;
use actix_web::dev::ServerHandle;

/// A running stand-in.
pub struct StubServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl StubServer {
    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Waits for its end.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs an HTTP server on a thread of its own.
///
/// # Panics
///
/// When the address can't be listened at; stand-ins are for tests.
pub fn run(
    listen: SocketAddr,
    build: impl FnOnce(TcpListener) -> std::io::Result<Server> + Send + 'static,
) -> StubServer {
    let listener = TcpListener::bind(listen).expect("the address is free");
    listener.set_nonblocking(true).expect("a socket option");
    let address = listener.local_addr().expect("a bound socket");
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let server = build(listener).expect("the server starts");
            let _ = sender.send(server.handle());
            let _ = server.await;
        });
    });
    let handle = receiver.recv().expect("the server starts");
    StubServer {
        address,
        handle,
        thread: Some(thread),
    }
}

/// A loopback address whose port the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// How coarse the runtime's timer is.
const TIMER: Duration = Duration::from_micros(1_500);

/// Sleeps until a moment, more precisely than the runtime's timer of a millisecond: the rest is
/// spent yielding.
pub async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > TIMER {
        tokio::time::sleep(left - TIMER).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}
