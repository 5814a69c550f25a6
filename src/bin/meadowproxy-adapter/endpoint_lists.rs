//! The endpoint lists that the simulator sends with a number, shared by all instances of the process.

use crate::error::MessageError;
use crate::message::Message;
use meadowproxy::settings::EndpointRow;
use meadowproxy::{Backend, BackendState, CellId, Time};
use serde_json::Value;
use std::collections::HashMap;

const LARGEST_LIST_NUMBER: u64 = 15;
const LIST_NUMBER: &str = "a list number from 0 to 15";

/// Indexes of an entry's values; the value at index 5 is not read.
const ZONE: usize = 0;
const CELL: usize = 1;
const KIND: usize = 2;
const ADDRESS: usize = 3;
const STATE: usize = 4;
const STARTED_AT_US: usize = 6;
const ENTRY_VALUES: usize = 7;

/// One backend of a list.
#[derive(Clone, Debug)]
pub struct EndpointListEntry {
    /// The backend's address.
    pub address: String,
    /// The backend's properties, with its zone and hardware class by name.
    pub row: EndpointRow,
}

/// The endpoint lists by number. A list replaces the previous one with the same number.
#[derive(Default)]
pub struct EndpointLists {
    by_number: HashMap<u64, Vec<EndpointListEntry>>,
}

impl EndpointLists {
    /// Stores the list of a [`MessageKind::EndpointList`](crate::message::MessageKind::EndpointList) message.
    pub fn insert(&mut self, message: &Message) -> Result<(), MessageError> {
        let number = message.integer(0, LIST_NUMBER)?;
        if number > LARGEST_LIST_NUMBER {
            return Err(message.unexpected(0, LIST_NUMBER));
        }
        let entries = message.json(1).as_array();
        let entries = entries.ok_or_else(|| message.unexpected(1, "an array of entries"))?;
        let entries: Result<Vec<EndpointListEntry>, MessageError> =
            entries.iter().map(parse_entry).collect();
        self.by_number.insert(number, entries?);
        Ok(())
    }

    /// Returns the list with this number, if there is one.
    pub fn get(&self, number: u64) -> Option<&[EndpointListEntry]> {
        self.by_number.get(&number).map(Vec::as_slice)
    }
}

fn parse_entry(entry: &Value) -> Result<EndpointListEntry, MessageError> {
    let error = |expected| MessageError::EndpointListEntry {
        entry: entry.to_string(),
        expected,
    };
    let values = entry
        .as_array()
        .filter(|values| values.len() == ENTRY_VALUES);
    let values = values.ok_or_else(|| error("an array of 7 values"))?;
    let text = |index: usize, expected| values[index].as_str().ok_or_else(|| error(expected));
    let address = text(ADDRESS, "an address")?;
    if !is_plain(address) {
        return Err(error(
            "an address of printable ASCII without quotes and backslashes",
        ));
    }
    let state = match text(STATE, "IN, LAME or OUT")? {
        "IN" => BackendState::Ready,
        "LAME" => BackendState::Draining,
        "OUT" => BackendState::Removed,
        _ => return Err(error("IN, LAME or OUT")),
    };
    let started_at_us = match &values[STARTED_AT_US] {
        Value::Null => None,
        value => Some(
            value
                .as_u64()
                .ok_or_else(|| error("a start time or null"))?,
        ),
    };
    let cell = values[CELL]
        .as_u64()
        .ok_or_else(|| error("a cell number"))?;
    let backend = Backend {
        cell: CellId(cell),
        state,
        started_at: started_at_us.filter(|at| *at > 0).map(Time),
        ..Backend::default()
    };
    let row = EndpointRow::new(
        address,
        text(ZONE, "a zone")?,
        text(KIND, "a kind")?,
        backend,
    );
    Ok(EndpointListEntry {
        address: address.into(),
        row,
    })
}

/// Returns whether the address can be written into a JSON string without escapes.
fn is_plain(address: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    !address.is_empty() && address.bytes().all(plain)
}
