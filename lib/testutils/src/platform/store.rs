//! A stand-in for the platform's key-value store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stub_server;
use crate::stub_server::StubServer;

/// How often a watch that waits looks for changes.
const POLL: Duration = Duration::from_millis(5);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It serves.
    #[default]
    Well,
    /// It turns every call away with 503.
    Busy,
    /// It does what it is told and does not answer.
    AnswersLost,
}

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Contents {
    items: BTreeMap<String, Stored>,
    history: Vec<(u64, String, Option<Stored>)>,
    compacted: u64,
    revision: u64,
    next_lease: u64,
    leases: Vec<u64>,
    mood: Mood,
    calls: u64,
}

/// The store; clones are the same one.
#[derive(Clone, Default)]
pub struct PlatformStoreState {
    contents: Arc<Mutex<Contents>>,
}

impl Contents {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |s| s.made);
        let stored = value.map(|(value, lease)| Stored {
            value,
            revision: self.revision,
            made,
            lease,
        });
        match &stored {
            Some(stored) => self.items.insert(key.to_owned(), stored.clone()),
            None => self.items.remove(key),
        };
        self.history.push((self.revision, key.to_owned(), stored));
    }
}

impl PlatformStoreState {
    /// Writes a key as the operator does.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn operator_writes(&self, key: &str, value: &Value) {
        let text = BASE64_STANDARD.encode(value.to_string());
        self.contents.lock().unwrap().write(key, Some((text, 0)));
    }

    /// Takes a key away as the operator does.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn operator_removes(&self, key: &str) {
        self.contents.lock().unwrap().write(key, None);
    }

    /// Writes a key as somebody else does: its value may be no base64.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn stranger_writes(&self, key: &str, value: &str) {
        let value = value.to_owned();
        self.contents.lock().unwrap().write(key, Some((value, 0)));
    }

    /// Sets how the store behaves.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn set_mood(&self, mood: Mood) {
        self.contents.lock().unwrap().mood = mood;
    }

    /// Forgets the history, so that watches from before fail.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn compact(&self) {
        let mut contents = self.contents.lock().unwrap();
        contents.compacted = contents.revision;
        contents.history.clear();
    }

    /// Takes away all keys that are under a lease, while the leases live.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn revoke_keys(&self) {
        let mut contents = self.contents.lock().unwrap();
        let leased = contents.items.iter().filter(|(_, s)| s.lease != 0);
        let leased: Vec<String> = leased.map(|(k, _)| k.clone()).collect();
        for key in leased {
            contents.write(&key, None);
        }
    }

    /// Keys that begin with a prefix.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = self.contents.lock().unwrap();
        let keys = contents.items.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }

    /// How many calls were made.
    ///
    /// # Panics
    ///
    /// When another thread panicked while it held the store.
    pub fn calls(&self) -> u64 {
        self.contents.lock().unwrap().calls
    }
}

/// Starts the stand-in on a thread of its own.
pub fn start(listen: SocketAddr, state: PlatformStoreState) -> StubServer {
    stub_server::run(listen, move |listener| {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .route("/-/kv-key", web::get().to(key))
                .route("/-/kv-range", web::get().to(range))
                .route("/-/kv-watch", web::get().to(watch))
                .route("/-/kv-txn", web::post().to(change))
                .route("/-/kv-lease", web::post().to(lease))
                .route("/-/kv-keep/{id}", web::post().to(keep))
                .route("/-/kv-lease-end/{id}", web::delete().to(end))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

type State = web::Data<PlatformStoreState>;

/// Counts a call; gives the answer if the store is not well.
async fn enter(state: &State) -> Option<HttpResponse> {
    let mood = {
        let mut contents = state.contents.lock().unwrap();
        contents.calls += 1;
        contents.mood
    };
    (mood == Mood::Busy).then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Gives an answer, unless answers are lost.
async fn answer(state: &State, response: HttpResponse) -> HttpResponse {
    let lost = state.contents.lock().unwrap().mood == Mood::AnswersLost;
    if lost {
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    response
}

fn row(key: &str, stored: &Stored, at: u64) -> Value {
    json!({
        "privateKey": key,
        "value": stored.value,
        "revision": stored.revision,
        "made": stored.made,
        "lease": stored.lease,
        "at": at,
    })
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyQuery {
    private_key: String,
}

async fn key(state: State, query: web::Query<KeyQuery>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let response = {
        let contents = state.contents.lock().unwrap();
        match contents.items.get(&query.private_key) {
            Some(s) => HttpResponse::Ok().json(row(&query.private_key, s, contents.revision)),
            None => HttpResponse::NotFound().finish(),
        }
    };
    answer(&state, response).await
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeQuery {
    path_prefix: String,
}

async fn range(state: State, query: web::Query<RangeQuery>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let response = {
        let contents = state.contents.lock().unwrap();
        let at = contents.revision;
        let found = contents.items.iter();
        let found = found.filter(|(k, _)| k.starts_with(&query.path_prefix));
        let items: Vec<Value> = found.map(|(k, s)| row(k, s, at)).collect();
        HttpResponse::Ok().json(json!({"items": items, "more": false, "at": at}))
    };
    answer(&state, response).await
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    path_prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch(state: State, query: web::Query<WatchQuery>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let contents = state.contents.lock().unwrap();
            if contents.mood == Mood::Busy {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if query.after < contents.compacted {
                return HttpResponse::Gone().finish();
            }
            let changes = contents.history.iter();
            let changes =
                changes.filter(|(r, k, _)| *r > query.after && k.starts_with(&query.path_prefix));
            let events: Vec<Value> = changes.map(event).collect();
            if !events.is_empty() || tokio::time::Instant::now() >= end {
                let at = contents.revision;
                return HttpResponse::Ok().json(json!({"events": events, "at": at}));
            }
        }
        tokio::time::sleep(POLL).await;
    }
}

fn event(change: &(u64, String, Option<Stored>)) -> Value {
    let (revision, key, stored) = change;
    match stored {
        Some(stored) => row(key, stored, *revision),
        None => json!({"privateKey": key, "revision": revision, "gone": true}),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Change {
    #[serde(default)]
    expected_rev: Vec<Value>,
    #[serde(default)]
    put: Vec<Value>,
    #[serde(default)]
    remove: Vec<String>,
}

async fn change(state: State, change: web::Json<Change>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let response = carry_out(&state, &change);
    answer(&state, response).await
}

fn carry_out(state: &State, change: &Change) -> HttpResponse {
    let mut contents = state.contents.lock().unwrap();
    for expected in &change.expected_rev {
        let key = expected["privateKey"].as_str().unwrap_or_default();
        let found = contents.items.get(key).map_or(0, |s| s.revision);
        if expected["revision"].as_u64() != Some(found) {
            return HttpResponse::PreconditionFailed().json(json!({"items": []}));
        }
    }
    for put in &change.put {
        let lease = put["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !contents.leases.contains(&lease) {
            return HttpResponse::NotFound().finish();
        }
        let key = put["privateKey"].as_str().unwrap_or_default();
        let value = put["value"].as_str().unwrap_or_default().to_owned();
        contents.write(key, Some((value, lease)));
    }
    for key in &change.remove {
        contents.write(key, None);
    }
    HttpResponse::Ok().json(json!({"revision": contents.revision}))
}

async fn lease(state: State, body: web::Json<Value>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let response = {
        let mut contents = state.contents.lock().unwrap();
        contents.next_lease += 1;
        let lease = contents.next_lease;
        contents.leases.push(lease);
        HttpResponse::Ok().json(json!({"lease": lease, "ttl_ms": body["ttl_ms"]}))
    };
    answer(&state, response).await
}

async fn keep(state: State, id: web::Path<u64>) -> HttpResponse {
    if let Some(response) = enter(&state).await {
        return response;
    }
    let known = state.contents.lock().unwrap().leases.contains(&id);
    let response = if known {
        HttpResponse::Ok().json(json!({"ttl_ms": 10_000}))
    } else {
        HttpResponse::NotFound().finish()
    };
    answer(&state, response).await
}

async fn end(state: State, id: web::Path<u64>) -> HttpResponse {
    let mut contents = state.contents.lock().unwrap();
    contents.leases.retain(|l| l != &*id);
    let owned = contents.items.iter().filter(|(_, s)| s.lease == *id);
    let owned: Vec<String> = owned.map(|(k, _)| k.clone()).collect();
    for key in owned {
        contents.write(&key, None);
    }
    HttpResponse::Ok().finish()
}
