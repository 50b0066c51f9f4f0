//! Tests of shard assignment and of the roster of agents.

use super::*;

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        incarnation,
        address: String::new(),
        http: String::new(),
        zone: String::new(),
    }
}

fn record_with_three_members() -> OwnershipRecord {
    let mut record = OwnershipRecord::new(8);
    for (name, inc) in [("a", 1), ("b", 2), ("c", 3)] {
        record.join(member(name, inc));
    }
    record
}

#[test]
fn test_ownership_single_owner() {
    let mut record = record_with_three_members();
    record.assign_unowned(&[1, 2, 3], 1);
    assert_eq!(record.owned(1).len(), 8);
    assert!(record.plan_moves(&[1, 2, 3], 1).is_empty());
    assert_eq!(record.plan_moves(&[2, 3], 1).len(), 8);
}

#[test]
fn test_ownership_balances_shards() {
    let mut record = record_with_three_members();
    record.assign_unowned(&[1, 2], 0);
    assert_eq!((record.owned(1).len(), record.owned(2).len()), (4, 4));
    let moves = record.plan_moves(&[1, 2, 3], 0);
    for (shard, to) in moves {
        record.transfer_shard(shard, to);
    }
    assert!(record.owned(3).len() >= 2);
    assert!(record.plan_moves(&[1, 2, 3], 0).is_empty());
}

#[test]
fn test_ownership_removal_records_former_owner() {
    let mut record = record_with_three_members();
    record.assign_unowned(&[1, 2], 0);
    let before = record.owned(1);
    record.remove_member(1, 77);
    record.assign_unowned(&[2, 3], 0);
    for (shard, epoch) in before {
        let slot = record.slot(shard);
        assert!(slot.epoch > epoch.0);
        assert_eq!(slot.former_owners[0].owner, 1);
    }
    assert!(record.member(1).is_none());
    record.forget_former_owners(78);
    assert!(record.shards.iter().all(|s| s.former_owners.is_empty()));
}

#[test]
fn test_roster_replaced_incarnation_is_gone() {
    let mut roster = Roster::default();
    let agent = |incarnation| RosterAgent {
        name: "w1".into(),
        incarnation,
        slots: 8,
        born_ms: incarnation,
    };
    let at = |ms| StartBounds {
        until_ms: ms,
        minted_ms: 0,
    };
    roster.enrol(agent(10), at(5));
    roster.enrol(agent(11), at(9));
    assert!(!roster.enrol(agent(10), at(10)));
    assert!(roster.lists(11) && !roster.lists(10));
    assert_eq!(roster.gone[0].until_ms, 9);
    roster.enrol(agent(11), at(12));
    assert_eq!(roster.gone.len(), 1);
    roster.forget(10);
    assert!(roster.gone.is_empty());
}

#[test]
fn test_roster_gone_agent_keeps_mint_time() {
    let mut roster = Roster::default();
    let agent = RosterAgent {
        name: "w1".into(),
        incarnation: 10,
        slots: 8,
        born_ms: 1,
    };
    let bounds = StartBounds {
        until_ms: 100,
        minted_ms: 700,
    };
    roster.enrol(agent, bounds);
    assert_eq!(roster.clear_ms(50), 0);
    roster.remove(10, bounds);
    assert_eq!(roster.clear_ms(50), 700);
    assert_eq!(roster.clear_ms(650), 750);
    roster.forget(700);
    assert_eq!(roster.gone.len(), 1, "ids of that time may still come");
    roster.forget(701);
    assert!(roster.gone.is_empty());
}
