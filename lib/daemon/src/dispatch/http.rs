//! A small HTTP/1.1 server on actix's HTTP layer that runs on the process's own thread.
//!
//! It reads whole bodies and notifies a handler when its caller disconnects. The framework's own server would
//! use threads of its own, so that each request would cross threads twice.

use std::cell::Cell;
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
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The time that a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// The time for which an idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Notifies when a caller closes its end of a connection.
#[derive(Clone, Default)]
pub struct Disconnect {
    inner: Rc<DisconnectInner>,
}

#[derive(Default)]
struct DisconnectInner {
    is_closed: Cell<bool>,
    notify: Notify,
}

impl Disconnect {
    fn set(&self) {
        self.inner.is_closed.set(true);
        self.inner.notify.notify_waiters();
    }

    /// Waits until the caller has disconnected.
    pub async fn wait(&self) {
        let notified = self.inner.notify.notified();
        if !self.inner.is_closed.get() {
            notified.await;
        }
    }
}

/// A request with its whole body.
pub struct Call {
    /// The method, the target and the headers.
    pub request: Request,
    /// The body; none if it exceeded the limit.
    pub body: Option<Bytes>,
    /// Notifies when the caller disconnects.
    pub disconnect: Disconnect,
}

impl Call {
    /// Returns a header as text, if it is present and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.request.headers().get(name)?;
        value.to_str().ok()
    }
}

/// Serves HTTP requests.
pub trait Handler: 'static {
    /// Returns the size limit of a request body, in bytes.
    fn max_body(&self) -> usize;
    /// Serves one request.
    fn serve(&self, call: Call) -> impl Future<Output = Response<BoxBody>>;
    /// Returns whether the connection is closed after this response.
    fn closes_connection(&self) -> bool {
        false
    }
}

/// Serves the connections of a listener for as long as the process runs.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let service = fn_service(move |request: Request| {
        let handler = handler.clone();
        async move { Ok::<_, actix_http::Error>(handle_request(&*handler, request).await) }
    });
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        .on_connect_ext(|io: &WatchedStream, data| {
            data.insert(io.disconnect.clone());
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
        let _ = stream.set_nodelay(true);
        let watched = WatchedStream {
            stream,
            disconnect: Disconnect::default(),
        };
        let connection = service.call((watched, Some(peer)));
        actix_rt::spawn(async move {
            let _ = connection.await;
        });
    }
}

/// The delay before accepting again after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

async fn handle_request<H: Handler>(handler: &H, mut request: Request) -> Response<BoxBody> {
    let disconnect = request
        .conn_data::<Disconnect>()
        .cloned()
        .unwrap_or_default();
    let body = read_body(request.take_payload(), handler.max_body()).await;
    let mut response = match body {
        Ok(body) => {
            let call = Call {
                request,
                body,
                disconnect,
            };
            handler.serve(call).await
        }
        Err(_) => Response::bad_request().map_into_boxed_body(),
    };
    if handler.closes_connection() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

type AnyPayload = actix_http::Payload;

async fn read_body(payload: AnyPayload, max_bytes: usize) -> Result<Option<Bytes>, io::Error> {
    let mut payload = payload;
    let mut collected = BytesMut::new();
    let mut fits = true;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(io::Error::other)?;
        fits &= collected.len() + chunk.len() <= max_bytes;
        if fits {
            collected.extend_from_slice(&chunk);
        }
    }
    Ok(fits.then(|| collected.freeze()))
}

/// A connection that detects when the other end closes it.
struct WatchedStream {
    stream: TcpStream,
    disconnect: Disconnect,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let capacity = buf.remaining();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let closed = match &polled {
            Poll::Ready(Ok(())) => capacity > 0 && buf.filled().len() == before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if closed {
            self.disconnect.set();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Binds a TCP listener for callers.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    super::channel::listen(address)
}
