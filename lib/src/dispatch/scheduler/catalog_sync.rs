//! Keeps the catalog of a scheduler up to date, from the store or, where the store is too slow, from a peer.
//!
//! Every update of a peer carries the version of the catalog that it has in force. A scheduler with an older
//! version requests the catalog from one peer at a time, which sends it once for each request. A catalog is
//! only ever replaced by a newer one.

use bytes::Bytes;

use super::Scheduler;
use crate::dispatch::catalog::Catalog;
use crate::dispatch::catalog::CatalogIndex;
use crate::event::Kind;
use crate::prelude::*;

/// A catalog that the store has not confirmed for this long may be outdated. Covers two watch intervals: the
/// store answers every second while nothing changes.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2000);

/// A pending request for a peer's catalog.
#[derive(Clone, Debug)]
struct Request {
    peer: String,
    at: Mono,
}

/// The catalog in force, when the store last confirmed it, and the pending request for a newer one.
#[derive(Clone, Debug, Default)]
pub(super) struct CatalogSync {
    index: Option<CatalogIndex>,
    /// The encoded catalog, cached since the first request of a peer.
    encoded: Option<Bytes>,
    /// When it came into force.
    applied_at: Mono,
    /// When the store last answered that there is no newer one.
    confirmed_at: Mono,
    /// Whether it was logged that the store has not confirmed the catalog for too long.
    unconfirmed: bool,
    /// Since when a linked peer has a newer catalog.
    behind_since: Option<Mono>,
    request: Option<Request>,
}

impl CatalogSync {
    /// Returns the catalog in force with its index.
    pub fn index(&self) -> Option<&CatalogIndex> {
        self.index.as_ref()
    }

    /// Returns the version of the catalog in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.index.as_ref().map_or(0, |c| c.catalog().version)
    }

    /// Returns when the catalog came into force, and when the store last confirmed it.
    pub fn times(&self) -> [Mono; 2] {
        [self.applied_at, self.confirmed_at]
    }

    /// Returns the encoded catalog.
    fn encoded(&mut self) -> Option<Bytes> {
        let catalog = self.index.as_ref()?.catalog();
        let encode = || serde_json::to_vec(catalog).expect("a catalog can be encoded as JSON");
        let bytes = self.encoded.get_or_insert_with(|| encode().into());
        Some(bytes.clone())
    }
}

impl Scheduler {
    /// Applies a catalog from the store, unless the one in force is as new.
    pub fn set_catalog(&mut self, now: Mono, catalog: Catalog) {
        self.advance_clock(now);
        self.apply_catalog(catalog, "the store");
    }

    /// Applies a catalog, unless the one in force is as new, and announces its version to the peers. `origin`
    /// names the sender for the log.
    fn apply_catalog(&mut self, catalog: Catalog, origin: &str) {
        let (version, before) = (catalog.version, self.version());
        if self.catalog.index.is_some() && version <= before {
            return;
        }
        let detail = format!("{version}, before {before}, from {origin}");
        self.log(Kind::ConfigInForce, detail);
        self.catalog.index = Some(CatalogIndex::new(catalog));
        self.catalog.encoded = None;
        self.catalog.applied_at = self.now;
        self.force_heartbeats();
    }

    /// Records that the store has confirmed that it holds no newer catalog.
    pub fn catalog_confirmed(&mut self, now: Mono) {
        self.advance_clock(now);
        if self.catalog.unconfirmed {
            self.catalog.unconfirmed = false;
            let unconfirmed = crate::clock::millis(now.since(self.catalog.confirmed_at));
            self.log(Kind::ConfigConfirmed, format!("after {unconfirmed} ms"));
        }
        self.catalog.confirmed_at = now;
    }

    /// Logs when the store has not confirmed the catalog for too long, and requests a newer one from a peer
    /// if needed.
    pub(super) fn watch_catalog(&mut self) {
        self.check_confirmation();
        self.request_newer_catalog();
    }

    /// Logs once that the catalog may be outdated, if the store has not confirmed it for too long.
    fn check_confirmation(&mut self) {
        let age = self.now.since(self.catalog.confirmed_at);
        if self.catalog.unconfirmed || self.catalog.index.is_none() || age < CONFIRMATION_TIMEOUT {
            return;
        }
        self.catalog.unconfirmed = true;
        let detail = format!(
            "version {}, confirmed {} ms ago",
            self.version(),
            crate::clock::millis(age)
        );
        self.log(Kind::ConfigUnconfirmed, detail);
    }

    /// Requests the catalog of a peer if it is newer and the store had enough time to deliver it, with one
    /// request pending at a time. If instead every outdated peer were sent a copy on each of its heartbeats,
    /// the copies would fill the send queues: 27 MB within 0.4 s at one entry, with a catalog of 250 KB and
    /// six of ten peers on 25 Mbit/s links, which delays the newest version by 1.9 s.
    fn request_newer_catalog(&mut self) {
        let newest = self.newest_peer_version();
        if newest <= self.version() {
            self.catalog.behind_since = None;
            self.catalog.request = None;
            return;
        }
        let policy = self.setup.policy.catalog;
        let since = *self.catalog.behind_since.get_or_insert(self.now);
        let has_catalog = self.catalog.index.is_some();
        if has_catalog && self.now.since(since) < policy.store_first {
            return;
        }
        let open = |r: &Request| self.now.since(r.at) < policy.ask_again && self.is_linked(&r.peer);
        if self.catalog.request.as_ref().is_some_and(open) {
            return;
        }
        self.request_catalog_version(newest);
    }

    /// Requests the catalog from a random linked peer that has the given version. Avoids the peer that was
    /// asked last, unless it is the only one.
    fn request_catalog_version(&mut self, version: u64) {
        let has = |name: &&String| {
            let peer = &self.peers[*name];
            peer.link.is_some() && peer.version == version
        };
        let names: Vec<String> = self.peers.keys().filter(has).cloned().collect();
        let last = self.catalog.request.take().map(|r| r.peer);
        let others: Vec<&String> = names.iter().filter(|n| Some(*n) != last.as_ref()).collect();
        let chosen = match others.len() {
            0 => last,
            n => Some(others[rand::Rng::random_range(&mut self.rng, 0..n)].clone()),
        };
        let Some(name) = chosen else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.request_catalog();
        }
        self.catalog.request = Some(Request {
            peer: name,
            at: self.now,
        });
    }

    /// Returns the newest catalog version of the linked peers; 0 for none.
    fn newest_peer_version(&self) -> u64 {
        let linked = self.peers.values().filter(|p| p.link.is_some());
        linked.map(|p| p.version).max().unwrap_or_default()
    }

    /// Sends a peer the catalog in force, at its request, unless its own is as new.
    pub(super) fn send_catalog_to(&mut self, name: &str) {
        let version = self.version();
        let behind = self.peers.get(name).is_some_and(|p| p.version < version);
        let Some(bytes) = behind.then(|| self.catalog.encoded()).flatten() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(name) {
            peer.send_catalog(bytes);
        }
    }

    /// Decodes and applies a catalog that a peer has sent.
    pub(super) fn receive_catalog(&mut self, name: &str, bytes: &[u8]) {
        self.catalog.request = None;
        match serde_json::from_slice::<Catalog>(bytes) {
            Ok(catalog) => self.apply_catalog(catalog, name),
            Err(e) => self.log(Kind::ConfigBad, format!("from {name}: {e}")),
        }
    }
}
