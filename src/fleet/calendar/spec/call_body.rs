//! Reads the JSON body of `PUT /windows/ID` into a [`Spec`], field by field.

use super::{
    parse_instant, InvalidField, Schedule, Span, Spec, Targets, DEFAULT_LEAD_S, EVERY_DAY,
};
use serde::Deserialize;

/// The body as it comes.
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Recurring {
    days: Days,
    at: String,
    zone: String,
    lasts_s: u32,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Days {
    Name(String),
    List(Vec<String>),
}

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

impl Spec {
    /// Reads the JSON body of `PUT /windows/ID`. Whether its time is over already is asked by
    /// [`Calendar::put`](crate::fleet::calendar::Calendar::put), as a repeated call may come late.
    pub fn from_json(body: &[u8]) -> Result<Spec, InvalidField> {
        let mut reader = serde_json::Deserializer::from_slice(body);
        let read: Body = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            InvalidField::new(
                if matches!(path.as_str(), "." | "?") {
                    "body"
                } else {
                    &path
                },
                e.inner().to_string(),
            )
        })?;
        reader
            .end()
            .map_err(|e| InvalidField::new("body", e.to_string()))?;
        let requested_by = read
            .by
            .ok_or_else(|| InvalidField::new("by", "missing: who asks for the window"))?;
        let spec = Spec {
            targets: targets(read.ids, read.zone, read.kind, read.cell, read.label)?,
            schedule: schedule(read.begin, read.end, read.recurring)?,
            lead_s: read.lead_s.unwrap_or(DEFAULT_LEAD_S),
            overrun_s: read.overrun_s.unwrap_or(0),
            requested_by,
        };
        spec.check()?;
        Ok(spec)
    }
}

fn targets(
    ids: Option<Vec<String>>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    label: Option<serde_json::Value>,
) -> Result<Targets, InvalidField> {
    if label.is_some() {
        return Err(InvalidField::new(
            "label",
            "the list of servers carries no labels: use ids, zone, kind or cell",
        ));
    }
    let ids = ids.map(|ids| Targets::Ids(ids.into_iter().collect()));
    let others = [
        zone.map(Targets::Zone),
        kind.map(Targets::Kind),
        cell.map(Targets::Cell),
    ];
    let mut named = std::iter::once(ids).chain(others).flatten();
    match (named.next(), named.next()) {
        (Some(targets), None) => Ok(targets),
        (None, _) => Err(InvalidField::new(
            "ids",
            "missing: one of ids, zone, kind and cell",
        )),
        (Some(_), Some(second)) => {
            let field = match second {
                Targets::Ids(_) => "ids",
                Targets::Zone(_) => "zone",
                Targets::Kind(_) => "kind",
                Targets::Cell(_) => "cell",
            };
            Err(InvalidField::new(
                field,
                "one too many: exactly one of ids, zone, kind and cell",
            ))
        }
    }
}

fn schedule(
    begin: Option<String>,
    end: Option<String>,
    recurring: Option<Recurring>,
) -> Result<Schedule, InvalidField> {
    let Some(recurring) = recurring else {
        let begin = begin
            .ok_or_else(|| InvalidField::new("begin", "missing, and there is no recurring"))?;
        let end = end.ok_or_else(|| InvalidField::new("end", "missing"))?;
        let span = Span {
            begin: parse_instant("begin", &begin)?,
            end: parse_instant("end", &end)?,
        };
        return Ok(Schedule::Once(span));
    };
    if begin.is_some() || end.is_some() {
        let field = if begin.is_some() { "begin" } else { "end" };
        return Err(InvalidField::new(
            field,
            "a recurring window has none: use recurring.at and lasts_s",
        ));
    }
    let weekdays = match recurring.days {
        Days::Name(name) if name == "daily" => EVERY_DAY,
        Days::Name(_) => {
            return Err(InvalidField::new(
                "recurring.days",
                "\"daily\" or a list of days",
            ))
        }
        Days::List(list) => {
            let day = |d: &String| DAYS.iter().position(|name| name == d);
            let wrong = || {
                InvalidField::new(
                    "recurring.days",
                    format!("each is one of {}", DAYS.join(", ")),
                )
            };
            list.iter()
                .try_fold(0, |days, d| Ok(days | 1 << day(d).ok_or_else(wrong)?))?
        }
    };
    let minute_of_day = parse_minute_of_day(&recurring.at)
        .ok_or_else(|| InvalidField::new("recurring.at", "not HH:MM"))?;
    Ok(Schedule::Recurring {
        weekdays,
        minute_of_day,
        time_zone: recurring.zone,
        duration_s: recurring.lasts_s,
    })
}

/// The minute of the day of `HH:MM`.
fn parse_minute_of_day(text: &str) -> Option<u16> {
    let digits = |at: usize| {
        text.get(at..at + 2)
            .filter(|d| d.bytes().all(|b| b.is_ascii_digit()))
    };
    let (hour, minute): (u16, u16) = (digits(0)?.parse().ok()?, digits(3)?.parse().ok()?);
    (text.len() == 5 && text.as_bytes()[2] == b':' && hour < 24 && minute < 60)
        .then_some(hour * 60 + minute)
}
