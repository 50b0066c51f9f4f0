//! Tests of `workload`.

use super::*;

#[test]
fn test_ideal_queue_busy_slots() {
    let arrival = |at, times: &[u64]| Arrival {
        at: Duration::from_millis(at),
        times: times.to_vec(),
        service: String::new(),
        resubmit: false,
    };
    let jobs = [arrival(0, &[100, 50]), arrival(10, &[20])];
    let responses = ideal_queue(&jobs, 2);
    assert_eq!(responses[0], Duration::from_millis(100));
    assert_eq!(responses[1], Duration::from_millis(60));
}

#[test]
fn test_sample_arrivals_same_seed() {
    let plan = WorkloadPlan::standard(3, 100.0, 20.0);
    let (one, two) = (sample_arrivals(&plan), sample_arrivals(&plan));
    assert_eq!(one.len(), two.len());
    let tasks: usize = one.iter().map(|a| a.times.len()).sum();
    let rate = tasks as f64 / plan.seconds;
    assert!((70.0..130.0).contains(&rate), "{rate}");
}
