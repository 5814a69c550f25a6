//! The interface of the decisions: configuration, events in, actions out. It holds no decisions itself.
//!
//! A host reports each [`Event`] with its [`Time`] to a [`Balancer`](crate::Balancer) and carries out the [`Action`]s
//! that come back.

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
