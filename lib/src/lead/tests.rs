//! Tests of when a lead comes into force and how long it counts.

use super::*;

const MAX_LEAD: Duration = Duration::from_secs(900);
const MINUTES_MS: u64 = 600_000;

/// Returns the time `at_ms` after the start, on a box whose clock is `step_ms` ahead.
fn at(at_ms: u64, step_ms: i64) -> Now {
    let mut now = Now::steady(Mono(at_ms * 1_000), 1_000_000_000 + at_ms);
    now.box_ms = now.wall_ms.saturating_add_signed(step_ms);
    now
}

#[test]
fn test_lead_single_entry() {
    let mut leads = Leads::new(MAX_LEAD);
    assert!(!leads.observe(at(0, 0), &[]));
    assert_eq!(leads.in_force_ms(&[]), 0);
    assert!(leads.observe(at(10, MINUTES_MS as i64), &[]));
    assert_eq!(leads.in_force_ms(&[]), MINUTES_MS);
}

#[test]
fn test_lead_in_force_after_all_noted() {
    let mut leads = Leads::new(MAX_LEAD);
    leads.handle_peer_lead(at(0, 0), 1, 0, 0, 0);
    leads.observe(at(10, 10_000), &[1, 2]);
    assert_eq!(leads.lead_ms(), 10_000);
    assert!(leads.is_awaiting_peers(at(10, 10_000)));
    leads.handle_peer_lead(at(11, 10_000), 1, 0, 10_000, 10_000);
    assert_eq!(leads.in_force_ms(&[1]), 10_000);
    assert_eq!(
        leads.in_force_ms(&[1, 2]),
        0,
        "member 2 has not noted the lead"
    );
    leads.observe(at(1_011, 10_000), &[1, 2]);
    assert!(
        !leads.is_awaiting_peers(at(1_011, 10_000)),
        "the wait for peers has timed out"
    );
    leads.handle_peer_lead(at(1_012, 10_000), 2, 0, 10_000, 10_000);
    assert_eq!(leads.in_force_ms(&[1, 2]), 10_000);
}

#[test]
fn test_lead_of_peer_adopted() {
    let mut leads = Leads::new(MAX_LEAD);
    assert!(leads.handle_peer_lead(at(0, 0), 1, 30_000, 30_000, 0));
    assert_eq!(leads.noted_ms(1), 30_000);
    assert!(
        leads.observe(at(0, 0), &[1]),
        "the same callers may send to this entry"
    );
    assert_eq!(leads.in_force_ms(&[1]), 0);
    assert!(!leads.handle_peer_lead(at(1, 0), 1, 30_000, 30_000, 30_000));
    assert_eq!(leads.in_force_ms(&[1]), 30_000);
}

#[test]
fn test_lead_lowered_keeps_latest_id() {
    let mut leads = Leads::new(MAX_LEAD);
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
fn test_lead_of_gone_peer_still_counts() {
    let mut leads = Leads::new(MAX_LEAD);
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
fn test_lead_unknown_counts_as_maximum() {
    let leads = Leads::new(MAX_LEAD);
    assert_eq!(leads.max_latest_id_ms(at(0, 0)), at(0, 0).wall_ms + 900_000);
}

#[test]
fn test_lead_limited_to_maximum() {
    let mut leads = Leads::new(MAX_LEAD);
    assert!(leads.observe(at(0, 3_600_000), &[]));
    assert_eq!(leads.lead_ms(), 900_000);
}
