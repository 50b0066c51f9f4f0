use std::collections::BTreeSet;
use std::rc::Rc;

use assert_matches::assert_matches;

use super::*;
use crate::dispatch::policy::Policy;

fn at(ms: u64) -> Mono {
    Mono(1) + Duration::from_millis(ms)
}

fn ms(duration: Duration) -> u64 {
    crate::clock::millis(duration)
}

/// A process's name in a partition.
fn name_in(partitions: Partitions, partition: Partition, role: &str) -> String {
    let names = (0..).map(|i| format!("{role}-{i}"));
    let mut names = names.filter(|name| partitions.of_name(name) == partition);
    names.next().expect("there is one")
}

/// A forwarder in a fleet of two partitions, and three schedulers of the other one.
struct Rig {
    forwarder: Forwarder,
    other: Partition,
    near: String,
    far: [String; 2],
}

impl Rig {
    fn new() -> Rig {
        let partitions = Partitions::new(1).expect("few enough");
        let [own, other] = [0, 1].map(|i| partitions.all().nth(i).expect("there are two"));
        let setup = ForwarderSetup {
            name: name_in(partitions, own, "edge"),
            zone: "hall-a".to_owned(),
            seed: 1,
            policy: Policy::default().partitions,
            admission: Policy::default().admission,
            pause: Policy::default().claims.pause,
        };
        let mut rig = Rig {
            forwarder: Forwarder::new(setup, partitions),
            other,
            near: name_in(partitions, other, "near"),
            far: [0, 1].map(|i| name_in(partitions, other, &format!("far{i}"))),
        };
        rig.forwarder.tick(at(0));
        assert_matches!(rig.act()[..], [Action::Read(p, Freshness::Newest)] if p == other);
        rig.name_schedulers(at(0));
        rig
    }

    fn name_schedulers(&mut self, now: Mono) {
        let scheduled = |name: &String, zone: &str| SchedulerAddress {
            name: name.clone(),
            address: format!("{name}:7700"),
            zone: zone.to_owned(),
        };
        let mut list = vec![scheduled(&self.near, "hall-a")];
        list.extend(self.far.iter().map(|name| scheduled(name, "hall-b")));
        self.forwarder
            .set_schedulers(now, self.other, list, Freshness::Newest);
    }

    fn act(&mut self) -> Vec<Action> {
        let actions = self.forwarder.take_actions();
        let is_log = |a: &Action| matches!(a, Action::Log(_));
        actions.into_iter().filter(|a| !is_log(a)).collect()
    }

    /// A job of the other partition, the `n`th.
    fn job(&self, n: usize) -> JobRequest {
        let numbers = (0..).map(JobNumber);
        let other = |number: &JobNumber| self.forwarder.partitions.of_job(*number) == self.other;
        JobRequest {
            number: numbers.filter(other).nth(n).expect("there is one"),
            queue: "quick".to_owned(),
            spec: Rc::from("spec"),
            steps: Vec::new(),
            patience_ms: 5_000,
            call: Rc::from("call"),
        }
    }

    /// Hands in the `n`th job, with `n` as its caller.
    fn submit(&mut self, now: Mono, n: usize) {
        let job = self.job(n);
        self.forwarder.submit(now, CallerId(n as u64), job);
    }

    /// Hands in the first job and links the scheduler that is dialled for it.
    fn sent(&mut self) -> String {
        self.submit(at(0), 0);
        let [Action::Dial(name, _)] = &self.act()[..] else {
            panic!("one is dialled");
        };
        let name = name.clone();
        self.link_up(at(1), &name, 1);
        assert_matches!(&self.act()[..], [Action::Send(LinkId(1), f)] if f.jobs.len() == 1);
        name
    }

    /// Time passes, from one moment to before another one.
    fn pass(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(20) {
            self.forwarder.tick(at(now));
        }
    }

    /// A link is up, and its other end says that it is ready.
    fn link_up(&mut self, now: Mono, name: &str, link: u64) {
        self.forwarder.link_up(now, name, LinkId(link));
        let ready = proto::ForwardReply {
            ready: true,
            ..proto::ForwardReply::default()
        };
        self.forwarder.message(now, LinkId(link), &ready);
    }

    fn end(&mut self, now: Mono, link: u64, caller: u64, outcome: JobOutcome) {
        let reply = proto::ForwardReply {
            ends: vec![proto::ForwardedEnd {
                caller,
                outcome: outcome.code(),
            }],
            ready: true,
        };
        self.forwarder.message(now, LinkId(link), &reply);
    }
}

#[test]
fn test_forwarder_hands_a_job_to_the_scheduler_of_its_zone_and_answers() {
    let mut rig = Rig::new();
    assert_eq!(rig.sent(), rig.near);
    rig.end(at(80), 1, 0, JobOutcome::Completed);
    let answer = Action::Answer(CallerId(0), JobOutcome::Completed);
    assert_eq!(rig.act(), vec![answer]);
    assert_eq!(rig.forwarder.load()[..2], [0, 1]);
}

#[test]
fn test_forwarder_sends_the_rest_of_the_patience() {
    let mut rig = Rig::new();
    rig.submit(at(0), 0);
    rig.act();
    let near = rig.near.clone();
    rig.link_up(at(40), &near, 1);
    let [Action::Send(_, forward)] = &rig.act()[..] else {
        panic!("it is sent");
    };
    let job = forward.jobs[0].job.as_ref().expect("a job");
    assert_eq!(job.patience_ms, 4_960);
}

#[test]
fn test_forwarder_goes_on_to_the_next_when_one_can_not_be_reached() {
    let mut rig = Rig::new();
    rig.submit(at(0), 0);
    rig.act();
    let near = rig.near.clone();
    rig.forwarder.connect_failed(at(60), &near);
    let dialled = rig.act();
    assert_matches!(&dialled[..], [Action::Dial(name, _)] if rig.far.contains(name));
}

#[test]
fn test_forwarder_waits_before_it_sends_a_job_again_whose_link_broke() {
    let mut rig = Rig::new();
    rig.sent();
    rig.forwarder.link_down(at(20), LinkId(1));
    rig.forwarder
        .tick(at(20) + Policy::default().partitions.again_broken - Duration::from_millis(1));
    assert_eq!(rig.act(), vec![], "the peers may not have noticed yet");
    rig.forwarder
        .tick(at(20) + Policy::default().partitions.again_broken);
    assert_matches!(&rig.act()[..], [Action::Dial(name, _)] if rig.far.contains(name));
}

#[test]
fn test_forwarder_sends_no_job_again_before_it_may_come_again() {
    let mut rig = Rig::new();
    rig.sent();
    let silent = ms(Policy::default().partitions.silence);
    rig.pass(1, silent - 100);
    rig.submit(at(silent - 100), 1);
    assert_matches!(&rig.act()[..], [Action::Send(LinkId(1), _)]);
    let again = ms(Policy::default().partitions.again_silent);
    rig.pass(silent - 100, 1 + again);
    assert_eq!(rig.act(), vec![], "not even the first may come again");
    rig.forwarder.tick(at(1 + again));
    let actions = rig.act();
    assert_matches!(actions[0], Action::Close(LinkId(1)));
    let Action::Dial(next, _) = actions[1].clone() else {
        panic!("another one is dialled: {actions:?}");
    };
    rig.link_up(at(1 + again), &next, 2);
    let sent = rig.act();
    assert_matches!(&sent[..], [Action::Send(_, f)] if f.jobs.len() == 1, "the second was sent later");
    rig.forwarder.tick(at(silent - 100 + again));
    assert_matches!(&rig.act()[..], [Action::Send(LinkId(2), f)] if f.jobs[0].caller == 1);
}

#[test]
fn test_forwarder_sends_nothing_new_to_one_that_is_silent() {
    let mut rig = Rig::new();
    rig.sent();
    let silent = 1 + ms(Policy::default().partitions.silence);
    rig.pass(1, silent);
    rig.submit(at(silent), 1);
    assert_matches!(&rig.act()[..], [Action::Dial(name, _)] if rig.far.contains(name));
}

#[test]
fn test_forwarder_does_not_call_a_job_refused_that_another_scheduler_may_have_begun() {
    let mut rig = Rig::new();
    rig.sent();
    rig.forwarder.link_down(at(20), LinkId(1));
    rig.forwarder.tick(at(200));
    let [Action::Dial(next, _)] = &rig.act()[..] else {
        panic!("another one is dialled");
    };
    let next = next.clone();
    rig.link_up(at(201), &next, 2);
    rig.act();
    rig.end(at(210), 2, 0, JobOutcome::Refused(400));
    assert_eq!(
        rig.act(),
        vec![Action::Answer(CallerId(0), JobOutcome::GivenUp)]
    );
}

#[test]
fn test_forwarder_refuses_what_nobody_can_be_handed() {
    let mut rig = Rig::new();
    rig.submit(at(0), 0);
    for name in [rig.near.clone(), rig.far[0].clone(), rig.far[1].clone()] {
        rig.forwarder.connect_failed(at(10), &name);
    }
    let actions = rig.act();
    let refused = |a: &Action| matches!(a, Action::Answer(CallerId(0), JobOutcome::Refused(_)));
    assert!(actions.iter().any(refused), "{actions:?}");
    rig.forwarder
        .tick(at(10) + Policy::default().partitions.avoid);
    assert_matches!(
        rig.act()[..],
        [Action::Read(_, Freshness::Newest)],
        "there may be others by now"
    );
}

#[test]
fn test_forwarder_takes_a_job_back_when_its_caller_leaves() {
    let mut rig = Rig::new();
    rig.sent();
    rig.forwarder.caller_left(at(30), CallerId(0));
    assert_matches!(&rig.act()[..], [Action::Send(LinkId(1), f)] if f.left == [0]);
    rig.end(at(31), 1, 0, JobOutcome::Completed);
    assert_eq!(rig.act(), vec![], "nobody waits for it");
}

#[test]
fn test_forwarder_prefers_one_that_is_ready() {
    let mut rig = Rig::new();
    rig.sent();
    let leaving = proto::ForwardReply::default();
    rig.forwarder.message(at(10), LinkId(1), &leaving);
    rig.submit(at(11), 1);
    assert_matches!(&rig.act()[..], [Action::Dial(name, _)] if rig.far.contains(name));
}

#[test]
fn test_forwarder_uses_a_linked_one_while_the_first_is_being_dialled() {
    let mut rig = Rig::new();
    rig.submit(at(0), 0);
    let near = rig.near.clone();
    rig.forwarder.connect_failed(at(10), &near);
    let dialled = rig.act();
    let Some(Action::Dial(far, _)) = dialled.last().cloned() else {
        panic!("another one is dialled");
    };
    rig.link_up(at(11), &far, 2);
    rig.end(at(80), 2, 0, JobOutcome::Completed);
    rig.act();
    let later = at(10) + Policy::default().partitions.avoid;
    rig.submit(later, 1);
    let actions = rig.act();
    assert_matches!(&actions[0], Action::Dial(name, _) if *name == near);
    assert_matches!(&actions[1], Action::Send(LinkId(2), _));
}

#[test]
fn test_forwarder_cancels_where_the_job_is() {
    let mut rig = Rig::new();
    rig.sent();
    let number = rig.job(0).number;
    rig.forwarder.cancel(at(20), CallerId(9), number);
    assert_matches!(&rig.act()[..], [Action::Send(LinkId(1), f)] if f.cancels.len() == 1);
    rig.end(at(22), 1, 9, JobOutcome::Cancelled);
    assert_eq!(
        rig.act(),
        vec![Action::Answer(CallerId(9), JobOutcome::Cancelled)]
    );
}

#[test]
fn test_forwarder_closes_links_that_are_not_used() {
    let mut rig = Rig::new();
    rig.sent();
    rig.end(at(80), 1, 0, JobOutcome::Completed);
    rig.act();
    rig.forwarder
        .tick(at(1) + Policy::default().partitions.idle);
    assert!(rig.act().contains(&Action::Close(LinkId(1))));
    assert_eq!(rig.forwarder.load()[..2], [0, 0]);
}

/// The answer to cancels of jobs that are not known.
fn ends_of(forward: &proto::Forward) -> proto::ForwardReply {
    let end = |c: &proto::ForwardedCancel| proto::ForwardedEnd {
        caller: c.caller,
        outcome: JobOutcome::Unknown.code(),
    };
    proto::ForwardReply {
        ends: forward.cancels.iter().map(end).collect(),
        ready: true,
    }
}

/// What an entry dials and sends for the same jobs, in a fleet of `scale` times 184 entries.
fn cost(scale: usize) -> (usize, usize) {
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
        let scheduled = |(i, name): (usize, &String)| SchedulerAddress {
            name: name.clone(),
            address: name.clone(),
            zone: zone(i),
        };
        let members = members.map(scheduled).collect();
        forwarder.set_schedulers(at(0), partition, members, Freshness::Newest);
    }
    let mut dialled = BTreeSet::new();
    let mut frames = 0;
    for n in 0..1000 {
        let number = JobNumber(n);
        if partitions.of_job(number) == forwarder.own() {
            continue;
        }
        forwarder.cancel(at(n), CallerId(n), number);
        for action in forwarder.take_actions() {
            match action {
                Action::Dial(name, _) => {
                    let link = LinkId(dialled.len() as u64);
                    forwarder.link_up(at(n), &name, link);
                    forwarder.message(at(n), link, &ends_of(&proto::Forward::default()));
                    dialled.insert(name);
                }
                Action::Send(link, forward) => {
                    frames += 1;
                    forwarder.message(at(n), link, &ends_of(&forward));
                }
                _ => {}
            }
        }
    }
    (dialled.len(), frames + forwarder.take_actions().len())
}

/// Messages go by the jobs that are handed in, links by the partitions: no process is linked with all entries.
#[test]
fn test_forwarder_sends_no_more_when_the_fleet_doubles() {
    let (links, frames) = cost(1);
    let (more_links, more_frames) = cost(2);
    assert!(
        frames <= 1000 && more_frames <= 1000,
        "{frames}, {more_frames}"
    );
    assert_eq!((links, more_links), (3, 7), "one a partition");
}

/// Whoever has just started has no configuration yet and refuses: what waits for its link goes elsewhere.
#[test]
fn test_forwarder_sends_nothing_to_one_that_says_at_once_that_it_is_not_ready() {
    let mut rig = Rig::new();
    rig.submit(at(0), 0);
    rig.act();
    let near = rig.near.clone();
    rig.forwarder.link_up(at(1), &near, LinkId(1));
    assert_eq!(rig.act(), vec![], "it has not said whether it is ready");
    let not_ready = proto::ForwardReply::default();
    rig.forwarder.message(at(2), LinkId(1), &not_ready);
    assert_matches!(&rig.act()[..], [Action::Dial(name, _)] if rig.far.contains(name));
}

/// After a pause of this process others seem to have been silent that only were not listened to.
#[test]
fn test_forwarder_gives_up_no_link_for_a_pause_of_its_own() {
    let mut rig = Rig::new();
    rig.sent();
    rig.forwarder.tick(at(20));
    rig.forwarder.tick(at(2_020));
    assert_eq!(rig.act(), vec![]);
    rig.end(at(2_021), 1, 0, JobOutcome::Completed);
    let answer = Action::Answer(CallerId(0), JobOutcome::Completed);
    assert_eq!(
        rig.act(),
        vec![answer],
        "what was ready meanwhile is delivered"
    );
}

/// A list that may be old, from before the schedulers had registered, takes nobody away who can be reached.
#[test]
fn test_forwarder_keeps_whom_it_can_reach_when_an_old_list_does_not_name_them() {
    let mut rig = Rig::new();
    let far = rig.far[0].clone();
    rig.forwarder.connect_failed(at(10), &far);
    let other = rig.other;
    rig.forwarder
        .set_schedulers(at(20), other, Vec::new(), Freshness::Recent);
    assert_eq!(rig.forwarder.schedulers_beside(&far).len(), 2);
    rig.forwarder
        .set_schedulers(at(30), other, Vec::new(), Freshness::Newest);
    assert_eq!(rig.forwarder.schedulers_beside(&far).len(), 0);
}
