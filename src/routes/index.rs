//! Finds the route of a request.

use std::sync::Arc;

use super::{Destination, Document, Route};

/// A document, arranged for lookups.
#[derive(Clone, Debug, Default)]
pub struct Index {
    document: Arc<Document>,
    /// Places of the routes, sorted by host and path prefix.
    order: Vec<u32>,
}

impl Index {
    /// Arranges a document.
    pub fn new(document: Document) -> Self {
        let mut order: Vec<u32> = (0..document.routes.len() as u32).collect();
        order.sort_by(|a, b| {
            key(&document.routes[*a as usize]).cmp(&key(&document.routes[*b as usize]))
        });
        Self { document: Arc::new(document), order }
    }

    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The route of `host` whose path prefix is the longest one that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| self.exact(host, &path[..end]))
    }

    fn exact(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        let route = |place: &u32| &self.document.routes[*place as usize];
        let at = self
            .order
            .binary_search_by(|place| key(route(place)).cmp(&(host, path_prefix)))
            .ok()?;
        Some(route(&self.order[at]))
    }
}

fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}

/// The destination that `draw` falls to: destinations are drawn by their weights.
pub fn destination(route: &Route, draw: u64) -> Option<&Destination> {
    let total: u64 = route.destinations.iter().map(|destination| destination.weight).sum();
    let mut left = draw.checked_rem(total)?;
    route.destinations.iter().find(|destination| {
        let is_it = left < destination.weight;
        left = left.saturating_sub(destination.weight);
        is_it
    })
}
