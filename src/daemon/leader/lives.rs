//! The lives of daemons, as the leader sees them begin, end and go on.

use std::rc::Rc;

use super::{LOOK_PAUSE, Leader};
use crate::control::{commands, owner};
use crate::daemon::core::Core;
use crate::daemon::message::Place;
use crate::membership::daemons::{self, DaemonChange};
use crate::placement::planner::Event;

impl Leader {
    pub(super) fn daemons_changed(&self, core: &Rc<Core>, changes: Vec<DaemonChange>) {
        let mut is_list_changed = false;
        for change in changes {
            match change {
                DaemonChange::Joined(daemon, life) => {
                    log::info!("daemon {daemon} joined, life {life}");
                    is_list_changed = true;
                }
                DaemonChange::Suspected(daemon, _) => log::warn!("daemon {daemon} is silent"),
                DaemonChange::Returned(daemon, _) => {
                    log::info!("daemon {daemon} returned");
                    is_list_changed = true;
                }
                DaemonChange::Leaving(daemon, _) => {
                    log::info!("daemon {daemon} is leaving");
                    is_list_changed = true;
                }
                DaemonChange::Gone(daemon, incarnation) => {
                    log::warn!("daemon {daemon} is gone, life {incarnation}");
                    is_list_changed = true;
                    self.directory.borrow_mut().handle_daemon_loss(core.now_ms(), &daemon);
                    let _ = self.events.send(Event::DaemonGone(daemon.clone()));
                    end_life(core, owner::Owner { daemon, incarnation });
                }
            }
        }
        if is_list_changed {
            self.renew_places();
        }
    }

    /// Lists the daemons that may be homes of targets.
    fn renew_places(&self) {
        let daemons = self.daemons.borrow();
        let alive = daemons
            .members()
            .iter()
            .filter(|member| member.is_alive() && !member.last_heartbeat().is_leaving);
        let list: Vec<Place> = alive
            .map(|member| Place {
                daemon: member.last_heartbeat().daemon.clone(),
                availability_zone: member.last_heartbeat().availability_zone.clone(),
                target_address: member.last_heartbeat().target_address,
            })
            .collect();
        let mut places = self.places.borrow_mut();
        if places.list != list {
            places.list = list;
            places.version.number += 1;
            drop(places);
            self.tell();
        }
    }

    fn is_alive(&self, owner: &owner::Owner) -> bool {
        self.daemons.borrow().live_incarnation(&owner.daemon) == Some(owner.incarnation)
    }

    /// Takes back the end of a life that was only cut off, so that it may record calls again.
    pub(super) fn resume_life(&self, core: &Rc<Core>, heartbeat: &daemons::Heartbeat) {
        let (daemon, incarnation) = (heartbeat.daemon.clone(), heartbeat.incarnation);
        let known = self.daemons.borrow().live_incarnation(&daemon);
        let owner = owner::Owner { daemon, incarnation };
        let is_over = core.with_state(|state| state.context().gone.contains(&owner));
        if known != Some(incarnation) || is_over != Some(true) {
            return;
        }
        log::info!("daemon {owner} was only cut off");
        let core = Rc::clone(core);
        tokio::task::spawn_local(async move {
            // The next heartbeat tries again if this is not committed.
            let _ = core.propose(commands::Command::DaemonReturned(owner)).await;
        });
    }

    /// Ends lives that have work under way and that this leader never heard of: they ended with
    /// the leader before.
    pub(super) fn end_unknown_lives(&self, core: &Rc<Core>) {
        let owners = core.with_state(|state| {
            let gone = |owner: &owner::Owner| state.context().gone.contains(owner);
            let mut owners = state.records.owners();
            owners.extend(state.jobs.owners());
            owners.retain(|owner| !gone(owner));
            owners
        });
        let daemons = self.daemons.borrow();
        let is_known = |owner: &owner::Owner| {
            let known =
                daemons.members().iter().find(|m| m.last_heartbeat().daemon == owner.daemon);
            known.is_some_and(|member| member.last_heartbeat().incarnation <= owner.incarnation)
        };
        for owner in owners.unwrap_or_default().into_iter().filter(|owner| !is_known(owner)) {
            log::warn!("daemon {owner} was lost with the leader before");
            end_life(core, owner);
        }
    }
}

/// Records that a life of a daemon is over, and tries until that is committed.
fn end_life(core: &Rc<Core>, owner: owner::Owner) {
    let core = Rc::clone(core);
    tokio::task::spawn_local(async move {
        let command = commands::Command::DaemonGone(owner.clone());
        // A life that is heard of again must not be ended by a late try.
        while core.leading().is_some_and(|leader| !leader.is_alive(&owner)) {
            if core.propose(command.clone()).await.is_ok() {
                return;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    });
}
