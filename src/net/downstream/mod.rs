//! The client-facing side of the proxy.
//!
//! - [`server`]: accepts connections within the process's limits, serves their requests, and shuts down gracefully.
//! - [`upload`]: reads a client's request body, with timeouts.
//! - [`response_stream`]: the body of a response that is streamed to a client.

pub mod response_stream;
pub mod server;
pub mod upload;
