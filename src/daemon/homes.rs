//! Announcements of targets on their way to the daemons that watch them.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::control::commands;
use crate::control::departures::{self, Departure};
use crate::daemon::core::{ASK_LIMIT, Core};
use crate::daemon::message::{Reply, Request};
use crate::ids::{DaemonId, Incarnation, TargetId, Zone};
use crate::membership::targets::AnnouncementOutcome;
use crate::membership::{home, targets};
use crate::target::order;

/// The last whole announcement that this daemon passed on to a home daemon.
pub(super) struct Relayed {
    home: DaemonId,
    state: order::State,
}

impl Core {
    /// Takes an announcement of a target that came to this daemon, and brings it to its home.
    /// `None` if no daemon could take it.
    pub async fn announced(self: Rc<Self>, state: order::State) -> Option<AnnouncementOutcome> {
        let home = self.home_of(&state);
        if home == *self.id() {
            return self.heard(targets::TargetEvent::Announced(state)).await;
        }
        if let Some(request) = self.short_announcement(&home, &state) {
            match self.ask(&home, request, ASK_LIMIT).await {
                Ok(Reply::Taken(AnnouncementOutcome::Unknown)) | Err(_) => {}
                Ok(Reply::Taken(taken)) => return Some(taken),
                Ok(_) => return None,
            }
        }
        let request = Request::Announced(Box::new(state.clone()));
        match self.ask(&home, request, ASK_LIMIT).await {
            Ok(Reply::Taken(taken)) => {
                self.note_relayed(home, state);
                Some(taken)
            }
            Ok(_) => None,
            // Its home does not answer: until the list of daemons changes, this one watches it.
            Err(_) => self.heard(targets::TargetEvent::Announced(state)).await,
        }
    }

    /// A target said that it is gone.
    pub async fn left(
        self: Rc<Self>,
        target: TargetId,
        life: Incarnation,
    ) -> Option<AnnouncementOutcome> {
        let event = targets::TargetEvent::Left(target.clone(), life);
        let zone = self.feed.borrow().table().find(&target).map(|e| e.availability_zone.clone());
        let home = zone.and_then(|zone| self.home_in(&zone, &target));
        match home {
            Some(home) if home != *self.id() => {
                match self.ask(&home, Request::Left(target, life), ASK_LIMIT).await {
                    Ok(Reply::Taken(taken)) => Some(taken),
                    _ => None,
                }
            }
            _ => self.heard(event).await,
        }
    }

    /// Takes the word of a target that this daemon watches. That it leaves is taken once it is on
    /// record: the target relies on getting no new work, also if this daemon is lost. `None`: it could
    /// not be recorded.
    pub(super) async fn heard(
        self: &Rc<Self>,
        event: targets::TargetEvent,
    ) -> Option<AnnouncementOutcome> {
        let command = departure(&event);
        let taken = self.watched(event);
        let Some(command) = command else { return Some(taken) };
        if self.recorded.borrow().has(&command) {
            return Some(taken);
        }
        if let Err(outcome) = self.propose(commands::Command::Departures(command.clone())).await {
            log::warn!("not recorded: {command:?}: {outcome:?}");
            return None;
        }
        self.recorded.borrow_mut().apply(command);
        Some(taken)
    }

    fn home_of(&self, state: &order::State) -> DaemonId {
        let home = self.home_in(&state.availability_zone, &state.target);
        home.unwrap_or_else(|| self.id().clone())
    }

    /// The home of a target: a daemon in its zone, or any where there is none.
    fn home_in(&self, zone: &Zone, target: &TargetId) -> Option<DaemonId> {
        let places = self.places.borrow();
        let in_zone = places.list.iter().filter(|place| place.availability_zone == *zone);
        let near = home::home_of(target, in_zone.map(|place| &place.daemon));
        near.or_else(|| home::home_of(target, places.list.iter().map(|p| &p.daemon))).cloned()
    }

    /// Where the target of an announcement should announce itself from now on: its home, which
    /// saves the way over this daemon.
    pub fn home_address(&self, zone: &Zone, target: &TargetId) -> Option<SocketAddr> {
        let home = self.home_in(zone, target)?;
        let places = self.places.borrow();
        let place = places.list.iter().find(|place| place.daemon == home);
        place.map(|place| place.target_address)
    }

    fn short_announcement(&self, home: &DaemonId, state: &order::State) -> Option<Request> {
        let relayed = self.relayed.borrow();
        let place = relayed.binary_search_by(|known| known.state.target.cmp(&state.target));
        let known = &relayed[place.ok()?];
        let is_same = known.home == *home && targets::is_same_state(&known.state, state);
        is_same.then(|| Request::Alive(state.target.clone(), state.incarnation, state.sequence))
    }

    fn note_relayed(&self, home: DaemonId, state: order::State) {
        let mut relayed = self.relayed.borrow_mut();
        let place = relayed.binary_search_by(|known| known.state.target.cmp(&state.target));
        match place {
            Ok(at) => relayed[at] = Relayed { home, state },
            Err(at) => relayed.insert(at, Relayed { home, state }),
        }
    }
}

/// What an event says of a target that leaves, for the record.
fn departure(event: &targets::TargetEvent) -> Option<departures::Command> {
    let (target, life, departure) = match event {
        targets::TargetEvent::Announced(state) if state.leaving => {
            (state.target.clone(), state.incarnation, Departure::Leaving)
        }
        targets::TargetEvent::Left(target, life) => (target.clone(), *life, Departure::Gone),
        targets::TargetEvent::Announced(_)
        | targets::TargetEvent::Heartbeat(..)
        | targets::TargetEvent::Tick => {
            return None;
        }
    };
    Some(departures::Command { target, life, departure })
}
