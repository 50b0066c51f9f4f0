//! A small HTTP/1.1 server on actix's HTTP layer, on the thread of the process.
//!
//! It takes whole bodies and tells a handler when its caller has gone away. The framework's own
//! server would serve from threads of its own, and each request would cross threads twice.

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

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an idle connection stays open.
const IDLE: Duration = Duration::from_secs(15);

/// Tells that a caller has closed its end of a connection.
#[derive(Clone, Default)]
pub struct Gone {
    inner: Rc<GoneInner>,
}

#[derive(Default)]
struct GoneInner {
    gone: Cell<bool>,
    notify: Notify,
}

impl Gone {
    fn set(&self) {
        self.inner.gone.set(true);
        self.inner.notify.notify_waiters();
    }

    /// Waits until the caller has gone.
    pub async fn wait(&self) {
        let notified = self.inner.notify.notified();
        if !self.inner.gone.get() {
            notified.await;
        }
    }
}

/// A request with its whole body.
pub struct Call {
    /// The method, the target and the headers.
    pub request: Request,
    /// The body, or none if it was longer than allowed.
    pub body: Option<Bytes>,
    /// Tells that the caller has gone.
    pub gone: Gone,
}

impl Call {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.request.headers().get(name)?;
        value.to_str().ok()
    }
}

/// What serves requests.
pub trait Handler: 'static {
    /// The largest body that is read, in bytes.
    fn max_body(&self) -> usize;
    /// Serves one request.
    fn serve(&self, call: Call) -> impl Future<Output = Response<BoxBody>>;
    /// Whether a connection ends with its next answer.
    fn closes(&self) -> bool {
        false
    }
}

/// Serves a listener for as long as the process lives.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    let service = fn_service(move |request: Request| {
        let handler = handler.clone();
        async move { Ok::<_, actix_http::Error>(take(&*handler, request).await) }
    });
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(IDLE)
        .on_connect_ext(|io: &Watched, data| {
            data.insert(io.gone.clone());
        })
        .h1(service);
    let Ok(service) = ServiceFactory::new_service(&factory, ()).await else {
        return;
    };
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let watched = Watched {
            stream,
            gone: Gone::default(),
        };
        let connection = service.call((watched, Some(peer)));
        actix_rt::spawn(async move {
            let _ = connection.await;
        });
    }
}

/// How long to wait after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

async fn take<H: Handler>(handler: &H, mut request: Request) -> Response<BoxBody> {
    let gone = request.conn_data::<Gone>().cloned().unwrap_or_default();
    let body = read_body(request.take_payload(), handler.max_body()).await;
    let mut response = match body {
        Ok(body) => {
            let call = Call {
                request,
                body,
                gone,
            };
            handler.serve(call).await
        }
        Err(_) => Response::bad_request().map_into_boxed_body(),
    };
    if handler.closes() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

type AnyPayload = actix_http::Payload;

async fn read_body(payload: AnyPayload, most: usize) -> Result<Option<Bytes>, io::Error> {
    let mut payload = payload;
    let mut whole = BytesMut::new();
    let mut fits = true;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(io::Error::other)?;
        fits &= whole.len() + chunk.len() <= most;
        if fits {
            whole.extend_from_slice(&chunk);
        }
    }
    Ok(fits.then(|| whole.freeze()))
}

/// A connection that notices when the other end has closed it.
struct Watched {
    stream: TcpStream,
    gone: Gone,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let room = buf.remaining();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let over = match &polled {
            Poll::Ready(Ok(())) => room > 0 && buf.filled().len() == before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if over {
            self.gone.set();
        }
        polled
    }
}

impl AsyncWrite for Watched {
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

/// Binds a listener for callers.
///
/// # Errors
///
/// When the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    super::channel::listen(address)
}
