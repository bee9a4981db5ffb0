//! What is wrong with a document that could be read.

use error_stack::{Report, bail};

use super::{Document, Error, Result, Route};

/// Checks a document as a whole.
///
/// # Errors
/// The first problem, with its place.
pub fn check(document: &Document) -> Result<()> {
    for (at, route) in document.routes.iter().enumerate() {
        check_route(document, at, route)?;
    }
    check_places(&document.routes)
}

fn problem(at: usize, field: &str, problem: String) -> Report<Error> {
    Report::new(Error { place: format!("routes[{at}].{field}"), problem })
}

fn check_route(document: &Document, at: usize, route: &Route) -> Result<()> {
    if route.timeout_ms == 0 {
        bail!(problem(at, "timeout", "it is 0".to_owned()));
    }
    let is_slashed = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
    if !is_slashed {
        bail!(problem(at, "path prefix", "it needs a slash at both ends".to_owned()));
    }
    for destination in &route.destinations {
        if document.service(&destination.service).is_none() {
            let what = format!("there is no service {}", destination.service);
            bail!(problem(at, "service", what));
        }
    }
    let weight: u64 = route.destinations.iter().map(|d| d.weight).fold(0, u64::saturating_add);
    if weight == 0 {
        bail!(problem(at, "weights", "they add up to 0".to_owned()));
    }
    Ok(())
}

fn check_places(routes: &[Route]) -> Result<()> {
    let mut places: Vec<(&str, &str, usize)> = routes
        .iter()
        .enumerate()
        .map(|(at, route)| (route.host.as_str(), route.path_prefix.as_str(), at))
        .collect();
    places.sort_unstable();
    let same = places.windows(2).find(|pair| (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1));
    match same {
        Some(pair) => {
            let what = format!("routes[{}] has the same host and path prefix", pair[0].2);
            Err(problem(pair[1].2, "path prefix", what))
        }
        None => Ok(()),
    }
}
