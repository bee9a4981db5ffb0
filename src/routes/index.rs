//! Finds the route of a request.

use std::sync::Arc;

use super::{Destination, Document, Route};

/// A document with its routes indexed by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Index {
    document: Arc<Document>,
    /// Positions of the routes in the document, sorted by host and path prefix.
    sorted: Vec<u32>,
}

impl Index {
    /// Indexes a document.
    pub fn new(document: Document) -> Self {
        let mut sorted: Vec<u32> = (0..document.routes.len() as u32).collect();
        sorted.sort_by(|a, b| {
            sort_key(&document.routes[*a as usize]).cmp(&sort_key(&document.routes[*b as usize]))
        });
        Self { document: Arc::new(document), sorted }
    }

    /// The indexed document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The route of `host` with the longest path prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefix_ends =
            path.char_indices().rev().filter(|(_, c)| *c == '/').map(|(at, _)| at + 1);
        prefix_ends.into_iter().find_map(|end| self.find_exact(host, &path[..end]))
    }

    fn find_exact(&self, host: &str, path_prefix: &str) -> Option<&Route> {
        let route = |position: &u32| &self.document.routes[*position as usize];
        let at = self
            .sorted
            .binary_search_by(|position| sort_key(route(position)).cmp(&(host, path_prefix)))
            .ok()?;
        Some(route(&self.sorted[at]))
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
