//! Tests of the decisions about jobs that compete for room.

use super::admission::AdmissionDecision;
use super::admission::decide_admission;
use super::backlog::Backlog;
use super::backlog::PeerBacklogs;
use super::backlog::Waiting;
use super::release::Forecast;
use super::release::ReleaseRate;
use super::retry::RetrySchedule;
use super::round::PendingJob;
use super::round::Round;
use super::round::RoundDecision;
use super::shares::Shares;
use crate::dispatch::policy::Contention;
use crate::prelude::*;

const MAX_AGE: Duration = Duration::from_millis(350);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Mono {
    Mono::default() + ms(n)
}

fn waiting(cpu_milli: u64) -> Waiting {
    Waiting {
        cpu_milli,
        work_milli: cpu_milli / 10,
        oldest: ms(10),
    }
}

fn backlog(rows: &[(u32, u64)]) -> Backlog {
    let mut backlog = Backlog::default();
    for (priority, cpu) in rows {
        backlog.add(*priority, waiting(*cpu));
    }
    backlog
}

#[test]
fn test_backlog_merged_priorities() {
    let rows: Vec<(u32, u64)> = (0..20).map(|priority| (priority, 100)).collect();
    let all = backlog(&rows);
    let reported = all.proto();
    assert_eq!(reported.len(), 8);
    let read = Backlog::from_proto(&reported);
    assert_eq!(read.cpu_milli(), all.cpu_milli());
    assert_eq!(read.up_to(6), 700);
    assert_eq!(
        read.up_to(18),
        700,
        "merged work counts with the least urgent priority"
    );
}

#[test]
fn test_peer_backlogs_stale_report() {
    let mut peers = PeerBacklogs::default();
    peers.record(at(0), "a", backlog(&[(0, 1000), (2, 500)]));
    assert_eq!(peers.estimate_at(at(100), MAX_AGE, 0.0).before(2), 1000);
    assert!(
        peers.estimate_at(at(2000), MAX_AGE, 0.0).is_empty(),
        "two seconds old"
    );
}

#[test]
fn test_peer_backlogs_lost_link() {
    let mut peers = PeerBacklogs::default();
    peers.record(at(0), "a", backlog(&[(0, 1000)]));
    peers.record(at(0), "b", backlog(&[(0, 70)]));
    peers.forget("a");
    assert_eq!(peers.estimate_at(at(10), MAX_AGE, 0.0).up_to(0), 70);
}

#[test]
fn test_peer_backlogs_freed_room() {
    let mut peers = PeerBacklogs::default();
    peers.record(at(0), "a", backlog(&[(0, 1000), (2, 500)]));
    let left = peers.estimate_at(at(100), MAX_AGE, 12_000.0);
    assert_eq!(left.up_to(0), 0);
    assert_eq!(left.up_to(2), 300);
}

fn release_rate() -> ReleaseRate {
    let mut release = ReleaseRate::default();
    for _ in 0..100 {
        release.record(2000, ms(200));
    }
    release
}

#[test]
fn test_release_rate() {
    let rate = release_rate().rate(100_000).expect("enough runs");
    assert!((rate - 500_000.0).abs() < 1.0, "{rate}");
    let mut few = ReleaseRate::default();
    few.record(2000, ms(200));
    assert_eq!(few.rate(100_000), None);
}

fn forecast(own: u64, peers: u64, free: u64) -> Forecast {
    Forecast {
        own,
        peers,
        need: 10_000,
        free,
        rate: 500_000.0,
    }
}

#[test]
fn test_decide_admission_margin() {
    let policy = Contention::default();
    let slack = ms(80);
    let behind = forecast(50_000, 100_000, 0);
    assert_eq!(
        decide_admission(&behind, slack, &policy),
        AdmissionDecision::Refuse
    );
    let close = forecast(20_000, 30_000, 0);
    assert!(close.wait() > slack);
    assert_eq!(
        decide_admission(&close, slack, &policy),
        AdmissionDecision::Wait
    );
}

#[test]
fn test_decide_admission_free_room() {
    let policy = Contention::default();
    let room = forecast(1_000_000, 1_000_000, 10_000);
    assert_eq!(
        decide_admission(&room, ms(0), &policy),
        AdmissionDecision::Admit
    );
}

fn pending(class: u8, min_cpu: u64, yields_until: u64) -> PendingJob {
    PendingJob {
        class,
        underserved: false,
        min_cpu,
        total_cpu: min_cpu,
        yields_until: at(yields_until),
    }
}

#[test]
fn test_round_overtaking() {
    let mut round = Round::new(at(0), 10_000, 4);
    round.record_miss(&pending(3, 20_000, 40));
    assert_eq!(round.decide(&pending(3, 2000, 40), 0), RoundDecision::Try);
    assert_eq!(round.decide(&pending(4, 2000, 40), 0), RoundDecision::Yield);
}

#[test]
fn test_round_overtaking_expired() {
    let mut round = Round::new(at(50), 10_000, 4);
    round.record_miss(&pending(3, 20_000, 40));
    assert_eq!(round.decide(&pending(3, 2000, 90), 0), RoundDecision::Yield);
}

#[test]
fn test_round_urgent_work_at_peers() {
    let round = Round::new(at(0), 10_000, 4);
    assert_eq!(
        round.decide(&pending(4, 2000, 40), 9000),
        RoundDecision::Yield
    );
    assert_eq!(
        round.decide(&pending(4, 2000, 40), 8000),
        RoundDecision::Try
    );
    let underserved = PendingJob {
        underserved: true,
        ..pending(1, 2000, 40)
    };
    assert_eq!(round.decide(&underserved, 9000), RoundDecision::Try);
}

#[test]
fn test_round_partial_placement() {
    let mut round = Round::new(at(0), 10_000, 4);
    let part = PendingJob {
        total_cpu: 11_000,
        ..pending(3, 8000, 40)
    };
    assert_eq!(round.decide(&part, 0), RoundDecision::Try);
    round.record_miss(&pending(3, 20_000, 40));
    assert_eq!(round.decide(&part, 0), RoundDecision::Yield);
    round.record_partial();
    assert!(round.is_over(), "no second job is placed in part");
}

#[test]
fn test_round_max_misses() {
    let mut round = Round::new(at(0), 10_000, 2);
    round.record_miss(&pending(3, 20_000, 40));
    assert!(!round.is_over());
    round.record_miss(&pending(3, 20_000, 40));
    assert!(round.is_over());
}

/// Records jobs of two priorities: all of the more urgent ones are served, and one in `served_of` of the less
/// urgent.
fn shares(served_of: u32) -> Shares {
    let policy = Contention::default();
    let mut shares = Shares::default();
    for n in 0..60 {
        let now = at(u64::from(n));
        shares.record(now, 0, 5000, true, &policy);
        shares.record(now, 2, 5000, n % served_of == 0, &policy);
    }
    shares
}

#[test]
fn test_shares_underserved_kind() {
    let policy = Contention::default();
    let observed = shares(3);
    let less_urgent = observed.kind(2, 5000);
    assert!(observed.is_underserved(less_urgent, &policy));
    assert!(!observed.is_underserved(observed.kind(0, 5000), &policy));
    assert!(!shares(1).is_underserved(less_urgent, &policy));
}

#[test]
fn test_shares_large_jobs() {
    let policy = Contention::default();
    let mut shares = Shares::default();
    for n in 0..2000u64 {
        let cpu = 1000 * (1 + n * 7 % 20);
        shares.record(at(n), 1, cpu, true, &policy);
    }
    assert!(shares.kind(1, 20_000).large);
    assert!(!shares.kind(1, 12_000).large);
}

#[test]
fn test_shares_decay() {
    let policy = Contention::default();
    let mut shares = shares(60);
    let less_urgent = shares.kind(2, 5000);
    assert!(shares.is_underserved(less_urgent, &policy));
    shares.record(at(60_000), 0, 5000, true, &policy);
    assert!(!shares.is_underserved(less_urgent, &policy));
}

#[test]
fn test_retry_schedule_spacing() {
    let policy = Contention::default();
    let mut schedule = RetrySchedule::default();
    let mut delay = |wait| schedule.schedule_retry(at(0), ms(wait), ms(100), ms(400), &policy);
    assert_eq!(delay(0), ms(400));
    assert_eq!(delay(0), ms(500), "the first refused caller retries first");
    assert_eq!(
        delay(900),
        ms(900),
        "not before the waiting work has had its room"
    );
    let last = (0..100).map(|_| delay(0)).last();
    assert_eq!(last, Some(policy.return_most));
}
