use super::CapacityRequest;
use super::LossBudget;
use super::PreemptibleRun;
use super::PreemptionLimits;
use super::preemptible;
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

fn on() -> Preemption {
    Preemption {
        on: true,
        waste_share: 0.1,
        ..Preemption::default()
    }
}

/// A run of a patient queue that began `age` ms ago and can be run anew for another 400 ms.
fn patient(key: u32, age: u64) -> PreemptibleRun<u32> {
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

const PLENTY: PreemptionLimits = PreemptionLimits {
    loss: 10_000.0,
    cpu_milli: 16_000,
};

fn chosen(
    cpu_milli: u32,
    runs: &[PreemptibleRun<u32>],
    bounds: PreemptionLimits,
) -> Option<Vec<u32>> {
    select_victims(NOW, &wanted(cpu_milli), runs, bounds, &on())
}

#[test]
fn test_preemption_stops_what_loses_least() {
    let runs = [patient(1, 300), patient(2, 100), patient(3, 200)];
    assert_eq!(chosen(1000, &runs, PLENTY), Some(vec![2]));
    assert_eq!(chosen(1500, &runs, PLENTY), Some(vec![2, 3]));
    assert_eq!(chosen(0, &runs, PLENTY), Some(vec![]), "room is coming");
}

#[test]
fn test_preemption_prefers_a_run_that_saves_its_progress() {
    let saving = PreemptibleRun {
        saves: true,
        ..patient(1, 800)
    };
    assert_eq!(
        chosen(1000, &[patient(2, 100), saving], PLENTY),
        Some(vec![1])
    );
}

#[test]
fn test_preemption_leaves_out_a_small_run_that_is_not_needed() {
    let small = PreemptibleRun {
        demand: cpu(200),
        ..patient(1, 10)
    };
    assert_eq!(
        chosen(1000, &[small, patient(2, 300)], PLENTY),
        Some(vec![2])
    );
}

#[test]
fn test_preemption_spares_runs_that_must_not_be_stopped() {
    let equal = PreemptibleRun {
        priority: 0,
        ..patient(1, 10)
    };
    let spent = PreemptibleRun {
        stops: 0,
        ..patient(2, 10)
    };
    let late = PreemptibleRun {
        latest: NOW + ms(20),
        ..patient(3, 10)
    };
    let ending = PreemptibleRun {
        progress: 0.97,
        ..patient(4, 10)
    };
    for run in [equal, spent, late, ending] {
        assert_eq!(chosen(1000, &[run], PLENTY), None, "{run:?}");
        assert_eq!(preemptible(NOW, 0, &[run], PLENTY, &on()), 0, "{run:?}");
    }
    assert_eq!(preemptible(NOW, 0, &[patient(5, 10)], PLENTY, &on()), 1000);
}

#[test]
fn test_preemption_stops_nothing_in_vain() {
    let runs = [patient(1, 100), patient(2, 100)];
    assert_eq!(chosen(2500, &runs, PLENTY), None, "they do not suffice");
    let late = CapacityRequest {
        latest: NOW + ms(40),
        ..wanted(1000)
    };
    assert_eq!(
        select_victims(NOW, &late, &runs, PLENTY, &on()),
        None,
        "too late for it"
    );
    let off = Preemption::default();
    assert_eq!(
        select_victims(NOW, &wanted(1000), &runs, PLENTY, &off),
        None
    );
}

#[test]
fn test_preemption_is_bounded_by_loss_and_by_room() {
    let runs = [patient(1, 100), patient(2, 100)];
    // Each loses 150 thousandths of a core-second, the time of its stop counted in.
    let loss = PreemptionLimits {
        loss: 200.0,
        ..PLENTY
    };
    assert_eq!(chosen(2000, &runs, loss), None);
    assert_eq!(preemptible(NOW, 0, &runs, loss, &on()), 1000);
    let room = PreemptionLimits {
        cpu_milli: 1000,
        ..PLENTY
    };
    assert_eq!(chosen(2000, &runs, room), None);
    assert_eq!(preemptible(NOW, 0, &runs, room, &on()), 1000);
}

#[test]
fn test_preemption_budget_fills_by_a_share_of_the_room() {
    let mut budget = LossBudget::default();
    assert_eq!(budget.left(NOW, 10_000, &on()), 1000.0);
    budget.spend(NOW, 10_000, 900.0, &on());
    assert_eq!(budget.left(NOW, 10_000, &on()), 100.0);
    assert_eq!(budget.left(NOW + ms(500), 10_000, &on()), 600.0);
    assert_eq!(budget.left(NOW + ms(5000), 10_000, &on()), 1000.0);
}

/// A worker of 16 runs is full of patient ones that began at different times; for a second an urgent task of the same
/// size comes each 10 ms and runs for 60 ms.
#[test]
fn test_preemption_of_a_burst_throws_away_no_more_than_its_share() {
    let capacity = 16_000;
    let policy = on();
    let mut runs: Vec<PreemptibleRun<u32>> =
        (0..16).map(|n| patient(n, u64::from(n) * 20)).collect();
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
        let bounds = PreemptionLimits {
            loss: budget.left(now, capacity, &policy),
            cpu_milli: capacity / 2 - clearing.len() as u32 * 1000,
        };
        let Some(chosen) = select_victims(now, &urgent, &runs, bounds, &policy) else {
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
    assert!(placed >= 8, "{placed} urgent tasks have found room");
    assert!(
        lost <= 2.0 * share,
        "{lost} of {share} a second, after a full budget"
    );
    assert!(runs.len() >= 4, "{} patient runs are left", runs.len());
}
