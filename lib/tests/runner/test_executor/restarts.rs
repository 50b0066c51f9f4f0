//! A worker that is started again under the id that it had.
//!
//! Four workers were down for two seconds and came back under their ids. Each then counts its heartbeats and the ends
//! of its runs from 1 again, but the executor told lives apart by the id alone, so it compared the new counts with
//! the old ones. The first heartbeat was dropped ("i-026e9baab9 number 1, after 17", SC426), and in the same
//! millisecond the worker took tasks again (SC421) without a life having ended (SC423). One of them said soon after that
//! it leaves; that was acknowledged, dropped as old as well, and tasks were started there 2.0 s later. At another one
//! 2,370 ends had been taken note of before: of the next 1,858 runs not one counted as done, since their ends had lower
//! numbers, and each ran again elsewhere, until the executor itself was started anew 37 s later.

use super::*;

impl Bench {
    /// The worker says something in the life that began at a time.
    fn beat_born(&mut self, born: u64, draining: bool, sequence: u64) {
        let beat = WorkerBeat {
            life: Life {
                id: "w1".to_owned(),
                born: Some(born),
            },
            service: "s".to_owned(),
            draining,
            capacity: Demand {
                cpu_milli: 2000,
                memory_mb: 1000,
                gpu: 0,
            },
            sequence,
            ..WorkerBeat::default()
        };
        self.executor.beat(self.now, beat);
        self.take();
    }

    /// The worker's lists in the life that began at a time.
    fn lists_born(&mut self, born: u64, running: &[RunName], finished: Vec<FinishedRow>) {
        let row = |run: &RunName| RunningRow {
            run: *run,
            percent: 0,
        };
        self.held(HoldReply::Lists {
            born: Some(born),
            clock_ms: 1000,
            running: running.iter().map(row).collect(),
            finished,
        });
    }

    /// A worker that began at 100 and has ended nine runs.
    fn used() -> Bench {
        let mut bench = Bench::new();
        bench.beat_born(100, false, 17);
        bench.lists_born(100, &[], Vec::new());
        bench.link(ONE, "one");
        bench.start(ONE, 1, &[0]);
        let reply = OrderReply::Done(1);
        bench.executor.started(bench.now, run(1, 0, 1), reply);
        let end = finished(9, run(1, 0, 1), WorkerEnd::Done);
        bench.lists_born(100, &[], vec![end]);
        bench
    }

    /// The same, gone for a moment and back in the life that began at a time.
    fn restarted(born: u64) -> Bench {
        let mut bench = Bench::used();
        for _ in 0..20 {
            bench.held(HoldReply::Unreachable);
            bench.orders(ONE, proto::Orders::default());
            bench.pass(100);
        }
        bench.beat_born(born, false, 1);
        for _ in 0..3 {
            bench.lists_born(born, &[], Vec::new());
        }
        bench.pass(20);
        bench
    }
}

#[test]
fn test_executor_goes_by_the_counts_of_a_restarted_worker() {
    let mut bench = Bench::restarted(200);
    bench.start(ONE, 2, &[0]);
    let reply = OrderReply::Done(1);
    bench.executor.started(bench.now, run(2, 0, 1), reply);
    let end = finished(1, run(2, 0, 1), WorkerEnd::Done);
    bench.lists_born(200, &[], vec![end]);
    let ends = bench.ends(ONE);
    bench.beat_born(200, true, 2);
    bench.start(ONE, 3, &[0]);
    let before = [run(1, 0, 1), run(2, 0, 1)];
    assert_eq!(bench.started(), before, "it has said that it leaves");
    assert_eq!(ends, [(1, EndKind::Done), (2, EndKind::Done)]);
}
