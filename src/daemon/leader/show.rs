//! What operators are shown of the fleet, as the leader knows it.

use std::rc::Rc;

use super::Leader;
use crate::admin::view;
use crate::daemon::core::Core;
use crate::daemon::message::{Reply, Show};
use crate::membership::table::{Standing, TargetEntry};
use crate::placement::ledger;
use crate::placement::planner::ModelSummary;
use crate::target::order;
use crate::units::Millis;

impl Leader {
    /// What operators are shown.
    pub fn show(&self, core: &Rc<Core>, show: Show) -> Reply {
        match show {
            Show::Targets => shown(&self.targets()),
            Show::Models => shown(&self.models()),
            Show::Revisions => shown(&self.revisions(core)),
            Show::Voters => shown(&self.voters(core)),
        }
    }

    fn targets(&self) -> Vec<view::Target> {
        let planner = self.planner.borrow();
        let target = |entry: &TargetEntry| {
            let account = planner.ledger().find(&entry.target);
            target_view(entry, account)
        };
        self.directory.borrow().entries().iter().map(target).collect()
    }

    fn models(&self) -> Vec<view::Model> {
        let planner = self.planner.borrow();
        let catalogue = self.catalogue.borrow();
        let model = |summary: ModelSummary| -> Option<view::Model> {
            let accounts = planner.ledger().accounts().iter();
            let held: Vec<&ledger::ReplicaEntry> =
                accounts.flat_map(|account| account.replicas_of(&summary.model)).collect();
            let count = |stages: &[ledger::ReplicaStage]| {
                held.iter().filter(|entry| stages.contains(&entry.stage)).count() as u32
            };
            let version = catalogue.version(&summary.model);
            view::Model {
                version: version.or_else(|| held.first().map(|e| e.weights.version.clone()))?,
                wanted: summary.wanted,
                loading: count(&[ledger::ReplicaStage::Reserved, ledger::ReplicaStage::Loading]),
                loaded: count(&[ledger::ReplicaStage::Loaded]),
                waiting: summary.waiting,
                why: why(&summary),
                model: summary.model,
            }
            .into()
        };
        planner.models().filter_map(model).collect()
    }

    fn revisions(&self, core: &Core) -> view::Revisions {
        let daemons = self.daemons.borrow();
        let now_ms = core.now_ms();
        let alive = daemons.members().iter().filter(|member| member.is_alive());
        let daemons = alive.map(|member| view::DaemonRevision {
            daemon: member.last_heartbeat().daemon.clone(),
            availability_zone: member.last_heartbeat().availability_zone.clone(),
            in_force: member.last_heartbeat().revision,
            silent_ms: Some(Millis(now_ms.saturating_sub(member.heard_ms()))),
        });
        let heard = view::Revisions { accepted: self.revision.get(), daemons: daemons.collect() };
        heard.with(core.parts.daemons.iter().cloned())
    }

    fn voters(&self, core: &Core) -> Vec<view::Voter> {
        let Some(node) = core.node() else { return Vec::new() };
        let status = node.status();
        let daemons = self.daemons.borrow();
        let now_ms = core.now_ms();
        let members = status.core.membership.all();
        let voter = |id: &crate::consensus::entry::VoterId| {
            let known = daemons.members().iter().find(|m| m.last_heartbeat().daemon == id.daemon);
            let is_voter = status.core.membership.is_voter(id);
            let role = match () {
                () if *id == status.id => "leader",
                () if is_voter => "follower",
                () => "learner",
            };
            let zone = core.zone_of(&id.daemon);
            view::Voter {
                daemon: id.daemon.clone(),
                availability_zone: zone.unwrap_or_else(|| core.parts.availability_zone.clone()),
                folder: id.incarnation,
                role: role.to_owned(),
                synced: node.matched(id).unwrap_or_default(),
                silent_ms: known.map(|member| Millis(now_ms.saturating_sub(member.heard_ms()))),
            }
        };
        members.map(voter).collect()
    }
}

fn shown<T: serde::Serialize>(view: &T) -> Reply {
    Reply::Shown(serde_json::to_string(view).expect("views are always valid JSON"))
}

fn target_view(entry: &TargetEntry, account: Option<&ledger::TargetAccount>) -> view::Target {
    let standing = match entry.standing {
        Standing::Up => "up",
        Standing::Suspect => "suspect",
        Standing::Leaving => "leaving",
    };
    let kind = match entry.kind {
        order::Kind::Assistant => "assistant",
        order::Kind::Application => "application",
    };
    let replicas = account.map(ledger::TargetAccount::entries).unwrap_or_default();
    view::Target {
        target: entry.target.clone(),
        kind: kind.to_owned(),
        availability_zone: entry.availability_zone.clone(),
        address: entry.address,
        standing: standing.to_owned(),
        incarnation: entry.incarnation,
        memory_bytes: account.map(|account| account.capacity_bytes).unwrap_or_default(),
        taken_bytes: account.map(ledger::TargetAccount::used_bytes).unwrap_or_default(),
        checks_fencing: account.is_some_and(|account| account.checks_fencing),
        replicas: replicas.iter().map(replica_view).collect(),
    }
}

fn replica_view(entry: &ledger::ReplicaEntry) -> view::Replica {
    view::Replica {
        model: entry.weights.model.clone(),
        version: entry.weights.version.clone(),
        phase: stage_name(entry.stage).to_owned(),
    }
}

fn stage_name(stage: ledger::ReplicaStage) -> &'static str {
    match stage {
        ledger::ReplicaStage::Reserved => "reserved",
        ledger::ReplicaStage::Loading => "loading",
        ledger::ReplicaStage::Loaded => "loaded",
        ledger::ReplicaStage::Cancelling => "cancelling",
        ledger::ReplicaStage::Retiring
        | ledger::ReplicaStage::Releasing
        | ledger::ReplicaStage::Unloading => "unloading",
    }
}

fn why(summary: &ModelSummary) -> String {
    match summary.reason {
        Some(reason) => format!("not loaded: {reason:?}"),
        None if summary.waiting > 0 => format!("{} requests wait", summary.waiting),
        None if summary.in_flight > 0 => format!("{} requests run", summary.in_flight),
        None if summary.wanted > 0 => "kept for likely requests".to_owned(),
        None => "no longer wanted".to_owned(),
    }
}
