//! Finds a slot at a target for a request: at once, after a wait in the queue, or not at all.

use std::time::Duration;

use super::TokenUsage;
use super::attempt::RoutedRequest;
use super::balancer::{TargetChoice, TargetQuery};
use super::continuation::Continuation;
use super::forecast::{Forecast, Outlook};
use super::queue::WaitingRequest;
use super::refusal::RefusalReason;
use super::reservation::SlotReservation;
use super::state::{QueuePlace, RouterState, shortage};
use super::wait_limit::{self, CallerNeeds, Hold, WaitTimes};
use crate::rate_limit;

/// No request is sent to a target or another router when the process exits in less than this: most streams would be
/// cut off, and the caller still has time to retry elsewhere.
pub(super) const SEND_CUTOFF_MS: u64 = 3_000;

/// Reserves a slot at a target, at once or after a wait in the queue. The wait is limited by the
/// time from `since_ms`.
pub(super) async fn reserve_slot(
    router: &RouterState,
    routed: &RoutedRequest,
    since_ms: u64,
) -> Result<SlotReservation, RefusalReason> {
    let avoided_targets = routed.avoided_targets.borrow().clone();
    let continuation = routed.continuation.borrow().clone();
    let query =
        TargetQuery { salt: router.next_salt(), ..routed.query(&avoided_targets, &continuation) };
    if router.exceeds_memory(&query) {
        return Err(RefusalReason::ExceedsMemory);
    }
    let mut choice = router.try_reserve(&query, routed.prompt_tokens(), true);
    if choice.is_ok() {
        record_served(router, routed);
    }
    let waiting_since_ms = router.now_ms();
    if let Err(reason @ TargetChoice::AwaitPermit { has_alternative: true, .. }) = choice {
        let until_ms = router.now_ms() + rate_limit::MAX_CHOICE_WAIT_MS;
        choice = wait_in_queue(router, routed, &query, Wait::until(reason, until_ms)).await?;
        if choice.is_err() {
            choice = router.try_reserve(&query, routed.prompt_tokens(), false);
        }
    }
    let reason = match choice {
        Ok(reservation) => return Ok(reservation),
        Err(reason) => reason,
    };
    let limit_ms = wait_limit::max_wait_ms(&wait_limit::UnplacedRequest {
        reason,
        kind: routed.route.kind,
        latency_target_ms: routed.route.latency_target_ms,
        total_ms: routed.deadline_ms.saturating_sub(since_ms),
        discovery_ms: router.discovery_ms(),
    });
    let give_up_ms = since_ms + limit_ms;
    let is_late = router.is_slot_late(reason, &routed.service, routed.rank, give_up_ms);
    if is_hopeless(reason, give_up_ms) || is_late == Some(true) {
        return Err(refusal_reason(router, &query, reason));
    }
    let times = wait_times(router, routed, since_ms, give_up_ms);
    let outlook = outlook_of(router, routed, &query, reason, &times, waiting_since_ms);
    let now_ms = router.now_ms();
    let promised_ms = outlook.slot_at_ms(now_ms);
    let give_up_ms = match wait_limit::decide_hold(now_ms, &times, &outlook, promised_ms) {
        Hold::Until(give_up_ms) => give_up_ms,
        Hold::Refuse => return Err(late_reason(router, routed, &query, reason, outlook)),
    };
    let wait = Wait { reason, give_up_ms, times, outlook, is_reviewed: true };
    if let Ok(reservation) = wait_in_queue(router, routed, &query, wait).await? {
        return Ok(reservation);
    }
    // Targets may have come and left during the wait, and their indices are others now.
    router.try_reserve(&query, routed.prompt_tokens(), false).map_err(|reason| {
        let outlook = outlook_of(router, routed, &query, reason, &times, waiting_since_ms);
        late_reason(router, routed, &query, reason, outlook)
    })
}

/// How a request waits in the queue.
struct Wait {
    /// Why it waits.
    reason: TargetChoice,
    /// Until when.
    give_up_ms: u64,
    times: WaitTimes,
    outlook: Outlook,
    /// Whether the forecast may change until when it waits.
    is_reviewed: bool,
}

impl Wait {
    /// A wait until a fixed time.
    fn until(reason: TargetChoice, give_up_ms: u64) -> Self {
        let times = WaitTimes {
            limit_ms: give_up_ms,
            last_start_ms: give_up_ms,
            start_by_ms: give_up_ms,
            urgent_from_ms: give_up_ms,
            grace_ms: None,
        };
        Self { reason, give_up_ms, times, outlook: Outlook::UNKNOWN, is_reviewed: false }
    }
}

fn wait_times(
    router: &RouterState,
    routed: &RoutedRequest,
    since_ms: u64,
    limit_ms: u64,
) -> WaitTimes {
    let (now_ms, model) = (router.now_ms(), routed.info.model.as_ref());
    let needs = CallerNeeds {
        arrived_ms: routed.arrived_ms,
        since_ms,
        deadline_ms: routed.deadline_ms,
        kind: routed.route.kind,
        latency_target_ms: routed.route.latency_target_ms,
        run_ms: router.observations.borrow().run_ms(now_ms, &routed.service, model),
    };
    WaitTimes::new(limit_ms, &needs)
}

/// When a request is expected to begin that is not in the queue.
fn outlook_of(
    router: &RouterState,
    routed: &RoutedRequest,
    query: &TargetQuery<'_>,
    reason: TargetChoice,
    times: &WaitTimes,
    waiting_since_ms: u64,
) -> Outlook {
    let (waiting, ahead) = router.queue.borrow().count_ahead(
        &routed.service,
        query.model,
        routed.rank,
        times.start_by_ms,
    );
    let waited_ms = router.now_ms().saturating_sub(waiting_since_ms);
    let place = QueuePlace { waited_ms, waiting: waiting + 1, ahead };
    router.outlook(query, routed.prompt_tokens(), shortage(reason), place)
}

/// Why a request is refused that is not expected to begin in time, or whose time is over.
fn late_reason(
    router: &RouterState,
    routed: &RoutedRequest,
    query: &TargetQuery<'_>,
    reason: TargetChoice,
    outlook: Outlook,
) -> RefusalReason {
    let reason = refusal_reason(router, query, reason);
    let left_ms = routed.remaining_ms(router);
    let return_in_ms = match outlook.forecast {
        Forecast::Begins { in_ms } => wait_limit::return_in_ms(in_ms, left_ms),
        Forecast::Never => left_ms,
        Forecast::Unknown => return reason,
    };
    if reason != RefusalReason::NoFreeTarget {
        return reason;
    }
    metrics::counter!("fescuebay_not_in_time_total").increment(1);
    RefusalReason::NotInTime { return_in_ms, outlook }
}

/// Counts the tokens of a request that is served without a wait for its workspace.
fn record_served(router: &RouterState, routed: &RoutedRequest) {
    let workspace = routed.identity.workspace().map(|workspace| &workspace.name);
    router.queue.borrow_mut().record_served(router.now_ms(), workspace, tokens(routed));
}

/// The size of a request in tokens, at least one.
fn tokens(routed: &RoutedRequest) -> u64 {
    let expected = routed.prompt_tokens() + routed.info.length_hint_tokens.unwrap_or(0);
    routed.info.token_usage.map_or(expected, TokenUsage::total_tokens).max(1)
}

/// Whether no target can take the request by `give_up_ms`.
fn is_hopeless(reason: TargetChoice, give_up_ms: u64) -> bool {
    match reason {
        TargetChoice::AllPaused { .. } => true,
        TargetChoice::AllLimited { clears_at_ms, .. } => clears_at_ms > give_up_ms,
        TargetChoice::Selected(_)
        | TargetChoice::AwaitPermit { .. }
        | TargetChoice::AwaitSlot { .. }
        | TargetChoice::AllFull
        | TargetChoice::NoReplica
        | TargetChoice::NoTarget => false,
    }
}

/// Waits in the queue for a slot. Without one, returns why there was none, as it was known before the wait ended: its
/// indices are not valid any more.
async fn wait_in_queue(
    router: &RouterState,
    routed: &RoutedRequest,
    query: &TargetQuery<'_>,
    wait: Wait,
) -> Result<Result<SlotReservation, TargetChoice>, RefusalReason> {
    let Wait { reason, mut give_up_ms, times, outlook, is_reviewed } = wait;
    let id = router.queue.borrow_mut().next_id();
    let waiter = WaitingRequest {
        id,
        service: routed.service.clone(),
        model: routed.info.model.clone(),
        prompt_parts: query.prompt_parts.to_vec(),
        need_tokens: query.need_tokens,
        prompt_tokens: routed.prompt_tokens(),
        avoided_targets: query.avoided_targets.to_vec(),
        continuation: query.continuation.clone(),
        rank: routed.rank,
        respond_by_ms: routed.arrived_ms + routed.route.latency_target_ms,
        give_up_ms,
        may_await: matches!(reason, TargetChoice::AwaitPermit { .. }),
        is_judged: false,
        awaited: None,
        workspace: routed.identity.workspace().map(|workspace| workspace.name.clone()),
        tokens: tokens(routed),
        queued_ms: router.now_ms(),
        times,
        is_reviewed,
        shortage: shortage(reason),
        outlook,
        promised_ms: outlook.slot_at_ms(router.now_ms()),
    };
    let waited = router.wait_for_slot(&routed.info.id, waiter, reason);
    tokio::pin!(waited);
    loop {
        let wait_ms = give_up_ms.saturating_sub(router.now_ms());
        tokio::select! {
            // It is in the queue once it has been polled.
            biased;
            reservation = &mut waited => return Ok(reservation),
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {
                match router.renew_wait(id) {
                    Some(until_ms) if until_ms > router.now_ms() => give_up_ms = until_ms,
                    Some(_) => return Ok(Err(reason)),
                    // It has been answered meanwhile.
                    None => return Ok(waited.await),
                }
            }
            () = router.wait_until_exit_in(SEND_CUTOFF_MS) => {
                return Err(RefusalReason::ShuttingDown);
            }
        }
    }
}

fn refusal_reason(
    router: &RouterState,
    query: &TargetQuery<'_>,
    reason: TargetChoice,
) -> RefusalReason {
    let now_ms = router.now_ms();
    match reason {
        TargetChoice::NoTarget if *query.continuation == Continuation::Unbound => {
            RefusalReason::NoTargets
        }
        TargetChoice::NoTarget => RefusalReason::NoTargetOfVersion,
        TargetChoice::AllPaused { resumes_at_ms } => {
            RefusalReason::AllPaused { resumes_in_ms: resumes_at_ms.saturating_sub(now_ms) }
        }
        TargetChoice::AwaitSlot { index, interval_us, .. } => {
            let mut balancer = router.balancer.borrow_mut();
            let life = balancer.target(index).life();
            let return_ms =
                balancer.leases_mut().next_return_ms(now_ms, &life, interval_us / 1_000);
            RefusalReason::AllBrittle { opens_in_ms: return_ms.saturating_sub(now_ms) }
        }
        TargetChoice::AllLimited { .. } | TargetChoice::AwaitPermit { .. } => {
            match router.balancer.borrow_mut().next_return_ms(now_ms, query) {
                Some(return_ms) => {
                    RefusalReason::AllLimited { opens_in_ms: return_ms.saturating_sub(now_ms) }
                }
                None => RefusalReason::NoFreeTarget,
            }
        }
        TargetChoice::Selected(_) | TargetChoice::AllFull | TargetChoice::NoReplica => {
            RefusalReason::NoFreeTarget
        }
    }
}
