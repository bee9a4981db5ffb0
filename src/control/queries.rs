//! Queries: answered from the state without changing it.

use crate::control::{jobs, machine, outcomes, poison, records};

/// A question about the control state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// Idempotency records.
    Records(records::Query),
    /// Durable jobs.
    Jobs(jobs::Query),
    /// Poison requests.
    Poison(poison::Query),
    /// The ledger of outcomes.
    Outcomes(outcomes::Query),
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// Idempotency records.
    Records(records::View),
    /// Durable jobs.
    Jobs(jobs::View),
    /// Poison requests.
    Poison(poison::Answer),
    /// Hours of the ledger, in order.
    Outcomes(Vec<outcomes::Hour>),
}

/// Answers a query from the state.
pub fn answer(state: &machine::State, query: &Query) -> Answer {
    match query {
        Query::Records(query) => {
            Answer::Records(records::answer(&state.records, &state.context(), query))
        }
        Query::Jobs(query) => Answer::Jobs(jobs::answer(&state.jobs, query)),
        Query::Poison(query) => Answer::Poison(poison::answer(&state.poison, *query)),
        Query::Outcomes(query) => Answer::Outcomes(outcomes::answer(&state.outcomes, *query)),
    }
}
