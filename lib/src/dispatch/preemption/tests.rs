use super::CapacityRequest;
use super::LossBudget;
use super::PreemptibleRun;
use super::PreemptionLimits;
use super::preemptible_cpu;
use super::select_victims;
use crate::dispatch::model::Demand;
use crate::dispatch::policy::Preemption;
use crate::prelude::*;

const NOW: Mono = Mono(1_000_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cpu(cpu_milli: u32) -> Demand {
    Demand {
        cpu_milli,
        ..Demand::default()
    }
}

fn enabled() -> Preemption {
    Preemption {
        on: true,
        waste_share: 0.1,
        ..Preemption::default()
    }
}

/// Returns a run of a less urgent queue that began `age` ms ago and can be restarted for another 400 ms.
fn less_urgent(key: u32, age: u64) -> PreemptibleRun<u32> {
    PreemptibleRun {
        key,
        priority: 2,
        demand: cpu(1000),
        age: ms(age),
        expected: ms(900),
        progress: 0.1,
        stops: 1,
        saves: false,
        latest: NOW + ms(400),
    }
}

fn wanted(cpu_milli: u32) -> CapacityRequest {
    CapacityRequest {
        priority: 0,
        missing: cpu(cpu_milli),
        latest: NOW + ms(80),
    }
}

const AMPLE_LIMITS: PreemptionLimits = PreemptionLimits {
    loss: 10_000.0,
    cpu_milli: 16_000,
};

fn chosen(
    cpu_milli: u32,
    runs: &[PreemptibleRun<u32>],
    limits: PreemptionLimits,
) -> Option<Vec<u32>> {
    select_victims(NOW, &wanted(cpu_milli), runs, limits, &enabled())
}

#[test]
fn test_preemption_least_loss() {
    let runs = [
        less_urgent(1, 300),
        less_urgent(2, 100),
        less_urgent(3, 200),
    ];
    assert_eq!(chosen(1000, &runs, AMPLE_LIMITS), Some(vec![2]));
    assert_eq!(chosen(1500, &runs, AMPLE_LIMITS), Some(vec![2, 3]));
    assert_eq!(
        chosen(0, &runs, AMPLE_LIMITS),
        Some(vec![]),
        "no room is missing"
    );
}

#[test]
fn test_preemption_saved_progress() {
    let saving = PreemptibleRun {
        saves: true,
        ..less_urgent(1, 800)
    };
    assert_eq!(
        chosen(1000, &[less_urgent(2, 100), saving], AMPLE_LIMITS),
        Some(vec![1])
    );
}

#[test]
fn test_preemption_unneeded_run() {
    let small = PreemptibleRun {
        demand: cpu(200),
        ..less_urgent(1, 10)
    };
    assert_eq!(
        chosen(1000, &[small, less_urgent(2, 300)], AMPLE_LIMITS),
        Some(vec![2])
    );
}

#[test]
fn test_preemption_excluded_runs() {
    let equal = PreemptibleRun {
        priority: 0,
        ..less_urgent(1, 10)
    };
    let spent = PreemptibleRun {
        stops: 0,
        ..less_urgent(2, 10)
    };
    let late = PreemptibleRun {
        latest: NOW + ms(20),
        ..less_urgent(3, 10)
    };
    let ending = PreemptibleRun {
        progress: 0.97,
        ..less_urgent(4, 10)
    };
    for run in [equal, spent, late, ending] {
        assert_eq!(chosen(1000, &[run], AMPLE_LIMITS), None, "{run:?}");
        assert_eq!(
            preemptible_cpu(NOW, 0, &[run], AMPLE_LIMITS, &enabled()),
            0,
            "{run:?}"
        );
    }
    assert_eq!(
        preemptible_cpu(NOW, 0, &[less_urgent(5, 10)], AMPLE_LIMITS, &enabled()),
        1000
    );
}

#[test]
fn test_preemption_without_gain() {
    let runs = [less_urgent(1, 100), less_urgent(2, 100)];
    assert_eq!(
        chosen(2500, &runs, AMPLE_LIMITS),
        None,
        "they do not suffice"
    );
    let late = CapacityRequest {
        latest: NOW + ms(40),
        ..wanted(1000)
    };
    assert_eq!(
        select_victims(NOW, &late, &runs, AMPLE_LIMITS, &enabled()),
        None,
        "too late for it"
    );
    let off = Preemption::default();
    assert_eq!(
        select_victims(NOW, &wanted(1000), &runs, AMPLE_LIMITS, &off),
        None
    );
}

#[test]
fn test_preemption_limits() {
    let runs = [less_urgent(1, 100), less_urgent(2, 100)];
    // Each loses 150 thousandths of a core-second, including the time of its stop.
    let loss = PreemptionLimits {
        loss: 200.0,
        ..AMPLE_LIMITS
    };
    assert_eq!(chosen(2000, &runs, loss), None);
    assert_eq!(preemptible_cpu(NOW, 0, &runs, loss, &enabled()), 1000);
    let room = PreemptionLimits {
        cpu_milli: 1000,
        ..AMPLE_LIMITS
    };
    assert_eq!(chosen(2000, &runs, room), None);
    assert_eq!(preemptible_cpu(NOW, 0, &runs, room, &enabled()), 1000);
}

#[test]
fn test_preemption_budget_refill() {
    let mut budget = LossBudget::default();
    assert_eq!(budget.left(NOW, 10_000, &enabled()), 1000.0);
    budget.spend(NOW, 10_000, 900.0, &enabled());
    assert_eq!(budget.left(NOW, 10_000, &enabled()), 100.0);
    assert_eq!(budget.left(NOW + ms(500), 10_000, &enabled()), 600.0);
    assert_eq!(budget.left(NOW + ms(5000), 10_000, &enabled()), 1000.0);
}

/// A worker is full of 16 less urgent runs that began at different times. For a second an urgent task of the
/// same size arrives every 10 ms. The work lost to it must stay within the budget.
#[test]
fn test_preemption_burst() {
    let capacity = 16_000;
    let policy = enabled();
    let mut runs: Vec<PreemptibleRun<u32>> =
        (0..16).map(|n| less_urgent(n, u64::from(n) * 20)).collect();
    let (mut budget, mut lost, mut placed) = (LossBudget::default(), 0.0, 0);
    let mut clearing: Vec<Mono> = Vec::new();
    for step in 0..100 {
        let now = NOW + ms(step * 10);
        clearing.retain(|until| *until > now);
        for run in &mut runs {
            run.age += ms(10);
        }
        let urgent = CapacityRequest {
            latest: now + ms(80),
            ..wanted(1000)
        };
        let limits = PreemptionLimits {
            loss: budget.left(now, capacity, &policy),
            cpu_milli: capacity / 2 - clearing.len() as u32 * 1000,
        };
        let Some(chosen) = select_victims(now, &urgent, &runs, limits, &policy) else {
            continue;
        };
        let stopped = runs.iter().filter(|run| chosen.contains(&run.key));
        let loss: f64 = stopped.map(|run| run.loss(&policy)).sum();
        budget.spend(now, capacity, loss, &policy);
        runs.retain(|run| !chosen.contains(&run.key));
        clearing.push(now + policy.stop_time);
        lost += loss;
        placed += 1;
    }
    let share = policy.waste_share * f64::from(capacity);
    assert!(placed >= 8, "{placed} urgent tasks found room");
    assert!(
        lost <= 2.0 * share,
        "{lost} of {share} a second, after a full budget"
    );
    assert!(runs.len() >= 4, "{} less urgent runs are left", runs.len());
}
