//! Random workloads. Samples arrival times, job sizes and task durations from a seed, so that the same plan
//! gives the same jobs, and computes the response times of an ideal queue for comparison.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The parameters of a workload.
#[derive(Clone, Debug, Serialize)]
pub struct WorkloadPlan {
    /// The seed of the random numbers.
    pub seed: u64,
    /// Mean number of tasks that arrive per second.
    pub rate: f64,
    /// How long jobs arrive, in seconds.
    pub seconds: f64,
    /// Mean number of tasks of a job, before the limit `most` applies.
    pub tasks: f64,
    /// Maximum number of tasks of a job.
    pub most: usize,
    /// The deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// The fraction of jobs that are sent twice at the same time, to different entries.
    pub again: f64,
    /// The services of the jobs, with equal probability.
    pub services: Vec<String>,
}

impl WorkloadPlan {
    /// Returns the standard workload with a mean of `rate` tasks per second: jobs of about three tasks, 2 %
    /// of them sent twice.
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

/// A job to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The arrival time, from the start of the run.
    pub at: Duration,
    /// The duration of each task, in milliseconds.
    pub times: Vec<u64>,
    /// The name of the service.
    pub service: String,
    /// Whether the job is sent twice at the same time, to different entries.
    pub resubmit: bool,
}

impl Arrival {
    /// Returns the duration of the longest task, which is the response time on an idle system without network
    /// delays.
    pub fn longest_task(&self) -> Duration {
        Duration::from_millis(self.times.iter().copied().max().unwrap_or(0))
    }
}

/// Samples the duration of a task: log-uniform from 50 ms to 1 s, and for 3 % of tasks uniform from 1 s to 5
/// s.
fn sample_task_ms(rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_bool(0.03) {
        return rng.random_range(1_000..5_000);
    }
    let log: f64 = rng.random_range(50.0_f64.ln()..1_000.0_f64.ln());
    log.exp() as u64
}

/// Returns the mean duration of a task of the standard workload, in seconds, estimated from a large sample.
pub fn mean_task_seconds() -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let count = 200_000;
    let sum: u64 = (0..count).map(|_| sample_task_ms(&mut rng)).sum();
    sum as f64 / count as f64 / 1000.0
}

/// Samples the jobs of a plan, in order of arrival. Arrivals are a Poisson process; the number of tasks is
/// geometric, up to the limit.
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
            times: (0..count).map(|_| sample_task_ms(&mut rng)).collect(),
            service: plan.services[service].clone(),
            resubmit: rng.random_bool(plan.again),
        });
    }
}

/// Returns the response time of each job in a single FIFO queue for `slots` slots, without any delays.
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
