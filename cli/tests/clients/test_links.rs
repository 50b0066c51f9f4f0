//! Crowds at the ports for links between processes.

use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;

use crate::check::DESCRIPTORS;
use crate::check::Role;
use crate::check::Trial;

/// Guards against first frames that make a process hold megabytes before it knows who sends them.
#[actix_rt::test]
async fn test_links_large_greeting() {
    let mut trial = Trial::start().await;
    let mut bytes = (15u32 << 20).to_be_bytes().to_vec();
    bytes.resize(400 << 10, 0);
    let server = trial.machine(Role::Entry).peers();
    let crowd = Crowd::open(server, 120, bytes, Reading::All).await;
    trial.check(Role::Entry).await;
    drop(crowd);
    trial.check(Role::Entry).await;
}

/// Guards against connections that don't greet and use up the descriptors.
#[actix_rt::test]
async fn test_links_silent() {
    let mut trial = Trial::start().await;
    let server = trial.machine(Role::Entry).peers();
    let crowd = Crowd::open(server, 2 * DESCRIPTORS, Vec::new(), Reading::All).await;
    trial.check(Role::Entry).await;
    drop(crowd);
    trial.check(Role::Entry).await;
}
