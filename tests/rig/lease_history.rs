//! Which process held a duty's lease when, read from the logs of all processes of a fleet: finds two that held it at
//! once, and acts outside of the actor's own lease.

use std::collections::HashMap;

/// One process of a proxy: what it logged, and when it was killed, if it was.
#[derive(Clone, Debug, Default)]
pub struct Incarnation {
    pub proxy: usize,
    pub log: String,
    /// Microseconds on the machine's monotonic clock, as all times here.
    pub ended_us: Option<u64>,
}

/// A fencing token, ordered as the program orders it.
pub type Token = (u64, String);

/// A span in which a process believed that it held the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    pub proxy: usize,
    /// The index of the process's incarnation.
    pub incarnation: usize,
    pub token: Token,
    pub from: u64,
    /// `u64::MAX` while it goes on.
    pub to: u64,
}

/// A field of a log line, without its quotes.
pub fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.split_once(&format!(" {name}="))?.1;
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}

/// The same as a number.
pub fn number_field(line: &str, name: &str) -> Option<u64> {
    log_field(line, name)?.parse().ok()
}

pub fn token_field(line: &str) -> Option<Token> {
    let (number, incarnation) = log_field(line, "token")?.split_once('-')?;
    Some((number.parse().ok()?, incarnation.into()))
}

/// The lines of one event.
pub fn event_lines<'a>(log: &'a str, event: &str) -> impl Iterator<Item = &'a str> + use<'a> {
    let event = event.to_string();
    log.lines()
        .filter(move |line| log_field(line, "event") == Some(&event))
}

/// Every holding of the calendar's duty, in the order of their begins.
pub fn calendar_holdings(incarnations: &[Incarnation]) -> Vec<Holding> {
    duty_holdings("calendar", incarnations)
}

/// The same of any duty.
pub fn duty_holdings(duty: &str, incarnations: &[Incarnation]) -> Vec<Holding> {
    let of = |line: &&str| log_field(line, "duty") == Some(duty);
    let mut all = Vec::new();
    for (n, incarnation) in incarnations.iter().enumerate() {
        let ends: HashMap<Token, u64> = event_lines(&incarnation.log, "duty_over")
            .filter(of)
            .filter_map(|l| Some((token_field(l)?, number_field(l, "mono_us")?))) // when it ended, whenever that was noticed
            .collect();
        for line in event_lines(&incarnation.log, "duty_held").filter(of) {
            let token = token_field(line).unwrap_or_else(|| panic!("no token: {line}"));
            let from = number_field(line, "mono_us").unwrap_or_else(|| panic!("no time: {line}"));
            let end = ends.get(&token).copied().unwrap_or(u64::MAX);
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

/// Whatever contradicts "one holder at a time, and only it acts", as texts; empty where nothing does.
pub fn lease_violations(incarnations: &[Incarnation]) -> Vec<String> {
    let all = calendar_holdings(incarnations);
    let mut wrong = Vec::new();
    for all in [&all, &duty_holdings("config", incarnations)] {
        for (n, one) in all.iter().enumerate() {
            for other in &all[n + 1..] {
                if other.from < one.to {
                    wrong.push(format!("two holders at once: {one:?} and {other:?}"));
                }
                if other.token <= one.token {
                    wrong.push(format!("a token that did not grow: {one:?} then {other:?}"));
                }
            }
        }
    }
    for (n, incarnation) in incarnations.iter().enumerate() {
        for line in event_lines(&incarnation.log, "window") {
            let Some((acting, at)) = token_field(line).zip(number_field(line, "mono_us")) else {
                continue;
            };
            let own = |h: &&Holding| {
                h.incarnation == n && h.token == acting && h.from <= at && at <= h.to
            };
            if all.iter().find(own).is_none() {
                wrong.push(format!(
                    "proxy {} acted outside of its holding: {line}",
                    incarnation.proxy
                ));
            }
        }
    }
    wrong
}
