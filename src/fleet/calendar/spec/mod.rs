//! The content of a maintenance window as an operator requests it: targets, schedule, lead and overrun. Every content
//! is validated by [`Spec::check`], whether it comes from an operator or from another proxy.

mod call_body;

use super::WallTime;
use crate::Micros;
use jiff::civil::{Date, Time};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, ZonedDateTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The default drain lead, in seconds.
pub const DEFAULT_LEAD_S: u32 = 30;
/// The maximum drain lead, in seconds.
pub const MAX_LEAD_S: u32 = 3600;
/// The maximum overrun, in seconds.
pub const MAX_OVERRUN_S: u32 = 24 * 3600;
/// The maximum duration of a window, in seconds.
pub const MAX_DURATION_S: u32 = 7 * 24 * 3600;
/// The maximum duration of a recurring window together with its lead and overrun, in seconds. It ensures that an
/// occurrence is over before the next one drains, even on a day that is shortened by a change to daylight saving time.
pub const MAX_RECURRING_S: u32 = 21 * 3600;
/// The weekdays of a daily window, as a bit mask.
const EVERY_DAY: u8 = 0x7f;
const MINUTES_PER_DAY: u16 = 24 * 60;
/// The maximum length of an id, name, zone or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The maximum total length of the names in `ids`, in bytes, each counted with one more byte. It ensures that a window
/// fits into one datagram.
pub const MAX_IDS_BYTES: usize = 640;

/// The reason why a call is rejected: a field, and what is wrong with it. Serialized as JSON, it is the body of the
/// response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The field of the body, `id` for the window's id, or `body` for a body that is not a valid object.
    pub field: String,
    /// What is wrong with the field, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

impl InvalidField {
    pub(in crate::fleet::calendar) fn new(field: &str, reason: impl Into<String>) -> InvalidField {
        InvalidField {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// A window's content, as an operator requested it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Spec {
    /// The backends that get no new requests during the window.
    pub targets: Targets,
    /// The times of the window.
    pub schedule: Schedule,
    /// The time before the begin at which the backends start to drain, in seconds.
    pub lead_s: u32,
    /// The maximum time that the window waits after its end for its backends to be listed as serving again, in seconds.
    pub overrun_s: u32,
    /// The person or system that requested the window.
    pub requested_by: String,
}

/// The backends that a window targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Targets {
    /// The backends with these names.
    Ids(BTreeSet<String>),
    /// All backends of a zone.
    Zone(String),
    /// All backends of a kind.
    Kind(String),
    /// All backends of a cell (a group of the list).
    Cell(u64),
}

/// The times of a window.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Schedule {
    /// A single occurrence.
    Once(Span),
    /// An occurrence at a local time on some days of the week. A time that is skipped by a change to daylight saving
    /// time is moved forward by the length of the gap. Of a time that occurs twice on a day, the first one counts.
    Recurring {
        /// The days as a bit mask; bit 0 is Monday.
        weekdays: u8,
        /// The minute of the day, 0 to 1,439.
        minute_of_day: u16,
        /// The IANA name of the time zone of `minute_of_day`.
        time_zone: String,
        /// The duration of an occurrence, in seconds of elapsed time.
        duration_s: u32,
    },
}

/// A span of time from `begin` to `end`, the end not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// The first instant of the span.
    pub begin: WallTime,
    /// The first instant after the span.
    pub end: WallTime,
}

impl Spec {
    /// Checks that every field is within its bounds.
    ///
    /// # Errors
    /// The first field that is not.
    pub fn check(&self) -> Result<(), InvalidField> {
        self.targets.check()?;
        check_seconds("lead_s", self.lead_s, MAX_LEAD_S)?;
        check_seconds("overrun_s", self.overrun_s, MAX_OVERRUN_S)?;
        check_name("by", &self.requested_by)?;
        match &self.schedule {
            Schedule::Once(span) => span.check(),
            Schedule::Recurring { duration_s, .. } => {
                self.schedule.check_recurrence()?;
                let total_s = duration_s
                    .saturating_add(self.lead_s)
                    .saturating_add(self.overrun_s);
                check_seconds("recurring.lasts_s", total_s, MAX_RECURRING_S).map_err(|invalid| {
                    InvalidField {
                        reason: format!("together with lead and overrun, {}", invalid.reason),
                        ..invalid
                    }
                })
            }
        }
    }

    /// The first occurrence, as planned, that begins at `at_or_after` or later.
    pub fn next_occurrence(&self, at_or_after: WallTime) -> Option<Span> {
        match &self.schedule {
            Schedule::Once(span) => (span.begin >= at_or_after).then_some(*span),
            Schedule::Recurring {
                weekdays,
                minute_of_day,
                time_zone,
                duration_s,
            } => {
                let time_zone = TimeZone::get(time_zone).ok()?;
                let hour = (minute_of_day / 60) as i8;
                let minute = (minute_of_day % 60) as i8;
                let time = Time::new(hour, minute, 0, 0).ok()?;
                let begin = next_local_time(*weekdays, time, &time_zone, at_or_after)?;
                Some(Span {
                    begin,
                    end: begin + secs(*duration_s),
                })
            }
        }
    }

    /// The first field of the call's body in which two contents differ.
    pub(super) fn first_difference(&self, other: &Spec) -> Option<&'static str> {
        let fields = [
            ("targets", self.targets == other.targets),
            ("when", self.schedule == other.schedule),
            ("lead_s", self.lead_s == other.lead_s),
            ("overrun_s", self.overrun_s == other.overrun_s),
            ("by", self.requested_by == other.requested_by),
        ];
        fields
            .iter()
            .find(|(_, same)| !same)
            .map(|(field, _)| *field)
    }

    /// The planned duration of an occurrence.
    pub(super) fn duration(&self) -> Micros {
        match &self.schedule {
            Schedule::Once(span) => span.end - span.begin,
            Schedule::Recurring { duration_s, .. } => secs(*duration_s),
        }
    }
}

impl Schedule {
    /// Checks that the days, time, time zone and duration of a recurring schedule are valid.
    fn check_recurrence(&self) -> Result<(), InvalidField> {
        let Schedule::Recurring {
            weekdays,
            minute_of_day,
            time_zone,
            duration_s,
        } = self
        else {
            return Ok(());
        };
        if *weekdays == 0 || *weekdays > EVERY_DAY {
            return Err(InvalidField::new("recurring.days", "contains no weekday"));
        }
        if *minute_of_day >= MINUTES_PER_DAY {
            return Err(InvalidField::new("recurring.at", "is not within a day"));
        }
        check_time_zone(time_zone)?;
        if *duration_s == 0 {
            return Err(InvalidField::new("recurring.lasts_s", "has to be above 0"));
        }
        Ok(())
    }
}

impl Span {
    fn check(&self) -> Result<(), InvalidField> {
        if self.end <= self.begin {
            return Err(InvalidField::new("end", "not after begin"));
        }
        if self.end - self.begin > secs(MAX_DURATION_S) {
            return Err(InvalidField::new("end", "more than 7 days after begin"));
        }
        match self.end.timestamp() {
            Some(_) => Ok(()),
            None => Err(InvalidField::new("end", "is after the year 9999")),
        }
    }
}

impl Targets {
    fn check(&self) -> Result<(), InvalidField> {
        match self {
            Targets::Ids(ids) if ids.is_empty() => {
                Err(InvalidField::new("ids", "names no backend"))
            }
            Targets::Ids(ids) => {
                ids.iter().try_for_each(|id| check_name("ids", id))?;
                let bytes: usize = ids.iter().map(|id| id.len() + 1).sum();
                if bytes > MAX_IDS_BYTES {
                    let reason = format!("{} names take {bytes} bytes, over {MAX_IDS_BYTES}: use zone, kind or cell, or several windows", ids.len());
                    return Err(InvalidField::new("ids", reason));
                }
                Ok(())
            }
            Targets::Zone(zone) => check_name("zone", zone),
            Targets::Kind(kind) => check_name("kind", kind),
            Targets::Cell(_) => Ok(()),
        }
    }
}

/// Parses an instant in the format of RFC 3339 with an offset, or of RFC 9557 with a time zone in brackets. `field` is
/// the field of the body that an error names.
pub fn parse_instant(field: &str, text: &str) -> Result<WallTime, InvalidField> {
    let parsed = if text.contains('[') {
        text.parse::<ZonedDateTime>().map(|zoned| zoned.timestamp())
    } else {
        text.parse::<Timestamp>()
    };
    let instant = parsed.map_err(|error| InvalidField::new(field, error.to_string()))?;
    u64::try_from(instant.as_microsecond())
        .map(WallTime)
        .map_err(|_| InvalidField::new(field, "before 1970"))
}

/// Checks a window's id, which is part of URL paths: letters, digits, `-`, `_` and `.` are allowed.
pub fn check_id(id: &str) -> Result<(), InvalidField> {
    check_name("id", id)?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !id.bytes().all(is_allowed) {
        let reason = "may hold letters, digits, '-', '_' and '.' only";
        return Err(InvalidField::new("id", reason));
    }
    Ok(())
}

/// The duration of `seconds`.
pub(in crate::fleet::calendar) fn secs(seconds: u32) -> Micros {
    Micros(u64::from(seconds) * 1_000_000)
}

fn check_name(field: &str, text: &str) -> Result<(), InvalidField> {
    if text.trim().is_empty() {
        return Err(InvalidField::new(field, "is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(InvalidField::new(
            field,
            format!("{} bytes, over {MAX_NAME_BYTES} bytes", text.len()),
        ));
    }
    if text.chars().any(char::is_control) {
        return Err(InvalidField::new(field, "contains control characters"));
    }
    Ok(())
}

fn check_time_zone(time_zone: &str) -> Result<TimeZone, InvalidField> {
    check_name("recurring.zone", time_zone)?;
    TimeZone::get(time_zone).map_err(|e| InvalidField::new("recurring.zone", e.to_string()))
}

fn check_seconds(field: &str, value_s: u32, max_s: u32) -> Result<(), InvalidField> {
    if value_s > max_s {
        let reason = format!("{value_s} s exceed the maximum of {max_s} s");
        return Err(InvalidField::new(field, reason));
    }
    Ok(())
}

/// The first instant at or after `at_or_after` at which local clocks show `time` on one of the weekdays.
fn next_local_time(
    weekdays: u8,
    time: Time,
    time_zone: &TimeZone,
    at_or_after: WallTime,
) -> Option<WallTime> {
    // The search starts a day early, as a skipped time is moved forward. Within two weeks, every weekday occurs even if
    // a time zone skipped a whole day.
    let mut date = at_or_after
        .timestamp()?
        .to_zoned_datetime(time_zone.clone())
        .date()
        .yesterday()
        .ok()?;
    for _ in 0..16 {
        let is_listed = weekdays & 1 << date.weekday().to_monday_zero_offset() != 0;
        if let Some(begin) = is_listed.then(|| instant(date, time, time_zone)).flatten() {
            if begin >= at_or_after {
                return Some(begin);
            }
        }
        date = date.checked_add(1.day()).ok()?;
    }
    None
}

/// The instant at which local clocks show `time` on `date`.
fn instant(date: Date, time: Time, zone: &TimeZone) -> Option<WallTime> {
    // `to_zoned_datetime` follows RFC 5545: a time in a gap is moved forward, and of a repeated time the first one
    // counts.
    let at = date
        .to_datetime(time)
        .to_zoned_datetime(zone.clone())
        .ok()?
        .timestamp();
    u64::try_from(at.as_microsecond()).ok().map(WallTime)
}
