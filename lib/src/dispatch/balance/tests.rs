use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Balancer;
use super::Candidate;

/// The size of a job, in thousandths of a core.
const JOB: u64 = 5_000;

fn balancer(own: u64, others: &[u64]) -> Balancer<usize> {
    let others = others.iter().enumerate();
    let others = others.map(|(key, waiting)| Candidate {
        key,
        waiting: *waiting,
    });
    Balancer::new(own, others.collect())
}

/// Hands off as many jobs as possible and returns how many each entry got.
fn hand_off_all(own: u64, others: &[u64], seed: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut balancer = balancer(own, others);
    let mut got = vec![0; others.len()];
    while let Some(key) = balancer.assign(JOB, &mut rng) {
        got[key] += 1;
    }
    got
}

#[test]
fn test_balance_down_to_mean() {
    let got = hand_off_all(100_000, &[0, 0, 0], 1);
    assert_eq!(got.iter().sum::<usize>(), 15, "a quarter stays: {got:?}");
    assert!(got.iter().all(|n| (2..=8).contains(n)), "{got:?}");
}

#[test]
fn test_balance_entries_above_mean() {
    let got = hand_off_all(100_000, &[100_000, 100_000, 0], 1);
    assert_eq!(got, [0, 0, 5]);
}

#[test]
fn test_balance_no_better_entry() {
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(balancer(JOB, &[1]).assign(JOB, &mut rng), None);
    assert_eq!(balancer(JOB, &[JOB, JOB]).assign(JOB, &mut rng), None);
    assert_eq!(balancer(JOB, &[]).assign(JOB, &mut rng), None);
    assert_eq!(balancer(0, &[0, 0]).assign(JOB, &mut rng), None);
}

#[test]
fn test_balance_is_overloaded() {
    assert!(!balancer(10_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(!balancer(11_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(balancer(20_000, &[10_000, 10_000]).is_overloaded(1.2));
    assert!(!balancer(0, &[]).is_overloaded(1.2));
}

/// Two overloaded entries of a busy zone hand off at the same time, by the same reports. They must not
/// overload a third entry together: nobody may end up near what the two had.
#[test]
fn test_balance_concurrent_handoff() {
    for seed in 0..20 {
        let before = [155_000u64, 155_000, 45_000, 45_000, 60_000, 60_000];
        let mut after = before;
        for own in [0, 1] {
            let others: Vec<u64> = (0..6).filter(|n| *n != own).map(|n| before[n]).collect();
            let got = hand_off_all(before[own], &others, seed * 2 + own as u64);
            let others = (0..6).filter(|n| *n != own);
            for (entry, jobs) in others.zip(got) {
                after[entry] += jobs as u64 * JOB;
                after[own] -= jobs as u64 * JOB;
            }
        }
        let most = *after.iter().max().expect("six");
        assert!(most < 130_000, "{after:?}");
        assert!(after[0] < 100_000 && after[1] < 100_000, "{after:?}");
    }
}
