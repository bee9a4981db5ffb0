//! Queries: answered from the state without changing it.

use crate::config;
use crate::control::{jobs, machine, outcomes, poison, records};
use crate::ids::Revision;

/// A question about the control state.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// Idempotency records.
    Records(records::Query),
    /// Durable jobs.
    Jobs(jobs::Query),
    /// Poison requests.
    Poison(poison::Query),
    /// The ledger of outcomes.
    Outcomes(outcomes::Query),
    /// Accepted changes of the configuration after a revision, oldest first.
    Changes {
        /// The revision.
        after: Revision,
        /// The most changes of the answer.
        limit: usize,
    },
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// Idempotency records.
    Records(records::View),
    /// Durable jobs.
    Jobs(jobs::View),
    /// Poison requests.
    Poison(poison::Answer),
    /// Hours of the ledger, in order.
    Outcomes(Vec<outcomes::Hour>),
    /// Accepted changes of the configuration.
    Changes(Vec<config::Accepted>),
}

/// Answers a query from the state.
pub fn answer(state: &machine::State, query: &Query) -> Answer {
    match query {
        Query::Records(query) => {
            Answer::Records(records::answer(&state.records, &state.context(), query))
        }
        Query::Jobs(query) => Answer::Jobs(jobs::answer(&state.jobs, query)),
        Query::Poison(query) => Answer::Poison(poison::answer(&state.poison, *query)),
        Query::Changes { after, limit } => Answer::Changes(changes(&state.config, *after, *limit)),
        Query::Outcomes(query) => Answer::Outcomes(outcomes::answer(&state.outcomes, *query)),
    }
}

fn changes(state: &config::State, after: Revision, limit: usize) -> Vec<config::Accepted> {
    let trail = state.trail().filter(|accepted| accepted.revision > after);
    trail.take(limit).cloned().collect()
}
