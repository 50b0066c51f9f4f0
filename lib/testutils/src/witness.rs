//! The witness of a randomised run: it sees every start, every submission and every answer, and
//! says which promise was broken.

use std::collections::HashMap;

use stackcourse_lib::job_id::JobId;
use stackcourse_lib::job_id::TaskKey;
use stackcourse_lib::outcome::Cause;
use stackcourse_lib::outcome::JobReply;
use stackcourse_lib::outcome::Outcome;

/// What the witness knows of one job.
#[derive(Clone, Debug, Default)]
struct JobFacts {
    starts: HashMap<u32, u32>,
    submissions: u64,
    /// The number of submissions at the last `not_run` after which no request was open.
    untouched: Option<u64>,
    open: u64,
}

/// What was the case when a request was made.
#[derive(Clone, Copy, Debug)]
pub struct Before {
    started: bool,
    alone: bool,
    submissions: u64,
}

/// The witness.
#[derive(Debug, Default)]
pub struct Witness {
    jobs: HashMap<JobId, JobFacts>,
    /// Answers seen, by outcome's number; 0 for others.
    pub outcomes: [u64; 5],
    /// Tasks started.
    pub starts: u64,
    /// Jobs refused for their mint time.
    pub untimely: u64,
    violation: Option<String>,
}

impl Witness {
    /// The first promise that was broken, if any.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Notes that a promise was broken.
    pub fn accuse(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// A caller submits a job. Returns what was the case at that moment.
    pub fn submitted(&mut self, job: JobId) -> Before {
        let facts = self.jobs.entry(job).or_default();
        facts.submissions += 1;
        facts.open += 1;
        facts.untouched = None;
        Before {
            started: !facts.starts.is_empty(),
            alone: facts.open == 1,
            submissions: facts.submissions,
        }
    }

    /// A back end was handed a task.
    pub fn started(&mut self, key: TaskKey) {
        self.starts += 1;
        let facts = self.jobs.entry(key.job).or_default();
        let count = facts.starts.entry(key.task).or_default();
        *count += 1;
        let twice = *count > 1;
        let after = facts.untouched == Some(facts.submissions);
        if twice {
            self.accuse(format!("{key:?} started twice"));
        } else if after {
            self.accuse(format!("{key:?} started after `not_run`"));
        }
    }

    /// A caller got an answer. Requests whose entry died, or that ended as `unknown`, count as open
    /// for ever: what they asked may still be under way.
    pub fn answered(&mut self, job: JobId, tasks: u32, before: Before, reply: &JobReply) {
        let outcome = match reply {
            JobReply::Complete(_) => Some(Outcome::Complete),
            JobReply::Other(refusal) => refusal.outcome,
        };
        self.outcomes[outcome.map_or(0, |o| o.code() as usize)] += 1;
        if let JobReply::Other(refusal) = reply {
            let untimely = matches!(refusal.cause, Cause::Ahead | Cause::Expired);
            self.untimely += u64::from(untimely);
        }
        let facts = self.jobs.entry(job).or_default();
        if outcome != Some(Outcome::Unknown) {
            facts.open -= 1;
        }
        let started = !facts.starts.is_empty();
        let quiet = facts.open == 0;
        let submissions = facts.submissions;
        if outcome == Some(Outcome::NotRun) {
            if quiet {
                facts.untouched = Some(facts.submissions);
            }
            // A copy that was under way at the same time may have started it in its own right.
            let copies = !before.alone || submissions > before.submissions;
            if before.started || (started && !copies) {
                self.accuse(format!("{job} was `not_run` but had started"));
            }
        }
        if let JobReply::Complete(body) = reply
            && *body != expected_answers(job, tasks)
        {
            self.accuse(format!("{job} got another answer than its own"));
        }
    }
}

/// The answer of a back end to a task.
pub fn task_answer(key: TaskKey) -> String {
    format!("\"{}/{}\"", key.job, key.task)
}

/// The whole answer to a job.
pub fn expected_answers(job: JobId, tasks: u32) -> bytes::Bytes {
    let answers: Vec<String> = (0..tasks)
        .map(|task| task_answer(TaskKey { job, task }))
        .collect();
    bytes::Bytes::from(format!("[{}]", answers.join(",")))
}
