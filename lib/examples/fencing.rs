//! Fencing: a start record and a grant keep a paused owner from starting tasks late.
//!
//! `cargo run -p stackcourse-lib --example fencing`

use std::time::Duration;

use stackcourse_lib::clock::Mono;
use stackcourse_lib::clock::Now;
use stackcourse_lib::grants::Grant;
use stackcourse_lib::job_id::JobId;
use stackcourse_lib::job_id::TaskKey;
use stackcourse_lib::shard::Epoch;
use stackcourse_lib::shard::ShardId;
use stackcourse_lib::start_record::StartError;
use stackcourse_lib::start_record::StartRecord;
use stackcourse_lib::start_record::StartRequest;

fn main() {
    let horizon = Duration::from_secs(900);
    let margin = Duration::from_secs(1);
    let mut record = StartRecord::new(horizon, margin, 1 << 20);
    let now = Now::steady(Mono(1_000_000), 1_800_000_000_000);
    let ask = |epoch, attempt| StartRequest {
        key: TaskKey {
            job: JobId::mint(now.wall_ms, &[7; 10]),
            task: 0,
        },
        attempt,
        shard: ShardId(3),
        epoch: Epoch(epoch),
        digest: 1,
        tasks: 1,
    };

    // The owner of epoch 1 may start tasks until two seconds after the agent requested the grant.
    let mut grant = Grant::default();
    let seq = grant.ask(now.mono);
    grant.granted(seq, 1, Duration::from_secs(2));
    assert!(grant.permits(now.mono, 1));
    assert!(!grant.permits(now.mono + Duration::from_secs(2), 1));
    println!("after two seconds the owner of epoch 1 starts nothing here");

    // A new owner raises the shard's epoch. Starts by the old owner are refused from now on.
    record.raise_epoch(ShardId(3), Epoch(2));
    assert_eq!(
        record.start(now, &ask(1, 1), "s", "t"),
        Err(StartError::Fenced)
    );
    assert_eq!(record.start(now, &ask(2, 2), "s", "t"), Ok(()));
    assert_eq!(
        record.start(now, &ask(3, 3), "s", "t"),
        Err(StartError::Started)
    );
    println!("epoch 1 is fenced, epoch 2 starts the task, and no later epoch starts it again");
}
