//! Tests of `start_record`.

use super::*;
use crate::clock::Mono;

const HORIZON: Duration = Duration::from_secs(900);
const MARGIN: Duration = Duration::from_secs(1);

fn now(ms: u64) -> Now {
    Now::steady(Mono(ms * 1000), 1_000_000 + ms)
}

fn ask(task: u32, epoch: u64, attempt: u64) -> StartRequest {
    StartRequest {
        key: TaskKey {
            job: JobId::mint(1_000_000, &[1; 10]),
            task,
        },
        attempt,
        shard: ShardId(3),
        epoch: Epoch(epoch),
        digest: 9,
        tasks: 4,
    }
}

#[test]
fn test_start_record_refuses_second_start() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert_eq!(record.start(now(0), &ask(0, 1, 1), "s", "t"), Ok(()));
    let again = record.start(now(1), &ask(0, 2, 2), "s", "t");
    assert_eq!(again, Err(StartError::Started));
}

#[test]
fn test_start_record_refuses_older_epoch() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert!(record.raise_epoch(ShardId(3), Epoch(5)));
    let old = record.start(now(0), &ask(0, 4, 1), "s", "t");
    assert_eq!(old, Err(StartError::Fenced));
    assert!(!record.raise_epoch(ShardId(3), Epoch(4)));
}

#[test]
fn test_start_record_keeps_promise_to_give_back() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert_eq!(record.give_back(now(0), &ask(0, 1, 1)), Ok(()));
    let old = record.start(now(0), &ask(0, 1, 1), "s", "t");
    assert_eq!(old, Err(StartError::GivenBack));
    assert_eq!(record.start(now(0), &ask(0, 1, 2), "s", "t"), Ok(()));
    let late = record.give_back(now(0), &ask(0, 1, 2));
    assert_eq!(late, Err(StartError::Started));
}

#[test]
fn test_start_record_forgets_only_what_it_then_refuses() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let last = now(millis(HORIZON + MARGIN) - 1);
    let past = now(millis(HORIZON));
    let end = now(millis(HORIZON + MARGIN));
    record.start(now(0), &ask(0, 1, 1), "s", "t").unwrap();
    record.expire(last);
    assert_eq!(record.size().0, 1);
    let other = record.start(past, &ask(1, 1, 1), "s", "t");
    assert_eq!(other, Err(StartError::Expired));
    record.expire(end);
    assert_eq!(record.size(), (0, 0, 0));
    let again = record.start(past, &ask(0, 1, 1), "s", "t");
    assert_eq!(again, Err(StartError::Expired));
}

/// Guards against a second start where an agent's time is ahead of its fleet's.
#[test]
fn test_start_record_of_an_agent_ahead_remembers_for_a_horizon_from_the_start() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let ahead = 600_000;
    let last = now(ahead + millis(HORIZON + MARGIN) - 1);
    record.start(now(ahead), &ask(0, 1, 1), "s", "t").unwrap();
    record.expire(last);
    assert_eq!(record.size().0, 1);
    record.expire(now(ahead + millis(HORIZON + MARGIN)));
    assert_eq!(record.size(), (0, 0, 0));
}

#[test]
fn test_start_record_remembers_a_job_from_the_future_until_all_refuse_it() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let ahead = 600_000;
    let behind = Now::steady(Mono(0), 1_000_000 - ahead);
    record.start(behind, &ask(0, 1, 1), "s", "t").unwrap();
    record.expire(now(ahead + millis(HORIZON + MARGIN) - 1));
    assert_eq!(record.size().0, 1);
    record.expire(now(ahead + millis(HORIZON + MARGIN)));
    assert_eq!(record.size(), (0, 0, 0));
}

#[test]
fn test_start_record_takes_back_what_never_reached_the_back_end() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    record.start(now(0), &ask(0, 1, 1), "s", "t").unwrap();
    record.unstart(ask(0, 1, 1).key);
    let same = record.start(now(0), &ask(0, 1, 1), "s", "t");
    assert_eq!(same, Err(StartError::GivenBack));
    assert_eq!(record.start(now(0), &ask(0, 1, 2), "s", "t"), Ok(()));
}

#[test]
fn test_start_record_drops_oldest_answers_first() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 10);
    for task in 0..3 {
        record.start(now(0), &ask(task, 1, 1), "s", "t").unwrap();
        let body = Bytes::from_static(b"12345");
        record.end(ask(task, 1, 1).key, Progress::Answered(body));
    }
    let first = record.progress(ask(0, 1, 1).key);
    assert_eq!(first, Some(&Progress::Dropped));
    assert_eq!(record.size(), (1, 3, 10));
    assert_eq!(record.evidence(&HashSet::from([ShardId(3)])).len(), 3);
}
