//! Decodes the JSON body of `PUT /windows/ID` to a [`Spec`].

use super::{
    parse_instant, InvalidField, Schedule, Span, Spec, Targets, DEFAULT_LEAD_S, EVERY_DAY,
};
use serde::Deserialize;

/// The JSON body before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    ids: Option<Vec<String>>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    label: Option<serde_json::Value>,
    begin: Option<String>,
    end: Option<String>,
    recurring: Option<Recurring>,
    lead_s: Option<u32>,
    overrun_s: Option<u32>,
    by: Option<String>,
}

/// The field `recurring` of the body.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Recurring {
    days: Days,
    at: String,
    zone: String,
    lasts_s: u32,
}

/// The field `recurring.days`: `"daily"` or a list of weekdays.
#[derive(Deserialize)]
#[serde(untagged)]
enum Days {
    Name(String),
    List(Vec<String>),
}

/// The names of the weekdays, in the order of their bits in [`Schedule::Recurring`].
const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

impl Spec {
    /// Decodes the JSON body of `PUT /windows/ID`. Whether the window is over already is checked by
    /// [`Calendar::put`](crate::fleet::calendar::Calendar::put), as a repeated call may arrive late.
    ///
    /// # Errors
    /// The first field that is missing, unknown or out of its bounds.
    pub fn from_json(json: &[u8]) -> Result<Spec, InvalidField> {
        let body = parse_body(json)?;
        let requested_by = body
            .by
            .ok_or_else(|| InvalidField::new("by", "missing: who asks for the window"))?;
        let spec = Spec {
            targets: targets(body.ids, body.zone, body.kind, body.cell, body.label)?,
            schedule: schedule(body.begin, body.end, body.recurring)?,
            lead_s: body.lead_s.unwrap_or(DEFAULT_LEAD_S),
            overrun_s: body.overrun_s.unwrap_or(0),
            requested_by,
        };
        spec.check()?;
        Ok(spec)
    }
}

fn parse_body(json: &[u8]) -> Result<Body, InvalidField> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let body = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        let field = if matches!(path.as_str(), "." | "?") {
            "body"
        } else {
            &path
        };
        InvalidField::new(field, error.inner().to_string())
    })?;
    reader
        .end()
        .map_err(|error| InvalidField::new("body", error.to_string()))?;
    Ok(body)
}

/// The targets, of which exactly one kind has to be given.
fn targets(
    ids: Option<Vec<String>>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    label: Option<serde_json::Value>,
) -> Result<Targets, InvalidField> {
    if label.is_some() {
        let reason = "the list of servers carries no labels: use ids, zone, kind or cell";
        return Err(InvalidField::new("label", reason));
    }
    let choices = [
        ids.map(|ids| Targets::Ids(ids.into_iter().collect())),
        zone.map(Targets::Zone),
        kind.map(Targets::Kind),
        cell.map(Targets::Cell),
    ];
    let mut given = choices.into_iter().flatten();
    let Some(targets) = given.next() else {
        let reason = "missing: one of ids, zone, kind and cell";
        return Err(InvalidField::new("ids", reason));
    };
    match given.next() {
        None => Ok(targets),
        Some(second) => {
            let reason = "one too many: exactly one of ids, zone, kind and cell";
            Err(InvalidField::new(field_name(&second), reason))
        }
    }
}

/// The field of the body that contains the targets.
fn field_name(targets: &Targets) -> &'static str {
    match targets {
        Targets::Ids(_) => "ids",
        Targets::Zone(_) => "zone",
        Targets::Kind(_) => "kind",
        Targets::Cell(_) => "cell",
    }
}

/// The schedule: either `recurring`, or both `begin` and `end`.
fn schedule(
    begin: Option<String>,
    end: Option<String>,
    recurring: Option<Recurring>,
) -> Result<Schedule, InvalidField> {
    let Some(recurring) = recurring else {
        return once(begin, end);
    };
    if begin.is_some() || end.is_some() {
        let field = if begin.is_some() { "begin" } else { "end" };
        let reason = "a recurring window has none: use recurring.at and lasts_s";
        return Err(InvalidField::new(field, reason));
    }
    Ok(Schedule::Recurring {
        weekdays: weekdays(recurring.days)?,
        minute_of_day: parse_minute_of_day(&recurring.at)
            .ok_or_else(|| InvalidField::new("recurring.at", "not HH:MM"))?,
        time_zone: recurring.zone,
        duration_s: recurring.lasts_s,
    })
}

/// The schedule of a window that occurs once.
fn once(begin: Option<String>, end: Option<String>) -> Result<Schedule, InvalidField> {
    let begin = begin.ok_or_else(|| InvalidField::new("begin", "missing, as is recurring"))?;
    let end = end.ok_or_else(|| InvalidField::new("end", "missing"))?;
    Ok(Schedule::Once(Span {
        begin: parse_instant("begin", &begin)?,
        end: parse_instant("end", &end)?,
    }))
}

/// The set of weekdays as a bit mask; bit 0 is Monday.
fn weekdays(days: Days) -> Result<u8, InvalidField> {
    let invalid = |reason: &str| InvalidField::new("recurring.days", reason);
    let names = match days {
        Days::Name(name) if name == "daily" => return Ok(EVERY_DAY),
        Days::Name(_) => return Err(invalid("has to be \"daily\" or a list of days")),
        Days::List(names) => names,
    };
    let mut weekdays = 0;
    for name in names {
        let day = DAYS.iter().position(|day| *day == name).ok_or_else(|| {
            invalid(&format!(
                "unknown day {name:?}, has to be one of {}",
                DAYS.join(", ")
            ))
        })?;
        weekdays |= 1 << day;
    }
    Ok(weekdays)
}

/// Parses a time of day in the format `HH:MM` to the minute of the day.
fn parse_minute_of_day(text: &str) -> Option<u16> {
    if text.len() != 5 || text.as_bytes()[2] != b':' {
        return None;
    }
    let hour = parse_two_digits(text.get(..2)?)?;
    let minute = parse_two_digits(text.get(3..)?)?;
    (hour < 24 && minute < 60).then_some(hour * 60 + minute)
}

fn parse_two_digits(text: &str) -> Option<u16> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
