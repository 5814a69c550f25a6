//! Streams the long lists of a document to a [`ListSink`] item by item ([`extract_lists`]), so that only one item at a
//! time is in memory as a generic JSON value.

use super::field::join;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Receives the items of long lists.
pub trait ListSink {
    /// Returns the dotted paths of the lists to extract.
    fn list_paths(&self) -> &[&'static str];
    /// Called before the first item of a list. If the document has the list twice, a second call follows, and the
    /// items before it are to be discarded.
    fn begin(&mut self, list: &'static str);
    /// Called for each item of the list that began last.
    fn item(&mut self, list: &'static str, item: Value);
}

/// Reads a document, and returns it with each list that went to `sink` empty.
pub fn extract_lists<'de, D: Deserializer<'de>>(
    document: D,
    sink: &mut dyn ListSink,
) -> Result<Value, D::Error> {
    let root = ListExtractor {
        path: String::new(),
        sink,
    };
    root.deserialize(document)
}

/// Deserializes the value at a path, and sends the items of long lists inside it to the sink.
struct ListExtractor<'a> {
    path: String,
    sink: &'a mut dyn ListSink,
}

impl ListExtractor<'_> {
    /// Returns the path of the long list at this path, `None` if the value here is none.
    fn list(&self) -> Option<&'static str> {
        let mut lists = self.sink.list_paths().iter();
        lists.find(|list| **list == self.path).copied()
    }

    /// Returns whether the value at this path is a long list or contains one.
    fn leads_to_list(&self) -> bool {
        let path = self.path.as_str();
        let is_inside = |list: &str| {
            let rest = list.strip_prefix(path);
            path.is_empty() || rest.is_some_and(|rest| rest.starts_with('.'))
        };
        let mut lists = self.sink.list_paths().iter();
        lists.any(|list| *list == path || is_inside(list))
    }
}

impl<'de> DeserializeSeed<'de> for ListExtractor<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, value: D) -> Result<Value, D::Error> {
        if self.leads_to_list() {
            value.deserialize_any(self)
        } else {
            serde::Deserialize::deserialize(value)
        }
    }
}

impl<'de> Visitor<'de> for ListExtractor<'_> {
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

    fn visit_some<D: Deserializer<'de>>(self, value: D) -> Result<Value, D::Error> {
        self.deserialize(value)
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut plain_items = Vec::new();
        match self.list() {
            Some(list) => {
                self.sink.begin(list);
                while let Some(item) = items.next_element()? {
                    self.sink.item(list, item);
                }
            }
            None => {
                while let Some(item) = items.next_element()? {
                    plain_items.push(item);
                }
            }
        }
        Ok(Value::Array(plain_items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let inner = ListExtractor {
                path: join(&self.path, &key),
                sink: &mut *self.sink,
            };
            let value = entries.next_value_seed(inner)?;
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
