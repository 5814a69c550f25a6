//! The client-facing side of the proxy.
//!
//! - [`server`]: accepts connections within the process's limits, serves their requests, and shuts down gracefully.
//! - [`upload`]: reads a client's request body, with timeouts.
//! - [`arrival_history`]: bounds the time at which a client wrote the last byte of its upload.
//! - [`head_scan`]: tells whether a connection's first input has to be parsed yet.
//! - [`partial_head`]: the memory of a request's head while it arrives.
//! - [`response_body`]: the body of any response, as hyper reads it for the client.
//! - [`response_stream`]: the body of a response that is streamed to a client.
//! - [`shutdown_clock`]: brings deadlines forward while the process shuts down.

pub mod arrival_history;
pub mod head_scan;
pub mod partial_head;
pub mod response_body;
pub mod response_stream;
pub mod server;
pub mod shutdown_clock;
pub mod upload;
