//! Jobs while the clock of the box is set ahead and back under running processes.

use std::net::SocketAddr;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use serde_json::json;
use stackcourse_daemon::boot_clock::BootClock;
use stackcourse_daemon::dev;
use stackcourse_daemon::kernel::Kernel;
use stackcourse_daemon::process_clock::CLOCK;
use stackcourse_daemon::process_clock::ProcessClock;
use stackcourse_daemon::system_clock;
use stackcourse_lib::job_id::JobId;
use stackcourse_testutils::cluster::free_address;
use stackcourse_testutils::cluster::put_job;

/// How far the box's clock is set ahead of the true time, in milliseconds.
static SET_AHEAD_MS: AtomicI64 = AtomicI64::new(0);

fn box_ms() -> u64 {
    let ahead_ms = SET_AHEAD_MS.load(Ordering::Relaxed);
    system_clock::unix_ms().saturating_add_signed(ahead_ms)
}

/// Sends a job that was minted at a time, and returns its outcome with the answer's status.
async fn outcome_of(at: SocketAddr, minted_ms: u64) -> (u16, String) {
    let job = JobId::mint(minted_ms, &rand::random());
    let body = json!({"tasks": [1], "deadline_ms": 5000});
    let reply = put_job(at, "echo", job, &body).await.expect("an answer");
    (reply.status, reply.outcome().to_owned())
}

/// Guards against callers that are refused since the box's clock was set after the start: those
/// whose own clock is right, and those whose clock was set with it.
#[actix_rt::test]
async fn test_clock_that_is_set_while_processes_run_refuses_no_caller() {
    let kernel = Kernel::default();
    kernel.register(CLOCK, ProcessClock::with_source(BootClock::start(), box_ms));
    let dev = dev::start(free_address(), &kernel).expect("addresses are free");
    dev.wait_until_ready().await;
    for ahead_ms in [0, 10_000, 600_000, 0, -10_000, -600_000, 600_000, 0] {
        SET_AHEAD_MS.store(ahead_ms, Ordering::Relaxed);
        for minted_ms in [box_ms(), system_clock::unix_ms()] {
            let (status, outcome) = outcome_of(dev.entry.http, minted_ms).await;
            let case = format!("clock {ahead_ms} ms ahead, minted at {minted_ms}");
            assert_eq!((status, outcome.as_str()), (200, "complete"), "{case}");
        }
    }
}
