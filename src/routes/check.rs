//! Validates a decoded document.

use error_stack::{Report, bail};

use super::access::{KeyDigest, Workspace};
use super::{Document, Error, Result, Route};
use crate::ids::TenantId;

/// Checks every route, and that no two routes have the same host and path prefix.
///
/// # Errors
/// The first problem, with its place in the document.
pub fn check(document: &Document) -> Result<()> {
    for (index, route) in document.routes.iter().enumerate() {
        check_route(document, index, route)?;
    }
    check_unique_matches(&document.routes)?;
    check_workspaces(document.access.workspaces.as_deref().unwrap_or_default())
}

/// Each key belongs to one workspace. The error names the workspaces and no key.
fn check_workspaces(workspaces: &[Workspace]) -> Result<()> {
    let mut names: Vec<(&TenantId, usize)> =
        workspaces.iter().enumerate().map(|(index, workspace)| (&workspace.name, index)).collect();
    names.sort_unstable();
    if let Some(pair) = names.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        let problem = format!("workspaces[{}] has the same name, {}", pair[0].1, pair[0].0);
        bail!(workspace_error(pair[1].1, "name", problem));
    }
    let mut keys: Vec<(&KeyDigest, usize)> = workspaces
        .iter()
        .enumerate()
        .flat_map(|(index, workspace)| workspace.keys.iter().map(move |key| (key, index)))
        .collect();
    keys.sort_unstable();
    if let Some(pair) =
        keys.windows(2).find(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1)
    {
        let (first, second) = (&workspaces[pair[0].1].name, &workspaces[pair[1].1].name);
        let problem = format!("workspaces {first} and {second} share a key");
        bail!(workspace_error(pair[1].1, "keys", problem));
    }
    Ok(())
}

fn workspace_error(index: usize, field: &str, problem: String) -> Report<Error> {
    Report::new(Error { place: format!("workspaces[{index}].{field}"), problem })
}

fn route_error(index: usize, field: &str, problem: String) -> Report<Error> {
    Report::new(Error { place: format!("routes[{index}].{field}"), problem })
}

fn check_route(document: &Document, index: usize, route: &Route) -> Result<()> {
    if route.timeout_ms == 0 {
        bail!(route_error(index, "timeout", "it is 0".to_owned()));
    }
    let has_both_slashes = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
    if !has_both_slashes {
        bail!(route_error(index, "path prefix", "it needs a slash at both ends".to_owned()));
    }
    for destination in &route.destinations {
        if document.service(&destination.service).is_none() {
            let problem = format!("there is no service {}", destination.service);
            bail!(route_error(index, "service", problem));
        }
    }
    let weight: u64 = route.destinations.iter().map(|d| d.weight).fold(0, u64::saturating_add);
    if weight == 0 {
        bail!(route_error(index, "weights", "they add up to 0".to_owned()));
    }
    Ok(())
}

fn check_unique_matches(routes: &[Route]) -> Result<()> {
    let mut matches: Vec<(&str, &str, usize)> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| (route.host.as_str(), route.path_prefix.as_str(), index))
        .collect();
    matches.sort_unstable();
    let duplicate =
        matches.windows(2).find(|pair| (pair[0].0, pair[0].1) == (pair[1].0, pair[1].1));
    match duplicate {
        Some(pair) => {
            let problem = format!("routes[{}] has the same host and path prefix", pair[0].2);
            Err(route_error(pair[1].2, "path prefix", problem))
        }
        None => Ok(()),
    }
}
