//! Tells whether the start of a connection's input has to be parsed yet.
//!
//! Input stays in the kernel until it contains a complete request head, so that a client which stops within its head
//! makes the process hold next to nothing.

/// Longest input that is scanned, in bytes. Longer heads are read as they arrive.
pub const SCAN_BYTES: usize = 4 * 1024;

const HTTP_VERSION_PREFIX: &[u8] = b" HTTP/1.";

/// Returns whether `input` contains a complete head, is as long as [`SCAN_BYTES`], or cannot be the start of a head.
pub fn is_worth_parsing(input: &[u8]) -> bool {
    input.len() >= SCAN_BYTES || has_complete_head(input) || is_malformed(input)
}

fn has_complete_head(input: &[u8]) -> bool {
    let ends =
        |at: usize| input[at + 1..].starts_with(b"\n") || input[at + 1..].starts_with(b"\r\n");
    let mut line_ends = input.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.any(|(at, _)| ends(at))
}

fn is_malformed(input: &[u8]) -> bool {
    let starts_with_method = input.first().is_none_or(u8::is_ascii_uppercase);
    let is_unexpected = |byte: &u8| byte.is_ascii_control() && !b"\r\n\t".contains(byte);
    if !starts_with_method || input.iter().any(is_unexpected) {
        return true;
    }
    let mut lines = input.split(|byte| *byte == b'\n');
    let first_line = lines.next().unwrap_or_default();
    let is_first_line_complete = lines.next().is_some();
    let mut windows = first_line.windows(HTTP_VERSION_PREFIX.len());
    is_first_line_complete && !windows.any(|part| part == HTTP_VERSION_PREFIX)
}

#[cfg(test)]
mod tests;
