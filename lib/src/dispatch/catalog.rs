//! The catalog: the queues and request limits of one version of the operator's configuration.
//!
//! Schedulers exchange it as JSON, so the field names are part of the format. They replace a catalog only by
//! one with a higher version.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A queue, which holds the jobs of one HTTP route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// The name of the queue.
    pub name: String,
    /// The host name in the requests of its callers.
    pub host: String,
    /// The prefix of the request paths that belong to it.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// The priority of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed attempts of a task after which its job fails.
    pub max_attempts: u32,
    /// The time objective of a job is this factor times its expected duration, plus `objective_ms`.
    pub extension: f64,
    /// The constant part of the time objective, in milliseconds. See `extension`.
    pub objective_ms: u32,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// The largest request head, in bytes.
    pub max_header_bytes: usize,
    /// The time in which a client sends the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest pause of a client within a request and between two of them, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl RequestLimits {
    /// Returns the default limits for requests that have no body.
    pub fn without_body() -> RequestLimits {
        RequestLimits {
            max_body_bytes: 0,
            ..RequestLimits::default()
        }
    }

    /// Returns the time in which a client sends the head of a request.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Returns the longest pause of a client within a request and between two of them.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_body_bytes: 256 << 10,
            max_header_bytes: 16 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Catalog {
    /// The version of the configuration; a newer configuration has a higher version.
    pub version: u64,
    /// The queues of this version.
    pub queues: Vec<Queue>,
    /// The limits on requests.
    pub limits: RequestLimits,
}

/// A catalog with an index of its queues by host.
#[derive(Clone, Debug, Default)]
pub struct CatalogIndex {
    catalog: Catalog,
    by_host: HashMap<String, Vec<usize>>,
}

impl CatalogIndex {
    /// Builds the index of a catalog.
    pub fn new(catalog: Catalog) -> CatalogIndex {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, queue) in catalog.queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(i);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|i| std::cmp::Reverse(catalog.queues[*i].path_prefix.len()));
        }
        CatalogIndex { catalog, by_host }
    }

    /// Returns the catalog itself.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the queue of `host` whose path prefix is the longest that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let lower = host.to_ascii_lowercase();
        let candidates = self.by_host.get(&lower)?;
        let mut queues = candidates.iter().map(|i| &self.catalog.queues[*i]);
        queues.find(|q| path.starts_with(&q.path_prefix))
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.catalog.queues.iter().find(|q| q.name == name)
    }
}
