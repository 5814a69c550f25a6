//! What an operator asks for: the body of `PUT /windows/ID`, checked field by field.

use super::Wall;
use crate::Micros;
use jiff::civil::{Date, Time};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, ZonedDateTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Seconds of drain lead where the body names none.
pub const LEAD_S: u32 = 30;
/// The longest drain lead, in seconds.
pub const MOST_LEAD_S: u32 = 3600;
/// The longest overrun, in seconds.
pub const MOST_OVERRUN_S: u32 = 24 * 3600;
/// The longest window, in seconds.
pub const MOST_LENGTH_S: u32 = 7 * 24 * 3600;
/// The longest that a recurring window may last with its lead and overrun, in seconds: one occurrence is
/// over before the next one drains, also on a day that daylight changes shorten.
pub const MOST_RECURRING_S: u32 = 21 * 3600;
/// The longest id, name, zone or kind, in bytes.
pub const MOST_NAME: usize = 64;
/// The most bytes that the names in `ids` may take together, one more for each: so a window fits one datagram.
pub const MOST_IDS: usize = 640;

/// Why a call is refused: the field, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Invalid {
    /// The field of the body, or `id` for the window's own, or `body` for a body that is no such object.
    pub field: String,
    /// What is wrong, for a person.
    pub why: String,
}

impl Invalid {
    pub(super) fn new(field: &str, why: impl Into<String>) -> Invalid {
        Invalid {
            field: field.into(),
            why: why.into(),
        }
    }
}

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

impl std::error::Error for Invalid {}

/// A window's content, as the operators gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Spec {
    /// What it takes out.
    pub targets: Targets,
    /// When.
    pub when: When,
    /// How long before its begin it stops new requests, in seconds.
    pub lead_s: u32,
    /// How long past its end it waits for its backends to be listed as serving again, in seconds.
    pub overrun_s: u32,
    /// Who asked.
    pub by: String,
}

/// What a window takes out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Targets {
    /// These backends.
    Ids(BTreeSet<String>),
    /// All backends of a zone.
    Zone(String),
    /// All backends of a kind.
    Kind(String),
    /// All backends of a cell (a group of the list).
    Cell(u64),
}

/// When a window is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum When {
    /// Once.
    Once(Span),
    /// At a local time on some days of the week. A time that daylight changes skip moves to after the
    /// gap by the gap's length; of a time that comes twice the first one counts.
    Recurring {
        /// The days, bit 0 being Monday.
        days: u8,
        /// The minute of the day, 0 to 1,439.
        minute: u16,
        /// The IANA zone in which the minute counts.
        zone: String,
        /// How long it lasts, in seconds of elapsed time.
        lasts_s: u32,
    },
}

/// From begin to end, the end not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// The first instant.
    pub begin: Wall,
    /// The first instant after it.
    pub end: Wall,
}

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
    Word(String),
    List(Vec<String>),
}

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

impl Spec {
    /// Reads the JSON body of `PUT /windows/ID`. Whether its time is over already is asked by
    /// [`Calendar::put`](super::Calendar::put), as a repeated call may come late.
    pub fn from_json(body: &[u8]) -> Result<Spec, Invalid> {
        let mut reader = serde_json::Deserializer::from_slice(body);
        let read: Body = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            Invalid::new(
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
            .map_err(|e| Invalid::new("body", e.to_string()))?;
        let by = read
            .by
            .ok_or_else(|| Invalid::new("by", "missing: who asks for the window"))?;
        let spec = Spec {
            targets: targets(read.ids, read.zone, read.kind, read.cell, read.label)?,
            when: when(read.begin, read.end, read.recurring)?,
            lead_s: read.lead_s.unwrap_or(LEAD_S),
            overrun_s: read.overrun_s.unwrap_or(0),
            by,
        };
        spec.check()?;
        Ok(spec)
    }

    /// Whether every field is within its bounds, whoever sent it.
    pub fn check(&self) -> Result<(), Invalid> {
        self.targets.check()?;
        let most = |field, value, most| match value > most {
            true => Err(Invalid::new(field, format!("{value} s is over {most} s"))),
            false => Ok(()),
        };
        most("lead_s", self.lead_s, MOST_LEAD_S)?;
        most("overrun_s", self.overrun_s, MOST_OVERRUN_S)?;
        name("by", &self.by)?;
        match &self.when {
            When::Once(span) => span.check(),
            When::Recurring {
                days,
                minute,
                zone,
                lasts_s,
            } => {
                if *days == 0 || *days > 0x7f {
                    return Err(Invalid::new("recurring.days", "no day of the week"));
                }
                if *minute >= 24 * 60 {
                    return Err(Invalid::new("recurring.at", "no minute of a day"));
                }
                time_zone(zone)?;
                if *lasts_s == 0 {
                    return Err(Invalid::new("recurring.lasts_s", "has to be over 0"));
                }
                let whole = lasts_s
                    .saturating_add(self.lead_s)
                    .saturating_add(self.overrun_s);
                most("recurring.lasts_s", whole, MOST_RECURRING_S).map_err(|e| Invalid {
                    why: format!("with lead and overrun {}", e.why),
                    ..e
                })
            }
        }
    }

    /// The first occurrence that begins at that time or later.
    pub fn occurrence(&self, at_or_after: Wall) -> Option<Span> {
        match &self.when {
            When::Once(span) => (span.begin >= at_or_after).then_some(*span),
            When::Recurring {
                days,
                minute,
                zone,
                lasts_s,
            } => {
                let zone = TimeZone::get(zone).ok()?;
                let time = Time::new((minute / 60) as i8, (minute % 60) as i8, 0, 0).ok()?;
                // From a day early, as a skipped time moves on; two weeks hold every day of the week
                // even where a zone skipped a whole day.
                let mut date = at_or_after
                    .timestamp()?
                    .to_zoned_datetime(zone.clone())
                    .date()
                    .yesterday()
                    .ok()?;
                for _ in 0..16 {
                    let listed = days & 1 << date.weekday().to_monday_zero_offset() != 0;
                    let begin = listed.then(|| instant(date, time, &zone)).flatten();
                    if let Some(begin) = begin.filter(|b| *b >= at_or_after) {
                        return Some(Span {
                            begin,
                            end: begin + secs(*lasts_s),
                        });
                    }
                    date = date.checked_add(1.day()).ok()?;
                }
                None
            }
        }
    }

    /// The first field in which two differ.
    pub(super) fn differs(&self, other: &Spec) -> Option<&'static str> {
        let fields = [
            ("targets", self.targets == other.targets),
            ("when", self.when == other.when),
            ("lead_s", self.lead_s == other.lead_s),
            ("overrun_s", self.overrun_s == other.overrun_s),
            ("by", self.by == other.by),
        ];
        fields
            .iter()
            .find(|(_, same)| !same)
            .map(|(field, _)| *field)
    }

    /// How long an occurrence lasts as planned.
    pub(super) fn lasts(&self) -> Micros {
        match &self.when {
            When::Once(span) => span.end - span.begin,
            When::Recurring { lasts_s, .. } => secs(*lasts_s),
        }
    }
}

impl Span {
    fn check(&self) -> Result<(), Invalid> {
        if self.end <= self.begin {
            return Err(Invalid::new("end", "not after begin"));
        }
        if self.end - self.begin > secs(MOST_LENGTH_S) {
            return Err(Invalid::new("end", "more than 7 days after begin"));
        }
        match self.end.timestamp() {
            Some(_) => Ok(()),
            None => Err(Invalid::new("end", "no time that a calendar names")),
        }
    }
}

impl Targets {
    fn check(&self) -> Result<(), Invalid> {
        match self {
            Targets::Ids(ids) if ids.is_empty() => Err(Invalid::new("ids", "names no backend")),
            Targets::Ids(ids) => {
                ids.iter().try_for_each(|id| name("ids", id))?;
                let bytes: usize = ids.iter().map(|id| id.len() + 1).sum();
                if bytes > MOST_IDS {
                    let why = format!("{} names take {bytes} bytes of {MOST_IDS}: name a zone, a kind or a cell, or put several windows", ids.len());
                    return Err(Invalid::new("ids", why));
                }
                Ok(())
            }
            Targets::Zone(zone) => name("zone", zone),
            Targets::Kind(kind) => name("kind", kind),
            Targets::Cell(_) => Ok(()),
        }
    }
}

/// Reads an instant: RFC 3339 with an offset, or RFC 9557 with a zone in brackets.
pub fn parse_instant(field: &str, text: &str) -> Result<Wall, Invalid> {
    let read = match text.contains('[') {
        true => text.parse::<ZonedDateTime>().map(|zoned| zoned.timestamp()),
        false => text.parse::<Timestamp>(),
    };
    let at = read.map_err(|e| Invalid::new(field, e.to_string()))?;
    match u64::try_from(at.as_microsecond()) {
        Ok(micros) => Ok(Wall(micros)),
        Err(_) => Err(Invalid::new(field, "before 1970")),
    }
}

/// Whether a window may have that id: letters, digits, `-`, `_` and `.`, as it stands in a path.
pub fn check_id(id: &str) -> Result<(), Invalid> {
    name("id", id)?;
    match id
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    {
        true => Ok(()),
        false => Err(Invalid::new(
            "id",
            "may hold letters, digits, '-', '_' and '.' only",
        )),
    }
}

/// So many seconds.
pub(super) fn secs(secs: u32) -> Micros {
    Micros(u64::from(secs) * 1_000_000)
}

fn name(field: &str, text: &str) -> Result<(), Invalid> {
    if text.trim().is_empty() {
        return Err(Invalid::new(field, "is empty"));
    }
    if text.len() > MOST_NAME {
        return Err(Invalid::new(
            field,
            format!("{} bytes, over {MOST_NAME}", text.len()),
        ));
    }
    match text.chars().any(char::is_control) {
        true => Err(Invalid::new(field, "holds control characters")),
        false => Ok(()),
    }
}

fn time_zone(zone: &str) -> Result<TimeZone, Invalid> {
    name("recurring.zone", zone)?;
    TimeZone::get(zone).map_err(|e| Invalid::new("recurring.zone", e.to_string()))
}

fn instant(date: Date, time: Time, zone: &TimeZone) -> Option<Wall> {
    // `to_zoned_datetime` is RFC 5545's rule: after a gap, the first of a fold.
    let at = date
        .to_datetime(time)
        .to_zoned_datetime(zone.clone())
        .ok()?
        .timestamp();
    u64::try_from(at.as_microsecond()).ok().map(Wall)
}

fn targets(
    ids: Option<Vec<String>>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u64>,
    label: Option<serde_json::Value>,
) -> Result<Targets, Invalid> {
    if label.is_some() {
        return Err(Invalid::new(
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
        (None, _) => Err(Invalid::new(
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
            Err(Invalid::new(
                field,
                "one too many: exactly one of ids, zone, kind and cell",
            ))
        }
    }
}

fn when(
    begin: Option<String>,
    end: Option<String>,
    recurring: Option<Recurring>,
) -> Result<When, Invalid> {
    let Some(recurring) = recurring else {
        let begin =
            begin.ok_or_else(|| Invalid::new("begin", "missing, and there is no recurring"))?;
        let end = end.ok_or_else(|| Invalid::new("end", "missing"))?;
        let span = Span {
            begin: parse_instant("begin", &begin)?,
            end: parse_instant("end", &end)?,
        };
        return Ok(When::Once(span));
    };
    if begin.is_some() || end.is_some() {
        let field = if begin.is_some() { "begin" } else { "end" };
        return Err(Invalid::new(
            field,
            "a recurring window has none: use recurring.at and lasts_s",
        ));
    }
    let days = match recurring.days {
        Days::Word(word) if word == "daily" => 0x7f,
        Days::Word(_) => {
            return Err(Invalid::new(
                "recurring.days",
                "\"daily\" or a list of days",
            ))
        }
        Days::List(list) => {
            let day = |d: &String| DAYS.iter().position(|name| name == d);
            let wrong = || {
                Invalid::new(
                    "recurring.days",
                    format!("each is one of {}", DAYS.join(", ")),
                )
            };
            list.iter()
                .try_fold(0, |days, d| Ok(days | 1 << day(d).ok_or_else(wrong)?))?
        }
    };
    let minute = minute(&recurring.at).ok_or_else(|| Invalid::new("recurring.at", "not HH:MM"))?;
    Ok(When::Recurring {
        days,
        minute,
        zone: recurring.zone,
        lasts_s: recurring.lasts_s,
    })
}

fn minute(text: &str) -> Option<u16> {
    let digits = |at: usize| {
        text.get(at..at + 2)
            .filter(|d| d.bytes().all(|b| b.is_ascii_digit()))
    };
    let (hour, minute): (u16, u16) = (digits(0)?.parse().ok()?, digits(3)?.parse().ok()?);
    (text.len() == 5 && text.as_bytes()[2] == b':' && hour < 24 && minute < 60)
        .then_some(hour * 60 + minute)
}
