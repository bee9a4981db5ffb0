//! Route table updates: keeps the state of known targets and reports targets that died.

use std::cmp::Ordering;
use std::sync::Arc;

use super::{Action, EventContext, RoutingEngine};
use crate::ids::{Digest, TargetId};
use crate::membership::table::{RouteTable, Standing, TargetEntry};
use crate::routing::target::{Target, TargetNumber};

impl RoutingEngine {
    /// Replaces the route table and dispatches queued requests that can now be sent.
    pub fn set_table(&mut self, cx: &mut EventContext<'_>, table: Arc<RouteTable>) {
        let old_table = std::mem::replace(&mut self.table, table);
        let old_targets = std::mem::take(&mut self.targets);
        let mut old = old_table.entries().iter().zip(old_targets).peekable();
        let table = self.table.clone();
        let mut targets = Vec::with_capacity(table.entries().len());
        for entry in table.entries() {
            let mut known = None;
            while let Some((old_entry, _)) = old.peek() {
                let order = old_entry.target.cmp(&entry.target);
                if order == Ordering::Greater {
                    break;
                }
                let (old_entry, target) = old.next().expect("it was peeked at");
                if order == Ordering::Equal && target.incarnation == entry.incarnation {
                    known = Some(target);
                } else {
                    self.remove_target(cx, &old_entry.target, &target);
                }
            }
            let target = match known {
                Some(mut target) => {
                    target.update(entry);
                    target
                }
                None => self.new_target(entry),
            };
            targets.push(target);
        }
        for (old_entry, target) in old {
            self.remove_target(cx, &old_entry.target, &target);
        }
        self.targets = targets;
        self.index_by_number = (0..).zip(&self.targets).map(|(at, t)| (t.number, at)).collect();
        self.index_by_number.sort_unstable();
        self.refresh_queue_candidates();
        self.serve_queues(cx);
        self.finish_event(cx);
    }

    fn new_target(&mut self, entry: &TargetEntry) -> Target {
        self.next_number += 1;
        let zone = self.settings.zone.as_ref();
        let is_same_zone = zone.is_none_or(|zone| *zone == entry.availability_zone);
        Target::new(TargetNumber(self.next_number), entry, is_same_zone)
    }

    /// Marks the calls of a removed target as suspect, and reports its death if it had any and was
    /// not leaving.
    fn remove_target(&mut self, cx: &mut EventContext<'_>, id: &TargetId, target: &Target) {
        let mut digests: Vec<Digest> = target.calls.iter().map(|f| f.digest).collect();
        let broken = self.broken_calls.iter().filter(|call| call.number == target.number);
        digests.extend(broken.map(|call| call.digest));
        digests.sort_unstable();
        digests.dedup();
        for digest in &digests {
            self.suspects.record_failure(cx.now_ms, target.number, digest);
        }
        if !digests.is_empty() && target.standing != Standing::Leaving {
            cx.out.push(Action::TargetDied { target: id.clone(), digests });
        }
    }

    fn refresh_queue_candidates(&mut self) {
        for queue in &mut self.queues {
            let candidates = queue.destination.candidates(&self.table).to_vec();
            queue.set_candidates(candidates);
        }
    }

    /// Dispatches as many requests as possible from every queue.
    pub(super) fn serve_queues(&mut self, cx: &mut EventContext<'_>) {
        for index in 0..self.queues.len() {
            self.serve_queue(cx, index);
        }
    }
}
