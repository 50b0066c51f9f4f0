//! The store and the list of boxes over Consul's HTTP API: key/value with check-and-set, blocking queries,
//! and the health of services.
//!
//! A watch is a blocking query, because the platform counts it as one call however long it waits. Reads of
//! keys use the consistent mode, because an entry's right to act depends on them.

use std::collections::HashSet;
use std::time::Duration;

use awc::Client;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use stackcourse_lib::store::Stored;

use crate::boxes::BoxList;
use crate::boxes::BoxSource;
use crate::store::CALL_TIMEOUT;
use crate::store::Store;
use crate::store::StoreError;

/// The name of the Consul service under which the agents' boxes are registered.
pub const BOXES_SERVICE: &str = "stackcourse-agent";
/// The check by which Consul marks a box in maintenance. Such a box is leaving.
const MAINTENANCE_CHECK: &str = "_node_maintenance";
/// The response header with the index from which the next blocking query waits.
const INDEX_HEADER: &str = "X-Consul-Index";
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A client for a Consul agent's HTTP API.
#[derive(Clone)]
pub struct ConsulStore {
    base: String,
    client: Client,
}

#[derive(Deserialize)]
struct Pair {
    #[serde(rename = "ModifyIndex")]
    modify_index: u64,
    #[serde(rename = "Value")]
    value: Option<String>,
}

#[derive(Deserialize)]
struct ServiceHealth {
    #[serde(rename = "Service")]
    service: ServiceEntry,
    #[serde(rename = "Checks", default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
struct ServiceEntry {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
struct Check {
    #[serde(rename = "CheckID")]
    id: String,
    #[serde(rename = "Status")]
    status: String,
}

impl ConsulStore {
    /// Creates a client for a base URL such as `http://127.0.0.1:8500`. The client is bound to the thread
    /// that creates it.
    pub fn new(base: &str) -> ConsulStore {
        ConsulStore {
            base: base.trim_end_matches('/').to_owned(),
            client: Client::builder().disable_redirects().finish(),
        }
    }

    fn key_url(&self, key: &str) -> String {
        format!("{}/v1/kv/{key}", self.base)
    }

    async fn fetch(&self, url: String, wait: Duration) -> Result<(u16, u64, Bytes), StoreError> {
        let request = self.client.get(url).timeout(wait + CALL_TIMEOUT).send();
        let mut response = request.await.map_err(unavailable)?;
        let status = response.status().as_u16();
        let index = response.headers().get(INDEX_HEADER);
        let index = index.and_then(|v| v.to_str().ok()?.parse().ok());
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(unavailable)?;
        Ok((status, index.unwrap_or(0), body))
    }
}

fn unavailable(error: impl std::fmt::Display) -> StoreError {
    StoreError::Unavailable(error.to_string())
}

fn malformed(error: impl std::fmt::Display) -> StoreError {
    StoreError::Malformed(error.to_string())
}

fn parse_pair(status: u16, body: &[u8]) -> Result<Option<Stored>, StoreError> {
    match status {
        200 => {}
        404 => return Ok(None),
        other => return Err(StoreError::Refused(other)),
    }
    let pairs: Vec<Pair> = serde_json::from_slice(body).map_err(malformed)?;
    let Some(pair) = pairs.into_iter().next() else {
        return Ok(None);
    };
    let text = pair.value.unwrap_or_default();
    let value = BASE64_STANDARD.decode(text).map_err(malformed)?;
    Ok(Some(Stored {
        value: Bytes::from(value),
        index: pair.modify_index,
    }))
}

/// Parses an entry of the list of boxes. Other programs register there as well, so one that can't be read must not
/// hide the others.
fn parse_health(entry: &RawValue) -> Option<ServiceHealth> {
    let parsed = serde_json::from_str(entry.get());
    parsed
        .map_err(|e| log::debug!("an entry of the list of boxes can't be read: {e}"))
        .ok()
}

impl Store for ConsulStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        let url = format!("{}?consistent", self.key_url(key));
        let (status, _, body) = self.fetch(url, Duration::ZERO).await?;
        parse_pair(status, &body)
    }

    async fn swap(&self, key: &str, index: u64, value: Bytes) -> Result<bool, StoreError> {
        let url = format!("{}?cas={index}", self.key_url(key));
        let request = self.client.put(url).timeout(CALL_TIMEOUT).send_body(value);
        let mut response = request.await.map_err(unavailable)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(StoreError::Refused(status));
        }
        let body = response.body().await.map_err(unavailable)?;
        match body.trim_ascii() {
            b"true" => Ok(true),
            b"false" => Ok(false),
            _ => Err(malformed("neither `true` nor `false`")),
        }
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let request = self
            .client
            .delete(self.key_url(key))
            .timeout(CALL_TIMEOUT)
            .send();
        request.await.map_err(unavailable)?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: Duration,
    ) -> Result<(Option<Stored>, u64), StoreError> {
        let seconds = wait.as_secs().max(1);
        let url = format!(
            "{}?consistent&index={seen}&wait={seconds}s",
            self.key_url(key)
        );
        let (status, index, body) = self.fetch(url, wait).await?;
        Ok((parse_pair(status, &body)?, index))
    }
}

impl BoxSource for ConsulStore {
    async fn list(&self, seen: u64, wait: Duration) -> Result<(BoxList, u64), StoreError> {
        let seconds = wait.as_secs().max(1);
        let base = &self.base;
        let url = format!("{base}/v1/health/service/{BOXES_SERVICE}?index={seen}&wait={seconds}s");
        let (status, index, body) = self.fetch(url, wait).await?;
        if status != 200 {
            return Err(StoreError::Refused(status));
        }
        let all: Vec<&RawValue> = serde_json::from_slice(&body).map_err(malformed)?;
        let in_maintenance = |c: &Check| c.id == MAINTENANCE_CHECK && c.status == "critical";
        let leaving: HashSet<String> = all
            .into_iter()
            .filter_map(parse_health)
            .filter(|s| s.checks.iter().any(in_maintenance))
            .map(|s| s.service.id)
            .collect();
        Ok((BoxList { leaving }, index))
    }
}
