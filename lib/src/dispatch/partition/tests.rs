use super::*;
use crate::dispatch::policy::Policy;

/// Returns the names of the schedulers and the executors of a fleet.
fn fleet(schedulers: usize, executors: usize) -> (Vec<String>, Vec<String>) {
    let name = |role: &'static str| move |i| format!("{role}-{i}");
    let schedulers = (0..schedulers).map(name("edge")).collect();
    let executors = (0..executors).map(name("side")).collect();
    (schedulers, executors)
}

fn divided(schedulers: usize, executors: usize) -> Partitions {
    let (schedulers, executors) = fleet(schedulers, executors);
    Partitions::for_fleet(&executors, &schedulers, &Policy::default().partitions)
}

#[test]
fn test_partitions_small_fleet() {
    assert_eq!(divided(3, 11).count(), 1);
    assert_eq!(divided(12, 75).count(), 1);
    assert_eq!(divided(55, 240).count(), 1);
}

#[test]
fn test_partitions_constant_size() {
    for scale in [1, 2, 4] {
        let (schedulers, executors) = fleet(184 * scale, 800 * scale);
        let partitions = divided(schedulers.len(), executors.len());
        assert_eq!(partitions.count(), 4 * scale);
        let largest = partitions.sizes(&executors).into_iter().max();
        assert!(largest <= Some(250), "{scale}: {largest:?} executors");
        let most = partitions.sizes(&schedulers).into_iter().max();
        assert!(most <= Some(70), "{scale}: {most:?} schedulers");
        let least = partitions.sizes(&schedulers).into_iter().min();
        assert!(least >= Some(25), "{scale}: {least:?} schedulers");
    }
}

#[test]
fn test_partitions_min_schedulers() {
    assert_eq!(
        divided(3, 3_000).count(),
        1,
        "three schedulers are too few for two partitions"
    );
    let least = Policy::default().partitions.schedulers as usize;
    for schedulers in 8..64 {
        let partitions = divided(schedulers, 3_000);
        let (names, _) = fleet(schedulers, 0);
        let sizes = partitions.sizes(&names);
        let is_enough = partitions.count() == 1 || sizes.iter().all(|n| *n >= least);
        assert!(is_enough, "{schedulers} schedulers: {sizes:?}");
    }
}

#[test]
fn test_partitions_even_jobs() {
    let partitions = Partitions::new(3).expect("valid number of bits");
    let mut counts = vec![0; partitions.count()];
    for job in 0..8_000 {
        counts[partitions.of_job(JobNumber(job)).0 as usize] += 1;
    }
    let is_even = |count: &usize| (850..1150).contains(count);
    assert!(counts.iter().all(is_even), "{counts:?}");
}

#[test]
fn test_partitions_path_prefix() {
    for bits in 0..=MAX_BITS {
        let partitions = Partitions::new(bits).expect("valid number of bits");
        for name in ["edge-1", "edge-2", "side-17"] {
            let path = path_of(name);
            for partition in partitions.all() {
                let within = path.starts_with(&partitions.prefix(partition));
                let same = partitions.of_name(name) == partition;
                assert_eq!(within, same, "{name} with {bits} bits in {partition}");
            }
        }
    }
}

#[test]
fn test_partitions_name_from_path() {
    assert_eq!(name_from_path(&path_of("edge-1")), Some("edge-1"));
    assert_eq!(name_from_path("edge-1"), None, "no hash");
    let foreign = format!("{}/edge-2", binary_digits(name_hash("edge-1"), MAX_BITS));
    assert_eq!(name_from_path(&foreign), None, "the hash of another name");
}

#[test]
fn test_partitions_max_bits() {
    assert_eq!(Partitions::new(MAX_BITS + 1), None);
}
