use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Balancer;
use super::Candidate;

/// Tasks of a job, in thousandths of a core.
const JOB: u64 = 5_000;

fn spread(own: u64, others: &[u64]) -> Balancer<usize> {
    let others = others.iter().enumerate();
    let others = others.map(|(key, waiting)| Candidate {
        key,
        waiting: *waiting,
    });
    Balancer::new(own, others.collect())
}

/// Hands on all that goes, and tells how many jobs each entry got.
fn hand_all(own: u64, others: &[u64], seed: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut spread = spread(own, others);
    let mut got = vec![0; others.len()];
    while let Some(key) = spread.assign(JOB, &mut rng) {
        got[key] += 1;
    }
    got
}

#[test]
fn test_balance_brings_the_entry_to_the_mean_and_no_further() {
    let got = hand_all(100_000, &[0, 0, 0], 1);
    assert_eq!(got.iter().sum::<usize>(), 15, "a quarter stays: {got:?}");
    assert!(got.iter().all(|n| (2..=8).contains(n)), "{got:?}");
}

#[test]
fn test_balance_hands_nothing_to_entries_above_the_mean() {
    let got = hand_all(100_000, &[100_000, 100_000, 0], 1);
    assert_eq!(got, [0, 0, 5]);
}

#[test]
fn test_balance_keeps_what_would_wait_longer_elsewhere() {
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(spread(JOB, &[1]).assign(JOB, &mut rng), None);
    assert_eq!(spread(JOB, &[JOB, JOB]).assign(JOB, &mut rng), None);
    assert_eq!(spread(JOB, &[]).assign(JOB, &mut rng), None);
    assert_eq!(spread(0, &[0, 0]).assign(JOB, &mut rng), None);
}

#[test]
fn test_balance_is_uneven_only_above_the_ratio() {
    assert!(!spread(10_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(!spread(11_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(spread(20_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(!spread(0, &[]).is_overloaded(1.2));
}

/// A zone with a swing of 0.55 beside two others, each of four small entries: two entries that take half as much again hand
/// on at the same time, by the same figures, and nobody ends up with what one of them had.
#[test]
fn test_balance_of_several_entries_at_once_brings_all_near_the_mean() {
    for seed in 0..20 {
        let before = [155_000u64, 155_000, 45_000, 45_000, 60_000, 60_000];
        let mut after = before;
        for own in [0, 1] {
            let others: Vec<u64> = (0..6).filter(|n| *n != own).map(|n| before[n]).collect();
            let got = hand_all(before[own], &others, seed * 2 + own as u64);
            let places = (0..6).filter(|n| *n != own);
            for (place, jobs) in places.zip(got) {
                after[place] += jobs as u64 * JOB;
                after[own] -= jobs as u64 * JOB;
            }
        }
        let most = *after.iter().max().expect("six");
        assert!(most < 130_000, "{after:?}");
        assert!(after[0] < 100_000 && after[1] < 100_000, "{after:?}");
    }
}
