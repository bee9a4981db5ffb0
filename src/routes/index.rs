//! Finds the route of a request.

use std::sync::Arc;

use super::access::{KeyDigest, KeyIndex, Workspace};
use super::{Destination, Document, Route};

/// A document with its routes indexed by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Index {
    document: Arc<Document>,
    /// Positions of the routes in the document, sorted by host and path prefix.
    sorted: Vec<u32>,
    keys: KeyIndex,
    /// The workspaces of the document, shared with the requests that they send.
    workspaces: Vec<Arc<Workspace>>,
}

impl Index {
    /// Indexes a document.
    pub fn new(document: Document) -> Self {
        let mut sorted: Vec<u32> = (0..document.routes.len() as u32).collect();
        sorted.sort_by(|a, b| {
            sort_key(&document.routes[*a as usize]).cmp(&sort_key(&document.routes[*b as usize]))
        });
        let keys = KeyIndex::new(&document.access);
        let workspaces = document.access.workspaces.iter().flatten().cloned().map(Arc::new);
        let workspaces = workspaces.collect();
        Self { document: Arc::new(document), sorted, keys, workspaces }
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.get(self.keys.find(key)? as usize)
    }

    /// The workspace with this name.
    pub fn workspace_named(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.iter().find(|workspace| workspace.name.as_str() == name)
    }

    /// The indexed document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The route of `host` with the longest path prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        Some(&self.document.routes[self.find_position(host, path)? as usize])
    }

    /// The position of that route in the document.
    pub fn find_position(&self, host: &str, path: &str) -> Option<u32> {
        let prefix_ends =
            path.char_indices().rev().filter(|(_, c)| *c == '/').map(|(at, _)| at + 1);
        prefix_ends.into_iter().find_map(|end| self.find_exact(host, &path[..end]))
    }

    fn find_exact(&self, host: &str, path_prefix: &str) -> Option<u32> {
        let route = |position: &u32| &self.document.routes[*position as usize];
        let at = self
            .sorted
            .binary_search_by(|position| sort_key(route(position)).cmp(&(host, path_prefix)))
            .ok()?;
        Some(self.sorted[at])
    }
}

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

/// Selects a destination by the random number `draw`, in proportion to the weights.
pub fn destination(route: &Route, draw: u64) -> Option<&Destination> {
    destination_among(route, draw, |_| true)
}

/// Selects one of the destinations that are meant, in proportion to their weights.
pub fn destination_among(
    route: &Route,
    draw: u64,
    is_meant: impl Fn(&Destination) -> bool,
) -> Option<&Destination> {
    let meant = || route.destinations.iter().filter(|destination| is_meant(destination));
    let total: u64 = meant().map(|destination| destination.weight).sum();
    let mut remaining = draw.checked_rem(total)?;
    meant().find(|destination| {
        let is_drawn = remaining < destination.weight;
        remaining = remaining.saturating_sub(destination.weight);
        is_drawn
    })
}
