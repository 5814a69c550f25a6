//! Translates the simulator's messages into events for the balancer.

use crate::endpoint_lists::EndpointLists;
use crate::error::MessageError;
use crate::instance::Instance;
use crate::message::{Message, MessageKind};
use meadowproxy::{
    AttemptEnd, ClassId, EndpointUpdate, Event, Micros, RequestArrival, TenantId, TimerToken,
};
use serde_json::Value;

/// Indexes of the values that all messages about an attempt share; those about a request share the first.
const REQUEST: usize = 1;
const ATTEMPT: usize = 2;

/// Indexes of the values of [`MessageKind::EndpointsUpdated`].
const LIST_NUMBER: usize = 1;
const LIST_KIND: usize = 3;

/// Indexes of the values of [`MessageKind::RequestArrived`].
const WORK_HINT_US: usize = 2;
const TIME_LEFT_US: usize = 3;
const TENANT: usize = 5;
const FLAGS: usize = 6;
const CLASS: usize = 7;

/// Indexes of the values of [`MessageKind::AttemptEnded`].
const BACKEND: usize = 3;
const OUTCOME: usize = 4;
const LATENCY_US: usize = 5;
const ANSWERED: usize = 6;

/// Index of a value of [`MessageKind::TimerFired`].
const TIMER_TOKEN: usize = 1;

/// Bits of a request's flags.
const HAS_WORK_HINT: u64 = 1;
const IS_CLIENT_RETRY: u64 = 2;

/// Translates a message for one instance into an event. Returns `None` for messages that are of no use to the balancer:
/// those of other proxies and the results of health checks, neither of which this program requests.
pub fn translate(
    message: &Message,
    instance: &mut Instance,
    endpoint_lists: &EndpointLists,
) -> Result<Option<Event>, MessageError> {
    let event = match message.kind {
        MessageKind::EndpointsUpdated => endpoints_updated(message, instance, endpoint_lists)?,
        MessageKind::RequestArrived => Event::RequestArrived(request_arrival(message, instance)?),
        MessageKind::ResponseStarted => Event::ResponseStarted {
            request: message.request(REQUEST)?,
            attempt: message.attempt(ATTEMPT)?,
        },
        MessageKind::AttemptEnded => Event::AttemptEnded(attempt_end(message)?),
        MessageKind::ClientDisconnected => Event::ClientDisconnected {
            request: message.request(REQUEST)?,
        },
        MessageKind::TimerFired => Event::TimerFired {
            token: TimerToken(message.integer(TIMER_TOKEN, "a token")?),
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn endpoints_updated(
    message: &Message,
    instance: &mut Instance,
    endpoint_lists: &EndpointLists,
) -> Result<Event, MessageError> {
    let update = match message.text(LIST_KIND, "a list kind")? {
        "incr" => EndpointUpdate::Incremental,
        "total" => EndpointUpdate::Full,
        "warm_copy" => EndpointUpdate::Cached,
        "lost" => EndpointUpdate::Failed,
        _ => return Err(message.unexpected(LIST_KIND, "incr, total, warm_copy or lost")),
    };
    let mut backends = Vec::new();
    if update != EndpointUpdate::Failed {
        let number = message.integer(LIST_NUMBER, "a list number")?;
        let entries = endpoint_lists
            .get(number)
            .ok_or_else(|| message.unexpected(LIST_NUMBER, "a known list number"))?;
        for entry in entries {
            let id = instance.backend_id(&entry.address);
            backends.push(instance.names.backend_for(&entry.row, id));
        }
    }
    Ok(Event::EndpointsUpdated { update, backends })
}

/// Reads a request's arrival. The work hint counts only if its flag is set.
fn request_arrival(message: &Message, instance: &Instance) -> Result<RequestArrival, MessageError> {
    let flags = message.json(FLAGS).as_u64().unwrap_or(0);
    let has_work_hint = flags & HAS_WORK_HINT != 0;
    let work_hint_us = message.json(WORK_HINT_US).as_u64();
    Ok(RequestArrival {
        request: message.request(REQUEST)?,
        work_hint: work_hint_us.filter(|_| has_work_hint).map(Micros),
        client_retry: flags & IS_CLIENT_RETRY != 0,
        time_left: message.micros(TIME_LEFT_US, "the time left in microseconds")?,
        tenant: tenant(message, instance)?,
        class: class(message, instance)?,
    })
}

/// Reads the request's tenant. Any JSON value but a string means a request without a tenant.
fn tenant(message: &Message, instance: &Instance) -> Result<Option<TenantId>, MessageError> {
    let Value::String(name) = message.json(TENANT) else {
        return Ok(None);
    };
    let tenant = instance.names.tenant(name);
    tenant
        .map(Some)
        .ok_or_else(|| message.unexpected(TENANT, "a known tenant"))
}

fn class(message: &Message, instance: &Instance) -> Result<ClassId, MessageError> {
    let class = instance.names.class(message.text(CLASS, "a class")?);
    class.ok_or_else(|| message.unexpected(CLASS, "a known class"))
}

fn attempt_end(message: &Message) -> Result<AttemptEnd, MessageError> {
    message.text(BACKEND, "a backend")?;
    Ok(AttemptEnd {
        request: message.request(REQUEST)?,
        attempt: message.attempt(ATTEMPT)?,
        outcome: message.outcome(OUTCOME)?,
        latency: message.micros(LATENCY_US, "a time in microseconds")?,
        answered: message.flag(ANSWERED)?,
    })
}
