//! `fescuebay catalogue`, `revision`, `targets`, `models` and `voters`.

use super::Result;
use super::connection::{Connection, call};
use super::output::{Table, print, print_json};
use crate::admin::view;
use crate::config::Catalogue;
use crate::ids::DaemonId;
use crate::units::Millis;

/// Show what the fleet serves: models, plain services and classes of work
#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct CatalogueArgs {
    #[command(flatten)]
    connection: Connection,
}

/// Show the revision in force at each daemon
#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct RevisionArgs {
    #[command(flatten)]
    connection: Connection,
}

/// Show the targets
#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct TargetsArgs {
    #[command(flatten)]
    connection: Connection,
}

/// Show the models that are wanted or loaded, and why
#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct ModelsArgs {
    #[command(flatten)]
    connection: Connection,
}

/// Show and replace the voters of the control group
#[derive(Debug)]
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub(super) struct VotersArgs {
    #[command(subcommand)]
    command: Option<VotersCommand>,
    #[command(flatten)]
    list: VotersListArgs,
}

#[derive(Debug)]
#[derive(clap::Subcommand)]
enum VotersCommand {
    /// List voters and learners, as without a command
    List(VotersListArgs),
    /// Put a new voter in the place of an old one
    Replace(VotersReplaceArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
struct VotersListArgs {
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay voters replace --old andina-b-1 --new andina-b-2")]
struct VotersReplaceArgs {
    /// The voter that leaves
    #[arg(long, value_name = "DAEMON")]
    old: DaemonId,
    /// The daemon that becomes a voter; its settings name a data folder
    #[arg(long, value_name = "DAEMON")]
    new: DaemonId,
    #[command(flatten)]
    connection: Connection,
}

impl CatalogueArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let catalogue: Catalogue = call(self.connection.client()?.get("/catalogue").await)?;
        if self.connection.json {
            print_json(&catalogue);
            return Ok(());
        }
        let mut models = Table::new(&["model", "version", "memory", "slots", "adapters"]);
        for model in &catalogue.models {
            models.row([
                model.name.to_string(),
                model.version.to_string(),
                model.memory_bytes.to_string(),
                model.slots.to_string(),
                model.adapters.len().to_string(),
            ]);
        }
        let mut classes = Table::new(&["class", "rank", "weight", "deadline", "important"]);
        for class in &catalogue.classes {
            classes.row([
                class.name.to_string(),
                class.rank.to_string(),
                class.weight.to_string(),
                class.deadline_ms.to_string(),
                yes_no(class.is_important),
            ]);
        }
        let mut services = Table::new(&["service", "idempotent beside GET and HEAD"]);
        for service in &catalogue.services {
            let routes = service.idempotent.iter().map(|r| format!("{} {}", r.method, r.path));
            services.row([service.name.to_string(), routes.collect::<Vec<_>>().join(", ")]);
        }
        print(&models.text("no models\n"));
        print(&format!("\n{}", classes.text("no classes\n")));
        print(&format!("\n{}", services.text("no services\n")));
        Ok(())
    }
}

impl RevisionArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let revisions: view::Revisions = call(self.connection.client()?.get("/revision").await)?;
        if self.connection.json {
            print_json(&revisions);
            return Ok(());
        }
        let mut table = Table::new(&["daemon", "zone", "in force", "heard"]);
        for daemon in &revisions.daemons {
            let lags = if daemon.in_force < revisions.accepted { " (lags)" } else { "" };
            table.row([
                daemon.daemon.to_string(),
                daemon.availability_zone.to_string(),
                format!("{}{lags}", daemon.in_force),
                heard(daemon.silent_ms),
            ]);
        }
        print(&format!("accepted: revision {}\n{}", revisions.accepted, table.text("no daemons")));
        Ok(())
    }
}

impl TargetsArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let row = |target: &view::Target| {
            let replicas = target.replicas.iter().map(|replica| match replica.phase.as_str() {
                "loaded" => replica.model.to_string(),
                phase => format!("{} ({phase})", replica.model),
            });
            [
                target.target.to_string(),
                target.kind.clone(),
                target.availability_zone.to_string(),
                target.standing.clone(),
                target.taken_bytes.to_string(),
                target.memory_bytes.to_string(),
                replicas.collect::<Vec<_>>().join(", "),
            ]
        };
        let headings = ["target", "kind", "zone", "standing", "taken", "memory", "replicas"];
        self.connection.show("/targets", headings, "no targets", row).await
    }
}

impl ModelsArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let row = |model: &view::Model| {
            [
                model.model.to_string(),
                model.version.to_string(),
                model.wanted.to_string(),
                model.loading.to_string(),
                model.loaded.to_string(),
                model.waiting.to_string(),
                model.why.clone(),
            ]
        };
        let headings = ["model", "version", "wanted", "loading", "loaded", "waiting", "why"];
        self.connection.show("/models", headings, "no model is wanted or loaded", row).await
    }
}

impl VotersArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self.command {
            None => self.list.run().await,
            Some(VotersCommand::List(args)) => args.run().await,
            Some(VotersCommand::Replace(args)) => args.run().await,
        }
    }
}

impl VotersListArgs {
    async fn run(self) -> Result<()> {
        let row = |voter: &view::Voter| {
            [
                voter.daemon.to_string(),
                voter.availability_zone.to_string(),
                voter.role.clone(),
                voter.synced.to_string(),
                heard(voter.silent_ms),
            ]
        };
        let headings = ["daemon", "zone", "role", "synced", "heard"];
        self.connection.show("/voters", headings, "no voters", row).await
    }
}

impl VotersReplaceArgs {
    async fn run(self) -> Result<()> {
        let replacement = view::Replacement { old: self.old, new: self.new };
        call(self.connection.client()?.post("/voters/replace", &replacement).await)?;
        if !self.connection.json {
            let view::Replacement { old, new } = &replacement;
            print(&format!("{new} takes the place of {old} once it holds all that is committed"));
        }
        Ok(())
    }
}

fn heard(silent_ms: Option<Millis>) -> String {
    silent_ms.map_or("never".to_owned(), |silent_ms| format!("{silent_ms} ago"))
}

fn yes_no(flag: bool) -> String {
    (if flag { "yes" } else { "no" }).to_owned()
}
