//! Writes the balancer's actions as the lines of a reply to the simulator.

use crate::instance::Instance;
use meadowproxy::settings::SettingsError;
use meadowproxy::{Action, RequestId};
use serde_json::{json, Value};
use std::fmt::{self, Display};
use std::io::Write;

/// The last line of each reply.
const REPLY_COMPLETE: &[u8] = b"[\"YIELD\"]\n";

/// A request id in its form on the wire: 16 lower-case hex digits.
struct WireId(RequestId);

impl Display for WireId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 .0)
    }
}

/// Writes the last line of a reply.
pub fn write_reply_end(reply: &mut Vec<u8>) {
    reply.extend_from_slice(REPLY_COMPLETE);
}

/// Reports that the settings of the instance `name` are invalid.
pub fn write_settings_error(name: &str, error: &SettingsError, reply: &mut Vec<u8>) {
    write_json(
        &json!(["BROKEN", name, format!("settings: {error}")]),
        reply,
    );
}

/// Writes one action of the instance `name`. Names and addresses were validated to contain no characters that JSON
/// escapes, so they are written as they are.
pub fn write_action(name: &str, instance: &Instance, action: &Action, reply: &mut Vec<u8>) {
    let written = match action {
        Action::Dispatch { request, backend } => {
            let (id, address) = (WireId(*request), instance.backend_address(*backend));
            writeln!(reply, r#"["HAND_OFF","{name}","{id}","{address}",0]"#)
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            let (id, after_us) = (WireId(*request), retry_after.0);
            writeln!(reply, r#"["BOUNCE","{name}","{id}",{after_us}]"#)
        }
        Action::Fail { request } => {
            let id = WireId(*request);
            writeln!(reply, r#"["LOSE","{name}","{id}"]"#)
        }
        Action::Cancel { request, attempt } => {
            let (id, number) = (WireId(*request), attempt.0);
            writeln!(reply, r#"["RECALL","{name}","{id}",{number}]"#)
        }
        Action::SetTimer { token, after } => {
            let (token, after_us) = (token.0, after.0);
            writeln!(reply, r#"["AFTER","{name}",{token},{after_us}]"#)
        }
        Action::PollDiscovery => writeln!(reply, r#"["FOLLOW","{name}",true]"#),
        // The simulated proxies share no state with each other.
        Action::PublishVerdict { .. } => Ok(()),
        Action::Log(text) => {
            write_json(&json!(["WRITE_LOG", name, text]), reply);
            Ok(())
        }
    };
    debug_assert!(written.is_ok(), "writing to memory does not fail");
}

fn write_json(value: &Value, reply: &mut Vec<u8>) {
    let written = writeln!(reply, "{value}");
    debug_assert!(written.is_ok(), "writing to memory does not fail");
}
