//! `fescuebay records`, `jobs` and `poison`: work that must not repeat, be lost, or crash targets.

use super::Result;
use super::connection::{Connection, call};
use super::output::print;
use crate::admin::client::path_part;
use crate::admin::view;
use crate::ids::{Digest, IdempotencyKey, JobId, TenantId};
use crate::logging;

/// List and settle records of idempotency keys
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum RecordsCommand {
    /// List records, the oldest first
    List(RecordsListArgs),
    /// Settle a call that may have run
    Settle(RecordsSettleArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay records list --state unknown")]
pub(super) struct RecordsListArgs {
    /// Only in this state: pending, answered, unknown, released or settled
    #[arg(long)]
    state: Option<String>,
    /// Only of this tenant
    #[arg(long)]
    tenant: Option<TenantId>,
    /// At most so many
    #[arg(long, value_name = "COUNT", default_value = "100")]
    limit: usize,
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    fescuebay records settle adoption-desk reserve-431 --ran \\\n    \
    --reason 'the desk shows the reservation'")]
pub(super) struct RecordsSettleArgs {
    /// The tenant
    tenant: TenantId,
    /// The idempotency key
    key: IdempotencyKey,
    /// It ran: the key stays closed
    #[arg(long, required_unless_present = "did_not_run", conflicts_with = "did_not_run")]
    ran: bool,
    /// It did not run: the key may be used again
    #[arg(long)]
    did_not_run: bool,
    /// How you know
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    connection: Connection,
}

/// List and cancel durable jobs
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum JobsCommand {
    /// List jobs, the oldest first
    List(JobsListArgs),
    /// Cancel a job
    Cancel(JobsCancelArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct JobsListArgs {
    /// At most so many
    #[arg(long, value_name = "COUNT", default_value = "100")]
    limit: usize,
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay jobs cancel job-71 --reason 'sent by mistake'")]
pub(super) struct JobsCancelArgs {
    /// The job
    job: JobId,
    /// What its caller is told
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    connection: Connection,
}

/// List and lift requests that are refused because targets crashed under them
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum PoisonCommand {
    /// List suspected and closed requests
    List(PoisonListArgs),
    /// Let a closed request run again
    Lift(PoisonLiftArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct PoisonListArgs {
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay poison lift DIGEST --reason 'engine was mended'")]
pub(super) struct PoisonLiftArgs {
    /// The digest, as `poison list` prints it
    digest: Digest,
    /// Why it may run again
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    connection: Connection,
}

impl RecordsCommand {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self {
            RecordsCommand::List(args) => args.run().await,
            RecordsCommand::Settle(args) => args.run().await,
        }
    }
}

impl RecordsListArgs {
    async fn run(self) -> Result<()> {
        let mut path = format!("/records?limit={}", self.limit);
        if let Some(state) = self.state {
            path.push_str(&format!("&state={state}"));
        }
        if let Some(tenant) = self.tenant {
            path.push_str(&format!("&tenant={tenant}"));
        }
        let row = |record: &view::Record| {
            let key = record.key.as_ref().map(ToString::to_string);
            let daemon = record.daemon.as_ref().map(ToString::to_string);
            [
                record.tenant.to_string(),
                key.unwrap_or_default(),
                record.state.clone(),
                daemon.unwrap_or_default(),
                logging::time(record.created_ms).to_string(),
            ]
        };
        let headings = ["tenant", "key", "state", "daemon", "since"];
        self.connection.show(&path, headings, "no records", row).await
    }
}

impl RecordsSettleArgs {
    async fn run(self) -> Result<()> {
        let finding = if self.ran { view::Finding::Ran } else { view::Finding::DidNotRun };
        let settlement = view::Settlement { finding, reason: self.reason };
        let path = format!("/records/{}/{}/settle", path_part(&self.tenant), path_part(&self.key));
        call(self.connection.client()?.post(&path, &settlement).await)?;
        done(&self.connection, "settled");
        Ok(())
    }
}

impl JobsCommand {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self {
            JobsCommand::List(args) => args.run().await,
            JobsCommand::Cancel(args) => args.run().await,
        }
    }
}

impl JobsListArgs {
    async fn run(self) -> Result<()> {
        let path = format!("/jobs?limit={}", self.limit);
        let row = |job: &view::Job| {
            let class = job.class.as_ref().map(ToString::to_string);
            [
                job.job.to_string(),
                job.tenant.to_string(),
                class.unwrap_or_default(),
                job.state.clone(),
                logging::time(job.deadline_ms).to_string(),
                job.attempts.to_string(),
                job.reason.clone().unwrap_or_default(),
            ]
        };
        let headings = ["job", "tenant", "class", "state", "due", "tries", "reason"];
        self.connection.show(&path, headings, "no jobs", row).await
    }
}

impl JobsCancelArgs {
    async fn run(self) -> Result<()> {
        let path = format!("/jobs/{}/cancel", path_part(&self.job));
        let reason = view::Reason { reason: self.reason };
        call(self.connection.client()?.post(&path, &reason).await)?;
        done(&self.connection, "cancelled");
        Ok(())
    }
}

impl PoisonCommand {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self {
            PoisonCommand::List(args) => args.run().await,
            PoisonCommand::Lift(args) => args.run().await,
        }
    }
}

impl PoisonListArgs {
    async fn run(self) -> Result<()> {
        let row = |request: &view::Poison| {
            let died = request.died.iter().map(ToString::to_string);
            let model = request.model.as_ref().map(ToString::to_string);
            let closed = request.closed_until_ms.map(|until| logging::time(until).to_string());
            [
                request.digest.to_string(),
                model.unwrap_or_default(),
                closed.unwrap_or_else(|| "suspected".to_owned()),
                died.collect::<Vec<_>>().join(", "),
            ]
        };
        let headings = ["digest", "model", "closed until", "died"];
        self.connection.show("/poison", headings, "no poison requests", row).await
    }
}

impl PoisonLiftArgs {
    async fn run(self) -> Result<()> {
        let reason = view::Reason { reason: self.reason };
        let path = format!("/poison/{}/lift", self.digest);
        call(self.connection.client()?.post(&path, &reason).await)?;
        done(&self.connection, "lifted");
        Ok(())
    }
}

fn done(connection: &Connection, what: &str) {
    if !connection.json {
        print(what);
    }
}
