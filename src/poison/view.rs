//! What one router knows of requests that may crash targets, and what it has to report.

use super::message::{Death, Observation, Report, Statement, Wanted};
use super::{Standing, Subject};
use crate::rate_limit::TargetLife;

/// An attempt that broke before an answer had begun.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// The target.
    pub life: TargetLife,
    /// When it was sent.
    pub sent_ms: u64,
}

#[derive(Clone, Debug)]
struct Told {
    statement: Statement,
    told_ms: u64,
}

impl Told {
    fn standing(&self, now_ms: u64) -> Standing {
        match self.statement.closed_for_ms.map(|for_ms| self.told_ms + for_ms) {
            Some(until_ms) if now_ms < until_ms => Standing::Closed { until_ms },
            _ => Standing::Restricted,
        }
    }
}

/// An observation that is not reported yet.
#[derive(Clone, Debug)]
struct Unreported {
    subject: Subject,
    broken: Option<(BrokenAttempt, u64)>,
    answered_ms: Option<u64>,
    is_trial_over: bool,
}

/// Upper bound of observations that wait for a leader. Later ones are dropped.
const MAX_UNREPORTED: usize = 1_024;

/// Upper bound of subjects whose last answers are remembered. Beyond it, the quarter that was answered
/// the longest ago is dropped.
const MAX_ANSWERED: usize = 2_048;

/// The knowledge of one router.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// What the leader told last, sorted by subject.
    told: Vec<Told>,
    /// When the last answers to requests with shared subjects began, sorted by subject.
    answered: Vec<(Subject, u64)>,
    unreported: Vec<Unreported>,
    /// Whether the current leader has not been told yet what an earlier one said.
    is_leader_new: bool,
}

impl View {
    /// How a request with these subjects is treated: the strictest of their standings.
    pub fn standing(&self, now_ms: u64, subjects: &[Subject]) -> Standing {
        let mut strictest = Standing::Clear;
        for told in subjects.iter().filter_map(|subject| self.find(subject)) {
            let standing = match told.standing(now_ms) {
                Standing::Closed { .. } if !self.is_same_case(told, subjects) => {
                    Standing::Restricted
                }
                standing => standing,
            };
            match (strictest, standing) {
                (Standing::Closed { until_ms: known_ms }, Standing::Closed { until_ms }) => {
                    strictest = Standing::Closed { until_ms: until_ms.max(known_ms) };
                }
                (Standing::Closed { .. }, _) => {}
                (_, standing) => strictest = standing,
            }
        }
        strictest
    }

    /// Whether a request has all suspects of the trial that closed one of its subjects, but for those
    /// that the leader does not name any more.
    fn is_same_case(&self, told: &Told, subjects: &[Subject]) -> bool {
        let mut suspects = told.statement.closed_with.iter().filter(|other| self.is_told(other));
        suspects.all(|other| subjects.contains(other))
    }

    /// Whether the leader restricts or closes a subject.
    pub fn is_told(&self, subject: &Subject) -> bool {
        self.find(subject).is_some()
    }

    /// Applies the leader's list. What is closed stays so until a new leader knows it.
    pub fn apply(&mut self, now_ms: u64, statements: &[Statement]) {
        let told = |statement: &Statement| Told { statement: statement.clone(), told_ms: now_ms };
        let mut next: Vec<Told> = statements.iter().map(told).collect();
        if self.is_leader_new {
            let is_kept = |known: &Told| {
                matches!(known.standing(now_ms), Standing::Closed { .. })
                    && !statements.iter().any(|s| s.subject == known.statement.subject)
            };
            next.extend(self.told.drain(..).filter(is_kept));
        }
        next.sort_unstable_by(|a, b| a.statement.subject.cmp(&b.statement.subject));
        let before = std::mem::replace(&mut self.told, next);
        self.report_known_answers(&before);
    }

    /// Reports the answers that this router remembers of subjects that were not told before.
    fn report_known_answers(&mut self, before: &[Told]) {
        let is_new =
            |told: &&Told| !before.iter().any(|b| b.statement.subject == told.statement.subject);
        let new: Vec<Subject> =
            self.told.iter().filter(is_new).map(|told| told.statement.subject.clone()).collect();
        for subject in new {
            if let Some(began_ms) = self.answered_ms(&subject) {
                self.push(Unreported { answered_ms: Some(began_ms), ..Unreported::of(subject) });
            }
        }
    }

    fn answered_ms(&self, subject: &Subject) -> Option<u64> {
        let at = self.answered.binary_search_by(|(known, _)| known.cmp(subject)).ok()?;
        Some(self.answered[at].1)
    }

    fn remember_answer(&mut self, began_ms: u64, subject: &Subject) {
        match self.answered.binary_search_by(|(known, _)| known.cmp(subject)) {
            Ok(at) => self.answered[at].1 = self.answered[at].1.max(began_ms),
            Err(at) => self.answered.insert(at, (subject.clone(), began_ms)),
        }
        if self.answered.len() > MAX_ANSWERED {
            let mut times_ms: Vec<u64> = self.answered.iter().map(|(_, at_ms)| *at_ms).collect();
            let (_, oldest_quarter_ms, _) = times_ms.select_nth_unstable(MAX_ANSWERED / 4);
            let limit_ms = *oldest_quarter_ms;
            self.answered.retain(|(_, at_ms)| *at_ms > limit_ms);
        }
    }

    /// Another daemon leads: it is told what the one before said.
    pub fn begin_leader(&mut self) {
        self.is_leader_new = !self.told.is_empty();
    }

    /// Records that a connection broke before an answer to a request with these subjects had begun.
    pub fn record_break(&mut self, now_ms: u64, subjects: &[Subject], attempt: &BrokenAttempt) {
        for subject in subjects {
            self.push(Unreported {
                broken: Some((attempt.clone(), now_ms)),
                answered_ms: self.answered_ms(subject),
                ..Unreported::of(subject.clone())
            });
        }
    }

    /// Records that an answer to a request with these subjects began at `began_ms`. The leader is told of
    /// those that it restricts, and of all if the request `was_suspect`.
    pub fn record_answer(&mut self, began_ms: u64, subjects: &[Subject], was_suspect: bool) {
        for subject in subjects {
            if subject.is_shared() {
                self.remember_answer(began_ms, subject);
            }
            if was_suspect || self.is_told(subject) {
                self.push(Unreported {
                    answered_ms: Some(began_ms),
                    ..Unreported::of(subject.clone())
                });
            }
        }
    }

    /// Records that a permitted trial ended without a result.
    pub fn record_trial_over(&mut self, subjects: &[Subject]) {
        for subject in subjects {
            self.push(Unreported { is_trial_over: true, ..Unreported::of(subject.clone()) });
        }
    }

    /// Whether there is anything to report.
    pub fn has_report(&self) -> bool {
        !self.unreported.is_empty() || self.is_leader_new
    }

    /// Takes all that is to be reported.
    pub fn take_report(&mut self, now_ms: u64, wanted: Option<Wanted>) -> Report {
        let observations = self.unreported.drain(..).map(|one| one.to_message(now_ms)).collect();
        let statements = match self.is_leader_new {
            true => self.told.iter().map(|told| told.to_message(now_ms)).collect(),
            false => Vec::new(),
        };
        Report { observations, statements, wanted }
    }

    /// Records that the leader has answered a report.
    pub fn record_reported(&mut self, report: &Report) {
        self.is_leader_new &= report.statements.is_empty();
    }

    /// Puts back a report of `taken_ms` that no leader answered.
    pub fn put_back(&mut self, taken_ms: u64, report: Report) {
        for observation in report.observations {
            self.push(Unreported::from_message(taken_ms, observation));
        }
    }

    fn push(&mut self, one: Unreported) {
        if self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push(one);
        } else {
            metrics::counter!("fescuebay_poison_reports_dropped_total").increment(1);
        }
    }

    fn find(&self, subject: &Subject) -> Option<&Told> {
        let at = self.told.binary_search_by(|told| told.statement.subject.cmp(subject)).ok()?;
        Some(&self.told[at])
    }
}

impl Told {
    /// What an earlier leader told, as old as it is now.
    fn to_message(&self, now_ms: u64) -> Statement {
        let since_ms = now_ms.saturating_sub(self.told_ms);
        let mut statement = self.statement.clone();
        for death in &mut statement.deaths {
            death.sent_age_ms += since_ms;
            death.broke_age_ms += since_ms;
        }
        statement.answer_age_ms = statement.answer_age_ms.map(|age_ms| age_ms + since_ms);
        statement.closed_for_ms = statement.closed_for_ms.and_then(|ms| ms.checked_sub(since_ms));
        statement
    }
}

impl Unreported {
    /// Nothing about a subject yet.
    fn of(subject: Subject) -> Self {
        Self { subject, broken: None, answered_ms: None, is_trial_over: false }
    }

    fn to_message(&self, now_ms: u64) -> Observation {
        let death = self.broken.as_ref().map(|(attempt, broke_ms)| Death {
            life: attempt.life.clone(),
            sent_age_ms: now_ms.saturating_sub(attempt.sent_ms),
            broke_age_ms: now_ms.saturating_sub(*broke_ms),
        });
        Observation {
            subject: self.subject.clone(),
            death,
            answer_age_ms: self.answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            is_trial_over: self.is_trial_over,
        }
    }

    fn from_message(taken_ms: u64, observation: Observation) -> Self {
        let Observation { subject, death, answer_age_ms, is_trial_over } = observation;
        let broken = death.map(|death| {
            let sent_ms = taken_ms.saturating_sub(death.sent_age_ms);
            let broke_ms = taken_ms.saturating_sub(death.broke_age_ms);
            (BrokenAttempt { life: death.life, sent_ms }, broke_ms)
        });
        let answered_ms = answer_age_ms.map(|age_ms| taken_ms.saturating_sub(age_ms));
        Self { subject, broken, answered_ms, is_trial_over }
    }
}
