//! `stub-store`: runs the simulated store of the module `stub_store` as a process.

use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stackcourse_testutils::stub_store;

fn main() {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let matches = Command::new("stub-store").arg(listen).get_matches();
    let listen = *matches.get_one::<SocketAddr>("listen").expect("required");
    let server = stub_store::start(listen);
    println!("stub-store: ready at {}", server.url());
    server.wait();
}
