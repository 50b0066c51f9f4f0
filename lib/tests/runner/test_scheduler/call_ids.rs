//! The id of a caller's call stands in the logs where the job came in.

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

/// The kinds of the log lines that name a call.
fn lines(bench: &Bench, call: &str) -> Vec<Kind> {
    let name = format!("request {call}");
    let logged = bench.actions.iter().filter_map(|a| match a {
        Action::Log(event) if event.detail.contains(&name) => Some(event.kind),
        _ => None,
    });
    logged.collect()
}

#[test]
fn test_scheduler_logs_the_call_of_a_job_that_is_taken_joined_or_answered() {
    let mut bench = Bench::ready();
    submit(&mut bench, 1, "q", "first");
    submit(&mut bench, 2, "q", "second");
    bench.end_task(task(9, 0), 1, EndKind::Done);
    submit(&mut bench, 3, "q", "third");
    assert_eq!(lines(&bench, "first"), [Kind::JobTaken]);
    assert_eq!(lines(&bench, "second"), [Kind::JobJoined]);
    assert_eq!(lines(&bench, "third"), [Kind::JobJoined]);
}

#[test]
fn test_scheduler_logs_the_call_of_a_job_that_is_refused_at_once() {
    let mut bench = Bench::ready();
    submit(&mut bench, 1, "elsewhere", "lost");
    assert_eq!(lines(&bench, "lost"), [Kind::JobRefused]);
}
