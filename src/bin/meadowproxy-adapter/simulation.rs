//! All simulated proxies of this process, and what they share: the clock and the endpoint lists.

use crate::endpoint_lists::EndpointLists;
use crate::error::MessageError;
use crate::event;
use crate::instance::Instance;
use crate::message::{Message, MessageKind};
use crate::reply;
use meadowproxy::{Action, Time};
use std::collections::HashMap;

const INSTANCE_NAME_PREFIX: &str = "proxy-";

/// Whether a reply is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch goes on.
    BatchContinues,
    /// The batch ended: its reply is complete.
    ReplyComplete,
}

/// The simulated proxies.
#[derive(Default)]
pub struct Simulation {
    /// `None`: the instance's settings were refused, and messages for it are ignored.
    instances: HashMap<String, Option<Instance>>,
    endpoint_lists: EndpointLists,
    /// The clock of the present batch.
    now: Option<Time>,
    /// Reused for each event.
    actions: Vec<Action>,
}

impl Simulation {
    /// Takes one line, and adds to `reply` what follows from it.
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
        let name = message.text(0, "an instance")?;
        let number = name.strip_prefix(INSTANCE_NAME_PREFIX);
        if number.is_none_or(|number| number.parse::<u64>().is_err()) {
            return Err(message.unexpected(0, "an instance such as proxy-3"));
        }
        let seed = message.integer(1, "a seed")?;
        let instance = match Instance::new(message.json(2), seed) {
            Ok(instance) => Some(instance),
            Err(error) => {
                eprintln!("meadowproxy-adapter: settings of {name}: {error}");
                reply::write_settings_error(name, &error, reply);
                None
            }
        };
        self.instances.insert(name.into(), instance);
        Ok(())
    }

    fn kill(&mut self, message: &Message) -> Result<(), MessageError> {
        let name = message.text(0, "an instance")?;
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
        let name = message.text(0, "an instance")?;
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
