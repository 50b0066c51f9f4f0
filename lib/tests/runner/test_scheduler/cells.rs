//! Tests of cells: a scheduler places tasks at one of two executors and is on standby at the other. Covers
//! heartbeats, borrowing executors, the growth of the cell, and which executors claims wait for.

use super::*;

const THIRD_PEER: LinkId = LinkId(5);

/// A scheduler with the links to the executor in its cell and to the one on standby, told apart by their
/// orders.
struct Cells {
    bench: Bench,
    in_cell: LinkId,
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
        // This peer takes no part in the tests: beside a second scheduler, one of two executors is a cell.
        bench.link(THIRD_PEER, "s3", false);
        let mut cells = Cells {
            bench,
            in_cell: EXECUTOR,
            standby: OTHER_EXECUTOR,
        };
        let sent = cells.sent();
        let in_cell = sent.iter().find(|(_, orders)| !orders.standby);
        if in_cell.is_some_and(|(link, _)| *link == OTHER_EXECUTOR) {
            (cells.in_cell, cells.standby) = (OTHER_EXECUTOR, EXECUTOR);
        }
        for _ in 0..20 {
            cells.advance_heard(100, &[]);
        }
        cells.bench.actions.clear();
        cells
    }

    /// Returns the orders that were sent, and the links on which they were sent.
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

    /// Lets both executors and the third peer be heard, then advances the clock. The executor in the cell
    /// lists these schedulers as holders of leases.
    fn advance_heard(&mut self, ms: u64, leased: &[&str]) {
        self.bench
            .send_peer_update_on(THIRD_PEER, proto::PeerUpdate::default());
        let leased = leased.iter().map(|name| (*name).to_owned()).collect();
        self.report(self.in_cell, leased);
        self.report(self.standby, Vec::new());
        self.bench.advance(ms);
    }

    /// Advances the clock by 100 ms in which the executor on standby is silent.
    fn advance_without_standby(&mut self) {
        self.bench
            .send_peer_update_on(THIRD_PEER, proto::PeerUpdate::default());
        self.report(self.in_cell, Vec::new());
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

    /// Returns the links on which a claim of the job was sent.
    fn claimed_at(&self, job: u64) -> Vec<LinkId> {
        let sent = self.sent();
        let asked = sent.iter().filter(|(_, o)| o.claims.contains(&job));
        asked.map(|(link, _)| *link).collect()
    }

    /// Returns the links on which starts were sent.
    fn started_at(&self) -> Vec<LinkId> {
        let sent = self.sent();
        let starts = sent.iter().filter(|(_, o)| !o.starts.is_empty());
        starts.map(|(link, _)| *link).collect()
    }
}

#[test]
fn test_cell_standby_heartbeats() {
    let mut cells = Cells::ready();
    for _ in 0..20 {
        cells.advance_heard(100, &[]);
    }
    let count = |link: LinkId| cells.sent().iter().filter(|(l, _)| *l == link).count();
    assert!(count(cells.in_cell) >= 16, "{}", count(cells.in_cell));
    assert!(count(cells.standby) <= 3, "{}", count(cells.standby));
}

/// A single scheduler takes both executors into its cell, as the second one would be idle otherwise.
#[test]
fn test_cell_growth_with_few_schedulers() {
    let mut cells = Cells::ready();
    let standby = |cells: &Cells| {
        let sent = cells.sent();
        let last = sent.iter().rfind(|(link, _)| *link == cells.standby);
        last.is_some_and(|(_, orders)| orders.standby)
    };
    for _ in 0..10 {
        cells.advance_heard(100, &[]);
    }
    assert!(standby(&cells));
    cells.bench.scheduler.link_down(cells.bench.now, THIRD_PEER);
    cells.bench.actions.clear();
    for _ in 0..10 {
        cells.report(cells.in_cell, Vec::new());
        cells.report(cells.standby, Vec::new());
        cells.bench.advance(100);
    }
    assert!(!cells.sent().is_empty());
    assert!(!standby(&cells), "it is in the cell now");
}

#[test]
fn test_cell_borrowed_executors() {
    let mut cells = Cells::ready();
    // Four tasks fill the executor in the cell.
    cells.bench.submit(1, 7, 4);
    cells.bench.submit(2, 8, 2);
    assert_eq!(cells.started_at(), [cells.in_cell]);
    cells.bench.actions.clear();
    for _ in 0..11 {
        cells.report(cells.standby, Vec::new());
        cells.bench.advance(20);
    }
    let at = cells.started_at();
    assert_eq!(
        at,
        [],
        "its objective, 60 ms more than its work, has passed"
    );
    cells.bench.submit(3, 9, 2);
    assert_eq!(cells.started_at(), [cells.standby]);
}

/// A new job is claimed only at executors where the lost peer may have placed it.
#[test]
fn test_cell_claim_after_lost_peer() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.send_peer_update(proto::PeerUpdate::default());
    cells.advance_heard(100, &["s1", "s2"]);
    cells.bench.actions.clear();
    cells.bench.scheduler.link_down(cells.bench.now, PEER);
    cells.bench.submit(1, 9, 1);
    cells.bench.advance(20);
    assert_eq!(cells.claimed_at(9), [cells.in_cell]);
    assert_eq!(cells.started_at(), []);
    cells.confirm(cells.in_cell, 9);
    assert_eq!(cells.started_at(), [cells.in_cell]);
}

/// Guards against a task that runs twice at once. One peer was lost just now, and another one was not heard for so
/// long that its jobs may come here unannounced: it may have placed the job at any executor that lists it, not
/// only where the first one has a lease.
#[test]
fn test_cell_claim_with_unheard_peer() {
    let mut cells = Cells::ready();
    // With this peer one of two executors stays a cell.
    cells.bench.link(OTHER_PEER, "s4", false);
    cells.bench.link(PEER, "s2", false);
    cells.bench.send_peer_update(proto::PeerUpdate::default());
    cells.bench.scheduler.link_down(cells.bench.now, PEER);
    for _ in 0..8 {
        for link in [THIRD_PEER, OTHER_PEER] {
            cells
                .bench
                .send_peer_update_on(link, proto::PeerUpdate::default());
        }
        cells.report(cells.in_cell, vec!["s1".to_owned(), "s3".to_owned()]);
        cells.report(cells.standby, vec!["s2".to_owned()]);
        cells.bench.advance(100);
    }
    cells.bench.scheduler.link_down(cells.bench.now, THIRD_PEER);
    cells.bench.actions.clear();
    cells.bench.submit(1, 9, 1);
    cells.bench.advance(20);
    let mut asked = cells.claimed_at(9);
    asked.sort_by_key(|link| link.0);
    assert_eq!(asked, [EXECUTOR, OTHER_EXECUTOR]);
    cells.confirm(cells.in_cell, 9);
    assert_eq!(cells.started_at(), [], "the other one has not confirmed");
}

/// The executor was not heard for nearly a second when its link breaks: other schedulers may have renewed
/// their leases there until then, and their runs go on until these expire.
#[test]
fn test_cell_claim_lost_standby_executor() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.announce_on(PEER, 9);
    for _ in 0..9 {
        cells.advance_without_standby();
    }
    let now = cells.bench.now;
    cells.bench.scheduler.link_down(now, PEER);
    cells.bench.scheduler.link_down(now, cells.standby);
    // The job is long enough that it can start late and end in time.
    cells.bench.submit_estimated(1, 9, 1, 8000);
    cells.bench.advance(20);
    cells.confirm(cells.in_cell, 9);
    for _ in 0..12 {
        cells.advance_without_standby();
    }
    assert_eq!(cells.started_at(), [], "it may still run there");
    for _ in 0..3 {
        // It is claimed again, since the peer was not heard for so long.
        cells.confirm(cells.in_cell, 9);
        cells.bench.advance(100);
    }
    assert_eq!(cells.started_at(), [cells.in_cell]);
}

/// An executor on standby that was asked to confirm a claim is disconnected after the silence that applies to
/// executors in the cell.
#[test]
fn test_cell_claim_silent_standby_executor() {
    let mut cells = Cells::ready();
    cells.bench.link(PEER, "s2", false);
    cells.bench.announce_on(PEER, 9);
    cells.bench.scheduler.link_down(cells.bench.now, PEER);
    cells.bench.submit_estimated(1, 9, 1, 900);
    cells.bench.advance(20);
    cells.bench.actions.clear();
    for _ in 0..7 {
        cells.advance_without_standby();
    }
    let closed = cells.bench.actions.contains(&Action::Close(cells.standby));
    assert!(closed, "after 700 ms, not 2,500");
}

/// A scheduler that has just started leaves jobs to a neighbour that need not claim them.
#[test]
fn test_scheduler_readiness_with_settled_neighbour() {
    let mut bench = Bench::new();
    bench.link(EXECUTOR, "e1", true);
    bench.report(Vec::new());
    assert!(bench.scheduler.is_ready(), "there is no other scheduler");
    let greeting = proto::Greeting {
        name: "s2".to_owned(),
        zone: "z".to_owned(),
        incarnation: 1,
        ..proto::Greeting::default()
    };
    bench.scheduler.link_up(bench.now, PEER, &greeting);
    bench.send_peer_update(proto::PeerUpdate::default());
    assert!(
        bench.scheduler.is_ready(),
        "the neighbour has just started, too"
    );
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
