//! Cells: a scheduler that places tasks at one of two executors and is on standby at the other.

use super::*;

const THIRD_PEER: LinkId = LinkId(5);

/// The links to the executor of the cell and to the one on standby, as the orders on them say.
struct Cells {
    bench: Bench,
    near: LinkId,
    standby: LinkId,
}

impl Cells {
    fn ready() -> Cells {
        let mut policy = Policy::default();
        policy.cells.size = 1;
        policy.cells.cover = 1;
        let mut bench = Bench::with_policy(policy);
        bench.scheduler.set_catalog(bench.now, catalog(3));
        bench.link(EXECUTOR, "e1", true);
        bench.link(OTHER_EXECUTOR, "e2", true);
        // A peer that has nothing to do with what is tested, so that one of two executors is a cell.
        bench.link(THIRD_PEER, "s3", false);
        let mut cells = Cells {
            bench,
            near: EXECUTOR,
            standby: OTHER_EXECUTOR,
        };
        let sent = cells.sent();
        let near = sent.iter().find(|(_, orders)| !orders.standby);
        if near.is_some_and(|(link, _)| *link == OTHER_EXECUTOR) {
            (cells.near, cells.standby) = (OTHER_EXECUTOR, EXECUTOR);
        }
        for _ in 0..20 {
            cells.live(100, &[]);
        }
        cells.bench.actions.clear();
        cells
    }

    fn sent(&self) -> Vec<(LinkId, proto::Orders)> {
        let actions = self.bench.actions.iter();
        let sent = actions.filter_map(|a| match a {
            Action::Send(link, body) => match &**body {
                Body::Orders(orders) => Some((*link, orders.clone())),
                _ => None,
            },
            _ => None,
        });
        sent.collect()
    }

    /// Both executors report, then time passes. The one of the cell lists these schedulers.
    fn live(&mut self, ms: u64, leased: &[&str]) {
        self.bench
            .send_peer_update_on(THIRD_PEER, proto::PeerUpdate::default());
        let leased = leased.iter().map(|name| (*name).to_owned()).collect();
        self.report(self.near, leased);
        self.report(self.standby, Vec::new());
        self.bench.advance(ms);
    }

    /// 100 ms in which the executor on standby says nothing.
    fn live_without_standby(&mut self) {
        self.bench
            .send_peer_update_on(THIRD_PEER, proto::PeerUpdate::default());
        self.report(self.near, Vec::new());
        self.bench.advance(100);
    }

    fn report(&mut self, link: LinkId, leased: Vec<String>) {
        let update = proto::Update {
            profile: Some(profile(leased)),
            ..proto::Update::default()
        };
        self.bench.send_update_on(link, update);
    }

    fn confirm(&mut self, link: LinkId, job: u64) {
        let update = proto::Update {
            claimed: vec![job],
            ..proto::Update::default()
        };
        self.bench.send_update_on(link, update);
    }

    /// The links on which a claim of this job was sent.
    fn claimed_at(&self, job: u64) -> Vec<LinkId> {
        let sent = self.sent();
        let asked = sent.iter().filter(|(_, o)| o.claims.contains(&job));
        asked.map(|(link, _)| *link).collect()
    }

    fn started_at(&self) -> Vec<LinkId> {
        let sent = self.sent();
        let starts = sent.iter().filter(|(_, o)| !o.starts.is_empty());
        starts.map(|(link, _)| *link).collect()
    }
}

#[test]
fn test_scheduler_cell_sends_heartbeats_seldom_on_standby() {
    let mut cells = Cells::ready();
    for _ in 0..20 {
        cells.live(100, &[]);
    }
    let count = |link: LinkId| cells.sent().iter().filter(|(l, _)| *l == link).count();
    assert!(count(cells.near) >= 16, "{}", count(cells.near));
    assert!(count(cells.standby) <= 3, "{}", count(cells.standby));
}

/// With one scheduler for two executors, the second one would stand idle.
#[test]
fn test_scheduler_cell_grows_where_schedulers_are_few() {
    let mut cells = Cells::ready();
    let standby = |cells: &Cells| {
        let sent = cells.sent();
        let last = sent.iter().rfind(|(link, _)| *link == cells.standby);
        last.is_some_and(|(_, orders)| orders.standby)
    };
    for _ in 0..10 {
        cells.live(100, &[]);
    }
    assert!(standby(&cells));
    cells.bench.scheduler.link_down(cells.bench.now, THIRD_PEER);
    cells.bench.actions.clear();
    for _ in 0..10 {
        cells.report(cells.near, Vec::new());
        cells.report(cells.standby, Vec::new());
        cells.bench.advance(100);
    }
    assert!(!cells.sent().is_empty());
    assert!(!standby(&cells), "it is of the cell now");
}

#[test]
fn test_scheduler_cell_is_widened_while_it_has_no_room() {
    let mut cells = Cells::ready();
    // Four tasks fill the executor of the cell.
    cells.bench.submit(1, 7, 4);
    cells.bench.submit(2, 8, 2);
    assert_eq!(cells.started_at(), [cells.near]);
    cells.bench.actions.clear();
    for _ in 0..11 {
        cells.report(cells.standby, Vec::new());
        cells.bench.advance(20);
    }
    let at = cells.started_at();
    assert_eq!(
        at,
        [],
        "its objective of 60 ms more than its work has passed"
    );
    cells.bench.submit(3, 9, 2);
    assert_eq!(cells.started_at(), [cells.standby]);
}

/// A new job is claimed where the lost peer may have placed it, not at all executors.
#[test]
fn test_scheduler_cell_claims_where_a_lost_peer_had_leases() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.send_peer_update(proto::PeerUpdate::default());
    cells.live(100, &["s1", "s2"]);
    cells.bench.actions.clear();
    cells.bench.scheduler.link_down(cells.bench.now, PEER);
    cells.bench.submit(1, 9, 1);
    cells.bench.advance(20);
    assert_eq!(cells.claimed_at(9), [cells.near]);
    assert_eq!(cells.started_at(), []);
    cells.confirm(cells.near, 9);
    assert_eq!(cells.started_at(), [cells.near]);
}

/// It has not been heard for nearly a second when its link is reset: others' runs there may have been kept alive
/// until then, and go on for what is left of their leases.
#[test]
fn test_scheduler_cell_waits_for_runs_at_an_executor_on_standby_that_is_lost() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.announce_on(PEER, 9);
    for _ in 0..9 {
        cells.live_without_standby();
    }
    let now = cells.bench.now;
    cells.bench.scheduler.link_down(now, PEER);
    cells.bench.scheduler.link_down(now, cells.standby);
    // Long enough that it can begin late.
    cells.bench.submit_estimated(1, 9, 1, 8000);
    cells.bench.advance(20);
    cells.confirm(cells.near, 9);
    for _ in 0..12 {
        cells.live_without_standby();
    }
    assert_eq!(cells.started_at(), [], "it may still run there");
    for _ in 0..3 {
        // Claimed once more, since the peer was not heard for so long.
        cells.confirm(cells.near, 9);
        cells.bench.advance(100);
    }
    assert_eq!(cells.started_at(), [cells.near]);
}

/// One that says nothing when it is asked for a claim is given up after the usual silence.
#[test]
fn test_scheduler_cell_gives_up_an_executor_on_standby_that_does_not_answer_a_claim() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.announce_on(PEER, 9);
    cells.bench.scheduler.link_down(cells.bench.now, PEER);
    cells.bench.submit_estimated(1, 9, 1, 900);
    cells.bench.advance(20);
    cells.bench.actions.clear();
    for _ in 0..7 {
        cells.live_without_standby();
    }
    let closed = cells.bench.actions.contains(&Action::Close(cells.standby));
    assert!(closed, "after 700 ms, not 2,500");
}

/// One that has just started leaves jobs to a neighbour that need not claim them.
#[test]
fn test_scheduler_is_not_ready_while_young_beside_a_settled_neighbour() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.report(Vec::new());
    assert!(bench.scheduler.is_ready(), "nobody else is there");
    let greeting = proto::Greeting {
        name: "s2".to_owned(),
        zone: "z".to_owned(),
        incarnation: 1,
        ..proto::Greeting::default()
    };
    bench.scheduler.link_up(bench.now, PEER, &greeting);
    bench.send_peer_update(proto::PeerUpdate::default());
    assert!(bench.scheduler.is_ready(), "the neighbour is young, too");
    bench.send_peer_update(proto::PeerUpdate {
        settled: true,
        ..proto::PeerUpdate::default()
    });
    assert!(!bench.scheduler.is_ready());
    for _ in 0..70 {
        bench.report(Vec::new());
        bench.send_peer_update(proto::PeerUpdate::default());
        bench.advance(20);
    }
    assert!(bench.scheduler.is_ready());
}
