//! Tests of jobs while the box's clock is set forward and back under running processes.

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

/// How far the box's clock is ahead of the true time, in milliseconds.
static SET_AHEAD_MS: AtomicI64 = AtomicI64::new(0);

fn box_ms() -> u64 {
    let ahead_ms = SET_AHEAD_MS.load(Ordering::Relaxed);
    system_clock::unix_ms().saturating_add_signed(ahead_ms)
}

/// Sends a job whose id was created at a time. Returns the response's status and the job's outcome.
async fn send_job(at: SocketAddr, created_ms: u64) -> (u16, String) {
    let job = JobId::mint(created_ms, &rand::random());
    let body = json!({"tasks": [1], "deadline_ms": 5000});
    let reply = put_job(at, "echo", job, &body).await.expect("an answer");
    (reply.status, reply.outcome().to_owned())
}

/// Guards against refused callers after the box's clock is set while processes run: callers whose own clock is
/// right, and callers whose clock is set along with the box's.
#[actix_rt::test]
async fn test_clock_set_while_running() {
    let kernel = Kernel::default();
    kernel.register(CLOCK, ProcessClock::with_source(BootClock::start(), box_ms));
    let dev = dev::start(free_address(), &kernel).expect("addresses are free");
    dev.wait_until_ready().await;
    for ahead_ms in [0, 10_000, 600_000, 0, -10_000, -600_000, 600_000, 0] {
        SET_AHEAD_MS.store(ahead_ms, Ordering::Relaxed);
        for created_ms in [box_ms(), system_clock::unix_ms()] {
            let (status, outcome) = send_job(dev.entry.http, created_ms).await;
            let case = format!("clock {ahead_ms} ms ahead, id created at {created_ms}");
            assert_eq!((status, outcome.as_str()), (200, "complete"), "{case}");
        }
    }
}
