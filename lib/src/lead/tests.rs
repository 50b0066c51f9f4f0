//! Tests of `lead`.

use super::*;

const MOST: Duration = Duration::from_secs(900);
const MINUTES_MS: u64 = 600_000;

/// The present `at_ms` after the start, on a box whose clock is `step_ms` ahead.
fn at(at_ms: u64, step_ms: i64) -> Now {
    let mut now = Now::steady(Mono(at_ms * 1_000), 1_000_000_000 + at_ms);
    now.box_ms = now.wall_ms.saturating_add_signed(step_ms);
    now
}

#[test]
fn test_lead_of_a_lone_entry_follows_its_clock_at_once() {
    let mut leads = Leads::new(MOST);
    assert!(!leads.observe(at(0, 0), &[]));
    assert_eq!(leads.in_force_ms(&[]), 0);
    assert!(leads.observe(at(10, MINUTES_MS as i64), &[]));
    assert_eq!(leads.in_force_ms(&[]), MINUTES_MS);
}

#[test]
fn test_lead_is_in_force_once_every_member_has_noted_it() {
    let mut leads = Leads::new(MOST);
    leads.handle_peer_lead(at(0, 0), 1, 0, 0, 0);
    leads.observe(at(10, 10_000), &[1, 2]);
    assert_eq!(leads.lead_ms(), 10_000);
    assert!(leads.is_awaiting_peers(at(10, 10_000)));
    leads.handle_peer_lead(at(11, 10_000), 1, 0, 10_000, 10_000);
    assert_eq!(leads.in_force_ms(&[1]), 10_000);
    assert_eq!(leads.in_force_ms(&[1, 2]), 0, "one member has not");
    leads.observe(at(1_011, 10_000), &[1, 2]);
    assert!(
        !leads.is_awaiting_peers(at(1_011, 10_000)),
        "nobody waits on"
    );
    leads.handle_peer_lead(at(1_012, 10_000), 2, 0, 10_000, 10_000);
    assert_eq!(leads.in_force_ms(&[1, 2]), 10_000);
}

#[test]
fn test_lead_of_a_peer_is_taken_on_and_told_that_it_is_noted() {
    let mut leads = Leads::new(MOST);
    assert!(leads.handle_peer_lead(at(0, 0), 1, 30_000, 30_000, 0));
    assert_eq!(leads.noted_ms(1), 30_000);
    assert!(leads.observe(at(0, 0), &[1]), "callers may come here, too");
    assert_eq!(leads.in_force_ms(&[1]), 0);
    assert!(!leads.handle_peer_lead(at(1, 0), 1, 30_000, 30_000, 30_000));
    assert_eq!(leads.in_force_ms(&[1]), 30_000);
}

#[test]
fn test_lead_reaches_as_far_as_ids_that_were_taken_before_it_was_lowered() {
    let mut leads = Leads::new(MOST);
    leads.observe(at(0, MINUTES_MS as i64), &[]);
    let later = 1_000_000;
    leads.observe(at(1_000, 0), &[]);
    assert_eq!(leads.lead_ms(), MINUTES_MS, "it may be needed again soon");
    leads.observe(at(later, 0), &[]);
    assert_eq!(leads.lead_ms(), 0);
    let latest_id_ms = leads.latest_id_ms(at(later + 1_000, 0));
    assert_eq!(latest_id_ms, at(later, 0).wall_ms + MINUTES_MS);
}

#[test]
fn test_lead_of_a_peer_counts_after_the_peer_is_gone() {
    let mut leads = Leads::new(MOST);
    leads.handle_peer_lead(at(0, 0), 1, 30_000, 30_000, 0);
    leads.forget(at(60_000, 0));
    assert_eq!(
        leads.latest_id_ms(at(60_000, 0)),
        at(60_000, 0).wall_ms + 30_000
    );
    leads.forget(at(1_800_000, 0));
    assert_eq!(leads.noted_ms(1), 0);
    assert_eq!(
        leads.latest_id_ms(at(1_810_000, 0)),
        at(1_800_000, 0).wall_ms + 30_000
    );
}

#[test]
fn test_lead_that_nobody_told_counts_as_the_longest() {
    let leads = Leads::new(MOST);
    assert_eq!(leads.max_latest_id_ms(at(0, 0)), at(0, 0).wall_ms + 900_000);
}

#[test]
fn test_lead_does_not_follow_a_clock_beyond_the_horizon() {
    let mut leads = Leads::new(MOST);
    assert!(leads.observe(at(0, 3_600_000), &[]));
    assert_eq!(leads.lead_ms(), 900_000);
}
