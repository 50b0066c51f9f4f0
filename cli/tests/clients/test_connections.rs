//! Crowds of connections that send nothing.

use std::net::SocketAddr;

use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;

use crate::check::DESCRIPTORS;
use crate::check::Role;
use crate::check::Trial;

/// Opens more connections than the process has descriptors, and checks it while they stay open.
async fn check_silent(role: Role, server: impl FnOnce(&mut Trial) -> SocketAddr) {
    let mut trial = Trial::start().await;
    let server = server(&mut trial);
    let crowd = Crowd::open(server, 2 * DESCRIPTORS, Vec::new(), Reading::All).await;
    trial.check(role).await;
    drop(crowd);
    trial.check(role).await;
}

/// Guards against an entry that has no descriptors left for its links, the store and the workers.
#[actix_rt::test]
async fn test_connections_callers() {
    check_silent(Role::Entry, |t| t.machine(Role::Entry).callers()).await;
}

/// The same for the readiness port.
#[actix_rt::test]
async fn test_connections_readiness() {
    check_silent(Role::Entry, |t| t.machine(Role::Entry).ready()).await;
}

/// The same for the metrics port.
#[actix_rt::test]
async fn test_connections_metrics() {
    check_silent(Role::Entry, |t| t.machine(Role::Entry).metrics()).await;
}

/// The same for the port of a worker's heartbeats.
#[actix_rt::test]
async fn test_connections_heartbeats() {
    check_silent(Role::Agent, |t| t.machine(Role::Agent).heartbeats()).await;
}
