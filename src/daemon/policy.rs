//! What traffic asks of the configuration, the placement, the records and the poison list.

use std::sync::Arc;

use crate::config;
use crate::control::{commands, port};
use crate::daemon::bridge::Bridge;
use crate::daemon::published::Published;
use crate::ids::{ClassName, ModelRef, ServiceName, TenantId};
use crate::placement::demand;
use crate::routing;
use crate::settings::Tokens;
use crate::traffic;
use crate::traffic::clock::Clock;
use crate::traffic::policy::{EffectivePolicy, PolicyQuery, RequestPurpose};

/// Time after which an unconfirmed revision is no longer trusted for work that may not repeat.
pub const CONFIRM_MS: u64 = 5_000;
/// The class of requests that state none.
const DEFAULT_CLASS: &str = "default";

/// The configuration in force, for traffic.
pub struct Policy {
    published: Arc<Published>,
    tokens: Tokens,
    anonymous: Option<TenantId>,
    clock: Clock,
    default_class: ClassName,
}

impl Policy {
    /// The configuration in `published`; callers without a token count as `anonymous`.
    pub fn new(
        published: Arc<Published>,
        tokens: Tokens,
        anonymous: Option<TenantId>,
        clock: Clock,
    ) -> Self {
        let default_class = DEFAULT_CLASS.parse().expect("a constant name");
        Self { published, tokens, anonymous, clock, default_class }
    }
}

impl traffic::policy::Policy for Policy {
    fn authenticate(&self, token: Option<&str>) -> Option<TenantId> {
        match token {
            Some(token) => self.tokens.tenant(token).cloned(),
            None => self.anonymous.clone(),
        }
    }

    fn effective_policy(&self, query: &PolicyQuery) -> EffectivePolicy {
        let fleet = self.published.fleet.load();
        let (model, service, is_idempotent) = match &query.purpose {
            RequestPurpose::Model(model) => (Some(model), None, true),
            RequestPurpose::Service { service, method, path } => {
                let catalogue = fleet.catalogue();
                let is_idempotent = catalogue.is_idempotent(service, method.as_str(), path);
                (None, Some(service), is_idempotent)
            }
        };
        let found = config::resolve(
            &fleet,
            &config::Subject {
                tenant: Some(&query.tenant),
                class: query.class.as_ref(),
                service,
                model: model.map(|model| &model.model),
                adapter: model.and_then(|model| model.adapter.as_ref()),
                now_ms: self.clock.now_ms(),
                ..config::Subject::default()
            },
        );
        EffectivePolicy {
            class: query.class.clone().unwrap_or_else(|| self.default_class.clone()),
            rank: found.rank as u8,
            weight: f64::from(found.weight),
            deadline_ms: found.deadline_ms.0,
            max_waiting: found.max_waiting,
            max_in_flight: found.max_in_flight,
            is_important: found.is_important,
            is_idempotent,
            is_key_required: found.is_key_required,
            max_body_bytes: found.max_body_bytes.0 as usize,
        }
    }

    fn is_model_configured(&self, model: &ModelRef) -> bool {
        self.published.fleet.load().catalogue().weights(model).is_some()
    }

    fn is_service_configured(&self, service: &ServiceName) -> bool {
        self.published.fleet.load().catalogue().service(service).is_some()
    }

    fn models(&self) -> Vec<ModelRef> {
        let fleet = self.published.fleet.load();
        let mut models = Vec::new();
        for model in &fleet.catalogue().models {
            models.push(ModelRef { model: model.name.clone(), adapter: None });
            let adapters = model.adapters.iter().map(|adapter| Some(adapter.name.clone()));
            models.extend(adapters.map(|adapter| ModelRef { model: model.name.clone(), adapter }));
        }
        models
    }

    fn is_confirmed(&self) -> bool {
        let confirmed_ms = self.published.confirmed_ms();
        self.clock.now_ms().saturating_sub(confirmed_ms) < CONFIRM_MS
    }
}

/// Placement, for traffic: demand goes to the control thread.
pub struct Placement {
    /// The way to the control thread.
    pub bridge: Bridge,
    /// Where expected times are read.
    pub published: Arc<Published>,
}

impl traffic::policy::Placement for Placement {
    fn report_demand(&self, demand: routing::demand::ModelDemand) {
        let entry = demand::DemandEntry {
            model: demand.model,
            waiting: demand.waiting,
            in_flight: demand.in_flight,
            arrivals: demand.arrived,
            earliest_deadline_ms: demand.earliest_deadline_ms,
            class_weight: demand.class_weight.ceil() as u32,
        };
        self.bridge.hint(move |core| {
            core.take_demand(entry);
            Box::pin(std::future::ready(()))
        });
    }

    fn replica_ready_at_ms(&self, model: &ModelRef) -> Option<u64> {
        self.published.ready_at_ms(model)
    }
}

/// The replicated log, for the traffic threads.
pub struct Log {
    /// The way to the control thread.
    pub bridge: Bridge,
}

impl Log {
    fn error(
        step: &'static str,
        outcome: port::ProposalOutcome,
    ) -> error_stack::Report<port::Error> {
        error_stack::Report::new(port::Error { step, peer: None, outcome })
    }
}

impl port::Log for Log {
    fn propose(
        &self,
        command: commands::Command,
    ) -> futures::future::BoxFuture<'_, port::Result<commands::Outcome>> {
        Box::pin(async move {
            let sent =
                self.bridge.run(|core| Box::pin(async move { core.propose(command).await })).await;
            match sent {
                Some(Ok(outcome)) => Ok(outcome),
                Some(Err(outcome)) => Err(Self::error("propose", outcome)),
                None => {
                    Err(Self::error("reach the control thread", port::ProposalOutcome::Unknown))
                }
            }
        })
    }

    fn query(
        &self,
        query: crate::control::queries::Query,
    ) -> futures::future::BoxFuture<'_, port::Result<crate::control::queries::Answer>> {
        Box::pin(async move {
            let sent =
                self.bridge.run(|core| Box::pin(async move { core.query(query).await })).await;
            match sent {
                Some(Ok(answer)) => Ok(answer),
                Some(Err(outcome)) => Err(Self::error("query", outcome)),
                None => {
                    Err(Self::error("reach the control thread", port::ProposalOutcome::NotProposed))
                }
            }
        })
    }
}
