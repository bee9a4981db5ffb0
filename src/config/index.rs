//! An index of exceptions by scope, so that resolution does not walk all of them.

use super::scope::{Mask, Subject};
use super::{Exception, Key};

/// Exceptions whose scopes set the same fields.
#[derive(Clone, Debug)]
struct Group {
    mask: Mask,
    /// Places in the list of exceptions, sorted by scope, then by id.
    places: Vec<u32>,
}

/// The exceptions by the fields of their scopes, the least specific first.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    groups: Vec<Group>,
}

impl Index {
    /// Indexes exceptions that are sorted by id.
    pub fn new(exceptions: &[Exception]) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (place, exception) in exceptions.iter().enumerate() {
            let mask = exception.scope.mask();
            let at = match groups.binary_search_by_key(&mask, |group| group.mask) {
                Ok(at) => at,
                Err(at) => {
                    groups.insert(at, Group { mask, places: Vec::new() });
                    at
                }
            };
            groups[at].places.push(place as u32);
        }
        for group in &mut groups {
            group.places.sort_by_key(|place| &exceptions[*place as usize].scope);
        }
        Self { groups }
    }

    /// The exceptions that match `subject` and are in force, the most specific last.
    pub fn matching<'a>(
        &'a self,
        exceptions: &'a [Exception],
        subject: &'a Subject<'a>,
    ) -> impl Iterator<Item = &'a Exception> {
        let asked = subject.mask();
        let groups = self.groups.iter().filter(move |group| group.mask & asked == group.mask);
        groups.flat_map(move |group| group.matching(exceptions, subject))
    }
}

impl Group {
    fn matching<'a>(
        &'a self,
        exceptions: &'a [Exception],
        subject: &'a Subject<'a>,
    ) -> impl Iterator<Item = &'a Exception> {
        let order = move |place: &u32| exceptions[*place as usize].scope.order(subject);
        let start = self.places.partition_point(|place| order(place).is_lt());
        let found = self.places[start..].iter().take_while(move |place| order(place).is_eq());
        let found = found.map(|place| &exceptions[*place as usize]);
        found.filter(|exception| exception.is_in_force(subject.now_ms))
    }
}

/// Whether a key of a matching exception applies to `subject`.
///
/// Values for the replicas of a model do not reach its adapters, which are replicas of their own.
pub(super) fn is_applied(exception: &Exception, key: Key, subject: &Subject<'_>) -> bool {
    let scope = &exception.scope;
    let is_base_only = scope.model.is_some() && scope.adapter.is_none();
    !(key.is_per_replica() && is_base_only && subject.adapter.is_some())
}
