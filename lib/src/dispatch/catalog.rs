//! The catalog: queues and services as the operator's newest configuration gives them.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// A queue: the jobs of one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host its callers name.
    pub host: String,
    /// The start of the paths that lead to it.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// 0 goes first.
    pub priority: u32,
    /// A task that has failed so often fails its job.
    pub max_attempts: u32,
    /// The objective of a job is this many times its work, and `objective_ms`.
    pub extension: f64,
    /// See `extension`; in milliseconds.
    pub objective_ms: u32,
}

/// Bounds on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_body_bytes: 256 << 10,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Catalog {
    /// Rises from one configuration to the next.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Bounds on requests.
    pub limits: RequestLimits,
}

/// A catalog with an index for finding queues.
#[derive(Clone, Debug, Default)]
pub struct CatalogIndex {
    catalog: Catalog,
    by_host: HashMap<String, Vec<usize>>,
}

impl CatalogIndex {
    /// Indexes a catalog.
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

    /// The catalog itself.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The queue with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let lower = host.to_ascii_lowercase();
        let candidates = self.by_host.get(&lower)?;
        let mut queues = candidates.iter().map(|i| &self.catalog.queues[*i]);
        queues.find(|q| path.starts_with(&q.path_prefix))
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.catalog.queues.iter().find(|q| q.name == name)
    }
}
