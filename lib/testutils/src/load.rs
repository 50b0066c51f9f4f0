//! Load generator. Sends a workload to entries, checks each answer against its request and against the logs
//! of the backend servers, and reports outcomes and percentiles.
//!
//! The load is open-loop: each job is sent at its sampled arrival time whether or not earlier jobs have been
//! answered, and its response time counts from that time. A slow system therefore cannot reduce the load or
//! hide waiting time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Serialize;
use stackcourse_lib::job_id::JobId;

use crate::cluster::Reply;
use crate::cluster::job_body;
use crate::cluster::new_job_id;
use crate::cluster::put_job_with;
use crate::cluster::stub_answers;
use crate::stub_backend::StartLine;
use crate::stub_server::sleep_until;
use crate::workload::Arrival;
use crate::workload::ideal_queue;

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The HTTP addresses of the entries; jobs are sent to them round robin, as by a load balancer.
    pub entries: Vec<SocketAddr>,
    /// The jobs, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// The deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// One-way delay between callers and entries.
    pub client_delay: Duration,
    /// Whether callers retry after the delay that a reply asks for, until their deadline.
    pub retry: bool,
}

/// A job as sent by one caller, with its final reply.
#[derive(Clone, Debug)]
struct Call {
    job: JobId,
    /// The index of the job among the arrivals.
    index: usize,
    /// False for the second copy of a job that is sent twice.
    is_first: bool,
    /// Time from the arrival to the final reply.
    response_time: Duration,
    /// When the final reply came, from the start of the load.
    ended_at: Duration,
    /// `None` if the connection broke or the request timed out.
    reply: Option<Reply>,
    /// Number of requests sent, retries included.
    requests: u32,
}

/// The results of a load. All but `violations` leave out the second copies of jobs that were sent twice.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Number of jobs sent.
    pub jobs: usize,
    /// Number of tasks sent.
    pub tasks: usize,
    /// Number of jobs by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of rejected jobs by problem type.
    pub refusals: BTreeMap<String, usize>,
    /// Slowdown of complete jobs: the response time divided by that on an idle system.
    pub slowdown: Percentiles,
    /// Slowdown of all jobs in an ideal single queue with the same arrivals.
    pub ideal: Percentiles,
    /// Response time of complete jobs, in milliseconds.
    pub response_ms: Percentiles,
    /// Response time of `not_run` jobs without the delay between callers and entries, in milliseconds.
    pub refusal_ms: Percentiles,
    /// Total task duration of complete jobs, divided by that of all jobs.
    pub goodput: f64,
    /// Average number of slots busy with complete jobs: the total task duration of the jobs that were
    /// completed before the last arrival, divided by the time of that arrival.
    pub busy_slots: f64,
    /// Mean number of requests for each job, retries included.
    pub requests: f64,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Percentiles of a distribution.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// Runs a load and returns its results. `round_trip` is the network delay of a job on an idle system, which
/// the ideal response time includes; `slots` is the number of slots of all permitted workers.
pub async fn run(plan: &LoadPlan, slots: usize, round_trip: Duration) -> (LoadReport, LoadLog) {
    let begun = Instant::now();
    let client = awc::Client::builder()
        .connector(
            awc::Connector::new()
                .limit(0)
                .conn_keep_alive(Duration::from_secs(30)),
        )
        .finish();
    let mut tasks = Vec::new();
    for (index, arrival) in plan.arrivals.iter().enumerate() {
        sleep_until(begun + arrival.at).await;
        let job = new_job_id();
        let copies = if arrival.resubmit { 2 } else { 1 };
        for copy in 0..copies {
            let entry = plan.entries[(index + copy) % plan.entries.len()];
            let call = send(plan, &client, entry, arrival, job, begun);
            let call = async move {
                let (response_time, reply, requests) = call.await;
                Call {
                    job,
                    index,
                    is_first: copy == 0,
                    response_time,
                    ended_at: begun.elapsed(),
                    reply,
                    requests,
                }
            };
            tasks.push(actix_rt::spawn(call));
        }
    }
    let mut calls = Vec::new();
    for task in tasks {
        if let Ok(call) = task.await {
            calls.push(call);
        }
    }
    let report = build_report(plan, &calls, slots, round_trip);
    (report, LoadLog { calls })
}

/// The calls of a load, for checks against the logs of the backend servers and for results of parts of the
/// run.
pub struct LoadLog {
    calls: Vec<Call>,
}

/// Sends a job until it has a final reply. Returns its response time, the reply and the number of requests.
fn send(
    plan: &LoadPlan,
    client: &awc::Client,
    entry: SocketAddr,
    arrival: &Arrival,
    job: JobId,
    begun: Instant,
) -> impl Future<Output = (Duration, Option<Reply>, u32)> + 'static {
    let body = job_body(&arrival.times, plan.deadline_ms);
    let service = arrival.service.clone();
    let delay = plan.client_delay;
    let due = begun + arrival.at;
    let client = client.clone();
    let retry = plan.retry;
    let deadline = due + Duration::from_millis(plan.deadline_ms);
    async move {
        let mut requests = 0;
        loop {
            requests += 1;
            sleep_until(Instant::now() + delay).await;
            let reply = put_job_with(&client, entry, &service, job, &body).await;
            sleep_until(Instant::now() + delay).await;
            let retry_after = reply
                .as_ref()
                .and_then(|r| r.body["retry_after_ms"].as_u64());
            let retry_at = Instant::now() + Duration::from_millis(retry_after.unwrap_or(0));
            if !retry || retry_after.is_none() || retry_at >= deadline {
                return (due.elapsed(), reply, requests);
            }
            sleep_until(retry_at).await;
        }
    }
}

fn percentiles(values: impl Iterator<Item = f64>) -> Percentiles {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits");
    for value in values {
        let _ = histogram.record((value * 1000.0) as u64);
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    Percentiles {
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
    }
}

fn build_report(plan: &LoadPlan, calls: &[Call], slots: usize, round_trip: Duration) -> LoadReport {
    let ideal = ideal_queue(&plan.arrivals, slots);
    let slowdown = |response: Duration, arrival: &Arrival| {
        response.as_secs_f64() / (arrival.longest_task() + round_trip).as_secs_f64()
    };
    let first_calls: Vec<&Call> = calls.iter().filter(|c| c.is_first).collect();
    let complete: Vec<&&Call> = first_calls
        .iter()
        .filter(|c| outcome_of(c) == "complete")
        .collect();
    let mut outcomes = BTreeMap::new();
    let mut refusals = BTreeMap::new();
    for call in &first_calls {
        *outcomes.entry(outcome_of(call)).or_default() += 1;
        let kind = call.reply.as_ref().and_then(|r| r.body["type"].as_str());
        if let Some(kind) = kind {
            let short = kind.rsplit(':').next().unwrap_or(kind);
            *refusals.entry(short.to_owned()).or_default() += 1;
        }
    }
    let work = |a: &Arrival| a.times.iter().sum::<u64>() as f64 / 1000.0;
    let offered_work: f64 = plan.arrivals.iter().map(work).sum();
    let completed_work: f64 = complete.iter().map(|c| work(&plan.arrivals[c.index])).sum();
    let last = plan.arrivals.last().map_or(Duration::ZERO, |a| a.at);
    let timely_work = complete.iter().filter(|c| c.ended_at <= last);
    let timely_work: f64 = timely_work.map(|c| work(&plan.arrivals[c.index])).sum();
    let refused = first_calls.iter().filter(|c| outcome_of(c) == "not_run");
    let client_round_trip = plan.client_delay * 2;
    LoadReport {
        jobs: plan.arrivals.len(),
        tasks: plan.arrivals.iter().map(|a| a.times.len()).sum(),
        outcomes,
        refusals,
        slowdown: percentiles(
            complete
                .iter()
                .map(|c| slowdown(c.response_time, &plan.arrivals[c.index])),
        ),
        ideal: percentiles(
            ideal
                .iter()
                .zip(&plan.arrivals)
                .map(|(response, arrival)| slowdown(*response + round_trip, arrival)),
        ),
        response_ms: percentiles(complete.iter().map(|c| c.response_time.as_secs_f64() * 1e3)),
        refusal_ms: percentiles(refused.map(|c| {
            c.response_time
                .saturating_sub(client_round_trip)
                .as_secs_f64()
                * 1e3
        })),
        goodput: completed_work / offered_work.max(1e-9),
        busy_slots: timely_work / last.as_secs_f64().max(1e-9),
        requests: first_calls
            .iter()
            .map(|c| f64::from(c.requests))
            .sum::<f64>()
            / first_calls.len().max(1) as f64,
        violations: find_wrong_answers(plan, calls),
    }
}

fn outcome_of(call: &Call) -> String {
    match &call.reply {
        Some(reply) => reply.outcome().to_owned(),
        None => "no answer".to_owned(),
    }
}

/// Returns a violation for each complete answer that differs from the expected answer to its request.
fn find_wrong_answers(plan: &LoadPlan, calls: &[Call]) -> Vec<String> {
    let mut wrong = Vec::new();
    for call in calls.iter().filter(|c| outcome_of(c) == "complete") {
        let count = plan.arrivals[call.index].times.len() as u32;
        let answers = call.reply.as_ref().map(|r| &r.body["answers"]);
        if answers != Some(&stub_answers(call.job, count)) {
            wrong.push(format!("{}: another answer than its own", call.job));
        }
    }
    wrong
}

impl LoadLog {
    /// Checks the outcomes against all starts that the backend servers logged. Returns a violation for each
    /// task that started more than once and for each job that had started although all its calls ended as
    /// `not_run`.
    pub fn find_violations(&self, starts: &[StartLine]) -> Vec<String> {
        let mut count: HashMap<(&str, u32), u32> = HashMap::new();
        for start in starts {
            *count.entry((&start.job, start.task)).or_default() += 1;
        }
        let mut wrong: Vec<String> = count
            .iter()
            .filter(|(_, n)| **n > 1)
            .map(|((job, task), n)| format!("{job} task {task} started {n} times"))
            .collect();
        let started: HashSet<&str> = count.keys().map(|(job, _)| *job).collect();
        let mut by_job: HashMap<JobId, Vec<&Call>> = HashMap::new();
        for call in &self.calls {
            by_job.entry(call.job).or_default().push(call);
        }
        for (job, calls) in by_job {
            // If another copy has a different outcome, that copy may have started the job.
            let all = calls.iter().all(|c| outcome_of(c) == "not_run");
            if all && started.contains(job.to_string().as_str()) {
                wrong.push(format!("{job} was `not_run` but had started"));
            }
        }
        wrong
    }

    /// Returns the slowdown percentiles of the complete jobs that arrived from `from` until `to`.
    pub fn slowdown_between(
        &self,
        plan: &LoadPlan,
        round_trip: Duration,
        from: Duration,
        to: Duration,
    ) -> Percentiles {
        let is_included = |c: &&Call| {
            let at = plan.arrivals[c.index].at;
            c.is_first && at >= from && at < to && outcome_of(c) == "complete"
        };
        let slowdown = |c: &Call| {
            let ideal = plan.arrivals[c.index].longest_task() + round_trip;
            c.response_time.as_secs_f64() / ideal.as_secs_f64()
        };
        percentiles(self.calls.iter().filter(is_included).map(slowdown))
    }

    /// Returns the average number of slots busy with complete jobs: the total task duration of the jobs that
    /// were completed from `from` until `to`, divided by that time.
    pub fn busy_slots_between(&self, plan: &LoadPlan, from: Duration, to: Duration) -> f64 {
        let is_included = |c: &&Call| {
            c.is_first && c.ended_at >= from && c.ended_at < to && outcome_of(c) == "complete"
        };
        let work = |c: &Call| plan.arrivals[c.index].times.iter().sum::<u64>() as f64 / 1000.0;
        let sum: f64 = self.calls.iter().filter(is_included).map(work).sum();
        sum / (to - from).as_secs_f64()
    }

    /// Returns the number of jobs by outcome that arrived from `from` until `to`.
    pub fn outcomes_between(
        &self,
        plan: &LoadPlan,
        from: Duration,
        to: Duration,
    ) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for call in self.calls.iter().filter(|c| c.is_first) {
            let at = plan.arrivals[call.index].at;
            if at >= from && at < to {
                *outcomes.entry(outcome_of(call)).or_default() += 1;
            }
        }
        outcomes
    }
}
