//! Tests of call ids: the log lines at which a job is accepted, joined or refused contain the id of the
//! caller's call.

use std::rc::Rc;

use stackcourse_lib::dispatch::model::EndKind;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::event::Kind;

use super::Action;
use super::Bench;
use super::task;

/// Submits job 9 with the id of a call.
fn submit(bench: &mut Bench, caller: u64, queue: &str, call: &str) {
    let request = JobRequest {
        number: JobNumber(9),
        queue: queue.to_owned(),
        spec: Rc::from("x"),
        steps: vec![Step {
            count: 1,
            estimate_ms: 100,
            ..Step::default()
        }],
        patience_ms: 3000,
        call: Rc::from(call),
    };
    bench.scheduler.submit(bench.now, CallerId(caller), request);
    bench.collect_actions();
}

/// Returns the kinds of the log lines that contain the id of a call.
fn log_kinds(bench: &Bench, call: &str) -> Vec<Kind> {
    let name = format!("request {call}");
    let logged = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.detail.contains(&name) => Some(event.kind),
        _ => None,
    });
    logged.collect()
}

#[test]
fn test_call_id_accepted_and_joined_jobs() {
    let mut bench = Bench::ready();
    submit(&mut bench, 1, "q", "first");
    submit(&mut bench, 2, "q", "second");
    bench.end_task(task(9, 0), 1, EndKind::Done);
    submit(&mut bench, 3, "q", "third");
    assert_eq!(log_kinds(&bench, "first"), [Kind::JobTaken]);
    assert_eq!(log_kinds(&bench, "second"), [Kind::JobJoined]);
    assert_eq!(log_kinds(&bench, "third"), [Kind::JobJoined]);
}

#[test]
fn test_call_id_refused_job() {
    let mut bench = Bench::ready();
    submit(&mut bench, 1, "elsewhere", "lost");
    assert_eq!(log_kinds(&bench, "lost"), [Kind::JobRefused]);
}
