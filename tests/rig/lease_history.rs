//! Reconstructs from the logs of a fleet's processes which process held a duty's lease at what time, and finds
//! violations: two holders at once, tokens that did not grow, and actions outside of the actor's own lease.

use std::collections::HashMap;

/// One process of a proxy, with its log. A restarted proxy has several.
#[derive(Clone, Debug, Default)]
pub struct Incarnation {
    /// Number of the proxy in its fleet.
    pub proxy: usize,
    pub log: String,
    /// When the process ended, if it did: microseconds on the machine's monotonic clock, like all times in this module.
    pub ended_us: Option<u64>,
}

/// A fencing token: its number and its process's incarnation, ordered as the program orders them.
pub type Token = (u64, String);

/// A period during which a process believed that it held the duty's lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    pub proxy: usize,
    /// Index of the process in the list of incarnations.
    pub incarnation: usize,
    pub token: Token,
    pub from: u64,
    /// `u64::MAX` while the holding lasts.
    pub to: u64,
}

/// Returns the value of a log line's field, without its quotes.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.split_once(&format!(" {name}="))?.1;
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}

/// Returns the value of a log line's field as a number.
pub fn number_field(line: &str, name: &str) -> Option<u64> {
    log_field(line, name)?.parse().ok()
}

/// Returns the fencing token in a log line's field `token`.
pub fn token_field(line: &str) -> Option<Token> {
    let (number, incarnation) = log_field(line, "token")?.split_once('-')?;
    Some((number.parse().ok()?, incarnation.into()))
}

/// Returns the log's lines whose field `event` has this value.
pub fn event_lines<'a>(log: &'a str, event: &str) -> impl Iterator<Item = &'a str> + use<'a> {
    let event = event.to_string();
    log.lines()
        .filter(move |line| log_field(line, "event") == Some(&event))
}

/// Returns all holdings of the duty `calendar`, ordered by their start.
pub fn calendar_holdings(incarnations: &[Incarnation]) -> Vec<Holding> {
    duty_holdings("calendar", incarnations)
}

/// Returns all holdings of a duty, ordered by their start.
pub fn duty_holdings(duty: &str, incarnations: &[Incarnation]) -> Vec<Holding> {
    let is_of_duty = |line: &&str| log_field(line, "duty") == Some(duty);
    let mut all = Vec::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        let end_by_token: HashMap<Token, u64> = event_lines(&incarnation.log, "duty_over")
            .filter(is_of_duty)
            .filter_map(|l| Some((token_field(l)?, number_field(l, "mono_us")?))) // when the lease ended, which the process may notice later
            .collect();
        for line in event_lines(&incarnation.log, "duty_held").filter(is_of_duty) {
            let token =
                token_field(line).unwrap_or_else(|| panic!("duty_held without a token: {line}"));
            let from = number_field(line, "mono_us")
                .unwrap_or_else(|| panic!("duty_held without a time: {line}"));
            let end = end_by_token.get(&token).copied().unwrap_or(u64::MAX);
            let to = end.min(incarnation.ended_us.unwrap_or(u64::MAX));
            all.push(Holding {
                proxy: incarnation.proxy,
                incarnation: n,
                token,
                from,
                to,
            });
        }
    }
    all.sort_by_key(|h| h.from);
    all
}

/// Returns a description of each violation of the rule that a duty has one holder at a time and only the holder acts.
pub fn lease_violations(incarnations: &[Incarnation]) -> Vec<String> {
    let all = calendar_holdings(incarnations);
    let mut violations = Vec::new();
    for all in [&all, &duty_holdings("config", incarnations)] {
        for (n, one) in all.iter().enumerate() {
            for other in &all[n + 1..] {
                if other.from < one.to {
                    violations.push(format!("two holders at once: {one:?} and {other:?}"));
                }
                if other.token <= one.token {
                    violations.push(format!("a token that did not grow: {one:?} then {other:?}"));
                }
            }
        }
    }
    for (n, incarnation) in incarnations.iter().enumerate() {
        for line in event_lines(&incarnation.log, "window") {
            let Some((acting_token, at)) = token_field(line).zip(number_field(line, "mono_us"))
            else {
                continue;
            };
            let covers_action = |h: &&Holding| {
                h.incarnation == n && h.token == acting_token && h.from <= at && at <= h.to
            };
            if all.iter().find(covers_action).is_none() {
                violations.push(format!(
                    "proxy {} acted outside of its holding: {line}",
                    incarnation.proxy
                ));
            }
        }
    }
    violations
}
