//! Parsing of the simulator's messages. A message is one line with a JSON array: the message's name and its values.

use crate::error::MessageError;
use meadowproxy::{AttemptNumber, Micros, Outcome, RequestId};
use serde_json::Value;

const REQUEST_ID_HEX_DIGITS: usize = 16;
const OUTCOME_CODE: &str = "an outcome code from 0 to 7";

/// The kinds of messages that the simulator sends, with their names on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// `TICK`: a batch starts.
    ///
    /// Values: the simulation's clock in µs.
    BatchStarted,
    /// `END`: the batch is complete, and the simulator expects the reply.
    ///
    /// Values: none.
    BatchEnded,
    /// `SNAPSHOT_ROWS`: an endpoint list, to which later messages refer by its number.
    ///
    /// Values: list number, entries.
    EndpointList,
    /// `CREATE`: a proxy starts.
    ///
    /// Values: instance, seed, settings.
    InstanceCreated,
    /// `KILLED`: a proxy ends.
    ///
    /// Values: instance.
    InstanceKilled,
    /// `VIEW`: a proxy received an endpoint list from discovery, or failed to.
    ///
    /// Values: instance, list number, (not read), kind of update.
    EndpointsUpdated,
    /// `JOB_IN`: a client's request arrived.
    ///
    /// Values: instance, request, work hint in µs, time left in µs, (not read), tenant, flags, class.
    RequestArrived,
    /// `ESTABLISHED`: the response to an attempt started.
    ///
    /// Values: instance, request, attempt, (not read) twice.
    ResponseStarted,
    /// `RETURNED`: an attempt ended.
    ///
    /// Values: instance, request, attempt, backend, outcome code, latency in µs, answered, (not read).
    AttemptEnded,
    /// `VANISHED`: a client disconnected.
    ///
    /// Values: instance, request.
    ClientDisconnected,
    /// `TIMEOUT_FIRED`: a timer that the proxy set expired.
    ///
    /// Values: instance, token.
    TimerFired,
    /// `MEMO`: a message from another proxy; this program sends none.
    ///
    /// Values: instance, (not read) twice.
    PeerMessage,
    /// `STATUS_BACK`: the result of a health check; this program requests none.
    ///
    /// Values: instance, (not read) four times.
    HealthCheckResult,
}

impl MessageKind {
    const ALL: [MessageKind; 13] = [
        MessageKind::BatchStarted,
        MessageKind::BatchEnded,
        MessageKind::EndpointList,
        MessageKind::InstanceCreated,
        MessageKind::InstanceKilled,
        MessageKind::EndpointsUpdated,
        MessageKind::RequestArrived,
        MessageKind::ResponseStarted,
        MessageKind::AttemptEnded,
        MessageKind::ClientDisconnected,
        MessageKind::TimerFired,
        MessageKind::PeerMessage,
        MessageKind::HealthCheckResult,
    ];

    /// Returns the name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            MessageKind::BatchStarted => "TICK",
            MessageKind::BatchEnded => "END",
            MessageKind::EndpointList => "SNAPSHOT_ROWS",
            MessageKind::InstanceCreated => "CREATE",
            MessageKind::InstanceKilled => "KILLED",
            MessageKind::EndpointsUpdated => "VIEW",
            MessageKind::RequestArrived => "JOB_IN",
            MessageKind::ResponseStarted => "ESTABLISHED",
            MessageKind::AttemptEnded => "RETURNED",
            MessageKind::ClientDisconnected => "VANISHED",
            MessageKind::TimerFired => "TIMEOUT_FIRED",
            MessageKind::PeerMessage => "MEMO",
            MessageKind::HealthCheckResult => "STATUS_BACK",
        }
    }

    /// Returns the number of values after the name.
    fn value_count(self) -> usize {
        match self {
            MessageKind::BatchEnded => 0,
            MessageKind::BatchStarted | MessageKind::InstanceKilled => 1,
            MessageKind::EndpointList
            | MessageKind::ClientDisconnected
            | MessageKind::TimerFired => 2,
            MessageKind::InstanceCreated | MessageKind::PeerMessage => 3,
            MessageKind::EndpointsUpdated => 4,
            MessageKind::ResponseStarted | MessageKind::HealthCheckResult => 5,
            MessageKind::RequestArrived | MessageKind::AttemptEnded => 8,
        }
    }

    fn from_wire_name(name: &str) -> Option<MessageKind> {
        let mut all = MessageKind::ALL.into_iter();
        all.find(|kind| kind.wire_name() == name)
    }
}

/// A message with the number of values that its kind requires. Each value is validated when it is read.
#[derive(Debug)]
pub struct Message {
    /// The message's kind.
    pub kind: MessageKind,
    values: Vec<Value>,
}

impl Message {
    /// Parses a line, and checks the message's name and its number of values.
    pub fn parse(line: &str) -> Result<Message, MessageError> {
        let Value::Array(mut values) = serde_json::from_str(line)? else {
            return Err(MessageError::NoArray);
        };
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or(MessageError::NoName)?;
        let kind = MessageKind::from_wire_name(name)
            .ok_or_else(|| MessageError::UnknownMessage(name.into()))?;
        values.remove(0);
        if values.len() != kind.value_count() {
            return Err(MessageError::ValueCount {
                message: kind.wire_name(),
                expected: kind.value_count(),
                found: values.len(),
            });
        }
        Ok(Message { kind, values })
    }

    /// Returns the value at `index` as JSON. Here and below, indexes start at 0 with the value after the name.
    pub fn json(&self, index: usize) -> &Value {
        &self.values[index]
    }

    /// Creates the error for an invalid value at `index`; `expected` describes a valid one.
    pub fn unexpected(&self, index: usize, expected: &'static str) -> MessageError {
        MessageError::Value {
            message: self.kind.wire_name(),
            index,
            expected,
            found: self.values[index].to_string(),
        }
    }

    /// Returns the string at `index`.
    pub fn text(&self, index: usize, expected: &'static str) -> Result<&str, MessageError> {
        let text = self.values[index].as_str();
        text.ok_or_else(|| self.unexpected(index, expected))
    }

    /// Returns the non-negative integer at `index`.
    pub fn integer(&self, index: usize, expected: &'static str) -> Result<u64, MessageError> {
        let number = self.values[index].as_u64();
        number.ok_or_else(|| self.unexpected(index, expected))
    }

    /// Returns the boolean at `index`.
    pub fn flag(&self, index: usize) -> Result<bool, MessageError> {
        let flag = self.values[index].as_bool();
        flag.ok_or_else(|| self.unexpected(index, "true or false"))
    }

    /// Returns the duration in microseconds at `index`.
    pub fn micros(&self, index: usize, expected: &'static str) -> Result<Micros, MessageError> {
        self.integer(index, expected).map(Micros)
    }

    /// Returns the attempt number at `index`.
    pub fn attempt(&self, index: usize) -> Result<AttemptNumber, MessageError> {
        let number = self.integer(index, "an attempt number")?;
        Ok(AttemptNumber(number as u32))
    }

    /// Returns the request id at `index`, which is written as 16 lower-case hex digits.
    pub fn request(&self, index: usize) -> Result<RequestId, MessageError> {
        let text = self.text(index, "a request id of 16 hex digits")?;
        let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != REQUEST_ID_HEX_DIGITS || !text.bytes().all(is_digit) {
            return Err(self.unexpected(index, "a request id of 16 lower-case hex digits"));
        }
        let id = u64::from_str_radix(text, 16);
        id.map(RequestId)
            .map_err(|_| self.unexpected(index, "a request id of 16 lower-case hex digits"))
    }

    /// Returns the outcome of an attempt, from its code at `index`.
    pub fn outcome(&self, index: usize) -> Result<Outcome, MessageError> {
        Ok(match self.integer(index, OUTCOME_CODE)? {
            0 => Outcome::Error,
            1 => Outcome::Ok,
            2 => Outcome::Overloaded,
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            _ => return Err(self.unexpected(index, OUTCOME_CODE)),
        })
    }
}
