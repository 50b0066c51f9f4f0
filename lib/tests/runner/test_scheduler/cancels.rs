//! Tests of cancelled jobs: a cancel that was acknowledged holds wherever the job runs or comes back.

use super::*;

const NUMBER: JobNumber = JobNumber(7);

impl Bench {
    fn cancel(&mut self) -> bool {
        let known = self.scheduler.cancel(self.now, NUMBER);
        self.collect_actions();
        known
    }
}

/// Stops that were lost with a link are sent again: the executor lists the run, and nobody wants it.
#[test]
fn test_cancel_stop_lost_with_link() {
    let mut bench = Bench::ready();
    bench.submit(1, NUMBER.0, 1);
    assert_eq!(bench.starts(), [(7, 0, 1)]);
    assert!(bench.cancel());
    bench.scheduler.link_down(bench.now, EXECUTOR);
    bench.actions.clear();
    bench.link(EXECUTOR, "e1", true);
    let held = proto::HeldTasks {
        tasks: vec![task(NUMBER.0, 0).proto(1)],
    };
    bench.send_update(proto::Update {
        held: Some(held),
        ..proto::Update::default()
    });
    bench.advance(20);
    let stops: Vec<_> = bench.orders().into_iter().flat_map(|o| o.stops).collect();
    assert_eq!(stops, [task(NUMBER.0, 0).proto(1)]);
}
