//! Tests of evacuated availability zones: nothing is placed there, peers and executors are informed, and jobs
//! that no other zone can run are refused at once.

use std::collections::BTreeMap;

use stackcourse_lib::dispatch::zones::ZoneRecord;

use super::*;

impl Bench {
    /// Returns a scheduler with two executors in different zones, each with free capacity for four tasks.
    fn in_two_zones() -> Bench {
        let mut bench = Bench::new();
        bench.link_in(EXECUTOR, "e1", "a");
        bench.link_in(OTHER_EXECUTOR, "e2", "b");
        for _ in 0..100 {
            bench.both_report();
            bench.advance(20);
        }
        bench.both_report();
        bench.actions.clear();
        bench
    }

    /// Links an executor in a zone.
    fn link_in(&mut self, link: LinkId, name: &str, zone: &str) {
        let greeting = proto::Greeting {
            executor: true,
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation: 1,
            ..proto::Greeting::default()
        };
        self.scheduler.link_up(self.now, link, &greeting);
        self.collect_actions();
    }

    fn both_report(&mut self) {
        for link in [EXECUTOR, OTHER_EXECUTOR] {
            let update = proto::Update {
                profile: Some(profile(Vec::new())),
                ..proto::Update::default()
            };
            self.send_update_on(link, update);
        }
    }

    /// Applies the store's record of a zone.
    fn set_evacuation(&mut self, zone: &str, revision: u64, evacuated: bool) {
        let record = ZoneRecord {
            revision,
            evacuated,
        };
        self.scheduler.set_evacuation(self.now, zone, record);
        self.collect_actions();
    }

    /// Applies the store's list of evacuated zones, read at revision `at`.
    fn set_evacuations(&mut self, zones: &[(&str, u64)], at: u64) {
        let zones: BTreeMap<String, u64> =
            zones.iter().map(|(z, r)| ((*z).to_owned(), *r)).collect();
        self.scheduler.set_evacuations(self.now, &zones, at);
        self.collect_actions();
    }

    /// Returns the orders that were sent on a link.
    fn orders_on(&self, link: LinkId) -> Vec<proto::Orders> {
        let orders = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Orders(orders) => Some(orders.clone()),
                _ => None,
            },
            _ => None,
        });
        orders.collect()
    }

    /// Returns how many tasks were placed at an executor.
    fn placed_at(&self, link: LinkId) -> usize {
        let orders = self.orders_on(link);
        let starts = orders.iter().flat_map(|o| o.starts.iter());
        starts.map(|s| s.tasks.len()).sum()
    }

    /// Returns the zone records that were sent to a peer.
    fn peer_zones(&self, link: LinkId) -> Vec<proto::ZoneState> {
        let sent = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.zones.clone()),
                _ => None,
            },
            _ => None,
        });
        sent.flatten().collect()
    }
}

#[test]
fn test_evacuation_placement() {
    let mut bench = Bench::in_two_zones();
    bench.set_evacuation("a", 7, true);
    let zones = bench.orders_on(EXECUTOR).into_iter().filter_map(|o| o.zone);
    let zones: Vec<proto::ZoneState> = zones.collect();
    assert_eq!(zones.len(), 1, "its executors are informed at once");
    assert!(
        bench
            .orders_on(OTHER_EXECUTOR)
            .iter()
            .all(|o| o.zone.is_none())
    );
    bench.submit(1, 5, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 0);
    assert_eq!(bench.placed_at(OTHER_EXECUTOR), 4);
    bench.set_evacuation("a", 9, false);
    bench.actions.clear();
    bench.submit(2, 6, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 4, "the evacuation is over");
}

/// After the store has lost its history, the end of an evacuation only shows in that the zone is no longer
/// listed.
#[test]
fn test_evacuation_removed_from_list() {
    let mut bench = Bench::in_two_zones();
    bench.set_evacuations(&[("a", 7), ("nobody-knows", 8)], 8);
    bench.submit(1, 5, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 0);
    bench.set_evacuations(&[], 6);
    assert_eq!(
        bench.scheduler.evacuated().count(),
        2,
        "an older list is ignored"
    );
    bench.set_evacuations(&[("nobody-knows", 8)], 12);
    assert_eq!(
        bench.scheduler.evacuated().collect::<Vec<_>>(),
        ["nobody-knows"]
    );
    bench.set_evacuation("a", 7, true);
    bench.submit(2, 6, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 4);
}

#[test]
fn test_evacuation_from_peers_and_executors() {
    let mut bench = Bench::in_two_zones();
    bench.link(PEER, "s2", false);
    bench.send_peer_update(proto::PeerUpdate {
        zones: vec![proto::ZoneState {
            zone: "a".to_owned(),
            revision: 3,
            evacuated: true,
        }],
        ..proto::PeerUpdate::default()
    });
    assert_eq!(bench.scheduler.evacuated().collect::<Vec<_>>(), ["a"]);
    let zones = bench.orders_on(EXECUTOR).into_iter().filter_map(|o| o.zone);
    assert_eq!(zones.count(), 1);
    bench.send_update_on(
        OTHER_EXECUTOR,
        proto::Update {
            zone: Some(proto::ZoneState {
                zone: "b".to_owned(),
                revision: 4,
                evacuated: true,
            }),
            ..proto::Update::default()
        },
    );
    assert_eq!(bench.scheduler.evacuated().collect::<Vec<_>>(), ["a", "b"]);
    bench.advance(20);
    let zones = bench.peer_zones(PEER).into_iter().map(|z| z.zone);
    assert!(zones.collect::<Vec<_>>().contains(&"b".to_owned()));
}

/// A peer or executor that has just linked may have started while it can't read the store.
#[test]
fn test_evacuation_sent_on_new_links() {
    let mut bench = Bench::in_two_zones();
    bench.set_evacuation("c", 7, true);
    bench.actions.clear();
    bench.link(PEER, "s2", false);
    assert_eq!(bench.peer_zones(PEER).len(), 1);
    bench.link_in(OTHER_PEER, "e3", "c");
    let first = bench.orders_on(OTHER_PEER);
    assert!(first[0].zone.as_ref().is_some_and(|z| z.evacuated));
}

#[test]
fn test_evacuation_of_all_zones() {
    let mut bench = Bench::in_two_zones();
    bench.submit(1, 5, 4);
    bench.submit(2, 6, 4);
    bench.submit(3, 7, 4);
    assert_eq!(bench.answers(), [], "the third job waits");
    bench.set_evacuation("a", 7, true);
    bench.set_evacuation("b", 8, true);
    assert_matches!(bench.answers()[..], [(3, JobOutcome::Refused(_))]);
    bench.submit(4, 8, 1);
    assert_matches!(bench.answers()[1..], [(4, JobOutcome::Refused(_))]);
    bench.set_evacuation("b", 9, false);
    bench.end_task(task(6, 0), 1, EndKind::Done);
    assert_eq!(
        bench.answers().len(),
        2,
        "running tasks end at their worker"
    );
}

/// A job that needs a large share of all capacity is placed in parts. Executors in evacuated zones don't
/// count as capacity.
#[test]
fn test_evacuation_wide_job() {
    let mut policy = Policy::default();
    policy.admission.wide_share = 0.8;
    let mut bench = Bench::with_policy(policy);
    bench.scheduler.set_catalog(bench.now, catalog(3));
    bench.link_in(EXECUTOR, "e1", "a");
    bench.link_in(OTHER_EXECUTOR, "e2", "b");
    for _ in 0..100 {
        bench.both_report();
        bench.advance(20);
    }
    bench.set_evacuation("a", 7, true);
    bench.submit(1, 5, 8);
    assert_eq!(
        bench.placed_at(OTHER_EXECUTOR),
        4,
        "half of it is placed at once"
    );
}
