//! Runs the HTTP servers of the stubs: each on its own thread until its [`StubServer`] is dropped. Also has
//! helpers for addresses and precise sleeps.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_web::dev::Server;
use actix_web::dev::ServerHandle;

/// A handle to a running stub; stops it when dropped.
pub struct StubServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl StubServer {
    /// Returns the base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Blocks until the server ends.
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

/// Runs the HTTP server that `build` returns on its own thread.
///
/// # Panics
///
/// Panics if it cannot listen at the address.
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

/// Returns a loopback address with port 0, so that the system chooses a port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// How long before its deadline [`sleep_until`] stops relying on the runtime's timer, whose resolution is 1
/// ms.
const TIMER_MARGIN: Duration = Duration::from_micros(1_500);

/// Sleeps until `due`, more precisely than the runtime's timer allows: yields in a loop shortly before `due`.
pub async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > TIMER_MARGIN {
        tokio::time::sleep(left - TIMER_MARGIN).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}
