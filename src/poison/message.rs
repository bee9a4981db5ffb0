//! What routers and the leader tell each other about requests that may crash targets.
//!
//! Times are sent as ages, because the clocks of daemons differ.

use super::Subject;
use crate::rate_limit::TargetLife;

/// A target that may have ended under a request: the connection broke before an answer had begun.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Death {
    /// The target.
    pub life: TargetLife,
    /// Time since the request was sent.
    pub sent_age_ms: u64,
    /// Time since the connection broke.
    pub broke_age_ms: u64,
}

/// What a router saw of one subject.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Observation {
    /// The subject.
    pub subject: Subject,
    /// A target that may have ended under it.
    pub death: Option<Death>,
    /// Time since the last answer to a request with it began.
    pub answer_age_ms: Option<u64>,
    /// A permitted trial of it ended without a result.
    pub is_trial_over: bool,
}

/// What is known of one subject that is restricted or closed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Statement {
    /// The subject.
    pub subject: Subject,
    /// The targets that may have ended under it since the last answer.
    pub deaths: Vec<Death>,
    /// Time since the last answer to a request with it began.
    pub answer_age_ms: Option<u64>,
    /// Time for which it is still closed, if it is.
    pub closed_for_ms: Option<u64>,
    /// The other suspects of the trial that closed it. A request without one of them is a new case.
    pub closed_with: Vec<Subject>,
}

/// A request that a router wants to send.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Wanted {
    /// What of it may crash targets.
    pub subjects: Vec<Subject>,
    /// The target that would run it.
    pub target: TargetLife,
}

/// A router's report to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// What it saw.
    pub observations: Vec<Observation>,
    /// What an earlier leader told it.
    pub statements: Vec<Statement>,
    /// A request that it wants to send.
    pub wanted: Option<Wanted>,
}

/// The leader's answer to what a router wants to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Permission {
    /// Nothing speaks against it.
    Free,
    /// It is a trial: no other request with its restricted subjects is sent meanwhile.
    Trial,
    /// A trial of the same, or another one at the same target, is under way.
    Wait,
    /// One of the subjects is closed.
    Closed {
        /// Time for which it is.
        for_ms: u64,
    },
}
