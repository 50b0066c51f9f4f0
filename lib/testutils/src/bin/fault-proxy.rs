//! `fault-proxy`: a TCP proxy whose faults are set over HTTP, `PUT /fault` with a JSON object.

use std::net::SocketAddr;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::fault_proxy::Fault;
use stackcourse_testutils::fault_proxy::FaultProxy;
use stackcourse_testutils::stub_server;

fn main() {
    let address = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help(help)
    };
    let matches = Command::new("fault-proxy")
        .arg(address("listen", "The address to accept connections at"))
        .arg(address("to", "The address to forward connections to"))
        .arg(address(
            "control",
            "The address at which faults are set with `PUT /fault`",
        ))
        .get_matches();
    let get = |name: &str| *matches.get_one::<SocketAddr>(name).expect("required");
    let proxy = FaultProxy::start(get("listen"), get("to"));
    println!("fault-proxy: ready at {}", proxy.address);
    let control = stub_server::run(get("control"), move |listener| {
        let server = HttpServer::new(move || {
            let proxy = web::Data::new(proxy.clone());
            App::new()
                .app_data(proxy)
                .route("/fault", web::put().to(set_fault))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    });
    control.wait();
}

async fn set_fault(proxy: web::Data<FaultProxy>, fault: web::Json<Fault>) -> HttpResponse {
    proxy.set(fault.into_inner());
    HttpResponse::Ok().finish()
}
