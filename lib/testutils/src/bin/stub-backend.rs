//! `stub-backend`: runs the simulated backend server of the module `stub_backend` as a process.

use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::stub_backend;

fn main() {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let matches = Command::new("stub-backend").arg(listen).get_matches();
    let listen = *matches.get_one::<SocketAddr>("listen").expect("required");
    let server = stub_backend::start(listen, stub_backend::BackendState::default());
    println!("stub-backend: ready at {}", server.url());
    server.wait();
}
