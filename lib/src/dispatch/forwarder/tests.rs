use std::collections::BTreeSet;
use std::rc::Rc;

use assert_matches::assert_matches;

use super::*;
use crate::dispatch::cancels::CancelReply;
use crate::dispatch::policy::Policy;

fn time_at(ms: u64) -> Mono {
    Mono(1) + Duration::from_millis(ms)
}

fn millis(duration: Duration) -> u64 {
    crate::clock::millis(duration)
}

/// Returns the name of a process that belongs to a partition.
fn name_in(partitions: Partitions, partition: Partition, role: &str) -> String {
    let names = (0..).map(|i| format!("{role}-{i}"));
    let mut names = names.filter(|name| partitions.of_name(name) == partition);
    names.next().expect("the numbers are unlimited")
}

/// A forwarder in a fleet of two partitions, with three schedulers in the other partition: `near` in its own
/// zone and `far` in another one.
struct Harness {
    forwarder: Forwarder,
    other: Partition,
    near: String,
    far: [String; 2],
}

impl Harness {
    fn new() -> Harness {
        let partitions = Partitions::new(1).expect("valid number of bits");
        let [own, other] =
            [0, 1].map(|i| partitions.all().nth(i).expect("there are two partitions"));
        let setup = ForwarderSetup {
            name: name_in(partitions, own, "edge"),
            zone: "hall-a".to_owned(),
            seed: 1,
            policy: Policy::default().partitions,
            admission: Policy::default().admission,
            pause: Policy::default().claims.pause,
        };
        let mut harness = Harness {
            forwarder: Forwarder::new(setup, partitions),
            other,
            near: name_in(partitions, other, "near"),
            far: [0, 1].map(|i| name_in(partitions, other, &format!("far{i}"))),
        };
        harness.forwarder.tick(time_at(0));
        assert_matches!(harness.take_actions()[..], [Action::Read(p, Freshness::Newest)] if p == other);
        harness.set_schedulers(time_at(0));
        harness
    }

    fn set_schedulers(&mut self, now: Mono) {
        let scheduler = |name: &String, zone: &str| SchedulerAddress {
            name: name.clone(),
            address: format!("{name}:7700"),
            zone: zone.to_owned(),
        };
        let mut list = vec![scheduler(&self.near, "hall-a")];
        list.extend(self.far.iter().map(|name| scheduler(name, "hall-b")));
        self.forwarder
            .set_schedulers(now, self.other, list, Freshness::Newest);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        let actions = self.forwarder.take_actions();
        let is_log = |a: &Action| matches!(a, Action::Log(_));
        actions.into_iter().filter(|a| !is_log(a)).collect()
    }

    /// Returns the `n`th job of the other partition.
    fn job(&self, n: usize) -> JobRequest {
        let numbers = (0..).map(JobNumber);
        let other = |number: &JobNumber| self.forwarder.partitions.of_job(*number) == self.other;
        JobRequest {
            number: numbers
                .filter(other)
                .nth(n)
                .expect("the numbers are unlimited"),
            queue: "quick".to_owned(),
            spec: Rc::from("spec"),
            steps: Vec::new(),
            patience_ms: 5_000,
            call: Rc::from("call"),
        }
    }

    /// Submits the `n`th job with `n` as its caller.
    fn submit(&mut self, now: Mono, n: usize) {
        let job = self.job(n);
        self.forwarder.submit(now, CallerId(n as u64), job);
    }

    /// Submits the first job and links the scheduler that is dialled for it. Returns the name of the
    /// scheduler.
    fn submit_and_link(&mut self) -> String {
        self.submit(time_at(0), 0);
        let [Action::Dial(name, _)] = &self.take_actions()[..] else {
            panic!("a scheduler is dialled");
        };
        let name = name.clone();
        self.link_up(time_at(1), &name, 1);
        assert_matches!(&self.take_actions()[..], [Action::Send(LinkId(1), f)] if f.jobs.len() == 1);
        name
    }

    /// Ticks every 20 ms from one time to before another one.
    fn tick_until(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(20) {
            self.forwarder.tick(time_at(now));
        }
    }

    /// Brings a link up, on which the scheduler reports that it is ready.
    fn link_up(&mut self, now: Mono, name: &str, link: u64) {
        self.forwarder.link_up(now, name, LinkId(link));
        let ready = proto::ForwardReply {
            ready: true,
            ..proto::ForwardReply::default()
        };
        self.forwarder.handle_message(now, LinkId(link), &ready);
    }

    fn end(&mut self, now: Mono, link: u64, caller: u64, outcome: JobOutcome) {
        let reply = proto::ForwardReply {
            ends: vec![proto::ForwardedEnd {
                caller,
                outcome: outcome.code(),
            }],
            ready: true,
        };
        self.forwarder.handle_message(now, LinkId(link), &reply);
    }
}

#[test]
fn test_forwarder_same_zone() {
    let mut harness = Harness::new();
    assert_eq!(harness.submit_and_link(), harness.near);
    harness.end(time_at(80), 1, 0, JobOutcome::Completed);
    let answer = Action::Answer(CallerId(0), JobOutcome::Completed);
    assert_eq!(harness.take_actions(), vec![answer]);
    assert_eq!(harness.forwarder.gauges()[..2], [0, 1]);
}

#[test]
fn test_forwarder_remaining_patience() {
    let mut harness = Harness::new();
    harness.submit(time_at(0), 0);
    harness.take_actions();
    let near = harness.near.clone();
    harness.link_up(time_at(40), &near, 1);
    let [Action::Send(_, forward)] = &harness.take_actions()[..] else {
        panic!("the job is sent");
    };
    let job = forward.jobs[0].job.as_ref().expect("a job");
    assert_eq!(job.patience_ms, 4_960);
}

#[test]
fn test_forwarder_unreachable_scheduler() {
    let mut harness = Harness::new();
    harness.submit(time_at(0), 0);
    harness.take_actions();
    let near = harness.near.clone();
    harness.forwarder.connect_failed(time_at(60), &near);
    let dialled = harness.take_actions();
    assert_matches!(&dialled[..], [Action::Dial(name, _)] if harness.far.contains(name));
}

#[test]
fn test_forwarder_resend_after_broken_link() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.forwarder.link_down(time_at(20), LinkId(1));
    harness
        .forwarder
        .tick(time_at(20) + Policy::default().partitions.again_broken - Duration::from_millis(1));
    assert_eq!(
        harness.take_actions(),
        vec![],
        "the peers may not have noticed yet that the link is down"
    );
    harness
        .forwarder
        .tick(time_at(20) + Policy::default().partitions.again_broken);
    assert_matches!(&harness.take_actions()[..], [Action::Dial(name, _)] if harness.far.contains(name));
}

#[test]
fn test_forwarder_resend_after_silence() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    let silent = millis(Policy::default().partitions.silence);
    harness.tick_until(1, silent - 100);
    harness.submit(time_at(silent - 100), 1);
    assert_matches!(&harness.take_actions()[..], [Action::Send(LinkId(1), _)]);
    let again = millis(Policy::default().partitions.again_silent);
    harness.tick_until(silent - 100, 1 + again);
    assert_eq!(
        harness.take_actions(),
        vec![],
        "not even the first job may be sent again yet"
    );
    harness.forwarder.tick(time_at(1 + again));
    let actions = harness.take_actions();
    assert_matches!(actions[0], Action::Close(LinkId(1)));
    let Action::Dial(next, _) = actions[1].clone() else {
        panic!("another scheduler is dialled: {actions:?}");
    };
    harness.link_up(time_at(1 + again), &next, 2);
    let sent = harness.take_actions();
    assert_matches!(&sent[..], [Action::Send(_, f)] if f.jobs.len() == 1, "the second job was sent later");
    harness.forwarder.tick(time_at(silent - 100 + again));
    assert_matches!(&harness.take_actions()[..], [Action::Send(LinkId(2), f)] if f.jobs[0].caller == 1);
}

#[test]
fn test_forwarder_silent_scheduler() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    let silent = 1 + millis(Policy::default().partitions.silence);
    harness.tick_until(1, silent);
    harness.submit(time_at(silent), 1);
    assert_matches!(&harness.take_actions()[..], [Action::Dial(name, _)] if harness.far.contains(name));
}

#[test]
fn test_forwarder_refused_after_resend() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.forwarder.link_down(time_at(20), LinkId(1));
    harness.forwarder.tick(time_at(200));
    let [Action::Dial(next, _)] = &harness.take_actions()[..] else {
        panic!("another scheduler is dialled");
    };
    let next = next.clone();
    harness.link_up(time_at(201), &next, 2);
    harness.take_actions();
    harness.end(time_at(210), 2, 0, JobOutcome::Refused(400));
    assert_eq!(
        harness.take_actions(),
        vec![Action::Answer(CallerId(0), JobOutcome::GivenUp)]
    );
}

#[test]
fn test_forwarder_no_scheduler() {
    let mut harness = Harness::new();
    harness.submit(time_at(0), 0);
    for name in [
        harness.near.clone(),
        harness.far[0].clone(),
        harness.far[1].clone(),
    ] {
        harness.forwarder.connect_failed(time_at(10), &name);
    }
    let actions = harness.take_actions();
    let refused = |a: &Action| matches!(a, Action::Answer(CallerId(0), JobOutcome::Refused(_)));
    assert!(actions.iter().any(refused), "{actions:?}");
    harness
        .forwarder
        .tick(time_at(10) + Policy::default().partitions.avoid);
    assert_matches!(
        harness.take_actions()[..],
        [Action::Read(_, Freshness::Newest)],
        "the list of schedulers may be outdated"
    );
}

#[test]
fn test_forwarder_caller_left() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.forwarder.caller_left(time_at(30), CallerId(0));
    assert_matches!(&harness.take_actions()[..], [Action::Send(LinkId(1), f)] if f.left == [0]);
    harness.end(time_at(31), 1, 0, JobOutcome::Completed);
    assert_eq!(
        harness.take_actions(),
        vec![],
        "no caller waits for the outcome"
    );
}

#[test]
fn test_forwarder_prefers_ready() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    let leaving = proto::ForwardReply::default();
    harness
        .forwarder
        .handle_message(time_at(10), LinkId(1), &leaving);
    harness.submit(time_at(11), 1);
    assert_matches!(&harness.take_actions()[..], [Action::Dial(name, _)] if harness.far.contains(name));
}

#[test]
fn test_forwarder_linked_while_dialling() {
    let mut harness = Harness::new();
    harness.submit(time_at(0), 0);
    let near = harness.near.clone();
    harness.forwarder.connect_failed(time_at(10), &near);
    let dialled = harness.take_actions();
    let Some(Action::Dial(far, _)) = dialled.last().cloned() else {
        panic!("another scheduler is dialled");
    };
    harness.link_up(time_at(11), &far, 2);
    harness.end(time_at(80), 2, 0, JobOutcome::Completed);
    harness.take_actions();
    let later = time_at(10) + Policy::default().partitions.avoid;
    harness.submit(later, 1);
    let actions = harness.take_actions();
    assert_matches!(&actions[0], Action::Dial(name, _) if *name == near);
    assert_matches!(&actions[1], Action::Send(LinkId(2), _));
}

#[test]
fn test_forwarder_cancel() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    let number = harness.job(0).number;
    harness.forwarder.cancel(time_at(20), CallerId(9), number);
    assert_matches!(&harness.take_actions()[..], [Action::Send(LinkId(1), f)] if f.cancels.len() == 1);
    harness.end(time_at(22), 1, 9, JobOutcome::Cancelled);
    assert_eq!(
        harness.take_actions(),
        vec![Action::Answer(CallerId(9), JobOutcome::Cancelled)]
    );
}

/// That nobody can be asked is no proof that there is no such job.
#[test]
fn test_forwarder_cancel_without_answer() {
    let mut harness = Harness::new();
    let number = harness.job(0).number;
    harness.forwarder.cancel(time_at(0), CallerId(9), number);
    for name in [
        harness.near.clone(),
        harness.far[0].clone(),
        harness.far[1].clone(),
    ] {
        harness.forwarder.connect_failed(time_at(10), &name);
    }
    let answer = Action::Answer(CallerId(9), JobOutcome::GivenUp);
    assert!(harness.take_actions().contains(&answer));
    assert_eq!(
        CancelReply::from_outcome(JobOutcome::GivenUp),
        CancelReply::Uncertain
    );
    let mut harness = Harness::new();
    harness.forwarder.cancel(time_at(0), CallerId(9), number);
    harness.forwarder.abandon(time_at(20));
    assert!(harness.take_actions().contains(&answer));
}

/// Guards against callers without an answer: nobody sweeps what is forwarded after the last answers. The job may
/// run for another caller, so that it is not refused.
#[test]
fn test_forwarder_requests_after_last_answers() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.forwarder.abandon(time_at(20));
    harness.take_actions();
    let (job, number) = (harness.job(1), harness.job(2).number);
    harness.forwarder.submit(time_at(30), CallerId(5), job);
    harness.forwarder.cancel(time_at(30), CallerId(6), number);
    let uncertain = CancelReply::Uncertain.outcome();
    let expected = [
        Action::Answer(CallerId(5), JobOutcome::Unknown),
        Action::Answer(CallerId(6), uncertain),
    ];
    assert_eq!(harness.take_actions(), expected, "answered, and not sent");
    assert!(harness.forwarder.is_idle());
}

#[test]
fn test_forwarder_idle_link() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.end(time_at(80), 1, 0, JobOutcome::Completed);
    harness.take_actions();
    harness
        .forwarder
        .tick(time_at(1) + Policy::default().partitions.idle);
    assert!(harness.take_actions().contains(&Action::Close(LinkId(1))));
    assert_eq!(harness.forwarder.gauges()[..2], [0, 0]);
}

/// Returns the reply to a message whose cancels are for unknown jobs.
fn unknown_ends(forward: &proto::Forward) -> proto::ForwardReply {
    let end = |c: &proto::ForwardedCancel| proto::ForwardedEnd {
        caller: c.caller,
        outcome: JobOutcome::Unknown.code(),
    };
    proto::ForwardReply {
        ends: forward.cancels.iter().map(end).collect(),
        ready: true,
    }
}

/// Returns the numbers of schedulers that an entry dials and of messages that it sends for the same jobs in a
/// fleet of `scale` times 184 entries.
fn forwarding_cost(scale: usize) -> (usize, usize) {
    let names: Vec<String> = (0..184 * scale).map(|i| format!("edge-{i}")).collect();
    let policy = Policy::default();
    let executors: Vec<String> = (0..800 * scale).map(|i| format!("side-{i}")).collect();
    let partitions = Partitions::for_fleet(&executors, &names, &policy.partitions);
    let zone = |i: usize| format!("hall-{}", i % 5);
    let setup = ForwarderSetup {
        name: names[0].clone(),
        zone: zone(0),
        seed: 1,
        policy: policy.partitions,
        admission: policy.admission,
        pause: policy.claims.pause,
    };
    let mut forwarder = Forwarder::new(setup, partitions);
    let own = forwarder.own();
    for partition in partitions.all().filter(|p| *p != own) {
        let members = names.iter().enumerate();
        let members = members.filter(|(_, name)| partitions.of_name(name) == partition);
        let scheduler = |(i, name): (usize, &String)| SchedulerAddress {
            name: name.clone(),
            address: name.clone(),
            zone: zone(i),
        };
        let members = members.map(scheduler).collect();
        forwarder.set_schedulers(time_at(0), partition, members, Freshness::Newest);
    }
    let mut dialled = BTreeSet::new();
    let mut frames = 0;
    for n in 0..1000 {
        let number = JobNumber(n);
        if partitions.of_job(number) == forwarder.own() {
            continue;
        }
        forwarder.cancel(time_at(n), CallerId(n), number);
        for action in forwarder.take_actions() {
            match action {
                Action::Dial(name, _) => {
                    let link = LinkId(dialled.len() as u64);
                    forwarder.link_up(time_at(n), &name, link);
                    forwarder.handle_message(
                        time_at(n),
                        link,
                        &unknown_ends(&proto::Forward::default()),
                    );
                    dialled.insert(name);
                }
                Action::Send(link, forward) => {
                    frames += 1;
                    forwarder.handle_message(time_at(n), link, &unknown_ends(&forward));
                }
                _ => {}
            }
        }
    }
    (dialled.len(), frames + forwarder.take_actions().len())
}

/// Guards against links and messages that grow with the number of entries: messages grow with the number of
/// jobs, links with the number of partitions.
#[test]
fn test_forwarder_cost_in_larger_fleet() {
    let (links, frames) = forwarding_cost(1);
    let (more_links, more_frames) = forwarding_cost(2);
    assert!(
        frames <= 1000 && more_frames <= 1000,
        "{frames}, {more_frames}"
    );
    assert_eq!(
        (links, more_links),
        (3, 7),
        "one link for each other partition"
    );
}

/// Guards against requests to a scheduler that has just started: it has no configuration yet and refuses all
/// jobs. Requests that wait for its link are sent elsewhere.
#[test]
fn test_forwarder_not_ready_on_link_up() {
    let mut harness = Harness::new();
    harness.submit(time_at(0), 0);
    harness.take_actions();
    let near = harness.near.clone();
    harness.forwarder.link_up(time_at(1), &near, LinkId(1));
    assert_eq!(
        harness.take_actions(),
        vec![],
        "the scheduler has not reported whether it is ready"
    );
    let not_ready = proto::ForwardReply::default();
    harness
        .forwarder
        .handle_message(time_at(2), LinkId(1), &not_ready);
    assert_matches!(&harness.take_actions()[..], [Action::Dial(name, _)] if harness.far.contains(name));
}

/// Guards against closing links after a pause of this process, in which the peers only seem to have been
/// silent.
#[test]
fn test_forwarder_own_pause() {
    let mut harness = Harness::new();
    harness.submit_and_link();
    harness.forwarder.tick(time_at(20));
    harness.forwarder.tick(time_at(2_020));
    assert_eq!(harness.take_actions(), vec![]);
    harness.end(time_at(2_021), 1, 0, JobOutcome::Completed);
    let answer = Action::Answer(CallerId(0), JobOutcome::Completed);
    assert_eq!(
        harness.take_actions(),
        vec![answer],
        "outcomes from during the pause are delivered"
    );
}

/// Guards against losing reachable schedulers to an outdated list from before they had registered.
#[test]
fn test_forwarder_outdated_list() {
    let mut harness = Harness::new();
    let far = harness.far[0].clone();
    harness.forwarder.connect_failed(time_at(10), &far);
    let other = harness.other;
    harness
        .forwarder
        .set_schedulers(time_at(20), other, Vec::new(), Freshness::Recent);
    assert_eq!(harness.forwarder.schedulers_beside(&far).len(), 2);
    harness
        .forwarder
        .set_schedulers(time_at(30), other, Vec::new(), Freshness::Newest);
    assert_eq!(harness.forwarder.schedulers_beside(&far).len(), 0);
}
