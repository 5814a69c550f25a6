//! From messages of the simulator to events of the decisions.

use crate::error::MessageError;
use crate::instance::Instance;
use crate::message::{Message, MessageKind};
use crate::roster::Rosters;
use meadowproxy::{
    AttemptEnd, ClassId, EndpointUpdate, Event, Micros, RequestArrival, TenantId, TimerToken,
};
use serde_json::Value;

/// Bits of a request's flags.
const HAS_WORK_HINT: u64 = 1;
const IS_CLIENT_RETRY: u64 = 2;

/// The event that a message for one instance reports; `None` for what this program never asks for.
pub fn translate(
    message: &Message,
    instance: &mut Instance,
    rosters: &Rosters,
) -> Result<Option<Event>, MessageError> {
    let event = match message.kind {
        MessageKind::EndpointsUpdated => endpoints_updated(message, instance, rosters)?,
        MessageKind::RequestArrived => Event::RequestArrived(request_arrival(message, instance)?),
        MessageKind::ResponseStarted => Event::ResponseStarted {
            request: message.request(1)?,
            attempt: message.attempt(2)?,
        },
        MessageKind::AttemptEnded => Event::AttemptEnded(attempt_end(message)?),
        MessageKind::ClientDisconnected => Event::ClientDisconnected {
            request: message.request(1)?,
        },
        MessageKind::TimerFired => Event::TimerFired {
            token: TimerToken(message.integer(1, "a token")?),
        },
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn endpoints_updated(
    message: &Message,
    instance: &mut Instance,
    rosters: &Rosters,
) -> Result<Event, MessageError> {
    let update = match message.text(3, "a list kind")? {
        "incr" => EndpointUpdate::Incremental,
        "total" => EndpointUpdate::Full,
        "warm_copy" => EndpointUpdate::Cached,
        "lost" => EndpointUpdate::Failed,
        _ => return Err(message.unexpected(3, "incr, total, warm_copy or lost")),
    };
    let mut backends = Vec::new();
    if update != EndpointUpdate::Failed {
        let number = message.integer(1, "a roster number")?;
        let entries = rosters
            .get(number)
            .ok_or_else(|| message.unexpected(1, "a known roster number"))?;
        for entry in entries {
            let id = instance.backend(&entry.address);
            backends.push(instance.names.entry(&entry.row, id));
        }
    }
    Ok(Event::EndpointsUpdated { update, backends })
}

fn request_arrival(message: &Message, instance: &Instance) -> Result<RequestArrival, MessageError> {
    let flags = message.json(6).as_u64().unwrap_or(0);
    let has_work_hint = flags & HAS_WORK_HINT != 0;
    let work_hint_us = message.json(2).as_u64();
    Ok(RequestArrival {
        request: message.request(1)?,
        work_hint: work_hint_us.filter(|_| has_work_hint).map(Micros),
        client_retry: flags & IS_CLIENT_RETRY != 0,
        time_left: message.micros(3, "the time left in microseconds")?,
        tenant: tenant(message, instance)?,
        class: class(message, instance)?,
    })
}

fn tenant(message: &Message, instance: &Instance) -> Result<Option<TenantId>, MessageError> {
    let Value::String(name) = message.json(5) else {
        return Ok(None);
    };
    let tenant = instance.names.tenant(name);
    tenant
        .map(Some)
        .ok_or_else(|| message.unexpected(5, "a known tenant"))
}

fn class(message: &Message, instance: &Instance) -> Result<ClassId, MessageError> {
    let class = instance.names.class(message.text(7, "a class")?);
    class.ok_or_else(|| message.unexpected(7, "a known class"))
}

fn attempt_end(message: &Message) -> Result<AttemptEnd, MessageError> {
    message.text(3, "a backend")?;
    Ok(AttemptEnd {
        request: message.request(1)?,
        attempt: message.attempt(2)?,
        outcome: message.outcome(4)?,
        latency: message.micros(5, "a time in microseconds")?,
        answered: message.flag(6)?,
    })
}
