//! Crowds of whole requests for jobs that keep the entry waiting.

use serde_json::json;
use stackcourse_testutils::platform::crowd::Crowd;
use stackcourse_testutils::platform::crowd::Reading;
use stackcourse_testutils::platform::crowd::job_request;

use crate::check::Role;
use crate::check::Trial;

/// Guards against jobs that can never be placed and that, by their own estimate, may wait for days: they must not take all
/// connections from ordinary callers.
#[actix_rt::test]
async fn test_jobs_never_placed() {
    let mut trial = Trial::start().await;
    let steps = json!([{"count": 1, "cpu": 1000, "estimateMs": 1e9, "requirements": "nowhere"}]);
    let server = trial.machine(Role::Entry).callers();
    let crowd = Crowd::open(server, 200, job_request(&steps), Reading::All).await;
    trial.check(Role::Entry).await;
    drop(crowd);
    trial.check(Role::Entry).await;
}
