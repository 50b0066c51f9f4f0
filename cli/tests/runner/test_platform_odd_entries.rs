//! Tests of the platform roles as real processes beside entries of other writers that a reader can't represent.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::odd_json;
use stackcourse_testutils::platform::callers;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::fleet;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::fleet::SERVICE;

/// The prefixes of the keys that entries and agents read.
const PREFIXES: [&str; 4] = ["members/", "executors/", "op/", "op/evacuate/"];

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_stackcourse"))
}

fn job(number: u64) -> CallerJob {
    CallerJob {
        number: JobNumber(number),
        tasks: 3,
        work_ms: 30,
        cpu: 1000,
        crashing: false,
    }
}

/// Waits until a check passes. Panics with `what` after 20 s.
async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !check().await {
        assert!(Instant::now() < end, "{what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Writes odd items between the keys under all prefixes.
fn write_odd_items(fleet: &Fleet) {
    for prefix in PREFIXES {
        for (n, odd) in odd_json::values().iter().enumerate() {
            let key = format!("{prefix}0dd-{n}");
            fleet.store.write_row(&key, &odd.text);
            let head = format!(r#"{{"privateKey":"{key}","value":"","made":"#);
            let made = [head.as_bytes(), &odd.text, b"}"].concat();
            // Under `op/evacuate/` this is the evacuation of a zone of which the fleet has no part.
            fleet.store.write_row(&format!("{key}-made"), &made);
        }
    }
}

async fn serves(fleet: &Fleet, entry: usize, path: &str) -> bool {
    let entry = fleet.entries[entry].callers();
    let reply = callers::send_request(entry, "GET", path, None).await;
    reply.status == 200
}

/// Other operators report that machines ended or stopped following a list because of one odd entry. Here all
/// go on: a later configuration, a later evacuation and a restarted entry and agent are taken up, and jobs are
/// served.
#[actix_rt::test]
async fn test_platform_odd_entries() {
    let mut fleet = Fleet::start(binary(), 2, 2).await;
    write_odd_items(&fleet);
    let next = fleet::configuration(7, &[SERVICE, "new"]);
    fleet.store.write_as_operator("op/config", &next);
    for entry in 0..2 {
        let what = format!("entry {entry} takes the configuration from a watch");
        eventually(&what, async || serves(&fleet, entry, "/new/").await).await;
    }
    fleet.store.compact();
    let next = fleet::configuration(8, &[SERVICE, "newer"]);
    fleet.store.write_as_operator("op/config", &next);
    for entry in 0..2 {
        let what = format!("entry {entry} takes the configuration from a list");
        eventually(&what, async || serves(&fleet, entry, "/newer/").await).await;
    }

    fleet.entries[1].kill();
    fleet.agents[1].kill();
    fleet.entries[1].start();
    fleet.agents[1].start();
    fleet.wait_until_ready().await;
    let eligible = Instant::now() + Duration::from_secs(20);
    for (number, entry) in [(1, 0), (2, 1)] {
        let entry = fleet.entries[entry].callers();
        let mut reply = callers::submit_job(&fleet.workers, entry, job(number)).await;
        while reply.status == 503 && Instant::now() < eligible {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            reply = callers::submit_job(&fleet.workers, entry, job(number)).await;
        }
        assert_eq!(reply.state, "completed", "{reply:?}");
    }

    fleet.set_evacuated("y", true);
    eventually("the evacuation reaches the agent", async || {
        fleet.agents[1].log_text().contains("SC304")
    })
    .await;
    assert_eq!(fleet.violation(), None);
    for machine in fleet.entries.iter().chain(&fleet.agents) {
        assert!(!machine.log_text().contains("panicked"), "{:?}", machine.ip);
    }
}
