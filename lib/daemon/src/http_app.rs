//! Serves an actix-web application on a thread of its own, within the limits that apply to all clients of a process.

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_rt::Arbiter;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::dev::AppConfig;
use actix_web::dev::ServiceResponse;
use actix_web::web;
use stackcourse_lib::dispatch::catalog::RequestLimits;
use stackcourse_lib::dispatch::connections::Connections;
use stackcourse_lib::dispatch::connections::LimitSettings;
use stackcourse_lib::dispatch::connections::Port;
use stackcourse_lib::event::Event;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::dispatch::clients::Clients;
use crate::dispatch::http;
use crate::dispatch::http::Call;
use crate::dispatch::http::Handler;
use crate::logging::log_event;

/// The time between checks whether all requests have been answered.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A server that runs on a thread of its own.
pub struct AppServer {
    arbiter: Arbiter,
    stopping: CancellationToken,
    stopped: oneshot::Receiver<()>,
}

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct AppLimits {
    /// What the process may use and clients may make it hold.
    pub process: LimitSettings,
    /// The limits on requests.
    pub requests: RequestLimits,
}

impl AppServer {
    /// Starts to serve the routes that `configure` adds, at a listener.
    pub fn start(
        listener: StdListener,
        limits: AppLimits,
        configure: impl FnOnce(&mut web::ServiceConfig, Clients) + Send + 'static,
    ) -> AppServer {
        let arbiter = Arbiter::new();
        let stopping = CancellationToken::new();
        let (sender, stopped) = oneshot::channel();
        let serving = stopping.clone();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                run(listener, limits, configure, serving).await;
                // Nobody waits if the server ends before it is stopped.
                let _ = sender.send(());
            });
        });
        AppServer {
            arbiter,
            stopping,
            stopped,
        }
    }

    /// Accepts no more connections, and returns once all requests have been answered or after `limit`.
    pub async fn stop(self, limit: Duration) {
        self.stopping.cancel();
        let _ = actix_rt::time::timeout(limit, self.stopped).await;
        self.arbiter.stop();
    }
}

async fn run(
    listener: StdListener,
    limits: AppLimits,
    configure: impl FnOnce(&mut web::ServiceConfig, Clients),
    stopping: CancellationToken,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let clients = Clients::start(&limits.process);
    clients.sweep(|kind, detail| log_event(&Event::new(kind, detail)));
    let routes = clients.clone();
    let app = App::new().configure(|config| configure(config, routes));
    let factory = actix_service::IntoServiceFactory::into_factory(app);
    let Ok(service) = factory.new_service(AppConfig::default()).await else {
        return;
    };
    let handler = AppHandler {
        service,
        limits: limits.requests,
        stopping: stopping.clone(),
    };
    let serving = http::serve(listener, Rc::new(handler), clients.clone(), Port::Main);
    tokio::select! {
        () = serving => {}
        () = stopping.cancelled() => {}
    }
    while clients.read(Connections::is_serving) {
        actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Passes requests to an application.
struct AppHandler<S> {
    service: S,
    limits: RequestLimits,
    stopping: CancellationToken,
}

impl<S, B> Handler for AppHandler<S>
where
    S: Service<Request, Response = ServiceResponse<B>, Error = actix_web::Error> + 'static,
    B: MessageBody + 'static,
{
    fn limits(&self) -> RequestLimits {
        self.limits
    }

    fn closes_connection(&self) -> bool {
        self.stopping.is_cancelled()
    }

    async fn serve(&self, call: Call) -> Response<BoxBody> {
        let Call {
            mut request, body, ..
        } = call;
        *request.payload() = Payload::from(body);
        let response = match self.service.call(request).await {
            Ok(response) => response.into_parts().1.map_into_boxed_body(),
            Err(error) => HttpResponse::from_error(error),
        };
        Response::from(response)
    }
}
