//! A small HTTP/1.1 server on actix's HTTP layer that runs on the process's own thread.
//!
//! It reads whole bodies, within the limits that [`Clients`] applies to all connections of the process, and notifies a
//! handler when its caller disconnects. The framework's own server would use threads of its own, so that each request
//! would cross threads twice.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use futures::Stream;
use stackcourse_lib::dispatch::catalog::RequestLimits;
use stackcourse_lib::dispatch::connections::BodyKind;
use stackcourse_lib::dispatch::connections::Cause;
use stackcourse_lib::dispatch::connections::Port;
use stackcourse_lib::dispatch::connections::RECEIVE_BUFFER;
use stackcourse_lib::dispatch::connections::SEND_BUFFER;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::dispatch::client_socket::ClientSocket;
use crate::dispatch::client_socket::ClientStream;
use crate::dispatch::clients::Clients;

/// The delay before accepting again after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// A request with its whole body.
pub struct Call {
    /// The method, the target and the headers.
    pub request: Request,
    /// The body.
    pub body: Bytes,
    socket: Rc<ClientSocket>,
}

impl Call {
    /// Returns a header as text, if it is present and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.request.headers().get(name)?;
        value.to_str().ok()
    }

    /// Takes room for more that the request makes the process hold until it is answered, in bytes.
    ///
    /// # Errors
    ///
    /// The cause, if there is no room for it.
    pub fn hold(&self, bytes: usize) -> Result<(), Cause> {
        self.socket.hold(bytes)
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&self) {
        self.socket.disconnected().await;
    }
}

/// Serves HTTP requests.
pub trait Handler: 'static {
    /// Returns the limits on requests.
    fn limits(&self) -> RequestLimits;
    /// Serves one request.
    fn serve(&self, call: Call) -> impl Future<Output = Response<BoxBody>>;
    /// Returns whether the connection is closed after this response.
    fn closes_connection(&self) -> bool {
        false
    }
}

/// Serves the connections of a listener for as long as the process runs.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    clients: Clients,
    port: Port,
) {
    let limiting = Limiter {
        clients: clients.clone(),
        handler: handler.clone(),
        port,
    };
    let limiting = Rc::new(limiting);
    let expecting = limiting.clone();
    let expect = fn_service(move |request: Request| {
        let begun = expecting.expect(request);
        async move { begun }
    });
    limiting.update_limits();
    let service = fn_service(move |request: Request| {
        let limiting = limiting.clone();
        async move { Ok::<_, actix_http::Error>(limiting.handle(request).await) }
    });
    // The timeouts are those of `Clients`, which cover the whole of a request.
    let factory = HttpService::build()
        .client_request_timeout(Duration::ZERO)
        .keep_alive(KeepAlive::Os)
        .expect(expect)
        .on_connect_ext(|io: &ClientStream, data| {
            data.insert(io.0.clone());
        })
        .h1(service);
    let Ok(service) = ServiceFactory::new_service(&factory, ()).await else {
        return;
    };
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without the option small answers are late, but complete.
        let _ = stream.set_nodelay(true);
        let Some(socket) = clients.admit(port, stream, peer) else {
            continue;
        };
        let connection = service.call((ClientStream(socket.clone()), Some(peer)));
        actix_rt::spawn(async move {
            // Errors are the client's: what it sent can't be parsed, or it has disconnected.
            let _ = connection.await;
            socket.end().await;
        });
    }
}

/// Serves the requests of a port within the limits.
struct Limiter<H> {
    clients: Clients,
    handler: Rc<H>,
    port: Port,
}

impl<H: Handler> Limiter<H> {
    fn update_limits(&self) {
        self.clients.set_limits(self.port, self.handler.limits());
    }

    /// Decides whether a client that waits for it may send the body of its request.
    fn expect(&self, mut request: Request) -> Result<Request, Response<BoxBody>> {
        let Some(socket) = socket_of(&request) else {
            return Ok(request);
        };
        self.update_limits();
        match socket.begin(body_kind(&mut request)) {
            Ok(()) => Ok(request),
            Err(cause) => Err(self.finish(&socket, refusal(cause))),
        }
    }

    async fn handle(&self, mut request: Request) -> Response<BoxBody> {
        let Some(socket) = socket_of(&request) else {
            return Response::internal_server_error().map_into_boxed_body();
        };
        self.update_limits();
        let kind = body_kind(&mut request);
        let body = match socket.begin(kind) {
            Ok(()) => read_body(&socket, request.take_payload(), kind).await,
            Err(cause) => Err(BodyError::Refused(cause)),
        };
        let response = match body {
            Ok(body) => {
                let socket = socket.clone();
                let call = Call {
                    request,
                    body,
                    socket,
                };
                self.handler.serve(call).await
            }
            Err(BodyError::Refused(cause)) => refusal(cause),
            Err(BodyError::Unreadable) => Response::bad_request().map_into_boxed_body(),
        };
        self.finish(&socket, response)
    }

    /// Takes room for a response before it is sent.
    fn finish(&self, socket: &ClientSocket, response: Response<BoxBody>) -> Response<BoxBody> {
        let size = match response.body().size() {
            BodySize::Sized(size) => size as usize,
            BodySize::None | BodySize::Stream => 0,
        };
        let mut response = match socket.answer(size) {
            Ok(()) => response,
            Err(cause) => refusal(cause),
        };
        if socket.refusal().is_some() || self.handler.closes_connection() {
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        response
    }
}

fn socket_of(request: &Request) -> Option<Rc<ClientSocket>> {
    request.conn_data::<Rc<ClientSocket>>().cloned()
}

/// Returns how the size of a request's body is given.
fn body_kind(request: &mut Request) -> BodyKind {
    let length = request.headers().get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    match length {
        Some(0) => BodyKind::None,
        Some(length) => BodyKind::Sized(length),
        None if matches!(request.payload(), Payload::None) => BodyKind::None,
        None => BodyKind::Open,
    }
}

/// Returns the response to a request that is refused because of its client.
fn refusal(cause: Cause) -> Response<BoxBody> {
    let status = match cause {
        Cause::Memory | Cause::Connections | Cause::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        Cause::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::build(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.insert_header(("Retry-After", "1"));
    }
    response.finish().map_into_boxed_body()
}

/// Why a body was not read.
enum BodyError {
    /// The request is refused.
    Refused(Cause),
    /// The connection ended, or the body can't be parsed.
    Unreadable,
}

async fn read_body(
    socket: &ClientSocket,
    payload: Payload,
    kind: BodyKind,
) -> Result<Bytes, BodyError> {
    let announced = match kind {
        BodyKind::Sized(size) => usize::try_from(size).ok(),
        BodyKind::None | BodyKind::Open => None,
    };
    let mut payload = payload;
    while let Some(part) = next_part(socket, &mut payload).await {
        let stored = socket.store(&part?, announced);
        stored.map_err(BodyError::Refused)?;
    }
    Ok(socket.take_body())
}

/// Waits for the next part of a body, or for the refusal of the request.
async fn next_part(
    socket: &ClientSocket,
    payload: &mut Payload,
) -> Option<Result<Bytes, BodyError>> {
    std::future::poll_fn(|cx| poll_part(cx, socket, payload)).await
}

fn poll_part(
    cx: &mut Context<'_>,
    socket: &ClientSocket,
    payload: &mut Payload,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    if let Some(cause) = socket.refusal() {
        return Poll::Ready(Some(Err(BodyError::Refused(cause))));
    }
    let polled = Pin::new(payload).poll_next(cx);
    if polled.is_pending() {
        socket.chunks_taken();
    }
    polled.map_err(|_| BodyError::Unreadable)
}

/// Binds a TCP listener for clients.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Connections inherit the buffers of the listener. Without a limit the kernel holds megabytes for each of them.
    socket.set_recv_buffer_size(RECEIVE_BUFFER as u32)?;
    socket.set_send_buffer_size(SEND_BUFFER as u32)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
