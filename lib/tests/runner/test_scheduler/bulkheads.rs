//! Queues under which workers crash are confined to a part of the workers.

use super::*;

/// A scheduler with ten executors in reach, and queues `q` and `r`.
struct Fleet {
    bench: Bench,
}

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
            fleet.live(20);
        }
        fleet.live(0);
        fleet.bench.actions.clear();
        fleet
    }

    fn live(&mut self, ms: u64) {
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

    /// A job of `q` is placed, and its worker crashes under it alone; what callers are told.
    fn crash(&mut self, job: u64, number: u64) -> Vec<(u64, JobOutcome)> {
        self.live(0);
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
            .send_update_on(sent.expect("it was placed"), update);
        self.bench.answers()
    }

    /// The executors at which forty jobs of a queue are placed.
    fn places(&mut self, from: u64, queue: &str) -> std::collections::BTreeSet<u64> {
        self.live(0);
        self.bench.actions.clear();
        for number in from..from + 40 {
            self.submit(number, queue);
            self.live(0);
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
fn test_scheduler_confines_a_queue_under_which_workers_crash() {
    let mut fleet = Fleet::new();
    fleet.places(100, "q");
    fleet.places(200, "r");
    fleet.blame("q", 900);
    fleet.blame("q", 900);
    assert!(
        fleet.places(300, "q").len() > 3,
        "fewer than two prove nothing"
    );
    fleet.blame("q", 900);
    let inside = fleet.places(400, "q");
    assert!(inside.len() <= 3, "{inside:?}");
    let outside = fleet.places(500, "r");
    assert!(outside.is_disjoint(&inside), "{inside:?} and {outside:?}");
    for _ in 0..160 {
        fleet.live(20);
    }
    assert!(
        fleet.places(600, "q").len() > 3,
        "there were no more crashes"
    );
}

/// A second crash would keep another worker of the few from the jobs of the queue that take none down.
#[test]
fn test_scheduler_gives_up_after_one_crash_what_alone_was_there_of_a_confined_queue() {
    let mut fleet = Fleet::new();
    fleet.places(100, "q");
    fleet.places(200, "r");
    assert_eq!(fleet.crash(900, 1), [], "one crash proves nothing");
    fleet.blame("q", 600);
    fleet.blame("q", 600);
    assert_eq!(fleet.crash(901, 2), [(901, JobOutcome::GivenUp)]);
}

/// Workers that crash by themselves take what runs there, by how much of each queue does.
#[test]
fn test_scheduler_confines_no_queue_for_crashes_that_fall_to_all() {
    let mut fleet = Fleet::new();
    fleet.places(100, "q");
    fleet.places(200, "r");
    for _ in 0..6 {
        fleet.blame("q", 550);
        fleet.blame("r", 450);
    }
    assert!(fleet.places(300, "q").len() > 3);
    assert!(fleet.places(400, "r").len() > 3);
}

#[test]
fn test_scheduler_confines_nothing_where_there_is_one_queue_only() {
    let mut fleet = Fleet::new();
    fleet.places(100, "q");
    for _ in 0..6 {
        fleet.blame("q", 1000);
    }
    assert!(fleet.places(200, "q").len() > 3);
}

/// One that starts meanwhile does not have to learn it anew from crashes.
#[test]
fn test_scheduler_hears_of_confined_queues_on_a_new_link() {
    let mut fleet = Fleet::new();
    let confined = vec![proto::ConfinedQueue {
        queue: "q".to_owned(),
        remaining_ms: 1000,
    }];
    fleet.bench.send_peer_update(proto::PeerUpdate {
        confined,
        ..proto::PeerUpdate::default()
    });
    assert!(fleet.places(100, "q").len() <= 3);
    fleet.bench.link(OTHER_PEER, "s3", false);
    let told = fleet.bench.actions.iter().any(|a| match a {
        Action::Send(OTHER_PEER, body) => {
            matches!(&**body, Body::Peer(update) if !update.confined.is_empty())
        }
        _ => false,
    });
    assert!(told);
}
