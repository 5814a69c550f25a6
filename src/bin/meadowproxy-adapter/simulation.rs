//! The simulated proxies of this process, and the state that they share: the clock and the endpoint lists.

use crate::endpoint_lists::EndpointLists;
use crate::error::MessageError;
use crate::event;
use crate::instance::Instance;
use crate::message::{Message, MessageKind};
use crate::reply;
use meadowproxy::{Action, Time};
use std::collections::HashMap;

const INSTANCE_NAME_PREFIX: &str = "proxy-";

/// The state of the present batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch continues with the next line.
    BatchContinues,
    /// The batch ended, and its reply is complete.
    ReplyComplete,
}

/// The simulated proxies, their shared endpoint lists and the clock.
#[derive(Default)]
pub struct Simulation {
    /// The instances by name; `None` for one with invalid settings, whose messages are ignored.
    instances: HashMap<String, Option<Instance>>,
    endpoint_lists: EndpointLists,
    /// The clock of the present batch; `None` between batches.
    now: Option<Time>,
    /// A buffer that is reused for each event.
    actions: Vec<Action>,
}

impl Simulation {
    /// Handles one line, and appends the resulting lines to `reply`.
    pub fn handle_line(
        &mut self,
        line: &str,
        reply: &mut Vec<u8>,
    ) -> Result<Progress, MessageError> {
        let message = Message::parse(line)?;
        if message.kind == MessageKind::BatchStarted {
            let now_us = message.integer(0, "the clock in microseconds")?;
            self.now = Some(Time(now_us));
            return Ok(Progress::BatchContinues);
        }
        let now = self.now.ok_or(MessageError::NoClock {
            message: message.kind.wire_name(),
        })?;
        match message.kind {
            MessageKind::BatchEnded => {
                self.now = None;
                reply::write_reply_end(reply);
                return Ok(Progress::ReplyComplete);
            }
            MessageKind::EndpointList => self.endpoint_lists.insert(&message)?,
            MessageKind::InstanceCreated => self.create(&message, reply)?,
            MessageKind::InstanceKilled => self.kill(&message)?,
            _ => self.handle_instance_message(now, &message, reply)?,
        }
        Ok(Progress::BatchContinues)
    }

    fn create(&mut self, message: &Message, reply: &mut Vec<u8>) -> Result<(), MessageError> {
        let name = message.text(0, "an instance name")?;
        let number = name.strip_prefix(INSTANCE_NAME_PREFIX);
        if number.is_none_or(|number| number.parse::<u64>().is_err()) {
            return Err(message.unexpected(0, "an instance name such as proxy-3"));
        }
        let seed = message.integer(1, "a seed")?;
        let instance = match Instance::new(message.json(2), seed) {
            Ok(instance) => Some(instance),
            Err(error) => {
                eprintln!("meadowproxy-adapter: invalid settings of {name}: {error}");
                reply::write_settings_error(name, &error, reply);
                None
            }
        };
        self.instances.insert(name.into(), instance);
        Ok(())
    }

    fn kill(&mut self, message: &Message) -> Result<(), MessageError> {
        let name = message.text(0, "an instance name")?;
        let removed = self.instances.remove(name);
        removed
            .map(drop)
            .ok_or_else(|| message.unexpected(0, "a known instance"))
    }

    fn handle_instance_message(
        &mut self,
        now: Time,
        message: &Message,
        reply: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let name = message.text(0, "an instance name")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| message.unexpected(0, "a known instance"))?;
        let Some(instance) = instance else {
            return Ok(());
        };
        let Some(event) = event::translate(message, instance, &self.endpoint_lists)? else {
            return Ok(());
        };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            reply::write_action(name, instance, &action, reply);
        }
        Ok(())
    }
}
