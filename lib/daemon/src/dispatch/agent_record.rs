//! The record that an agent keeps in the store for its next incarnation: the last heartbeat of its worker.
//!
//! A worker sends a heartbeat only every second or two. An agent that was killed and started again uses the
//! record to ask the worker at once for its runs, under the recorded incarnation of the worker. If that
//! incarnation still runs, the agent knows its runs at once; new tasks start only after the next heartbeat
//! has reported the capacity.

use std::rc::Rc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::event::Kind;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::dispatch::executor_host::ExecutorHost;
use crate::dispatch::executor_host::Worker;
use crate::dispatch::follow;
use crate::dispatch::store::KeyStore;

/// The value of an agent's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// The worker's last heartbeat; none if there is no worker.
    pub worker: Option<WorkerHeartbeat>,
}

impl AgentRecord {
    /// Parses a record from a value of the store.
    ///
    /// # Errors
    ///
    /// When the value is not such a record.
    pub fn parse(value: &[u8]) -> Result<AgentRecord, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// Returns the record as it is stored.
    pub fn bytes(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        json.expect("texts and numbers have a JSON form").into()
    }
}

/// Restores the worker from the record of the agent's earlier incarnation, then keeps the agent's key
/// registered until `leaving` is cancelled and writes each change of the worker's heartbeat to it.
pub async fn maintain_record<W: Worker, S: KeyStore>(
    host: ExecutorHost<W>,
    store: Rc<S>,
    key: String,
    leaving: CancellationToken,
) {
    tokio::select! {
        item = follow::read_with_retry(&*store, &key) => {
            if let Some(item) = item {
                restore_worker(&host, &item.value);
            }
        }
        () = leaving.cancelled() => return,
    }
    let saved_heartbeat = host.saved_heartbeat();
    let (sender, value) = watch::channel(record(&saved_heartbeat.borrow()));
    let writing = actix_rt::spawn(write_changes(saved_heartbeat, sender));
    follow::keep_registered(store, key, value, leaving).await;
    writing.abort();
}

fn record(worker: &Option<WorkerHeartbeat>) -> Bytes {
    let worker = worker.clone();
    AgentRecord { worker }.bytes()
}

fn restore_worker<W: Worker>(host: &ExecutorHost<W>, value: &[u8]) {
    match AgentRecord::parse(value) {
        Ok(AgentRecord {
            worker: Some(heartbeat),
        }) => host.with(|e, now| e.restore_worker(now, heartbeat)),
        Ok(AgentRecord { worker: None }) => {}
        Err(error) => host.log(Kind::BadRecord, error.to_string()),
    }
}

/// Turns each change of the worker's heartbeat into a new value for the key.
async fn write_changes(
    mut saved_heartbeat: watch::Receiver<Option<WorkerHeartbeat>>,
    sender: watch::Sender<Bytes>,
) {
    while saved_heartbeat.changed().await.is_ok() {
        sender.send_replace(record(&saved_heartbeat.borrow_and_update()));
    }
}
