//! The state machine that the voters of a control group replicate.

use std::sync::Arc;

use crate::config;
use crate::consensus;
use crate::control::commands::{Command, Entry, Limits, Outcome};
use crate::control::{
    delegates, departures, jobs, orders, outcomes, owner, poison, queries, records, software,
};
use crate::ids::LogIndex;
use crate::routes;

/// The snapshot format; raised when an older release could not read new snapshots.
const FORMAT: u32 = 6;
/// The oldest readable format. It lacks the document of routes.
const OLDEST_FORMAT: u32 = 1;
/// The last format without unconfirmed deaths of the poison list; it ends with the routes.
const FORMAT_WITHOUT_UNCONFIRMED_DEATHS: u32 = 2;
/// The last format without the sender of orders; it ends with the unconfirmed deaths.
const FORMAT_WITHOUT_ORDERS: u32 = 3;
/// The last format without departures of targets; it ends with the sender of orders.
const FORMAT_WITHOUT_DEPARTURES: u32 = 4;
/// The last format without software versions of targets; it ends with the departures.
const FORMAT_WITHOUT_SOFTWARE: u32 = 5;

/// The context in which commands are applied and queries are answered.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The Unix time of the state. It never decreases.
    pub now_ms: u64,
    /// The daemon incarnations that have ended.
    pub gone: &'a owner::Gone,
}

/// The control state.
#[derive(Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    now_ms: u64,
    gone: owner::Gone,
    /// Idempotency records.
    pub records: records::State,
    /// Durable jobs.
    pub jobs: jobs::State,
    /// Poison requests.
    pub poison: poison::State,
    /// The ledger of outcomes.
    pub outcomes: outcomes::State,
    /// The configuration, shared with snapshot copies of the state.
    pub config: Arc<config::State>,
    /// The document of routes. Older snapshots lack it, so it is encoded after the other parts.
    #[serde(skip)]
    pub routes: routes::state::State,
    /// The daemon that sends orders to engines; encoded after the unconfirmed poison deaths.
    #[serde(skip)]
    pub orders: orders::State,
    /// Departures of targets; encoded after the sender of orders.
    #[serde(skip)]
    pub departures: departures::State,
    /// Software versions of targets; encoded after the departures.
    #[serde(skip)]
    pub software: software::State,
    /// The senders of orders by slot; the last part of a snapshot, and left out if there are none. Builds of the
    /// same format that do not know it read no further than the software versions.
    #[serde(skip)]
    pub delegates: delegates::State,
}

impl State {
    /// Returns the Unix time of the state.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the context for queries.
    pub fn context(&self) -> Context<'_> {
        Context { now_ms: self.now_ms, gone: &self.gone }
    }

    /// Returns a copy that shares the large parts of the state and omits the rebuilt indexes.
    fn snapshot_copy(&self) -> Self {
        Self {
            now_ms: self.now_ms,
            gone: self.gone.clone(),
            records: self.records.snapshot_copy(),
            jobs: self.jobs.snapshot_copy(),
            poison: self.poison.clone(),
            outcomes: self.outcomes.clone(),
            config: Arc::clone(&self.config),
            routes: self.routes.clone(),
            orders: self.orders.clone(),
            departures: self.departures.clone(),
            software: self.software.clone(),
            delegates: self.delegates.clone(),
        }
    }

    /// Applies a command that its leader stamped with the time `now_ms`.
    pub fn apply(&mut self, now_ms: u64, command: Command) -> Outcome {
        self.now_ms = self.now_ms.max(now_ms);
        let context = Context { now_ms: self.now_ms, gone: &self.gone };
        let outcome = match command {
            Command::Tick => self.tick(),
            Command::DaemonGone(owner) => self.daemon_gone(&owner),
            Command::DaemonReturned(owner) => {
                self.gone.take_back(&owner);
                Outcome::Done
            }
            Command::SetLimits(limits) => self.set_limits(*limits),
            Command::Records(command) => Outcome::Records(self.records.apply(&context, command)),
            Command::Jobs(command) => Outcome::Jobs(self.jobs.apply(&context, command)),
            Command::Poison(command) => Outcome::Poison(self.poison.apply(&context, command)),
            Command::Outcomes(command) => {
                Outcome::Outcomes(self.outcomes.apply(&context, *command))
            }
            Command::Config(command) => {
                let config = Arc::make_mut(&mut self.config);
                Outcome::Config(Box::new(config.apply(*command, context.now_ms)))
            }
            Command::Routes(command) => Outcome::Routes(self.routes.apply(command)),
            Command::Orders(command) => {
                self.orders.apply(command);
                self.delegates.clear();
                Outcome::Done
            }
            Command::Departures(command) => {
                self.departures.apply(command);
                Outcome::Done
            }
            Command::Software(command) => {
                self.software.apply(command);
                Outcome::Done
            }
            Command::Delegates(command) => {
                self.delegates.apply(command);
                Outcome::Done
            }
        };
        self.count();
        outcome
    }

    fn tick(&mut self) -> Outcome {
        let context = Context { now_ms: self.now_ms, gone: &self.gone };
        self.records.tick(&context);
        self.jobs.tick(&context);
        self.poison.tick(&context);
        self.outcomes.tick(&context);
        self.gone.forget(self.now_ms.saturating_sub(self.records.limits().longest_ms()));
        Outcome::Done
    }

    /// Adds the refusals and checks of the last command to the ledger.
    fn count(&mut self) {
        let refused = self.jobs.take_refused();
        let checks = self.records.take_checks();
        let context = Context { now_ms: self.now_ms, gone: &self.gone };
        self.outcomes.refuse(&context, &refused);
        self.outcomes.check(&context, outcomes::Promise::AtMostOnce, checks);
    }

    fn daemon_gone(&mut self, owner: &owner::Owner) -> Outcome {
        self.gone.note(owner, self.now_ms);
        let context = Context { now_ms: self.now_ms, gone: &self.gone };
        self.jobs.daemon_gone(&context);
        Outcome::Done
    }

    fn set_limits(&mut self, limits: Limits) -> Outcome {
        self.records.set_limits(limits.records);
        self.jobs.set_limits(limits.jobs);
        self.poison.set_limits(limits.poison);
        Outcome::Done
    }
}

/// A copy of the state at one moment, which any thread can encode.
#[derive(Debug)]
pub struct Frozen(State);

impl Frozen {
    /// Encodes the snapshot, in time that grows with the state.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(&FORMAT).expect("a number can be encoded");
        let bytes = postcard::to_extend(&self.0, bytes);
        let bytes = bytes.expect("the state holds nothing that postcard refuses");
        let bytes = postcard::to_extend(&self.0.routes, bytes);
        let bytes = bytes.expect("text and a number can be encoded");
        let bytes = postcard::to_extend(&self.0.poison.unconfirmed_deaths, bytes);
        let bytes = bytes.expect("a list of names can be encoded");
        let bytes = postcard::to_extend(&self.0.orders, bytes).expect("a name can be encoded");
        let bytes = postcard::to_extend(&self.0.departures, bytes);
        let bytes = bytes.expect("names and numbers can be encoded");
        let bytes = postcard::to_extend(&self.0.software, bytes);
        let bytes = bytes.expect("a list of names can be encoded");
        if self.0.delegates.slots().is_empty() {
            return bytes;
        }
        postcard::to_extend(&self.0.delegates, bytes).expect("a list of names can be encoded")
    }
}

/// The replicated state machine.
#[derive(Debug, Default)]
pub struct Machine {
    state: State,
}

impl Machine {
    /// The state, for queries.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Answers a query.
    pub fn query(&self, query: &queries::Query) -> queries::Answer {
        queries::answer(&self.state, query)
    }

    /// Applies a command without encoding it.
    pub fn execute(&mut self, entry: Entry) -> Outcome {
        self.state.apply(entry.now_ms, entry.command)
    }

    /// Copies the state, in time that hardly grows with its size.
    ///
    /// The state may change while the copy exists: changed parts are copied first.
    pub fn freeze(&self) -> Frozen {
        Frozen(self.state.snapshot_copy())
    }
}

impl consensus::Machine for Machine {
    fn apply(&mut self, _index: LogIndex, entry: &[u8]) -> Vec<u8> {
        let outcome = match postcard::from_bytes(entry) {
            Ok(entry) => self.execute(entry),
            Err(error) => Outcome::Rejected(error.to_string()),
        };
        postcard::to_stdvec(&outcome).expect("an outcome holds nothing that postcard refuses")
    }

    fn snapshot(&self) -> Vec<u8> {
        self.freeze().encode()
    }

    fn restore(&mut self, snapshot: &[u8]) -> std::result::Result<(), String> {
        let (format, mut rest): (u32, &[u8]) = take(snapshot)?;
        if !(OLDEST_FORMAT..=FORMAT).contains(&format) {
            return Err(format!("the snapshot has format {format}, this release reads {FORMAT}"));
        }
        let mut state: State;
        (state, rest) = take(rest)?;
        if format > OLDEST_FORMAT {
            (state.routes, rest) = take(rest)?;
        }
        if format > FORMAT_WITHOUT_UNCONFIRMED_DEATHS {
            (state.poison.unconfirmed_deaths, rest) = take(rest)?;
        }
        if format > FORMAT_WITHOUT_ORDERS {
            (state.orders, rest) = take(rest)?;
        }
        if format > FORMAT_WITHOUT_DEPARTURES {
            (state.departures, rest) = take(rest)?;
        }
        if format > FORMAT_WITHOUT_SOFTWARE {
            (state.software, rest) = take(rest)?;
            if !rest.is_empty() {
                (state.delegates, _) = take(rest)?;
            }
        }
        state.records.rebuild_indexes();
        state.jobs.rebuild_indexes();
        self.state = state;
        Ok(())
    }
}

/// Reads the next part of a snapshot, and returns what follows it.
fn take<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> std::result::Result<(T, &[u8]), String> {
    postcard::take_from_bytes(bytes).map_err(|error| error.to_string())
}
