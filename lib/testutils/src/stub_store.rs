//! A stub of the platform's store and of its list of boxes, with Consul's HTTP API: keys and values with
//! check-and-set and blocking queries, and the health of services. Tests set the leaving boxes and read the
//! number of calls under `/stub`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::HttpServer;
use actix_web::web;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use stackcourse_daemon::memory_store::MemoryStore;

use crate::stub_server;
use crate::stub_server::StubServer;

/// Upper bound of the wait of a blocking query.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The maximum size of a value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Number of calls. A blocking query counts as one read.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads, blocking queries included.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
}

#[derive(Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Clone)]
struct State {
    store: MemoryStore,
    counters: Arc<Counters>,
    leaving: Arc<Mutex<Vec<String>>>,
}

#[derive(Deserialize)]
struct Query {
    index: Option<u64>,
    wait: Option<String>,
    cas: Option<u64>,
}

/// Starts the stub on its own thread.
pub fn start(listen: SocketAddr) -> StubServer {
    let state = State {
        store: MemoryStore::default(),
        counters: Arc::default(),
        leaving: Arc::default(),
    };
    stub_server::run(listen, move |listener| {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(web::PayloadConfig::new(MAX_VALUE_BYTES))
                .route("/v1/kv/{key:.*}", web::get().to(get))
                .route("/v1/kv/{key:.*}", web::put().to(put))
                .route("/v1/kv/{key:.*}", web::delete().to(delete))
                .route("/v1/health/service/{name}", web::get().to(health))
                .route("/stub/leaving", web::put().to(put_leaving))
                .route("/stub/calls", web::get().to(get_calls))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

/// Returns how long a blocking query waits at most: the given number of seconds, or 60 s by default.
fn requested_wait(query: &Query) -> Duration {
    let text = query.wait.as_deref().unwrap_or("60s");
    let seconds = text.trim_end_matches('s').parse().unwrap_or(60);
    Duration::from_secs(seconds).min(MAX_WAIT)
}

async fn get(
    state: web::Data<State>,
    key: web::Path<String>,
    query: web::Query<Query>,
) -> HttpResponse {
    state.counters.reads.fetch_add(1, Ordering::Relaxed);
    if let Some(seen) = query.index.filter(|i| *i > 0) {
        wait_for_change(&state.store, &key, seen, requested_wait(&query)).await;
    }
    let (value, index) = state.store.read(&key);
    match value {
        Some(stored) => with_index(HttpResponse::Ok(), stored.index).json(json!([{
            "Key": *key,
            "ModifyIndex": stored.index,
            "Value": BASE64_STANDARD.encode(&stored.value),
        }])),
        None => with_index(HttpResponse::NotFound(), index.max(1)).finish(),
    }
}

fn with_index(mut response: HttpResponseBuilder, index: u64) -> HttpResponseBuilder {
    response.insert_header(("X-Consul-Index", index.to_string()));
    response
}

/// Waits until the key has a value with an index above `seen`, or until `wait` has passed.
async fn wait_for_change(store: &MemoryStore, key: &str, seen: u64, wait: Duration) {
    let end = tokio::time::Instant::now() + wait;
    loop {
        let (value, index) = store.read(key);
        let now = tokio::time::Instant::now();
        if value.is_some_and(|v| v.index > seen) || now >= end {
            return;
        }
        store.wait(index, end - now).await;
    }
}

async fn put(
    state: web::Data<State>,
    key: web::Path<String>,
    query: web::Query<Query>,
    body: Bytes,
) -> HttpResponse {
    state.counters.writes.fetch_add(1, Ordering::Relaxed);
    let index = match query.cas {
        Some(index) => index,
        None => state.store.read(&key).0.map_or(0, |s| s.index),
    };
    let done = state.store.write(&key, index, body);
    HttpResponse::Ok().body(done.to_string())
}

async fn delete(state: web::Data<State>, key: web::Path<String>) -> HttpResponse {
    state.counters.writes.fetch_add(1, Ordering::Relaxed);
    state.store.erase(&key);
    HttpResponse::Ok().body("true")
}

/// Lists the leaving boxes as nodes in maintenance. A blocking query returns once the list changes.
async fn health(state: web::Data<State>, query: web::Query<Query>) -> HttpResponse {
    state.counters.reads.fetch_add(1, Ordering::Relaxed);
    let before = state.leaving.lock().expect("no panic while held").clone();
    let end = tokio::time::Instant::now() + requested_wait(&query);
    let is_blocking = query.index.is_some_and(|i| i > 0);
    while is_blocking && tokio::time::Instant::now() < end {
        if *state.leaving.lock().expect("no panic while held") != before {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let leaving = state.leaving.lock().expect("no panic while held").clone();
    let list: Vec<serde_json::Value> = leaving
        .iter()
        .map(|name| {
            json!({
                "Service": {"ID": name},
                "Checks": [{"CheckID": "_node_maintenance", "Status": "critical"}],
            })
        })
        .collect();
    with_index(HttpResponse::Ok(), 1).json(list)
}

async fn put_leaving(state: web::Data<State>, names: web::Json<Vec<String>>) -> HttpResponse {
    *state.leaving.lock().expect("no panic while held") = names.into_inner();
    HttpResponse::Ok().finish()
}

async fn get_calls(state: web::Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(StoreCalls {
        reads: state.counters.reads.load(Ordering::Relaxed),
        writes: state.counters.writes.load(Ordering::Relaxed),
    })
}
