//! The types that a host exchanges with a [`Balancer`](crate::Balancer): configuration, events and actions.
//!
//! A host reports each [`Event`] together with the [`Time`] at which it happened, and carries out the [`Action`]s that
//! the balancer returns. This module contains no load-balancing logic.

mod actions;
mod config;
mod endpoints;
mod events;
mod ids;
mod learned_state;
mod time;
mod validated_config;

pub use actions::Action;
pub use config::{
    Config, ConfigError, Discovery, Idempotency, KeyScope, RequestClass, Tenant, ZoneFailover,
};
pub use endpoints::{Backend, BackendState, EndpointUpdate};
pub use events::{
    AttemptEnd, ClassSuccessor, Event, Outcome, PeerVerdict, RequestArrival, Verdict,
};
pub use ids::{
    AttemptNumber, BackendId, CellId, ClassId, HardwareClassId, PeerId, RegionId, RequestId,
    TenantId, TimerToken, ZoneId,
};
pub use learned_state::{LearnedBackend, LearnedHardwareClass, LearnedState, SampledMean};
pub use time::{Micros, Time};
pub use validated_config::ValidatedConfig;
