//! Workloads: arrivals, job sizes and service times drawn from a seed, and what an ideal system
//! would make of them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// What a workload is drawn from.
#[derive(Clone, Debug, Serialize)]
pub struct WorkloadPlan {
    /// The seed.
    pub seed: u64,
    /// Mean arrivals of tasks, a second.
    pub rate: f64,
    /// How long jobs arrive.
    pub seconds: f64,
    /// The mean number of tasks of a job.
    pub tasks: f64,
    /// The most tasks of a job.
    pub most: usize,
    /// The deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// The share of jobs that are sent again to another entry while they run.
    pub again: f64,
    /// Services, drawn evenly.
    pub services: Vec<String>,
}

impl WorkloadPlan {
    /// The brief's mix at a rate of tasks a second.
    pub fn standard(seed: u64, rate: f64, seconds: f64) -> WorkloadPlan {
        WorkloadPlan {
            seed,
            rate,
            seconds,
            tasks: 3.0,
            most: 12,
            deadline_ms: 20_000,
            again: 0.02,
            services: vec!["quote".into()],
        }
    }
}

/// One job to come.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// The time of each task, in milliseconds.
    pub times: Vec<u64>,
    /// The service.
    pub service: String,
    /// Whether it is sent twice.
    pub resubmit: bool,
}

impl Arrival {
    /// The time of its longest task: what it takes on an idle system, without the ways.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.times.iter().copied().max().unwrap_or(0))
    }
}

/// A task's time by the brief: most from 50 ms to a second, a few of several seconds.
fn task_ms(rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_bool(0.03) {
        return rng.random_range(1_000..5_000);
    }
    let log: f64 = rng.random_range(50.0_f64.ln()..1_000.0_f64.ln());
    log.exp() as u64
}

/// The mean time of a task of the brief's mix, in seconds, from a large sample.
pub fn mean_task_seconds() -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let count = 200_000;
    let sum: u64 = (0..count).map(|_| task_ms(&mut rng)).sum();
    sum as f64 / count as f64 / 1000.0
}

/// Draws the jobs of a plan, in order of arrival.
pub fn sample_arrivals(plan: &WorkloadPlan) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let gap: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -gap.ln() * plan.tasks / plan.rate;
        if at >= plan.seconds {
            return arrivals;
        }
        let mut count = 1;
        while count < plan.most && rng.random_bool(1.0 - 1.0 / plan.tasks) {
            count += 1;
        }
        let service = rng.random_range(0..plan.services.len());
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            times: (0..count).map(|_| task_ms(&mut rng)).collect(),
            service: plan.services[service].clone(),
            resubmit: rng.random_bool(plan.again),
        });
    }
}

/// The response of each job in an ideal single queue over `slots` slots, first come first served.
pub fn ideal_queue(arrivals: &[Arrival], slots: usize) -> Vec<Duration> {
    let mut free: BinaryHeap<Reverse<Duration>> =
        (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
    let mut responses = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let mut end = arrival.at;
        for ms in &arrival.times {
            let Some(Reverse(slot)) = free.pop() else {
                break;
            };
            let done = slot.max(arrival.at) + Duration::from_millis(*ms);
            end = end.max(done);
            free.push(Reverse(done));
        }
        responses.push(end - arrival.at);
    }
    responses
}

#[cfg(test)]
mod tests;
