//! Starts of a connection's input.

use super::*;

#[test]
fn an_incomplete_head_is_not_parsed_yet() {
    for input in [
        "",
        "G",
        "GET /read/k HTTP/1.1",
        "GET /read/k HTTP/1.1\r\n",
        "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Corr",
        "GET /read/k HTTP/1.1\r\nHost: s\r\n\r",
    ] {
        assert!(!is_worth_parsing(input.as_bytes()), "{input:?}");
    }
}

#[test]
fn complete_malformed_and_long_input_is_parsed_at_once() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(SCAN_BYTES));
    for input in [
        "GET /read/k HTTP/1.1\r\nHost: s\r\n\r\n",
        "GET /read/k HTTP/1.1\nHost: s\n\n",
        "GET / HTTP/1.1\r\n\r\nmore",
        "hello",
        "HELLO WORLD\r\n",
        "\u{16}\u{3}\u{1}",
        "GET /\0",
        "\r\n",
        &long,
    ] {
        assert!(is_worth_parsing(input.as_bytes()), "{input:?}");
    }
}
