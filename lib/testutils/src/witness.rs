//! Checks the invariants of the job protocol in a randomised run. Takes every submission, start and
//! answer in the order in which they occur, and keeps the first violation: a task that starts twice, a
//! `not_run` job with a started task, or an answer that belongs to another job.

use std::collections::HashMap;

use stackcourse_lib::job_id::JobId;
use stackcourse_lib::job_id::TaskKey;
use stackcourse_lib::outcome::Cause;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::outcome::Outcome;

/// The events recorded for one job.
#[derive(Clone, Debug, Default)]
struct JobHistory {
    /// Number of starts by task number.
    starts: HashMap<u32, u32>,
    submissions: u64,
    /// The value of `submissions` when the job was last answered with `not_run` and no other request for it
    /// was open. A start is a violation for as long as `submissions` still has this value.
    not_run_at: Option<u64>,
    /// Requests without a final answer.
    open_requests: u64,
}

/// The state of a job at the time of a submission.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionState {
    /// Whether a task of the job had started.
    had_started: bool,
    /// Whether no other request for the job was open.
    was_alone: bool,
    /// Number of submissions, this one included.
    submissions: u64,
}

/// Records what callers and backend servers observe and reports the first broken invariant.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    jobs: HashMap<JobId, JobHistory>,
    /// Number of answers by outcome code; index 0 counts answers without an outcome.
    pub outcomes: [u64; 5],
    /// Number of task starts.
    pub starts: u64,
    /// Number of answers that reject a job because of the time in its id.
    pub rejected_mint_times: u64,
    violation: Option<String>,
}

impl InvariantChecker {
    /// Returns a description of the first violation, if any.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Records a violation unless an earlier one is recorded already.
    pub fn report_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// Records a submission of a job and returns the state of the job at that time.
    pub fn record_submission(&mut self, job: JobId) -> SubmissionState {
        let history = self.jobs.entry(job).or_default();
        history.submissions += 1;
        history.open_requests += 1;
        history.not_run_at = None;
        SubmissionState {
            had_started: !history.starts.is_empty(),
            was_alone: history.open_requests == 1,
            submissions: history.submissions,
        }
    }

    /// Records the start of a task on a backend server and checks that the task may start.
    pub fn check_start(&mut self, key: TaskKey) {
        self.starts += 1;
        let history = self.jobs.entry(key.job).or_default();
        let count = history.starts.entry(key.task).or_default();
        *count += 1;
        let twice = *count > 1;
        let after_not_run = history.not_run_at == Some(history.submissions);
        if twice {
            self.report_violation(format!("{key:?} started twice"));
        } else if after_not_run {
            self.report_violation(format!("{key:?} started after `not_run`"));
        }
    }

    /// Checks the answer to a request. A request whose entry crashed, or that ended as `unknown`, stays open
    /// for the rest of the run because its tasks may still start.
    pub fn check_answer(
        &mut self,
        job: JobId,
        tasks: u32,
        state: SubmissionState,
        reply: &JobReply,
    ) {
        let outcome = match reply {
            JobReply::Complete(_) => Some(Outcome::Complete),
            JobReply::Other(refusal) => refusal.outcome,
        };
        self.outcomes[outcome.map_or(0, |o| o.code() as usize)] += 1;
        if let JobReply::Other(refusal) = reply {
            let rejected_mint_times = matches!(refusal.cause, Cause::Ahead | Cause::Expired);
            self.rejected_mint_times += u64::from(rejected_mint_times);
        }
        let history = self.jobs.entry(job).or_default();
        if outcome != Some(Outcome::Unknown) {
            history.open_requests -= 1;
        }
        let started = !history.starts.is_empty();
        let all_closed = history.open_requests == 0;
        let submissions = history.submissions;
        if outcome == Some(Outcome::NotRun) {
            if all_closed {
                history.not_run_at = Some(history.submissions);
            }
            // A concurrent request for the same job may legitimately have started it.
            let copies = !state.was_alone || submissions > state.submissions;
            if state.had_started || (started && !copies) {
                self.report_violation(format!("{job} was `not_run` but had started"));
            }
        }
        if let JobReply::Complete(body) = reply
            && *body != expected_answers(job, tasks)
        {
            self.report_violation(format!("{job} got another answer than its own"));
        }
    }
}

/// Returns the answer of a backend server to a task, as JSON.
pub fn task_answer(key: TaskKey) -> String {
    format!("\"{}/{}\"", key.job, key.task)
}

/// Returns the complete answer to a job, as a JSON array.
pub fn expected_answers(job: JobId, tasks: u32) -> bytes::Bytes {
    let answers: Vec<String> = (0..tasks)
        .map(|task| task_answer(TaskKey { job, task }))
        .collect();
    bytes::Bytes::from(format!("[{}]", answers.join(",")))
}
