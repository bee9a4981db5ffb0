//! The voter of a daemon: how its group is formed, repaired and led.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::ResultExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::config;
use crate::consensus::entry::VoterId;
use crate::consensus::formation;
use crate::consensus::node;
use crate::control;
use crate::control::commands;
use crate::daemon::core::{ASK_LIMIT, Core, Group};
use crate::daemon::leader::Leader;
use crate::daemon::message::{Reply, Request, Status};
use crate::daemon::{Error, Result};
use crate::ids::{DaemonId, LogIndex, Revision, Term};

/// Pause between two rounds of asking the other voters for a group.
const FORM_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks for voters that lost their folders.
const REPAIR_PAUSE: Duration = Duration::from_secs(1);

/// What a voter needs of the settings.
pub struct Parts {
    /// Where the log is kept, and whose it is.
    pub settings: node::Settings,
    /// All voters that the settings name, this one among them, sorted.
    pub voters: Vec<DaemonId>,
    /// The first change of a cluster without a configuration.
    pub first_change: Option<config::Change>,
}

/// Carries messages of the log over the peers of a daemon.
struct Transport {
    core: Rc<Core>,
}

impl node::Transport for Transport {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        self.core.parts.peers.send(to, message);
    }
}

/// Opens the folder, forms or finds the group, and runs the voter until it is dropped.
///
/// # Errors
/// The folder cannot be used, or the voter stopped because it cannot write.
pub async fn run(core: Rc<Core>, parts: Parts) -> Result<()> {
    let error = || Error { step: "start the voter" };
    let mut opened = parts.settings.open().change_context_lazy(error)?;
    if !opened.is_formed() {
        let own = opened.voter_id().clone();
        if let Some(group) = find_group(&core, &own, &parts.voters).await {
            opened.form(group).change_context_lazy(error)?;
        }
    }
    let machine = Rc::new(RefCell::new(control::Machine::default()));
    let transport = Transport { core: Rc::clone(&core) };
    let rng = StdRng::from_os_rng();
    let node = opened.start(Rc::clone(&machine), transport, rng).change_context_lazy(error)?;
    let state_fleet = machine.borrow().state().config.fleet().clone();
    if state_fleet.revision() > core.parts.published.fleet.load().revision() {
        core.parts.published.fleet.store(Arc::new(state_fleet));
    }
    core.group.replace(Some(Group { node: node.clone(), machine }));
    tokio::task::spawn_local(repair(Rc::clone(&core), parts.voters));
    lead(core, node, parts.first_change).await
}

/// Asks the other voters until it is known whether to form a group or to join one. `None`: there
/// is a group that this voter has to be added to.
async fn find_group(core: &Rc<Core>, own: &VoterId, voters: &[DaemonId]) -> Option<Vec<VoterId>> {
    core.unformed.replace(Some(Status {
        voter: own.clone(),
        seen: formation::FolderState::Empty(own.clone()),
        leader: None,
        term: Term(0),
        commit: LogIndex(0),
        last: LogIndex(0),
    }));
    loop {
        let mut seen = Vec::new();
        for daemon in voters.iter().filter(|daemon| **daemon != own.daemon) {
            seen.extend(ask_status(core, daemon).await.map(|status| status.seen));
        }
        match formation::decide(own, voters, &seen) {
            formation::FormationStep::Form(group) => return Some(group),
            formation::FormationStep::Join => {
                log::warn!("the group exists; this voter waits to be added as {own}");
                return None;
            }
            formation::FormationStep::Wait => tokio::time::sleep(FORM_PAUSE).await,
        }
    }
}

async fn ask_status(core: &Rc<Core>, daemon: &DaemonId) -> Option<Status> {
    match core.ask(daemon, Request::Status, ASK_LIMIT).await {
        Ok(Reply::Status(status)) => Some(*status),
        _ => None,
    }
}

/// Starts and stops the leader's work as leadership comes and goes.
async fn lead(
    core: Rc<Core>,
    node: node::Handle,
    first_change: Option<config::Change>,
) -> Result<()> {
    let mut leadership = node.subscribe();
    loop {
        let now = leadership.borrow_and_update().clone();
        let old = core.leader.borrow_mut().take();
        if let Some(old) = old {
            old.stop();
        }
        if now.is_leader {
            // Entries of earlier terms are applied once an entry of this term is committed.
            if node.read_barrier().await.is_ok() && !leadership.has_changed().unwrap_or(true) {
                core.leader.replace(Some(Leader::start(&core, now.term)));
                make_first_change(&core, first_change.clone());
            }
        }
        if leadership.changed().await.is_err() {
            let failure = node.status().failure.unwrap_or_default();
            return Err(error_stack::Report::new(Error { step: "run the voter" }).attach(failure));
        }
    }
}

/// Gives a cluster without a configuration its first one.
fn make_first_change(core: &Rc<Core>, change: Option<config::Change>) {
    let Some(change) = change else { return };
    let revision = core.with_state(|state| state.config.fleet().revision());
    if revision != Some(Revision(0)) {
        return;
    }
    let core = Rc::clone(core);
    tokio::task::spawn_local(async move {
        let command = config::Command::Change(change);
        let outcome = core.propose(commands::Command::Config(Box::new(command))).await;
        if let Ok(commands::Outcome::Config(outcome)) = outcome
            && let config::Outcome::Refused { problems } = *outcome
        {
            problems.iter().for_each(|problem| log::error!("first configuration: {problem}"));
        }
    });
}

/// While this daemon leads, replaces voters whose folder is a new one: the old identity of the
/// daemon can never come back.
async fn repair(core: Rc<Core>, voters: Vec<DaemonId>) {
    loop {
        tokio::time::sleep(REPAIR_PAUSE).await;
        let Some(node) = core.node().filter(|_| core.leader.borrow().is_some()) else { continue };
        for daemon in voters.iter().filter(|daemon| *daemon != core.id()) {
            let membership = node.status().core.membership;
            let known = membership.voters.iter().find(|id| id.daemon == *daemon).cloned();
            let Some(old) = known else { continue };
            let Some(status) = ask_status(&core, daemon).await else { continue };
            if status.voter == old {
                continue;
            }
            log::warn!("voter {old} lost its folder; {} takes its place", status.voter);
            match node.replace(old, status.voter.clone()).await {
                Ok(()) => log::info!("voter {} holds the whole log", status.voter),
                Err(report) => log::warn!("replacing a voter: {report}"),
            }
        }
    }
}

impl Core {
    /// Puts the daemon `new` in the place of the voter `old`, in the background.
    pub(super) async fn replace_voter(self: &Rc<Self>, old: &DaemonId, new: &DaemonId) -> Reply {
        let Some(node) = self.node().filter(|_| self.leader.borrow().is_some()) else {
            return self.not_leader();
        };
        let failed =
            |step: String| Reply::Failed(control::port::ProposalOutcome::NotProposed, step);
        let membership = node.status().core.membership;
        let Some(old) = membership.voters.iter().find(|id| id.daemon == *old).cloned() else {
            return failed(format!("{old} is no voter"));
        };
        if old.daemon == *self.id() {
            return failed(format!("{} leads: stop it first, so that another leads", old.daemon));
        }
        let Some(status) = ask_status(self, new).await else {
            return failed(format!("{new} does not answer as a voter: it needs a data folder"));
        };
        tokio::task::spawn_local(async move {
            match node.replace(old.clone(), status.voter.clone()).await {
                Ok(()) => log::info!("voter {old} was replaced by {}", status.voter),
                Err(report) => log::warn!("replacing voter {old}: {report}"),
            }
        });
        Reply::Done
    }
}
