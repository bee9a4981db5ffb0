//! Requests that crash the targets that run them, before a fleet of processes.

mod common;
mod gateway_support;
mod poison_support;
mod roles_support;

use gateway_support::on_one_thread;
use poison_support::{Crash, MAX_LATE, Outcome, World, press_beside_sound};

/// Crashes after which a repeated request must be known.
const KNOWN_AFTER: usize = 3;

fn poison(_: u64) -> (String, String) {
    (String::new(), "the same each time".to_owned())
}

fn sound(number: u64) -> (String, String) {
    (String::new(), format!("body {number}"))
}

fn press_with_poison(name: &str, path: &'static str, crash: Crash) {
    on_one_thread(async {
        let world = World::new("the same each time", crash);
        let Outcome { crashes, late, .. } =
            press_beside_sound(name, world, KNOWN_AFTER, path, poison, sound).await;
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
