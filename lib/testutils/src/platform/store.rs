//! A simulated key-value store of the platform: keys with revisions, transactions, leases and watches over the
//! published HTTP API. Leases never expire; tests remove leased keys with [`PlatformStoreState::revoke_keys`].

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

/// How often a pending watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The faults that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFaults {
    /// The store responds to every request.
    #[default]
    Off,
    /// The store rejects every request but the end of a lease with 503.
    Unavailable,
    /// The store handles a request, but holds the response back for 5 s, longer than clients wait. Watches are
    /// exempt.
    ResponsesLost,
}

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    revision: u64,
    created_revision: u64,
    lease: u64,
    /// The text that stands for the whole item in answers, which need not be valid JSON; none for that of a
    /// well-formed item.
    row: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Contents {
    items: BTreeMap<String, Stored>,
    history: Vec<(u64, String, Option<Stored>)>,
    compacted: u64,
    revision: u64,
    next_lease: u64,
    leases: Vec<u64>,
    faults: StoreFaults,
    calls: u64,
}

/// The contents of a store; clones share them.
#[derive(Clone, Default)]
pub struct PlatformStoreState {
    contents: Arc<Mutex<Contents>>,
}

impl Contents {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        let created_revision = self
            .items
            .get(key)
            .map_or(self.revision + 1, |s| s.created_revision);
        let stored = value.map(|(value, lease)| Stored {
            value,
            revision: self.revision + 1,
            created_revision,
            lease,
            row: None,
        });
        self.record(key, stored);
    }

    /// Writes an item that answers show as this text.
    fn write_row(&mut self, key: &str, row: &[u8]) {
        let revision = self.revision + 1;
        let stored = Stored {
            value: String::new(),
            revision,
            created_revision: revision,
            lease: 0,
            row: Some(row.to_owned()),
        };
        self.record(key, Some(stored));
    }

    fn record(&mut self, key: &str, stored: Option<Stored>) {
        self.revision += 1;
        match &stored {
            Some(stored) => self.items.insert(key.to_owned(), stored.clone()),
            None => self.items.remove(key),
        };
        self.history.push((self.revision, key.to_owned(), stored));
    }
}

impl PlatformStoreState {
    /// Writes a key as the operator does, with its value in base64.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn write_as_operator(&self, key: &str, value: &Value) {
        let text = BASE64_STANDARD.encode(value.to_string());
        self.contents.lock().unwrap().write(key, Some((text, 0)));
    }

    /// Removes a key as the operator does.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn remove_as_operator(&self, key: &str) {
        self.contents.lock().unwrap().write(key, None);
    }

    /// Writes a value as it is, which need not be base64.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn write_raw(&self, key: &str, value: &str) {
        let value = value.to_owned();
        self.contents.lock().unwrap().write(key, Some((value, 0)));
    }

    /// Writes an item that answers show as this text, in place of a well-formed one. Its brackets and quotes
    /// must be balanced.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn write_row(&self, key: &str, row: &[u8]) {
        self.contents.lock().unwrap().write_row(key, row);
    }

    /// Sets the faults that the store simulates.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.contents.lock().unwrap().faults = faults;
    }

    /// Discards the history, so that watches from an earlier revision fail.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn compact(&self) {
        let mut contents = self.contents.lock().unwrap();
        contents.compacted = contents.revision;
        contents.history.clear();
    }

    /// Removes all keys that have a lease. The leases stay valid.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn revoke_keys(&self) {
        let mut contents = self.contents.lock().unwrap();
        let leased = contents.items.iter().filter(|(_, s)| s.lease != 0);
        let leased: Vec<String> = leased.map(|(k, _)| k.clone()).collect();
        for key in leased {
            contents.write(&key, None);
        }
    }

    /// Returns the keys that begin with a prefix.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = self.contents.lock().unwrap();
        let keys = contents.items.keys().filter(|k| k.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the number of requests, those that end a lease excepted.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock on the contents.
    pub fn calls(&self) -> u64 {
        self.contents.lock().unwrap().calls
    }
}

/// Starts the store's server on a thread of its own.
pub fn start(listen: SocketAddr, state: PlatformStoreState) -> StubServer {
    stub_server::run(listen, move |listener| {
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .route("/-/kv-key", web::get().to(get_key))
                .route("/-/kv-range", web::get().to(list_keys))
                .route("/-/kv-watch", web::get().to(watch))
                .route("/-/kv-txn", web::post().to(transact))
                .route("/-/kv-lease", web::post().to(grant_lease))
                .route("/-/kv-keep/{id}", web::post().to(renew_lease))
                .route("/-/kv-lease-end/{id}", web::delete().to(end_lease))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    })
}

type StoreData = web::Data<PlatformStoreState>;

/// Counts a request. Returns the response if the store rejects it.
async fn begin_request(state: &StoreData) -> Option<HttpResponse> {
    let faults = {
        let mut contents = state.contents.lock().unwrap();
        contents.calls += 1;
        contents.faults
    };
    (faults == StoreFaults::Unavailable).then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Returns a response. If responses are lost it delays it until the client has given up.
async fn respond(state: &StoreData, response: HttpResponse) -> HttpResponse {
    let is_lost = state.contents.lock().unwrap().faults == StoreFaults::ResponsesLost;
    if is_lost {
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    response
}

/// Returns the text of an item.
fn item_text(key: &str, stored: &Stored, at: u64) -> Vec<u8> {
    if let Some(row) = &stored.row {
        return row.clone();
    }
    let item = json!({
        "privateKey": key,
        "value": stored.value,
        "revision": stored.revision,
        "made": stored.created_revision,
        "lease": stored.lease,
        "at": at,
    });
    item.to_string().into_bytes()
}

/// Returns an answer with a list of items, and the other fields as JSON.
fn list_response(name: &str, items: &[Vec<u8>], rest: &str) -> HttpResponse {
    let head = format!(r#"{{"{name}":["#);
    let rest = format!("],{rest}}}");
    let body = [head.as_bytes(), &items.join(&b','), rest.as_bytes()].concat();
    json_response(body)
}

fn json_response(body: Vec<u8>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(body)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyQuery {
    private_key: String,
}

async fn get_key(state: StoreData, query: web::Query<KeyQuery>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let response = {
        let contents = state.contents.lock().unwrap();
        match contents.items.get(&query.private_key) {
            Some(s) => json_response(item_text(&query.private_key, s, contents.revision)),
            None => HttpResponse::NotFound().finish(),
        }
    };
    respond(&state, response).await
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeQuery {
    path_prefix: String,
}

async fn list_keys(state: StoreData, query: web::Query<RangeQuery>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let response = {
        let contents = state.contents.lock().unwrap();
        let at = contents.revision;
        let matching = contents.items.iter();
        let matching = matching.filter(|(k, _)| k.starts_with(&query.path_prefix));
        let items: Vec<Vec<u8>> = matching.map(|(k, s)| item_text(k, s, at)).collect();
        list_response("items", &items, &format!(r#""more":false,"at":{at}"#))
    };
    respond(&state, response).await
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    path_prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch(state: StoreData, query: web::Query<WatchQuery>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let contents = state.contents.lock().unwrap();
            if contents.faults == StoreFaults::Unavailable {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if query.after < contents.compacted {
                return HttpResponse::Gone().finish();
            }
            let changes = contents.history.iter();
            let changes =
                changes.filter(|(r, k, _)| *r > query.after && k.starts_with(&query.path_prefix));
            let events: Vec<Vec<u8>> = changes.map(event_text).collect();
            if !events.is_empty() || tokio::time::Instant::now() >= end {
                let at = contents.revision;
                return list_response("events", &events, &format!(r#""at":{at}"#));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn event_text(change: &(u64, String, Option<Stored>)) -> Vec<u8> {
    let (revision, key, stored) = change;
    match stored {
        Some(stored) => item_text(key, stored, *revision),
        None => {
            let gone = json!({"privateKey": key, "revision": revision, "gone": true});
            gone.to_string().into_bytes()
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Value>,
    #[serde(default)]
    put: Vec<Value>,
    #[serde(default)]
    remove: Vec<String>,
}

async fn transact(state: StoreData, transaction: web::Json<Transaction>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let response = apply_transaction(&state, &transaction);
    respond(&state, response).await
}

fn apply_transaction(state: &StoreData, transaction: &Transaction) -> HttpResponse {
    let mut contents = state.contents.lock().unwrap();
    for expected in &transaction.expected_rev {
        let key = expected["privateKey"].as_str().unwrap_or_default();
        let current = contents.items.get(key).map_or(0, |s| s.revision);
        if expected["revision"].as_u64() != Some(current) {
            return HttpResponse::PreconditionFailed().json(json!({"items": []}));
        }
    }
    for put in &transaction.put {
        let lease = put["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !contents.leases.contains(&lease) {
            return HttpResponse::NotFound().finish();
        }
        let key = put["privateKey"].as_str().unwrap_or_default();
        let value = put["value"].as_str().unwrap_or_default().to_owned();
        contents.write(key, Some((value, lease)));
    }
    for key in &transaction.remove {
        contents.write(key, None);
    }
    HttpResponse::Ok().json(json!({"revision": contents.revision}))
}

async fn grant_lease(state: StoreData, body: web::Json<Value>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let response = {
        let mut contents = state.contents.lock().unwrap();
        contents.next_lease += 1;
        let lease = contents.next_lease;
        contents.leases.push(lease);
        HttpResponse::Ok().json(json!({"lease": lease, "ttl_ms": body["ttl_ms"]}))
    };
    respond(&state, response).await
}

async fn renew_lease(state: StoreData, id: web::Path<u64>) -> HttpResponse {
    if let Some(response) = begin_request(&state).await {
        return response;
    }
    let is_known = state.contents.lock().unwrap().leases.contains(&id);
    let response = if is_known {
        HttpResponse::Ok().json(json!({"ttl_ms": 10_000}))
    } else {
        HttpResponse::NotFound().finish()
    };
    respond(&state, response).await
}

async fn end_lease(state: StoreData, id: web::Path<u64>) -> HttpResponse {
    let mut contents = state.contents.lock().unwrap();
    contents.leases.retain(|l| l != &*id);
    let leased = contents.items.iter().filter(|(_, s)| s.lease == *id);
    let leased: Vec<String> = leased.map(|(k, _)| k.clone()).collect();
    for key in leased {
        contents.write(&key, None);
    }
    HttpResponse::Ok().finish()
}
