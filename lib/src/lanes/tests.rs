//! Tests of `lanes`.

use super::*;
use crate::job_id::JobId;

fn name(team: &str) -> LaneName {
    LaneName {
        team: Arc::from(team),
        service: Arc::from("s"),
    }
}

fn task(task: u32) -> TaskKey {
    TaskKey {
        job: JobId::mint(1, &[0; 10]),
        task,
    }
}

#[test]
fn test_lanes_weights() {
    let mut lanes = Lanes::default();
    for i in 0..90 {
        lanes.push(&name("a"), task(i));
        lanes.push(&name("b"), task(i));
    }
    let mut counts = [0, 0];
    for _ in 0..60 {
        let first = lanes.order().remove(0);
        let weight = if *first.team == *"a" { 2 } else { 1 };
        counts[usize::from(weight == 1)] += 1;
        lanes.pop(&first, weight);
    }
    assert_eq!(counts, [40, 20]);
}

#[test]
fn test_lanes_idle_team_credit() {
    let mut lanes = Lanes::default();
    for i in 0..50 {
        lanes.push(&name("a"), task(i));
        lanes.pop(&name("a"), 1);
    }
    lanes.push(&name("a"), task(0));
    lanes.push(&name("b"), task(0));
    lanes.push(&name("b"), task(1));
    lanes.pop(&name("b"), 1);
    lanes.pop(&name("b"), 1);
    assert_eq!(lanes.order()[0], name("a"));
    assert_eq!((lanes.len(), lanes.waiting("b")), (1, 0));
}
