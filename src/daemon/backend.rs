//! What the operators' API asks of a daemon.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;

use crate::admin;
use crate::admin::view;
use crate::config;
use crate::control::{commands, jobs, outcomes, poison, queries, records};
use crate::daemon::bridge::Bridge;
use crate::daemon::core::{ASK_LIMIT, Core};
use crate::daemon::message::{Reply, Request, Show};
use crate::daemon::published::Published;
use crate::ids::{Digest, IdempotencyKey, JobId, OperatorName, Revision, TenantId};
use crate::report;
use crate::report::Format as _;
use crate::traffic::clock::Clock;

/// The most changes, records or jobs of one answer.
const MAX_ITEMS: usize = 10_000;
/// Records that are asked for at once.
const PAGE_ROWS: usize = 1_000;

/// The operators' side of one daemon.
pub struct Backend {
    /// The way to the control thread.
    pub bridge: Bridge,
    /// The configuration in force.
    pub published: Arc<Published>,
    /// The time.
    pub clock: Clock,
}

fn unavailable(why: &str) -> Report<admin::Error> {
    Report::new(admin::Error::Unavailable(why.to_owned()))
}

fn refused(why: &str) -> Report<admin::Error> {
    Report::new(admin::Error::Refused(why.to_owned()))
}

impl Backend {
    async fn ask(&self, request: Request, limit: Duration) -> admin::Result<Reply> {
        let ask = move |core: Rc<Core>| async move { core.ask_leader(request, limit).await };
        match self.bridge.run(move |core| Box::pin(ask(core))).await {
            Some(Ok(Reply::Failed(_, step))) => Err(refused(&step)),
            Some(Ok(reply)) => Ok(reply),
            Some(Err(_)) => Err(unavailable("no leader answers")),
            None => Err(unavailable("the daemon is stopping")),
        }
    }

    async fn propose(&self, command: commands::Command) -> admin::Result<commands::Outcome> {
        match self.ask(Request::Propose(Box::new(command)), ASK_LIMIT).await? {
            Reply::Outcome(outcome) => Ok(*outcome),
            _ => Err(unavailable("no leader answers")),
        }
    }

    async fn query(&self, query: queries::Query) -> admin::Result<queries::Answer> {
        match self.ask(Request::Query(query), ASK_LIMIT).await? {
            Reply::Answer(answer) => Ok(*answer),
            _ => Err(unavailable("no leader answers")),
        }
    }

    async fn show<T: serde::de::DeserializeOwned>(&self, show: Show) -> admin::Result<T> {
        match self.ask(Request::Show(show), ASK_LIMIT).await? {
            Reply::Shown(json) => {
                serde_json::from_str(&json).map_err(|_| unavailable("the leader answers oddly"))
            }
            _ => Err(unavailable("no leader answers")),
        }
    }

    /// Exceptions in force, as reports name them.
    fn exceptions(&self, now_ms: u64) -> Vec<report::Exception> {
        let fleet = self.published.fleet.load();
        let in_force = fleet.exceptions().iter().filter(|e| e.is_in_force(now_ms));
        let named = in_force.map(|exception| {
            let settings: Vec<String> =
                exception.settings.iter().map(ToString::to_string).collect();
            report::Exception {
                what: format!("{}: {}", exception.scope, settings.join(", ")),
                reason: exception.reason.clone(),
                until_ms: exception.end_ms,
            }
        });
        named.collect()
    }
}

impl admin::Backend for Backend {
    async fn change(&self, change: config::Change) -> admin::Result<config::Outcome> {
        let command = commands::Command::Config(Box::new(config::Command::Change(change)));
        match self.propose(command).await? {
            commands::Outcome::Config(outcome) => Ok(*outcome),
            _ => Err(unavailable("the change was not understood")),
        }
    }

    fn fleet(&self) -> Arc<config::Fleet> {
        self.published.fleet.load_full()
    }

    async fn changes(&self, after: Revision, limit: usize) -> admin::Result<Vec<config::Accepted>> {
        let query = queries::Query::Changes { after, limit: limit.min(MAX_ITEMS) };
        match self.query(query).await? {
            queries::Answer::Changes(changes) => Ok(changes),
            _ => Err(unavailable("the question was not understood")),
        }
    }

    async fn revision(&self) -> admin::Result<view::Revisions> {
        self.show(Show::Revisions).await
    }

    async fn targets(&self) -> admin::Result<Vec<view::Target>> {
        self.show(Show::Targets).await
    }

    async fn models(&self) -> admin::Result<Vec<view::Model>> {
        self.show(Show::Models).await
    }

    async fn voters(&self) -> admin::Result<Vec<view::Voter>> {
        self.show(Show::Voters).await
    }

    async fn replace_voter(&self, replacement: view::Replacement) -> admin::Result<()> {
        let request = Request::ReplaceVoter(replacement.old, replacement.new);
        self.ask(request, ASK_LIMIT * 2).await.map(drop)
    }

    async fn report(&self, window: view::Window, format: view::Format) -> admin::Result<String> {
        let now_ms = self.clock.now_ms();
        let span = match window {
            view::Window::Hour => report::Span::Hour,
            view::Window::Night => report::Span::Night,
            view::Window::Week => report::Span::Week,
        };
        let offset_ms = i64::from(self.published.fleet.load().base().utc_offset_min.0) * 60_000;
        let covered = span.window(now_ms, offset_ms);
        let query = outcomes::Query::Hours { from_ms: covered.from_ms, to_ms: covered.to_ms };
        let queries::Answer::Outcomes(hours) = self.query(queries::Query::Outcomes(query)).await?
        else {
            return Err(unavailable("the question was not understood"));
        };
        let unknown = records::Query::List { after: None, max_rows: PAGE_ROWS, only_unknown: true };
        let unknown_calls = match self.query(queries::Query::Records(unknown)).await? {
            queries::Answer::Records(records::View::Page(rows)) => rows.len(),
            _ => 0,
        };
        let open_jobs = match self.query(queries::Query::Jobs(jobs::Query::Count)).await? {
            queries::Answer::Jobs(jobs::View::Count { waiting, leased, .. }) => waiting + leased,
            _ => 0,
        };
        let input = report::Input {
            span,
            window: covered,
            hours,
            unknown_calls,
            closed_digests: self.published.poison.load().closed(now_ms),
            open_jobs,
            exceptions: self.exceptions(now_ms),
        };
        let report = report::Report::new(input);
        Ok(match format {
            view::Format::Text => report::Text.render(&report),
            view::Format::Html => report::Html.render(&report),
            view::Format::Json => report::Json.render(&report),
        })
    }

    async fn records(&self, filter: view::RecordFilter) -> admin::Result<Vec<view::Record>> {
        let only_unknown = filter.state.as_deref() == Some("unknown");
        let is_wanted = |row: &records::Row| {
            let has_tenant = filter.tenant.as_ref().is_none_or(|tenant| row.tenant == *tenant);
            let has_state =
                filter.state.as_ref().is_none_or(|state| record_state(&row.status) == state);
            has_tenant && has_state
        };
        let mut found = Vec::new();
        let mut after = None;
        loop {
            let max_rows = PAGE_ROWS;
            let query = records::Query::List { after, max_rows, only_unknown };
            let queries::Answer::Records(records::View::Page(page)) =
                self.query(queries::Query::Records(query)).await?
            else {
                return Err(unavailable("the question was not understood"));
            };
            after = page.last().map(|row| row.at);
            let is_last = page.len() < max_rows;
            found.extend(page.into_iter().filter(is_wanted).map(record_view));
            if is_last || found.len() >= filter.limit.0 {
                break;
            }
        }
        found.truncate(filter.limit.0);
        found.sort_by_key(|record| record.created_ms);
        Ok(found)
    }

    async fn settle_record(
        &self,
        tenant: TenantId,
        key: IdempotencyKey,
        settlement: view::Settlement,
        author: OperatorName,
    ) -> admin::Result<()> {
        let settlement = records::Settlement {
            ran: settlement.finding == view::Finding::Ran,
            by: author.to_string(),
            reason: settlement.reason,
        };
        let command = records::Command::Settle { tenant, key, settlement };
        match self.propose(commands::Command::Records(command)).await? {
            commands::Outcome::Records(records::Outcome::Settled(settled)) => match settled {
                records::Settled::Done => Ok(()),
                other => Err(refused(&format!("the record was not settled: {other:?}"))),
            },
            _ => Err(unavailable("the command was not understood")),
        }
    }

    async fn jobs(&self, limit: usize) -> admin::Result<Vec<view::Job>> {
        let query = jobs::Query::List { tenant: None, after: None, max_rows: limit };
        match self.query(queries::Query::Jobs(query)).await? {
            queries::Answer::Jobs(jobs::View::Page(rows)) => {
                let mut jobs: Vec<view::Job> = rows.into_iter().map(job_view).collect();
                jobs.sort_by_key(|job| job.created_ms);
                Ok(jobs)
            }
            _ => Err(unavailable("the question was not understood")),
        }
    }

    async fn cancel_job(
        &self,
        job: JobId,
        reason: String,
        author: OperatorName,
    ) -> admin::Result<()> {
        let listed = self.jobs(MAX_ITEMS).await?;
        let Some(known) = listed.into_iter().find(|known| known.job == job) else {
            return Err(Report::new(admin::Error::NotFound(format!("job {job}"))));
        };
        log::info!("operator {author} cancels job {job}: {reason}");
        let command = jobs::Command::Cancel { tenant: known.tenant, id: job };
        match self.propose(commands::Command::Jobs(command)).await? {
            commands::Outcome::Jobs(jobs::Outcome::Cancelled(_)) => Ok(()),
            _ => Err(unavailable("the command was not understood")),
        }
    }

    async fn poison(&self) -> admin::Result<Vec<view::Poison>> {
        let query = queries::Query::Poison(poison::Query::List);
        match self.query(query).await? {
            queries::Answer::Poison(poison::Answer::List { rows, .. }) => {
                Ok(rows.into_iter().map(poison_view).collect())
            }
            _ => Err(unavailable("the question was not understood")),
        }
    }

    async fn lift_poison(
        &self,
        digest: Digest,
        reason: String,
        author: OperatorName,
    ) -> admin::Result<()> {
        let lift = poison::Command::Lift { digest, by: author.to_string(), reason };
        match self.propose(commands::Command::Poison(lift)).await? {
            commands::Outcome::Poison(poison::Outcome::Lifted(lifted)) => match lifted {
                poison::Lifted::Done => Ok(()),
                poison::Lifted::NoReason => Err(refused("a reason is needed")),
                poison::Lifted::NotListed => {
                    Err(Report::new(admin::Error::NotFound(format!("digest {digest}"))))
                }
            },
            _ => Err(unavailable("the command was not understood")),
        }
    }
}

fn poison_view(row: poison::Row) -> view::Poison {
    view::Poison {
        digest: row.flight.digest,
        model: row.flight.model,
        died: row.deaths.into_iter().map(|death| death.target).collect(),
        closed_until_ms: match row.standing {
            poison::Standing::Closed { until_ms } => Some(until_ms),
            poison::Standing::Clear | poison::Standing::Suspect => None,
        },
    }
}

fn record_state(status: &records::Status) -> &'static str {
    match status {
        records::Status::Pending => "pending",
        records::Status::Answered(_) => "answered",
        records::Status::Unknown(_) => "unknown",
        records::Status::Released => "released",
        records::Status::Settled { .. } => "settled",
    }
}

fn record_view(row: records::Row) -> view::Record {
    view::Record {
        state: record_state(&row.status).to_owned(),
        tenant: row.tenant,
        key: row.key,
        daemon: row.owner.map(|owner| owner.daemon),
        created_ms: row.since_ms,
        expires_ms: row.expires_ms,
    }
}

fn job_view(row: jobs::Row) -> view::Job {
    let (state, reason) = match row.status {
        jobs::Status::Waiting => ("waiting", None),
        jobs::Status::Leased => ("running", None),
        jobs::Status::Answered | jobs::Status::Ended(jobs::End::Answered(_)) => ("done", None),
        jobs::Status::Ended(jobs::End::Cancelled { .. }) => ("cancelled", None),
        jobs::Status::Ended(jobs::End::Refused { reason, .. }) => {
            ("refused", Some(reason.to_string()))
        }
    };
    view::Job {
        job: row.id,
        tenant: row.tenant,
        class: Some(row.class),
        state: state.to_owned(),
        created_ms: row.submitted_ms,
        deadline_ms: row.deadline_ms,
        attempts: row.runs,
        reason,
    }
}
