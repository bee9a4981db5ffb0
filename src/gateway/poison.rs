//! Keeps requests that crash targets away from them, as the leader decides.

use std::rc::{Rc, Weak};
use std::time::Duration;

use super::attempt::{RoutedRequest, SentAttempt};
use super::balancer::TargetChoice;
use super::refusal::RefusalReason;
use super::reservation::SlotReservation;
use super::state::RouterState;
use super::{slot, wait_limit};
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::{Reply, Request};
use crate::poison::message::{Permission, Report, Statement, Wanted};
use crate::poison::view::BrokenAttempt;
use crate::poison::{Standing, Subject};

/// Timeout of asking the leader.
const ASK_TIMEOUT_MS: u64 = 300;
/// Pause before the leader is asked again while a trial is under way elsewhere, unless it tells of a change.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// Pause before a report that no leader answered is sent again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A permitted trial of a request. Dropping it tells the leader that it is over.
pub(super) struct Trial {
    router: Weak<RouterState>,
    subjects: Vec<Subject>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Some(router) = self.router.upgrade() else { return };
        router.poison.borrow_mut().record_trial_over(&self.subjects);
        router.poison_observed.notify_one();
    }
}

/// Reserves a slot for a request that may be sent, which is at once unless targets may have ended under
/// it. The wait for the slot is limited by the time from `since_ms`.
///
/// # Errors
/// Why there is no slot, or why it may not be sent.
pub(super) async fn reserve_permitted(
    router: &Rc<RouterState>,
    routed: &RoutedRequest,
    since_ms: u64,
) -> Result<SlotReservation, RefusalReason> {
    let give_up_ms = give_up_ms(router, routed);
    loop {
        check_closed(router, routed)?;
        let reservation = slot::reserve_slot(router, routed, since_ms).await?;
        check_closed(router, routed)?;
        let changed = router.standings_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if is_permitted(router, routed, &reservation).await? {
            return Ok(reservation);
        }
        drop(reservation);
        if router.now_ms() >= give_up_ms {
            return Err(RefusalReason::AwaitsTrial);
        }
        tokio::select! {
            () = &mut changed => {}
            () = tokio::time::sleep(ASK_PAUSE) => {}
        }
    }
}

fn check_closed(router: &RouterState, routed: &RoutedRequest) -> Result<(), RefusalReason> {
    let now_ms = router.now_ms();
    match router.poison.borrow().standing(now_ms, &routed.subjects) {
        Standing::Closed { until_ms } => {
            Err(RefusalReason::CrashesTargets { for_ms: until_ms.saturating_sub(now_ms) })
        }
        Standing::Clear | Standing::Restricted => Ok(()),
    }
}

/// Whether a request may be sent to the target of its reservation now. Asks the leader if targets may
/// have ended under it.
async fn is_permitted(
    router: &Rc<RouterState>,
    routed: &RoutedRequest,
    reservation: &SlotReservation,
) -> Result<bool, RefusalReason> {
    let standing = router.poison.borrow().standing(router.now_ms(), &routed.subjects);
    if standing == Standing::Clear && !routed.is_suspect.get() {
        return Ok(true);
    }
    // A trial that was permitted before, and did not run at its target, is over.
    routed.trial.take();
    let subjects = routed.subjects.clone();
    let wanted = Wanted { subjects, target: reservation.life() };
    match ask(router, Some(wanted)).await {
        Some(Permission::Free) => Ok(true),
        Some(Permission::Trial) => {
            let subjects = routed.subjects.clone();
            routed.trial.replace(Some(Trial { router: Rc::downgrade(router), subjects }));
            Ok(true)
        }
        Some(Permission::Wait) => Ok(false),
        Some(Permission::Closed { for_ms }) => Err(RefusalReason::CrashesTargets { for_ms }),
        // Without a leader, what this router alone saw is too little to refuse a request.
        None => Ok(standing == Standing::Clear),
    }
}

/// When a request that waits for a trial is refused.
fn give_up_ms(router: &RouterState, routed: &RoutedRequest) -> u64 {
    let limit_ms = wait_limit::max_wait_ms(&wait_limit::UnplacedRequest {
        reason: TargetChoice::AllFull,
        kind: routed.route.kind,
        latency_target_ms: routed.route.latency_target_ms,
        total_ms: routed.deadline_ms.saturating_sub(routed.arrived_ms),
        discovery_ms: router.discovery_ms(),
    });
    routed.arrived_ms + limit_ms
}

/// Reports to the leader and asks whether a request may be sent. `None` if no leader answers.
async fn ask(router: &Rc<RouterState>, wanted: Option<Wanted>) -> Option<Permission> {
    let client = router.voters.borrow().clone()?;
    let taken_ms = router.now_ms();
    let report = router.poison.borrow_mut().take_report(taken_ms, wanted);
    report_to(&client, router, taken_ms, report).await
}

async fn report_to(
    client: &VoterClient,
    router: &RouterState,
    taken_ms: u64,
    report: Report,
) -> Option<Permission> {
    let request = Request::Poison(Box::new(report.clone()));
    match client.ask_leader(&request, ASK_TIMEOUT_MS, ASK_TIMEOUT_MS).await {
        Ok(Reply::Poison(permission)) => {
            router.poison.borrow_mut().record_reported(&report);
            Some(permission)
        }
        other => {
            log::info!("no leader takes a report on targets that ended: {:?}", other.err());
            router.poison.borrow_mut().put_back(taken_ms, report);
            None
        }
    }
}

/// Reports to the leader what this router saw.
pub(super) async fn report_observations(router: Rc<RouterState>) {
    loop {
        router.poison_observed.notified().await;
        while router.poison.borrow().has_report() {
            if ask(&router, None).await.is_none() {
                tokio::time::sleep(REPORT_RETRY_PAUSE).await;
            }
        }
    }
}

impl RouterState {
    /// Records that a connection broke before an answer to a request had begun.
    pub(super) fn record_break(&self, routed: &RoutedRequest, attempt: &SentAttempt) {
        let broken = BrokenAttempt { life: attempt.life.clone(), sent_ms: attempt.sent_ms };
        routed.is_suspect.set(true);
        self.poison.borrow_mut().record_break(self.now_ms(), &routed.subjects, &broken);
        routed.trial.take();
        self.poison_observed.notify_one();
    }

    /// Records that an answer to a request began at `began_ms`, and that its target went on.
    pub(super) fn record_begun_answer(&self, routed: &RoutedRequest, began_ms: u64) {
        let was_suspect = routed.is_suspect.get() || routed.trial.borrow().is_some();
        self.poison.borrow_mut().record_answer(began_ms, &routed.subjects, was_suspect);
        routed.trial.take();
        if self.poison.borrow().has_report() {
            self.poison_observed.notify_one();
        }
    }

    /// Applies what the leader tells of requests that may crash targets.
    pub(super) fn apply_standings(&self, statements: &[Statement]) {
        let now_ms = self.now_ms();
        for statement in statements {
            if !self.poison.borrow().is_told(&statement.subject) {
                log::info!(
                    subject:% = statement.subject, deaths = statement.deaths.len(),
                    closed_for_ms:? = statement.closed_for_ms;
                    "targets may end under this"
                );
            }
        }
        self.poison.borrow_mut().apply(now_ms, statements);
        self.standings_changed.notify_waiters();
    }
}
