//! The load tool: sends a workload to entries at its own pace, checks every answer against its
//! request and against the back ends' logs, and reports.
//!
//! Arrivals are open-loop: a job is sent at its drawn time whether or not others have been
//! answered, and its response time counts from that time, so no wait is left out.

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
use crate::cluster::put_with;
use crate::cluster::stub_answers;
use crate::stub_backend::StartLine;
use crate::stub_server::sleep_until;
use crate::workload::Arrival;
use crate::workload::ideal_queue;

/// How a load is run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where entries serve callers; jobs go to them in turn, as a balancer would.
    pub entries: Vec<SocketAddr>,
    /// The jobs.
    pub arrivals: Vec<Arrival>,
    /// The deadline of each job, in milliseconds.
    pub deadline_ms: u64,
    /// Delay between callers and entries, one way.
    pub client_delay: Duration,
    /// Whether refused callers come back when they are asked to, until their deadline.
    pub retry: bool,
}

/// What became of one request.
#[derive(Clone, Debug)]
struct Call {
    job: JobId,
    index: usize,
    first: bool,
    took: Duration,
    ended: Duration,
    reply: Option<Reply>,
    /// Requests made, the first counted.
    requests: u32,
}

/// What came of a load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Jobs sent.
    pub jobs: usize,
    /// Tasks sent.
    pub tasks: usize,
    /// Jobs that ended in each way.
    pub outcomes: BTreeMap<String, usize>,
    /// Refusals by problem type.
    pub refusals: BTreeMap<String, usize>,
    /// Response over ideal of complete jobs: percentiles.
    pub slowdown: Percentiles,
    /// The same for the ideal single queue over the same arrivals.
    pub ideal: Percentiles,
    /// Response of complete jobs, in milliseconds.
    pub response_ms: Percentiles,
    /// Time to a refusal, in milliseconds, less the callers' way.
    pub refusal_ms: Percentiles,
    /// Service time of the tasks of complete jobs over that of all tasks sent.
    pub goodput: f64,
    /// Service time done for complete jobs each second while jobs arrived, in slots.
    pub busy_slots: f64,
    /// Requests a job, those of callers that came back included.
    pub requests: f64,
    /// Promises broken.
    pub violations: Vec<String>,
}

/// Percentiles of a measure.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1000.
    pub p999: f64,
}

/// Runs a load and reports. `ways` is the time of the ways there and back on an idle system,
/// which the ideal includes; `slots` are those of all permitted workers.
pub async fn run(plan: &LoadPlan, slots: usize, ways: Duration) -> (LoadReport, LoadLog) {
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
                let (took, reply, requests) = call.await;
                Call {
                    job,
                    index,
                    first: copy == 0,
                    took,
                    ended: begun.elapsed(),
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
    let report = report(plan, &calls, slots, ways);
    (report, LoadLog { calls })
}

/// The requests of a load, to be checked against the back ends' logs.
pub struct LoadLog {
    calls: Vec<Call>,
}

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
            let reply = put_with(&client, entry, &service, job, &body).await;
            sleep_until(Instant::now() + delay).await;
            let after = reply
                .as_ref()
                .and_then(|r| r.body["retry_after_ms"].as_u64());
            let again = Instant::now() + Duration::from_millis(after.unwrap_or(0));
            if !retry || after.is_none() || again >= deadline {
                return (due.elapsed(), reply, requests);
            }
            sleep_until(again).await;
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

fn report(plan: &LoadPlan, calls: &[Call], slots: usize, ways: Duration) -> LoadReport {
    let ideal = ideal_queue(&plan.arrivals, slots);
    let slow = |response: Duration, arrival: &Arrival| {
        response.as_secs_f64() / (arrival.longest() + ways).as_secs_f64()
    };
    let firsts: Vec<&Call> = calls.iter().filter(|c| c.first).collect();
    let complete: Vec<&&Call> = firsts
        .iter()
        .filter(|c| outcome_of(c) == "complete")
        .collect();
    let mut outcomes = BTreeMap::new();
    let mut refusals = BTreeMap::new();
    for call in &firsts {
        *outcomes.entry(outcome_of(call)).or_default() += 1;
        let kind = call.reply.as_ref().and_then(|r| r.body["type"].as_str());
        if let Some(kind) = kind {
            let short = kind.rsplit(':').next().unwrap_or(kind);
            *refusals.entry(short.to_owned()).or_default() += 1;
        }
    }
    let work = |a: &Arrival| a.times.iter().sum::<u64>() as f64 / 1000.0;
    let asked: f64 = plan.arrivals.iter().map(work).sum();
    let done: f64 = complete.iter().map(|c| work(&plan.arrivals[c.index])).sum();
    let last = plan.arrivals.last().map_or(Duration::ZERO, |a| a.at);
    let in_time = complete.iter().filter(|c| c.ended <= last);
    let in_time: f64 = in_time.map(|c| work(&plan.arrivals[c.index])).sum();
    let refused = firsts.iter().filter(|c| outcome_of(c) == "not_run");
    let there = plan.client_delay * 2;
    LoadReport {
        jobs: plan.arrivals.len(),
        tasks: plan.arrivals.iter().map(|a| a.times.len()).sum(),
        outcomes,
        refusals,
        slowdown: percentiles(
            complete
                .iter()
                .map(|c| slow(c.took, &plan.arrivals[c.index])),
        ),
        ideal: percentiles(
            ideal
                .iter()
                .zip(&plan.arrivals)
                .map(|(response, arrival)| slow(*response + ways, arrival)),
        ),
        response_ms: percentiles(complete.iter().map(|c| c.took.as_secs_f64() * 1e3)),
        refusal_ms: percentiles(refused.map(|c| c.took.saturating_sub(there).as_secs_f64() * 1e3)),
        goodput: done / asked.max(1e-9),
        busy_slots: in_time / last.as_secs_f64().max(1e-9),
        requests: firsts.iter().map(|c| f64::from(c.requests)).sum::<f64>()
            / firsts.len().max(1) as f64,
        violations: wrong_answers(plan, calls),
    }
}

fn outcome_of(call: &Call) -> String {
    match &call.reply {
        Some(reply) => reply.outcome().to_owned(),
        None => "no answer".to_owned(),
    }
}

/// Complete answers that are not the whole answer to their own request.
fn wrong_answers(plan: &LoadPlan, calls: &[Call]) -> Vec<String> {
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
    /// Checks the answers against every start that the back ends logged.
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
            // A copy that was answered otherwise may have started it in its own right.
            let all = calls.iter().all(|c| outcome_of(c) == "not_run");
            if all && started.contains(job.to_string().as_str()) {
                wrong.push(format!("{job} was `not_run` but had started"));
            }
        }
        wrong
    }

    /// Slowdown percentiles of the complete jobs that arrived within a part of the run.
    pub fn slowdown_between(
        &self,
        plan: &LoadPlan,
        ways: Duration,
        from: Duration,
        to: Duration,
    ) -> Percentiles {
        let inside = |c: &&Call| {
            let at = plan.arrivals[c.index].at;
            c.first && at >= from && at < to && outcome_of(c) == "complete"
        };
        let slow = |c: &Call| {
            let ideal = plan.arrivals[c.index].longest() + ways;
            c.took.as_secs_f64() / ideal.as_secs_f64()
        };
        percentiles(self.calls.iter().filter(inside).map(slow))
    }

    /// Service time of complete jobs that ended within a part of the run, a second of it: how many
    /// slots did work that counted.
    pub fn busy_slots_between(&self, plan: &LoadPlan, from: Duration, to: Duration) -> f64 {
        let inside =
            |c: &&Call| c.first && c.ended >= from && c.ended < to && outcome_of(c) == "complete";
        let work = |c: &Call| plan.arrivals[c.index].times.iter().sum::<u64>() as f64 / 1000.0;
        let sum: f64 = self.calls.iter().filter(inside).map(work).sum();
        sum / (to - from).as_secs_f64()
    }

    /// How many first requests that arrived within a part of the run ended in each way.
    pub fn outcomes_between(
        &self,
        plan: &LoadPlan,
        from: Duration,
        to: Duration,
    ) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for call in self.calls.iter().filter(|c| c.first) {
            let at = plan.arrivals[call.index].at;
            if at >= from && at < to {
                *outcomes.entry(outcome_of(call)).or_default() += 1;
            }
        }
        outcomes
    }
}
