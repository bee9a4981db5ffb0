//! The memory of a router whose targets send data without end.
//!
//! Resident memory is that of the whole process, so this file holds one test and nothing runs beside
//! it.

mod gateway_support;

use std::cell::Cell;
use std::rc::Rc;

use gateway_support::{
    Action, Router, ScriptedTarget, endless_head, eventually, invalid_responses, on_one_thread,
};

/// The resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}

/// Guards against memory growth with a hundred concurrent endless responses whose callers do not
/// read.
#[test]
fn a_hundred_endless_responses_do_not_grow_the_memory_of_a_router() {
    const ANSWERS: usize = 100;
    const MAX_GROWTH_BYTES: usize = ANSWERS * (256 << 10);
    let mut actions = invalid_responses();
    actions.push(("a body", Action::Flood(endless_head(), "x")));
    for (name, action) in actions {
        on_one_thread(async move {
            let bad = ScriptedTarget::start("a", vec![action]).await;
            let entry = fescuebay::membership::table::TargetEntry {
                slots: ANSWERS as u32,
                ..bad.entry("app", &[])
            };
            let router = Rc::new(Router::start(vec![entry]).await);
            let before_bytes = resident_bytes();
            let mut callers = Vec::new();
            for _ in 0..ANSWERS {
                callers.push(router.send("POST", "/unsafe/x", "Deadline-Ms: 1400\r\n", "b").await);
            }
            // Buffers are given back when their connections close, so the peak counts.
            let peak_bytes = Cell::new(0);
            eventually(|| {
                peak_bytes.set(peak_bytes.get().max(resident_bytes()));
                bad.seen.borrow().closed_by_router as usize == ANSWERS
            })
            .await;
            assert_eq!(bad.requests(), ANSWERS, "{name}");
            let grown_bytes = peak_bytes.get().saturating_sub(before_bytes);
            assert!(grown_bytes < MAX_GROWTH_BYTES, "{name}: {grown_bytes} bytes more");
            drop(callers);
        });
    }
}
