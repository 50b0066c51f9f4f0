//! Tests of which starts the record refuses, and of what it forgets and when.

use super::*;
use crate::clock::Mono;

const HORIZON: Duration = Duration::from_secs(900);
const MARGIN: Duration = Duration::from_secs(1);

fn now(ms: u64) -> Now {
    Now::steady(Mono(ms * 1000), 1_000_000 + ms)
}

fn request(task: u32, epoch: u64, attempt: u64) -> StartRequest {
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
fn test_start_record_second_start_refused() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert_eq!(record.start(now(0), &request(0, 1, 1), "s", "t"), Ok(()));
    let again = record.start(now(1), &request(0, 2, 2), "s", "t");
    assert_eq!(again, Err(StartError::Started));
}

#[test]
fn test_start_record_older_epoch_refused() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert!(record.raise_epoch(ShardId(3), Epoch(5)));
    let old = record.start(now(0), &request(0, 4, 1), "s", "t");
    assert_eq!(old, Err(StartError::Fenced));
    assert!(!record.raise_epoch(ShardId(3), Epoch(4)));
}

#[test]
fn test_start_record_give_back_is_final() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    assert_eq!(record.give_back(now(0), &request(0, 1, 1)), Ok(()));
    let old = record.start(now(0), &request(0, 1, 1), "s", "t");
    assert_eq!(old, Err(StartError::GivenBack));
    assert_eq!(record.start(now(0), &request(0, 1, 2), "s", "t"), Ok(()));
    let late = record.give_back(now(0), &request(0, 1, 2));
    assert_eq!(late, Err(StartError::Started));
}

#[test]
fn test_start_record_forgotten_job_refused() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let last = now(millis(HORIZON + MARGIN) - 1);
    let past = now(millis(HORIZON));
    let end = now(millis(HORIZON + MARGIN));
    record.start(now(0), &request(0, 1, 1), "s", "t").unwrap();
    record.expire(last);
    assert_eq!(record.size().0, 1);
    let other = record.start(past, &request(1, 1, 1), "s", "t");
    assert_eq!(other, Err(StartError::Expired));
    record.expire(end);
    assert_eq!(record.size(), (0, 0, 0));
    let again = record.start(past, &request(0, 1, 1), "s", "t");
    assert_eq!(again, Err(StartError::Expired));
}

/// Guards against a second start at an agent whose time is ahead of its fleet's: if it counted the
/// horizon from the mint time, it would forget the job while other processes still accept it.
#[test]
fn test_start_record_agent_clock_ahead() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let ahead = 600_000;
    let last = now(ahead + millis(HORIZON + MARGIN) - 1);
    record
        .start(now(ahead), &request(0, 1, 1), "s", "t")
        .unwrap();
    record.expire(last);
    assert_eq!(record.size().0, 1);
    record.expire(now(ahead + millis(HORIZON + MARGIN)));
    assert_eq!(record.size(), (0, 0, 0));
}

#[test]
fn test_start_record_job_minted_ahead() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    let ahead = 600_000;
    let behind = Now::steady(Mono(0), 1_000_000 - ahead);
    record.start(behind, &request(0, 1, 1), "s", "t").unwrap();
    record.expire(now(ahead + millis(HORIZON + MARGIN) - 1));
    assert_eq!(record.size().0, 1);
    record.expire(now(ahead + millis(HORIZON + MARGIN)));
    assert_eq!(record.size(), (0, 0, 0));
}

#[test]
fn test_start_record_undo_start() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 100);
    record.start(now(0), &request(0, 1, 1), "s", "t").unwrap();
    record.undo_start(request(0, 1, 1).key);
    let same = record.start(now(0), &request(0, 1, 1), "s", "t");
    assert_eq!(same, Err(StartError::GivenBack));
    assert_eq!(record.start(now(0), &request(0, 1, 2), "s", "t"), Ok(()));
}

#[test]
fn test_start_record_oldest_answers_dropped() {
    let mut record = StartRecord::new(HORIZON, MARGIN, 10);
    for task in 0..3 {
        record
            .start(now(0), &request(task, 1, 1), "s", "t")
            .unwrap();
        let body = Bytes::from_static(b"12345");
        record.end(request(task, 1, 1).key, Progress::Answered(body));
    }
    let first = record.progress(request(0, 1, 1).key);
    assert_eq!(first, Some(&Progress::Dropped));
    assert_eq!(record.size(), (1, 3, 10));
    assert_eq!(record.started_tasks(&HashSet::from([ShardId(3)])).len(), 3);
}
