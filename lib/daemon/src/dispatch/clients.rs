//! The clients of a process: their sockets, under the limits that [`Connections`] decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SecondaryMap;
use stackcourse_lib::dispatch::catalog::RequestLimits;
use stackcourse_lib::dispatch::connections::Budget;
use stackcourse_lib::dispatch::connections::Cause;
use stackcourse_lib::dispatch::connections::ConnectionId;
use stackcourse_lib::dispatch::connections::Connections;
use stackcourse_lib::dispatch::connections::LimitSettings;
use stackcourse_lib::dispatch::connections::Notice;
use stackcourse_lib::dispatch::connections::Port;
use stackcourse_lib::dispatch::connections::ProcessLimits;
use stackcourse_lib::dispatch::connections::SWEEP_INTERVAL;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::Mono;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::boot_clock::BootClock;
use crate::dispatch::client_socket;
use crate::dispatch::client_socket::ClientSocket;
use crate::process_limits;

/// The most refused connections that are given time to receive their answers.
const MAX_REFUSING: usize = 32;
/// The time between two attempts to admit a connection for a link.
const ADMISSION_RETRY: Duration = Duration::from_millis(20);

/// The connections of all clients of a process, on all its ports. Cheap to clone.
#[derive(Clone)]
pub struct Clients {
    inner: Rc<Inner>,
}

struct Inner {
    clock: BootClock,
    connections: RefCell<Connections>,
    holders: RefCell<SecondaryMap<ConnectionId, Holder>>,
    /// The refused connections that are given time to receive their answers.
    refusing: Cell<usize>,
}

/// What is closed when a connection is to be closed.
enum Holder {
    /// The socket of a client.
    Socket(Rc<ClientSocket>),
    /// The task of a link whose other end has not greeted.
    Link(Rc<Notify>),
}

/// A connection for a link, until its other end has greeted.
pub struct LinkAdmission {
    clients: Clients,
    id: ConnectionId,
    closed: Rc<Notify>,
}

impl LinkAdmission {
    /// Waits until the connection is to be closed for the sake of others.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let closed = self.closed.clone();
        async move { closed.notified().await }
    }
}

impl Drop for LinkAdmission {
    fn drop(&mut self) {
        self.clients.remove(self.id);
    }
}

impl Clients {
    /// Starts to limit the clients of this process.
    pub fn start(settings: &LimitSettings) -> Clients {
        Clients::with_budget(Budget::new(process_limits::read(), settings))
    }

    /// Closes the connections whose time is over, as long as the process runs, and tells `log` what on-call should know.
    pub fn sweep(&self, log: impl Fn(Kind, String) + 'static) {
        let budget = self.read(Connections::budget);
        log(Kind::ClientBudget, describe_budget(&budget));
        let sweeping = self.clone();
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(SWEEP_INTERVAL).await;
                sweeping.with(|c, now| c.sweep(now));
                for notice in sweeping.with(|c, now| c.take_notices(now)) {
                    log(Kind::ClientsLimited, describe_notice(&notice));
                }
            }
        });
    }

    fn with_budget(budget: Budget) -> Clients {
        let inner = Inner {
            clock: BootClock::start(),
            connections: RefCell::new(Connections::new(budget)),
            holders: RefCell::default(),
            refusing: Cell::new(0),
        };
        Clients {
            inner: Rc::new(inner),
        }
    }

    /// Sets the limits of the requests on a port.
    pub fn set_limits(&self, port: Port, limits: RequestLimits) {
        self.inner.connections.borrow_mut().set_limits(port, limits);
    }

    /// Admits a new connection. Refuses it if there is no room for it.
    pub fn admit(
        &self,
        port: Port,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Option<Rc<ClientSocket>> {
        let Ok(id) = self.with(|c, now| c.open(now, port, peer)) else {
            self.refuse(stream);
            return None;
        };
        let socket = Rc::new(ClientSocket::new(self.clone(), id, stream));
        let mut holders = self.inner.holders.borrow_mut();
        holders.insert(id, Holder::Socket(socket.clone()));
        Some(socket)
    }

    /// Refuses a connection. If too many others are being refused its answer is not waited for, and may be lost.
    fn refuse(&self, stream: TcpStream) {
        client_socket::write_refusal(&stream, Cause::Connections);
        let refusing = self.inner.refusing.get();
        if refusing == MAX_REFUSING {
            return;
        }
        self.inner.refusing.set(refusing + 1);
        let clients = self.clone();
        actix_rt::spawn(async move {
            client_socket::drain(stream).await;
            let refusing = clients.inner.refusing.get();
            clients.inner.refusing.set(refusing - 1);
        });
    }

    /// Closes the connections of a port that wait for a request, after a last look whether one has come.
    pub fn close_unused(&self, port: Port) {
        let unused = self.with(|c, now| c.unused(now, port));
        for socket in self.sockets(unused) {
            socket.end_unused();
        }
    }

    /// Refuses the requests of a port of which only a part has come.
    pub fn refuse_unfinished(&self, port: Port) {
        let unfinished = self.read(|c| c.unfinished(port));
        for socket in self.sockets(unfinished) {
            socket.refuse_unfinished();
        }
    }

    fn sockets(&self, ids: Vec<ConnectionId>) -> Vec<Rc<ClientSocket>> {
        let holders = self.inner.holders.borrow();
        let sockets = ids.into_iter().filter_map(|id| match holders.get(id) {
            Some(Holder::Socket(socket)) => Some(socket.clone()),
            Some(Holder::Link(_)) | None => None,
        });
        sockets.collect()
    }

    /// Admits a connection for a link, as soon as there is room for it.
    pub async fn admit_link(&self, peer: SocketAddr) -> LinkAdmission {
        loop {
            if let Ok(id) = self.with(|c, now| c.open(now, Port::Links, peer)) {
                let closed = Rc::new(Notify::new());
                let mut holders = self.inner.holders.borrow_mut();
                holders.insert(id, Holder::Link(closed.clone()));
                let clients = self.clone();
                return LinkAdmission {
                    clients,
                    id,
                    closed,
                };
            }
            actix_rt::time::sleep(ADMISSION_RETRY).await;
        }
    }

    /// Forgets a connection that has ended.
    pub fn remove(&self, id: ConnectionId) {
        self.inner.connections.borrow_mut().close(id);
        self.inner.holders.borrow_mut().remove(id);
    }

    /// Runs `work` on the connections and closes those that it decides to close.
    pub fn with<R>(&self, work: impl FnOnce(&mut Connections, Mono) -> R) -> R {
        let now = self.inner.clock.now();
        let (result, closed) = {
            let mut connections = self.inner.connections.borrow_mut();
            let result = work(&mut connections, now);
            (result, connections.take_closed())
        };
        for connection in closed {
            let holder = self.inner.holders.borrow_mut().remove(connection.id);
            match holder {
                Some(Holder::Socket(socket)) => {
                    socket.close(connection.cause, connection.in_request);
                }
                Some(Holder::Link(closed)) => closed.notify_one(),
                None => {}
            }
        }
        result
    }

    /// Reads from the connections without changing them.
    pub fn read<R>(&self, read: impl FnOnce(&Connections) -> R) -> R {
        read(&self.inner.connections.borrow())
    }
}

/// Returns the status line and headers with which a client is refused, for the causes that have an answer.
pub fn refusal_head(cause: Cause) -> Option<&'static str> {
    match cause {
        Cause::Memory | Cause::Connections | Cause::Leaving => {
            Some("503 Service Unavailable\r\nRetry-After: 1")
        }
        Cause::HeadSize => Some("431 Request Header Fields Too Large"),
        Cause::BodySize => Some("413 Payload Too Large"),
        Cause::BodyOverhead => Some("400 Bad Request"),
        Cause::HeadTime | Cause::BodyTime => Some("408 Request Timeout"),
        Cause::AnswerTime | Cause::Idle => None,
    }
}

fn describe_budget(budget: &Budget) -> String {
    let ProcessLimits {
        memory_mb,
        descriptors,
    } = budget.process;
    format!(
        "{} of {memory_mb} MiB, {} connections and {} links without a greeting of {descriptors} descriptors",
        budget.memory >> 20,
        budget.connections,
        budget.greetings,
    )
}

fn describe_notice(notice: &Notice) -> String {
    let (cause, count, peer) = (notice.cause.word(), notice.count, notice.peer);
    format!("{cause}: {count} since the last line, the newest {peer}")
}
