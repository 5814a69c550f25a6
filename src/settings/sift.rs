//! Reads a document whose long lists are handed out item by item, so that no more than one of them is held as a
//! generic value at a time.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Where the items of long lists go.
pub trait Sink {
    /// The dotted paths of the lists.
    fn lists(&self) -> &[&'static str];
    /// A list begins; of one that stands twice, the last counts.
    fn begin(&mut self, list: &'static str);
    /// The next item of the list that began last.
    fn item(&mut self, list: &'static str, item: Value);
}

/// The document, with an empty list in the place of each that went to `sink`.
pub fn sift<'de, D: Deserializer<'de>>(from: D, sink: &mut dyn Sink) -> Result<Value, D::Error> {
    Sift {
        path: String::new(),
        sink,
    }
    .deserialize(from)
}

/// One value on the way to a list, or the list itself.
struct Sift<'a> {
    path: String,
    sink: &'a mut dyn Sink,
}

impl Sift<'_> {
    /// The list that is this value, and whether one lies further inside.
    fn lists(&self) -> (Option<&'static str>, bool) {
        let (lists, path) = (self.sink.lists(), self.path.as_str());
        let inside = |list: &&&str| {
            path.is_empty()
                || list
                    .strip_prefix(path)
                    .is_some_and(|rest| rest.starts_with('.'))
        };
        (
            lists.iter().find(|list| **list == path).copied(),
            lists.iter().any(|list| inside(&list)),
        )
    }
}

impl<'de> DeserializeSeed<'de> for Sift<'_> {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        match self.lists() {
            (None, false) => serde::Deserialize::deserialize(from),
            _ => from.deserialize_any(self),
        }
    }
}

impl<'de> Visitor<'de> for Sift<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("any value")
    }
    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }
    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }
    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }
    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }
    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.into()))
    }
    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_some<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        self.deserialize(from)
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut kept = Vec::new();
        match self.lists().0 {
            Some(list) => {
                self.sink.begin(list);
                while let Some(item) = items.next_element()? {
                    self.sink.item(list, item);
                }
            }
            None => {
                while let Some(item) = items.next_element()? {
                    kept.push(item);
                }
            }
        }
        Ok(Value::Array(kept))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut kept = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let path = if self.path.is_empty() {
                key.clone()
            } else {
                format!("{}.{key}", self.path)
            };
            let inner = entries.next_value_seed(Sift {
                path,
                sink: &mut *self.sink,
            })?;
            kept.insert(key, inner);
        }
        Ok(Value::Object(kept))
    }
}
