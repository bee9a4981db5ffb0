//! What operators are shown, and what they send.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::config;
use crate::ids::{
    ChangeId, ClassName, DaemonId, Digest, ExceptionId, IdempotencyKey, Incarnation, JobId,
    LogIndex, ModelRef, Revision, TargetId, TenantId, Version, Zone,
};
use crate::units::{Bytes, Millis};

/// A change as an operator sends it; the token tells the author.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewChange {
    /// The same when the change is sent again.
    pub id: ChangeId,
    /// The revision that the operator saw.
    pub base: Revision,
    /// Why, for the audit trail.
    #[serde(default)]
    pub reason: String,
    /// What to do, in order.
    pub edits: Vec<config::Edit>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Made {
    /// The revision that it made.
    pub revision: Revision,
    /// The exceptions that it added, in order.
    pub exceptions: Vec<ExceptionId>,
}

/// A key of the fleet defaults with all that is known of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DefaultLine {
    /// The key and the value in force.
    #[serde(flatten)]
    pub setting: config::Setting,
    /// Whether an operator set it.
    pub is_set: bool,
    /// What the key means.
    pub help: String,
}

/// The fleet defaults.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Defaults {
    /// The revision in force at the daemon that answers.
    pub revision: Revision,
    /// Every key.
    pub defaults: Vec<DefaultLine>,
}

/// The exceptions.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Exceptions {
    /// The revision in force at the daemon that answers.
    pub revision: Revision,
    /// All exceptions, sorted by id.
    pub exceptions: Vec<config::Exception>,
}

/// Which line decided each value for one subject.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Explanation {
    /// The revision in force at the daemon that answers.
    pub revision: Revision,
    /// Every key.
    pub values: Vec<config::Explained>,
}

/// The newest accepted revision, and the one in force at each daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Revisions {
    /// The newest accepted revision.
    pub accepted: Revision,
    /// Every daemon of the cluster, sorted by id.
    pub daemons: Vec<DaemonRevision>,
}

impl Revisions {
    /// Adds those of `daemons` that are not listed, as never heard of: they lag.
    pub fn with(mut self, daemons: impl IntoIterator<Item = (DaemonId, Zone)>) -> Self {
        for (daemon, availability_zone) in daemons {
            let place = self.daemons.binary_search_by(|listed| listed.daemon.cmp(&daemon));
            if let Err(at) = place {
                let (in_force, silent_ms) = (Revision(0), None);
                let unheard = DaemonRevision { daemon, availability_zone, in_force, silent_ms };
                self.daemons.insert(at, unheard);
            }
        }
        self
    }
}

/// The revision in force at one daemon, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DaemonRevision {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it runs.
    pub availability_zone: Zone,
    /// The revision that it last said is in force.
    pub in_force: Revision,
    /// Time since it was last heard of; `None` if it never was.
    pub silent_ms: Option<Millis>,
}

/// A target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Its id.
    pub target: TargetId,
    /// `assistant` or `application`.
    pub kind: String,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where it is called.
    pub address: SocketAddr,
    /// `up`, `suspect`, `leaving` or `draining`.
    pub standing: String,
    /// This life of it.
    pub incarnation: Incarnation,
    /// Accelerator memory.
    pub memory_bytes: Bytes,
    /// Memory that is reserved or taken.
    pub taken_bytes: Bytes,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Replicas there.
    pub replicas: Vec<Replica>,
}

/// A replica at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Replica {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// `reserved`, `loading`, `loaded` or `unloading`.
    pub phase: String,
}

/// A model or adapter that is wanted or loaded somewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version that new work gets.
    pub version: Version,
    /// Replicas that were decided.
    pub wanted: u32,
    /// Replicas that load.
    pub loading: u32,
    /// Replicas that are ready.
    pub loaded: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Why as many are wanted.
    pub why: String,
}

/// A voter or learner of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Voter {
    /// The daemon that it runs in.
    pub daemon: DaemonId,
    /// Where it runs.
    pub availability_zone: Zone,
    /// The life of its data folder: another one after the folder was lost.
    pub folder: Incarnation,
    /// `leader`, `follower` or `learner`.
    pub role: String,
    /// The last log entry that it holds durably.
    pub synced: LogIndex,
    /// Time since it was last heard of; `None` if it never was.
    pub silent_ms: Option<Millis>,
}

/// Puts a new voter in the place of an old one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The voter that leaves.
    pub old: DaemonId,
    /// The daemon that becomes a voter.
    pub new: DaemonId,
}

/// Which records are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RecordFilter {
    /// Only in this state, such as `unknown`.
    pub state: Option<String>,
    /// Only of this tenant.
    pub tenant: Option<TenantId>,
    /// At most so many.
    #[serde(default)]
    pub limit: Limit,
}

/// The most items of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Limit(pub usize);

impl Default for Limit {
    fn default() -> Self {
        Self(100)
    }
}

/// The record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The tenant that used the key.
    pub tenant: TenantId,
    /// The key, kept only while the call is under way or may have run.
    pub key: Option<IdempotencyKey>,
    /// `pending`, `answered`, `unknown`, `released` or `settled`.
    pub state: String,
    /// The daemon that had the call, kept as long as the key.
    pub daemon: Option<DaemonId>,
    /// Unix time of the first request.
    pub created_ms: u64,
    /// Unix time until which it is kept.
    pub expires_ms: u64,
}

/// How an operator settles a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// What the operator found.
    pub finding: Finding,
    /// How the operator knows.
    pub reason: String,
}

/// What an operator found out about a call that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// It ran: its key is closed.
    Ran,
    /// It did not run: its key may be used again.
    DidNotRun,
}

/// A durable job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// Its id.
    pub job: JobId,
    /// The tenant that it belongs to.
    pub tenant: TenantId,
    /// Its class.
    pub class: Option<ClassName>,
    /// `waiting`, `running`, `done`, `refused` or `cancelled`.
    pub state: String,
    /// Unix time at which it was accepted.
    pub created_ms: u64,
    /// Unix time by which it must be done.
    pub deadline_ms: u64,
    /// Times that it was begun.
    pub attempts: u32,
    /// Why it ended without a result.
    pub reason: Option<String>,
}

/// A request that is suspected to crash targets, or closed for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Poison {
    /// Digest of its model and content.
    pub digest: Digest,
    /// The model that it asks for.
    pub model: Option<ModelRef>,
    /// Targets that died of it, the first one first.
    pub died: Vec<TargetId>,
    /// Unix time until which it is refused; `None` if it is only suspected.
    pub closed_until_ms: Option<u64>,
}

/// The reason of a command, where nothing else is said.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reason {
    /// Why.
    pub reason: String,
}

/// The time that a report covers, ending now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Window {
    /// The last hour.
    Hour,
    /// The last night, from 18:00 to 08:00 local time.
    #[default]
    Night,
    /// The last seven days.
    Week,
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Window::Hour => "hour",
            Window::Night => "night",
            Window::Week => "week",
        })
    }
}

impl FromStr for Window {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "hour" => Ok(Window::Hour),
            "night" => Ok(Window::Night),
            "week" => Ok(Window::Week),
            _ => Err("write hour, night or week".to_owned()),
        }
    }
}

/// How a report is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Plain text within 40 columns.
    #[default]
    Text,
    /// A small page for a phone.
    Html,
    /// JSON.
    Json,
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Format::Text => "text",
            Format::Html => "html",
            Format::Json => "json",
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::admin;

    #[test]
    fn a_daemon_that_was_never_heard_of_lags() {
        let named = |name: &str| (name.parse::<DaemonId>().unwrap(), "a".parse::<Zone>().unwrap());
        let (daemon, availability_zone) = named("b");
        let (in_force, silent_ms) = (Revision(3), Some(Millis(5)));
        let heard = DaemonRevision { daemon, availability_zone, in_force, silent_ms };
        let revisions = Revisions { accepted: Revision(3), daemons: vec![heard] };
        let all = revisions.with([named("c"), named("a"), named("b")]);
        let names =
            |daemons: &[DaemonId]| daemons.iter().map(ToString::to_string).collect::<String>();
        let listed: Vec<DaemonId> = all.daemons.iter().map(|d| d.daemon.clone()).collect();
        assert_eq!(names(&listed), "abc");
        assert_eq!(names(&admin::lagging(&all, Revision(3))), "ac");
    }
}
