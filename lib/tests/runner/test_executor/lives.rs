//! Which life the worker is in: heartbeats that come late or from somebody else change nothing.

use super::*;

impl Bench {
    /// The worker is in another life, says so, and answers under it. The hold that waits is for the earlier one.
    pub(super) fn new_life(&mut self, life: &str) {
        self.heartbeat(life, false, 1);
        self.handle_hold_reply(HoldReply::WrongLife);
        self.lists(&[], Vec::new());
    }

    fn beat_of(&mut self, service: &str, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            life: life_of("w1"),
            service: service.to_owned(),
            capacity: Demand {
                cpu_milli: 2000,
                memory_mb: 1000,
                gpu: 0,
            },
            sequence,
            ..WorkerHeartbeat::default()
        };
        self.executor.handle_heartbeat(self.now, heartbeat);
        self.take();
    }

    /// 100 ms in which the worker answers as it should.
    fn live(&mut self) {
        self.pass(100);
        self.lists(&[], Vec::new());
        self.orders(ONE, proto::Orders::default());
    }

    /// A task of a job is sent to the worker, which confirms that it runs.
    fn begin(&mut self, job: u64) {
        self.start(ONE, job, &[0]);
        let reply = OrderReply::Done(1);
        self.executor
            .handle_start_reply(self.now, run(job, 0, 1), reply);
        self.take();
    }

    fn last_profile(&self) -> proto::Profile {
        let updates = self.updates(ONE).into_iter();
        updates
            .filter_map(|u| u.profile)
            .next_back()
            .expect("it was told")
    }

    fn is_ready(&self) -> bool {
        let last = self.updates(ONE).pop().expect("an update");
        last.worker.expect("it reports").ready
    }
}

/// A heartbeat of w1 that was held up came after w2 had registered and begun a run: the run was ended as crashed.
#[test]
fn test_executor_late_heartbeat_of_an_earlier_life_ends_nothing() {
    let mut bench = Bench::ready();
    bench.new_life("w2");
    bench.start(ONE, 1, &[0]);
    bench
        .executor
        .handle_start_reply(bench.now, run(1, 0, 1), OrderReply::Done(1));
    bench.heartbeat("w1", false, 9);
    bench.lists(&[run(1, 0, 1)], Vec::new());
    assert_matches!(bench.actions.iter().rev().find_map(asked), Some(life) if life == "w1");
    bench.handle_hold_reply(HoldReply::WrongLife);
    bench.pass(50);
    assert_eq!(bench.ends(ONE), []);
    assert_eq!(bench.executor.counts().rejected_heartbeats, 1);
    assert_eq!(bench.last_profile().worker, "w2");
}

fn asked(action: &Action) -> Option<String> {
    match action {
        Action::Hold(call) => Some(call.life.clone()),
        _ => None,
    }
}

/// The worker's answers may be lost; a life that nobody answers under is not believed.
#[test]
fn test_executor_asks_some_times_about_another_life() {
    let mut bench = Bench::ready();
    bench.heartbeat("w2", false, 1);
    bench.lists(&[], Vec::new());
    for _ in 0..2 {
        bench.handle_hold_reply(HoldReply::NoAnswer);
        bench.pass(25);
    }
    bench.lists(&[], Vec::new());
    bench.pass(25);
    assert_eq!(bench.last_profile().worker, "w2", "the third answer came");
    bench.heartbeat("w3", false, 1);
    bench.lists(&[], Vec::new());
    for _ in 0..3 {
        bench.handle_hold_reply(HoldReply::NoAnswer);
        bench.pass(25);
    }
    assert_matches!(bench.actions.iter().rev().find_map(asked), Some(life) if life == "w2");
}

#[test]
fn test_executor_late_heartbeat_after_the_worker_has_left_is_asked_about() {
    let mut bench = Bench::ready();
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.take();
    bench.heartbeat("w1", false, 7);
    bench.handle_hold_reply(HoldReply::Unreachable);
    bench.pass(50);
    assert_eq!(bench.last_profile().worker, "");
}

/// A question that was not asked yet does not hurry the ones about nobody in particular.
#[test]
fn test_executor_without_a_worker_asks_as_seldom_as_ever() {
    let mut bench = Bench::ready();
    bench.heartbeat("w2", false, 1);
    bench.executor.handle_worker_left(bench.now, "w1");
    bench.take();
    bench.handle_hold_reply(HoldReply::NoAnswer);
    let before = bench.holds();
    let mut answered = before - 1;
    for _ in 0..20 {
        if bench.holds() > answered {
            answered = bench.holds();
            bench.handle_hold_reply(HoldReply::NoAnswer);
        }
        bench.pass(1);
    }
    let more = bench.holds() - before;
    assert!(more <= 1, "{more} in 20 ms");
}

#[test]
fn test_executor_goes_by_the_service_that_tasks_were_started_for() {
    let mut bench = Bench::ready();
    bench.start(ONE, 1, &[0]);
    bench.beat_of("other", 5);
    bench.pass(100);
    assert_eq!(bench.last_profile().service, "s");
}

#[test]
fn test_executor_goes_by_the_newest_service_while_none_was_used() {
    let mut bench = Bench::ready();
    bench.beat_of("other", 5);
    bench.pass(100);
    assert_eq!(bench.last_profile().service, "other");
    bench.beat_of("s", 6);
    bench.pass(100);
    assert_eq!(bench.last_profile().service, "s");
}

/// After a heartbeat with the greatest number all true ones were old, and the worker got nothing more.
#[test]
fn test_executor_greatest_number_does_not_make_all_others_old() {
    let mut bench = Bench::ready();
    bench.beat_of("s", u64::MAX);
    for sequence in 2..6 {
        for _ in 0..15 {
            bench.live();
        }
        bench.heartbeat("w1", false, sequence);
    }
    bench.live();
    assert!(bench.is_ready());
}

/// What was held up on the way comes all at once, and is still old.
#[test]
fn test_executor_heartbeats_that_were_held_up_together_are_old() {
    let mut bench = Bench::ready();
    bench.heartbeat("w1", true, 8);
    for _ in 0..16 {
        bench.live();
    }
    for sequence in 3..7 {
        bench.heartbeat("w1", false, sequence);
    }
    assert_eq!(bench.executor.counts().rejected_heartbeats, 4);
    bench.heartbeat("w1", false, 9);
    bench.live();
    assert!(!bench.is_ready(), "a worker that leaves does not come back");
}

/// An end that is passed over by its number, while its run is here still, leaves a trace.
#[test]
fn test_executor_tells_of_an_end_that_is_passed_over() {
    let mut bench = Bench::ready();
    bench.begin(1);
    bench.lists(&[], vec![finished(9, run(1, 0, 1), RunEnd::Done)]);
    bench.begin(2);
    bench.lists(
        &[run(2, 0, 1)],
        vec![finished(2, run(2, 0, 1), RunEnd::Done)],
    );
    let told = |a: &Action| matches!(a, Action::Log(e) if e.kind == Kind::EndSkipped);
    assert!(bench.actions.iter().any(told));
    assert_eq!(bench.executor.counts().skipped_ends, 1);
}
