//! Parts of prompts that crash the targets that begin to answer them, before a fleet of processes.

mod common;
mod gateway_support;
mod poison_support;
mod roles_support;

use std::time::Duration;

use common::process::until;
use gateway_support::on_one_thread;
use poison_support::{Crash, Fleet, MAX_LATE, Outcome, World, press_beside_sound, send};

/// Crashes after which a part must be known.
const KNOWN_AFTER: usize = 5;
/// The part that crashes targets.
const GUILTY: &str = "bad0bad:40";
/// Share of the sound requests that must still be served: half of what is served otherwise.
const SOUND_SHARE: f64 = 0.5;

/// Requests with the guilty part as the second one; their first one is shared with sound requests.
fn guilty_second(number: u64) -> (String, String) {
    (format!("Prompt-Prefix: 5c1e07a2:800,{GUILTY},{number:x}:9\r\n"), format!("{number}"))
}

/// Requests with the guilty part as the first one; their second one is shared with sound requests.
fn guilty_first(number: u64) -> (String, String) {
    (format!("Prompt-Prefix: {GUILTY},91bd3f06:41,{number:x}:9\r\n"), format!("{number}"))
}

fn sound(number: u64) -> (String, String) {
    let second = ["91bd3f06", "91bd3f07", "91bd3f08"][number as usize % 3];
    (format!("Prompt-Prefix: 5c1e07a2:800,{second}:41,{number:x}:9\r\n"), format!("{number}"))
}

/// No request is like another one but for the guilty part; sound ones share the other part.
fn press_with_part(name: &str, crash: Crash, guilty: fn(u64) -> (String, String)) {
    on_one_thread(async {
        let world = World::new(GUILTY, crash);
        let Outcome { crashes, late, sound_share } =
            press_beside_sound(name, world, KNOWN_AFTER, "/draft/x", guilty, sound).await;
        assert!(crashes > 0, "nothing crashed");
        assert!(late <= MAX_LATE, "{late} late arrivals of {crashes} crashes");
        assert!(sound_share >= SOUND_SHARE, "{sound_share:.2} of the sound requests are served");
    });
}

#[test]
fn a_part_that_crashes_targets_before_they_answer_is_soon_sent_to_none() {
    press_with_part("part-before-head", Crash::BeforeHead, guilty_second);
}

/// A stream is resumed after its target has crashed, and takes the next one down.
#[test]
fn a_part_that_crashes_targets_as_they_answer_is_soon_sent_to_none() {
    press_with_part("part-first-event", Crash::AfterFirstEvent, guilty_second);
}

#[test]
fn a_first_part_that_crashes_targets_is_soon_sent_to_none() {
    press_with_part("part-first", Crash::AfterFirstEvent, guilty_first);
}

/// The load: the same, while all voters are killed at once and a router starts again.
#[test]
fn a_part_stays_refused_after_all_voters_and_a_router_have_started_again() {
    on_one_thread(async {
        let world = World::new(GUILTY, Crash::AfterFirstEvent);
        let mut fleet = Fleet::start("part-restart", 6, 9, world).await;
        let press = Duration::from_secs(4);
        fleet.press("/draft/x", Duration::from_millis(400), press, guilty_second).await;
        let before = fleet.world.arrivals.borrow().len();
        assert!(before > 1, "nothing crashed");
        for vm in fleet.voters.iter_mut().chain([&mut fleet.routers[0]]) {
            vm.signal("KILL");
            vm.exit_code().await;
            vm.start();
        }
        for router in &fleet.routers {
            let serves = async || {
                let (headers, body) = sound(1);
                send(router.callers(), "/draft/x", &headers, &body).await == 200
            };
            until("a router serves again", serves).await;
        }
        fleet.press("/draft/x", Duration::from_millis(400), press, guilty_second).await;
        let after = fleet.world.arrivals.borrow().len() - before;
        assert!(after <= MAX_LATE, "{after} arrivals after the restarts, {before} before");
    });
}
