use super::*;
use crate::dispatch::policy::Policy;

/// A fleet of entries and agents, by name.
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
fn test_partitions_a_fleet_that_is_not_large_is_not_divided() {
    assert_eq!(divided(3, 11).count(), 1);
    assert_eq!(divided(12, 75).count(), 1);
    assert_eq!(divided(55, 240).count(), 1);
}

#[test]
fn test_partitions_stay_as_large_as_they_are_when_the_fleet_doubles() {
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
fn test_partitions_leave_each_enough_schedulers() {
    assert_eq!(divided(3, 3_000).count(), 1, "three can't be divided");
    let least = Policy::default().partitions.schedulers as usize;
    for schedulers in 8..64 {
        let partitions = divided(schedulers, 3_000);
        let (names, _) = fleet(schedulers, 0);
        let sizes = partitions.sizes(&names);
        let enough = partitions.count() == 1 || sizes.iter().all(|n| *n >= least);
        assert!(enough, "{schedulers} schedulers: {sizes:?}");
    }
}

#[test]
fn test_partitions_of_jobs_are_of_one_size() {
    let partitions = Partitions::new(3).expect("few enough");
    let mut counts = vec![0; partitions.count()];
    for job in 0..8_000 {
        counts[partitions.of_job(JobNumber(job)).0 as usize] += 1;
    }
    let even = |count: &usize| (850..1150).contains(count);
    assert!(counts.iter().all(even), "{counts:?}");
}

#[test]
fn test_partitions_paths_stand_under_the_prefix_of_each_division() {
    for bits in 0..=MAX_BITS {
        let partitions = Partitions::new(bits).expect("few enough");
        for name in ["edge-1", "edge-2", "side-17"] {
            let path = path_of(name);
            for partition in partitions.all() {
                let within = path.starts_with(&partitions.prefix(partition));
                let same = partitions.of_name(name) == partition;
                assert_eq!(within, same, "{name} by {bits} bits in {partition}");
            }
        }
    }
}

#[test]
fn test_partitions_a_path_names_its_process_only() {
    assert_eq!(name_from_path(&path_of("edge-1")), Some("edge-1"));
    assert_eq!(name_from_path("edge-1"), None, "no hash");
    let strange = format!("{}/edge-2", digits(name_hash("edge-1"), MAX_BITS));
    assert_eq!(name_from_path(&strange), None, "the hash of another name");
}

#[test]
fn test_partitions_are_not_more_than_there_may_be() {
    assert_eq!(Partitions::new(MAX_BITS + 1), None);
}
