//! Evacuated zones: nothing is placed there, others are told, and what can't be served is refused at once.

use std::collections::BTreeMap;

use stackcourse_lib::dispatch::zones::ZoneRecord;

use super::*;

impl Bench {
    /// Two executors in zones of their own, each with room for four tasks.
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

    fn word(&mut self, zone: &str, revision: u64, evacuated: bool) {
        let word = ZoneRecord {
            revision,
            evacuated,
        };
        self.scheduler.set_evacuation(self.now, zone, word);
        self.collect_actions();
    }

    fn list(&mut self, zones: &[(&str, u64)], at: u64) {
        let zones: BTreeMap<String, u64> =
            zones.iter().map(|(z, r)| ((*z).to_owned(), *r)).collect();
        self.scheduler.set_evacuations(self.now, &zones, at);
        self.collect_actions();
    }

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

    fn placed_at(&self, link: LinkId) -> usize {
        let orders = self.orders_on(link);
        let starts = orders.iter().flat_map(|o| o.starts.iter());
        starts.map(|s| s.tasks.len()).sum()
    }

    fn peer_zones(&self, link: LinkId) -> Vec<proto::ZoneState> {
        let told = self.actions.iter().filter_map(|a| match a {
            Action::Send(to, body) if *to == link => match &**body {
                Body::Peer(update) => Some(update.zones.clone()),
                _ => None,
            },
            _ => None,
        });
        told.flatten().collect()
    }
}

#[test]
fn test_scheduler_places_nothing_in_an_evacuated_zone() {
    let mut bench = Bench::in_two_zones();
    bench.word("a", 7, true);
    let told = bench.orders_on(EXECUTOR).into_iter().filter_map(|o| o.zone);
    let told: Vec<proto::ZoneState> = told.collect();
    assert_eq!(told.len(), 1, "its executors hear of it at once");
    assert!(
        bench
            .orders_on(OTHER_EXECUTOR)
            .iter()
            .all(|o| o.zone.is_none())
    );
    bench.submit(1, 5, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 0);
    assert_eq!(bench.placed_at(OTHER_EXECUTOR), 4);
    bench.word("a", 9, false);
    bench.actions.clear();
    bench.submit(2, 6, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 4, "it is taken back");
}

/// A read of the store after its history was lost tells of what is over only by not listing it.
#[test]
fn test_scheduler_evacuation_is_over_once_the_store_does_not_list_it() {
    let mut bench = Bench::in_two_zones();
    bench.list(&[("a", 7), ("nobody-knows", 8)], 8);
    bench.submit(1, 5, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 0);
    bench.list(&[], 6);
    assert_eq!(bench.scheduler.evacuated().count(), 2, "an older reading");
    bench.list(&[("nobody-knows", 8)], 12);
    assert_eq!(
        bench.scheduler.evacuated().collect::<Vec<_>>(),
        ["nobody-knows"]
    );
    bench.word("a", 7, true);
    bench.submit(2, 6, 4);
    assert_eq!(bench.placed_at(EXECUTOR), 4);
}

#[test]
fn test_scheduler_hears_of_evacuations_from_peers_and_executors() {
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
    let told = bench.orders_on(EXECUTOR).into_iter().filter_map(|o| o.zone);
    assert_eq!(told.count(), 1);
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

/// A peer that has just linked may have started meanwhile, while the store does not serve it.
#[test]
fn test_scheduler_tells_a_new_peer_and_a_new_executor_with_the_first_message() {
    let mut bench = Bench::in_two_zones();
    bench.word("c", 7, true);
    bench.actions.clear();
    bench.link(PEER, "s2", false);
    assert_eq!(bench.peer_zones(PEER).len(), 1);
    bench.link_in(OTHER_PEER, "e3", "c");
    let first = bench.orders_on(OTHER_PEER);
    assert!(first[0].zone.as_ref().is_some_and(|z| z.evacuated));
}

#[test]
fn test_scheduler_refuses_at_once_what_no_zone_is_left_for() {
    let mut bench = Bench::in_two_zones();
    bench.submit(1, 5, 4);
    bench.submit(2, 6, 4);
    bench.submit(3, 7, 4);
    assert_eq!(bench.answers(), [], "the third one waits");
    bench.word("a", 7, true);
    bench.word("b", 8, true);
    assert_matches!(bench.answers()[..], [(3, JobOutcome::Refused(_))]);
    bench.submit(4, 8, 1);
    assert_matches!(bench.answers()[1..], [(4, JobOutcome::Refused(_))]);
    bench.word("b", 9, false);
    bench.end_task(task(6, 0), 1, EndKind::Done);
    assert_eq!(bench.answers().len(), 2, "what runs there ends where it is");
}

/// A job that takes more than a part of the workers is placed piece by piece; those that take nothing are not counted.
#[test]
fn test_scheduler_judges_a_wide_job_by_the_room_that_is_left() {
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
    bench.word("a", 7, true);
    bench.submit(1, 5, 8);
    assert_eq!(bench.placed_at(OTHER_EXECUTOR), 4, "half of it, at once");
}
