//! Changes of the route table.

use std::cmp::Ordering;
use std::sync::Arc;

use super::{Action, Context, Engine};
use crate::ids::{Digest, TargetId};
use crate::membership::table::{RouteTable, Standing, TargetEntry};
use crate::routing::target::{Number, Target};

impl Engine {
    /// Takes over a new route table, and serves what waited for it.
    pub fn set_table(&mut self, cx: &mut Context<'_>, table: Arc<RouteTable>) {
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
                    self.gone(cx, &old_entry.target, &target);
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
            self.gone(cx, &old_entry.target, &target);
        }
        self.targets = targets;
        self.numbers = (0..).zip(&self.targets).map(|(at, t)| (t.number, at)).collect();
        self.numbers.sort_unstable();
        self.refresh_lanes();
        self.serve_lanes(cx);
        self.settle(cx);
    }

    fn new_target(&mut self, entry: &TargetEntry) -> Target {
        self.next_number += 1;
        let zone = self.settings.zone.as_ref();
        let is_near = zone.is_none_or(|zone| *zone == entry.availability_zone);
        Target::new(Number(self.next_number), entry, is_near)
    }

    /// Tells of a target's death, unless it was leaving and had nothing in flight.
    fn gone(&mut self, cx: &mut Context<'_>, id: &TargetId, target: &Target) {
        let mut digests: Vec<Digest> = target.flights.iter().map(|f| f.digest).collect();
        let broken = self.broken.iter().filter(|call| call.number == target.number);
        digests.extend(broken.map(|call| call.digest));
        digests.sort_unstable();
        digests.dedup();
        for digest in &digests {
            self.suspects.failed(cx.now_ms, target.number, digest);
        }
        if !digests.is_empty() && target.standing != Standing::Leaving {
            cx.out.push(Action::Died { target: id.clone(), digests });
        }
    }

    fn refresh_lanes(&mut self) {
        for lane in &mut self.lanes {
            let candidates = lane.destination.candidates(&self.table).to_vec();
            lane.set_candidates(candidates);
        }
    }

    /// Serves every lane.
    pub(super) fn serve_lanes(&mut self, cx: &mut Context<'_>) {
        for place in 0..self.lanes.len() {
            self.serve_lane(cx, place);
        }
    }
}
