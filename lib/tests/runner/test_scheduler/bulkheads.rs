//! Tests of bulkheads: a queue under which workers crash is confined to a part of the workers, and other
//! queues to the rest, until the crashes end.

use super::*;

/// A scheduler with a peer, ten linked executors, and the queues `q` and `r`.
struct Fleet {
    bench: Bench,
}

/// The link to the first executor.
const FIRST: u64 = 10;

impl Fleet {
    fn new() -> Fleet {
        let mut bench = Bench::without_catalog();
        let mut catalog = catalog(3);
        let other = Queue {
            name: "r".to_owned(),
            ..catalog.queues[0].clone()
        };
        catalog.queues.push(other);
        bench.scheduler.set_catalog(bench.now, catalog);
        for n in 0..10 {
            bench.link(LinkId(FIRST + n), &format!("e{n}"), true);
        }
        bench.link(PEER, "s2", false);
        let mut fleet = Fleet { bench };
        for _ in 0..100 {
            fleet.advance_heard(20);
        }
        fleet.advance_heard(0);
        fleet.bench.actions.clear();
        fleet
    }

    /// Lets all executors and the peer be heard, then advances the clock.
    fn advance_heard(&mut self, ms: u64) {
        for n in 0..10 {
            let update = proto::Update {
                profile: Some(profile(Vec::new())),
                ..proto::Update::default()
            };
            self.bench.send_update_on(LinkId(FIRST + n), update);
        }
        self.bench.send_peer_update(proto::PeerUpdate::default());
        self.bench.advance(ms);
    }

    fn submit(&mut self, number: u64, queue: &str) {
        let request = JobRequest {
            number: JobNumber(number),
            queue: queue.to_owned(),
            spec: Rc::from("x"),
            steps: vec![Step {
                count: 1,
                demand: Demand {
                    cpu_milli: 1000,
                    memory_mb: 10,
                    gpu: 0,
                },
                estimate_ms: 100,
                ..Step::default()
            }],
            patience_ms: 3000,
            call: Rc::default(),
        };
        let now = self.bench.now;
        self.bench.scheduler.submit(now, CallerId(number), request);
        self.bench.collect_actions();
    }

    /// Delivers a share of the blame for a crash that a peer has attributed to a queue, in thousandths.
    fn blame(&mut self, queue: &str, blame: u32) {
        let blames = vec![proto::QueueBlame {
            queue: queue.to_owned(),
            blame,
        }];
        self.bench.send_peer_update(proto::PeerUpdate {
            blames,
            ..proto::PeerUpdate::default()
        });
    }

    /// Submits a job of `q` and has its worker crash under it alone. Returns the answers to callers.
    fn crash(&mut self, job: u64, number: u64) -> Vec<(u64, JobOutcome)> {
        self.advance_heard(0);
        self.bench.actions.clear();
        self.submit(job, "q");
        let sent = self.bench.actions.iter().find_map(|a| match a {
            Action::Send(link, body) => match &**body {
                Body::Orders(orders) if !orders.starts.is_empty() => Some(*link),
                _ => None,
            },
            _ => None,
        });
        let end = proto::TaskEnd {
            number,
            task: Some(task(job, 0).proto(1)),
            kind: EndKind::Crashed.code(),
            crashes: Some(proto::CrashRecord {
                count: 1,
                suspect: true,
                ..proto::CrashRecord::default()
            }),
            blame: 1000,
            sole: true,
            ..proto::TaskEnd::default()
        };
        let update = proto::Update {
            ends: vec![end],
            ..proto::Update::default()
        };
        self.bench.actions.clear();
        self.bench
            .send_update_on(sent.expect("the job was placed"), update);
        self.bench.answers()
    }

    /// Submits forty jobs of a queue, and returns the links to the executors at which they are placed.
    fn placements(&mut self, from: u64, queue: &str) -> std::collections::BTreeSet<u64> {
        self.advance_heard(0);
        self.bench.actions.clear();
        for number in from..from + 40 {
            self.submit(number, queue);
            self.advance_heard(0);
        }
        let sent = self.bench.actions.iter().filter_map(|a| match a {
            Action::Send(link, body) => match &**body {
                Body::Orders(orders) if !orders.starts.is_empty() => Some(link.0),
                _ => None,
            },
            _ => None,
        });
        sent.collect()
    }
}

#[test]
fn test_bulkhead_confined_queue() {
    let mut fleet = Fleet::new();
    fleet.placements(100, "q");
    fleet.placements(200, "r");
    fleet.blame("q", 900);
    fleet.blame("q", 900);
    assert!(
        fleet.placements(300, "q").len() > 3,
        "blame below two crashes is not enough"
    );
    fleet.blame("q", 900);
    let inside = fleet.placements(400, "q");
    assert!(inside.len() <= 3, "{inside:?}");
    let outside = fleet.placements(500, "r");
    assert!(outside.is_disjoint(&inside), "{inside:?} and {outside:?}");
    for _ in 0..160 {
        fleet.advance_heard(20);
    }
    assert!(
        fleet.placements(600, "q").len() > 3,
        "there were no further crashes"
    );
}

/// A second crash of the same job would take another of the few workers away from the harmless jobs of the
/// queue.
#[test]
fn test_bulkhead_job_given_up_after_crash() {
    let mut fleet = Fleet::new();
    fleet.placements(100, "q");
    fleet.placements(200, "r");
    assert_eq!(fleet.crash(900, 1), [], "its queue is not confined");
    fleet.blame("q", 600);
    fleet.blame("q", 600);
    assert_eq!(fleet.crash(901, 2), [(901, JobOutcome::GivenUp)]);
}

/// If workers crash for reasons of their own, queues are blamed in proportion to their runs.
#[test]
fn test_bulkhead_proportional_blame() {
    let mut fleet = Fleet::new();
    fleet.placements(100, "q");
    fleet.placements(200, "r");
    for _ in 0..6 {
        fleet.blame("q", 550);
        fleet.blame("r", 450);
    }
    assert!(fleet.placements(300, "q").len() > 3);
    assert!(fleet.placements(400, "r").len() > 3);
}

#[test]
fn test_bulkhead_single_queue() {
    let mut fleet = Fleet::new();
    fleet.placements(100, "q");
    for _ in 0..6 {
        fleet.blame("q", 1000);
    }
    assert!(fleet.placements(200, "q").len() > 3);
}

/// A scheduler that starts later learns of confined queues from its peers, without further crashes.
#[test]
fn test_bulkhead_confined_queues_exchanged() {
    let mut fleet = Fleet::new();
    let confined = vec![proto::ConfinedQueue {
        queue: "q".to_owned(),
        remaining_ms: 1000,
    }];
    fleet.bench.send_peer_update(proto::PeerUpdate {
        confined,
        ..proto::PeerUpdate::default()
    });
    assert!(fleet.placements(100, "q").len() <= 3);
    fleet.bench.link(OTHER_PEER, "s3", false);
    let sent = fleet.bench.actions.iter().any(|a| match a {
        Action::Send(OTHER_PEER, body) => {
            matches!(&**body, Body::Peer(update) if !update.confined.is_empty())
        }
        _ => false,
    });
    assert!(sent);
}
