//! Targets that name rate limits, before a fleet of processes: what they get adds up over all routers.

mod common;
mod gateway_support;
mod rate_limit_support;
mod roles_support;

use std::time::{Duration, Instant};

use gateway_support::on_one_thread;
use rate_limit_support::{Fleet, LimitedTarget, NOTICE, WINDOW, allowed};

/// The load: six routers, each with twenty callers a second for a service with one limited target.
#[test]
fn a_limited_target_gets_no_more_than_its_limit_from_six_routers() {
    on_one_thread(async {
        let target = LimitedTarget::start("app-1", None).await;
        let fleet = Fleet::start("rate-limits-six", 6, vec![target]).await;
        let target = &fleet.targets[0];
        target.limit.set(Some(1.2));
        let from = Instant::now() + NOTICE;
        let answers =
            fleet.press("/order/x", Duration::from_millis(50), NOTICE + WINDOW + WINDOW).await;
        let most = target.most_in_window(from);
        assert!(most <= allowed(1.2), "{most} requests in 4 s, {} answers", answers.len());
        assert!(target.since(from) > 0, "it is still used");
    });
}
