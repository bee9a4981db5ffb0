//! Requests that crash the targets that run them, before a fleet of processes.

mod common;
mod gateway_support;
mod poison_support;
mod roles_support;

use std::time::Duration;

use gateway_support::on_one_thread;
use poison_support::{CONTACT, Crash, Fleet, MAX_LATE, World};

/// Crashes after which a repeated request must be known.
const KNOWN_AFTER: usize = 3;

fn poison(_: u64) -> (String, String) {
    (String::new(), "the same each time".to_owned())
}

fn sound(number: u64) -> (String, String) {
    (String::new(), format!("body {number}"))
}

/// The load: six routers before nine targets, each asked every 800 ms for a request that crashes
/// targets, beside sound ones.
fn press_with_poison(name: &str, path: &'static str, crash: Crash) {
    on_one_thread(async {
        let world = World::new("the same each time", crash);
        let fleet = Fleet::start(name, 6, 9, world).await;
        let length = CONTACT + CONTACT + Duration::from_secs(4);
        let (_, sound) = futures::join!(
            fleet.press(path, Duration::from_millis(800), length, poison),
            fleet.press(path, Duration::from_millis(100), length, sound),
        );
        let (crashes, late) =
            (fleet.world.crashes.borrow().len(), fleet.world.late_arrivals(KNOWN_AFTER));
        let served = sound.iter().filter(|status| **status == 200).count() as f64;
        let share = served / sound.len() as f64;
        println!(
            "{name}: {crashes} crashes, {late} late arrivals, {share:.2} of the others served"
        );
        assert!(crashes >= KNOWN_AFTER, "{crashes} crashes: too few to tell");
        assert!(late <= MAX_LATE, "{late} late arrivals of {crashes} crashes");
    });
}

#[test]
fn a_call_that_crashes_its_targets_is_soon_sent_to_none() {
    press_with_poison("poison-call", "/order/x", Crash::BeforeHead);
}

/// A stream is resumed after its target has crashed, and takes the next one down.
#[test]
fn a_stream_that_crashes_its_targets_is_soon_sent_to_none() {
    press_with_poison("poison-stream", "/draft/x", Crash::AfterFirstEvent);
}
