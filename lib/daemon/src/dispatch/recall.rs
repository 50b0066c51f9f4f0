//! What an agent keeps in the store for its next life: what its worker says of itself. A worker
//! speaks up every second or two; an agent that was killed and started again asks it at once
//! under the life that stands in the store. If the worker is still in that life it is known at once
//! what runs there; tasks start once the worker has said again what room it has.

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
    /// What the worker last said of itself; none if there is no worker.
    pub worker: Option<WorkerHeartbeat>,
}

impl AgentRecord {
    /// Reads a value of the store.
    ///
    /// # Errors
    ///
    /// When it is no such record.
    pub fn parse(value: &[u8]) -> Result<AgentRecord, serde_json::Error> {
        serde_json::from_slice(value)
    }

    /// As it stands in the store.
    pub fn bytes(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        json.expect("texts and numbers have a JSON form").into()
    }
}

/// Keeps an agent's key until `leaving` is cancelled, after having read what its earlier life has
/// left there, and writes it anew when the worker says something new.
pub async fn keep_recorded<W: Worker, S: KeyStore>(
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
    let kept = host.kept();
    let (told, value) = watch::channel(record(&kept.borrow()));
    let writing = actix_rt::spawn(pass_on(kept, told));
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

/// Passes on what the worker says of itself, as it changes.
async fn pass_on(mut kept: watch::Receiver<Option<WorkerHeartbeat>>, told: watch::Sender<Bytes>) {
    while kept.changed().await.is_ok() {
        told.send_replace(record(&kept.borrow_and_update()));
    }
}
