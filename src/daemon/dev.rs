//! The `dev` command: one daemon and three stand-in targets in this process, for a first look.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use error_stack::ResultExt as _;

use crate::config;
use crate::config::catalogue;
use crate::daemon::{Daemon, Error, Result, serve};
use crate::ids::Revision;
use crate::settings::{self, Secret, Settings, Tokens, tokens};
use crate::stand_in;
use crate::units::{Bytes, Millis};

/// The address of everything that `dev` starts.
const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Time that a cold model takes to load at a stand-in.
const LOAD_MS: u64 = 1_500;
/// Time for which callers are still accepted while `dev` stops; there is no balancer.
const LINGER_MS: Millis = Millis(0);

/// A daemon with its stand-in targets.
pub struct Dev {
    /// The daemon.
    pub daemon: Daemon,
    /// The operators' token.
    pub operator_token: String,
    /// The stand-in targets.
    pub targets: Vec<stand_in::Handle>,
    folder: PathBuf,
}

impl Dev {
    /// Stops the daemon gracefully, then the targets, and removes the data folder.
    ///
    /// # Errors
    /// As for [`Daemon::stop`].
    pub async fn stop(self) -> Result<()> {
        let stopped = self.daemon.stop().await;
        for target in self.targets {
            target.kill().await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
        stopped
    }

    /// Lines that a newcomer can paste into a shell.
    pub fn suggestions(&self) -> String {
        let traffic = self.daemon.addresses.traffic;
        let admin = self.daemon.addresses.admin;
        let token = &self.operator_token;
        let program = std::env::args().next().unwrap_or_else(|| "fescuebay".to_owned());
        format!(
            r#"A care summary, streamed. Its model is cold, so the first answer waits for a load:

  curl -sN http://{traffic}/v1/chat/completions -H 'Content-Type: application/json' -d '{{"model":"care-summary","stream":true,"messages":[{{"role":"user","content":"Lucero ate well today"}}]}}'

A donkey's profile, which is idempotent:

  curl -s http://{traffic}/services/profiles/donkeys/lucero

A reservation sent twice under one key, which runs once:

  for i in 1 2; do curl -s -X POST http://{traffic}/services/desk/reservations -H 'Idempotency-Key: lucero-2026' -d '{{"donkey":"lucero"}}'; echo; done

What held, what did not, and why:

  FESCUEBAY_TOKEN={token} {program} report --admin {admin}
"#
        )
    }
}

/// Starts the daemon, with a single voter in a temporary folder, and its targets.
///
/// # Errors
/// When a listener or the folder cannot be opened.
pub async fn start(metrics_text: Arc<dyn Fn() -> String + Send + Sync>) -> Result<Dev> {
    let (settings, tokens) = settings();
    let folder = settings.daemon.data_folder.clone().unwrap_or_default();
    std::fs::create_dir_all(&folder).change_context(Error { step: "make a data folder" })?;
    let daemon = serve(settings, Some(first_change()), metrics_text).await?;
    let announce_to = daemon.addresses.targets;
    let mut targets = Vec::new();
    for target in target_settings() {
        let settings = target.announce_to(vec![announce_to], &tokens.target);
        let started = stand_in::start(settings).await;
        targets.push(started.change_context(Error { step: "start a stand-in target" })?);
    }
    Ok(Dev { daemon, operator_token: tokens.operator, targets, folder })
}

/// Tokens in clear, which exist only here.
struct Clear {
    operator: String,
    target: String,
}

fn settings() -> (Settings, Clear) {
    let mut rng = rand::rng();
    let (operator, operator_hash) = Secret::generate(&mut rng);
    let (target, target_hash) = Secret::generate(&mut rng);
    let mut known = Tokens::default();
    known.add_operator("dev".parse().expect("a constant name"), operator_hash);
    known.add_target(target_hash);
    let folder = std::env::temp_dir().join(format!("fescuebay-dev-{:016x}", rand::random::<u64>()));
    let id = "dev-1".parse().expect("a constant name");
    let zone = "andina-a".parse().expect("a constant name");
    let traffic = settings::Traffic {
        anonymous_tenant: Some("sanctuary".parse().expect("a constant name")),
        linger_ms: LINGER_MS,
    };
    let settings = Settings::builder(id, zone, IP)
        .data_folder(folder)
        .cluster("dev".parse().expect("a constant name"), tokens::ClusterKey::new(rand::random()))
        .traffic(traffic)
        .tokens(known)
        .build();
    let clear =
        Clear { operator: operator.reveal().to_owned(), target: target.reveal().to_owned() };
    (settings, clear)
}

fn target_settings() -> Vec<stand_in::Settings> {
    let listen = SocketAddr::new(IP, 0);
    let target = |name: &str, zone: &str| {
        let name = name.parse().expect("a constant name");
        stand_in::Settings::new(name, zone.parse().expect("a constant name"), listen)
    };
    let services = ["profiles", "desk"].map(|name| name.parse().expect("a constant name"));
    vec![
        target("assistant-1", "andina-a").load_ms(LOAD_MS).token_ms(40),
        target("assistant-2", "andina-b").load_ms(LOAD_MS).token_ms(40),
        target("application-1", "andina-a").services(services.to_vec()),
    ]
}

/// The catalogue of a small sanctuary.
pub fn first_change() -> config::Change {
    let model = |name: &str, gib: u64| {
        config::Edit::PutModel(catalogue::Model {
            name: name.parse().expect("a constant name"),
            version: "1".parse().expect("a constant name"),
            memory_bytes: Bytes(gib * Bytes::GIB.0),
            slots: 8,
            adapters: Vec::new(),
        })
    };
    let class = |name: &str, rank: u32, deadline_s: u64, is_important: bool| {
        config::Edit::PutClass(catalogue::Class {
            name: name.parse().expect("a constant name"),
            rank,
            weight: 10,
            deadline_ms: Millis(deadline_s * 1_000),
            is_important,
        })
    };
    let service = |name: &str| {
        config::Edit::PutService(catalogue::Service {
            name: name.parse().expect("a constant name"),
            idempotent: Vec::new(),
        })
    };
    config::Change {
        id: "first".parse().expect("a constant name"),
        base: Revision(0),
        author: "dev".parse().expect("a constant name"),
        reason: "what the dev command serves".to_owned(),
        edits: vec![
            model("care-summary", 6),
            model("matching-letter", 8),
            model("adoption-contract", 10),
            service("profiles"),
            service("desk"),
            class("adoption-contract", 0, 600, true),
            class("care-summary", 5, 120, false),
        ],
    }
}
